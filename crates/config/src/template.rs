//! Templates: parameters shared by many workspaces.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The highest priority of a request. Priority 0 is the lowest and is shed first.
pub const MAX_PRIORITY: u8 = 9;

/// Named parameters that workspaces refer to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Name by which workspaces refer to the template.
    pub name: String,
    /// Description for operators; has no effect.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub description: String,
    /// Parameters of its workspaces, except those that a workspace overrides.
    #[serde(default)]
    pub parameters: Parameters,
    /// Weights for rebalancing the experts of the groups that serve the template's workspaces. A
    /// workspace can't override them, since a group serves many workspaces.
    #[serde(default)]
    pub rebalancing: Rebalancing,
}

/// The models and services that a workspace may use, with limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Parameters {
    /// Models that requests may use, by name.
    pub models: BTreeMap<String, Model>,
    /// Services that requests may call, by name.
    pub services: BTreeMap<String, Service>,
    /// Priority of requests, 0 to [`MAX_PRIORITY`]; the lowest is shed first.
    pub priority: u8,
    /// Limits of rates and of concurrent requests.
    pub limits: Limits,
    /// Retry budget for idempotent requests.
    pub retry: Retry,
    /// Longest time that a request may take; callers may request a shorter one.
    pub deadline_ms: u64,
}

impl Default for Parameters {
    fn default() -> Self {
        Self {
            models: BTreeMap::new(),
            services: BTreeMap::new(),
            priority: 5,
            limits: Limits::default(),
            retry: Retry::default(),
            deadline_ms: 120_000,
        }
    }
}

/// A model that requests may use.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Model {
    /// Version to serve; if absent, the loaded version. All documents that name a version of the
    /// model must name the same one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Adapters that requests may use with the model; engines load those of all documents.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<String>,
}

/// A plain service that requests may call.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// Allowed calls. The first matching route applies; calls that match none are refused.
    pub routes: Vec<ServiceRoute>,
}

/// A set of calls of a service with the same retry rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRoute {
    /// HTTP method of the calls; any method if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// Prefix of the path; matches whole path segments.
    pub path_prefix: String,
    /// Whether such a call may safely run twice, and so may be retried. It has no default, because
    /// a wrong guess executes a call twice, for example sending out two repair crews.
    pub idempotent: bool,
}

impl Service {
    /// The first route that matches a call.
    ///
    /// ```
    /// use flamingowheel_config::template::{Service, ServiceRoute};
    /// let route = |method: &str, idempotent| ServiceRoute {
    ///     method: Some(method.to_owned()),
    ///     path_prefix: "/orders".to_owned(),
    ///     idempotent,
    /// };
    /// let service = Service { routes: vec![route("GET", true), route("POST", false)] };
    /// assert!(!service.route("POST", "/orders/7").unwrap().idempotent);
    /// assert!(service.route("POST", "/ordersheet").is_none());
    /// ```
    pub fn route(&self, method: &str, path: &str) -> Option<&ServiceRoute> {
        self.routes.iter().find(|route| route.matches(method, path))
    }
}

impl ServiceRoute {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method.as_deref().is_none_or(|expected| expected == method);
        method_matches && self.path_matches(path)
    }

    /// Matches whole path segments, so that `/orders` does not match `/ordersheet`.
    fn path_matches(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.path_prefix.as_str()) else { return false };
        rest.is_empty() || rest.starts_with(['/', '?']) || self.path_prefix.ends_with('/')
    }
}

/// Limits of a workspace; an absent limit means unlimited.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Most requests per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// Most tokens per second, prompts and answers together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<f64>,
    /// Most requests in progress at the same time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<u32>,
}

/// The retry budget: a token bucket filled by requests that succeed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retry {
    /// Retries added to the bucket per 100 successful requests.
    pub per_100_requests: f64,
    /// Capacity of the bucket, in retries.
    pub burst: u32,
    /// Most attempts of one request, including the first.
    pub max_tries: u32,
}

impl Default for Retry {
    fn default() -> Self {
        Self { per_100_requests: 10.0, burst: 20, max_tries: 3 }
    }
}

/// Weights of the two costs that rebalancing trades off.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rebalancing {
    /// Weight of the skew of step times between the ranks.
    pub skew_weight: f64,
    /// Weight of the cost of moving expert weights.
    pub move_weight: f64,
}

impl Default for Rebalancing {
    fn default() -> Self {
        Self { skew_weight: 1.0, move_weight: 1.0 }
    }
}

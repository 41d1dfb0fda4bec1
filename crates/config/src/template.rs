//! Templates: the parameters that many workspaces share.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The highest priority of a request; the lowest is 0 and is shed first.
pub const MAX_PRIORITY: u8 = 9;

/// Shared parameters under a name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Its name.
    pub name: String,
    /// What it is for; shown to operators only.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub description: String,
    /// What its workspaces get unless they say otherwise.
    #[serde(default)]
    pub parameters: Parameters,
    /// How experts of the groups that serve it are rebalanced. Groups serve many workspaces, so
    /// a workspace can't override it.
    #[serde(default)]
    pub rebalancing: Rebalancing,
}

/// What a workspace may use, and how much of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Parameters {
    /// Models it may ask for, by name.
    pub models: BTreeMap<String, Model>,
    /// Services it may call, by name.
    pub services: BTreeMap<String, Service>,
    /// Priority of its requests, 0 to [`MAX_PRIORITY`]; the lowest is shed first.
    pub priority: u8,
    /// How much it may use at once and over time.
    pub limits: Limits,
    /// How often its idempotent requests are tried again.
    pub retry: Retry,
    /// Longest time a request may take, in milliseconds; callers may ask for less.
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

/// A model that may be asked for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Model {
    /// Version to serve; the one that is loaded if absent. All documents that name one name the
    /// same.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Adapters that may be named with it; engines hold those of all documents.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<String>,
}

/// A plain service that may be called.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// Its calls; the first route that matches counts, and a call without one is refused.
    pub routes: Vec<ServiceRoute>,
}

/// Calls of a service that are treated alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRoute {
    /// HTTP method; any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// What the path begins with.
    pub path_prefix: String,
    /// Whether running such a call twice does no harm. It has no default, because a wrong guess
    /// sends out two crews.
    pub idempotent: bool,
}

impl Service {
    /// The route of a call.
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
        let method_matches = self.method.as_deref().is_none_or(|own| own == method);
        method_matches && self.path_matches(path)
    }

    /// A prefix ends at a `/`, so that `/orders` does not cover `/ordersheet`.
    fn path_matches(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.path_prefix.as_str()) else { return false };
        rest.is_empty() || rest.starts_with(['/', '?']) || self.path_prefix.ends_with('/')
    }
}

/// Limits of a workspace; what is absent is not limited.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// Tokens a second, of prompts and answers together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<f64>,
    /// Requests in progress at one time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<u32>,
}

/// The retry budget: a token bucket filled by requests that succeed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retry {
    /// Retries earned by 100 requests that succeed.
    pub per_100_requests: f64,
    /// Most retries that can be saved up.
    pub burst: u32,
    /// Most tries of one request, the first included.
    pub max_tries: u32,
}

impl Default for Retry {
    fn default() -> Self {
        Self { per_100_requests: 10.0, burst: 20, max_tries: 3 }
    }
}

/// Weights of the two costs between which rebalancing chooses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rebalancing {
    /// Weight of the skew of step times.
    pub skew_weight: f64,
    /// Weight of the expert weights that are moved.
    pub move_weight: f64,
}

impl Default for Rebalancing {
    fn default() -> Self {
        Self { skew_weight: 1.0, move_weight: 1.0 }
    }
}

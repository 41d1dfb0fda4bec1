//! Workspaces: a template's name, tokens, and overrides of the template's parameters.

use crate::template::{Limits, Model, Parameters, Retry, Service};
use crate::token::TokenHash;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A workspace: the tokens of its callers, and the template and overrides that apply to them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace, unique in the configuration.
    pub name: String,
    /// Name of the template that the parameters come from.
    pub template: String,
    /// Hashes of the tokens that callers may use; usually one, two while a token is being replaced.
    pub token_sha256: Vec<TokenHash>,
    /// Parameters that differ from the template's.
    #[serde(default, skip_serializing_if = "Overrides::is_empty")]
    pub overrides: Overrides,
}

/// Parameters that differ from the template's. A field that is present replaces the template's
/// whole value; only limits are replaced individually.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Overrides {
    /// Replaces all models of the template.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub models: Option<BTreeMap<String, Model>>,
    /// Replaces all services of the template.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub services: Option<BTreeMap<String, Service>>,
    /// Replaces the priority of requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Each limit that is present replaces the template's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limits: Option<Limits>,
    /// Replaces the whole retry budget.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry: Option<Retry>,
    /// Replaces the deadline of requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

impl Overrides {
    /// Whether nothing is overridden.
    ///
    /// ```
    /// use flamingowheel_config::workspace::Overrides;
    /// assert!(Overrides::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the template's parameters with the overrides applied.
    ///
    /// ```
    /// use flamingowheel_config::template::Parameters;
    /// use flamingowheel_config::workspace::Overrides;
    /// let overrides = Overrides { priority: Some(9), ..Overrides::default() };
    /// assert_eq!(overrides.apply_to(&Parameters::default()).priority, 9);
    /// ```
    pub fn apply_to(&self, base: &Parameters) -> Parameters {
        Parameters {
            models: self.models.as_ref().unwrap_or(&base.models).clone(),
            services: self.services.as_ref().unwrap_or(&base.services).clone(),
            priority: self.priority.unwrap_or(base.priority),
            limits: self
                .limits
                .as_ref()
                .map_or_else(|| base.limits.clone(), |o| o.apply_to(&base.limits)),
            retry: self.retry.as_ref().unwrap_or(&base.retry).clone(),
            deadline_ms: self.deadline_ms.unwrap_or(base.deadline_ms),
        }
    }
}

impl Limits {
    fn apply_to(&self, base: &Self) -> Self {
        Self {
            requests_per_s: self.requests_per_s.or(base.requests_per_s),
            tokens_per_s: self.tokens_per_s.or(base.tokens_per_s),
            in_flight: self.in_flight.or(base.in_flight),
        }
    }
}

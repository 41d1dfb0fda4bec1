//! Workspaces: a template's name, tokens, and what differs from the template.

use crate::template::{Limits, Model, Parameters, Retry, Service};
use crate::token::TokenHash;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One workspace of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// The template it takes its parameters from.
    pub template: String,
    /// Hashes of the tokens its callers may use; two while one replaces the other.
    pub token_sha256: Vec<TokenHash>,
    /// What differs from the template.
    #[serde(default, skip_serializing_if = "Overrides::is_empty")]
    pub overrides: Overrides,
}

/// Parameters that differ from the template's. A field that is present replaces the template's
/// as a whole; limits alone are replaced one by one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Overrides {
    /// Replaces the models.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub models: Option<BTreeMap<String, Model>>,
    /// Replaces the services.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub services: Option<BTreeMap<String, Service>>,
    /// Replaces the priority.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Each limit that is present replaces the template's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limits: Option<Limits>,
    /// Replaces the retry budget.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry: Option<Retry>,
    /// Replaces the longest time of a request, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

impl Overrides {
    /// Whether the workspace is just like its template.
    ///
    /// ```
    /// use flamingowheel_config::workspace::Overrides;
    /// assert!(Overrides::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// The template's parameters with these in their place.
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

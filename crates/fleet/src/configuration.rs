//! The operators' configuration: routes, services, workspaces and limits.

use std::collections::HashMap;
use std::sync::Arc;

/// One accepted version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Rises with each accepted change, in uneven steps.
    pub version: u64,
    /// Routes by host, then by path prefix.
    pub routes: HashMap<String, HashMap<String, Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<String, Arc<Service>>,
    /// Workspaces by API key; `None` if requests carry no keys.
    pub workspaces: Option<HashMap<String, Arc<Workspace>>>,
    /// What callers may send.
    pub limits: Limits,
}

impl Configuration {
    /// The route of a request: among those of its host, the one with the longest matching prefix.
    ///
    /// ```
    /// use flamingowheel_fleet::{Configuration, Route};
    /// use std::sync::Arc;
    /// let mut configuration = Configuration::default();
    /// for prefix in ["/a/", "/a/b/"] {
    ///     let route = Arc::new(Route { name: prefix.into(), ..Route::default() });
    ///     configuration.routes.entry("h".into()).or_default().insert(prefix.into(), route);
    /// }
    /// assert_eq!(configuration.route("h", "/a/b/c").unwrap().name, "/a/b/");
    /// assert_eq!(configuration.route("h", "/a/bc").unwrap().name, "/a/");
    /// assert!(configuration.route("h", "/b").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.into_iter().find_map(|end| routes.get(&path[..end]))
    }
}

impl Configuration {
    /// The shortest pause goal of a service's streams, in milliseconds.
    pub fn pause_goal_ms(&self, service: &str) -> Option<u64> {
        let routes = self.routes.values().flat_map(HashMap::values);
        let serving = routes.filter(|route| route.splits.iter().any(|s| s.service == service));
        serving.map(|route| route.pause_goal_ms).filter(|goal_ms| *goal_ms > 0).min()
    }
}

/// Where requests of one path prefix go, and how long they may take.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The services that serve it, by weight.
    pub splits: Vec<Split>,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// Whether answers are event streams.
    pub is_stream: bool,
    /// Longest time to an answer's end, in milliseconds; 0 sets no limit.
    pub timeout_ms: u64,
    /// Time within which an answer (of a stream: its first event) is of full worth, in milliseconds.
    pub goal_ms: u64,
    /// Longest pause between events with which a stream is of full worth, in milliseconds.
    pub pause_goal_ms: u64,
    /// Most backend servers that may run one request.
    pub max_attempts: u32,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
}

/// One service of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// The service's name.
    pub service: String,
    /// Its share of the route's requests, against the other weights.
    pub weight: u32,
}

/// What may be sent to a backend server once more after it may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Nothing: at most one run.
    #[default]
    Never,
    /// The whole request.
    Idempotent,
    /// A stream, which goes on after the last event that was delivered.
    Resume,
}

/// A service and, for model services, its engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// Most connections that one of its backend servers accepts, from all callers.
    pub max_connections: u32,
    /// The engines' parameters, for model services.
    pub engine: Option<EngineParameters>,
}

/// How fast the engines of a model service are, as published.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineParameters {
    /// Requests that one rank generates for at once.
    pub slots: u32,
    /// Tokens that a rank's memory holds.
    pub memory_tokens: u64,
    /// Time of a token step, in milliseconds.
    pub step_ms: f64,
    /// Added to a step by each request that is generating, in milliseconds.
    pub per_sequence_ms: f64,
    /// Added to a step by 1,000 tokens of context, in milliseconds.
    pub per_1k_context_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Added to reading by a million pairs of tokens, in milliseconds.
    pub per_million_pairs_ms: f64,
    /// Most prompt tokens read in one step.
    pub chunk_tokens: u32,
    /// Steps in a pass; an event of a stream holds as many tokens.
    pub steps_per_pass: u32,
    /// Mean tokens of a prompt.
    pub mean_prompt_tokens: f64,
    /// Mean tokens of an answer.
    pub mean_answer_tokens: f64,
    /// Sets of layers that share one placement of experts.
    pub expert_sets: usize,
    /// Experts in each set.
    pub experts: usize,
    /// Replicas of experts that a rank holds in each set.
    pub replicas_per_rank: usize,
    /// Experts of a set that are new to a rank in one order, at most.
    pub max_new_experts: usize,
    /// Share of a token's work that experts do.
    pub expert_share: f64,
    /// Time to copy one expert to a rank, in milliseconds.
    pub copy_ms: f64,
}

/// A workspace, as far as requests concern it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// The workspace's name.
    pub name: String,
    /// Goes before the priority of a route, where it is set.
    pub priority: Option<u32>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time to send a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time for which a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// What holds before the first configuration is known: what servers usually allow.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

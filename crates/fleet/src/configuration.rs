//! The operators' configuration: routes, services, workspaces and request limits.

use std::collections::HashMap;
use std::sync::Arc;

/// One accepted version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Increases with each accepted change, not always by 1.
    pub version: u64,
    /// Routes by host, then by path prefix; prefixes end with `/`.
    pub routes: HashMap<String, HashMap<String, Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<String, Arc<Service>>,
    /// Workspaces by API key; `None` if requests carry no keys.
    pub workspaces: Option<HashMap<String, Arc<Workspace>>>,
    /// Size and time limits of callers' requests.
    pub limits: Limits,
}

impl Configuration {
    /// Returns the route of a request: the one with the longest matching path prefix on its host.
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
    /// Returns the shortest non-zero pause goal of all routes to a service, in milliseconds.
    pub fn pause_goal_ms(&self, service: &str) -> Option<u64> {
        let routes = self.routes.values().flat_map(HashMap::values);
        let serving = routes.filter(|route| route.splits.iter().any(|s| s.service == service));
        serving.map(|route| route.pause_goal_ms).filter(|goal_ms| *goal_ms > 0).min()
    }
}

/// Destination, time limits and retry rules of the requests under one path prefix.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Name of the route in the configuration.
    pub name: String,
    /// Services that the route's requests are split between, by weight.
    pub splits: Vec<Split>,
    /// Which requests may be retried after they may have run.
    pub retry_policy: RetryPolicy,
    /// Whether answers are event streams.
    pub is_stream: bool,
    /// Maximum time until the answer is complete, in milliseconds; 0 means no limit.
    pub timeout_ms: u64,
    /// Latency goal of the answer, or of a stream's first event, in milliseconds.
    pub goal_ms: u64,
    /// Goal for the longest pause between two events of a stream, in milliseconds; 0 means none.
    pub pause_goal_ms: u64,
    /// Maximum number of backend servers that may run one request, including the first.
    pub max_attempts: u32,
    /// Priority of the route's requests; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Regions in which requests may be processed; empty means all.
    pub home_regions: Vec<String>,
}

/// A service of a route and its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// Name of the service.
    pub service: String,
    /// Share of the route's requests, relative to the sum of the route's weights.
    pub weight: u32,
}

/// Which requests may be retried after an attempt that may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryPolicy {
    /// None: a request runs at most once.
    #[default]
    Never,
    /// The whole request may be sent again.
    Idempotent,
    /// A stream may be resumed after the last delivered event.
    Resume,
}

/// A service and, for model services, the parameters of its engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Name of the service; routes and backend servers refer to it.
    pub name: String,
    /// Maximum connections that each of its backend servers accepts, over all callers.
    pub max_connections: u32,
    /// Parameters of its engines; only set for model services.
    pub engine: Option<EngineParameters>,
    /// What its backend servers tolerate while cold; `None` if they need no time to warm up.
    pub warm_up: Option<WarmUp>,
}

/// What a backend server tolerates while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// Time after its start for which a server is cold, in milliseconds.
    pub duration_ms: u64,
    /// Requests per second that a cold server takes from all callers together.
    pub rate_per_s: f64,
}

/// Published speed and sizes of the engines of a model service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineParameters {
    /// Maximum requests in the batch of one rank.
    pub slots: u32,
    /// Capacity of a rank's memory, in tokens.
    pub memory_tokens: u64,
    /// Base time of a decoding step, in milliseconds.
    pub step_ms: f64,
    /// Added to a step for each request in the batch, in milliseconds.
    pub per_sequence_ms: f64,
    /// Added to a step for each 1,000 tokens of context, in milliseconds.
    pub per_1k_context_ms: f64,
    /// Prefill speed, in prompt tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Added to the prefill time for each million pairs of tokens, in milliseconds.
    pub per_million_pairs_ms: f64,
    /// Maximum prompt tokens processed in one step.
    pub chunk_tokens: u32,
    /// Steps in a pass, and so the number of tokens in one event of a stream.
    pub steps_per_pass: u32,
    /// Mean length of a prompt, in tokens.
    pub mean_prompt_tokens: f64,
    /// Mean length of an answer, in tokens.
    pub mean_answer_tokens: f64,
    /// Number of sets of layers; the layers of a set share one placement of experts.
    pub expert_sets: usize,
    /// Number of experts in each set.
    pub experts: usize,
    /// Expert replicas that a rank holds in each set.
    pub replicas_per_rank: usize,
    /// Maximum experts of a set that one order may add to a rank.
    pub max_new_experts: usize,
    /// Share of a token's computation that is spent in experts.
    pub expert_share: f64,
    /// Time to copy one expert to a rank, in milliseconds.
    pub copy_ms: f64,
}

/// The part of a workspace that matters for requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name that is passed on to backend servers.
    pub name: String,
    /// Overrides the priority of the route, if set.
    pub priority: Option<u32>,
    /// Regions in which its requests may be processed; empty means all.
    pub home_regions: Vec<String>,
}

/// Size and time limits of callers' requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for a caller to send a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum time for which a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// Common limits of HTTP servers, used until the first configuration is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

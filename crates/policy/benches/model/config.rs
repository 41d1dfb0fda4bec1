//! Configuration and results of the model.

use std::cmp::Reverse;
use std::time::Duration;

use flamingowheel_policy::admission::{AdmissionConfig, Priority};
use flamingowheel_policy::routing::RoutingConfig;
use hdrhistogram::Histogram;

use super::baseline::Baseline;

/// Policy that chooses the backend server.
#[derive(Clone, Copy, Debug)]
pub enum Chooser {
    Baseline(Baseline),
    Shipping(RoutingConfig),
}

/// A class of requests with the same priority.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub share: f64,
    pub priority: Priority,
    pub max_wait: Duration,
}

/// A share of the backend servers that are down for a time.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub from: Duration,
    pub until: Duration,
    pub share: f64,
}

#[derive(Clone, Debug)]
pub struct ModelConfig {
    pub seed: u64,
    pub entries: usize,
    pub servers: usize,
    pub load: f64,
    pub service: Duration,
    /// Work before the first token; included in `service`.
    pub prefill: Duration,
    pub lag: Duration,
    pub report_every: Duration,
    pub warm_up: Duration,
    pub duration: Duration,
    pub chooser: Chooser,
    pub admission: AdmissionConfig,
    pub classes: Vec<Class>,
    pub outage: Option<Outage>,
    /// Share of requests that all have the same body.
    pub same_body_share: f64,
    /// Rank candidates by the body's fingerprint rather than randomly for every request.
    pub seeded: bool,
    /// Prompts with shared prefixes; their prefill is added to `service`.
    pub prompts: Option<PromptsConfig>,
}

/// Requests whose prompts share prefixes, as in conversations.
#[derive(Clone, Copy, Debug)]
pub struct PromptsConfig {
    /// Number of different prefixes; the n-th has a frequency proportional to 1/n.
    pub prefixes: usize,
    /// Blocks of a shared prefix.
    pub prefix_blocks: usize,
    /// Blocks of a prompt after the prefix.
    pub own_blocks: usize,
    /// Blocks that a backend server's cache holds.
    pub cache_blocks: usize,
    /// Time between two messages with cache events.
    pub cache_event_interval: Duration,
    /// Whether cache events are sent to the entries.
    pub sends_cache_events: bool,
}

/// Results of one class.
pub struct ClassFigures {
    pub wait_us: Histogram<u64>,
    pub first_token_us: Histogram<u64>,
    pub arrived: u64,
    pub finished: u64,
    pub refused: u64,
}

impl ClassFigures {
    pub fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are valid");
        Self {
            wait_us: histogram(),
            first_token_us: histogram(),
            arrived: 0,
            finished: 0,
            refused: 0,
        }
    }
}

pub struct Figures {
    pub classes: Vec<ClassFigures>,
    pub tries: u64,
    /// Work finished in the measured time, in seconds of one place.
    pub work_done_s: f64,
    /// How often the common body ran on each backend server.
    pub same_body_runs: Vec<u64>,
    /// Blocks of all started prompts.
    pub prompt_blocks: u64,
    /// Blocks of started prompts that were cached on their server.
    pub cached_blocks: u64,
}

impl Figures {
    pub fn arrived(&self) -> u64 {
        self.classes.iter().map(|class| class.arrived).sum()
    }

    pub fn tries_per_request(&self) -> f64 {
        self.tries as f64 / self.arrived() as f64
    }

    pub fn refused_share(&self) -> f64 {
        let refused: u64 = self.classes.iter().map(|class| class.refused).sum();
        refused as f64 / self.arrived() as f64
    }

    /// Share of the common body's runs on the eight servers with most of them.
    pub fn same_body_share_of_top_8(&self) -> f64 {
        let mut runs = self.same_body_runs.clone();
        runs.sort_unstable_by_key(|runs| Reverse(*runs));
        let all: u64 = runs.iter().sum();
        runs.iter().take(8).sum::<u64>() as f64 / all.max(1) as f64
    }

    /// Share of all prefill that was saved by caches.
    pub fn prefill_saved_share(&self) -> f64 {
        self.cached_blocks as f64 / self.prompt_blocks.max(1) as f64
    }

    pub fn wait_s(&self, quantile: f64) -> f64 {
        let mut all = self.classes[0].wait_us.clone();
        for class in &self.classes[1..] {
            all.add(&class.wait_us).expect("histograms share their bounds");
        }
        all.value_at_quantile(quantile) as f64 / 1e6
    }
}

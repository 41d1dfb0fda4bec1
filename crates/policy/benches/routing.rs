//! Routing with lagging load reports: baselines and the shipping policy in the same model.
#![allow(clippy::print_stdout, clippy::print_stderr, missing_docs)]

mod model;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use flamingowheel_policy::admission::{AdmissionConfig, Priority};
use flamingowheel_policy::key::{Fingerprint, ServerKey};
use flamingowheel_policy::load::{Load, LoadTracker};
use flamingowheel_policy::prefix::{BlockHash, CacheChange, CacheEvent, PrefixConfig, PrefixIndex};
use flamingowheel_policy::routing::{RouteRequest, RoutingConfig, choose};

use model::baseline::{Baseline, Rule};
use model::config::PromptsConfig;
use model::{Chooser, Class, Figures, Model, ModelConfig};

const SERVERS: usize = 64;
const ENTRIES: usize = 8;
const LOAD: f64 = 0.9;
const UNBOUNDED: usize = 1_000_000;

fn main() -> ExitCode {
    let seed = match model::args::seed() {
        Ok(seed) => seed,
        Err(code) => return code,
    };
    let best_of_2 = baselines(seed);
    let shipping = run(config(seed, ENTRIES, shipping()));
    println!("wait_p99_vs_best_of_2={:.4}", shipping.wait_s(0.99) / best_of_2);
    println!("tries_per_request={:.4}", shipping.tries_per_request());
    println!("refused_share={:.6}", shipping.refused_share());
    print("shipping", &shipping);
    for entries in [32, 128] {
        let figures = run(config(seed, entries, crate::shipping()));
        print(&format!("shipping_{entries}_entries"), &figures);
        let ratio = figures.wait_s(0.99) / best_of_2;
        println!("shipping_{entries}_entries_wait_p99_vs_best_of_2_with_8={ratio:.4}");
    }
    same_body(seed);
    shared_prefixes(seed);
    println!("shipping_choose_ns={:.0}", choose_ns());
    println!("prefix_choose_ns={:.0}", prefix_choose_ns());
    ExitCode::SUCCESS
}

fn baselines(seed: u64) -> f64 {
    let queue = |rule| Baseline { rule, early_queue: None, max_tries: 1 };
    let best_of = |candidates, own_sends| Rule::BestOf { candidates, own_sends };
    let refusing = Baseline { rule: best_of(4, true), early_queue: Some(1), max_tries: 4 };
    let policies = [
        ("random", queue(Rule::Random)),
        ("least_by_report", queue(Rule::LeastByReport)),
        ("best_of_2_by_report", queue(best_of(2, false))),
        ("best_of_2_report_and_own_sends", queue(best_of(2, true))),
        ("best_of_4_with_refusal", refusing),
    ];
    let mut best_of_2 = 0.0;
    for (name, baseline) in policies {
        let figures = run(config(seed, ENTRIES, Chooser::Baseline(baseline)));
        print(name, &figures);
        if name == "best_of_2_by_report" {
            best_of_2 = figures.wait_s(0.99);
        }
    }
    best_of_2
}

/// Cost and benefit of ranking candidates by the body's fingerprint, with 5 % of requests having
/// the same body.
fn same_body(seed: u64) {
    for (name, seeded) in [("same_body_seeded", true), ("same_body_drawn_anew", false)] {
        let same =
            ModelConfig { same_body_share: 0.05, seeded, ..config(seed, ENTRIES, shipping()) };
        let figures = run(same);
        print(name, &figures);
        println!("{name}_share_of_top_8={:.4}", figures.same_body_share_of_top_8());
    }
}

/// Prefill saved by caches with and without cache events, on the same trace of prompts with shared
/// prefixes: 200 prefixes of 24 blocks, 8 further blocks per prompt, caches of 40 whole prompts.
fn shared_prefixes(seed: u64) {
    for load in [0.5, 0.9] {
        for (name, sends_cache_events) in [("without", false), ("with", true)] {
            let prompts = PromptsConfig {
                prefixes: 200,
                prefix_blocks: 24,
                own_blocks: 8,
                cache_blocks: 40 * 32,
                cache_event_interval: Duration::from_millis(500),
                sends_cache_events,
            };
            // Prefill of a whole prompt adds 320 ms to a service time of 2 s; the load includes it.
            let load_with_prefill = load * 2.0 / 2.32;
            let config = ModelConfig {
                prompts: Some(prompts),
                load: load_with_prefill,
                ..config(seed, ENTRIES, shipping())
            };
            let figures = run(config);
            let name = format!("prefix_load_{load:.1}_{name}_knowledge");
            println!("{name}_prefill_saved_share={:.4}", figures.prefill_saved_share());
            let first_token = &figures.classes[0].first_token_us;
            println!("{name}_first_token_mean_s={:.4}", first_token.mean() / 1e6);
            let p99 = first_token.value_at_quantile(0.99) as f64 / 1e6;
            println!("{name}_first_token_p99_s={p99:.4}");
            println!("{name}_tries={:.4}", figures.tries_per_request());
            println!("{name}_refused={:.6}", figures.refused_share());
        }
    }
}

/// Time of one decision over a cell of 64 backend servers, half of them with fresh loads.
fn choose_ns() -> f64 {
    const ROUNDS: u32 = 200_000;
    let keys: Vec<ServerKey> = (0..SERVERS as u64).map(ServerKey).collect();
    let now = Duration::from_secs(10);
    let mut tracker = LoadTracker::default();
    for (index, key) in keys.iter().enumerate() {
        tracker.insert(*key);
        let load = Load { running: 7, waiting: 0, places: 8, service_ms: 2_000 };
        let as_of = if index % 2 == 0 { now } else { now - Duration::from_secs(2) };
        tracker.on_report(*key, load, as_of);
    }
    let config = RoutingConfig::default();
    let start = Instant::now();
    for round in 0..ROUNDS {
        let fingerprint = Fingerprint(u128::from(round));
        let request = RouteRequest { fingerprint, tried: &[] };
        let choice = choose(&config, &request, &keys, &tracker, now, |_| Some(Duration::ZERO));
        std::hint::black_box(choice.is_ok());
    }
    start.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
}

/// Like [`choose_ns`], for a prompt of 32 blocks of which every eighth backend server has 24.
fn prefix_choose_ns() -> f64 {
    const ROUNDS: u32 = 50_000;
    let keys: Vec<ServerKey> = (0..SERVERS as u64).map(ServerKey).collect();
    let now = Duration::from_secs(10);
    let prompt: Vec<BlockHash> = (0..32).map(BlockHash).collect();
    let (mut tracker, mut prefixes) =
        (LoadTracker::default(), PrefixIndex::new(PrefixConfig::default()));
    for (index, key) in keys.iter().enumerate() {
        tracker.insert(*key);
        let load = Load { running: 7, waiting: 0, places: 8, service_ms: 2_000 };
        tracker.on_report(*key, load, now);
        if index % 8 == 0 {
            let change = CacheChange::Stored(prompt[..24].to_vec());
            prefixes.on_event(*key, CacheEvent { number: 1, change }, now);
        }
    }
    let config = RoutingConfig::default();
    let start = Instant::now();
    for round in 0..ROUNDS {
        let request = RouteRequest { fingerprint: Fingerprint(u128::from(round)), tried: &[] };
        let extra = prefixes.extra_prefill(&keys, &prompt, now);
        let extra_cost = |server| Some(extra.of(server));
        let choice = choose(&config, &request, &keys, &tracker, now, extra_cost);
        std::hint::black_box(choice.is_ok());
    }
    start.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
}

fn shipping() -> Chooser {
    Chooser::Shipping(RoutingConfig::default())
}

fn config(seed: u64, entries: usize, chooser: Chooser) -> ModelConfig {
    let admission = match chooser {
        Chooser::Baseline(baseline) => AdmissionConfig {
            early_queue: baseline.early_queue.unwrap_or(UNBOUNDED),
            max_queue: UNBOUNDED,
            ..AdmissionConfig::default()
        },
        Chooser::Shipping(_) => AdmissionConfig::default(),
    };
    ModelConfig {
        seed,
        entries,
        servers: SERVERS,
        load: LOAD,
        service: Duration::from_secs(2),
        prefill: Duration::ZERO,
        lag: Duration::from_secs(1),
        report_every: Duration::from_secs(1),
        warm_up: Duration::from_secs(60),
        duration: Duration::from_secs(400),
        chooser,
        admission,
        classes: vec![Class {
            share: 1.0,
            priority: Priority(100),
            max_wait: Duration::from_secs(600),
        }],
        outage: None,
        same_body_share: 0.0,
        seeded: true,
        prompts: None,
    }
}

fn run(config: ModelConfig) -> Figures {
    Model::new(config).run()
}

fn print(name: &str, figures: &Figures) {
    println!("{name}_wait_p50_s={:.4}", figures.wait_s(0.50));
    println!("{name}_wait_p95_s={:.4}", figures.wait_s(0.95));
    println!("{name}_wait_p99_s={:.4}", figures.wait_s(0.99));
    println!("{name}_tries_per_request={:.4}", figures.tries_per_request());
    println!("{name}_refused_share={:.6}", figures.refused_share());
}

//! Overload and outage in the model of the routing benchmark, and the overshoot of limits.
#![allow(clippy::print_stdout, clippy::print_stderr, missing_docs)]

mod model;

use std::process::ExitCode;
use std::time::Duration;

use flamingowheel_policy::admission::{AdmissionConfig, Priority};
use flamingowheel_policy::routing::RoutingConfig;

use model::baseline::{Baseline, Rule};
use model::config::Outage;
use model::limits::LimitsConfig;
use model::{Chooser, Class, Figures, Model, ModelConfig};

const SERVERS: usize = 64;
const ENTRIES: usize = 8;
const WARM_UP: Duration = Duration::from_secs(60);
const DURATION: Duration = Duration::from_secs(200);

fn main() -> ExitCode {
    let seed = match model::args::seed() {
        Ok(seed) => seed,
        Err(code) => return code,
    };
    twice_capacity(seed);
    outage(seed);
    limits(seed);
    ExitCode::SUCCESS
}

fn twice_capacity(seed: u64) {
    let unloaded = Model::new(config(seed, 0.1)).run();
    let unloaded_p95 = first_token_p95_s(&unloaded, 0);
    println!("unloaded_top_first_token_p95_s={unloaded_p95:.4}");
    for load in [1.0, 1.5, 2.0, 3.0] {
        let figures = Model::new(config(seed, load)).run();
        let name = format!("load_{load:.1}");
        print_overload(&name, &figures, unloaded_p95);
    }
    let mut fifo = config(seed, 2.0);
    let rule = Rule::BestOf { candidates: 2, own_sends: false };
    fifo.chooser = Chooser::Baseline(Baseline { rule, early_queue: None, max_tries: 1 });
    fifo.admission.max_queue = 1_000_000;
    fifo.admission.urgent = Priority(u8::MAX);
    for class in &mut fifo.classes {
        class.priority = Priority(0);
    }
    print_overload(
        "baseline_best_of_2_no_shedding_load_2.0",
        &Model::new(fifo).run(),
        unloaded_p95,
    );
}

fn print_overload(name: &str, figures: &Figures, unloaded_p95: f64) {
    println!("{name}_goodput_vs_capacity={:.4}", goodput(figures));
    let top = first_token_p95_s(figures, 0);
    println!("{name}_top_first_token_p95_vs_unloaded={:.4}", top / unloaded_p95);
    println!("{name}_tries_per_request={:.4}", figures.tries_per_request());
    for (class, name_of_class) in figures.classes.iter().zip(["top", "middle", "low"]) {
        let refused = class.refused as f64 / class.arrived as f64;
        println!("{name}_{name_of_class}_refused_share={refused:.4}");
    }
}

/// Finished work, relative to the capacity of all places.
fn goodput(figures: &Figures) -> f64 {
    let places = SERVERS as f64 * f64::from(AdmissionConfig::default().places);
    figures.work_done_s / (places * DURATION.as_secs_f64())
}

fn first_token_p95_s(figures: &Figures, class: usize) -> f64 {
    figures.classes[class].first_token_us.value_at_quantile(0.95) as f64 / 1e6
}

/// A third of the backend servers is down for a minute, at a load that the others can handle and at
/// one that they can't.
fn outage(seed: u64) {
    for load in [0.6, 0.9] {
        let mut config = config(seed, load);
        config.outage = Some(Outage {
            from: WARM_UP + Duration::from_secs(20),
            until: WARM_UP + Duration::from_secs(80),
            share: 1.0 / 3.0,
        });
        config.duration = Duration::from_secs(90);
        let figures = Model::new(config).run();
        println!("outage_load_{load:.1}_tries_per_request={:.4}", figures.tries_per_request());
        println!("outage_load_{load:.1}_refused_share={:.4}", figures.refused_share());
        let top = &figures.classes[0];
        let top_refused = top.refused as f64 / top.arrived as f64;
        println!("outage_load_{load:.1}_top_refused_share={top_refused:.4}");
    }
}

/// A limit that is split over eight entries, with demand that moves between them.
fn limits(seed: u64) {
    let ms = Duration::from_millis;
    let cases = [
        ("even_twice", 2.0, 8, 0.0, ms(2)),
        ("even_half", 0.5, 8, 0.0, ms(2)),
        ("one_entry_full", 1.0, 1, 0.0, ms(2)),
        ("two_entries_half", 0.5, 2, 0.0, ms(2)),
        ("two_entries_twice", 2.0, 2, 0.0, ms(2)),
        ("two_entries_twice_lossy_late", 2.0, 2, 0.2, ms(3_000)),
    ];
    for (name, load, busy_members, message_loss, message_delay) in cases {
        let config =
            LimitsConfig { seed, members: 8, load, busy_members, message_loss, message_delay };
        let figures = model::limits::run(&config);
        println!("limits_{name}_used={:.4}", figures.used);
        println!("limits_{name}_overshoot_s={:.4}", figures.overshoot_s);
        println!("limits_{name}_messages_per_s={:.2}", figures.messages_per_s);
    }
}

fn config(seed: u64, load: f64) -> ModelConfig {
    let class = |share, priority, max_wait_s| Class {
        share,
        priority: Priority(priority),
        max_wait: Duration::from_secs_f64(max_wait_s),
    };
    ModelConfig {
        seed,
        entries: ENTRIES,
        servers: SERVERS,
        load,
        service: Duration::from_secs(2),
        prefill: Duration::from_millis(250),
        lag: Duration::from_secs(1),
        report_every: Duration::from_secs(1),
        warm_up: WARM_UP,
        duration: DURATION,
        chooser: Chooser::Shipping(RoutingConfig::default()),
        admission: AdmissionConfig::default(),
        classes: vec![class(0.1, 200, 8.0), class(0.4, 100, 4.0), class(0.5, 50, 1.0)],
        outage: None,
        same_body_share: 0.0,
        seeded: true,
        prompts: None,
    }
}

//! Cost of the configuration at the planned fleet size. Prints `name=value` lines.
//!
//! `cargo bench --bench config` takes about a minute. Processor times are those of the machine it
//! runs on. Times until a change is in force are simulated: they are measured on tokio's paused
//! clock over links with a fixed delay.

#![allow(clippy::print_stdout, reason = "a bench reports on standard output")]

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Entry, Fleet, template};
use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_config::apply::{Applied, ApplyRequest};
use flamingowheel_config::bucket::{BUCKET_PREFIX, CONFIG_PREFIX, LOG_PREFIX, encode};
use flamingowheel_config::change::{Change, Origin};
use flamingowheel_config::document::Edit;
use flamingowheel_config::effective::{ConfigRevision, EffectiveConfig};
use flamingowheel_config::replica::Replica;
use flamingowheel_config::store::Store;
use flamingowheel_config::template::{Limits, Model, Parameters, Template};
use flamingowheel_config::token::TokenHash;
use flamingowheel_config::workspace::{Overrides, Workspace};
use std::sync::Arc;
use std::time::{Duration, Instant};
use uuid::Uuid;

const WORKSPACES: usize = 27_000;
const TEMPLATES: usize = 24;
const MODELS: usize = 14;
const CHANGES_A_DAY: f64 = 8_900.0;
const DAY_S: f64 = 86_400.0;
const ENTRIES: usize = 380;
const DATA_CENTRES: usize = 5;
/// One-way delay within a region.
const NEAR_DELAY: Duration = Duration::from_micros(500);
/// One-way delay between regions.
const FAR_DELAY: Duration = Duration::from_millis(40);
/// Duration of one call of the key-value service.
const CALL_DELAY: Duration = Duration::from_millis(5);
const CHANGES_PER_BATCH: usize = 500;
/// Number of changes whose cost is measured.
const MEASURED_CHANGES: usize = 600;
const IN_FORCE_CHANGES: usize = 24;

fn print<V>(name: &str, value: V)
where
    V: std::fmt::Display,
{
    println!("{name}={value}");
}

fn main() {
    let runtime = || {
        tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime without I/O")
    };
    runtime().block_on(store());
    runtime().block_on(fleet());
}

fn template_of(number: usize) -> Template {
    let models = (0..3).map(|model| {
        let adapters = vec![format!("adapter-{number}"), format!("adapter-{}", number + 1)];
        (format!("model-{}", (number + model) % MODELS), Model { version: None, adapters })
    });
    let limits =
        Limits { requests_per_s: Some(50.0), tokens_per_s: Some(9_000.0), in_flight: Some(64) };
    let parameters = Parameters { models: models.collect(), limits, ..Parameters::default() };
    Template {
        name: format!("template-{number}"),
        description: String::new(),
        parameters,
        rebalancing: Default::default(),
    }
}

/// Creates a workspace; one in ten overrides its limits.
fn workspace_of(number: usize, in_flight: u32) -> Workspace {
    let name = format!("workspace-{number:05}");
    let limits = Limits { in_flight: Some(in_flight), ..Limits::default() };
    let overrides = match number % 10 {
        0 => Overrides { limits: Some(limits), ..Overrides::default() },
        _ => Overrides::default(),
    };
    Workspace {
        token_sha256: vec![TokenHash::of(name.as_bytes())],
        template: format!("template-{}", number % TEMPLATES),
        name,
        overrides,
    }
}

fn request(edits: Vec<Edit>, seen: ConfigRevision) -> ApplyRequest {
    let origin = Origin {
        operator: "operator-1".to_owned(),
        at_unix_ms: 1_700_000_000_000,
        comment: "more places for the evening".to_owned(),
    };
    ApplyRequest { uuid: Uuid::new_v4(), origin, edits, seen }
}

async fn accept(store: &Store, replica: &mut Replica, edits: Vec<Edit>) -> Arc<Change> {
    let request = request(edits, replica.revision());
    match store.apply(replica, &request).await.expect("no fault is set") {
        Applied::Accepted(change) => change,
        Applied::Unchanged => panic!("each change of the bench changes something"),
    }
}

async fn store() {
    let kv = FakeKeyValue::new();
    let store = Store::new(Arc::new(kv.clone()));
    let mut replica = Replica::default();
    let templates = (0..TEMPLATES).map(|number| Edit::PutTemplate(template_of(number)));
    accept(&store, &mut replica, templates.collect()).await;
    let numbers: Vec<usize> = (0..WORKSPACES).collect();
    for batch in numbers.chunks(CHANGES_PER_BATCH) {
        let edits = batch.iter().map(|number| Edit::PutWorkspace(workspace_of(*number, 8)));
        accept(&store, &mut replica, edits.collect()).await;
    }
    store.fold(&mut replica).await.expect("no fault is set");
    sizes(&kv);
    change_costs(&kv, &store, &mut replica).await;
    cold_load(&kv, &store).await;
}

fn sizes(kv: &FakeKeyValue) {
    let buckets = kv.peek(BUCKET_PREFIX).entries;
    let largest = buckets.iter().map(|entry| entry.value.len()).max().unwrap_or(0);
    print("workspaces", WORKSPACES);
    print("buckets", buckets.len());
    print("largest_bucket_bytes", largest);
    print("buckets_bytes", buckets.iter().map(|entry| entry.value.len()).sum::<usize>());
}

async fn cold_load(kv: &FakeKeyValue, store: &Store) {
    let before = kv.calls().total();
    let start = Instant::now();
    let replica = store.load().await.expect("no fault is set");
    let loaded = start.elapsed();
    let effective = EffectiveConfig::new(replica.documents());
    print("cold_load_calls", kv.calls().total() - before);
    print(
        "cold_load_bytes",
        kv.peek(CONFIG_PREFIX).entries.iter().map(|e| e.value.len()).sum::<usize>(),
    );
    print("cold_load_processor_ms", millis(start.elapsed()));
    print("cold_load_resolve_ms", millis(start.elapsed() - loaded));
    assert_eq!(effective.workspaces().count(), WORKSPACES);
    print("memory_mb", format!("{:.1}", memory_of_one(store).await / 1e6));
    kv.set_delay(CALL_DELAY);
    let start = tokio::time::Instant::now();
    store.load().await.expect("no fault is set");
    print("cold_load_clock_ms", millis(start.elapsed()));
    kv.set_delay(Duration::ZERO);
}

/// Bytes of one replica with its resolved workspaces: the mean growth over several replicas. The
/// first ones are not counted, since they may reuse memory that the bench has freed.
async fn memory_of_one(store: &Store) -> f64 {
    const UNCOUNTED: usize = 6;
    const MEASURED: usize = 6;
    let mut kept = Vec::new();
    let mut resident = 0;
    for number in 0..UNCOUNTED + MEASURED {
        if number == UNCOUNTED {
            resident = resident_bytes();
        }
        let replica = store.load().await.expect("no fault is set");
        let effective = EffectiveConfig::new(replica.documents());
        kept.push((replica, effective));
    }
    resident_bytes().saturating_sub(resident) as f64 / MEASURED as f64
}

/// Cost of changes of one workspace each, as operators make them.
async fn change_costs(kv: &FakeKeyValue, store: &Store, replica: &mut Replica) {
    let calls = kv.calls().total();
    let (mut advance_time, mut resolve_time, mut bytes) = (Duration::ZERO, Duration::ZERO, 0);
    let mut accept_time = Duration::ZERO;
    let mut other = replica.clone();
    let mut effective = EffectiveConfig::new(other.documents());
    let mut folded_bytes = 0;
    for number in 0..MEASURED_CHANGES {
        let edit = Edit::PutWorkspace(workspace_of(number * 10, 9 + number as u32));
        let start = Instant::now();
        let change = accept(store, replica, vec![edit]).await;
        accept_time += start.elapsed();
        let stored = encode(&*change);
        bytes += stored.len();
        let before = kv.peek(BUCKET_PREFIX).revision;
        store.fold_if_due(replica).await.expect("no fault is set");
        let buckets = kv.peek(BUCKET_PREFIX).entries;
        let written = buckets.iter().filter(|entry| entry.mod_revision > before);
        folded_bytes += written.map(|entry| entry.value.len()).sum::<usize>();
        let start = Instant::now();
        let received: Change = serde_json::from_slice(&stored).expect("just encoded");
        let received = Arc::new(received);
        other.advance(Arc::clone(&received)).expect("the next revision");
        advance_time += start.elapsed();
        let start = Instant::now();
        effective = effective.with_edits(other.documents(), &received.edits);
        resolve_time += start.elapsed();
    }
    let per_change = |total: f64| total / MEASURED_CHANGES as f64;
    let calls = (kv.calls().total() - calls) as f64;
    print("change_bytes", format!("{:.0}", per_change(bytes as f64)));
    print("change_fold_bytes", format!("{:.0}", per_change(folded_bytes as f64)));
    print("change_accept_processor_ms", format!("{:.2}", per_change(millis_f64(accept_time))));
    print("change_take_processor_ms", format!("{:.3}", per_change(millis_f64(advance_time))));
    print("change_resolve_processor_ms", format!("{:.2}", per_change(millis_f64(resolve_time))));
    print("change_service_calls", format!("{:.2}", per_change(calls)));
    let share =
        per_change(millis_f64(advance_time + resolve_time)) * CHANGES_A_DAY / DAY_S / 1_000.0;
    print("changes_core_share", format!("{share:.5}"));
    let start = Instant::now();
    std::hint::black_box(EffectiveConfig::new(other.documents()));
    print("template_change_resolve_processor_ms", millis(start.elapsed()));
    let log = kv.peek(LOG_PREFIX).entries;
    print("log_bytes", log.iter().map(|entry| entry.value.len()).sum::<usize>());
}

async fn fleet() {
    let mut fleet = Fleet::start(ENTRIES, DATA_CENTRES).await;
    fleet.network.set_far_delay(FAR_DELAY);
    fleet.network.set_delay(NEAR_DELAY);
    fleet.kv.set_delay(CALL_DELAY);
    tokio::time::sleep(Duration::from_secs(30)).await;
    print("entries", ENTRIES);
    print("data_centres", DATA_CENTRES);
    print("watches", fleet.kv.open_watches());
    in_force(&fleet, "in_force").await;
    steady_state(&fleet).await;
    stalled_watches(&fleet).await;
    start_during_outage(&mut fleet).await;
}

async fn in_force(fleet: &Fleet, name: &str) {
    let mut times = Vec::new();
    for number in 0..IN_FORCE_CHANGES {
        let entry = fleet.entry(number * 13 % ENTRIES);
        times.push(change_everywhere(fleet, entry, number).await);
    }
    times.sort_unstable();
    print(&format!("{name}_p50_ms"), millis(times[times.len() / 2]));
    print(&format!("{name}_max_ms"), millis(times[times.len() - 1]));
}

/// Applies a change and returns the time from the operator's request until every entry has it.
async fn change_everywhere(fleet: &Fleet, entry: &Entry, number: usize) -> Duration {
    let start = tokio::time::Instant::now();
    let next = fleet.kv_revision() + 1;
    let text = template((next % 10) as u8);
    assert!(matches!(entry.apply(&text).await, Ok(Applied::Accepted(_))), "{number}");
    fleet.until_revision(next, Duration::from_secs(60)).await;
    start.elapsed()
}

/// Prints the cost of changes at their mean rate: the share of a processor core per entry, calls of
/// the key-value service per second, and bytes that an entry sends per second.
async fn steady_state(fleet: &Fleet) {
    const STEADY: Duration = Duration::from_secs(97);
    let calls = fleet.kv.calls().total();
    fleet.network.start_measuring();
    let (start, processor) = (tokio::time::Instant::now(), Instant::now());
    let mut number = 0;
    while start.elapsed() < STEADY {
        change_everywhere(fleet, fleet.entry(number * 29 % ENTRIES), number).await;
        number += 1;
        let next = Duration::from_secs_f64(number as f64 * DAY_S / CHANGES_A_DAY);
        tokio::time::sleep_until(start + next).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let calls = (fleet.kv.calls().total() - calls) as f64;
    // All entries and the simulated links run on this thread.
    let share = processor.elapsed().as_secs_f64() / seconds / ENTRIES as f64;
    print("steady_core_share", format!("{share:.5}"));
    print("steady_changes_per_s", format!("{:.3}", number as f64 / seconds));
    print("steady_service_calls_per_s", format!("{:.2}", calls / seconds));
    let mut sent: Vec<u64> = fleet.network.sent_bytes().into_values().collect();
    sent.sort_unstable();
    let rate = |bytes: u64| format!("{:.0}", bytes as f64 / seconds);
    print("steady_sent_bytes_per_s_p50", rate(sent[sent.len() / 2]));
    print("steady_sent_bytes_per_s_max", rate(sent[sent.len() - 1]));
}

/// All watches stall just before each change, which only the key-value service then has.
async fn stalled_watches(fleet: &Fleet) {
    let mut slowest = Duration::ZERO;
    for number in 0..6 {
        fleet.kv.silence_watches();
        let start = tokio::time::Instant::now();
        let next = fleet.kv_revision() + 1;
        fleet.apply_and_crash(&template((next % 10) as u8)).await;
        fleet.until_revision(next, Duration::from_secs(60)).await;
        slowest = slowest.max(start.elapsed());
        tokio::time::sleep(Duration::from_secs(number)).await;
    }
    print("in_force_deaf_watches_max_ms", millis(slowest));
}

/// Time until a process that starts while the key-value service is down can serve.
async fn start_during_outage(fleet: &mut Fleet) {
    fleet.kv.set_down(true);
    fleet.kill(ENTRIES - 1);
    let start = tokio::time::Instant::now();
    let node = fleet.add(ENTRIES, DATA_CENTRES).node.clone();
    while !node.may_serve() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    print("start_without_service_ms", millis(start.elapsed()));
}

fn millis(duration: Duration) -> u128 {
    duration.as_millis()
}

fn millis_f64(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Resident memory of this process, or 0 where `/proc` is not available.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

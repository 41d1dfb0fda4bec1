//! Calls to the key-value service for callers' idempotency keys.

use crate::Failure;
use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_backing::kv::{
    KeyValue, KeyValueError, LeaseId, Revision, Snapshot, Transaction, TransactionAnswer, Watch,
};
use flamingowheel_entry::claims::{BindReply, Claim, Claims, ForwardedClaim, Peers, writer_of};
use flamingowheel_entry::config::EntryConfig;
use flamingowheel_proof::entry::fleet_key;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// A small fleet, and the planned one with and without forwarding claims to a few writers.
const FLEETS: [Fleet; 3] = [
    Fleet { name: "8_entries", entries: 8, regions: 1, forwards_claims: true },
    Fleet { name: "380_entries_each_writes", entries: 380, regions: 2, forwards_claims: false },
    Fleet { name: "380_entries", entries: 380, regions: 2, forwards_claims: true },
];
/// One-way latency between two entries of a region.
const FORWARD_TIME: Duration = Duration::from_millis(1);
const KEYS_PER_S: [u32; 3] = [10, 100, 650];
const ANSWER_TIMES: [Duration; 3] =
    [Duration::from_millis(2), Duration::from_millis(10), Duration::from_millis(50)];
/// How long a caller waits.
const DEADLINE: Duration = Duration::from_secs(10);
const RUN_TIME: Duration = Duration::from_secs(60);
/// Longer than the timeout of the service's clients.
const SILENT_DELAY: Duration = Duration::from_secs(3_600);

#[derive(Clone, Copy)]
struct Fleet {
    name: &'static str,
    entries: usize,
    regions: usize,
    /// Whether entries forward claims to the entries that write for others.
    forwards_claims: bool,
}

/// The other entries of a region, in memory.
struct Region {
    own_name: String,
    entries: Arc<BTreeMap<String, Claims>>,
    forwarded: Arc<AtomicU32>,
}

impl Peers for Region {
    fn writer(&self) -> Option<String> {
        let writer = writer_of(&self.own_name, self.entries.keys().map(String::as_str));
        (writer != self.own_name).then(|| writer.to_owned())
    }

    fn forward<'a>(
        &'a self,
        writer: &'a str,
        forwarded: &'a ForwardedClaim,
    ) -> BoxFuture<'a, Option<BindReply>> {
        self.forwarded.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            sleep(FORWARD_TIME).await;
            let reply = self.entries.get(writer)?.bind_for_peer(forwarded.clone()).await;
            sleep(FORWARD_TIME).await;
            Some(reply)
        })
    }
}

/// How the service behaves during a measurement.
#[derive(Clone, Copy)]
enum Service {
    Answers(Duration),
    /// Refuses connections.
    Refuses,
    /// Accepts calls and never answers.
    Silent,
}

/// Counts every attempted call, whether or not it succeeds.
#[derive(Clone)]
struct Counting {
    kv: FakeKeyValue,
    transacts: Arc<AtomicU32>,
    others: Arc<AtomicU32>,
}

impl Counting {
    fn count_other(&self) {
        self.others.fetch_add(1, Ordering::Relaxed);
    }
}

impl KeyValue for Counting {
    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Snapshot, KeyValueError>> {
        self.count_other();
        self.kv.range(prefix)
    }

    fn transact(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'_, Result<TransactionAnswer, KeyValueError>> {
        self.transacts.fetch_add(1, Ordering::Relaxed);
        self.kv.transact(transaction)
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, KeyValueError>> {
        self.count_other();
        self.kv.grant_lease(ttl)
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        self.count_other();
        self.kv.keep_alive(lease)
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        self.count_other();
        self.kv.revoke_lease(lease)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
    ) -> BoxFuture<'a, Result<Watch, KeyValueError>> {
        self.count_other();
        self.kv.watch(prefix, after)
    }
}

/// Measures every fleet at every rate.
pub async fn measure(seed: u64) -> Result<(), Failure> {
    println!("keys_length_s={}", RUN_TIME.as_secs());
    for fleet in FLEETS {
        for keys_per_s in KEYS_PER_S {
            measure_rate(seed, fleet, keys_per_s).await?;
        }
    }
    Ok(())
}

async fn measure_rate(seed: u64, fleet: Fleet, keys_per_s: u32) -> Result<(), Failure> {
    let begin = format!("keys_{}_{keys_per_s}_per_s", fleet.name);
    for time in ANSWER_TIMES {
        let name = format!("{begin}_answered_in_{}_ms", time.as_millis());
        run(seed, fleet, &name, keys_per_s, Service::Answers(time)).await?;
    }
    let name = format!("{begin}_service_refuses");
    run(seed, fleet, &name, keys_per_s, Service::Refuses).await?;
    let name = format!("{begin}_service_silent");
    run(seed, fleet, &name, keys_per_s, Service::Silent).await
}

async fn run(
    seed: u64,
    fleet: Fleet,
    name: &str,
    keys_per_s: u32,
    service: Service,
) -> Result<(), Failure> {
    let kv = FakeKeyValue::new();
    let counting = Counting { kv: kv.clone(), transacts: Arc::default(), others: Arc::default() };
    let forwarded = Arc::new(AtomicU32::new(0));
    let entries: Vec<_> = (0..fleet.entries).map(|entry| start(entry, &counting)).collect();
    for (number, claims) in entries.iter().enumerate() {
        // An entry in use already has a lease.
        let deadline = Instant::now() + DEADLINE;
        claims.bind("workspace", &format!("first-{number}"), claim(), deadline).await?;
    }
    if fleet.forwards_claims {
        connect(&entries, fleet.regions, &forwarded);
    }
    match service {
        Service::Answers(time) => kv.set_delay(time),
        Service::Refuses => kv.set_down(true),
        Service::Silent => kv.set_delay(SILENT_DELAY),
    }
    let before = [&counting.transacts, &counting.others].map(|count| count.load(Ordering::Relaxed));
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (begin, mut calls) = (Instant::now(), JoinSet::new());
    let (mut asked, mut due_s) = (0_u32, 0.0);
    while due_s < RUN_TIME.as_secs_f64() {
        tokio::time::sleep_until(begin + Duration::from_secs_f64(due_s)).await;
        let (claims, key) =
            (entries[rng.random_range(0..fleet.entries)].clone(), format!("key-{asked}"));
        calls.spawn(async move {
            let asked = Instant::now();
            let bound = claims.bind("workspace", &key, claim(), asked + DEADLINE).await.is_ok();
            (bound, asked.elapsed())
        });
        asked += 1;
        due_s += gap_s(&mut rng, keys_per_s);
    }
    let counts = [&counting.transacts, &counting.others].map(|count| count.load(Ordering::Relaxed));
    let per_s = |index: usize| f64::from(counts[index] - before[index]) / RUN_TIME.as_secs_f64();
    let mut waits = Vec::new();
    let mut bound = 0_u32;
    while let Some(call) = calls.join_next().await {
        let (is_bound, wait) = call?;
        bound += u32::from(is_bound);
        waits.push(wait);
    }
    waits.sort_unstable();
    let p99 = waits[(waits.len() * 99 / 100).min(waits.len() - 1)];
    println!("{name}_asked={asked}");
    println!("{name}_bound={bound}");
    println!("{name}_transactions_per_s={:.2}", per_s(0));
    println!("{name}_other_calls_per_s={:.2}", per_s(1));
    let forwarded = f64::from(forwarded.load(Ordering::Relaxed)) / RUN_TIME.as_secs_f64();
    println!("{name}_handed_per_s={forwarded:.2}");
    println!("{name}_wait_p99_ms={}", p99.as_millis());
    // Lets all calls end, so that none continues into the next run.
    sleep(Duration::from_secs(5)).await;
    Ok(())
}

/// Time to the next arrival of a Poisson process.
fn gap_s(rng: &mut ChaCha8Rng, per_s: u32) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln() / f64::from(per_s)
}

/// Connects each entry to the others of its region.
fn connect(entries: &[Claims], regions: usize, forwarded: &Arc<AtomicU32>) {
    for region in 0..regions {
        let in_region = entries.iter().enumerate().skip(region).step_by(regions);
        let named = in_region.map(|(entry, claims)| (entry_name(entry), claims.clone()));
        let peers: Arc<BTreeMap<_, _>> = Arc::new(named.collect());
        for (name, claims) in peers.iter() {
            let (own_name, entries) = (name.clone(), Arc::clone(&peers));
            claims.set_peers(Arc::new(Region {
                own_name,
                entries,
                forwarded: Arc::clone(forwarded),
            }));
        }
    }
}

fn entry_name(entry: usize) -> String {
    format!("entry-{entry}")
}

fn start(entry: usize, kv: &Counting) -> Claims {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 8080));
    let config = EntryConfig::new(&entry_name(entry), "a", address, fleet_key());
    Claims::start(Arc::new(kv.clone()), &config)
}

fn claim() -> Claim {
    Claim::new("ticket".repeat(50), "0".repeat(32))
}

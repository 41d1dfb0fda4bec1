//! Calls to the key-value service for coordination leases, counted by its fake.
#![allow(clippy::print_stdout)]

use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_group::lease::{Lease, Leases};
use flamingowheel_group::session::Timing;
use futures_util::future::join_all;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

const ENTRIES: usize = 380;
const GROUPS: usize = 228;
const MEASURED_TIME: Duration = Duration::from_secs(60);

/// The entry that coordinates a group, by rendezvous hashing.
fn coordinator_of(group: usize) -> usize {
    let score = |entry: &usize| {
        let mut hasher = DefaultHasher::new();
        (group, entry).hash(&mut hasher);
        hasher.finish()
    };
    (0..ENTRIES).max_by_key(score).unwrap_or(0)
}

fn process(kv: &FakeKeyValue) -> Leases {
    Leases::new(Arc::new(kv.clone()), Timing::default().lease_ttl)
}

async fn renewals_per_s(kv: &FakeKeyValue, leases: &[Leases]) -> f64 {
    let acquire = |(group, leases): (usize, &Leases)| {
        let leases = leases.clone();
        async move { leases.acquire(&format!("g{group}")).await.ok().flatten() }
    };
    let held: Vec<Lease> =
        join_all(leases.iter().enumerate().map(acquire)).await.into_iter().flatten().collect();
    assert_eq!(held.len(), GROUPS, "all groups are free");
    let keep = join_all(held.iter().map(|lease| timeout(MEASURED_TIME, lease.keep_alive())));
    let before = kv.calls().total();
    let lost = keep.await.iter().filter(|kept| kept.is_ok()).count();
    assert_eq!(lost, 0, "leases lost");
    (kv.calls().total() - before) as f64 / MEASURED_TIME.as_secs_f64()
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    tokio::time::pause();
    let kv = FakeKeyValue::new();
    let single: Vec<Leases> = (0..GROUPS).map(|_| process(&kv)).collect();
    println!("one_a_group.calls_per_s={:.1}", renewals_per_s(&kv, &single).await);
    sleep(Timing::default().lease_ttl * 2).await;

    let kv = FakeKeyValue::new();
    let entries: Vec<Leases> = (0..ENTRIES).map(|_| process(&kv)).collect();
    let coordinating: BTreeSet<usize> = (0..GROUPS).map(coordinator_of).collect();
    let shared: Vec<Leases> =
        (0..GROUPS).map(|group| entries[coordinator_of(group)].clone()).collect();
    println!("one_an_entry.entries={}", coordinating.len());
    println!("one_an_entry.calls_per_s={:.1}", renewals_per_s(&kv, &shared).await);
}

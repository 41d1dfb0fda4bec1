//! Time and messages of a rollout in a group of 32 ranks. Time is the runtime's paused clock, so
//! the figures don't depend on the machine.
#![allow(clippy::print_stdout)]

#[path = "../tests/support/mod.rs"]
mod support;

use flamingowheel_backing::orders::ExpertMap;
use flamingowheel_group::gate::EngineKind;
use std::time::Duration;
use support::World;
use tokio::time::{Instant, sleep};

const RANKS: u16 = 32;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

fn map() -> ExpertMap {
    ExpertMap { layers: vec![(0..RANKS).map(|rank| vec![2 * rank, 2 * rank + 1]).collect()] }
}

/// Prints time and messages until every rank serves `version`, and the time without steps.
async fn measure_rollout(world: &World, name: &str, version: &str, adapters: &[&str]) {
    let began = Instant::now();
    let (calls, messages) = (world.kv.calls(), world.messages());
    let (stalled, orders) = (world.group.stalled_steps(), world.orders());
    world.set_desired_serving(version, adapters);
    let done = || {
        let holds = |rank| adapters.len() <= world.engine(rank).peek_state().adapters.len();
        world.all_serve(version) && (0..usize::from(RANKS)).all(holds)
    };
    while !done() {
        sleep(POLL_INTERVAL).await;
    }
    let took_ms = began.elapsed().as_millis();
    // The rollout lock is released at the next poll.
    sleep(Duration::from_secs(1)).await;
    let writes = world.kv.calls().transact - calls.transact;
    let leases = world.kv.calls().grant_lease - calls.grant_lease;
    println!("{name}.took_ms={took_ms}");
    println!("{name}.still_ms={}", (world.group.stalled_steps() - stalled) * 25);
    println!("{name}.messages={}", world.messages() - messages);
    println!("{name}.orders_to_engines={}", world.orders() - orders);
    println!("{name}.kv_writes={writes}");
    println!("{name}.kv_leases={leases}");
    println!("{name}.mixed_steps={}", world.group.version_mismatches().len());
    println!("{name}.mixed_answers={}", world.mixed_answers());
}

async fn print(kind_name: &str, kind: EngineKind) {
    let world = World::start_ranks(kind, None, map(), RANKS.into()).await;
    // The standby's attempts to acquire the lease must not be counted.
    world.end_standby();
    world.set_desired_serving("1", &[]);
    while !world.all_serve("1") {
        sleep(POLL_INTERVAL).await;
    }
    world.run_traffic(Duration::from_secs(5));
    sleep(Duration::from_secs(20)).await;
    measure_rollout(&world, &format!("{kind_name}.version"), "2", &[]).await;
    measure_rollout(&world, &format!("{kind_name}.adapter"), "2", &["bibb"]).await;
    world.shutdown();
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O can always be built");
    runtime.block_on(async {
        print("checks_fence", EngineKind::ChecksFence).await;
        print("ignores_fence", EngineKind::IgnoresFence).await;
    });
}

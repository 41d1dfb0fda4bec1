//! Callers' idempotency keys while the key-value service is silent or slow.

use bytes::Bytes;
use flamingowheel_proof::caller::CallOutcome;
use flamingowheel_proof::oracle::Runs;
use flamingowheel_proof::world::World;
use std::time::Duration;
use tokio::time::sleep;

const TIMEOUT_MS: u64 = 3_000;

// Guards against outcomes after the deadline: the key-value service goes silent while many callers
// bind keys, and batch after batch waits for an answer. Each caller must get "not run" by its own
// deadline, without waiting for earlier callers, and nothing may run.
#[tokio::test(start_paused = true)]
async fn ask_with_key_service_silent_not_run_by_deadline() {
    const CALLERS: usize = 900;
    let mut world = World::start(None).await;
    world.kv.set_delay(Duration::from_secs(3_600));
    let body = |number: usize| Bytes::from(format!("order {number}"));
    for number in 0..CALLERS {
        world.ask_with_key(0, body(number), TIMEOUT_MS);
    }
    sleep(Duration::from_millis(TIMEOUT_MS + 100)).await;
    for work in world.ledger.all() {
        let outcome = &work.submissions[0].outcome;
        assert!(matches!(outcome, CallOutcome::NotRun(_)), "{work}");
    }
    world.settle().await.unwrap();
    assert!((0..CALLERS).all(|number| world.servers.started(&body(number)) == 0));
}

// Guards against a queue of expired callers that delays new ones after the service has recovered.
#[tokio::test(start_paused = true)]
async fn ask_with_key_service_back_bound_soon() {
    const CALLERS: usize = 900;
    let mut world = World::start(None).await;
    world.kv.set_delay(Duration::from_secs(3_600));
    for number in 0..CALLERS {
        world.ask_with_key(0, Bytes::from(format!("order {number}")), TIMEOUT_MS);
    }
    sleep(Duration::from_millis(TIMEOUT_MS + 100)).await;
    world.kv.set_delay(Duration::from_millis(400));
    let last = world.ask_with_key(0, Bytes::from_static(b"the last"), TIMEOUT_MS);
    sleep(Duration::from_millis(TIMEOUT_MS)).await;
    let outcome = world.ledger.get(last).unwrap().submissions.remove(0).outcome;
    assert!(matches!(outcome, CallOutcome::Complete(_)), "{outcome:?}");
    world.settle().await.unwrap();
}

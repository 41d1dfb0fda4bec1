//! Callers' idempotency keys whose home agent refuses permanently or is gone.

use bytes::Bytes;
use flamingowheel_backing::fake::LostAnswer;
use flamingowheel_entry::claims::{Claim, PREFIX};
use flamingowheel_proof::caller::CallOutcome;
use flamingowheel_proof::network::{Direction, MessageFault};
use flamingowheel_proof::oracle::Runs;
use flamingowheel_proof::servers::SERVICES;
use flamingowheel_proof::world::World;
use std::time::Duration;
use tokio::time::sleep;

const TIMEOUT_MS: u64 = 5_000;
const BODY: &[u8] = b"payout 5";

fn claim(world: &World) -> Option<Claim> {
    let stored = world.kv.peek(PREFIX).entries.pop()?;
    serde_json::from_slice(&stored.value).ok()
}

/// Index of the backend server that the only key is bound to.
fn home(world: &World) -> usize {
    let name = world.ticket_home(&claim(world).unwrap().ticket).unwrap();
    (0..SERVICES).find(|server| name == format!("runner-{server}")).unwrap()
}

fn outcome(world: &World, work: usize, submission: usize) -> CallOutcome {
    world.ledger.get(work).unwrap().submissions[submission].outcome.clone()
}

/// Binds a key and kills its entry before anything is sent under the key.
async fn bound_unused(world: &mut World) -> usize {
    world.kv.set_delay(Duration::from_millis(200));
    let work = world.ask_with_key(0, Bytes::from_static(BODY), TIMEOUT_MS);
    while claim(world).is_none() {
        sleep(Duration::from_millis(10)).await;
    }
    world.replace_entry(0);
    world.kv.set_delay(Duration::ZERO);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(world.servers.started(BODY), 0);
    work
}

async fn resend_outcome(world: &mut World, work: usize) -> CallOutcome {
    world.resend(1, work, TIMEOUT_MS);
    sleep(Duration::from_secs(8)).await;
    let outcome = world.ledger.get(work).unwrap().submissions.pop().unwrap().outcome;
    world.settle().await.unwrap();
    outcome
}

// Guards against work that never runs: its key is bound to an agent that begins to leave before
// anything is sent under the key, and refuses each resend although other backend servers are free.
#[tokio::test(start_paused = true)]
async fn resend_home_leaving_runs_elsewhere() {
    let mut world = World::start(None).await;
    let work = bound_unused(&mut world).await;
    let left = home(&world);
    world.leave(left).await;
    assert!(matches!(resend_outcome(&mut world, work).await, CallOutcome::Complete(_)));
    assert_ne!(home(&world), left);
    assert_eq!(claim(&world).unwrap().epoch, 1);
    assert_eq!(world.servers.started(BODY), 1);
}

// Guards against work that never runs after the agent has shut down gracefully: its archive shows
// that it never ran the work.
#[tokio::test(start_paused = true)]
async fn resend_home_stopped_unused_runs_elsewhere() {
    let mut world = World::start(None).await;
    let work = bound_unused(&mut world).await;
    let stopped = home(&world);
    world.stop_agent(stopped).await;
    assert!(matches!(resend_outcome(&mut world, work).await, CallOutcome::Complete(_)));
    assert_eq!(world.servers.started(BODY), 1);
}

// Guards against "unknown" for an unused ticket whose agent shut down gracefully. Its caller must
// get "not run" and may request another ticket.
#[tokio::test(start_paused = true)]
async fn resend_ticket_home_stopped_unused_not_run() {
    let mut world = World::start(None).await;
    let work = world.request_ticket(0, Bytes::from_static(BODY)).await.unwrap();
    let name = world.ticket_home(&world.ledger.get(work).unwrap().ticket.unwrap()).unwrap();
    let server = (0..SERVICES).find(|server| name == format!("runner-{server}")).unwrap();
    world.stop_agent(server).await;
    world.start_agent(server);
    assert!(matches!(resend_outcome(&mut world, work).await, CallOutcome::NotRun(_)));
    assert_eq!(world.servers.started(BODY), 0);
}

// Guards against a second run after the agent was killed: whether it ran the work is unknown, so
// the work must not run elsewhere.
#[tokio::test(start_paused = true)]
async fn resend_home_killed_unknown() {
    let mut world = World::start(None).await;
    let work = bound_unused(&mut world).await;
    let killed = home(&world);
    world.kill_agent(killed);
    world.start_agent(killed);
    assert!(matches!(resend_outcome(&mut world, work).await, CallOutcome::Unknown(_)));
    assert_eq!(home(&world), killed);
    assert_eq!(world.servers.started(BODY), 0);
}

// Guards against taking a missing archive for proof that the work did not run: the agent shut down
// gracefully, but its archive could not be written.
#[tokio::test(start_paused = true)]
async fn resend_home_stopped_unarchived_unknown() {
    let mut world = World::start(None).await;
    let work = bound_unused(&mut world).await;
    let stopped = home(&world);
    world.kv.set_down(true);
    world.stop_agent(stopped).await;
    world.kv.set_down(false);
    assert!(matches!(resend_outcome(&mut world, work).await, CallOutcome::Unknown(_)));
    assert_eq!(world.servers.started(BODY), 0);
}

// Guards against a second run by a duplicate of the first dispatch: the home's backend server is
// down, so the call runs on another, and the duplicate arrives when the first is up again.
#[tokio::test(start_paused = true)]
async fn late_copy_after_rebinding_does_not_run() {
    let mut world = World::start(None).await;
    let work = bound_unused(&mut world).await;
    let down = home(&world);
    world.servers.services[down].set_down(true);
    world
        .network
        .inject_fault(Direction::ToAgent, MessageFault::Duplicated(Duration::from_secs(20)));
    world.resend(1, work, TIMEOUT_MS);
    sleep(Duration::from_secs(4)).await;
    assert!(matches!(outcome(&world, work, 1), CallOutcome::Complete(_)));
    world.servers.services[down].set_down(false);
    world.settle().await.unwrap();
    assert_eq!(world.servers.started(BODY), 1);
}

// Guards against two runs when two entries rebind a key of a leaving home at the same time.
#[tokio::test(start_paused = true)]
async fn two_entries_rebind_at_once_one_run() {
    let mut world = World::start(None).await;
    let work = bound_unused(&mut world).await;
    let left = home(&world);
    world.leave(left).await;
    world.kv.set_delay(Duration::from_millis(50));
    (0..2).for_each(|entry| world.resend(entry, work, TIMEOUT_MS));
    sleep(Duration::from_secs(4)).await;
    assert!(matches!(outcome(&world, work, 1), CallOutcome::Complete(_)));
    assert_eq!(outcome(&world, work, 1), outcome(&world, work, 2));
    assert_eq!(claim(&world).unwrap().epoch, 1);
    world.settle().await.unwrap();
    assert_eq!(world.servers.started(BODY), 1);
}

// Guards against a second run or no run when the answer to the rebinding write is lost, before or
// after its effect.
#[tokio::test(start_paused = true)]
async fn rebind_answer_lost_one_run() {
    for lost in [LostAnswer::BeforeEffect, LostAnswer::AfterEffect] {
        let mut world = World::start(None).await;
        let work = bound_unused(&mut world).await;
        let left = home(&world);
        world.leave(left).await;
        world.kv.lose_write_answers(1, lost);
        world.resend(1, work, TIMEOUT_MS);
        sleep(Duration::from_secs(6)).await;
        let outcome = outcome(&world, work, 1);
        assert!(!matches!(outcome, CallOutcome::Unknown(_)), "{lost:?}: {outcome:?}");
        assert!(
            matches!(resend_outcome(&mut world, work).await, CallOutcome::Complete(_)),
            "{lost:?}"
        );
        assert_eq!(world.servers.started(BODY), 1, "{lost:?}");
    }
}

// Guards against a lost or repeated run when the rebinding entry dies: before the old home's
// tombstone, between it and the write, while the write is in flight, or after it. The next resend
// must run the work exactly once.
#[tokio::test(start_paused = true)]
async fn rebinding_entry_killed_at_each_step_one_run() {
    const STEP: Duration = Duration::from_millis(25);
    const STEPS: u32 = 14;
    let mut epochs = Vec::new();
    for step in 0..STEPS {
        let mut world = World::start(None).await;
        let work = bound_unused(&mut world).await;
        let left = home(&world);
        world.leave(left).await;
        world.kv.set_delay(Duration::from_millis(60));
        world.resend(0, work, TIMEOUT_MS);
        sleep(STEP * step).await;
        world.replace_entry(0);
        epochs.push(claim(&world).unwrap().epoch);
        world.kv.set_delay(Duration::ZERO);
        sleep(Duration::from_secs(1)).await;
        world.resend(1, work, TIMEOUT_MS);
        sleep(Duration::from_secs(4)).await;
        assert!(matches!(outcome(&world, work, 2), CallOutcome::Complete(_)), "step {step}");
        assert_eq!(world.servers.started(BODY), 1, "step {step}");
    }
    assert!(epochs.contains(&0) && epochs.contains(&1), "{epochs:?}");
}

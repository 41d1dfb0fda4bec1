//! Non-idempotent calls whose agent shuts down gracefully or is killed before the caller resends.

use bytes::Bytes;
use flamingowheel_proof::backend::Lifecycle;
use flamingowheel_proof::caller::{Call, CallKind, CallOutcome, send};
use flamingowheel_proof::oracle::Runs;
use flamingowheel_proof::servers::SERVICES;
use flamingowheel_proof::world::World;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Limit for a graceful shutdown with no work in progress; shorter than the caller's timeout.
const STOP_LIMIT: Duration = Duration::from_secs(4);
const TIMEOUT_MS: u64 = 5_000;

/// Finishes an order under a ticket; returns its work and the backend server that ran it.
async fn finished_order(world: &mut World, body: &'static str) -> (usize, usize) {
    let work = world.ask_with_ticket(0, Bytes::from_static(body.as_bytes()), TIMEOUT_MS).await;
    let work = work.unwrap();
    sleep(Duration::from_secs(1)).await;
    assert!(matches!(outcome(world, work, 0), CallOutcome::Complete(_)));
    (work, home(world, work))
}

fn home(world: &World, work: usize) -> usize {
    let ticket = world.ledger.get(work).unwrap().ticket.unwrap();
    let name = world.ticket_home(&ticket).unwrap();
    (0..SERVICES).find(|server| name == format!("runner-{server}")).unwrap()
}

fn outcome(world: &World, work: usize, submission: usize) -> CallOutcome {
    world.ledger.get(work).unwrap().submissions[submission].outcome.clone()
}

/// Resends at the other entry and returns the outcome.
async fn resend_outcome(world: &mut World, work: usize) -> CallOutcome {
    world.resend(1, work, TIMEOUT_MS);
    world.settle().await.unwrap();
    outcome(world, work, 1)
}

// Guards against "unknown" for a resend after a planned VM replacement: the order had finished, and
// its answer is in the archive.
#[tokio::test(start_paused = true)]
async fn resend_after_planned_stop_same_answer() {
    let mut world = World::start(None).await;
    let (work, server) = finished_order(&mut world, "payout 5").await;
    world.stop_agent(server).await;
    world.start_agent(server);
    assert_eq!(resend_outcome(&mut world, work).await, outcome(&world, work, 0));
    assert_eq!(world.servers.started(b"payout 5"), 1);
}

// Guards against "unknown" for a resend after a planned stop while the agent has no replacement
// yet.
#[tokio::test(start_paused = true)]
async fn resend_after_planned_stop_home_unreachable() {
    let mut world = World::start(None).await;
    let (work, server) = finished_order(&mut world, "payout 6").await;
    world.stop_agent(server).await;
    world.resend(1, work, TIMEOUT_MS);
    sleep(Duration::from_secs(8)).await;
    assert_eq!(outcome(&world, work, 1), outcome(&world, work, 0));
    world.settle().await.unwrap();
    assert_eq!(world.servers.started(b"payout 6"), 1);
}

// Guards against returning the archived answer for other work when a caller reuses a ticket with
// another body.
#[tokio::test(start_paused = true)]
async fn other_body_after_planned_stop_stays_unknown() {
    let mut world = World::start(None).await;
    let (work, server) = finished_order(&mut world, "box 17").await;
    world.stop_agent(server).await;
    world.start_agent(server);
    sleep(Duration::from_secs(1)).await;
    let ticket = world.ledger.get(work).unwrap().ticket.unwrap();
    let body = Bytes::from_static(b"box 18");
    let call = Call { kind: CallKind::Ticket(ticket), body, timeout_ms: TIMEOUT_MS };
    let outcome = send(world.router(1), Lifecycle::default(), call).await;
    assert!(matches!(outcome, CallOutcome::Unknown(_)), "{outcome:?}");
    assert_eq!(world.servers.started(b"box 18"), 0);
}

// Guards against a second run after the agent was killed: nothing is archived, so the resend must
// get "unknown".
#[tokio::test(start_paused = true)]
async fn resend_after_kill_stays_unknown() {
    let mut world = World::start(None).await;
    let (work, server) = finished_order(&mut world, "payout 7").await;
    world.kill_agent(server);
    world.start_agent(server);
    let outcome = resend_outcome(&mut world, work).await;
    assert!(matches!(outcome, CallOutcome::Unknown(_)), "{outcome:?}");
    assert_eq!(world.servers.started(b"payout 7"), 1);
}

// Guards against a shutdown that hangs while the key-value service refuses connections or never
// answers. Only the archived answer may be lost.
#[tokio::test(start_paused = true)]
async fn planned_stop_service_down_ends() {
    for silent in [false, true] {
        let mut world = World::start(None).await;
        let (work, server) = finished_order(&mut world, "payout 8").await;
        if silent {
            world.kv.set_answer_timeout(Duration::from_secs(3_600));
            world.kv.set_delay(Duration::from_secs(3_600));
        } else {
            world.kv.set_down(true);
        }
        let began = Instant::now();
        world.stop_agent(server).await;
        assert!(began.elapsed() < STOP_LIMIT, "{:?}", began.elapsed());
        world.start_agent(server);
        let outcome = resend_outcome(&mut world, work).await;
        assert!(matches!(outcome, CallOutcome::Unknown(_)), "{outcome:?}");
        assert_eq!(world.servers.started(b"payout 8"), 1);
    }
}

// Guards against a caller that waits long for "unknown" when the key-value service goes silent
// after the shutdown. The archive lookup may add at most one second.
#[tokio::test(start_paused = true)]
async fn resend_service_silent_unknown_soon() {
    let mut world = World::start(None).await;
    let (work, server) = finished_order(&mut world, "payout 9").await;
    world.stop_agent(server).await;
    world.start_agent(server);
    sleep(Duration::from_secs(1)).await;
    world.kv.set_answer_timeout(Duration::from_secs(3_600));
    world.kv.set_delay(Duration::from_secs(3_600));
    world.resend(1, work, TIMEOUT_MS);
    sleep(Duration::from_secs(2)).await;
    assert!(matches!(outcome(&world, work, 1), CallOutcome::Unknown(_)));
}

// Guards against overload of the key-value service when hundreds of agents leave in one roll-out:
// each may make only a few calls, not one per answer.
#[tokio::test(start_paused = true)]
async fn planned_stop_few_calls() {
    const ORDERS: usize = 600;
    let mut world = World::start(None).await;
    for number in 0..ORDERS {
        let body = Bytes::from(format!("order {number}"));
        world.ask_with_ticket(number % 2, body, TIMEOUT_MS).await.unwrap();
        sleep(Duration::from_millis(20)).await;
    }
    let orders_at =
        |server: &usize| (0..ORDERS).filter(|work| home(&world, *work) == *server).count();
    let server = (0..SERVICES).max_by_key(orders_at).unwrap();
    assert!(orders_at(&server) >= ORDERS / SERVICES);
    let before = world.kv.calls().total();
    world.stop_agent(server).await;
    assert!(world.kv.calls().total() - before <= 4);
    world.start_agent(server);
    (0..ORDERS).for_each(|work| world.resend(1, work, 30_000));
    world.settle().await.unwrap();
    let same = |work: &usize| outcome(&world, *work, 0) == outcome(&world, *work, 1);
    assert_eq!((0..ORDERS).filter(same).count(), ORDERS);
}

//! Switches of a group's map, with faults injected at every message.

mod support;

use flamingowheel_backing::fake::{LostAnswer, OrderFault};
use flamingowheel_group::gate::EngineKind;
use flamingowheel_group::status::Activity;
use std::time::Duration;
use support::{Fault, OUTAGE, RANKS, World, map};
use tokio::time::sleep;

/// Upper bound on the messages of one switch.
const MESSAGES: u64 = 70;
/// Upper bound on the time from a fault's end to the next step.
const RECOVERY: Duration = Duration::from_secs(10);
const KINDS: [EngineKind; 2] = [EngineKind::ChecksFence, EngineKind::IgnoresFence];
const MINUTE: Duration = Duration::from_secs(60);

/// Injects the fault at each message of a switch, for engines of both kinds.
async fn inject_at_every_message(fault: Fault, fault_lasts: Duration) {
    let mut injected = 0;
    for kind in KINDS {
        for message in 0..MESSAGES {
            let case = format!("{fault:?} at message {message}, {kind:?}");
            let world = World::start(kind).await;
            world.schedule(message, fault);
            world.set_desired_map(2);
            sleep(fault_lasts + RECOVERY).await;
            injected += u32::from(world.all_injected());
            check_runs_or_reported(&world, &case).await;
        }
    }
    assert!(injected > 60, "the fault was injected only {injected} times");
}

async fn check_runs_or_reported(world: &World, case: &str) {
    let runs = world.runs_within(Duration::from_secs(1)).await;
    let status = world.status();
    world.check_steps(case);
    if runs {
        assert_eq!(status.activity, Activity::Running, "{case}: {status:?}");
        for rank in 0..RANKS {
            assert_eq!(world.engine(rank).peek_map(), map(2), "{case}, rank {rank}");
        }
    } else {
        assert!(!status.out_of_service.is_empty(), "{case}: stopped, {status:?}");
    }
    world.shutdown();
}

/// Switch without faults: it must succeed at the first attempt.
#[tokio::test(start_paused = true)]
async fn switch_without_fault() {
    for kind in KINDS {
        let world = World::start(kind).await;
        world.set_desired_map(2);
        for _ in 0..100 {
            sleep(Duration::from_millis(10)).await;
            let activity = world.status().activity;
            assert_ne!(
                activity,
                Activity::Aligning,
                "{kind:?}: the switch needed a second attempt"
            );
        }
        assert_eq!(world.engine(0).peek_map(), map(2), "{kind:?}");
        check_runs_or_reported(&world, "no fault").await;
    }
}

/// The weight store's rate is shared with other groups, so the ranks must load one after another
/// within this process's share, while the group continues to step.
#[tokio::test(start_paused = true)]
async fn switch_loads_paced() {
    // At the minimum of 50 bytes/s each rank's load takes 0.9 s.
    let world = World::start_with(EngineKind::ChecksFence, Some(45)).await;
    world.set_desired_map(2);
    sleep(Duration::from_millis(1700)).await;
    assert_eq!(world.engine(0).peek_map(), map(1), "the third rank must not have loaded yet");
    assert_eq!(world.status().activity, Activity::Staging);
    assert!(world.runs_within(Duration::from_millis(100)).await);
    sleep(Duration::from_secs(2)).await;
    check_runs_or_reported(&world, "paced").await;
}

/// The network drops a request or an answer, or duplicates a request.
#[tokio::test(start_paused = true)]
async fn switch_message_lost_or_doubled() {
    inject_at_every_message(Fault::LoseRequest, Duration::ZERO).await;
    inject_at_every_message(Fault::LoseAnswer, Duration::ZERO).await;
    inject_at_every_message(Fault::Duplicate, Duration::ZERO).await;
}

/// An agent dies and restarts two seconds later without any record of earlier orders.
#[tokio::test(start_paused = true)]
async fn switch_agent_killed() {
    inject_at_every_message(Fault::KillAgent, Duration::from_secs(2)).await;
}

/// An agent is paused for some seconds in the middle of an order and then continues with it.
#[tokio::test(start_paused = true)]
async fn switch_agent_paused() {
    inject_at_every_message(Fault::PauseAgent, OUTAGE).await;
}

/// An engine crashes and restarts with no map. If it stepped without one, the group would produce
/// wrong tokens.
#[tokio::test(start_paused = true)]
async fn switch_engine_crashed() {
    inject_at_every_message(Fault::CrashEngine, Duration::from_secs(2)).await;
}

/// An engine freezes for some seconds and then continues.
#[tokio::test(start_paused = true)]
async fn switch_engine_frozen() {
    inject_at_every_message(Fault::FreezeEngine, OUTAGE).await;
}

/// The key-value service goes down during the switch, or answers too late.
#[tokio::test(start_paused = true)]
async fn switch_service_down_or_slow() {
    inject_at_every_message(Fault::ServiceDown, OUTAGE).await;
    inject_at_every_message(Fault::ServiceSlow, OUTAGE).await;
}

/// A write to the key-value service is lost before or after it took effect.
#[tokio::test(start_paused = true)]
async fn switch_service_answer_lost() {
    inject_at_every_message(Fault::LoseServiceAnswers(LostAnswer::AfterEffect), Duration::ZERO)
        .await;
    inject_at_every_message(Fault::LoseServiceAnswers(LostAnswer::BeforeEffect), Duration::ZERO)
        .await;
}

/// The coordinator dies; another must complete the switch or roll it back.
#[tokio::test(start_paused = true)]
async fn switch_coordinator_killed() {
    inject_at_every_message(Fault::KillCoordinator, Duration::ZERO).await;
}

/// The process that coordinates stops as planned, at any message of a switch. The group must not
/// stand still any longer than in a switch without a stop: all its streams stall meanwhile.
#[tokio::test(start_paused = true)]
async fn switch_coordinator_stopped_no_longer_stall() {
    for kind in KINDS {
        let world = World::start(kind).await;
        world.set_desired_map(2);
        let usual = world.longest_stall(RECOVERY).await;
        world.shutdown();
        for message in 0..MESSAGES {
            let case = format!("stopped at message {message}, {kind:?}");
            let world = World::start(kind).await;
            world.schedule(message, Fault::StopCoordinator);
            world.set_desired_map(2);
            let stall = world.longest_stall(RECOVERY).await;
            assert!(stall <= usual, "{case}: {stall:?}, usually {usual:?}");
            check_runs_or_reported(&world, &case).await;
        }
    }
}

/// The coordinator is paused until its lease expires, and continues with the switch after another
/// has taken over.
#[tokio::test(start_paused = true)]
async fn switch_coordinator_paused() {
    inject_at_every_message(Fault::PauseCoordinator, OUTAGE * 3).await;
}

/// A coordinator loses its lease without noticing, so that two coordinators send orders at once.
#[tokio::test(start_paused = true)]
async fn switch_two_coordinators() {
    inject_at_every_message(Fault::ExpireLease, Duration::ZERO).await;
}

/// An engine's answer to an order is lost, or the order itself. With an engine that checks no
/// fencing numbers, a lost order can't be told from a late one, so the rank is reported as out of
/// service.
#[tokio::test(start_paused = true)]
async fn switch_engine_order_lost() {
    inject_at_every_message(Fault::LoseOrder(OrderFault::AnswerLost), Duration::ZERO).await;
    inject_at_every_message(Fault::LoseOrder(OrderFault::RequestLost), Duration::ZERO).await;
}

/// An order is delayed by a minute, on the network or in the engine, and arrives after the group
/// has changed its map twice more and while it changes it again.
#[tokio::test(start_paused = true)]
async fn switch_order_late_by_a_minute() {
    for fault in [Fault::Delay(MINUTE), Fault::LoseOrder(OrderFault::Delayed(MINUTE))] {
        for kind in KINDS {
            for message in 0..MESSAGES {
                let case = format!("{fault:?} at message {message}, {kind:?}");
                let world = World::start(kind).await;
                world.schedule(message, fault);
                for number in [2, 3, 4] {
                    world.set_desired_map(number);
                    sleep(MINUTE / 3).await;
                }
                // The late order arrives about now, during further switches.
                for number in 5..12 {
                    world.set_desired_map(number);
                    sleep(Duration::from_millis(700)).await;
                }
                world.set_desired_map(2);
                sleep(RECOVERY).await;
                check_runs_or_reported(&world, &case).await;
            }
        }
    }
}

/// During a long outage of the key-value service an engine crashes and an agent dies. The group
/// must not stop for the whole outage because one engine restarted without its map.
#[tokio::test(start_paused = true)]
async fn align_while_service_down() {
    for kind in KINDS {
        let world = World::start(kind).await;
        world.kv.set_down(true);
        sleep(MINUTE).await;
        world.inject_now(1, Fault::CrashEngine);
        sleep(RECOVERY + Duration::from_secs(2)).await;
        assert!(world.runs_within(Duration::from_secs(1)).await, "{kind:?}");
        world.set_desired_map(2);
        world.inject_now(2, Fault::KillAgent);
        sleep(MINUTE).await;
        assert_eq!(world.engine(0).peek_map(), map(1), "a map was changed during the outage");
        world.kv.set_down(false);
        sleep(RECOVERY).await;
        check_runs_or_reported(&world, "service back").await;
        assert_eq!(world.engine(0).peek_map(), map(2));
    }
}

/// A coordinator dies while the group runs. Its successor must raise the fencing number even if
/// there is nothing to change, so that orders still on their way from the dead one are refused.
#[tokio::test(start_paused = true)]
async fn claim_raises_number() {
    let world = World::start(EngineKind::ChecksFence).await;
    let revision = || world.kv.peek("groups/g1/record").entries[0].mod_revision;
    let before = revision();
    sleep(RECOVERY).await;
    assert_eq!(revision(), before, "a quiet group needs no writes");
    world.inject_now(0, Fault::KillCoordinator);
    sleep(RECOVERY).await;
    assert!(revision() > before);
    let highest = world.engine(0).peek_state().highest_fence;
    assert!(highest.is_some_and(|highest| highest.0 <= revision().0));
}

const FAULTS: [Fault; 17] = [
    Fault::LoseRequest,
    Fault::LoseAnswer,
    Fault::Duplicate,
    Fault::Delay(Duration::from_secs(5)),
    Fault::KillAgent,
    Fault::PauseAgent,
    Fault::CrashEngine,
    Fault::FreezeEngine,
    Fault::LoseOrder(OrderFault::AnswerLost),
    Fault::LoseOrder(OrderFault::RequestLost),
    Fault::ServiceDown,
    Fault::ServiceSlow,
    Fault::LoseServiceAnswers(LostAnswer::AfterEffect),
    Fault::LoseServiceAnswers(LostAnswer::BeforeEffect),
    Fault::PauseCoordinator,
    Fault::KillCoordinator,
    Fault::ExpireLease,
];

/// Two faults in one switch, for each pair of faults: the second one may hit the recovery from the
/// first.
#[tokio::test(start_paused = true)]
async fn switch_two_faults() {
    let mut place = 0;
    for first in FAULTS {
        for second in FAULTS {
            for kind in KINDS {
                // Steps through the messages without a pattern, the same in every run.
                place = (place * 31 + 17) % 1009;
                let (at, gap) = (place % 45, place % 13);
                let case = format!("{first:?} at {at}, {second:?} {gap} later, {kind:?}");
                let world = World::start(kind).await;
                world.schedule(at, first);
                world.schedule(at + gap, second);
                world.set_desired_map(2);
                sleep(OUTAGE * 4 + RECOVERY).await;
                check_runs_or_reported(&world, &case).await;
            }
        }
    }
}

/// A rank can't load the desired map for a while. The switch must be retried automatically, or the
/// group would keep its uneven map until the next plan; but not at every poll, or the loads would
/// use up the weight store's rate for other groups.
#[tokio::test(start_paused = true)]
async fn switch_failed_before_commit_tried_again() {
    let world = World::start(EngineKind::ChecksFence).await;
    world.refuse_loads(1, true);
    world.set_desired_map(2);
    sleep(MINUTE * 4).await;
    assert_eq!(world.engine(0).peek_map(), map(1));
    assert!(world.runs_within(Duration::from_secs(1)).await);
    let attempts = world.refused_loads();
    // Without backoff there would be several hundred.
    assert!((4..=12).contains(&attempts), "{attempts} attempts in four minutes");
    world.refuse_loads(1, false);
    sleep(MINUTE + Duration::from_secs(5)).await;
    assert_eq!(world.engine(0).peek_map(), map(2));
    world.check_steps("loads refused");
}

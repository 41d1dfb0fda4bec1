//! Rollouts of model versions and adapters, with faults injected at every message.

mod support;

use bytes::Bytes;
use flamingowheel_backing::fake::{LostAnswer, OrderFault};
use flamingowheel_backing::kv::{KeyValue, Operation, Transaction};
use flamingowheel_backing::orders::ExpertMap;
use flamingowheel_group::gate::EngineKind;
use flamingowheel_group::session::WeightSizes;
use flamingowheel_group::status::Activity;
use std::time::Duration;
use support::{Fault, GROUP, MODEL, OUTAGE, RANKS, World, map};
use tokio::time::sleep;

/// Upper bound on the messages of one rollout.
const MESSAGES: u64 = 60;
const KINDS: [EngineKind; 2] = [EngineKind::ChecksFence, EngineKind::IgnoresFence];
const MINUTE: Duration = Duration::from_secs(60);
const SECOND: Duration = Duration::from_secs(1);
/// Duration of one request.
const REQUEST: Duration = Duration::from_millis(900);
/// Upper bound on the time from a fault's end until the rollout is complete.
const RECOVERY: Duration = Duration::from_secs(20);

/// A group that serves version 1 and runs requests.
async fn serving_group(kind: EngineKind) -> std::sync::Arc<World> {
    let world = World::start(kind).await;
    world.set_desired_serving("1", &[]);
    sleep(SECOND * 4).await;
    assert!(world.all_serve("1"), "{:?}", world.status());
    world.run_traffic(REQUEST);
    sleep(SECOND).await;
    world
}

async fn inject_at_every_message(fault: Fault, fault_lasts: Duration) {
    let mut injected = 0;
    for kind in KINDS {
        for message in 0..MESSAGES {
            let case = format!("{fault:?} at message {message}, {kind:?}");
            let world = serving_group(kind).await;
            world.schedule(message, fault);
            world.set_desired_serving("2", &[]);
            sleep(fault_lasts + RECOVERY).await;
            injected += u32::from(world.all_injected());
            check_serves_or_reported(&world, "2", &case).await;
        }
    }
    assert!(injected > 60, "the fault was injected only {injected} times");
}

/// Asserts that no step and no answer mixes two versions, and that the group either runs with the
/// desired version or reports the rank that can't be verified.
async fn check_serves_or_reported(world: &World, version: &str, case: &str) {
    let runs = world.runs_within(SECOND).await;
    let status = world.status();
    world.check_steps(case);
    assert_eq!(world.mixed_answers(), 0, "{case}");
    if runs {
        assert_eq!(status.activity, Activity::Running, "{case}: {status:?}");
        assert!(status.behind.is_empty(), "{case}: {status:?}");
        assert!(world.all_serve(version), "{case}: {status:?}");
    } else {
        assert!(!status.out_of_service.is_empty(), "{case}: stopped, {status:?}");
    }
    world.shutdown();
}

/// Rollout without faults: requests in progress end with the version that they began with, and the
/// group continues with the new one.
#[tokio::test(start_paused = true)]
async fn rollout_without_fault() {
    for kind in KINDS {
        let world = serving_group(kind).await;
        world.set_desired_serving("2", &["bibb", "houston"]);
        sleep(SECOND * 3).await;
        let finished = world.traffic(0).finished();
        check_serves_or_reported(&world, "2", "no fault").await;
        assert!(world.traffic(0).finished() > finished, "{kind:?}: requests continue");
        assert_eq!(world.engine(1).peek_state().adapters, ["bibb", "houston"]);
    }
}

/// One request takes much longer than the others. The rollout must neither abort it nor answer the
/// rest of it with another version.
#[tokio::test(start_paused = true)]
async fn rollout_waits_for_a_long_request() {
    let world = serving_group(EngineKind::ChecksFence).await;
    let (traffic, engine) = (std::sync::Arc::clone(world.traffic(1)), world.engine(1).clone());
    tokio::spawn(async move { traffic.run_one(&engine, MINUTE).await });
    sleep(SECOND).await;
    world.set_desired_serving("2", &[]);
    sleep(MINUTE - SECOND * 3).await;
    let status = world.status();
    assert_eq!((status.activity, status.behind.len()), (Activity::Draining, RANKS));
    assert_eq!(world.engine(0).peek_state().version, "1");
    assert!(world.runs_within(SECOND).await, "the request continues");
    sleep(SECOND * 6).await;
    check_serves_or_reported(&world, "2", "long request").await;
}

/// An operator reverts a bad version at once, while long requests still run on the good one. The
/// bad version must not be loaded first, and the revert must not wait for the long request.
#[tokio::test(start_paused = true)]
async fn rollout_version_changed_twice() {
    for kind in KINDS {
        let world = serving_group(kind).await;
        let (traffic, engine) = (std::sync::Arc::clone(world.traffic(1)), world.engine(1).clone());
        tokio::spawn(async move { traffic.run_one(&engine, MINUTE).await });
        sleep(SECOND).await;
        world.set_desired_serving("bad", &[]);
        sleep(SECOND * 2).await;
        assert_eq!(world.status().activity, Activity::Draining);
        world.set_desired_serving("1", &[]);
        sleep(SECOND * 2).await;
        check_serves_or_reported(&world, "1", "reverted").await;
        let world = serving_group(kind).await;
        for version in ["2", "3", "4"] {
            world.set_desired_serving(version, &[]);
            sleep(Duration::from_millis(400)).await;
        }
        sleep(RECOVERY).await;
        check_serves_or_reported(&world, "4", "three versions").await;
    }
}

/// One rank can't load the desired version. The rank must be reported, loads must be retried with
/// backoff since each uses the weight store's rate, and reverting the version must be enough.
#[tokio::test(start_paused = true)]
async fn rollout_version_that_cannot_be_loaded() {
    for kind in KINDS {
        let world = serving_group(kind).await;
        world.refuse_loads(1, true);
        world.set_desired_serving("bad", &[]);
        sleep(MINUTE * 4).await;
        let status = world.status();
        let named: Vec<usize> = status.out_of_service.iter().map(|out| out.rank).collect();
        assert_eq!((status.activity, named), (Activity::Held, vec![1]), "{status:?}");
        assert!((4..=12).contains(&world.refused_loads()), "{}", world.refused_loads());
        world.set_desired_serving("1", &[]);
        sleep(SECOND * 5).await;
        check_serves_or_reported(&world, "1", "reverted").await;
    }
}

/// Another group of the model is changing its version. If both changed at once, no group would
/// serve the model, and callers would be refused until weights are loaded.
#[tokio::test(start_paused = true)]
async fn rollout_waits_for_lock() {
    let world = serving_group(EngineKind::ChecksFence).await;
    sleep(SECOND * 6).await;
    let key = format!("models/{MODEL}/turn");
    let put = Operation::Put { key: key.clone(), value: Bytes::from("g2"), lease: None };
    let put = Transaction { on_success: vec![put], ..Transaction::default() };
    world.kv.transact(put).await.unwrap();
    world.set_desired_serving("2", &[]);
    sleep(MINUTE).await;
    assert!(world.all_serve("1"));
    let status = world.status();
    assert_eq!((status.waits_for.as_deref(), status.behind.len()), (Some("g2"), RANKS));
    let delete = Operation::Delete { key };
    let delete = Transaction { on_success: vec![delete], ..Transaction::default() };
    world.kv.transact(delete).await.unwrap();
    sleep(SECOND * 10).await;
    check_serves_or_reported(&world, "2", GROUP).await;
}

/// Three groups serve a model and operators accept another version. If all drained at once, callers
/// would be refused until weights are loaded.
#[tokio::test(start_paused = true)]
async fn rollout_one_group_after_the_other() {
    let first = serving_group(EngineKind::ChecksFence).await;
    let mut groups = vec![first];
    for name in ["beside-1", "beside-2"] {
        let group = World::start_other_group(groups[0].kv.clone(), name).await;
        group.set_desired_serving("1", &[]);
        sleep(SECOND * 10).await;
        assert!(group.all_serve("1"), "{:?}", group.status());
        group.run_traffic(REQUEST);
        groups.push(group);
    }
    groups.iter().for_each(|group| group.set_desired_serving("2", &[]));
    let (mut closed_at_once, mut polls) = (0, 0);
    while !groups.iter().all(|group| group.all_serve("2")) {
        let closed = groups.iter().filter(|group| !group.any_intake_open()).count();
        closed_at_once = closed_at_once.max(closed);
        sleep(Duration::from_millis(10)).await;
        polls += 1;
        assert!(polls < 6_000, "not complete after a minute");
    }
    assert_eq!(closed_at_once, 1);
    sleep(SECOND * 6).await;
    for group in &groups {
        check_serves_or_reported(group, "2", "three groups").await;
    }
}

/// An adapter is added to the version that is served. The group must not be stopped for it.
#[tokio::test(start_paused = true)]
async fn rollout_adapter_added_without_a_stop() {
    for kind in KINDS {
        let world = serving_group(kind).await;
        let stalled = world.group.stalled_steps();
        world.set_desired_serving("1", &["bibb"]);
        sleep(SECOND * 2).await;
        assert_eq!(world.group.stalled_steps(), stalled, "{kind:?}");
        assert_eq!(world.engine(2).peek_state().adapters, ["bibb"]);
        world.set_desired_serving("1", &["houston"]);
        sleep(SECOND * 2).await;
        assert_eq!(
            world.engine(2).peek_state().adapters,
            ["bibb", "houston"],
            "kept until the next version"
        );
        check_serves_or_reported(&world, "1", "adapters").await;
    }
}

/// A rollout also works in a group whose ranks share no expert map.
#[tokio::test(start_paused = true)]
async fn rollout_without_expert_map() {
    let world = World::start_sized(EngineKind::IgnoresFence, None, ExpertMap::default()).await;
    world.set_desired_serving("1", &[]);
    sleep(SECOND * 4).await;
    world.set_desired_serving("2", &[]);
    sleep(SECOND * 4).await;
    check_serves_or_reported(&world, "2", "no map").await;
    assert_eq!(world.engine(0).peek_state().map_version, 0);
}

/// The weight store's rate is shared with other groups, so the ranks must load one after another
/// within this process's share.
#[tokio::test(start_paused = true)]
async fn rollout_loads_paced() {
    // At the minimum of 50 bytes/s each rank's load takes 10 s.
    let sizes = WeightSizes { rank_bytes: 500, ..WeightSizes::default() };
    let world = World::start_sized(EngineKind::ChecksFence, Some(sizes), map(1)).await;
    world.set_desired_serving("2", &[]);
    sleep(SECOND * 18).await;
    let version = |rank: usize| world.engine(rank).peek_state().version;
    assert_eq!((version(0).as_str(), version(2).as_str()), ("2", ""));
    sleep(SECOND * 8).await;
    check_serves_or_reported(&world, "2", "paced").await;
}

/// The coordinator is paused in the middle of a rollout until its lease expires. When it resumes,
/// another has completed the rollout, and its orders must be refused.
#[tokio::test(start_paused = true)]
async fn rollout_coordinator_paused() {
    inject_at_every_message(Fault::PauseCoordinator, OUTAGE * 3).await;
}

/// A coordinator loses its lease without noticing, so that two coordinators send orders at once.
#[tokio::test(start_paused = true)]
async fn rollout_two_coordinators() {
    inject_at_every_message(Fault::ExpireLease, Duration::ZERO).await;
}

/// The coordinator dies; another must complete the rollout.
#[tokio::test(start_paused = true)]
async fn rollout_coordinator_killed() {
    inject_at_every_message(Fault::KillCoordinator, Duration::ZERO).await;
}

/// An agent dies between two orders and restarts without any record of the first, which its engine
/// still carries out.
#[tokio::test(start_paused = true)]
async fn rollout_agent_restarted() {
    inject_at_every_message(Fault::KillAgent, SECOND * 2).await;
}

/// An engine crashes in the middle of a rollout and restarts with nothing loaded.
#[tokio::test(start_paused = true)]
async fn rollout_engine_crashed() {
    inject_at_every_message(Fault::CrashEngine, SECOND * 2).await;
}

/// The key-value service goes down in the middle of a rollout, or a write is lost before or after
/// it took effect.
#[tokio::test(start_paused = true)]
async fn rollout_service_down_or_answer_lost() {
    inject_at_every_message(Fault::ServiceDown, OUTAGE).await;
    inject_at_every_message(Fault::LoseServiceAnswers(LostAnswer::AfterEffect), Duration::ZERO)
        .await;
    inject_at_every_message(Fault::LoseServiceAnswers(LostAnswer::BeforeEffect), Duration::ZERO)
        .await;
}

/// A request to an agent, its answer, or the engine's answer to an order is lost.
#[tokio::test(start_paused = true)]
async fn rollout_answer_lost_after_effect() {
    inject_at_every_message(Fault::LoseRequest, Duration::ZERO).await;
    inject_at_every_message(Fault::LoseAnswer, Duration::ZERO).await;
    inject_at_every_message(Fault::LoseOrder(OrderFault::AnswerLost), Duration::ZERO).await;
}

/// An order is delayed by a minute, on the network or in the engine, while operators accept further
/// versions. If it took effect then, one rank would answer with an old version.
#[tokio::test(start_paused = true)]
async fn rollout_order_late_by_a_minute() {
    for fault in [Fault::Delay(MINUTE), Fault::LoseOrder(OrderFault::Delayed(MINUTE))] {
        for kind in KINDS {
            for message in 0..MESSAGES {
                let case = format!("{fault:?} at message {message}, {kind:?}");
                let world = serving_group(kind).await;
                world.schedule(message, fault);
                for version in ["2", "3", "4"] {
                    world.set_desired_serving(version, &[]);
                    sleep(MINUTE / 3).await;
                }
                for version in ["5", "6", "7"] {
                    world.set_desired_serving(version, &[]);
                    sleep(SECOND * 2).await;
                }
                sleep(RECOVERY).await;
                check_serves_or_reported(&world, "7", &case).await;
            }
        }
    }
}

//! Runs the cells of configuration changes and map switches.

use super::run::{KEY_VALUE_DELAY, OUTAGE_TIME, Observed, PAIR_TIME};
use super::{Fault, Outcome, Step};
use crate::configuration::{ChangeAnswer, ConfigViolation, Fleet as ConfigFleet};
use crate::group::fleet::CallFault;
use crate::group::{Fleet as GroupFleet, GroupViolation};
use crate::network::MessageFault;
use crate::world::RESTART_TIME;
use flamingowheel_backing::fake::{FakeKeyValue, LostAnswer};
use flamingowheel_group::gate::EngineKind;
use std::time::Duration;
use tokio::time::sleep;

/// The rank that faults hit.
const RANK: usize = 1;
/// Delay of a late message; longer than every time limit of a switch.
pub(super) const LATE: Duration = Duration::from_secs(15);
/// Delay of a reordered write.
const REORDER_DELAY: Duration = Duration::from_millis(50);
/// Time until a call is sent.
const SEND_TIME: Duration = Duration::from_millis(2);
/// The map to switch to.
const MAP: u16 = 2;

/// Changes the configuration through process 0 and injects the faults one after the other.
pub(super) async fn change(step: Step, faults: &[Fault]) -> Result<Observed, ConfigViolation> {
    let mut fleet = ConfigFleet::start(None).await;
    let value = match step {
        Step::ConfigurationWritten => change_with_write_faults(&mut fleet, faults).await,
        _ => {
            let value = fleet.change(0);
            sleep(SEND_TIME).await;
            for fault in faults {
                inject_during_propagation(&mut fleet, *fault);
                sleep(PAIR_TIME).await;
            }
            value
        }
    };
    sleep(OUTAGE_TIME).await;
    fleet.check()?;
    fleet.settle().await?;
    let first = match value.and_then(|value| fleet.oracle.answer(value)) {
        Some(ChangeAnswer::Accepted) => Outcome::Complete,
        Some(ChangeAnswer::NotAccepted) => Outcome::NotRun,
        Some(ChangeAnswer::Unknown) => Outcome::Unknown,
        None => Outcome::Broken,
    };
    Ok(Observed { first, resend: None })
}

/// Changes the configuration with faults of the write itself.
async fn change_with_write_faults(fleet: &mut ConfigFleet, faults: &[Fault]) -> Option<u64> {
    let has = |fault| faults.contains(&fault);
    if has(Fault::MessageDelayed) {
        fleet.kv.delay_write(LATE * 2);
    }
    if has(Fault::MessageReordered) {
        fleet.kv.delay_write(REORDER_DELAY);
    }
    if has(Fault::MessageLost) {
        fleet.kv.lose_write_answers(1, LostAnswer::BeforeEffect);
    }
    faults.iter().for_each(|fault| inject_key_value_fault(&fleet.kv, *fault));
    let value = fleet.change(0);
    if has(Fault::EntryPaused) {
        fleet.pause(0, true);
    }
    if has(Fault::EntryKilled) {
        fleet.kill(0);
    }
    if has(Fault::ConnectionSilent) {
        silence(fleet);
    }
    sleep(SEND_TIME).await;
    if has(Fault::MessageReordered) {
        // Another operator's change arrives first.
        fleet.change(1);
    }
    value
}

/// Injects a fault while the change is propagated; message faults hit messages between processes.
fn inject_during_propagation(fleet: &mut ConfigFleet, fault: Fault) {
    match fault {
        Fault::EntryKilled => fleet.kill(0),
        // A process that does not have the change yet.
        Fault::EntryPaused => fleet.pause(1, true),
        Fault::ConnectionSilent => silence(fleet),
        Fault::MessageLost => {
            fleet.kv.drop_watch_events(1);
            fleet.inject_fault(MessageFault::Lost);
        }
        Fault::MessageDelayed => fleet.inject_fault(MessageFault::Delayed(LATE)),
        Fault::MessageDuplicated => fleet.inject_fault(MessageFault::Duplicated(RESTART_TIME)),
        Fault::MessageReordered => fleet.inject_fault(MessageFault::Reordered),
        _ => inject_key_value_fault(&fleet.kv, fault),
    }
}

fn silence(fleet: &ConfigFleet) {
    fleet.cut(1, true);
    fleet.kv.silence_watches();
}

pub(super) fn inject_key_value_fault(kv: &FakeKeyValue, fault: Fault) {
    match fault {
        Fault::KeyValueDown => kv.set_down(true),
        Fault::KeyValueSlow => kv.set_delay(KEY_VALUE_DELAY),
        Fault::KeyValueAnswerLost => kv.lose_write_answers(1, LostAnswer::AfterEffect),
        _ => {}
    }
}

/// The call fault for a message fault; `None` for other faults.
pub(super) fn call_fault(fault: Fault) -> Option<CallFault> {
    match fault {
        Fault::MessageLost => Some(CallFault::RequestLost),
        Fault::MessageDelayed => Some(CallFault::Delayed(LATE)),
        Fault::MessageDuplicated => Some(CallFault::Duplicated(RESTART_TIME)),
        Fault::MessageReordered => Some(CallFault::Reordered),
        _ => None,
    }
}

/// Switches a group's map and injects the faults one after the other.
pub(super) async fn switch(step: Step, faults: &[Fault]) -> Result<Observed, GroupViolation> {
    let mut fleet = GroupFleet::start(EngineKind::IgnoresFence, None).await;
    fleet.set_desired_map(MAP);
    wait_for_step(&fleet, step).await;
    for fault in faults {
        match call_fault(*fault) {
            Some(call_fault) => fleet.inject_fault(call_fault),
            None => inject(&mut fleet, *fault),
        }
        if faults.len() > 1 {
            sleep(PAIR_TIME).await;
        }
    }
    sleep(OUTAGE_TIME).await;
    fleet.check()?;
    fleet.settle().await?;
    let is_switched = fleet.engine(RANK).peek_state().map_version == u64::from(MAP);
    let first = if is_switched { Outcome::Complete } else { Outcome::NotRun };
    Ok(Observed { first, resend: None })
}

/// Waits until the switch reaches a step.
async fn wait_for_step(fleet: &GroupFleet, step: Step) {
    let state = |rank: usize| fleet.engine(rank).peek_state();
    let before = state(0).staged_map_digest;
    let reached = || match step {
        Step::MapStaged => state(0).staged_map_digest != before,
        Step::MapHeld => state(0).held_after_step.is_some(),
        _ => state(0).map_version == u64::from(MAP),
    };
    while !reached() {
        sleep(Duration::from_millis(1)).await;
    }
}

fn inject(fleet: &mut GroupFleet, fault: Fault) {
    match fault {
        Fault::AgentKilled => fleet.replace_agent(RANK),
        Fault::AgentPaused => fleet.pause_agent(RANK, true),
        Fault::ConnectionSilent => fleet.silence(),
        Fault::BackendCrashed => fleet.engine(RANK).crash(),
        Fault::RankStalled => fleet.engine(RANK).set_frozen(true),
        Fault::VmReplaced => {
            fleet.replace_agent(RANK);
            fleet.engine(RANK).crash();
        }
        Fault::CoordinatorKilled => fleet.replace_coordinator(fleet.leader()),
        Fault::CoordinatorPaused => fleet.pause_coordinator(fleet.leader(), true),
        _ => inject_key_value_fault(&fleet.kv, fault),
    }
}

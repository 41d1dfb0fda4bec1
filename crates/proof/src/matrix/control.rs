//! Cells of configuration changes and map switches.

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

/// The rank that faults strike.
const RANK: usize = 1;
/// Later than every time limit of a switch.
pub(super) const LATE: Duration = Duration::from_secs(15);
/// A write that is overtaken takes this long.
const OVERTAKEN_TIME: Duration = Duration::from_millis(50);
/// Time in which a call goes out.
const MOMENT: Duration = Duration::from_millis(2);
/// The map that is wanted.
const MAP: u16 = 2;

/// An operator changes the configuration through process 0 while these faults strike, one after the
/// other.
pub(super) async fn change(step: Step, faults: &[Fault]) -> Result<Observed, ConfigViolation> {
    let mut fleet = ConfigFleet::start(None).await;
    let value = match step {
        Step::ConfigurationWritten => change_struck(&mut fleet, faults).await,
        _ => {
            let value = fleet.change(0);
            sleep(MOMENT).await;
            for fault in faults {
                strike_spreading(&mut fleet, *fault);
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

/// Here the message on its way is the write itself.
async fn change_struck(fleet: &mut ConfigFleet, faults: &[Fault]) -> Option<u64> {
    let has = |fault| faults.contains(&fault);
    if has(Fault::MessageDelayed) {
        fleet.kv.delay_write(LATE * 2);
    }
    if has(Fault::MessageReordered) {
        fleet.kv.delay_write(OVERTAKEN_TIME);
    }
    if has(Fault::MessageLost) {
        fleet.kv.lose_write_answers(1, LostAnswer::BeforeEffect);
    }
    faults.iter().for_each(|fault| strike_key_value(&fleet.kv, *fault));
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
    sleep(MOMENT).await;
    if has(Fault::MessageReordered) {
        // Another operator's change gets there first.
        fleet.change(1);
    }
    value
}

/// Here the messages are those from process to process.
fn strike_spreading(fleet: &mut ConfigFleet, fault: Fault) {
    match fault {
        Fault::EntryKilled => fleet.kill(0),
        // One that has yet to learn of the change.
        Fault::EntryPaused => fleet.pause(1, true),
        Fault::ConnectionSilent => silence(fleet),
        Fault::MessageLost => {
            fleet.kv.drop_watch_events(1);
            fleet.inject_fault(MessageFault::Lost);
        }
        Fault::MessageDelayed => fleet.inject_fault(MessageFault::Delayed(LATE)),
        Fault::MessageDuplicated => fleet.inject_fault(MessageFault::Duplicated(RESTART_TIME)),
        Fault::MessageReordered => fleet.inject_fault(MessageFault::Reordered),
        _ => strike_key_value(&fleet.kv, fault),
    }
}

fn silence(fleet: &ConfigFleet) {
    fleet.cut(1, true);
    fleet.kv.silence_watches();
}

pub(super) fn strike_key_value(kv: &FakeKeyValue, fault: Fault) {
    match fault {
        Fault::KeyValueDown => kv.set_down(true),
        Fault::KeyValueSlow => kv.set_delay(KEY_VALUE_DELAY),
        Fault::KeyValueAnswerLost => kv.lose_write_answers(1, LostAnswer::AfterEffect),
        _ => {}
    }
}

/// What a fault of messages does to an order.
pub(super) fn call_fault(fault: Fault) -> Option<CallFault> {
    match fault {
        Fault::MessageLost => Some(CallFault::RequestLost),
        Fault::MessageDelayed => Some(CallFault::Delayed(LATE)),
        Fault::MessageDuplicated => Some(CallFault::Duplicated(RESTART_TIME)),
        Fault::MessageReordered => Some(CallFault::Reordered),
        _ => None,
    }
}

/// A group changes its map while these faults strike, one after the other.
pub(super) async fn switch(step: Step, faults: &[Fault]) -> Result<Observed, GroupViolation> {
    let mut fleet = GroupFleet::start(EngineKind::IgnoresFence, None).await;
    fleet.set_desired_map(MAP);
    reach(&fleet, step).await;
    for fault in faults {
        match call_fault(*fault) {
            Some(call_fault) => fleet.inject_fault(call_fault),
            None => strike(&mut fleet, *fault),
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

/// Waits until the switch is at this step.
async fn reach(fleet: &GroupFleet, step: Step) {
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

fn strike(fleet: &mut GroupFleet, fault: Fault) {
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
        _ => strike_key_value(&fleet.kv, fault),
    }
}

//! Cells of configuration changes and map switches.

use super::run::{KEY_VALUE_DELAY, OUTAGE_TIME, Seen};
use super::{Fault, Outcome, Step};
use crate::configuration::{ChangeAnswer, ConfigViolation, Fleet as ConfigFleet};
use crate::group::fleet::CallFault;
use crate::group::{Fleet as GroupFleet, GroupViolation};
use crate::world::RESTART_TIME;
use flamingowheel_group::gate::EngineKind;
use flamingowheel_platform::fake::{FakeKeyValue, LostAnswer};
use std::time::Duration;
use tokio::time::sleep;

/// The rank that faults strike.
const RANK: usize = 1;
/// Later than every time limit of a switch.
const LATE: Duration = Duration::from_secs(15);
/// The map that is wanted.
const MAP: u16 = 2;

/// An operator changes the configuration through process 0.
pub(super) async fn change(step: Step, fault: Fault) -> Result<Seen, ConfigViolation> {
    let mut fleet = ConfigFleet::start(None).await;
    if step == Step::ConfigurationWritten {
        strike_key_value(&fleet.kv, fault);
    }
    let value = fleet.change(0);
    if step == Step::ConfigurationSpreading {
        sleep(Duration::from_millis(2)).await;
        strike_key_value(&fleet.kv, fault);
    }
    match fault {
        Fault::EntryKilled => fleet.kill(0),
        Fault::ConnectionSilent => {
            fleet.cut(1, true);
            fleet.kv.silence_watches();
        }
        Fault::MessageLost => fleet.kv.swallow_events(1),
        _ => {}
    }
    sleep(OUTAGE_TIME).await;
    fleet.check()?;
    fleet.settle().await?;
    let first = match value.and_then(|value| fleet.oracle.answer(value)) {
        Some(ChangeAnswer::Accepted) => Outcome::Complete,
        Some(ChangeAnswer::NotAccepted) => Outcome::NotRun,
        Some(ChangeAnswer::Unknown) => Outcome::Unknown,
        None => Outcome::Broken,
    };
    Ok(Seen { first, again: None })
}

fn strike_key_value(kv: &FakeKeyValue, fault: Fault) {
    match fault {
        Fault::KeyValueDown => kv.set_down(true),
        Fault::KeyValueSlow => kv.set_delay(KEY_VALUE_DELAY),
        Fault::KeyValueAnswerLost => kv.lose_write_answers(1, LostAnswer::AfterEffect),
        _ => {}
    }
}

/// A group changes its map.
pub(super) async fn switch(step: Step, fault: Fault) -> Result<Seen, GroupViolation> {
    let mut fleet = GroupFleet::start(EngineKind::IgnoresFence, None).await;
    let message_fault = match fault {
        Fault::MessageLost => Some(CallFault::RequestLost),
        Fault::MessageLate => Some(CallFault::Late(LATE)),
        Fault::MessageCopied => Some(CallFault::Copied(RESTART_TIME)),
        _ => None,
    };
    fleet.want(MAP);
    reach(&fleet, step).await;
    match message_fault {
        Some(message_fault) => fleet.fault(message_fault),
        None => strike(&mut fleet, fault),
    }
    sleep(OUTAGE_TIME).await;
    fleet.check()?;
    fleet.settle().await?;
    let is_switched = fleet.engine(RANK).peek_state().map_version == u64::from(MAP);
    let first = if is_switched { Outcome::Complete } else { Outcome::NotRun };
    Ok(Seen { first, again: None })
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

//! Brings a group from any state to the map in force.

use crate::intake::IntakeState;
use crate::message::{RankError, RankState};
use crate::ranks::Ranks;
use crate::record::{Phase, StoredRecord};
use crate::serve::{self, Progress};
use crate::session::{GroupError, RankOrder, RankResult, Session};
use crate::switch::resume::settle;
use crate::switch::{Failure, Switch};
use flamingowheel_backing::orders::OrderTarget;

/// The state of a group after [`align`].
#[derive(Debug)]
pub enum Alignment {
    /// All ranks step with the map in force.
    Running,
    /// Ranks that are to change their model version still have requests in progress.
    Draining {
        /// The ranks with requests in progress.
        ranks: Vec<(usize, IntakeState)>,
        /// All ranks that don't serve the new version yet.
        behind: Vec<usize>,
    },
    /// Some ranks can't be verified.
    Waiting {
        /// The ranks that can't be verified, and why.
        ranks: Vec<(usize, RankError)>,
        /// Whether the group is stopped until they can be verified.
        held: bool,
        /// Ranks that answer but don't serve the record's model version and adapters.
        behind: Vec<usize>,
    },
}

/// Reads every rank and brings all of them to step with the map in force. A change that was not
/// committed is rolled back. Returns the latest record along with the result.
pub async fn align<Transport>(
    session: &Session<'_, Transport>,
    stored: StoredRecord,
) -> (StoredRecord, Result<Alignment, GroupError>)
where
    Transport: Ranks,
{
    let stored = match roll_back(session, stored).await {
        Ok(stored) => stored,
        Err(failure) => return (failure.stored, Err(failure.error)),
    };
    let states = match session.read_all(stored.fence()).await {
        Ok(states) => states,
        Err(error) => return (stored, Err(error)),
    };
    let version = stored.record.in_force.version;
    let unverified = unverified(&states);
    let states: Vec<(usize, RankState)> = reachable(states);
    if !unverified.is_empty() {
        // A rank that lost its map must not step when the unreachable rank comes back.
        let result = hold_unaligned(session, &stored, &states).await;
        let behind = serve::behind(&states, &stored.record);
        let held = any_held(&states) || !all_use(&states, version);
        // No change is in progress and the group steps: one missing agent must not keep the other
        // agents from admitting requests.
        if stored.record.phase == Phase::Settled && !held && behind.is_empty() {
            serve::reopen(session, &stored, &states).await;
        }
        return (stored, result.map(|()| Alignment::Waiting { ranks: unverified, held, behind }));
    }
    let behind = serve::behind(&states, &stored.record);
    let states = match serve::advance(session, &stored, states).await {
        Ok(Progress::Served(states)) => states,
        Ok(Progress::Draining(ranks)) => {
            return (stored, Ok(Alignment::Draining { ranks, behind }));
        }
        Err(error) => return (stored, Err(error)),
    };
    let done = match (all_use(&states, version), any_held(&states)) {
        (true, false) => settle(session, &stored).await.map_err(|error| failure(error, &stored)),
        (true, true) => Switch::verified(session, stored.clone()).resume().await,
        (false, _) => restore(session, stored.clone()).await,
    };
    match done {
        Ok(stored) => {
            serve::reopen(session, &stored, &states).await;
            (stored, Ok(Alignment::Running))
        }
        Err(failure) => (failure.stored, Err(failure.error)),
    }
}

fn failure(error: GroupError, stored: &StoredRecord) -> Box<Failure> {
    Box::new(Failure { error, stored: stored.clone() })
}

/// Rolls back a change that was not committed. If the record can't be written because the key-value
/// service is unreachable, the change counts as rolled back: to commit it, another coordinator
/// would also need the service, and would first raise the fencing number.
async fn roll_back<Transport>(
    session: &Session<'_, Transport>,
    stored: StoredRecord,
) -> Result<StoredRecord, Box<Failure>> {
    if !matches!(stored.record.phase, Phase::Pending { .. }) {
        return Ok(stored);
    }
    settle(session, &stored).await.map_err(|error| failure(error, &stored))
}

async fn restore<Transport>(
    session: &Session<'_, Transport>,
    stored: StoredRecord,
) -> Result<StoredRecord, Box<Failure>>
where
    Transport: Ranks,
{
    let held = Switch::recover(session, stored).await?;
    held.switch().await?.read_back().await?.resume().await
}

async fn hold_unaligned<Transport>(
    session: &Session<'_, Transport>,
    stored: &StoredRecord,
    states: &[(usize, RankState)],
) -> Result<(), GroupError>
where
    Transport: Ranks,
{
    let version = stored.record.in_force.version;
    let unaligned = states.iter().filter(|(_, state)| !state.uses(version) && !state.is_stopped());
    let order = |(rank, state): &(usize, RankState)| {
        RankOrder::new(*rank, OrderTarget::Hold { after_step: state.engine.step })
    };
    let orders = unaligned.map(order).collect();
    session.send_orders(stored.fence(), orders, session.timing.call_timeout).await
}

fn unverified(states: &[RankResult]) -> Vec<(usize, RankError)> {
    let reason = |(rank, state): (usize, &RankResult)| match state {
        Err(error) => Some((rank, error.clone())),
        Ok(state) if state.unresolved => Some((rank, RankError::Unresolved)),
        Ok(_) => None,
    };
    states.iter().enumerate().filter_map(reason).collect()
}

fn reachable(states: Vec<RankResult>) -> Vec<(usize, RankState)> {
    let numbered = states.into_iter().enumerate();
    numbered.filter_map(|(rank, state)| Some((rank, state.ok()?))).collect()
}

fn all_use(states: &[(usize, RankState)], version: u64) -> bool {
    states.iter().all(|(_, state)| state.uses(version))
}

fn any_held(states: &[(usize, RankState)]) -> bool {
    states.iter().any(|(_, state)| state.engine.held_after_step.is_some())
}

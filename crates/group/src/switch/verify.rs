//! Switches held ranks to the map in force and reads each one back.

use super::stage::stage;
use super::{Committed, Switch, Switched, Transition, Verified, hold_all};
use crate::message::{RankError, RankState};
use crate::ranks::Ranks;
use crate::record::StoredRecord;
use crate::session::{GroupError, RankOrder, Session};
use flamingowheel_backing::orders::OrderTarget;

impl<'a, Transport> Switch<'a, Transport, Committed>
where
    Transport: Ranks,
{
    /// Continues a committed switch of an earlier coordinator, or restores ranks that lost their
    /// map: holds all ranks, and makes those that don't use the map in force load it.
    pub async fn recover(
        session: &'a Session<'a, Transport>,
        stored: StoredRecord,
    ) -> Transition<'a, Transport, Committed> {
        let result = prepare(session, &stored).await;
        Switch { session, stored, state: Committed }.then(result, |state| state)
    }

    /// Orders every rank to use the map in force from its next step on.
    pub async fn switch(self) -> Transition<'a, Transport, Switched> {
        let in_force = &self.stored.record.in_force;
        let target =
            OrderTarget::SwitchMap { map_version: in_force.version, map: in_force.map.clone() };
        let orders = (0..self.session.ranks.count())
            .map(|rank| RankOrder::new(rank, target.clone()))
            .collect();
        let limit = self.session.timing.rank_timeout;
        let result = self.session.send_orders(self.stored.fence(), orders, limit).await;
        self.then(result, |_| Switched)
    }
}

async fn prepare<Transport>(
    session: &Session<'_, Transport>,
    stored: &StoredRecord,
) -> Result<(), GroupError>
where
    Transport: Ranks,
{
    let states = hold_all(session, stored.fence()).await?;
    let version = stored.record.in_force.version;
    let behind = |(rank, state): (usize, &RankState)| (!state.uses(version)).then_some(rank);
    let behind = states.iter().enumerate().filter_map(behind).collect();
    stage(session, stored, behind, &stored.record.in_force).await
}

impl<'a, Transport> Switch<'a, Transport, Switched>
where
    Transport: Ranks,
{
    /// Reads every rank back. The answer to an order does not prove that a rank uses the map: its
    /// engine may have crashed since.
    pub async fn read_back(self) -> Transition<'a, Transport, Verified> {
        let result = match self.session.read_all_or_fail(self.stored.fence()).await {
            Ok(states) => check(&states, self.stored.record.in_force.version),
            Err(error) => Err(error),
        };
        self.then(result, |_| Verified)
    }
}

fn check(states: &[RankState], version: u64) -> Result<(), GroupError> {
    for (rank, state) in states.iter().enumerate() {
        if state.unresolved {
            return Err(GroupError::Rank { rank, error: RankError::Unresolved });
        }
        if !state.uses(version) {
            let error = RankError::WrongVersion { version: state.engine.map_version };
            return Err(GroupError::Rank { rank, error });
        }
    }
    Ok(())
}

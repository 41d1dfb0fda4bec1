//! Loads the weights of the next map while the group continues to step.

use super::{Begun, Staged, Switch, Transition};
use crate::ranks::Ranks;
use crate::record::{StoredRecord, VersionedMap};
use crate::session::{GroupError, RankOrder, Session};
use flamingowheel_backing::orders::OrderTarget;
use futures_util::future::join_all;

impl<'a, Transport> Switch<'a, Transport, Begun>
where
    Transport: Ranks,
{
    /// Makes every rank load the weights that the next map needs.
    pub async fn stage(self) -> Transition<'a, Transport, Staged> {
        let ranks = (0..self.session.ranks.count()).collect();
        let result = stage(self.session, &self.stored, ranks, &self.state.next).await;
        self.then(result, |state| Staged { next: state.next })
    }
}

/// Makes these ranks load the weights that `map` needs, each once the weight store's rate allows
/// it.
pub(crate) async fn stage<Transport>(
    session: &Session<'_, Transport>,
    stored: &StoredRecord,
    ranks: Vec<usize>,
    map: &VersionedMap,
) -> Result<(), GroupError>
where
    Transport: Ranks,
{
    // Ranks hold the weights of the map in force, unless that is the map they lost and load again.
    let in_force = &stored.record.in_force;
    let loaded = (in_force.version != map.version).then_some(&in_force.map);
    let load = |rank| async move {
        if let Some(load_limiter) = session.load_limiter {
            load_limiter.acquire_for_map(rank, loaded, &map.map).await;
        }
        let order = RankOrder::new(rank, OrderTarget::StageMap { map: map.map.clone() });
        session.send_orders(stored.fence(), vec![order], session.timing.stage_timeout).await
    };
    join_all(ranks.into_iter().map(load)).await.into_iter().collect()
}

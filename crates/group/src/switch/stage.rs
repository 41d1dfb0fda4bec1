//! Loading the weights of the next map while the group steps on.

use super::{Begun, Staged, Switch, Transition};
use crate::ranks::Ranks;
use crate::record::VersionedMap;
use crate::session::{GroupError, RankOrder, Session};
use flamingowheel_platform::orders::{Fence, OrderTarget};

impl<'a, Members> Switch<'a, Members, Begun>
where
    Members: Ranks,
{
    /// Has every rank load what the next map needs.
    pub async fn stage(self) -> Transition<'a, Members, Staged> {
        let ranks = (0..self.session.ranks.count()).collect();
        let result = stage(self.session, self.stored.fence(), ranks, &self.state.next).await;
        self.then(result, |state| Staged { next: state.next })
    }
}

/// Has these ranks load what `map` needs.
pub(crate) async fn stage<Members>(
    session: &Session<'_, Members>,
    fence: Fence,
    ranks: Vec<usize>,
    map: &VersionedMap,
) -> Result<(), GroupError>
where
    Members: Ranks,
{
    let target = OrderTarget::StageMap { map: map.map.clone() };
    let orders = ranks.into_iter().map(|rank| RankOrder::new(rank, target.clone())).collect();
    session.order_all(fence, orders, session.timing.stage_limit).await
}

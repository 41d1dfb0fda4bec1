//! Resumes a verified group.

use super::{Failure, Switch, Verified};
use crate::ranks::Ranks;
use crate::record::{Phase, RecordError, StoredRecord};
use crate::session::{GroupError, RankOrder, Session};
use flamingowheel_backing::orders::OrderTarget;

impl<'a, Transport> Switch<'a, Transport, Verified>
where
    Transport: Ranks,
{
    /// For a group all of whose ranks were just read back and use the map in force.
    pub(crate) fn verified(session: &'a Session<'a, Transport>, stored: StoredRecord) -> Self {
        Self { session, stored, state: Verified }
    }

    /// Resumes all ranks, then writes into the record that no change is in progress. If the
    /// key-value service is down, that write is skipped: the group runs, and the next coordinator
    /// finds all ranks on the map in force.
    pub async fn resume(self) -> Result<StoredRecord, Box<Failure>> {
        let version = Some(self.stored.record.in_force.version);
        let order =
            |rank| RankOrder { rank, target: OrderTarget::Resume, requires_version: version };
        let orders = (0..self.session.ranks.count()).map(order).collect();
        let limit = self.session.timing.rank_timeout;
        let fence = self.stored.fence();
        if let Err(error) = self.session.send_orders(fence, orders, limit).await {
            return Err(Box::new(Failure { error, stored: self.stored }));
        }
        match settle(self.session, &self.stored).await {
            Ok(stored) => Ok(stored),
            Err(error) => Err(Box::new(Failure { error, stored: self.stored })),
        }
    }
}

/// Writes into the record that no change is in progress; a pending change is rolled back.
pub(crate) async fn settle<Transport>(
    session: &Session<'_, Transport>,
    stored: &StoredRecord,
) -> Result<StoredRecord, GroupError> {
    if stored.record.phase == Phase::Settled {
        return Ok(stored.clone());
    }
    match session.records.replace(stored, stored.record.settled()).await {
        Ok(settled) => Ok(settled),
        Err(RecordError::NotWritten(_)) => Ok(stored.clone()),
        Err(error) => Err(error.into()),
    }
}

//! Updates a group's record to the model version and adapters that operators accepted.

use crate::ranks::Ranks;
use crate::record::{Phase, RecordError, Serving, StoredRecord};
use crate::rollout_lock::RolloutLock;
use crate::serve::{DesiredServing, next_serving, reported_version};
use crate::session::{GroupError, Session};
use flamingowheel_backing::kv::KeyValue;
use std::sync::Arc;
use tokio::sync::watch;

/// Rollout of model versions and adapters to one group.
pub(crate) struct Rollout {
    model: String,
    desired: watch::Receiver<Option<DesiredServing>>,
    lock: RolloutLock,
    /// The change that waits for the rollout lock.
    waiting: Option<Serving>,
}

impl Rollout {
    pub(crate) fn new(
        kv: Arc<dyn KeyValue>,
        model: &str,
        group: &str,
        desired: watch::Receiver<Option<DesiredServing>>,
    ) -> Self {
        let lock = RolloutLock::new(kv, model, group);
        Self { model: model.to_owned(), desired, lock, waiting: None }
    }

    /// The waiting change and the group that holds the rollout lock.
    pub(crate) fn waiting(&self) -> Option<(Serving, String)> {
        Some((self.waiting.clone()?, self.lock.holder()?))
    }

    /// Replaces the target of a rollout in progress if the desired version has changed. An operator
    /// who reverts a bad version would otherwise have to wait until it is loaded.
    pub(crate) async fn retarget<Transport>(
        &mut self,
        session: &Session<'_, Transport>,
        stored: StoredRecord,
    ) -> Result<StoredRecord, GroupError>
    where
        Transport: Ranks,
    {
        if stored.record.phase != Phase::Rolling {
            return Ok(stored);
        }
        // Takes over the lock of this group's earlier coordinator. The rollout continues even if
        // that fails.
        self.lock.acquire().await;
        match self.next_target(session, &stored).await {
            Some(next) => Ok(write_target(session, &stored, next).await?.unwrap_or(stored)),
            None => Ok(stored),
        }
    }

    /// Begins a rollout if one is due. Changes of the model version need the rollout lock.
    pub(crate) async fn begin<Transport>(
        &mut self,
        session: &Session<'_, Transport>,
        stored: &StoredRecord,
    ) -> Result<Option<StoredRecord>, GroupError>
    where
        Transport: Ranks,
    {
        self.waiting = None;
        let Some(next) = self.next_target(session, stored).await else {
            if stored.record.phase == Phase::Settled {
                self.lock.release().await;
            }
            return Ok(None);
        };
        let changes_model_version =
            stored.record.with_serving(next.clone()).phase == Phase::Rolling;
        if changes_model_version && !self.lock.acquire().await {
            self.waiting = Some(next);
            return Ok(None);
        }
        write_target(session, stored, next).await
    }

    async fn next_target<Transport>(
        &self,
        session: &Session<'_, Transport>,
        stored: &StoredRecord,
    ) -> Option<Serving>
    where
        Transport: Ranks,
    {
        let desired = self.desired.borrow().clone()?;
        let record = &stored.record;
        let none_named = desired.version.is_none() && record.serving.is_none();
        if !none_named || desired.adapters.is_empty() {
            return next_serving(&self.model, &desired, record, None);
        }
        let states = session.read_all_or_fail(stored.fence()).await.ok()?;
        next_serving(&self.model, &desired, record, reported_version(&states))
    }
}

/// Writes the next target into the record; `None` if that is not possible now.
async fn write_target<Transport>(
    session: &Session<'_, Transport>,
    stored: &StoredRecord,
    next: Serving,
) -> Result<Option<StoredRecord>, GroupError>
where
    Transport: Ranks,
{
    if !session.lease.may_change() {
        return Ok(None);
    }
    match session.records.replace(stored, stored.record.with_serving(next)).await {
        Ok(stored) => Ok(Some(stored)),
        Err(RecordError::NotWritten(_)) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

//! From what operators accepted of a model to what a group's record says.

use crate::ranks::Ranks;
use crate::record::{Phase, RecordError, Serving, StoredRecord};
use crate::serve::{DesiredServing, next_serving, reported};
use crate::session::{GroupError, Session};
use crate::turn::Turns;
use flamingowheel_backing::kv::KeyValue;
use std::sync::Arc;
use tokio::sync::watch;

/// One group's changes of version and adapters.
pub(crate) struct Rollout {
    model: String,
    wanted: watch::Receiver<Option<DesiredServing>>,
    turns: Turns,
    /// What is wanted and waits for the group's turn.
    waiting: Option<Serving>,
}

impl Rollout {
    pub(crate) fn new(
        kv: Arc<dyn KeyValue>,
        model: &str,
        group: &str,
        wanted: watch::Receiver<Option<DesiredServing>>,
    ) -> Self {
        let turns = Turns::new(kv, model, group);
        Self { model: model.to_owned(), wanted, turns, waiting: None }
    }

    /// What waits, and the group it waits for.
    pub(crate) fn waiting(&self) -> Option<(Serving, String)> {
        Some((self.waiting.clone()?, self.turns.waits_for()?))
    }

    /// While ranks still have requests of the former version, another target may take the place of
    /// the one that the record names. An operator who takes a bad version back would otherwise have
    /// to wait for it to be loaded.
    pub(crate) async fn retarget<Members>(
        &mut self,
        session: &Session<'_, Members>,
        stored: StoredRecord,
    ) -> Result<StoredRecord, GroupError>
    where
        Members: Ranks,
    {
        if stored.record.phase != Phase::Rolling {
            return Ok(stored);
        }
        // The turn of a coordinator that is gone is taken over; the change goes on in any case.
        self.turns.take().await;
        match self.next(session, &stored).await {
            Some(next) => Ok(write(session, &stored, next).await?.unwrap_or(stored)),
            None => Ok(stored),
        }
    }

    /// Begins a change if one is wanted and it is the group's turn.
    pub(crate) async fn begin<Members>(
        &mut self,
        session: &Session<'_, Members>,
        stored: &StoredRecord,
    ) -> Result<Option<StoredRecord>, GroupError>
    where
        Members: Ranks,
    {
        self.waiting = None;
        let Some(next) = self.next(session, stored).await else {
            if stored.record.phase == Phase::Settled {
                self.turns.release().await;
            }
            return Ok(None);
        };
        let changes_version = stored.record.with_serving(next.clone()).phase == Phase::Rolling;
        if changes_version && !self.turns.take().await {
            self.waiting = Some(next);
            return Ok(None);
        }
        write(session, stored, next).await
    }

    async fn next<Members>(
        &self,
        session: &Session<'_, Members>,
        stored: &StoredRecord,
    ) -> Option<Serving>
    where
        Members: Ranks,
    {
        let wanted = self.wanted.borrow().clone()?;
        let record = &stored.record;
        let names_none = wanted.version.is_none() && record.serving.is_none();
        if !names_none || wanted.adapters.is_empty() {
            return next_serving(&self.model, &wanted, record, None);
        }
        let states = session.read_all_or_fail(stored.fence()).await.ok()?;
        next_serving(&self.model, &wanted, record, reported(&states))
    }
}

/// Writes the next target; `None` if that can't be done now.
async fn write<Members>(
    session: &Session<'_, Members>,
    stored: &StoredRecord,
    next: Serving,
) -> Result<Option<StoredRecord>, GroupError>
where
    Members: Ranks,
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

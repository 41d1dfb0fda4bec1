//! Accepting a change: checks, then one compare-and-swap whose outcome is always found out or
//! called unknown.

use crate::bucket::{SizeError, check_sizes};
use crate::change::{Change, ChangeId, Conflict, DocumentDiff, Origin, diff, diff_one};
use crate::document::Edit;
use crate::effective::ConfigRevision;
use crate::replica::Replica;
use crate::store::{Store, StoreError, VersionedHead, append_transaction, slot_change};
use crate::validate::{Problem, validate};
use flamingowheel_backing::kv::{KeyValueError, Transaction};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use uuid::Uuid;

/// How often a change is tried again after another operator's unrelated one came first.
const MAX_RACES: usize = 16;
/// How long a lost answer is followed up before the outcome is called unknown.
const RESOLVE_LIMIT: Duration = Duration::from_secs(5);
/// Time between two questions about a lost answer.
const RESOLVE_INTERVAL: Duration = Duration::from_millis(200);

/// What an operator asks for.
#[derive(Clone, Debug)]
pub struct ApplyRequest {
    /// Random part of the change's id. The same request sent again under it is accepted once.
    pub uuid: Uuid,
    /// Who, when and why.
    pub origin: Origin,
    /// What is to change.
    pub edits: Vec<Edit>,
    /// The revision the operator looked at when writing them.
    pub seen: ConfigRevision,
}

/// A request that was not refused.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// It took effect as this change.
    Accepted(Arc<Change>),
    /// Everything was as asked already.
    Unchanged,
}

/// Why a change is not known to be accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ApplyError {
    /// Documents break rules.
    #[error("{} problems in the documents", .0.len())]
    Invalid(Vec<Problem>),
    /// Others changed the same documents.
    #[error("{} documents were changed by others", .0.len())]
    Conflict(Vec<Conflict>),
    /// It would not fit.
    #[error(transparent)]
    TooLarge(#[from] SizeError),
    /// Not accepted: the configuration could not be read or written.
    #[error("not accepted: {0}")]
    Store(#[from] StoreError),
    /// Not accepted: others kept changing.
    #[error("not accepted: others changed the configuration {MAX_RACES} times meanwhile")]
    Contended,
    /// Not accepted: somebody asked for its outcome before it was known, which voided it.
    #[error("not accepted: voided by a question about its outcome")]
    Voided,
    /// Nobody can tell yet whether it was accepted.
    #[error("change {id} may have been accepted: {source}")]
    Unknown {
        /// The id to ask with.
        id: ChangeId,
        /// The last failure.
        source: KeyValueError,
    },
}

/// How one attempt to append ended.
enum Appended {
    Accepted,
    /// The head had moved; the attempt has no effect and never will.
    Raced,
    /// An empty change took the revision.
    Voided,
}

impl Store {
    /// Has a change accepted; `replica` is brought up to date on the way.
    pub async fn apply(
        &self,
        replica: &mut Replica,
        request: &ApplyRequest,
    ) -> Result<Applied, ApplyError> {
        Ok(self.apply_with_diff(replica, request).await?.0)
    }

    /// The same, with what differs through the change from what was in force before it.
    pub async fn apply_with_diff(
        &self,
        replica: &mut Replica,
        request: &ApplyRequest,
    ) -> Result<(Applied, Vec<DocumentDiff>), ApplyError> {
        for _ in 0..MAX_RACES {
            let entry = self.catch_up(replica).await?;
            if let Some(change) = replica.find(request.uuid) {
                return Ok((Applied::Accepted(Arc::clone(change)), Vec::new()));
            }
            let entry = self.make_room(replica, entry).await?;
            let Some(change) = prepare_change(replica, request)? else {
                return Ok((Applied::Unchanged, Vec::new()));
            };
            let differs = diff(replica.documents(), &change.edits);
            match self.append(&entry, &change).await? {
                Appended::Accepted => return Ok((accept(replica, change), differs)),
                Appended::Raced => {}
                Appended::Voided => return Err(ApplyError::Voided),
            }
        }
        Err(ApplyError::Contended)
    }

    /// Folds the log first if the change would overwrite a slot that is not yet folded.
    async fn make_room(
        &self,
        replica: &mut Replica,
        entry: VersionedHead,
    ) -> Result<VersionedHead, StoreError> {
        if entry.has_room() {
            return Ok(entry);
        }
        self.fold(replica).await?;
        self.catch_up(replica).await
    }

    /// Sends the transaction until its outcome is known or the time is up.
    ///
    /// An answer can be lost after the write took effect, or the write can arrive late, after a
    /// read that did not find it. So the same transaction is sent again rather than read back
    /// alone: once it either succeeds or fails its comparison, no earlier copy can take effect
    /// any more, and the slot tells whose change is there.
    async fn append(&self, entry: &VersionedHead, change: &Change) -> Result<Appended, ApplyError> {
        let transaction = append_transaction(entry, change);
        let deadline = Instant::now() + RESOLVE_LIMIT;
        let mut in_doubt = false;
        loop {
            let source = match self.append_once(&transaction, change.id).await {
                Ok(Some(appended)) => return Ok(appended),
                Ok(None) => KeyValueError::Malformed { what: "slot used again" },
                Err(StoreError::KeyValue(source)) => source,
                Err(error) if !in_doubt => return Err(error.into()),
                Err(_) => KeyValueError::Malformed { what: "log slot" },
            };
            in_doubt |= source.may_have_taken_effect();
            if !in_doubt {
                return Err(StoreError::KeyValue(source).into());
            }
            if Instant::now() + RESOLVE_INTERVAL >= deadline {
                return Err(ApplyError::Unknown { id: change.id, source });
            }
            tokio::time::sleep(RESOLVE_INTERVAL).await;
        }
    }

    /// One try; `None` if the slot has gone to a change a whole ring later.
    async fn append_once(
        &self,
        transaction: &Transaction,
        id: ChangeId,
    ) -> Result<Option<Appended>, StoreError> {
        let answer = self.kv.transact(transaction.clone()).await?;
        if answer.succeeded {
            return Ok(Some(Appended::Accepted));
        }
        let Some(found) = slot_change(answer.reads.first().and_then(Option::as_ref))? else {
            return Ok(Some(Appended::Raced));
        };
        Ok(match found.revision() {
            _ if found.id == id => Some(Appended::Accepted),
            revision if revision > id.revision => None,
            _ if found.voids == Some(id) => Some(Appended::Voided),
            _ => Some(Appended::Raced),
        })
    }
}

fn accept(replica: &mut Replica, change: Change) -> Applied {
    let change = Arc::new(change);
    // It follows directly: the append compared the head that the replica had been brought to.
    let _ = replica.advance(Arc::clone(&change));
    Applied::Accepted(change)
}

/// The change to write, `None` if there is nothing to do.
pub fn prepare_change(
    replica: &Replica,
    request: &ApplyRequest,
) -> Result<Option<Change>, ApplyError> {
    let documents = replica.documents();
    let differing = |edit: &&Edit| diff_one(documents, edit).is_some();
    let edits: Vec<Edit> = request.edits.iter().filter(differing).cloned().collect();
    let conflicts = find_conflicts(replica, request, &edits);
    if !conflicts.is_empty() {
        return Err(ApplyError::Conflict(conflicts));
    }
    validate(documents, &request.edits).map_err(ApplyError::Invalid)?;
    if edits.is_empty() {
        return Ok(None);
    }
    let id = ChangeId { revision: replica.revision().next(), uuid: request.uuid };
    let change = Change { id, origin: request.origin.clone(), edits, voids: None };
    let mut after = documents.clone();
    after.apply(change.revision(), &change.edits);
    check_sizes(&after, &change)?;
    Ok(Some(change))
}

/// Documents that somebody else wrote or removed after the operator looked.
fn find_conflicts(replica: &Replica, request: &ApplyRequest, edits: &[Edit]) -> Vec<Conflict> {
    let newer = |edit: &&Edit| last_change(replica, edit).is_some_and(|at| at > request.seen);
    edits.iter().filter(newer).map(|edit| conflict(replica, request.seen, edit)).collect()
}

fn last_change(replica: &Replica, edit: &Edit) -> Option<ConfigRevision> {
    let stored = replica.documents().revision_of(edit.kind(), edit.name());
    stored.or_else(|| changed_by(replica, edit).map(|change| change.revision()))
}

fn changed_by<'a>(replica: &'a Replica, edit: &Edit) -> Option<&'a Arc<Change>> {
    let same = |other: &Edit| other.kind() == edit.kind() && other.name() == edit.name();
    replica.history().find(|change| change.edits.iter().any(same))
}

fn conflict(replica: &Replica, seen: ConfigRevision, edit: &Edit) -> Conflict {
    let change = changed_by(replica, edit);
    Conflict {
        kind: edit.kind(),
        name: edit.name().to_owned(),
        seen,
        change: change.map(|change| change.id),
        origin: change.map(|change| change.origin.clone()),
        differs: diff_one(replica.documents(), edit),
    }
}

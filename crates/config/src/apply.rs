//! Accepting a change: validation, then one compare-and-swap write whose outcome is either
//! determined or reported as unknown.

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

/// Attempts to accept a change when other changes are accepted first.
const MAX_ATTEMPTS: usize = 16;
/// How long an unanswered write is retried before its outcome is reported as unknown.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two attempts of an unanswered write.
const RESOLVE_INTERVAL: Duration = Duration::from_millis(200);

/// An operator's request to change documents.
#[derive(Clone, Debug)]
pub struct ApplyRequest {
    /// Random part of the change's id. Requests with the same value are accepted only once, so a
    /// request can be retried.
    pub uuid: Uuid,
    /// The operator, the time and the comment.
    pub origin: Origin,
    /// The documents to write or remove.
    pub edits: Vec<Edit>,
    /// The revision that the operator had read before writing the edits.
    pub seen: ConfigRevision,
}

/// The result of a request that was not refused.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// The request was accepted as this change.
    Accepted(Arc<Change>),
    /// All documents already were as requested; nothing was written.
    Unchanged,
}

/// Why a change was refused, or failed, or has an unknown outcome.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ApplyError {
    /// Documents violate validation rules; all violations are listed.
    #[error("{} problems in the documents", .0.len())]
    Invalid(Vec<Problem>),
    /// Other changes wrote the same documents after the revision that the operator had read.
    #[error("{} documents were changed by others", .0.len())]
    Conflict(Vec<Conflict>),
    /// The change, or a bucket with it, exceeds the size limit of a value.
    #[error(transparent)]
    TooLarge(#[from] SizeError),
    /// Not accepted: the configuration could not be read or written.
    #[error("not accepted: {0}")]
    Store(#[from] StoreError),
    /// Not accepted: other changes came first in all attempts.
    #[error("not accepted: others changed the configuration {MAX_ATTEMPTS} times meanwhile")]
    Contended,
    /// Not accepted: its outcome was queried before the write took effect, which voided the change.
    #[error("not accepted: voided by a question about its outcome")]
    Voided,
    /// The change may or may not have been accepted; its state can be queried by its id.
    #[error("change {id} may have been accepted: {source}")]
    Unknown {
        /// Id for [`Store::change_state`].
        id: ChangeId,
        /// The error of the last attempt.
        source: KeyValueError,
    },
}

/// Outcome of one attempt to append a change to the log.
enum AppendOutcome {
    Accepted,
    /// The head had changed; the attempt has no effect and never will have.
    LostRace,
    /// An empty change used up the revision.
    Voided,
}

impl Store {
    /// Validates a change and writes it to the log; also brings `replica` up to date.
    pub async fn apply(
        &self,
        replica: &mut Replica,
        request: &ApplyRequest,
    ) -> Result<Applied, ApplyError> {
        Ok(self.apply_with_diff(replica, request).await?.0)
    }

    /// Like [`Store::apply`], and also returns the difference that the change makes.
    pub async fn apply_with_diff(
        &self,
        replica: &mut Replica,
        request: &ApplyRequest,
    ) -> Result<(Applied, Vec<DocumentDiff>), ApplyError> {
        for _ in 0..MAX_ATTEMPTS {
            let current = self.catch_up(replica).await?;
            if let Some(change) = replica.find(request.uuid) {
                return Ok((Applied::Accepted(Arc::clone(change)), Vec::new()));
            }
            let current = self.ensure_free_slot(replica, current).await?;
            let Some(change) = prepare_change(replica, request)? else {
                return Ok((Applied::Unchanged, Vec::new()));
            };
            let diffs = diff(replica.documents(), &change.edits);
            match self.append(&current, &change).await? {
                AppendOutcome::Accepted => return Ok((accept(replica, change), diffs)),
                AppendOutcome::LostRace => {}
                AppendOutcome::Voided => return Err(ApplyError::Voided),
            }
        }
        Err(ApplyError::Contended)
    }

    /// Folds the log if the next change would overwrite a slot that is not yet folded.
    async fn ensure_free_slot(
        &self,
        replica: &mut Replica,
        current: VersionedHead,
    ) -> Result<VersionedHead, StoreError> {
        if current.has_free_slot() {
            return Ok(current);
        }
        self.fold(replica).await?;
        self.catch_up(replica).await
    }

    /// Sends the transaction until its outcome is known or [`RESOLVE_TIMEOUT`] has passed.
    ///
    /// A response can be lost after the write took effect, or the write can arrive late, after a
    /// read that did not find it. So the same transaction is sent again instead of only reading
    /// the slot: once a copy succeeds or fails its comparison, no earlier copy can take effect any
    /// more, and the slot shows which change was accepted.
    async fn append(
        &self,
        current: &VersionedHead,
        change: &Change,
    ) -> Result<AppendOutcome, ApplyError> {
        let transaction = append_transaction(current, change);
        let deadline = Instant::now() + RESOLVE_TIMEOUT;
        let mut in_doubt = false;
        loop {
            let source = match self.append_once(&transaction, change.id).await {
                Ok(Some(outcome)) => return Ok(outcome),
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

    /// Sends the transaction once; `None` if the slot was reused by a later change, so that the
    /// outcome can't be read any more.
    async fn append_once(
        &self,
        transaction: &Transaction,
        id: ChangeId,
    ) -> Result<Option<AppendOutcome>, StoreError> {
        let answer = self.kv.transact(transaction.clone()).await?;
        if answer.succeeded {
            return Ok(Some(AppendOutcome::Accepted));
        }
        let Some(found) = slot_change(answer.reads.first().and_then(Option::as_ref))? else {
            return Ok(Some(AppendOutcome::LostRace));
        };
        Ok(match found.revision() {
            _ if found.id == id => Some(AppendOutcome::Accepted),
            revision if revision > id.revision => None,
            _ if found.voids == Some(id) => Some(AppendOutcome::Voided),
            _ => Some(AppendOutcome::LostRace),
        })
    }
}

fn accept(replica: &mut Replica, change: Change) -> Applied {
    let change = Arc::new(change);
    // This change is the next one: the append compared the head that the replica was brought to.
    let _ = replica.advance(Arc::clone(&change));
    Applied::Accepted(change)
}

/// Validates a request and builds the change to write; `None` if no document would differ.
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

/// Documents that other changes wrote or removed after the revision that the operator had read.
fn find_conflicts(replica: &Replica, request: &ApplyRequest, edits: &[Edit]) -> Vec<Conflict> {
    let newer = |edit: &&Edit| last_revision(replica, edit).is_some_and(|at| at > request.seen);
    edits.iter().filter(newer).map(|edit| conflict(replica, request.seen, edit)).collect()
}

fn last_revision(replica: &Replica, edit: &Edit) -> Option<ConfigRevision> {
    let stored = replica.documents().revision_of(edit.kind(), edit.name());
    stored.or_else(|| latest_change(replica, edit).map(|change| change.revision()))
}

fn latest_change<'a>(replica: &'a Replica, edit: &Edit) -> Option<&'a Arc<Change>> {
    let same = |other: &Edit| other.kind() == edit.kind() && other.name() == edit.name();
    replica.history().find(|change| change.edits.iter().any(same))
}

fn conflict(replica: &Replica, seen: ConfigRevision, edit: &Edit) -> Conflict {
    let change = latest_change(replica, edit);
    Conflict {
        kind: edit.kind(),
        name: edit.name().to_owned(),
        seen,
        change: change.map(|change| change.id),
        origin: change.map(|change| change.origin.clone()),
        differs: diff_one(replica.documents(), edit),
    }
}

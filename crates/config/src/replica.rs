//! The copy of the configuration in one process; its revision never decreases.

use crate::change::Change;
use crate::effective::{ConfigRevision, Documents};
use std::collections::VecDeque;
use std::sync::Arc;
use uuid::Uuid;

/// Most changes that a replica keeps for peers and for the history.
const MAX_CHANGES: usize = 512;
/// Most edits of all kept changes together, to bound the memory.
const MAX_EDITS: usize = 4_096;

/// The documents and the newest of the changes that produced them.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    documents: Documents,
    changes: VecDeque<Arc<Change>>,
    edit_count: usize,
}

/// The error of applying a change that is not the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdvanceError {
    /// The replica holds the change already, or a later one.
    #[error("revision {offered:?} is not newer than {current:?}")]
    Stale {
        /// The replica's revision.
        current: ConfigRevision,
        /// The revision of the change.
        offered: ConfigRevision,
    },
    /// Changes between the replica and the offered change are missing.
    #[error("revision {offered:?} does not follow {current:?}")]
    Gap {
        /// The replica's revision.
        current: ConfigRevision,
        /// The revision of the change.
        offered: ConfigRevision,
    },
}

impl Replica {
    /// Creates a replica with these documents and no history.
    pub fn new(documents: Documents) -> Self {
        Self { documents, changes: VecDeque::new(), edit_count: 0 }
    }

    /// All documents as of [`Replica::revision`].
    pub fn documents(&self) -> &Documents {
        &self.documents
    }

    /// Revision of the last applied change.
    pub fn revision(&self) -> ConfigRevision {
        self.documents.revision
    }

    /// Applies the next change.
    ///
    /// Any other revision is refused: a process that applied an older revision, or skipped one,
    /// would serve a configuration that an operator has replaced.
    pub fn advance(&mut self, change: Arc<Change>) -> Result<(), AdvanceError> {
        let (current, offered) = (self.revision(), change.revision());
        if offered <= current {
            return Err(AdvanceError::Stale { current, offered });
        }
        if offered != current.next() {
            return Err(AdvanceError::Gap { current, offered });
        }
        self.documents.apply(offered, &change.edits);
        self.record(change);
        Ok(())
    }

    /// Replaces this replica by `other` if that one is newer; returns whether it was.
    ///
    /// ```
    /// use flamingowheel_config::{effective::{ConfigRevision, Documents}, replica::Replica};
    /// let at = |revision| {
    ///     Replica::new(Documents { revision: ConfigRevision(revision), ..Documents::default() })
    /// };
    /// let mut replica = at(7);
    /// assert!(!replica.replace_if_newer(at(6)));
    /// assert!(replica.replace_if_newer(at(8)));
    /// ```
    pub fn replace_if_newer(&mut self, other: Self) -> bool {
        let newer = other.revision() > self.revision();
        if newer {
            *self = other;
        }
        newer
    }

    /// Records a change that the documents already include, for the history and for peers. Drops
    /// the oldest changes beyond the limits.
    pub fn record(&mut self, change: Arc<Change>) {
        self.edit_count += change.edits.len();
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.edit_count > MAX_EDITS {
            let Some(oldest) = self.changes.pop_front() else { return };
            self.edit_count -= oldest.edits.len();
        }
    }

    /// The changes after a revision, oldest first, or `None` if the replica no longer holds all of
    /// them.
    pub fn changes_after(&self, after: ConfigRevision) -> Option<Vec<Arc<Change>>> {
        let missing = self.revision().0.checked_sub(after.0)?;
        let missing = usize::try_from(missing).ok()?;
        let first = self.changes.len().checked_sub(missing)?;
        Some(self.changes.iter().skip(first).cloned().collect())
    }

    /// The kept changes, newest first.
    pub fn history(&self) -> impl Iterator<Item = &Arc<Change>> {
        self.changes.iter().rev()
    }

    /// Finds a kept change by the random part of its id.
    pub fn find(&self, uuid: Uuid) -> Option<&Arc<Change>> {
        self.changes.iter().rev().find(|change| change.id.uuid == uuid)
    }
}

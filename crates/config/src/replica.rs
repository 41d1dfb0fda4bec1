//! One process's copy of the configuration, which only ever moves forward.

use crate::change::Change;
use crate::effective::{ConfigRevision, Documents};
use std::collections::VecDeque;
use std::sync::Arc;
use uuid::Uuid;

/// Most changes a replica keeps for peers and for history.
const MAX_CHANGES: usize = 512;
/// Most edits of all kept changes together; it bounds the memory.
const MAX_EDITS: usize = 4_096;

/// The documents and the newest changes that led to them.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    documents: Documents,
    changes: VecDeque<Arc<Change>>,
    edits: usize,
}

/// Why a change was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdvanceError {
    /// The replica is there already.
    #[error("revision {offered:?} is not newer than {current:?}")]
    Stale {
        /// The replica's revision.
        current: ConfigRevision,
        /// The revision of the change.
        offered: ConfigRevision,
    },
    /// Changes in between are missing.
    #[error("revision {offered:?} does not follow {current:?}")]
    Gap {
        /// The replica's revision.
        current: ConfigRevision,
        /// The revision of the change.
        offered: ConfigRevision,
    },
}

impl Replica {
    /// A replica with these documents and no history.
    pub fn new(documents: Documents) -> Self {
        Self { documents, changes: VecDeque::new(), edits: 0 }
    }

    /// The documents.
    pub fn documents(&self) -> &Documents {
        &self.documents
    }

    /// The revision of the documents.
    pub fn revision(&self) -> ConfigRevision {
        self.documents.revision
    }

    /// Takes the change that follows directly.
    ///
    /// A process that took an older revision, or left one out, would serve a configuration that
    /// an operator has replaced. So anything but the next revision is refused.
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

    /// Takes another replica if it is newer, and tells whether it was.
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

    /// Adds a change that the documents hold already, so that history and peers can have it.
    pub fn record(&mut self, change: Arc<Change>) {
        self.edits += change.edits.len();
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.edits > MAX_EDITS {
            let Some(oldest) = self.changes.pop_front() else { return };
            self.edits -= oldest.edits.len();
        }
    }

    /// The changes after a revision, or `None` if the replica does not have all of them.
    pub fn changes_after(&self, after: ConfigRevision) -> Option<Vec<Arc<Change>>> {
        let missing = self.revision().0.checked_sub(after.0)?;
        let missing = usize::try_from(missing).ok()?;
        let first = self.changes.len().checked_sub(missing)?;
        Some(self.changes.iter().skip(first).cloned().collect())
    }

    /// Kept changes, the newest first.
    pub fn history(&self) -> impl Iterator<Item = &Arc<Change>> {
        self.changes.iter().rev()
    }

    /// A kept change by the random part of its id.
    pub fn find(&self, uuid: Uuid) -> Option<&Arc<Change>> {
        self.changes.iter().rev().find(|change| change.id.uuid == uuid)
    }
}

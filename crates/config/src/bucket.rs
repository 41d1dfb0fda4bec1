//! Layout of the configuration in the key-value service.
//!
//! * `head` holds the newest revision. Every write to the configuration compares it, which orders
//!   all writers.
//! * `log/NNN` is a ring of slots with one change each. A change is accepted by one transaction that
//!   writes its slot and `head`; a watch on the log therefore delivers each change separately.
//! * `bucket/…` hold the documents. The log is folded (compacted) into them when enough changes
//!   have accumulated. A reader loads the buckets and applies the newer changes of the log.

use crate::change::{Change, ChangeId};
use crate::document::{Edit, Kind};
use crate::effective::{ConfigRevision, Documents, Stored};
use crate::template::Template;
use crate::workspace::Workspace;
use flamingowheel_backing::kv::MAX_VALUE_BYTES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Prefix of all keys of the configuration.
pub const CONFIG_PREFIX: &str = "flamingowheel/config/";
/// Key under which the [`Head`] is stored.
pub const HEAD_KEY: &str = "flamingowheel/config/head";
/// Prefix of the keys of the log slots.
pub const LOG_PREFIX: &str = "flamingowheel/config/log/";
/// Prefix of the keys of the buckets.
pub const BUCKET_PREFIX: &str = "flamingowheel/config/bucket/";
/// Number of buckets for workspaces. Part of the stored format: changing it needs a migration.
pub const WORKSPACE_BUCKETS: u8 = 48;
/// Number of log slots, and thereby of the changes that the history covers.
pub const LOG_SLOTS: u64 = 512;
/// Number of unfolded changes at which the log is folded into the buckets.
pub const FOLD_THRESHOLD: u64 = 256;

/// The newest revision, and the revision up to which the log is folded into the buckets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Revision of the newest accepted change; 0 before the first.
    pub revision: ConfigRevision,
    /// Id of the newest accepted change; absent before the first.
    pub change: Option<ChangeId>,
    /// Every bucket holds at least all changes up to this revision, so the log slots of these
    /// changes may be reused.
    pub folded: ConfigRevision,
}

/// Identifies a bucket of documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BucketId {
    /// The bucket of all templates.
    Templates,
    /// The bucket of the workspaces whose names hash to this number, below [`WORKSPACE_BUCKETS`].
    Workspaces(u8),
}

impl BucketId {
    /// The bucket that stores the document of this kind and name.
    pub fn of(kind: Kind, name: &str) -> Self {
        match kind {
            Kind::Template => Self::Templates,
            Kind::Workspace => {
                let bucket = xxh3_64(name.as_bytes()) % u64::from(WORKSPACE_BUCKETS);
                Self::Workspaces(bucket as u8)
            }
        }
    }

    /// The bucket of templates, then those of workspaces by number.
    pub fn all() -> impl Iterator<Item = Self> {
        std::iter::once(Self::Templates).chain((0..WORKSPACE_BUCKETS).map(Self::Workspaces))
    }

    /// Key of the bucket in the key-value service.
    ///
    /// ```
    /// use flamingowheel_config::bucket::BucketId;
    /// assert_eq!(BucketId::Workspaces(10).key(), "flamingowheel/config/bucket/0a");
    /// ```
    pub fn key(self) -> String {
        match self {
            Self::Templates => format!("{BUCKET_PREFIX}templates"),
            Self::Workspaces(number) => format!("{BUCKET_PREFIX}{number:02x}"),
        }
    }

    /// Prefixes that together cover all buckets, each matching at most 16 values, to limit the
    /// size of one range read.
    pub fn range_prefixes() -> impl Iterator<Item = String> {
        let digits = (0..WORKSPACE_BUCKETS / 16).map(|digit| format!("{BUCKET_PREFIX}{digit:x}"));
        std::iter::once(Self::Templates.key()).chain(digits)
    }
}

/// The stored value of a bucket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bucket {
    /// Id of this bucket.
    pub id: BucketId,
    /// The bucket holds all changes up to this revision.
    pub folded: ConfigRevision,
    /// All templates; empty except in [`BucketId::Templates`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub templates: Vec<Stored<Arc<Template>>>,
    /// The workspaces of this bucket; empty in [`BucketId::Templates`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<Stored<Arc<Workspace>>>,
}

impl Bucket {
    /// The documents of `documents` that belong to this bucket.
    ///
    /// ```
    /// use flamingowheel_config::{bucket::{Bucket, BucketId}, effective::Documents};
    /// let bucket = Bucket::of(BucketId::Templates, &Documents::default());
    /// assert!(bucket.templates.is_empty());
    /// ```
    pub fn of(id: BucketId, documents: &Documents) -> Self {
        let mut bucket =
            Self { id, folded: documents.revision, templates: Vec::new(), workspaces: Vec::new() };
        if id == BucketId::Templates {
            bucket.templates = documents.templates.values().cloned().collect();
        } else {
            let belongs = |name: &str| BucketId::of(Kind::Workspace, name) == id;
            let workspaces = documents.workspaces.iter().filter(|(name, _)| belongs(name));
            bucket.workspaces = workspaces.map(|(_, stored)| stored.clone()).collect();
        }
        bucket
    }

    /// Inserts the bucket's documents into `documents`, replacing those of the same names.
    pub fn add_to(self, documents: &mut Documents) {
        self.templates.into_iter().for_each(|stored| documents.put_template(stored));
        self.workspaces.into_iter().for_each(|stored| documents.put_workspace(stored));
    }
}

/// Key of the log slot for a revision; revisions [`LOG_SLOTS`] apart share a slot.
///
/// ```
/// use flamingowheel_config::{bucket, effective::ConfigRevision};
/// assert_eq!(bucket::slot_key(ConfigRevision(513)), "flamingowheel/config/log/001");
/// ```
pub fn slot_key(revision: ConfigRevision) -> String {
    format!("{LOG_PREFIX}{:03}", revision.0 % LOG_SLOTS)
}

/// The buckets that store the documents of these edits.
pub fn affected_buckets(edits: &[Edit]) -> BTreeSet<BucketId> {
    edits.iter().map(|edit| BucketId::of(edit.kind(), edit.name())).collect()
}

/// A value is larger than the key-value service accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SizeError {
    /// The change, as stored in its log slot.
    #[error("the change has {bytes} bytes, more than the {MAX_VALUE_BYTES} of one value")]
    Change {
        /// Encoded size of the change.
        bytes: usize,
    },
    /// A bucket after the change is folded into it.
    #[error(
        "bucket {bucket:?} would have {bytes} bytes, more than the {MAX_VALUE_BYTES} of a value"
    )]
    Bucket {
        /// The bucket that would be too large.
        bucket: BucketId,
        /// Encoded size of the bucket.
        bytes: usize,
    },
}

/// Refuses a change that could be written to the log but not folded into its buckets. Folding
/// would fail on it, which goes unnoticed until the ring is full and no change is accepted.
pub fn check_sizes(after: &Documents, change: &Change) -> Result<(), SizeError> {
    let bytes = encode(change).len();
    if bytes > MAX_VALUE_BYTES {
        return Err(SizeError::Change { bytes });
    }
    for bucket in affected_buckets(&change.edits) {
        let bytes = encode(&Bucket::of(bucket, after)).len();
        if bytes > MAX_VALUE_BYTES {
            return Err(SizeError::Bucket { bucket, bytes });
        }
    }
    Ok(())
}

/// Encodes a value as it is stored, in JSON.
pub fn encode<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    // The stored types have only string keys and finite numbers, as JSON requires.
    serde_json::to_vec(value).unwrap_or_default()
}

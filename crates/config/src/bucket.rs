//! How the configuration lies in the key-value service.
//!
//! * `head` names the newest revision. Every write to the configuration compares it, so that it
//!   orders all writers.
//! * `log/NNN` is a ring of slots, one change each. A change is accepted by one transaction that
//!   writes its slot and `head`; a watch on the log therefore brings each change by itself.
//! * `bucket/…` hold the documents, folded now and then from the log. A reader takes the buckets
//!   and applies what the log has beyond them.

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

/// What all keys of the configuration begin with.
pub const CONFIG_PREFIX: &str = "flamingowheel/config/";
/// Key of the [`Head`].
pub const HEAD_KEY: &str = "flamingowheel/config/head";
/// What the keys of the log begin with.
pub const LOG_PREFIX: &str = "flamingowheel/config/log/";
/// What the keys of the buckets begin with.
pub const BUCKET_PREFIX: &str = "flamingowheel/config/bucket/";
/// Buckets of workspaces. It is part of the stored form: a change of it needs a migration.
pub const WORKSPACE_BUCKETS: u8 = 48;
/// Slots of the log, and so the changes that history reaches back.
pub const LOG_SLOTS: u64 = 512;
/// Unfolded changes at which the log is folded into the buckets.
pub const FOLD_THRESHOLD: u64 = 256;

/// The newest revision, and how far the buckets are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The newest revision.
    pub revision: ConfigRevision,
    /// The change that made it.
    pub change: Option<ChangeId>,
    /// Every bucket holds at least all changes up to here, so that the log slots up to here may
    /// be used again.
    pub folded: ConfigRevision,
}

/// A bucket of documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BucketId {
    /// All templates.
    Templates,
    /// The workspaces whose names hash to this number.
    Workspaces(u8),
}

impl BucketId {
    /// The bucket of a document.
    pub fn of(kind: Kind, name: &str) -> Self {
        match kind {
            Kind::Template => Self::Templates,
            Kind::Workspace => {
                let bucket = xxh3_64(name.as_bytes()) % u64::from(WORKSPACE_BUCKETS);
                Self::Workspaces(bucket as u8)
            }
        }
    }

    /// All buckets.
    pub fn all() -> impl Iterator<Item = Self> {
        std::iter::once(Self::Templates).chain((0..WORKSPACE_BUCKETS).map(Self::Workspaces))
    }

    /// Its key.
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

    /// Prefixes that together cover all buckets, so that no answer to a range read is larger
    /// than sixteen values.
    pub fn range_prefixes() -> impl Iterator<Item = String> {
        let digits = (0..WORKSPACE_BUCKETS / 16).map(|digit| format!("{BUCKET_PREFIX}{digit:x}"));
        std::iter::once(Self::Templates.key()).chain(digits)
    }
}

/// The documents of a bucket, as stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bucket {
    /// Which one it is.
    pub id: BucketId,
    /// It holds all changes up to here.
    pub folded: ConfigRevision,
    /// Templates; in their own bucket only.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub templates: Vec<Stored<Arc<Template>>>,
    /// Workspaces.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<Stored<Arc<Workspace>>>,
}

impl Bucket {
    /// The part of `documents` that belongs here.
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
            let own = |name: &str| BucketId::of(Kind::Workspace, name) == id;
            let workspaces = documents.workspaces.iter().filter(|(name, _)| own(name));
            bucket.workspaces = workspaces.map(|(_, stored)| stored.clone()).collect();
        }
        bucket
    }

    /// Adds the bucket's documents to `documents`.
    pub fn add_to(self, documents: &mut Documents) {
        self.templates.into_iter().for_each(|stored| documents.put_template(stored));
        self.workspaces.into_iter().for_each(|stored| documents.put_workspace(stored));
    }
}

/// Key of the log slot of a revision.
///
/// ```
/// use flamingowheel_config::{bucket, effective::ConfigRevision};
/// assert_eq!(bucket::slot_key(ConfigRevision(513)), "flamingowheel/config/log/001");
/// ```
pub fn slot_key(revision: ConfigRevision) -> String {
    format!("{LOG_PREFIX}{:03}", revision.0 % LOG_SLOTS)
}

/// The buckets that these edits touch.
pub fn affected_buckets(edits: &[Edit]) -> BTreeSet<BucketId> {
    edits.iter().map(|edit| BucketId::of(edit.kind(), edit.name())).collect()
}

/// A value that the service would not store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SizeError {
    /// The change itself.
    #[error("the change has {bytes} bytes, more than the {MAX_VALUE_BYTES} of one value")]
    Change {
        /// Its size.
        bytes: usize,
    },
    /// A bucket, once the change is folded into it.
    #[error(
        "bucket {bucket:?} would have {bytes} bytes, more than the {MAX_VALUE_BYTES} of a value"
    )]
    Bucket {
        /// Which.
        bucket: BucketId,
        /// Its size.
        bytes: usize,
    },
}

/// Refuses a change that could be written to the log but never folded: it would block the log for
/// every later change, which nobody would notice until the ring is full.
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

/// A value as stored.
pub fn encode<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    // The types of this module have text keys only and finite numbers, the two things JSON needs.
    serde_json::to_vec(value).unwrap_or_default()
}

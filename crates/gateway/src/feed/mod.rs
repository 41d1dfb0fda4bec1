//! Distributes the contents of the key-value store from a few entries to all.
//!
//! Each call to the store is charged, including a waiting watch, and calls by every entry for every
//! change would grow with the square of the fleet. So only a few entries, the followers, watch the
//! store. The others learn the newest revision from them, and fetch missing changes from the
//! nearest entry that has them. Each entry knows how long ago its copy was complete. One that is
//! isolated, that is without any source that is up to date, watches the store itself until it has
//! one again; entries take over in the order of the succession.

pub mod contact;
pub mod follower;
pub mod groups;
pub mod isolation;
pub mod mirror;
pub mod reader;
pub mod server;
pub mod source;
pub mod transport;

use flamingowheel_protocol::link::Timing;
use flamingowheel_protocol::packed::Packed;
use flamingowheel_protocol::ranks::GroupStatus;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Timing of connections between entries: a stalled source is detected within a second.
pub const TIMING: Timing = Timing {
    heartbeat: Duration::from_millis(400),
    silence_limit: Duration::from_millis(1_000),
    stuck_limit: Duration::from_millis(1_000),
};

/// A request from one entry to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedRequest {
    /// Fetch the changes after a revision; 0 for all keys.
    Changes {
        /// The sender's revision.
        after: u64,
    },
    /// Start or stop sending the statuses of groups.
    Groups(bool),
}

/// A message from an entry to the entries that are connected to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FeedMessage {
    /// How recent the sender's data is.
    Head(Head),
    /// The answer to [`FeedRequest::Changes`].
    Delta(Delta),
    /// Statuses of groups.
    Groups(Vec<GroupStatus>),
}

/// How recent an entry's copy of the store is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The newest revision of the copy.
    pub revision: u64,
    /// Time since the copy was last known to be complete, which is when the store told a follower of
    /// this revision or an earlier one; in milliseconds, `None` if it never was.
    pub age_ms: Option<u64>,
    /// VM of the follower that the store told so; `None` if it is the sender.
    pub follower: Option<String>,
    /// Number of entries between the sender and the store; `None` if it knows no way to the store.
    /// Its copy may miss changes from then on, whatever its age.
    pub distance: Option<u8>,
}

/// The changes between two revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision up to which the changes go.
    pub revision: u64,
    /// Whether `puts` are all keys that exist.
    pub is_whole: bool,
    /// Keys that were written.
    pub puts: Vec<Put>,
    /// Keys that were deleted, with the revisions of the deletions.
    pub deletes: Vec<(String, u64)>,
    /// Time since the store last answered none of the followers that the copy comes from, in
    /// milliseconds; `None` if it always did.
    pub outage_age_ms: Option<u64>,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The compressed value.
    pub value: Packed,
    /// The revision of the write.
    pub revision: u64,
}

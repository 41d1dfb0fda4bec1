//! What the key-value store says, for all entries, from calls of a few.
//!
//! Each call to the store is paid for, a waiting watch included, and calls of every entry for every change
//! grow with the square of the fleet. So a few entries, the followers, watch the store. The others hear
//! from them which revision is the newest, and fetch what they lack from the nearest that has it.
//! An entry that hears of no recent word from the store watches it by itself until it does.

pub mod follower;
pub mod groups;
pub mod lone;
pub mod mirror;
pub mod reader;
pub mod server;

use flamingowheel_protocol::link::Timing;
use flamingowheel_protocol::packed::Packed;
use flamingowheel_protocol::ranks::GroupStatus;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How connections between entries are kept: a source that stands still is noticed within a second.
pub const TIMING: Timing = Timing {
    heartbeat: Duration::from_millis(400),
    silence_limit: Duration::from_millis(1_000),
    stuck_limit: Duration::from_millis(1_000),
};

/// What an entry asks another for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Asked {
    /// Everything that changed after a revision; 0 for all.
    Changes {
        /// The revision.
        after: u64,
    },
    /// How groups stand, from now on or no more.
    Groups(bool),
}

/// What an entry tells others that are connected to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Told {
    /// The newest that it knows.
    Head(Head),
    /// The answer to [`Asked::Changes`].
    Delta(Delta),
    /// How groups stand.
    Groups(Vec<GroupStatus>),
}

/// How new an entry's knowledge is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The newest revision known.
    pub revision: u64,
    /// How long ago the store answered whom this comes from, in milliseconds; `None` if it never did.
    pub age_ms: Option<u64>,
}

/// What changed between two revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision up to which this goes.
    pub revision: u64,
    /// Whether these are all keys, so that others don't exist.
    pub is_whole: bool,
    /// Keys that were written.
    pub puts: Vec<Put>,
    /// Keys that were deleted, and when.
    pub deletes: Vec<(String, u64)>,
    /// How long ago the store was last out of reach of whom this comes from, in milliseconds.
    pub outage_age_ms: Option<u64>,
}

/// A key as it was written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Packed,
    /// The revision of the write.
    pub revision: u64,
}

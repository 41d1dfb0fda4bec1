//! 64-bit keys of servers, entries, workspaces, regions and scopes.
//!
//! Decisions compare and hash keys far more often than they print them, so names are hashed once to
//! 64 bits. The probability of any collision among 10,000 names is about 3 in 10^12.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

macro_rules! key {
    ($name:ident, $what:literal) => {
        #[doc = concat!("Key of ", $what, ".")]
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            #[doc = concat!("Hashes the name of ", $what, " to its key.")]
            ///
            /// ```
            #[doc = concat!("use flamingowheel_policy::key::", stringify!($name), ";")]
            #[doc = concat!("assert_ne!(", stringify!($name), "::from_name(\"a\"), ")]
            #[doc = concat!(stringify!($name), "::from_name(\"b\"));")]
            /// ```
            #[must_use]
            pub fn from_name(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }
        }
    };
}

key!(ServerKey, "a backend server");
key!(EntryKey, "an entry");
key!(WorkspaceKey, "a workspace");
key!(DataCentreKey, "a data centre");
key!(RegionKey, "a region, where data centres are near each other");
key!(ScopeKey, "a pool of backend servers: one model within one region");

impl ScopeKey {
    /// Key of the part of this scope that lies in one region.
    ///
    /// ```
    /// use flamingowheel_policy::key::{RegionKey, ScopeKey};
    /// let model = ScopeKey::from_name("model/notes");
    /// let east = model.within(RegionKey::from_name("east"));
    /// assert_ne!(east, model.within(RegionKey::from_name("west")));
    /// ```
    #[must_use]
    pub fn within(self, region: RegionKey) -> Self {
        Self(mix(self.0, region.0))
    }
}

/// Hash of a request's content. A resend under a new request id has the same fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Hashes workspace, route and body.
    ///
    /// The seed is a secret of the fleet. Otherwise a caller could craft a body that collides with
    /// another caller's request and get that request refused as a suspect.
    ///
    /// ```
    /// use flamingowheel_policy::key::{Fingerprint, WorkspaceKey};
    /// let workspace = WorkspaceKey::from_name("crews");
    /// let first = Fingerprint::of(7, workspace, "/v1/chat/completions", b"{}");
    /// assert_eq!(first, Fingerprint::of(7, workspace, "/v1/chat/completions", b"{}"));
    /// assert_ne!(first, Fingerprint::of(7, workspace, "/v1/completions", b"{}"));
    /// ```
    #[must_use]
    pub fn of(seed: u64, workspace: WorkspaceKey, route: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::with_seed(seed);
        hasher.update(&workspace.0.to_le_bytes());
        hasher.update(&(route.len() as u64).to_le_bytes());
        hasher.update(route.as_bytes());
        hasher.update(body);
        Self(hasher.digest128())
    }

    /// Low 64 bits, used as the seed of rendezvous hashing.
    pub(crate) fn seed(self) -> u64 {
        self.0 as u64
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Hashes two 64-bit values into one.
pub(crate) fn mix(left: u64, right: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&left.to_le_bytes());
    bytes[8..].copy_from_slice(&right.to_le_bytes());
    xxh3_64(&bytes)
}

//! The fleet key, and proof of knowing it in both directions.

use crate::message::Hello;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// The secret that all processes of a fleet share. Never printed.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

impl FleetKey {
    /// Length of a tag.
    pub const TAG_BYTES: usize = 32;

    /// Takes the key's bytes.
    ///
    /// ```
    /// use flamingowheel_protocol::auth::FleetKey;
    /// assert_eq!(format!("{:?}", FleetKey::new([1; 32])), "FleetKey(..)");
    /// ```
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Authenticates `parts` for one purpose; lengths are included, so parts can't shift.
    ///
    /// ```
    /// use flamingowheel_protocol::auth::FleetKey;
    /// let key = FleetKey::new([1; 32]);
    /// assert_ne!(key.tag(b"p", &[b"ab", b"c"]), key.tag(b"p", &[b"a", b"bc"]));
    /// ```
    pub fn tag(&self, purpose: &[u8], parts: &[&[u8]]) -> [u8; Self::TAG_BYTES] {
        self.mac(purpose, parts).finalize().into_bytes().into()
    }

    /// Checks a tag in constant time.
    ///
    /// ```
    /// use flamingowheel_protocol::auth::FleetKey;
    /// let key = FleetKey::new([1; 32]);
    /// assert!(key.verify(b"p", &[b"a"], &key.tag(b"p", &[b"a"])));
    /// ```
    pub fn verify(&self, purpose: &[u8], parts: &[&[u8]], tag: &[u8]) -> bool {
        self.mac(purpose, parts).verify_slice(tag).is_ok()
    }

    fn mac(&self, purpose: &[u8], parts: &[&[u8]]) -> Hmac<Sha256> {
        // HMAC takes keys of any length.
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&self.0).expect("any length");
        for part in std::iter::once(&purpose).chain(parts) {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        mac
    }
}

/// First message of a connection, from the side that opened it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Opening {
    /// Protocol version.
    pub version: u16,
    /// Who opens.
    pub hello: Hello,
    /// Random challenge for the other side.
    #[serde(with = "serde_bytes")]
    pub challenge: [u8; 32],
}

/// Second message, from the side that accepted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// Who accepts.
    pub hello: Hello,
    /// Random challenge for the opener.
    #[serde(with = "serde_bytes")]
    pub challenge: [u8; 32],
    /// Tag over both hellos and challenges.
    #[serde(with = "serde_bytes")]
    pub tag: [u8; 32],
}

/// Third message, from the opener.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Proof {
    /// Tag over both hellos and challenges.
    #[serde(with = "serde_bytes")]
    pub tag: [u8; 32],
}

/// The version of the protocol that this build speaks.
pub const VERSION: u16 = 1;

/// Which side computes a tag; keeps one side's tag from being reflected as the other's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that opened the connection.
    Opener,
    /// The side that accepted it.
    Acceptor,
}

/// What both sides authenticate.
#[derive(Debug)]
pub struct Transcript<'a> {
    /// The opener's message.
    pub opening: &'a Opening,
    /// The acceptor's hello.
    pub acceptor: &'a Hello,
    /// The acceptor's challenge.
    pub challenge: &'a [u8; 32],
}

impl Transcript<'_> {
    /// The tag that `side` must present.
    pub fn tag(&self, key: &FleetKey, side: Side) -> [u8; 32] {
        let mut bytes = Vec::with_capacity(256);
        // Writing plain values into memory can't fail.
        let _ = ciborium::into_writer(&(self.opening, self.acceptor), &mut bytes);
        key.tag(Self::purpose(side), &[&bytes, self.challenge])
    }

    /// Checks the tag that `side` presented.
    pub fn verify(&self, key: &FleetKey, side: Side, tag: &[u8; 32]) -> bool {
        use subtle::ConstantTimeEq;
        self.tag(key, side).ct_eq(tag).into()
    }

    fn purpose(side: Side) -> &'static [u8] {
        match side {
            Side::Opener => b"flamingowheel opener 1",
            Side::Acceptor => b"flamingowheel acceptor 1",
        }
    }
}

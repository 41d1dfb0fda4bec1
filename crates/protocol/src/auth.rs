//! The fleet key and the mutual authentication of connections with it.

use crate::message::Hello;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// The secret that all processes of a fleet share. Its `Debug` output does not contain it.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

impl FleetKey {
    /// Length of a tag and of the key, in bytes.
    pub const TAG_BYTES: usize = 32;

    /// Wraps the key's bytes.
    ///
    /// ```
    /// use flamingowheel_protocol::auth::FleetKey;
    /// assert_eq!(format!("{:?}", FleetKey::new([1; 32])), "FleetKey(..)");
    /// ```
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Computes a tag over `parts` for one purpose. Each part's length is included, so bytes can't
    /// move from one part to the next.
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
        // HMAC accepts keys of any length.
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&self.0).expect("any length");
        for part in std::iter::once(&purpose).chain(parts) {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        mac
    }
}

/// First handshake message, from the side that opened the connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Opening {
    /// [`VERSION`] of the side that opened the connection; the other side refuses any other
    /// version.
    pub version: u16,
    /// Identity of the side that opened the connection.
    pub hello: Hello,
    /// Random challenge to the other side.
    #[serde(with = "serde_bytes")]
    pub challenge: [u8; 32],
}

/// Second handshake message, from the side that accepted the connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// Identity of the side that accepted the connection.
    pub hello: Hello,
    /// Random challenge to the opener.
    #[serde(with = "serde_bytes")]
    pub challenge: [u8; 32],
    /// The acceptor's tag over the opening message and the acceptor's hello and challenge.
    #[serde(with = "serde_bytes")]
    pub tag: [u8; 32],
}

/// Third handshake message, from the opener.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Proof {
    /// The opener's tag over the same data as the acceptor's.
    #[serde(with = "serde_bytes")]
    pub tag: [u8; 32],
}

/// Protocol version of this build.
pub const VERSION: u16 = 1;

/// Which side computes a tag; prevents one side's tag from being reflected as the other's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that opened the connection.
    Opener,
    /// The side that accepted it.
    Acceptor,
}

/// The handshake data that both sides' tags cover.
#[derive(Debug)]
pub struct Transcript<'a> {
    /// The first handshake message.
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
        // Encoding plain values into memory can't fail.
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

//! Values that are compressed within a message.
//!
//! Links of some VMs carry a few Mbit/s, and a group's counts and maps are long lists of small
//! numbers.

use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io::Read;

/// Most bytes that a packed value may take once it is inflated.
const MAX_BYTES: u64 = 16 * 1024 * 1024;

/// A value, encoded compactly and deflated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed(#[serde(with = "serde_bytes")] Vec<u8>);

impl Packed {
    /// Packs a value; `None` if it can't be encoded.
    ///
    /// ```
    /// use flamingowheel_protocol::packed::Packed;
    /// let packed = Packed::pack(&vec![7_u16; 1_000]).unwrap();
    /// assert!(packed.size_bytes() < 100);
    /// assert_eq!(packed.unpack(), Some(vec![7_u16; 1_000]));
    /// ```
    pub fn pack<T>(value: &T) -> Option<Self>
    where
        T: Serialize + ?Sized,
    {
        Self::deflate(&postcard::to_allocvec(value).ok()?)
    }

    /// Packs bytes.
    ///
    /// ```
    /// use flamingowheel_protocol::packed::Packed;
    /// assert_eq!(Packed::deflate(b"bytes").unwrap().inflate().unwrap(), b"bytes");
    /// ```
    pub fn deflate(bytes: &[u8]) -> Option<Self> {
        let mut deflated = Vec::with_capacity(bytes.len() / 2);
        DeflateEncoder::new(bytes, Compression::fast()).read_to_end(&mut deflated).ok()?;
        Some(Self(deflated))
    }

    /// The value; `None` if it can't be read.
    pub fn unpack<T>(&self) -> Option<T>
    where
        T: DeserializeOwned,
    {
        postcard::from_bytes(&self.inflate()?).ok()
    }

    /// The bytes; `None` if they can't be read or are too many.
    pub fn inflate(&self) -> Option<Vec<u8>> {
        let mut bytes = Vec::new();
        let mut decoder = DeflateDecoder::new(self.0.as_slice()).take(MAX_BYTES + 1);
        decoder.read_to_end(&mut bytes).ok()?;
        (bytes.len() as u64 <= MAX_BYTES).then_some(bytes)
    }

    /// Size on the way, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.0.len()
    }
}

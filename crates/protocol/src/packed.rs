//! Compressed values within a message.
//!
//! Some VMs have links of a few Mbit/s, and a group's counts and maps are long lists of small
//! numbers that compress well.

use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io::Read;

/// Largest size of a packed value after decompression; bounds what a malformed message can
/// allocate.
const MAX_BYTES: u64 = 16 * 1024 * 1024;

/// A value encoded with postcard and compressed with DEFLATE.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed(#[serde(with = "serde_bytes")] Vec<u8>);

impl Packed {
    /// Encodes and compresses a value; `None` if it can't be encoded.
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

    /// Compresses bytes that are already encoded.
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

    /// Decompresses and decodes the value; `None` if it is malformed.
    pub fn unpack<T>(&self) -> Option<T>
    where
        T: DeserializeOwned,
    {
        postcard::from_bytes(&self.inflate()?).ok()
    }

    /// Decompresses the bytes; `None` if they are malformed or exceed 16 MiB.
    pub fn inflate(&self) -> Option<Vec<u8>> {
        let mut bytes = Vec::new();
        let mut decoder = DeflateDecoder::new(self.0.as_slice()).take(MAX_BYTES + 1);
        decoder.read_to_end(&mut bytes).ok()?;
        (bytes.len() as u64 <= MAX_BYTES).then_some(bytes)
    }

    /// Compressed size, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.0.len()
    }
}

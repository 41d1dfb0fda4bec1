//! CBOR encoding of message batches.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest encoded batch, in bytes, that either side accepts.
pub const MAX_BATCH_BYTES: usize = 16 * 1024 * 1024;

/// Deepest nesting of values; deeper nesting in a hostile message would exhaust the stack.
const MAX_DEPTH: usize = 16;

/// Why a batch could not be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The batch exceeds [`MAX_BATCH_BYTES`].
    #[error("batch of {bytes} bytes exceeds {MAX_BATCH_BYTES}")]
    TooLarge {
        /// Encoded size, in bytes.
        bytes: usize,
    },
    /// The bytes are not a batch of the expected messages, or a message can't be encoded.
    #[error("malformed batch")]
    Malformed,
    /// Bytes follow the batch.
    #[error("{bytes} bytes follow the batch")]
    Trailing {
        /// Number of bytes after the batch.
        bytes: usize,
    },
}

/// Encodes a batch with the logical time of its sending.
///
/// ```
/// use flamingowheel_protocol::codec::{decode, encode};
/// let bytes = encode(7, &["a", "b"]).unwrap();
/// assert_eq!(decode::<String>(&bytes).unwrap(), (7, vec!["a".to_owned(), "b".to_owned()]));
/// ```
pub fn encode<M>(stamp: u64, batch: &[M]) -> Result<Vec<u8>, CodecError>
where
    M: Serialize,
{
    let mut buffer = Vec::with_capacity(256);
    ciborium::into_writer(&(stamp, batch), &mut buffer).map_err(|_| CodecError::Malformed)?;
    if buffer.len() > MAX_BATCH_BYTES {
        return Err(CodecError::TooLarge { bytes: buffer.len() });
    }
    Ok(buffer)
}

/// Decodes a batch and its logical time. Rejects batches that are too large, malformed or followed
/// by other bytes.
///
/// ```
/// use flamingowheel_protocol::codec::{CodecError, decode};
/// assert_eq!(decode::<u8>(&[0xff]), Err(CodecError::Malformed));
/// ```
pub fn decode<M>(bytes: &[u8]) -> Result<(u64, Vec<M>), CodecError>
where
    M: DeserializeOwned,
{
    if bytes.len() > MAX_BATCH_BYTES {
        return Err(CodecError::TooLarge { bytes: bytes.len() });
    }
    let mut rest = bytes;
    let batch = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)
        .map_err(|_| CodecError::Malformed)?;
    if !rest.is_empty() {
        return Err(CodecError::Trailing { bytes: rest.len() });
    }
    Ok(batch)
}

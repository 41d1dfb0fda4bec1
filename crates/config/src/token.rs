//! Hashes of workspace tokens; the tokens themselves are not stored.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};
use std::fmt;
use subtle::ConstantTimeEq;

const HASH_BYTES: usize = 32;

/// SHA-256 hash of a workspace token; serialised as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TokenHash([u8; HASH_BYTES]);

/// The error of parsing a text that is not 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a token hash is 64 hexadecimal digits")]
pub struct MalformedTokenHash;

impl TokenHash {
    /// Hashes a token.
    ///
    /// The hash is unsalted: tokens are long random values, which can't be found by guessing.
    ///
    /// ```
    /// use flamingowheel_config::token::TokenHash;
    /// let hash = TokenHash::of(b"a long random token");
    /// assert!(hash.matches(b"a long random token"));
    /// assert!(!hash.matches(b"another"));
    /// ```
    pub fn of(token: &[u8]) -> Self {
        Self(Sha256::digest(token).into())
    }

    /// Whether `token` has this hash, compared in constant time.
    pub fn matches(&self, token: &[u8]) -> bool {
        self.ct_eq(&Self::of(token))
    }

    pub(crate) fn ct_eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// Parses 64 hexadecimal digits.
    ///
    /// ```
    /// use flamingowheel_config::token::TokenHash;
    /// assert!(TokenHash::parse("00").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, MalformedTokenHash> {
        let digits = text.as_bytes();
        if digits.len() != 2 * HASH_BYTES {
            return Err(MalformedTokenHash);
        }
        let mut hash = [0; HASH_BYTES];
        for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = digit(pair[0])? << 4 | digit(pair[1])?;
        }
        Ok(Self(hash))
    }
}

fn digit(byte: u8) -> Result<u8, MalformedTokenHash> {
    let value = char::from(byte).to_digit(16).ok_or(MalformedTokenHash)?;
    Ok(value as u8)
}

impl fmt::Display for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TokenHash({self})")
    }
}

impl Serialize for TokenHash {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TokenHash {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).map_err(de::Error::custom)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn display_parses_back() {
        let hash = TokenHash::of(b"token");
        assert_eq!(TokenHash::parse(&hash.to_string()), Ok(hash));
    }

    #[test]
    fn parse_non_hexadecimal() {
        assert_eq!(TokenHash::parse(&"é".repeat(32)), Err(MalformedTokenHash));
        assert_eq!(TokenHash::parse(&"g".repeat(64)), Err(MalformedTokenHash));
    }
}

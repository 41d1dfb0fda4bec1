//! Values that must not reach logs.

use serde::Deserialize;
use std::fmt;
use std::path::PathBuf;

/// A value that `Debug` never shows.
///
/// ```
/// use flamingowheel_config::secret::Secret;
/// assert_eq!(format!("{:?}", Secret::new("key")), "Secret(***)");
/// ```
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Wraps a value.
    pub fn new<S>(value: S) -> Self
    where
        S: Into<String>,
    {
        Self(value.into())
    }

    /// The value itself; the only way to it, so that every use can be found by this name.
    pub fn expose(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(***)")
    }
}

/// Where a settings file takes a secret from: exactly one of the two.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretSource {
    /// File that holds the secret; white space around it is dropped.
    pub file: Option<PathBuf>,
    /// The secret itself.
    pub inline: Option<Secret>,
}

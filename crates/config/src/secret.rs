//! Values that must not be logged.

use serde::Deserialize;
use std::fmt;
use std::path::PathBuf;

/// A text whose value `Debug` does not show.
///
/// ```
/// use flamingowheel_config::secret::Secret;
/// assert_eq!(format!("{:?}", Secret::new("key")), "Secret(***)");
/// ```
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret text.
    pub fn new<S>(value: S) -> Self
    where
        S: Into<String>,
    {
        Self(value.into())
    }

    /// Returns the secret's bytes. The only accessor, so that every use can be found by its name.
    pub fn expose(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(***)")
    }
}

/// The source of a secret in a settings file: exactly one of the fields must be set.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretSource {
    /// Path of a file that holds the secret; surrounding white space is removed.
    pub file: Option<PathBuf>,
    /// The secret itself, written in the settings file.
    pub inline: Option<Secret>,
}

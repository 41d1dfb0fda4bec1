//! Why a value is refused; shared by settings and documents.

use serde::{Deserialize, Serialize};

/// What is wrong with one field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Reason {
    /// A field that is needed here is absent.
    #[error("is missing")]
    Missing,
    /// The field does not belong here, given the other fields.
    #[error("does not belong here")]
    Unexpected,
    /// The value is empty.
    #[error("is empty")]
    Empty,
    /// The value lies below its lower bound.
    #[error("is {value}, below the least allowed {min}")]
    TooSmall {
        /// The value found.
        value: f64,
        /// The least allowed.
        min: f64,
    },
    /// The value lies above its upper bound.
    #[error("is {value}, above the most allowed {max}")]
    TooLarge {
        /// The value found.
        value: f64,
        /// The most allowed.
        max: f64,
    },
    /// The value is not a finite number.
    #[error("is not a finite number")]
    NotFinite,
    /// Names are 1 to 63 of lower-case letters, digits, `-`, `.` and `_`, and begin with a letter
    /// or digit.
    #[error("`{value}` is not a name: 1 to 63 of a-z 0-9 - . _ beginning with a letter or digit")]
    NotAName {
        /// The value found.
        value: String,
    },
    /// A path that does not begin with `/`.
    #[error("`{value}` does not begin with /")]
    NotAPath {
        /// The value found.
        value: String,
    },
    /// Not an HTTP method in capitals.
    #[error("`{value}` is not an HTTP method")]
    NotAMethod {
        /// The value found.
        value: String,
    },
    /// Two entries that must differ are the same.
    #[error("`{value}` occurs twice")]
    Duplicate {
        /// The value that occurs twice.
        value: String,
    },
    /// A name refers to something that does not exist.
    #[error("`{value}` does not exist")]
    NotFound {
        /// The name.
        value: String,
    },
    /// Something that is to be removed is still referred to.
    #[error("is still used by {count} workspaces, for example `{example}`")]
    InUse {
        /// How many refer to it.
        count: usize,
        /// One of them.
        example: String,
    },
    /// A token hash that belongs to another workspace already.
    #[error("is the token of workspace `{workspace}` already")]
    TokenTaken {
        /// The other workspace.
        workspace: String,
    },
    /// A version of a model while another document names another one.
    #[error(
        "is `{value}`, but {holder} names version `{other}`, and groups serve one: change both at once"
    )]
    OtherVersion {
        /// The version found.
        value: String,
        /// The other version.
        other: String,
        /// The template or workspace that names it.
        holder: String,
    },
    /// A file could not be read.
    #[error("file {file} can't be read: {kind}")]
    Unreadable {
        /// The file.
        file: String,
        /// The operating system's kind of error.
        kind: String,
    },
}

/// Appends problems under field paths.
#[derive(Debug)]
pub(crate) struct Collector<P> {
    pub(crate) found: Vec<P>,
    make: fn(String, Reason) -> P,
}

impl<P> Collector<P> {
    pub(crate) fn new(make: fn(String, Reason) -> P) -> Self {
        Self { found: Vec::new(), make }
    }

    pub(crate) fn push<S>(&mut self, field: S, reason: Reason)
    where
        S: Into<String>,
    {
        self.found.push((self.make)(field.into(), reason));
    }

    pub(crate) fn range<S>(&mut self, field: S, value: f64, min: f64, max: f64)
    where
        S: Into<String>,
    {
        if !value.is_finite() {
            self.push(field, Reason::NotFinite);
        } else if value < min {
            self.push(field, Reason::TooSmall { value, min });
        } else if value > max {
            self.push(field, Reason::TooLarge { value, max });
        }
    }

    pub(crate) fn name<S>(&mut self, field: S, value: &str)
    where
        S: Into<String>,
    {
        if !is_name(value) {
            self.push(field, Reason::NotAName { value: value.to_owned() });
        }
    }
}

/// Whether `value` may name a template, workspace, model, adapter or service.
///
/// ```
/// use flamingowheel_config::problem::is_name;
/// assert!(is_name("bibb-county"));
/// assert!(!is_name("Bibb County"));
/// ```
pub fn is_name(value: &str) -> bool {
    const MAX_NAME_BYTES: usize = 63;
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let Some(first) = value.bytes().next() else { return false };
    value.len() <= MAX_NAME_BYTES
        && allowed(first)
        && value.bytes().all(|byte| allowed(byte) || b"-._".contains(&byte))
}

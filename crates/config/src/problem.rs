//! Reasons for refusing a value, shared by settings and documents.

use serde::{Deserialize, Serialize};

/// Why the value of a field is refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Reason {
    /// A required field is absent.
    #[error("is missing")]
    Missing,
    /// The field is not allowed together with the other fields.
    #[error("does not belong here")]
    Unexpected,
    /// The list or text is empty.
    #[error("is empty")]
    Empty,
    /// The value is below its lower bound.
    #[error("is {value}, below the least allowed {min}")]
    TooSmall {
        /// The refused value.
        value: f64,
        /// The smallest allowed value.
        min: f64,
    },
    /// The value is above its upper bound.
    #[error("is {value}, above the most allowed {max}")]
    TooLarge {
        /// The refused value.
        value: f64,
        /// The largest allowed value.
        max: f64,
    },
    /// The value is not a finite number.
    #[error("is not a finite number")]
    NotFinite,
    /// Not a name. Names consist of 1 to 63 lower-case letters, digits, `-`, `.` and `_`, and begin
    /// with a letter or digit.
    #[error("`{value}` is not a name: 1 to 63 of a-z 0-9 - . _ beginning with a letter or digit")]
    NotAName {
        /// The refused value.
        value: String,
    },
    /// The path does not begin with `/`.
    #[error("`{value}` does not begin with /")]
    NotAPath {
        /// The refused value.
        value: String,
    },
    /// Not an HTTP method in upper case.
    #[error("`{value}` is not an HTTP method")]
    NotAMethod {
        /// The refused value.
        value: String,
    },
    /// A value that must be unique occurs twice.
    #[error("`{value}` occurs twice")]
    Duplicate {
        /// The value that occurs twice.
        value: String,
    },
    /// The named object does not exist.
    #[error("`{value}` does not exist")]
    NotFound {
        /// Name of the missing object.
        value: String,
    },
    /// The template to be removed is still used by workspaces.
    #[error("is still used by {count} workspaces, for example `{example}`")]
    InUse {
        /// Number of workspaces that use it.
        count: usize,
        /// Name of one of these workspaces.
        example: String,
    },
    /// The token hash already belongs to another workspace.
    #[error("is the token of workspace `{workspace}` already")]
    TokenTaken {
        /// Name of the other workspace.
        workspace: String,
    },
    /// The document names a version of a model, and another document names a different one.
    #[error(
        "is `{value}`, but {holder} names version `{other}`, and groups serve one: change both at once"
    )]
    OtherVersion {
        /// The refused version.
        value: String,
        /// The version in the other document.
        other: String,
        /// Kind and name of the other document.
        holder: String,
    },
    /// The file can't be read.
    #[error("file {file} can't be read: {kind}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Description of the I/O error.
        kind: String,
    },
}

/// Collects the problems of a document or file by field path.
#[derive(Debug)]
pub(crate) struct Collector<P> {
    pub(crate) problems: Vec<P>,
    make: fn(String, Reason) -> P,
}

impl<P> Collector<P> {
    pub(crate) fn new(make: fn(String, Reason) -> P) -> Self {
        Self { problems: Vec::new(), make }
    }

    pub(crate) fn push<S>(&mut self, field: S, reason: Reason)
    where
        S: Into<String>,
    {
        self.problems.push((self.make)(field.into(), reason));
    }

    pub(crate) fn check_range<S>(&mut self, field: S, value: f64, min: f64, max: f64)
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

    pub(crate) fn check_name<S>(&mut self, field: S, value: &str)
    where
        S: Into<String>,
    {
        if !is_name(value) {
            self.push(field, Reason::NotAName { value: value.to_owned() });
        }
    }
}

/// Whether `value` is a valid name of a template, workspace, model, adapter or service.
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

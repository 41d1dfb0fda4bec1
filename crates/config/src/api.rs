//! Answers of the operators' HTTP interface, shared by the daemon and the command-line tool.

use crate::change::{ChangeId, Conflict, DocumentDiff, Origin};
use crate::document::DocumentError;
use crate::effective::{ConfigRevision, Stored};
use crate::template::{Parameters, Template};
use crate::validate::Problem;
use crate::workspace::Workspace;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Answer to `POST /v1/config/apply`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// What became of the change.
    pub outcome: ApplyOutcome,
    /// Id of the change, if one was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<ChangeId>,
    /// The revision that holds the change; for a dry run the one it was checked against.
    pub revision: ConfigRevision,
    /// What differs through the change.
    pub diff: Vec<DocumentDiff>,
    /// Where it is in force, if the operator asked to wait.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force: Option<InForce>,
}

/// What became of a change that was not refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyOutcome {
    /// The write is known to have taken effect; it is never reverted.
    Accepted,
    /// Everything is already as the documents say.
    Unchanged,
    /// It would be accepted; nothing was written.
    DryRun,
}

/// Which processes have a revision in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InForce {
    /// Whether every process that is not silent has it.
    pub everywhere: bool,
    /// How long the answer waited, in milliseconds.
    pub waited_ms: u64,
    /// Processes that have it.
    pub processes: Vec<String>,
    /// Live or leaving processes that do not have it, and what they have.
    pub behind: Vec<LaggingProcess>,
    /// Processes that have not been heard: they may or may not have it. They fetch it before
    /// they are counted as live again.
    pub silent: Vec<String>,
}

/// A process that has an older revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LaggingProcess {
    /// Its name.
    pub process: String,
    /// The revision it has.
    pub revision: ConfigRevision,
}

/// Answer to `GET /v1/config/templates`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TemplatesAnswer {
    /// The revision of the answer.
    pub revision: ConfigRevision,
    /// All templates.
    pub templates: Vec<Stored<Arc<Template>>>,
}

/// Answer to `GET /v1/config/templates/{name}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TemplateAnswer {
    /// The revision of the answer.
    pub revision: ConfigRevision,
    /// The template.
    pub template: Stored<Arc<Template>>,
    /// How many workspaces use it.
    pub workspaces: usize,
}

/// Answer to `GET /v1/config/workspaces?after=NAME&limit=N`, one page in the order of names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspacesAnswer {
    /// The revision of the answer.
    pub revision: ConfigRevision,
    /// One page of workspaces.
    pub workspaces: Vec<Stored<Arc<Workspace>>>,
    /// Give this as `after` for the next page; absent on the last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// Answer to `GET /v1/config/workspaces/{name}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceAnswer {
    /// The revision of the answer.
    pub revision: ConfigRevision,
    /// The workspace as written.
    pub workspace: Stored<Arc<Workspace>>,
    /// Its parameters with the template's.
    pub effective: Parameters,
}

/// Answer to `POST /v1/config/diff`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DiffAnswer {
    /// The revision compared against.
    pub revision: ConfigRevision,
    /// What the documents would change.
    pub diff: Vec<DocumentDiff>,
}

/// Answer to `GET /v1/config/history`, the newest first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryAnswer {
    /// The changes that the log still has.
    pub changes: Vec<ChangeSummary>,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeSummary {
    /// Its id, with its revision.
    pub id: ChangeId,
    /// Who made it, and when.
    pub origin: Origin,
    /// What it did, one entry a document, such as `workspace bibb-county`.
    pub edits: Vec<String>,
}

/// Answer to `GET /v1/config/changes/{id}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// The id asked for.
    pub change: String,
    /// What is known of it.
    pub state: ChangeState,
}

/// What is known of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ChangeState {
    /// It was accepted.
    Accepted {
        /// The revision it made.
        revision: ConfigRevision,
    },
    /// It was not accepted, and never will be.
    NotAccepted,
    /// It can't be known now; ask again.
    Unknown,
}

/// Answer to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The process that answers.
    pub process: String,
    /// The revision it has in force.
    pub revision: ConfigRevision,
    /// Where its configuration came from.
    pub source: ConfigSource,
    /// How long ago the key-value service last answered it, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_value_answered_ms_ago: Option<u64>,
    /// Every process it knows of, itself included.
    pub processes: Vec<ProcessStatus>,
}

/// Where a process has its configuration from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigSource {
    /// It has none yet and refuses requests.
    #[default]
    None,
    /// The key-value service, by itself or through peers that watch it.
    KeyValue,
    /// Peers only, the key-value service not having answered since its start: the highest
    /// revision among them, which may not be the newest that was accepted.
    PeersOnly,
}

/// What is known of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Its name.
    pub name: String,
    /// `entry` or `agent`.
    pub role: ProcessRole,
    /// Its VM.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it takes work.
    pub state: ProcessState,
    /// The revision it last reported to the process that answers; 0 if it never did.
    pub revision: ConfigRevision,
    /// Where operators reach it, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operators_address: Option<SocketAddr>,
    /// How long ago it was heard, in milliseconds.
    pub heard_ms_ago: u64,
}

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessRole {
    /// Takes callers' requests.
    Entry,
    /// Guards a backend server.
    Agent,
}

/// Whether a process takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessState {
    /// It is heard and takes work.
    Live,
    /// It finishes what it has and takes no more.
    Leaving,
    /// It has not been heard for a while; it may be gone, or only cut off.
    Silent,
}

/// An error answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[error("{code:?}: {message}")]
pub struct ApiError {
    /// What went wrong; never renamed.
    pub code: ErrorCode,
    /// The same in words.
    pub message: String,
    /// Files that can't be read: every error found.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub syntax: Vec<DocumentError>,
    /// Documents that are refused: every problem found.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
    /// What others changed in between.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<Conflict>,
    /// The change to ask for again, where the outcome is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<ChangeId>,
}

impl ApiError {
    /// An error without details.
    ///
    /// ```
    /// use flamingowheel_config::api::{ApiError, ErrorCode};
    /// assert_eq!(ApiError::new(ErrorCode::NotFound, "no such workspace").code.status(), 404);
    /// ```
    pub fn new<S>(code: ErrorCode, message: S) -> Self
    where
        S: Into<String>,
    {
        Self {
            code,
            message: message.into(),
            syntax: Vec::new(),
            problems: Vec::new(),
            conflicts: Vec::new(),
            change: None,
        }
    }
}

/// What went wrong. The names are part of the interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The operators' token is missing or wrong.
    Unauthorized,
    /// The request itself can't be read.
    BadRequest,
    /// The documents are not YAML of the right form.
    InvalidSyntax,
    /// The documents break a rule.
    InvalidDocuments,
    /// Somebody else changed the same documents.
    Conflict,
    /// No such template, workspace or path.
    NotFound,
    /// The change, or a bucket with it, would be too large.
    TooLarge,
    /// Not accepted: the key-value service can't be reached, or others kept changing. Send it
    /// again.
    Unavailable,
    /// Nobody can tell yet whether it was accepted; ask for the change again.
    UnknownOutcome,
}

impl ErrorCode {
    /// The HTTP status it goes with.
    pub fn status(self) -> u16 {
        match self {
            Self::Unauthorized => 401,
            Self::BadRequest | Self::InvalidSyntax => 400,
            Self::InvalidDocuments => 422,
            Self::Conflict => 409,
            Self::NotFound => 404,
            Self::TooLarge => 413,
            Self::Unavailable => 503,
            Self::UnknownOutcome => 504,
        }
    }
}

//! Response types of the operators' HTTP interface, shared by the daemon and the command-line
//! tool.

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
    /// Whether the change was written.
    pub outcome: ApplyOutcome,
    /// Id of the accepted change; absent unless the outcome is `accepted`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<ChangeId>,
    /// The revision of the configuration that includes the change; for a dry run the revision it
    /// was checked against.
    pub revision: ConfigRevision,
    /// The differences that the change makes.
    pub diff: Vec<DocumentDiff>,
    /// Which processes apply the revision; absent unless the operator asked to wait for them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force: Option<InForce>,
}

/// The outcome of a change that was not refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyOutcome {
    /// The write took effect and is permanent.
    Accepted,
    /// All documents already were as requested; nothing was written.
    Unchanged,
    /// The change would be accepted; nothing was written.
    DryRun,
}

/// Which processes have a revision in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InForce {
    /// Whether every process that answered has the revision; silent ones are not counted.
    pub everywhere: bool,
    /// Time that the request waited for the processes.
    pub waited_ms: u64,
    /// Names of the processes that have the revision in force.
    pub processes: Vec<String>,
    /// Live or leaving processes that have an older revision.
    pub behind: Vec<LaggingProcess>,
    /// Names of the processes that did not answer: they may or may not have the revision. They
    /// fetch it before they count as live again.
    pub silent: Vec<String>,
}

/// A process that has an older revision in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LaggingProcess {
    /// Name of the process.
    pub process: String,
    /// The revision that it has in force.
    pub revision: ConfigRevision,
}

/// Answer to `GET /v1/config/templates`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TemplatesAnswer {
    /// The revision of the answer.
    pub revision: ConfigRevision,
    /// All templates with the revisions that last wrote them, in the order of names.
    pub templates: Vec<Stored<Arc<Template>>>,
}

/// Answer to `GET /v1/config/templates/{name}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TemplateAnswer {
    /// The revision of the answer.
    pub revision: ConfigRevision,
    /// The template with the revision that last wrote it.
    pub template: Stored<Arc<Template>>,
    /// Number of workspaces that use the template.
    pub workspaces: usize,
}

/// Answer to `GET /v1/config/workspaces?after=NAME&limit=N`, one page in the order of names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspacesAnswer {
    /// The revision of the answer.
    pub revision: ConfigRevision,
    /// The workspaces of this page, in the order of names.
    pub workspaces: Vec<Stored<Arc<Workspace>>>,
    /// Value of `after` for the next page; absent on the last page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// Answer to `GET /v1/config/workspaces/{name}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceAnswer {
    /// The revision of the answer.
    pub revision: ConfigRevision,
    /// The workspace as the operator wrote it.
    pub workspace: Stored<Arc<Workspace>>,
    /// The template's parameters with the workspace's overrides applied.
    pub effective: Parameters,
}

/// Answer to `POST /v1/config/diff`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DiffAnswer {
    /// The revision that the documents were compared with.
    pub revision: ConfigRevision,
    /// The differences that applying the documents would make.
    pub diff: Vec<DocumentDiff>,
}

/// Answer to `GET /v1/config/history`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryAnswer {
    /// The changes that are still kept, newest first.
    pub changes: Vec<ChangeSummary>,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeSummary {
    /// Id, which holds the revision of the change.
    pub id: ChangeId,
    /// The operator who made it, the time and the comment.
    pub origin: Origin,
    /// The documents that it wrote or removed, each such as `workspace bibb-county`.
    pub edits: Vec<String>,
}

/// Answer to `GET /v1/config/changes/{id}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// The id as given in the request.
    pub change: String,
    /// Whether the change was accepted, if that is known.
    pub state: ChangeState,
}

/// Whether a change was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ChangeState {
    /// The change was accepted.
    Accepted {
        /// The revision that it created.
        revision: ConfigRevision,
    },
    /// The change was not accepted and never will be.
    NotAccepted,
    /// It can't be determined now; query it again later.
    Unknown,
}

/// Answer to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// Name of the process that answers.
    pub process: String,
    /// The revision that this process has in force.
    pub revision: ConfigRevision,
    /// Where its configuration came from.
    pub source: ConfigSource,
    /// Time since the key-value service last answered this process; absent if it never did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_value_answered_ms_ago: Option<u64>,
    /// All processes that this process knows of, including itself.
    pub processes: Vec<ProcessStatus>,
}

/// The source of a process's configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigSource {
    /// The process has no configuration yet and refuses requests.
    #[default]
    None,
    /// The key-value service, directly or through peers that watch it.
    KeyValue,
    /// Peers only, because the key-value service has not answered since the start of the process:
    /// the highest revision among the peers, which may be older than the newest accepted one.
    PeersOnly,
}

/// State of one process, as known to the process that answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Name of the process, unique in the fleet.
    pub name: String,
    /// `entry` or `agent`.
    pub role: ProcessRole,
    /// Name of the VM that the process runs on.
    pub vm: String,
    /// Name of the data centre of the VM.
    pub data_centre: String,
    /// Whether the process accepts work.
    pub state: ProcessState,
    /// The revision that the process last reported to the one that answers; 0 if it never did.
    pub revision: ConfigRevision,
    /// Address of its operators' interface; absent if unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operators_address: Option<SocketAddr>,
    /// Time since the last message from the process.
    pub heard_ms_ago: u64,
}

/// The role of a process in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessRole {
    /// Accepts callers' requests.
    Entry,
    /// Forwards requests to one backend server.
    Agent,
}

/// Whether a process accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessState {
    /// Reachable and accepts work.
    Live,
    /// Drains: finishes requests in progress and accepts no more.
    Leaving,
    /// Sent no message within the timeout; it may have stopped or be unreachable.
    Silent,
}

/// The body of an error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[error("{code:?}: {message}")]
pub struct ApiError {
    /// Stable code of the error; part of the interface.
    pub code: ErrorCode,
    /// Description of the error in words.
    pub message: String,
    /// All syntax errors, if the documents can't be parsed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub syntax: Vec<DocumentError>,
    /// All validation problems, if the documents are refused.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
    /// All conflicts, if other changes wrote the same documents.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<Conflict>,
    /// Id to query the change by, if its outcome is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<ChangeId>,
}

impl ApiError {
    /// Creates an error without details.
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

/// Code of an error. The serialised names are part of the interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The operators' token is missing or wrong.
    Unauthorized,
    /// The request itself is malformed.
    BadRequest,
    /// The documents are not valid YAML, or have unknown, missing or mistyped fields.
    InvalidSyntax,
    /// The documents violate a validation rule.
    InvalidDocuments,
    /// Another change wrote the same documents after the revision that the operator had read.
    Conflict,
    /// The template, workspace or path does not exist.
    NotFound,
    /// The change, or a bucket with it, exceeds the size limit of a stored value.
    TooLarge,
    /// Not accepted: the key-value service is unreachable, or too many other changes came first.
    /// The request can be sent again.
    Unavailable,
    /// It is not known yet whether the change was accepted; query it by its id.
    UnknownOutcome,
}

impl ErrorCode {
    /// HTTP status code of the response.
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

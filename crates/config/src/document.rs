//! The YAML format of operators' changes: one or more documents in a file.
//!
//! ```yaml
//! kind: template
//! name: callbox
//! parameters:
//!   models: { callbox-7b: { adapters: [repair-notes] } }
//! ---
//! kind: workspace
//! name: bibb-county
//! template: callbox
//! token_sha256: [ <64 hexadecimal digits> ]
//! ---
//! kind: remove
//! workspace: closed-county
//! ```

use crate::template::{Parameters, Rebalancing, Template};
use crate::token::TokenHash;
use crate::workspace::{Overrides, Workspace};
use crate::yaml;
use serde::{Deserialize, Serialize};

/// Largest accepted file of documents.
pub const MAX_FILE_BYTES: usize = 256 * 1024;

/// One document of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Creates or replaces a template.
    PutTemplate(Template),
    /// Creates or replaces a workspace.
    PutWorkspace(Workspace),
    /// Removes a template by name; refused while a workspace uses it.
    RemoveTemplate(String),
    /// Removes a workspace by name.
    RemoveWorkspace(String),
}

/// The kind of object that a document defines or removes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Parameters shared by many workspaces.
    Template,
    /// Tokens, a template's name and overrides.
    Workspace,
}

impl Edit {
    /// The kind of object that the edit writes or removes.
    pub fn kind(&self) -> Kind {
        match self {
            Self::PutTemplate(_) | Self::RemoveTemplate(_) => Kind::Template,
            Self::PutWorkspace(_) | Self::RemoveWorkspace(_) => Kind::Workspace,
        }
    }

    /// Name of the template or workspace that the edit writes or removes.
    ///
    /// ```
    /// use flamingowheel_config::document::Edit;
    /// assert_eq!(Edit::RemoveTemplate("old".to_owned()).name(), "old");
    /// ```
    pub fn name(&self) -> &str {
        match self {
            Self::PutTemplate(template) => &template.name,
            Self::PutWorkspace(workspace) => &workspace.name,
            Self::RemoveTemplate(name) | Self::RemoveWorkspace(name) => name,
        }
    }
}

/// An error of reading a file of documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(tag = "code", rename_all = "snake_case")]
pub enum DocumentError {
    /// Not YAML, or a field is unknown, missing or of the wrong type.
    #[error("document {document}, line {line}, column {column}: {message}")]
    Syntax {
        /// Position of the document in the file, from 1.
        document: usize,
        /// Line in the file, from 1; 0 if the parser gives no position.
        line: usize,
        /// Column, from 1; 0 if the parser gives no position.
        column: usize,
        /// The parser's error message.
        message: String,
    },
    /// The file is larger than [`MAX_FILE_BYTES`].
    #[error("{bytes} bytes are more than the {MAX_FILE_BYTES} that one change may have")]
    TooLarge {
        /// Size of the file.
        bytes: usize,
    },
    /// The file holds no document.
    #[error("no document in the file")]
    Empty,
}

impl DocumentError {
    /// Whether both are the same error at the same position, whatever document they are reported
    /// for.
    fn is_repeat_of(&self, other: &Self) -> bool {
        match (self, other) {
            (
                Self::Syntax { line, column, message, .. },
                Self::Syntax { line: l, column: c, message: m, .. },
            ) => (line, column, message) == (l, c, m),
            _ => false,
        }
    }
}

/// Parses all documents of a file, or returns every syntax error found in one pass.
///
/// ```
/// use flamingowheel_config::document::{Edit, parse};
/// let edits = parse("kind: remove\nworkspace: closed-county\n").unwrap();
/// assert_eq!(edits, [Edit::RemoveWorkspace("closed-county".to_owned())]);
/// ```
pub fn parse(text: &str) -> Result<Vec<Edit>, Vec<DocumentError>> {
    if text.len() > MAX_FILE_BYTES {
        return Err(vec![DocumentError::TooLarge { bytes: text.len() }]);
    }
    let (mut edits, mut errors) = (Vec::new(), Vec::new());
    let kinds = serde_yaml_ng::Deserializer::from_str(text);
    let bodies = serde_yaml_ng::Deserializer::from_str(text);
    for (index, (kind, body)) in kinds.zip(bodies).enumerate() {
        match yaml::catch_panic(|| parse_document(kind, body)) {
            Ok(Some(edit)) => edits.push(edit),
            Ok(None) => {}
            Err(error) => {
                let error = syntax_error(index + 1, &error);
                // After text that is not YAML the parser returns the same error for every
                // following document, without end; collecting them would exhaust the memory.
                if errors.last().is_some_and(|last| error.is_repeat_of(last)) {
                    break;
                }
                errors.push(error);
            }
        }
    }
    if !errors.is_empty() {
        return Err(errors);
    }
    if edits.is_empty() {
        return Err(vec![DocumentError::Empty]);
    }
    Ok(edits)
}

/// Parses the kind first and then the body of that kind: an internally tagged enum would lose the
/// line numbers of errors.
fn parse_document(
    kind: serde_yaml_ng::Deserializer<'_>,
    body: serde_yaml_ng::Deserializer<'_>,
) -> Result<Option<Edit>, serde_yaml_ng::Error> {
    let Some(header) = Option::<Header>::deserialize(kind)? else { return Ok(None) };
    let edit = match header.kind {
        DocumentKind::Template => Edit::PutTemplate(TemplateDocument::deserialize(body)?.into()),
        DocumentKind::Workspace => Edit::PutWorkspace(WorkspaceDocument::deserialize(body)?.into()),
        DocumentKind::Remove => Removal::deserialize(body)?.into_edit()?,
    };
    Ok(Some(edit))
}

fn syntax_error(document: usize, error: &serde_yaml_ng::Error) -> DocumentError {
    let (line, column) = error.location().map_or((0, 0), |at| (at.line(), at.column()));
    DocumentError::Syntax { document, line, column, message: error.to_string() }
}

#[derive(Deserialize)]
struct Header {
    kind: DocumentKind,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum DocumentKind {
    Template,
    Workspace,
    Remove,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TemplateDocument {
    #[serde(rename = "kind")]
    _kind: String,
    name: String,
    #[serde(default)]
    description: String,
    #[serde(default)]
    parameters: Parameters,
    #[serde(default)]
    rebalancing: Rebalancing,
}

impl From<TemplateDocument> for Template {
    fn from(document: TemplateDocument) -> Self {
        let TemplateDocument { name, description, parameters, rebalancing, .. } = document;
        Self { name, description, parameters, rebalancing }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkspaceDocument {
    #[serde(rename = "kind")]
    _kind: String,
    name: String,
    template: String,
    token_sha256: Vec<TokenHash>,
    #[serde(default)]
    overrides: Overrides,
}

impl From<WorkspaceDocument> for Workspace {
    fn from(document: WorkspaceDocument) -> Self {
        let WorkspaceDocument { name, template, token_sha256, overrides, .. } = document;
        Self { name, template, token_sha256, overrides }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Removal {
    #[serde(rename = "kind")]
    _kind: String,
    template: Option<String>,
    workspace: Option<String>,
}

impl Removal {
    fn into_edit(self) -> Result<Edit, serde_yaml_ng::Error> {
        match (self.template, self.workspace) {
            (Some(name), None) => Ok(Edit::RemoveTemplate(name)),
            (None, Some(name)) => Ok(Edit::RemoveWorkspace(name)),
            _ => Err(serde::de::Error::custom("remove needs either `template` or `workspace`")),
        }
    }
}

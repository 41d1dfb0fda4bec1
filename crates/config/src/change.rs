//! Changes of the configuration and how they differ from what is in force.

use crate::document::{Edit, Kind};
use crate::effective::{ConfigRevision, Documents};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use uuid::Uuid;

/// Id of one change: the revision that it asks for and a random part.
///
/// The revision lets anyone decide later whether the change was accepted: at most one change ever
/// gets a revision, so finding another there proves that this one was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ChangeId {
    /// The revision it asks for.
    pub revision: ConfigRevision,
    /// Random part, chosen by the operator's tool or by the process that took the change.
    pub uuid: Uuid,
}

/// A text that is not a change id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a change id is a revision, a hyphen and a UUID")]
pub struct MalformedChangeId;

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.revision.0, self.uuid)
    }
}

impl FromStr for ChangeId {
    type Err = MalformedChangeId;

    /// ```
    /// use flamingowheel_config::change::ChangeId;
    /// let id: ChangeId = "7-67e55044-10b1-426f-9247-bb680e5fe0c8".parse().unwrap();
    /// assert_eq!(id.revision.0, 7);
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (revision, uuid) = text.split_once('-').ok_or(MalformedChangeId)?;
        let revision = revision.parse().map_err(|_| MalformedChangeId)?;
        let uuid = uuid.parse().map_err(|_| MalformedChangeId)?;
        Ok(Self { revision: ConfigRevision(revision), uuid })
    }
}

impl Serialize for ChangeId {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ChangeId {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        String::deserialize(deserializer)?.parse().map_err(de::Error::custom)
    }
}

/// Who made a change, and when.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Origin {
    /// The operator, as named in the request.
    pub operator: String,
    /// Wall-clock time at the process that took the change, for people only: no decision is
    /// made by it.
    pub at_unix_ms: u64,
    /// Why, in the operator's words.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub comment: String,
}

/// One accepted change, as kept in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Its id, with its revision.
    pub id: ChangeId,
    /// Who made it, and when.
    pub origin: Origin,
    /// What it does.
    pub edits: Vec<Edit>,
    /// The change whose revision this empty one took, so that it can never be accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub voids: Option<ChangeId>,
}

impl Change {
    /// The revision it made.
    pub fn revision(&self) -> ConfigRevision {
        self.id.revision
    }
}

/// What happens to a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// It did not exist.
    Created,
    /// It differs.
    Changed,
    /// It goes away.
    Removed,
}

/// How a document would differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DocumentDiff {
    /// Template or workspace.
    pub kind: Kind,
    /// Its name.
    pub name: String,
    /// What happens to it.
    pub action: Action,
    /// Its fields that differ.
    pub fields: Vec<FieldDiff>,
    /// For a template: how many workspaces take its parameters.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspaces: Option<usize>,
}

/// How one field would differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FieldDiff {
    /// Path of the field.
    pub field: String,
    /// What is in force.
    pub before: Option<Value>,
    /// What would be.
    pub after: Option<Value>,
}

/// A document that somebody else changed after the operator looked at it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// Template or workspace.
    pub kind: Kind,
    /// Its name.
    pub name: String,
    /// The revision the operator had looked at.
    pub seen: ConfigRevision,
    /// The change that came in between, if the log still has it.
    pub change: Option<ChangeId>,
    /// Who made that one, and when.
    pub origin: Option<Origin>,
    /// What is in force now against what the refused change asks for.
    pub differs: Option<DocumentDiff>,
}

/// How the documents would differ after the edits; what stays the same is left out.
///
/// ```
/// use flamingowheel_config::{change, document, effective::Documents};
/// let edits = document::parse("kind: template\nname: callbox\n").unwrap();
/// let diff = change::diff(&Documents::default(), &edits);
/// assert_eq!(diff[0].action, change::Action::Created);
/// ```
pub fn diff(base: &Documents, edits: &[Edit]) -> Vec<DocumentDiff> {
    edits.iter().filter_map(|edit| diff_one(base, edit)).collect()
}

/// How one edit would change its document, or `None` if it would not.
pub fn diff_one(base: &Documents, edit: &Edit) -> Option<DocumentDiff> {
    let (before, after) = (flatten(current(base, edit)), flatten(wanted(edit)));
    let action = match (before.is_empty(), after.is_empty()) {
        (true, true) => return None,
        (true, false) => Action::Created,
        (false, true) => Action::Removed,
        (false, false) => Action::Changed,
    };
    let fields = field_diffs(before, after);
    if fields.is_empty() {
        return None;
    }
    let (kind, name) = (edit.kind(), edit.name().to_owned());
    let workspaces = (kind == Kind::Template).then(|| users(base, &name));
    Some(DocumentDiff { kind, name, action, fields, workspaces })
}

fn users(base: &Documents, template: &str) -> usize {
    base.workspaces.values().filter(|stored| stored.document.template == template).count()
}

fn current(base: &Documents, edit: &Edit) -> Option<Value> {
    match edit.kind() {
        Kind::Template => base.templates.get(edit.name()).map(|stored| to_value(&stored.document)),
        Kind::Workspace => {
            base.workspaces.get(edit.name()).map(|stored| to_value(&stored.document))
        }
    }
}

fn wanted(edit: &Edit) -> Option<Value> {
    match edit {
        Edit::PutTemplate(template) => Some(to_value(template)),
        Edit::PutWorkspace(workspace) => Some(to_value(workspace)),
        Edit::RemoveTemplate(_) | Edit::RemoveWorkspace(_) => None,
    }
}

fn to_value<T>(document: &T) -> Value
where
    T: Serialize,
{
    serde_json::to_value(document).unwrap_or(Value::Null)
}

fn field_diffs(mut before: Flat, after: Flat) -> Vec<FieldDiff> {
    let mut diffs = Vec::new();
    for (field, after) in after {
        let before = before.remove(&field);
        if before.as_ref() != Some(&after) {
            diffs.push(FieldDiff { field, before, after: Some(after) });
        }
    }
    let gone = before.into_iter();
    diffs.extend(gone.map(|(field, before)| FieldDiff {
        field,
        before: Some(before),
        after: None,
    }));
    diffs.sort_by(|a, b| a.field.cmp(&b.field));
    diffs
}

type Flat = BTreeMap<String, Value>;

fn flatten(value: Option<Value>) -> Flat {
    let mut flat = Flat::new();
    if let Some(value) = value {
        flatten_into(String::new(), value, &mut flat);
    }
    flat
}

/// Objects become one entry a field; lists stay whole, since positions in them mean little.
fn flatten_into(path: String, value: Value, flat: &mut Flat) {
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (name, value) in fields {
                let path = if path.is_empty() { name } else { format!("{path}.{name}") };
                flatten_into(path, value, flat);
            }
        }
        value => {
            flat.insert(path, value);
        }
    }
}

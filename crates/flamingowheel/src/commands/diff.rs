//! `diff`: shows what documents would change.

use std::fmt::Write;

use flamingowheel_config::api::DiffAnswer;
use flamingowheel_config::change::{Action, Conflict, DocumentDiff, FieldDiff};
use flamingowheel_config::document::Kind;
use flamingowheel_observe::text::count_with_noun;
use serde_json::Value;

use super::render;
use crate::client::Client;
use crate::error::Error;
use crate::{Output, routes};

/// Compares documents with the configuration in force.
pub async fn run(client: &Client, documents: &str, json: bool) -> Result<Output, Error> {
    let path = routes::DIFF;
    let answer: DiffAnswer =
        client.post_documents(path, documents, std::time::Duration::ZERO).await?;
    Ok(Output::success(render(&answer, json, answer_text)?))
}

fn answer_text(answer: &DiffAnswer) -> String {
    let revision = answer.revision.0;
    if answer.diff.is_empty() {
        return format!("nothing differs from revision {revision}\n");
    }
    format!("{}compared with revision {revision}\n", text(&answer.diff))
}

/// Formats differences between documents, one field per line.
///
/// ```
/// use flamingowheel::commands::diff::text;
/// use flamingowheel_config::{change, document, effective::Documents};
///
/// let edits = document::parse("kind: template\nname: callbox\n").expect("a document");
/// let diff = change::diff(&Documents::default(), &edits);
/// assert!(text(&diff).starts_with("create template callbox"));
/// ```
pub fn text(diffs: &[DocumentDiff]) -> String {
    let mut text = String::new();
    for diff in diffs {
        let action = match diff.action {
            Action::Created => "create",
            Action::Changed => "change",
            Action::Removed => "remove",
        };
        let _ = write!(text, "{action} {} {}", kind_name(diff.kind), diff.name);
        if let Some(workspaces) = diff.workspaces {
            let _ = write!(text, ", used by {}", count_with_noun(workspaces as u64, "workspace"));
        }
        text.push('\n');
        for field in &diff.fields {
            text.push_str(&field_text(field));
        }
    }
    text
}

fn field_text(field: &FieldDiff) -> String {
    let name = &field.field;
    match (&field.before, &field.after) {
        (Some(before), Some(after)) => {
            format!("  {name}: {} -> {}\n", value(before), value(after))
        }
        (None, Some(after)) => format!("  {name}: + {}\n", value(after)),
        (Some(before), None) => format!("  {name}: - {}\n", value(before)),
        (None, None) => String::new(),
    }
}

fn value(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// Formats a conflict: how another change has altered the document in the meantime.
pub fn conflict_text(conflict: &Conflict) -> String {
    let mut text = format!(
        "{} {} changed since revision {}",
        kind_name(conflict.kind),
        conflict.name,
        conflict.seen.0
    );
    if let Some(origin) = &conflict.origin {
        let _ = write!(text, ", by {}", origin.operator);
    }
    if let Some(change) = &conflict.change {
        let _ = write!(text, ", change {change}");
    }
    if let Some(differs) = &conflict.differs {
        for field in &differs.fields {
            let _ = write!(text, "\n  {}", field_text(field).trim_end());
        }
    }
    text
}

/// Name of a kind, as documents spell it.
pub fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Template => "template",
        Kind::Workspace => "workspace",
    }
}

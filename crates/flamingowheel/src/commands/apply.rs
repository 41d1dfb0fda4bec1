//! `apply`: changes documents and, if requested, waits until the change is in force.

use std::fmt::Write;
use std::time::Duration;

use flamingowheel_config::api::{ApplyAnswer, ApplyOutcome, InForce, StatusAnswer};
use flamingowheel_config::effective::ConfigRevision;
use serde::Serialize;
use uuid::Uuid;

use super::{diff, render};
use crate::client::Client;
use crate::config::Apply;
use crate::error::Error;
use crate::exit::ExitCode;
use crate::{Output, routes};

/// Query of `POST /v1/config/apply`.
#[derive(Serialize)]
struct ApplyQuery<'a> {
    change: Uuid,
    seen: ConfigRevision,
    operator: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    comment: &'a str,
    #[serde(skip_serializing_if = "is_false")]
    dry_run: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait_ms: Option<u64>,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// Sends a change to an entry.
pub async fn run(client: &Client, change: &Apply, json: bool) -> Result<Output, Error> {
    let seen = match change.seen {
        Some(seen) => seen,
        None => client.get::<StatusAnswer>(routes::STATUS).await?.revision,
    };
    let answer = send(client, change, seen).await?;
    let exit = match &answer.in_force {
        Some(in_force) if !in_force.everywhere => ExitCode::NotInForce,
        _ => ExitCode::Success,
    };
    Ok(Output { text: render(&answer, json, text)?, exit })
}

async fn send(client: &Client, change: &Apply, seen: ConfigRevision) -> Result<ApplyAnswer, Error> {
    let query = ApplyQuery {
        change: change.uuid,
        seen,
        operator: &change.operator,
        comment: &change.comment,
        dry_run: change.dry_run,
        wait_ms: change.wait.map(|wait| wait.as_millis() as u64),
    };
    let query = super::query(&query)?;
    let extra = change.wait.unwrap_or(Duration::ZERO);
    let path = format!("{}?{query}", routes::APPLY);
    match client.post_documents(&path, &change.documents, extra).await {
        Err(source) if source.leaves_outcome_unknown() && !change.dry_run => {
            Err(Error::OutcomeUnknown { uuid: change.uuid, seen, source })
        }
        answer => Ok(answer?),
    }
}

fn text(answer: &ApplyAnswer) -> String {
    let mut text = diff::text(&answer.diff);
    let revision = answer.revision.0;
    let _ = match (answer.outcome, answer.change) {
        (ApplyOutcome::Accepted, Some(id)) => {
            writeln!(text, "accepted as revision {revision}, change {id}")
        }
        (ApplyOutcome::Accepted, None) => writeln!(text, "accepted as revision {revision}"),
        (ApplyOutcome::Unchanged, _) => {
            writeln!(text, "unchanged: everything is as asked in revision {revision}")
        }
        (ApplyOutcome::DryRun, _) if answer.diff.is_empty() => {
            writeln!(text, "dry run: nothing differs from revision {revision}")
        }
        (ApplyOutcome::DryRun, _) => {
            writeln!(text, "dry run: would be accepted over revision {revision}; nothing written")
        }
    };
    if let Some(in_force) = &answer.in_force {
        text.push_str(&in_force_text(in_force));
    }
    text
}

fn in_force_text(in_force: &InForce) -> String {
    let mut text = String::new();
    let verdict = if in_force.everywhere { "in force" } else { "NOT YET IN FORCE" };
    let (have, behind) = (in_force.processes.len(), in_force.behind.len());
    let total = have + behind;
    let waited_ms = in_force.waited_ms;
    let _ = writeln!(text, "{verdict} in {have} of {total} processes after {waited_ms} ms");
    for process in &in_force.behind {
        let _ = writeln!(text, "  behind: {} has revision {}", process.process, process.revision.0);
    }
    for process in &in_force.silent {
        let _ = writeln!(text, "  silent: {process} has not been heard and may be behind");
    }
    text
}

//! `status`: shows the fleet's processes.

use std::fmt::Write;

use flamingowheel_config::api::{
    ConfigSource, ProcessRole, ProcessState, ProcessStatus, StatusAnswer,
};

use super::{render, row, table};
use crate::client::Client;
use crate::error::Error;
use crate::{Output, routes};

/// Shows the fleet as the first entry that answers sees it.
pub async fn run(client: &Client, json: bool) -> Result<Output, Error> {
    let answer: StatusAnswer = client.get(routes::STATUS).await?;
    Ok(Output::success(render(&answer, json, text)?))
}

fn text(answer: &StatusAnswer) -> String {
    let mut text = format!("as {} sees it\n", answer.process);
    let source = match answer.source {
        ConfigSource::None => "none yet; it refuses requests",
        ConfigSource::KeyValue => "from the key-value service",
        ConfigSource::PeersOnly => {
            "FROM PEERS ONLY: the key-value service has not answered since its start"
        }
    };
    let _ = writeln!(text, "configuration: revision {}, {source}", answer.revision.0);
    let _ = match answer.key_value_answered_ms_ago {
        Some(ms) => writeln!(text, "key-value service: answered {ms} ms ago"),
        None => writeln!(text, "key-value service: HAS NOT ANSWERED"),
    };
    text.push_str(&counts(&answer.processes));
    text.push('\n');
    text.push_str(&processes(answer));
    text
}

fn counts(processes: &[ProcessStatus]) -> String {
    let count = |state| processes.iter().filter(|process| process.state == state).count();
    format!(
        "processes: {} live, {} leaving, {} silent\n",
        count(ProcessState::Live),
        count(ProcessState::Leaving),
        count(ProcessState::Silent)
    )
}

fn processes(answer: &StatusAnswer) -> String {
    let mut sorted: Vec<&ProcessStatus> = answer.processes.iter().collect();
    sorted.sort_by(|a, b| (a.role, &a.name).cmp(&(b.role, &b.name)));
    let mut rows = vec![row(["NAME", "ROLE", "STATE", "REVISION", "HEARD", "DATA CENTRE", "VM"])];
    rows.extend(sorted.into_iter().map(|process| {
        row([
            &process.name,
            role(process.role),
            state(process.state),
            &revision(process),
            &heard(process, &answer.process),
            &process.data_centre,
            &process.vm,
        ])
    }));
    table(&rows)
}

/// Agents are told what they need with each request and have no configuration of their own.
fn revision(process: &ProcessStatus) -> String {
    match process.role {
        ProcessRole::Entry => process.revision.0.to_string(),
        ProcessRole::Agent => "-".to_owned(),
    }
}

fn heard(process: &ProcessStatus, own: &str) -> String {
    match process.name == own {
        true => "itself".to_owned(),
        false => format!("{} ms ago", process.heard_ms_ago),
    }
}

fn role(role: ProcessRole) -> &'static str {
    match role {
        ProcessRole::Entry => "entry",
        ProcessRole::Agent => "agent",
    }
}

fn state(state: ProcessState) -> &'static str {
    match state {
        ProcessState::Live => "live",
        ProcessState::Leaving => "leaving",
        ProcessState::Silent => "SILENT",
    }
}

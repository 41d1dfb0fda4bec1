//! `status`: shows the fleet's processes.

use std::collections::BTreeMap;
use std::fmt::Write;

use flamingowheel_config::api::{
    ConfigSource, ProcessRole, ProcessState, ProcessStatus, StatusAnswer,
};

use flamingowheel_group::status::{Activity, GroupStatus};
use serde::Serialize;
use tokio::task::JoinSet;

use super::{render, row, table};
use crate::client::Client;
use crate::error::Error;
use crate::{Output, routes};

/// Limit of concurrent requests for groups.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Status of the fleet according to one entry, and of the groups according to their coordinators.
#[derive(Serialize)]
struct FleetStatus {
    #[serde(flatten)]
    status: StatusAnswer,
    groups: BTreeMap<String, CoordinatedGroup>,
    /// Names of entries whose groups could not be read.
    groups_not_asked: Vec<String>,
}

#[derive(Serialize)]
struct CoordinatedGroup {
    coordinator: String,
    #[serde(flatten)]
    status: GroupStatus,
}

type Groups = BTreeMap<String, GroupStatus>;

/// Name of an entry and its groups, or `None` if they could not be read.
type Reply = (String, Option<Groups>);

/// Shows the fleet's status according to the first entry that answers.
pub async fn run(client: &Client, json: bool) -> Result<Output, Error> {
    let status: StatusAnswer = client.get(routes::STATUS).await?;
    let mut fleet = FleetStatus { status, groups: BTreeMap::new(), groups_not_asked: Vec::new() };
    fleet.fetch_groups(client).await;
    Ok(Output::success(render(&fleet, json, text)?))
}

impl FleetStatus {
    /// Reads the groups of every entry, since each entry reports only those that it coordinates.
    async fn fetch_groups(&mut self, client: &Client) {
        let entries =
            self.status.processes.iter().filter(|process| process.role == ProcessRole::Entry);
        let entries: Vec<_> =
            entries.map(|entry| (entry.name.clone(), entry.operators_address)).collect();
        let mut running = JoinSet::new();
        for (name, address) in entries {
            let Some(address) = address else {
                self.groups_not_asked.push(name);
                continue;
            };
            if running.len() == MAX_CONCURRENT_REQUESTS {
                self.collect_reply(&mut running).await;
            }
            let client = client.clone();
            running.spawn(async move {
                let groups = client.get_from::<Groups>(address, routes::GROUPS).await;
                (name, groups.ok())
            });
        }
        while !running.is_empty() {
            self.collect_reply(&mut running).await;
        }
        self.groups_not_asked.sort();
    }

    async fn collect_reply(&mut self, running: &mut JoinSet<Reply>) {
        match running.join_next().await {
            Some(Ok((coordinator, Some(groups)))) => {
                for (group, status) in groups {
                    self.add_group(group, &coordinator, status);
                }
            }
            Some(Ok((entry, None))) => self.groups_not_asked.push(entry),
            Some(Err(_)) | None => {}
        }
    }

    /// While the coordinator of a group changes, two entries report it. The report of the one that
    /// coordinates it is preferred, since it is more complete.
    fn add_group(&mut self, group: String, coordinator: &str, status: GroupStatus) {
        if status.activity == Activity::Following && self.groups.contains_key(&group) {
            return;
        }
        let coordinator = coordinator.to_owned();
        self.groups.insert(group, CoordinatedGroup { coordinator, status });
    }
}

fn text(fleet: &FleetStatus) -> String {
    let answer = &fleet.status;
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
    text.push_str(&groups(fleet));
    text
}

fn groups(fleet: &FleetStatus) -> String {
    let mut text = String::new();
    if !fleet.groups.is_empty() {
        let mut rows = vec![row(["GROUP", "ACTIVITY", "MAP", "COORDINATOR"])];
        rows.extend(fleet.groups.iter().map(|(name, group)| {
            let status = &group.status;
            let map = status.map_version.to_string();
            row([name, activity(status.activity), &map, &group.coordinator])
        }));
        let _ = write!(text, "\n{}", table(&rows));
    }
    for (name, group) in &fleet.groups {
        for rank in &group.status.out_of_service {
            let _ = writeln!(text, "OUT OF SERVICE {name} rank {}: {}", rank.rank, rank.reason);
        }
        text.push_str(&behind(name, &group.status));
    }
    for entry in &fleet.groups_not_asked {
        let _ = writeln!(text, "NOT REACHED {entry}: the groups it coordinates are not shown");
    }
    text
}

/// Lists the ranks that don't yet serve the accepted model version.
fn behind(name: &str, status: &GroupStatus) -> String {
    let Some(serving) = status.serving.as_ref().filter(|_| !status.behind.is_empty()) else {
        return String::new();
    };
    let ranks: Vec<String> = status.behind.iter().map(ToString::to_string).collect();
    let waits = match &status.waits_for {
        Some(group) => format!("; waits for {group}"),
        None => String::new(),
    };
    format!(
        "BEHIND {name}: not yet on {} {}: ranks {}{waits}\n",
        serving.model,
        serving.version,
        ranks.join(" ")
    )
}

fn activity(activity: Activity) -> &'static str {
    match activity {
        Activity::Following => "following",
        Activity::Running => "running",
        Activity::Staging => "staging",
        Activity::Draining => "draining",
        Activity::Aligning => "aligning",
        Activity::Held => "HELD",
    }
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
            &last_contact(process, &answer.process),
            &process.data_centre,
            &process.vm,
        ])
    }));
    table(&rows)
}

/// Agents have no configuration: each request carries the settings that apply to it.
fn revision(process: &ProcessStatus) -> String {
    match process.role {
        ProcessRole::Entry => process.revision.0.to_string(),
        ProcessRole::Agent => "-".to_owned(),
    }
}

fn last_contact(process: &ProcessStatus, answering: &str) -> String {
    match process.name == answering {
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

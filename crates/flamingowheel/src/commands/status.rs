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

/// Entries asked for their groups at one time.
const MAX_ASKED_AT_ONCE: usize = 32;

/// The fleet as one entry sees it, and the groups as their coordinators see them.
#[derive(Serialize)]
struct FleetStatus {
    #[serde(flatten)]
    status: StatusAnswer,
    groups: BTreeMap<String, CoordinatedGroup>,
    /// Entries that did not tell which groups they coordinate.
    groups_not_asked: Vec<String>,
}

#[derive(Serialize)]
struct CoordinatedGroup {
    coordinator: String,
    #[serde(flatten)]
    status: GroupStatus,
}

type Groups = BTreeMap<String, GroupStatus>;

/// An entry's name and its groups, if it told them.
type Reply = (String, Option<Groups>);

/// Shows the fleet as the first entry that answers sees it.
pub async fn run(client: &Client, json: bool) -> Result<Output, Error> {
    let status: StatusAnswer = client.get(routes::STATUS).await?;
    let mut fleet = FleetStatus { status, groups: BTreeMap::new(), groups_not_asked: Vec::new() };
    fleet.ask_groups(client).await;
    Ok(Output::success(render(&fleet, json, text)?))
}

impl FleetStatus {
    /// Asks every entry, since each tells only of the groups that it coordinates.
    async fn ask_groups(&mut self, client: &Client) {
        let entries = self.status.processes.iter().filter(|one| one.role == ProcessRole::Entry);
        let entries: Vec<_> =
            entries.map(|entry| (entry.name.clone(), entry.operators_address)).collect();
        let mut running = JoinSet::new();
        for (name, address) in entries {
            let Some(address) = address else {
                self.groups_not_asked.push(name);
                continue;
            };
            if running.len() == MAX_ASKED_AT_ONCE {
                self.take_one(&mut running).await;
            }
            let client = client.clone();
            running.spawn(async move {
                let groups = client.get_from::<Groups>(address, routes::GROUPS).await;
                (name, groups.ok())
            });
        }
        while !running.is_empty() {
            self.take_one(&mut running).await;
        }
        self.groups_not_asked.sort();
    }

    async fn take_one(&mut self, running: &mut JoinSet<Reply>) {
        match running.join_next().await {
            Some(Ok((coordinator, Some(groups)))) => {
                for (group, status) in groups {
                    self.take_group(group, &coordinator, status);
                }
            }
            Some(Ok((entry, None))) => self.groups_not_asked.push(entry),
            Some(Err(_)) | None => {}
        }
    }

    /// While a duty moves, two entries tell of a group; the one in charge knows more.
    fn take_group(&mut self, group: String, coordinator: &str, status: GroupStatus) {
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

/// Which ranks don't serve what operators accepted.
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

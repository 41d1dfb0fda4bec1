//! `timeline`: merges the events of all processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use flamingowheel_observe::api::{EVENTS_PATH, EventQuery, EventsAnswer};
use flamingowheel_observe::timeline::{UnreachableProcess, merge};
use serde::Deserialize;
use tokio::task::JoinSet;

use super::render;
use crate::client::{Client, ClientError};
use crate::error::Error;
use crate::{Output, routes};

/// Processes asked at a time: all 7,680 of a large fleet at once would exhaust the ports.
const MAX_ASKED_AT_ONCE: usize = 128;

/// Events read in all, so that a large fleet's don't fill the reader's memory.
const MAX_EVENTS: usize = 200_000;

/// Events that each process may give, however many processes there are.
const MIN_EVENTS_EACH: usize = 20;

/// Stands for the processes where nobody can list them.
const LIST: &str = "the list of processes";

/// The part of `GET /v1/status` that tells whom to ask.
#[derive(Deserialize)]
struct Fleet {
    processes: Vec<Process>,
}

#[derive(Clone, Deserialize)]
struct Process {
    name: String,
    /// Absent where the entry that answers doesn't know it.
    #[serde(default)]
    operators_address: Option<SocketAddr>,
}

/// A process's name and its answer.
type Reply = (String, Result<EventsAnswer, ClientError>);

/// Asks every process for its events and merges them.
///
/// Where no entry can list the processes, which may be just when a time line is needed, those
/// named by the operator are asked all the same, and the missing list is told like a process that
/// was not reached.
pub async fn run(client: &Client, query: &EventQuery, json: bool) -> Result<Output, Error> {
    let mut asked = Asked::default();
    let processes = match client.get::<Fleet>(routes::STATUS).await {
        Ok(fleet) => fleet.processes,
        Err(error) => {
            asked.miss(LIST, &error.to_string());
            Vec::new()
        }
    };
    let targets = asked.targets(client, processes);
    let query = EventQuery { limit: Some(limit(targets.len())), ..query.clone() };
    let path = format!("{EVENTS_PATH}?{}", super::query(&query)?);
    asked.ask_all(client, &path, targets).await;
    if asked.answers.is_empty()
        && let Some(error) = asked.last_error.take()
    {
        return Err(error.into());
    }
    let timeline = merge(query, asked.answers, asked.unreachable);
    Ok(Output::success(render(&timeline, json, |timeline| timeline.to_text())?))
}

/// How many events each process may give, so that all of them fit into memory.
fn limit(processes: usize) -> usize {
    (MAX_EVENTS / processes.max(1)).max(MIN_EVENTS_EACH)
}

#[derive(Default)]
struct Asked {
    answers: Vec<EventsAnswer>,
    unreachable: Vec<UnreachableProcess>,
    last_error: Option<ClientError>,
}

impl Asked {
    /// Whom to ask: the processes with a known address, and those that the operator named.
    fn targets(
        &mut self,
        client: &Client,
        processes: Vec<Process>,
    ) -> BTreeMap<SocketAddr, String> {
        let named = client.entries().iter();
        let mut targets: BTreeMap<SocketAddr, String> =
            named.map(|address| (*address, address.to_string())).collect();
        for process in processes {
            match process.operators_address {
                Some(address) => drop(targets.insert(address, process.name)),
                None => self.miss(&process.name, "its address is not known"),
            }
        }
        targets
    }

    async fn ask_all(
        &mut self,
        client: &Client,
        path: &str,
        targets: BTreeMap<SocketAddr, String>,
    ) {
        let mut running = JoinSet::new();
        for (address, name) in targets {
            if running.len() == MAX_ASKED_AT_ONCE {
                self.take_one(&mut running).await;
            }
            let (client, path) = (client.clone(), path.to_owned());
            running.spawn(async move { (name, client.get_from(address, &path).await) });
        }
        while !running.is_empty() {
            self.take_one(&mut running).await;
        }
    }

    async fn take_one(&mut self, running: &mut JoinSet<Reply>) {
        match running.join_next().await {
            Some(Ok((_, Ok(answer)))) => self.take(answer),
            Some(Ok((name, Err(error)))) => {
                self.miss(&name, &error.to_string());
                self.last_error = Some(error);
            }
            Some(Err(error)) => self.miss("a process", &error.to_string()),
            None => {}
        }
    }

    /// Takes an answer; its process may have been named without an address.
    fn take(&mut self, answer: EventsAnswer) {
        self.unreachable.retain(|missed| missed.process != answer.process.name);
        self.answers.push(answer);
    }

    fn miss(&mut self, name: &str, reason: &str) {
        self.unreachable.push(UnreachableProcess { process: name.into(), reason: reason.into() });
    }
}

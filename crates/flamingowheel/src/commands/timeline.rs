//! `timeline`: shows the merged events of all processes.

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

/// Limit of concurrent requests: one to each of the 7,680 processes of a large fleet at once would
/// exhaust the local ports.
const MAX_CONCURRENT_REQUESTS: usize = 128;

/// Events read from all processes together, which bounds the memory needed for a large fleet.
const MAX_EVENTS: usize = 200_000;

/// Lower limit of events per process, however many processes there are.
const MIN_EVENTS_PER_PROCESS: usize = 20;

/// Named as not reached if no entry can list the processes.
const PROCESS_LIST: &str = "the list of processes";

/// The part of `GET /v1/status` with the processes' names and addresses.
#[derive(Deserialize)]
struct Fleet {
    processes: Vec<Process>,
}

#[derive(Clone, Deserialize)]
struct Process {
    name: String,
    /// Absent if the answering entry has no address for it.
    #[serde(default)]
    operators_address: Option<SocketAddr>,
}

/// Name of a process, and its answer.
type Reply = (String, Result<EventsAnswer, ClientError>);

/// Reads the matching events of every process and merges them.
///
/// If no entry can list the processes, which may well be when a timeline is needed, the addresses
/// that the operator named are still queried, and the list is reported like a process that was not
/// reached.
pub async fn run(client: &Client, query: &EventQuery, json: bool) -> Result<Output, Error> {
    let mut collector = Collector::default();
    let processes = match client.get::<Fleet>(routes::STATUS).await {
        Ok(fleet) => fleet.processes,
        Err(error) => {
            collector.add_unreachable(PROCESS_LIST, &error.to_string());
            Vec::new()
        }
    };
    let targets = collector.targets(client, processes);
    let query = EventQuery { limit: Some(max_events_per_process(targets.len())), ..query.clone() };
    let path = format!("{EVENTS_PATH}?{}", super::query(&query)?);
    collector.fetch_all(client, &path, targets).await;
    if collector.answers.is_empty()
        && let Some(error) = collector.last_error.take()
    {
        return Err(error.into());
    }
    let timeline = merge(query, collector.answers, collector.unreachable);
    Ok(Output::success(render(&timeline, json, |timeline| timeline.to_text())?))
}

/// Returns how many events each process may return, so that all of them fit into memory.
fn max_events_per_process(processes: usize) -> usize {
    (MAX_EVENTS / processes.max(1)).max(MIN_EVENTS_PER_PROCESS)
}

#[derive(Default)]
struct Collector {
    answers: Vec<EventsAnswer>,
    unreachable: Vec<UnreachableProcess>,
    last_error: Option<ClientError>,
}

impl Collector {
    /// Returns the addresses to query, with the processes' names: those that the operator named and
    /// those of the listed processes.
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
                None => self.add_unreachable(&process.name, "its address is not known"),
            }
        }
        targets
    }

    async fn fetch_all(
        &mut self,
        client: &Client,
        path: &str,
        targets: BTreeMap<SocketAddr, String>,
    ) {
        let mut running = JoinSet::new();
        for (address, name) in targets {
            if running.len() == MAX_CONCURRENT_REQUESTS {
                self.collect_reply(&mut running).await;
            }
            let (client, path) = (client.clone(), path.to_owned());
            running.spawn(async move { (name, client.get_from(address, &path).await) });
        }
        while !running.is_empty() {
            self.collect_reply(&mut running).await;
        }
    }

    async fn collect_reply(&mut self, running: &mut JoinSet<Reply>) {
        match running.join_next().await {
            Some(Ok((_, Ok(answer)))) => self.add_answer(answer),
            Some(Ok((name, Err(error)))) => {
                self.add_unreachable(&name, &error.to_string());
                self.last_error = Some(error);
            }
            Some(Err(error)) => self.add_unreachable("a process", &error.to_string()),
            None => {}
        }
    }

    /// Adds an answer. Its process is no longer reported as unreachable, which it was if the list
    /// had no address for it.
    fn add_answer(&mut self, answer: EventsAnswer) {
        self.unreachable.retain(|process| process.process != answer.process.name);
        self.answers.push(answer);
    }

    fn add_unreachable(&mut self, name: &str, reason: &str) {
        self.unreachable.push(UnreachableProcess { process: name.into(), reason: reason.into() });
    }
}

//! `timeline`: merges the events of all processes.

use std::net::SocketAddr;

use flamingowheel_observe::api::{EVENTS_PATH, EventQuery, EventsAnswer};
use flamingowheel_observe::timeline::{Unreachable, merge};
use serde::Deserialize;
use tokio::task::JoinSet;

use super::render;
use crate::client::{Client, ClientError};
use crate::error::Error;
use crate::{Output, routes};

/// Processes asked at a time: all 7,680 of a large fleet at once would exhaust the ports.
const MAX_ASKED_AT_ONCE: usize = 128;

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
pub async fn run(client: &Client, query: &EventQuery, json: bool) -> Result<Output, Error> {
    let path = format!("{EVENTS_PATH}?{}", super::query(query)?);
    let mut asked = Asked::default();
    let fleet: Fleet = client.get(routes::STATUS).await?;
    asked.ask_all(client, &path, fleet.processes).await;
    asked.ask_entries(client, &path).await;
    let timeline = merge(query.clone(), asked.answers, asked.unreachable);
    Ok(Output::success(render(&timeline, json, |timeline| timeline.to_text())?))
}

#[derive(Default)]
struct Asked {
    answers: Vec<EventsAnswer>,
    unreachable: Vec<Unreachable>,
}

impl Asked {
    async fn ask_all(&mut self, client: &Client, path: &str, processes: Vec<Process>) {
        let mut running = JoinSet::new();
        for process in processes {
            let Some(address) = process.operators_address else {
                self.miss(&process.name, "its address is not known");
                continue;
            };
            if running.len() == MAX_ASKED_AT_ONCE {
                self.take_one(&mut running).await;
            }
            let (client, path) = (client.clone(), path.to_owned());
            running.spawn(async move { (process.name, client.get_from(address, &path).await) });
        }
        while !running.is_empty() {
            self.take_one(&mut running).await;
        }
    }

    async fn take_one(&mut self, running: &mut JoinSet<Reply>) {
        match running.join_next().await {
            Some(Ok((_, Ok(answer)))) => self.answers.push(answer),
            Some(Ok((name, Err(error)))) => self.miss(&name, &error.to_string()),
            Some(Err(error)) => self.miss("a process", &error.to_string()),
            None => {}
        }
    }

    /// Asks the entries named by the operator: their addresses need no answer of another process.
    async fn ask_entries(&mut self, client: &Client, path: &str) {
        for &address in client.entries() {
            if let Ok(answer) = client.get_from::<EventsAnswer>(address, path).await {
                self.unreachable.retain(|missed| missed.process != answer.process.name);
                self.answers.push(answer);
            }
        }
    }

    fn miss(&mut self, name: &str, reason: &str) {
        self.unreachable.push(Unreachable { process: name.into(), reason: reason.into() });
    }
}

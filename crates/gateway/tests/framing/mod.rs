//! Callers, an entry and backend servers that write chosen bytes and end in a chosen way.

pub mod caller;
pub mod cells;
pub mod entry;

use caller::{API_KEY, Ask, Received, call};
use entry::Entry;
use flamingowheel_standin::platform::messages::configuration;
use flamingowheel_standin::platform::raw::{Answer, Call, Framing, RawServer};
use std::collections::HashSet;
use std::sync::{Arc, Mutex};

/// Time limit of all routes, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 4_000;

/// Number of events in a stream.
pub const EVENTS: u64 = 3;

pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// The events of a stream after one of them.
pub fn events_after(id: u64) -> String {
    (id + 1..=EVENTS).map(event).collect()
}

/// A server whose first answer to each attempt is `first`, and whose further ones go on after the
/// event that the request names.
pub async fn breaking_server(asked: &Asked, first: Answer) -> RawServer {
    let asked = asked.clone();
    let script = move |call: &Call| {
        if asked.is_first(&call.attempt) {
            return first.clone();
        }
        let rest = events_after(call.last_event_id.unwrap_or(0));
        Answer::whole(Framing::Length, rest.into_bytes())
    };
    RawServer::start(script).await.unwrap()
}

/// The attempts that have reached a server.
#[derive(Clone, Default)]
pub struct Asked(Arc<Mutex<HashSet<String>>>);

impl Asked {
    fn is_first(&self, attempt: &str) -> bool {
        self.0.lock().unwrap().insert(attempt.to_owned())
    }
}

/// An entry in front of servers; each attempt gets `first` from the first one it is sent to.
pub struct Bench {
    pub servers: Vec<RawServer>,
    pub entry: Entry,
}

impl Bench {
    pub async fn start(servers: usize, first: &Answer) -> Self {
        let asked = Asked::default();
        let mut started = Vec::new();
        for _ in 0..servers {
            started.push(breaking_server(&asked, first.clone()).await);
        }
        Self::with_servers(started).await
    }

    pub async fn with_servers(servers: Vec<RawServer>) -> Self {
        let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
        let configuration = configuration(1, &[API_KEY], ROUTE_TIMEOUT_MS);
        let entry =
            Entry::start_with_retries(&addresses, Some(configuration.as_bytes()), 1e6).await;
        Self { servers, entry }
    }

    pub async fn ask(&self, path: &str) -> Received {
        self.ask_as(path, "a1").await
    }

    pub async fn ask_as(&self, path: &str, attempt: &str) -> Received {
        call(self.entry.address, Ask::new(path, attempt)).await
    }

    /// Starts all servers again and lists their new starts.
    pub async fn restart_all(&self, started_ms: u64) {
        for server in &self.servers {
            server.restart().await;
        }
        let addresses: Vec<_> = self.servers.iter().map(|server| server.address).collect();
        self.entry.list_again(&addresses, started_ms);
    }

    pub fn calls(&self) -> usize {
        self.servers.iter().map(|server| server.calls().len()).sum()
    }
}

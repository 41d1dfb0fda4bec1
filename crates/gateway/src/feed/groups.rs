//! How rank groups stand, on the way from their coordinators to all entries.
//!
//! An entry of many has few requests in a group, and its own tell little of how the ranks are loaded. The
//! followers hear from the agents that coordinate, and the other entries from one of their sources.

use flamingowheel_protocol::ranks::{AgentRequest, GroupStatus, RankUpdate, Subscription};
use flamingowheel_protocol::websocket::{Identity, connect};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// Pause before a coordinator that could not be reached is tried again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);

/// Status that is older is not passed on any more.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(2);

/// A group's status and when it was taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Dated {
    /// The status.
    pub status: GroupStatus,
    /// When its figures were true.
    pub taken_at: Instant,
}

impl Dated {
    /// A status that has just arrived.
    pub fn arrived(status: GroupStatus) -> Self {
        let now = Instant::now();
        let taken_at = now.checked_sub(Duration::from_millis(status.age_ms)).unwrap_or(now);
        Self { status, taken_at }
    }
}

/// The newest status of each group, by its name.
pub type Statuses = BTreeMap<String, Dated>;

/// Puts a status in the place of an older one.
pub fn note_status(statuses: &watch::Sender<Arc<Statuses>>, dated: Dated) {
    statuses.send_if_modified(|statuses| {
        let known = statuses.get(&dated.status.group);
        if known.is_some_and(|known| known.taken_at >= dated.taken_at) {
            return false;
        }
        Arc::make_mut(statuses).insert(dated.status.group.clone(), dated);
        true
    });
}

/// The statuses as another entry is told them.
pub fn told_statuses(statuses: &Statuses) -> Vec<GroupStatus> {
    let now = Instant::now();
    let aged = statuses.values().filter_map(|dated| {
        let age = now - dated.taken_at;
        let age_ms = age.as_millis() as u64;
        (age < FORGOTTEN_AFTER).then(|| GroupStatus { age_ms, ..dated.status.clone() })
    });
    aged.collect()
}

/// Hears from the agents that coordinate groups, while this entry follows for others.
#[derive(Debug)]
pub struct GroupListener {
    identity: Identity,
    /// Agents that coordinate, by group.
    coordinators: watch::Receiver<Arc<HashMap<String, SocketAddr>>>,
    follows: watch::Receiver<bool>,
    statuses: watch::Sender<Arc<Statuses>>,
    connected: HashMap<(String, SocketAddr), CancellationToken>,
}

impl GroupListener {
    /// A listener that puts what it hears into `statuses`.
    pub fn new(
        identity: Identity,
        coordinators: watch::Receiver<Arc<HashMap<String, SocketAddr>>>,
        follows: watch::Receiver<bool>,
        statuses: watch::Sender<Arc<Statuses>>,
    ) -> Self {
        Self { identity, coordinators, follows, statuses, connected: HashMap::new() }
    }

    /// Listens until dropped.
    pub async fn run(mut self) {
        loop {
            let follows = *self.follows.borrow_and_update();
            let coordinators = Arc::clone(&self.coordinators.borrow_and_update());
            self.connect(&coordinators, follows);
            tokio::select! {
                changed = self.follows.changed() => if changed.is_err() { return },
                changed = self.coordinators.changed() => if changed.is_err() { return },
            }
        }
    }

    fn connect(&mut self, coordinators: &HashMap<String, SocketAddr>, follows: bool) {
        self.connected.retain(|(group, agent), stop| {
            let is_wanted = follows && coordinators.get(group) == Some(agent);
            if !is_wanted {
                stop.cancel();
            }
            is_wanted
        });
        for (group, agent) in coordinators.iter().filter(|_| follows) {
            let key = (group.clone(), *agent);
            if self.connected.contains_key(&key) {
                continue;
            }
            let stop = CancellationToken::new();
            self.connected.insert(key, stop.clone());
            let (identity, statuses) = (self.identity.clone(), self.statuses.clone());
            let agent = *agent;
            tokio::spawn(async move {
                stop.run_until_cancelled(listen(agent, identity, statuses)).await;
            });
        }
    }
}

async fn listen(agent: SocketAddr, identity: Identity, statuses: watch::Sender<Arc<Statuses>>) {
    loop {
        match connect::<AgentRequest, RankUpdate>(agent, &identity).await {
            Ok(mut link) => {
                let asked = link.sender.send(AgentRequest::Tell(Subscription::Group)).await;
                while let (Ok(()), Some(update)) = (&asked, link.receiver.recv().await) {
                    if let RankUpdate::Group(status) = update {
                        note_status(&statuses, Dated::arrived(status));
                    }
                }
            }
            Err(error) => tracing::debug!(%agent, %error, "coordinator not reached"),
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

//! Distributes the statuses of rank groups from their coordinators to all entries.
//!
//! In a large fleet each entry has few requests in a group, and they reveal little about the load
//! of the ranks. Followers receive the statuses from the coordinating agents, the other entries
//! from one of their sources.

use flamingowheel_protocol::ranks::{AgentRequest, GroupStatus, RankUpdate, Subscription};
use flamingowheel_protocol::websocket::{Identity, connect};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// Pause before reconnecting to a coordinator.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);

/// Age from which a status is no longer sent to other entries.
const MAX_STATUS_AGE: Duration = Duration::from_secs(2);

/// A group's status with a local timestamp.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedStatus {
    /// The status as its coordinator reported it.
    pub status: GroupStatus,
    /// When the status was taken, on this process's clock.
    pub taken_at: Instant,
}

impl TimedStatus {
    /// Timestamps a status that has just arrived, by its age.
    pub fn arrived(status: GroupStatus) -> Self {
        let now = Instant::now();
        let taken_at = now.checked_sub(Duration::from_millis(status.age_ms)).unwrap_or(now);
        Self { status, taken_at }
    }
}

/// The newest status of each group, by its name.
pub type Statuses = BTreeMap<String, TimedStatus>;

/// Stores a status unless a newer one of the same group is present.
pub fn merge_status(statuses: &watch::Sender<Arc<Statuses>>, timed: TimedStatus) {
    statuses.send_if_modified(|statuses| {
        let current = statuses.get(&timed.status.group);
        if current.is_some_and(|current| current.taken_at >= timed.taken_at) {
            return false;
        }
        Arc::make_mut(statuses).insert(timed.status.group.clone(), timed);
        true
    });
}

/// The recent statuses, with their ages, to send to another entry.
pub fn statuses_to_send(statuses: &Statuses) -> Vec<GroupStatus> {
    let now = Instant::now();
    let aged = statuses.values().filter_map(|timed| {
        let age = now - timed.taken_at;
        let age_ms = age.as_millis() as u64;
        (age < MAX_STATUS_AGE).then(|| GroupStatus { age_ms, ..timed.status.clone() })
    });
    aged.collect()
}

/// Receives statuses from the agents that coordinate groups, while this entry follows the store.
#[derive(Debug)]
pub struct GroupListener {
    identity: Identity,
    /// Addresses of the coordinating agents, by group.
    coordinators: watch::Receiver<Arc<HashMap<String, SocketAddr>>>,
    follows: watch::Receiver<bool>,
    statuses: watch::Sender<Arc<Statuses>>,
    connected: HashMap<(String, SocketAddr), CancellationToken>,
}

impl GroupListener {
    /// Creates a listener that stores received statuses in `statuses`.
    pub fn new(
        identity: Identity,
        coordinators: watch::Receiver<Arc<HashMap<String, SocketAddr>>>,
        follows: watch::Receiver<bool>,
        statuses: watch::Sender<Arc<Statuses>>,
    ) -> Self {
        Self { identity, coordinators, follows, statuses, connected: HashMap::new() }
    }

    /// Runs until dropped.
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
                let subscribed =
                    link.sender.send(AgentRequest::Subscribe(Subscription::Group)).await;
                while let (Ok(()), Some(update)) = (&subscribed, link.receiver.recv().await) {
                    if let RankUpdate::Group(status) = update {
                        merge_status(&statuses, TimedStatus::arrived(status));
                    }
                }
            }
            Err(error) => tracing::debug!(%agent, %error, "can't connect to coordinator"),
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

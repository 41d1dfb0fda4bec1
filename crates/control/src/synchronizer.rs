//! The loops that keep configuration and member table up to date.
//!
//! Watchers follow the key-value service, and every process polls its parents, so updates propagate
//! down from the watchers. In addition, each process periodically probes one random member, silent
//! ones included. This repairs what polling might miss, and merges the two sides of a network
//! partition when it ends.

use crate::fetch::Fetcher;
use crate::node::{Followup, Node, SentHeartbeat};
use crate::pause::{PauseDetector, TICK_INTERVAL};
use crate::seeds;
use crate::transport::{PeerError, PeerTransport};
use flamingowheel_backing::vm::VmList;
use flamingowheel_config::effective::ConfigRevision;
use flamingowheel_config::store::Store;
use flamingowheel_protocol::peer::{
    AgentRecord, Heartbeat, MemberState, MembershipUpdate, PeerAnswer, PeerRequest,
};
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Intervals and timeouts of the loops.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long a parent may hold the answer to a heartbeat while it has no updates.
    pub hold: Duration,
    /// The same limit for polls between watchers of different data centres.
    pub remote_hold: Duration,
    /// Timeout of a request, not counting the time an answer may be held.
    pub answer_timeout: Duration,
    /// Time without a message after which a watched process is marked as silent.
    pub silence_timeout: Duration,
    /// How often a watcher reads the head of the log, to detect a watch that has stalled.
    pub head_read_interval: Duration,
    /// How often a random member is probed.
    pub probe_interval: Duration,
    /// How often the VM list is read by the processes whose duty that is.
    pub vm_list_interval: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(1),
            remote_hold: Duration::from_secs(3),
            answer_timeout: Duration::from_secs(1),
            silence_timeout: Duration::from_secs(5),
            head_read_interval: Duration::from_secs(5),
            probe_interval: Duration::from_secs(5),
            vm_list_interval: Duration::from_secs(5),
        }
    }
}

/// Results of probing several peers: whether any answered, and the newer revisions offered.
#[derive(Default)]
struct ProbeResults {
    any_answered: bool,
    offers: Vec<(ConfigRevision, SocketAddr)>,
}

impl ProbeResults {
    async fn probe(&mut self, synchronizer: &Synchronizer, peers: Vec<SocketAddr>) {
        let probes =
            peers.into_iter().map(|peer| async move { (peer, synchronizer.probe(peer).await) });
        for (peer, answer) in join_all(probes).await {
            self.any_answered |= answer.is_ok();
            if let Ok(Followup::Fetch(revision)) = answer {
                self.offers.push((revision, peer));
            }
        }
    }
}

/// Delay before a failed poll or start is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// A process whose configuration was not confirmed for this long counts as isolated and probes
/// random members. Longer than the time between two messages of a healthy peer.
const ISOLATED_AFTER: Duration = Duration::from_secs(4);
/// Time between two rounds of probes of an isolated process.
const ISOLATED_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Members that an isolated process probes in one round.
const ISOLATED_PROBE_COUNT: usize = 4;
/// A watcher probes the seeds again after this many probes of random members.
const PROBES_PER_SEED_ROUND: u64 = 12;
/// How often the VM list is read to remove stale registrations while all entries read the list in
/// rotation. One read at the planned size is 647 KB, so this is 2 KB/s.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(300);
/// How often the running polls are adjusted to the current poll targets.
const POLL_UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps the state of one process up to date; see [`Synchronizer::run`].
#[derive(Clone)]
pub struct Synchronizer {
    /// The state of this process.
    pub node: Node,
    /// The configuration stored in the key-value service.
    pub store: Store,
    /// Sends requests to other entries.
    pub peers: Arc<dyn PeerTransport>,
    /// The platform's VM list.
    pub vms: Arc<dyn VmList>,
    /// Inner addresses of entries from the settings, probed in addition to the entries registered
    /// in the key-value service.
    pub seeds: Vec<SocketAddr>,
    /// Intervals and timeouts.
    pub timing: Timing,
}

impl Synchronizer {
    /// Fetches a first configuration, then runs all loops until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let loops = async {
            self.start().await;
            tokio::join!(
                self.check_liveness(),
                self.run_polls(),
                self.probe_members(),
                self.fetch_from_pollers(),
                self.probe_while_isolated(),
                self.read_vm_list(),
                seeds::keep_registered(&self),
                crate::service::follow(&self),
            );
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = loops => {}
        }
    }

    pub(crate) fn fetcher(&self) -> Fetcher<'_> {
        Fetcher {
            node: &self.node,
            peers: &*self.peers,
            answer_timeout: self.timing.answer_timeout,
        }
    }

    /// Gets a first configuration from peers or the key-value service, whichever has the newest.
    ///
    /// While the service is down, the highest revision among the peers is used; a later answer
    /// with an older revision changes nothing.
    async fn start(&self) {
        loop {
            let from_peers = self.probe_seeds().await;
            let from_service = crate::service::catch_up_once(self).await;
            if from_service {
                return;
            }
            if from_peers {
                tracing::warn!(
                    revision = self.node.revision().0,
                    "key-value service unreachable, started with the peers' highest revision"
                );
                return;
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Probes the seeds and fetches the highest revision that they offer. Returns whether a
    /// configuration was fetched.
    async fn probe_seeds(&self) -> bool {
        let mut results = ProbeResults::default();
        results.probe(self, seeds::configured_and_registered(self).await).await;
        if !results.any_answered {
            results.probe(self, seeds::from_vm_list(self).await).await;
        }
        let fetched = self.fetch_highest(results).await;
        if fetched {
            self.node.confirm_by_peers(None);
        }
        fetched
    }

    /// Fetches the highest revision offered. Returns whether a fetch succeeded.
    async fn fetch_highest(&self, mut results: ProbeResults) -> bool {
        results.offers.sort_unstable();
        for (revision, peer) in results.offers.into_iter().rev() {
            // A lower revision is fetched only if every peer with a higher one failed.
            if self.fetcher().fetch(peer, revision).await.is_ok() {
                return true;
            }
        }
        false
    }

    /// Sends one heartbeat and applies the answer.
    async fn poll(
        &self,
        peer: SocketAddr,
        name: &str,
        hold: Duration,
    ) -> Result<Followup, PeerError> {
        let sent =
            SentHeartbeat { table_version: self.node.table_version(), sent_at: Instant::now() };
        let heartbeat = self.node.heartbeat(Some(name), hold);
        self.send_heartbeat(peer, name, heartbeat, sent).await
    }

    async fn send_heartbeat(
        &self,
        peer: SocketAddr,
        name: &str,
        heartbeat: Heartbeat,
        sent: SentHeartbeat,
    ) -> Result<Followup, PeerError> {
        let hold = Duration::from_millis(u64::from(heartbeat.hold_ms));
        let request = PeerRequest::Heartbeat(Box::new(heartbeat));
        let limit = hold + self.timing.answer_timeout;
        let answer = timeout(limit, self.peers.ask(peer, request)).await;
        let answer = answer.map_err(|_| PeerError::Timeout)??;
        // After a pause of this process an answer from before the pause may already be queued, and
        // `timeout` returns a ready answer even when it is late. Such an answer would confirm a
        // configuration that has been replaced since.
        if sent.sent_at.elapsed() > limit {
            return Err(PeerError::Timeout);
        }
        let PeerAnswer::Heartbeat(answer) = answer else { return Err(PeerError::Unexpected) };
        let missing = self.node.agents_missing_at_peer(&answer);
        let followup = self.node.apply_heartbeat_answer(*answer, sent);
        self.send_missing_agents(peer, name, missing).await;
        Ok(followup)
    }

    /// Sends a peer the agents that its directory lacks. A failure is ignored, since the next
    /// comparison of digests sends them again.
    async fn send_missing_agents(&self, peer: SocketAddr, name: &str, missing: Vec<AgentRecord>) {
        if missing.is_empty() {
            return;
        }
        let mut heartbeat = self.node.heartbeat(Some(name), Duration::ZERO);
        heartbeat.updates = MembershipUpdate { agents: missing, ..MembershipUpdate::default() };
        heartbeat.agent_digests.clear();
        let request = PeerRequest::Heartbeat(Box::new(heartbeat));
        let _ = timeout(self.timing.answer_timeout, self.peers.ask(peer, request)).await;
    }

    async fn poll_and_fetch(
        &self,
        peer: SocketAddr,
        name: &str,
        hold: Duration,
    ) -> Result<(), PeerError> {
        match self.poll(peer, name, hold).await? {
            Followup::None => Ok(()),
            Followup::Fetch(revision) => self.fetcher().fetch(peer, revision).await,
        }
    }

    /// Keeps one poll running for each poll target.
    async fn run_polls(&self) {
        let mut polls = FuturesUnordered::new();
        let mut running: HashMap<String, CancellationToken> = HashMap::new();
        loop {
            let duties = self.node.duties();
            let targets = &duties.poll_targets;
            running.retain(|name, stop| {
                let kept = targets.contains(name);
                if !kept {
                    stop.cancel();
                }
                kept
            });
            for name in targets {
                if !running.contains_key(name) {
                    let stop = CancellationToken::new();
                    running.insert(name.clone(), stop.clone());
                    polls.push(stop.run_until_cancelled_owned(self.poll_peer(name.clone())));
                }
            }
            tokio::select! {
                _ = polls.next(), if !polls.is_empty() => {}
                () = sleep(POLL_UPDATE_INTERVAL) => {}
            }
        }
    }

    /// Polls one peer until the future is dropped.
    async fn poll_peer(&self, name: String) {
        loop {
            let hold = self.hold_for(&name);
            let polled = match self.node.address(&name) {
                Some(peer) => self.poll_and_fetch(peer, &name, hold).await,
                None => Err(PeerError::Unreachable),
            };
            if polled.is_err() {
                sleep(RETRY_INTERVAL).await;
            }
        }
    }

    fn hold_for(&self, name: &str) -> Duration {
        if self.node.is_in_same_data_centre(name) {
            self.timing.hold
        } else {
            self.timing.remote_hold
        }
    }

    /// Detects pauses of this process and silent members.
    async fn check_liveness(&self) {
        let mut detector = PauseDetector::new(Instant::now());
        loop {
            sleep(TICK_INTERVAL).await;
            if let Some(gap) = detector.tick(Instant::now()) {
                tracing::warn!(gap_ms = gap.as_millis() as u64, "this process was paused");
                self.node.invalidate_after_pause();
                continue;
            }
            let duties = self.node.duties();
            let mut watched = [duties.poll_targets.as_slice(), &duties.pollers].concat();
            // Two watchers of different data centres poll each other and would be listed twice.
            watched.sort_unstable();
            watched.dedup();
            let margin = self.timing.remote_hold + self.timing.answer_timeout / 2;
            self.node.detect_silent_members(&watched, self.silence_timeout(), margin);
            self.node.expire();
        }
    }

    /// The timeout for all watched members. Members of other data centres send messages less often,
    /// so it also covers their hold.
    fn silence_timeout(&self) -> Duration {
        self.timing.silence_timeout.max(self.timing.remote_hold + self.timing.answer_timeout)
    }

    async fn probe_members(&self) {
        for round in 1_u64.. {
            sleep(self.node.jitter(self.timing.probe_interval)).await;
            let others = self.other_addresses();
            // Without the seeds, two partitions that have no member in common would never probe each
            // other.
            if others.is_empty()
                || self.node.duties().is_watcher && round % PROBES_PER_SEED_ROUND == 0
            {
                self.probe_seeds().await;
            }
            let Some(chosen) = self.node.choose(&others) else { continue };
            // Failures are ignored: the processes that watch this member detect them.
            let peer = *chosen;
            if let Ok(Followup::Fetch(revision)) = self.probe(peer).await {
                let _ = self.fetcher().fetch(peer, revision).await;
            }
        }
    }

    /// Inner addresses of the other members that are not gone.
    fn other_addresses(&self) -> Vec<SocketAddr> {
        let own = self.node.own_record().name;
        let members = self.node.members().into_iter();
        let others =
            members.filter(|member| member.record.name != own && member.state != MemberState::Gone);
        others.map(|member| member.record.inner).collect()
    }

    /// Probes random members while the configuration is unconfirmed.
    ///
    /// All poll targets of a process can fail at once. They are replaced only once they are marked
    /// as silent, and a process that receives nothing from most members marks none (see
    /// [`Node::detect_silent_members`]). A change would then arrive here later than operators are
    /// promised, and `status` would show this process behind. Some of the probed members answer.
    async fn probe_while_isolated(&self) {
        loop {
            sleep(self.node.jitter(ISOLATED_PROBE_INTERVAL)).await;
            if self.node.since_confirmed().is_none_or(|time| time < ISOLATED_AFTER) {
                continue;
            }
            let mut results = ProbeResults::default();
            results
                .probe(self, self.node.choose_some(&self.other_addresses(), ISOLATED_PROBE_COUNT))
                .await;
            self.fetch_highest(results).await;
        }
    }

    /// Fetches from peers that poll this process and have a newer configuration.
    async fn fetch_from_pollers(&self) {
        let mut newer_peer = self.node.newer_peer();
        while newer_peer.changed().await.is_ok() {
            let Some(offer) = newer_peer.borrow_and_update().clone() else { continue };
            let Some(peer) = self.node.address(&offer.name) else { continue };
            if let Err(error) = self.fetcher().fetch(peer, offer.revision).await {
                // The next poll of the peer triggers another attempt.
                tracing::debug!(peer = offer.name, %error, "failed to fetch a newer configuration");
            }
        }
    }

    /// Exchanges updates with a peer only if the digests differ: whole tables between random pairs
    /// would cost more than all other traffic together.
    async fn probe(&self, peer: SocketAddr) -> Result<Followup, PeerError> {
        let status = timeout(self.timing.answer_timeout, self.peers.ask(peer, PeerRequest::Status));
        let PeerAnswer::Status { record, revision, digest } =
            status.await.map_err(|_| PeerError::Timeout)??
        else {
            return Err(PeerError::Unexpected);
        };
        let name = record.name.clone();
        self.node.record_status(*record, ConfigRevision(revision));
        if digest == self.node.digest() && revision <= self.node.revision().0 {
            return Ok(Followup::None);
        }
        let sent =
            SentHeartbeat { table_version: self.node.table_version(), sent_at: Instant::now() };
        let heartbeat = self.node.digest_heartbeat(&name);
        self.send_heartbeat(peer, &name, heartbeat, sent).await
    }

    async fn read_vm_list(&self) {
        loop {
            let interval = match self.node.has_vm_list_rotation() {
                true => self.timing.vm_list_interval.max(CLEANUP_INTERVAL),
                false => self.timing.vm_list_interval,
            };
            sleep(self.node.jitter(interval)).await;
            if !self.node.duties().reads_vm_list {
                continue;
            }
            let Ok(vms) = self.vms.list().await else { continue };
            let vm_names = vms.iter().map(|vm| vm.name.as_str()).collect();
            self.node.apply_vm_list(&vms);
            seeds::remove_stale(self, &vm_names).await;
        }
    }
}

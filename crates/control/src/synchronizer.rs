//! The loops that bring configuration and members up to date.
//!
//! Every process polls its parents, so news travels down from the watchers; the watchers get it
//! from the key-value service. Besides, each process now and then probes one random member, the
//! silent ones too: that finds out what the order of the parents might miss, and joins two halves
//! of a fleet again after they lost each other.

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

/// Times that the loops go by.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long a parent holds its answer while it has no news.
    pub hold: Duration,
    /// The same between watchers of different data centres.
    pub remote_hold: Duration,
    /// How long an answer may take beyond the hold.
    pub answer_timeout: Duration,
    /// After how long without a word a watched process is called silent.
    pub silence_timeout: Duration,
    /// How often a watcher reads the head, since a watch may have gone deaf.
    pub head_read_interval: Duration,
    /// How often a random member is probed.
    pub probe_interval: Duration,
    /// How often the VM list is read by those that do.
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

/// Who answered, and what they have.
#[derive(Default)]
struct Found {
    anybody: bool,
    offers: Vec<(ConfigRevision, SocketAddr)>,
}

impl Found {
    async fn ask(&mut self, spread: &Synchronizer, seeds: Vec<SocketAddr>) {
        let asked = seeds.into_iter().map(|seed| async move { (seed, spread.probe(seed).await) });
        for (seed, answer) in join_all(asked).await {
            self.anybody |= answer.is_ok();
            if let Ok(Followup::Fetch(revision)) = answer {
                self.offers.push((revision, seed));
            }
        }
    }
}

/// Pause after a poll that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// A process whose configuration nobody confirmed for this long looks for somebody who does. Longer
/// than the time between two words of a healthy peer.
const ISOLATED_AFTER: Duration = Duration::from_secs(4);
/// Time between two rounds of an isolated process.
const ISOLATED_PROBE: Duration = Duration::from_secs(1);
/// Members that it asks in one round.
const ISOLATED_PROBES: usize = 4;
/// After this many probes a watcher asks the seeds again.
const SEED_ROUNDS: u64 = 12;
/// How often the VM list is read to tidy the list of entries, where all read it in turn. One read
/// at the planned size is 647 KB, so this is 2 KB/s.
const TIDY_INTERVAL: Duration = Duration::from_secs(300);
/// How often the wanted polls are compared with the running ones.
const NEIGHBOUR_INTERVAL: Duration = Duration::from_millis(500);

/// What the loops work with.
#[derive(Clone)]
pub struct Synchronizer {
    /// This process.
    pub node: Node,
    /// The configuration in the key-value service.
    pub store: Store,
    /// The other entries.
    pub peers: Arc<dyn PeerTransport>,
    /// The VM list.
    pub vms: Arc<dyn VmList>,
    /// Inner addresses to begin with, besides those listed in the key-value service.
    pub seeds: Vec<SocketAddr>,
    /// Times.
    pub timing: Timing,
}

impl Synchronizer {
    /// Starts, then runs until `stop` fires.
    pub async fn run(self, stop: CancellationToken) {
        let loops = async {
            self.start().await;
            tokio::join!(
                self.tick(),
                self.poll_neighbours(),
                self.probe_members(),
                self.fetch_from_pollers(),
                self.probe_while_isolated(),
                self.read_vm_list(),
                seeds::stay_listed(&self),
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

    /// Gets a first configuration, from peers or the key-value service, whichever has the newest.
    ///
    /// While the service is down the highest revision among the peers is taken; an older peer
    /// asked later changes nothing.
    async fn start(&self) {
        loop {
            let from_peers = self.ask_seeds().await;
            let from_service = crate::service::catch_up_once(self).await;
            if from_service {
                return;
            }
            if from_peers {
                tracing::warn!(
                    revision = self.node.revision().0,
                    "key-value service unreachable; started with the highest revision of the peers"
                );
                return;
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Asks those it can find and fetches from the highest; tells whether that left a
    /// configuration.
    async fn ask_seeds(&self) -> bool {
        let mut found = Found::default();
        found.ask(self, seeds::known(self).await).await;
        if !found.anybody {
            found.ask(self, seeds::guessed(self).await).await;
        }
        let fetched = self.fetch_highest(found).await;
        if fetched {
            self.node.confirm_by_peers(None);
        }
        fetched
    }

    /// Fetches from whoever has the highest revision; tells whether somebody had a newer one.
    async fn fetch_highest(&self, mut found: Found) -> bool {
        found.offers.sort_unstable();
        for (revision, peer) in found.offers.into_iter().rev() {
            // A lower offer is tried only if the higher one's giver failed meanwhile.
            if self.fetcher().fetch(peer, revision).await.is_ok() {
                return true;
            }
        }
        false
    }

    /// One heartbeat; tells what it leaves to do.
    async fn poll(
        &self,
        peer: SocketAddr,
        name: &str,
        hold: Duration,
    ) -> Result<Followup, PeerError> {
        let asked =
            SentHeartbeat { table_version: self.node.table_version(), sent_at: Instant::now() };
        let heartbeat = self.node.heartbeat(Some(name), hold);
        self.beat(peer, name, heartbeat, asked).await
    }

    async fn beat(
        &self,
        peer: SocketAddr,
        name: &str,
        heartbeat: Heartbeat,
        asked: SentHeartbeat,
    ) -> Result<Followup, PeerError> {
        let hold = Duration::from_millis(u64::from(heartbeat.hold_ms));
        let request = PeerRequest::Heartbeat(Box::new(heartbeat));
        let limit = hold + self.timing.answer_timeout;
        let answer = timeout(limit, self.peers.ask(peer, request)).await;
        let answer = answer.map_err(|_| PeerError::Timeout)??;
        // After a pause of this process an answer from before lies ready, and a timeout lets a
        // ready answer pass. It would confirm a configuration that was replaced since.
        if asked.sent_at.elapsed() > limit {
            return Err(PeerError::Timeout);
        }
        let PeerAnswer::Heartbeat(answer) = answer else { return Err(PeerError::Unexpected) };
        let lacking = self.node.agents_lacking(&answer);
        let followup = self.node.apply_heartbeat_answer(*answer, asked);
        self.tell_agents(peer, name, lacking).await;
        Ok(followup)
    }

    /// Tells a peer what its directory lacks; if that fails, the next comparison does.
    async fn tell_agents(&self, peer: SocketAddr, name: &str, lacking: Vec<AgentRecord>) {
        if lacking.is_empty() {
            return;
        }
        let mut heartbeat = self.node.heartbeat(Some(name), Duration::ZERO);
        heartbeat.updates = MembershipUpdate { agents: lacking, ..MembershipUpdate::default() };
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

    /// Keeps one poll running for each wanted neighbour.
    async fn poll_neighbours(&self) {
        let mut polls = FuturesUnordered::new();
        let mut running: HashMap<String, CancellationToken> = HashMap::new();
        loop {
            let duties = self.node.duties();
            let wanted = &duties.poll_targets;
            running.retain(|name, stop| {
                let kept = wanted.contains(name);
                if !kept {
                    stop.cancel();
                }
                kept
            });
            for name in wanted {
                if !running.contains_key(name) {
                    let stop = CancellationToken::new();
                    running.insert(name.clone(), stop.clone());
                    polls.push(stop.run_until_cancelled_owned(self.poll_one(name.clone())));
                }
            }
            tokio::select! {
                _ = polls.next(), if !polls.is_empty() => {}
                () = sleep(NEIGHBOUR_INTERVAL) => {}
            }
        }
    }

    /// Polls for as long as it is let.
    async fn poll_one(&self, name: String) {
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

    /// Looks at the clock and at those that this process watches.
    async fn tick(&self) {
        let mut detector = PauseDetector::new(Instant::now());
        loop {
            sleep(TICK_INTERVAL).await;
            if let Some(gap) = detector.tick(Instant::now()) {
                tracing::warn!(gap_ms = gap.as_millis() as u64, "this process stood still");
                self.node.invalidate_after_pause();
                continue;
            }
            let duties = self.node.duties();
            let mut watched = [duties.poll_targets.as_slice(), &duties.pollers].concat();
            // Two watchers of different data centres poll each other.
            watched.sort_unstable();
            watched.dedup();
            let longer = self.timing.remote_hold + self.timing.answer_timeout / 2;
            self.node.detect_silent_members(&watched, self.watched_limit(), longer);
            self.node.expire();
        }
    }

    /// Neighbours of other data centres are heard less often; one limit serves both.
    fn watched_limit(&self) -> Duration {
        self.timing.silence_timeout.max(self.timing.remote_hold + self.timing.answer_timeout)
    }

    async fn probe_members(&self) {
        for round in 1_u64.. {
            sleep(self.node.jitter(self.timing.probe_interval)).await;
            let others = self.others();
            // Two groups that know nothing of each other would never probe each other.
            if others.is_empty() || self.node.duties().is_watcher && round % SEED_ROUNDS == 0 {
                self.ask_seeds().await;
            }
            let Some(chosen) = self.node.choose(&others) else { continue };
            // It may be gone; those that watch it find out.
            let peer = *chosen;
            if let Ok(Followup::Fetch(revision)) = self.probe(peer).await {
                let _ = self.fetcher().fetch(peer, revision).await;
            }
        }
    }

    /// Where the others are reached that are not known to be gone.
    fn others(&self) -> Vec<SocketAddr> {
        let own = self.node.own_record().name;
        let members = self.node.members().into_iter();
        let others =
            members.filter(|member| member.record.name != own && member.state != MemberState::Gone);
        others.map(|member| member.record.inner).collect()
    }

    /// Asks members at random while nobody confirms the configuration.
    ///
    /// All that a process polls can go at once. Until they are called silent nobody takes their
    /// place, and whoever hears hardly anybody does not call others silent (see
    /// [`Node::detect_silent_members`]). A change that others have is then missing here for longer than
    /// operators are promised, and `status` shows this process behind. Some of those asked are there.
    async fn probe_while_isolated(&self) {
        loop {
            sleep(self.node.jitter(ISOLATED_PROBE)).await;
            if self.node.since_confirmed().is_none_or(|time| time < ISOLATED_AFTER) {
                continue;
            }
            let mut found = Found::default();
            found.ask(self, self.node.choose_some(&self.others(), ISOLATED_PROBES)).await;
            self.fetch_highest(found).await;
        }
    }

    /// Fetches from processes that poll this one and turn out to be ahead of it.
    async fn fetch_from_pollers(&self) {
        let mut ahead = self.node.newer_peer();
        while ahead.changed().await.is_ok() {
            let Some(offer) = ahead.borrow_and_update().clone() else { continue };
            let Some(peer) = self.node.address(&offer.name) else { continue };
            if let Err(error) = self.fetcher().fetch(peer, offer.revision).await {
                // It offers again with its next poll.
                tracing::debug!(peer = offer.name, %error, "newer configuration not fetched");
            }
        }
    }

    /// Compares tables by their digest first: whole tables between random pairs would cost more
    /// than everything else together.
    async fn probe(&self, peer: SocketAddr) -> Result<Followup, PeerError> {
        let asked = timeout(self.timing.answer_timeout, self.peers.ask(peer, PeerRequest::Status));
        let PeerAnswer::Status { record, revision, digest } =
            asked.await.map_err(|_| PeerError::Timeout)??
        else {
            return Err(PeerError::Unexpected);
        };
        let name = record.name.clone();
        self.node.take_status(*record, ConfigRevision(revision));
        if digest == self.node.digest() && revision <= self.node.revision().0 {
            return Ok(Followup::None);
        }
        let asked =
            SentHeartbeat { table_version: self.node.table_version(), sent_at: Instant::now() };
        let heartbeat = self.node.comparing_heartbeat(&name);
        self.beat(peer, &name, heartbeat, asked).await
    }

    async fn read_vm_list(&self) {
        loop {
            let interval = match self.node.is_list_in_turn() {
                true => self.timing.vm_list_interval.max(TIDY_INTERVAL),
                false => self.timing.vm_list_interval,
            };
            sleep(self.node.jitter(interval)).await;
            if !self.node.duties().reads_vm_list {
                continue;
            }
            let Ok(vms) = self.vms.list().await else { continue };
            let listed = vms.iter().map(|vm| vm.name.as_str()).collect();
            self.node.apply_vm_list(&vms);
            seeds::tidy(self, &listed).await;
        }
    }
}

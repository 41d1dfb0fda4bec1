//! Updates the mirror from other entries, and decides when this entry has to follow the store
//! itself.

use crate::feed::contact::{self, Contact};
use crate::feed::groups::{Statuses, TimedStatus, merge_status};
use crate::feed::isolation::{Isolation, Sources};
use crate::feed::mirror::Mirror;
use crate::feed::source::{Event, Source};
use crate::feed::transport::Connect;
use crate::feed::{FeedMessage, FeedRequest};
use flamingowheel_policy::topology::{EntryRef, FOLLOWERS, Topology, takeover_round};
use flamingowheel_protocol::message::Hello;
use rand::seq::IndexedRandom;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Time between checks of the sources.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two rounds of entries that take over from the followers: for a call to the store
/// and a connection to those that made it.
pub const TAKEOVER_INTERVAL: Duration = Duration::from_millis(150);

/// Time for which an entry may know of changes that no source has sent it. After that its sources
/// don't count, since their answers would come too late.
const BEHIND_LIMIT: Duration = Duration::from_millis(500);

/// Number of entries after the followers in the succession to which others connect while no
/// preferred source is up to date.
const STAND_INS: usize = 3;

/// Time for the nearest source to catch up before a more distant one is asked.
const NEAREST_SOURCE_WAIT: Duration = Duration::from_millis(150);

/// Time after which a further source is asked for the same changes.
const FETCH_HEDGE: Duration = Duration::from_millis(150);

/// Time limit for the answer to a fetch; the first one of all keys may take long.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);

/// Number of random entries to connect to while no preferred source is up to date.
const RANDOM_SOURCES: usize = 2;

/// Time between two choices of random entries.
const RANDOM_SOURCES_INTERVAL: Duration = Duration::from_secs(1);

/// Time after a start during which the list of entries is ignored: all entries may have started
/// together, and each of the first to be listed would consider itself a follower.
const STARTUP_DELAY: Duration = Duration::from_millis(1_000);

/// An entry that other entries can connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of its data centre.
    pub data_centre: String,
    /// Address for other entries.
    pub address: SocketAddr,
}

/// Live entries by VM.
pub type Members = BTreeMap<String, Peer>;

/// Updates the mirror from other entries.
#[derive(Debug)]
pub struct Reader<C> {
    hello: Hello,
    connector: C,
    mirror: Arc<Mirror>,
    members: watch::Receiver<Arc<Members>>,
    /// Output: whether this entry is to follow the store.
    follows: watch::Sender<bool>,
    sources: HashMap<String, Source>,
    events: (mpsc::Sender<Event>, mpsc::Receiver<Event>),
    random_choice: (Vec<String>, Option<Instant>),
    fetching_since: Option<Instant>,
    behind_since: Option<Instant>,
    isolation: Isolation,
    started_at: Instant,
    statuses: watch::Sender<Arc<Statuses>>,
    /// Sources in the order of preference.
    preferred: Vec<String>,
    /// All entries in the order in which they are to follow the store.
    succession: Vec<String>,
}

impl<C> Reader<C>
where
    C: Connect,
{
    /// Creates the reader of the entry that `hello` identifies. It updates `mirror` and sets `follows`
    /// while this entry has to follow the store itself.
    pub fn new(
        hello: Hello,
        connector: C,
        mirror: Arc<Mirror>,
        members: watch::Receiver<Arc<Members>>,
        follows: watch::Sender<bool>,
        statuses: watch::Sender<Arc<Statuses>>,
    ) -> Self {
        Self {
            hello,
            connector,
            mirror,
            members,
            follows,
            sources: HashMap::new(),
            events: mpsc::channel(64),
            random_choice: (Vec::new(), None),
            fetching_since: None,
            behind_since: None,
            isolation: Isolation::at_start(Instant::now()),
            started_at: Instant::now(),
            statuses,
            preferred: Vec::new(),
            succession: Vec::new(),
        }
    }

    /// Runs until dropped.
    pub async fn run(mut self) {
        let mut ticks = interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut contacts = self.mirror.contacts();
        loop {
            tokio::select! {
                Some(event) = self.events.1.recv() => self.handle_event(event),
                changed = self.members.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.update_topology();
                    self.connect();
                }
                _ = ticks.tick() => {
                    self.connect();
                    self.request_statuses();
                }
                _ = contacts.changed() => {}
            }
            self.update_follows();
            self.fetch();
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = Instant::now();
        let Some(source) = self.sources.get_mut(&event.vm) else {
            return;
        };
        match event.message {
            None => {
                source.last_head = None;
                source.asked_at = None;
                source.statuses_requested_at = None;
            }
            Some(FeedMessage::Head(head)) => {
                source.last_head = Some((head, now));
                source.confirm(&event.vm, &self.mirror);
            }
            Some(FeedMessage::Groups(statuses)) => {
                source.statuses_received_at = Some(now);
                for status in statuses {
                    merge_status(&self.statuses, TimedStatus::arrived(status));
                }
            }
            Some(FeedMessage::Delta(delta)) => {
                self.fetching_since = None;
                source.asked_at = None;
                if !self.mirror.apply_delta(&event.vm, delta, now) {
                    tracing::warn!(vm = event.vm, "malformed delta from another entry");
                }
                for (vm, source) in &self.sources {
                    source.confirm(vm, &self.mirror);
                }
            }
        }
    }

    /// Computes this entry's sources and whether it is a follower.
    fn update_topology(&mut self) {
        let members = Arc::clone(&self.members.borrow_and_update());
        let hello = &self.hello;
        let entry_refs =
            members.iter().map(|(vm, peer)| EntryRef { data_centre: &peer.data_centre, name: vm });
        let topology = Topology::new(entry_refs);
        let sources = topology.sources(&hello.data_centre, &hello.vm);
        self.preferred = sources.into_iter().map(str::to_owned).collect();
        self.succession = topology.succession().into_iter().map(str::to_owned).collect();
    }

    /// Connects to the sources that are wanted now and closes all other connections.
    fn connect(&mut self) {
        let members = Arc::clone(&self.members.borrow());
        let mut wanted = self.preferred.clone();
        wanted.extend(self.substitutes(&members));
        self.sources.retain(|vm, source| {
            let is_same = members.get(vm).is_some_and(|peer| peer.address == source.address);
            is_same && wanted.contains(vm)
        });
        for vm in wanted {
            let Some(peer) = members.get(&vm).filter(|_| !self.sources.contains_key(&vm)) else {
                continue;
            };
            let (connector, events) = (self.connector.clone(), self.events.0.clone());
            let source = Source::open(&vm, peer.address, connector, events);
            self.sources.insert(vm, source);
        }
    }

    /// Requests the statuses of groups from one source, the first connected one in the order of
    /// preference. Followers get them from the coordinators instead.
    fn request_statuses(&mut self) {
        let now = Instant::now();
        let is_needed = !*self.follows.borrow();
        if is_needed && self.sources.values().any(|source| source.sends_statuses(now)) {
            return;
        }
        let is_candidate = |vm: &&String| {
            let source = self.sources.get(*vm);
            source.is_some_and(|s| s.last_head.is_some() && s.statuses_requested_at.is_none())
        };
        let next = self.preferred.iter().filter(|_| is_needed).find(is_candidate).cloned();
        for (vm, source) in &mut self.sources {
            if Some(vm) == next.as_ref() {
                // If the queue is full, the next tick tries again.
                let is_asked = source.requests.try_send(FeedRequest::Groups(true)).is_ok();
                source.statuses_requested_at = is_asked.then_some(now);
            } else if source.statuses_requested_at.is_some()
                && source.requests.try_send(FeedRequest::Groups(false)).is_ok()
            {
                source.statuses_requested_at = None;
            }
        }
    }

    /// Entries to connect to besides the preferred sources while none of these is up to date: those
    /// that take over first, and some at random, since these may be cut off as well.
    fn substitutes(&mut self, members: &Members) -> Vec<String> {
        let now = Instant::now();
        let is_current = |vm: &String| self.contact(vm, now).is_some_and(|c| c.is_current());
        let has_preferred = self.preferred.iter().any(is_current);
        let (chosen, chosen_at) = &mut self.random_choice;
        if has_preferred {
            *chosen_at = None;
            return Vec::new();
        }
        let own_vm = &self.hello.vm;
        if chosen_at.is_none_or(|at| now - at > RANDOM_SOURCES_INTERVAL) {
            let others: Vec<&String> = members.keys().filter(|vm| *vm != own_vm).collect();
            let drawn = others.sample(&mut rand::rng(), RANDOM_SOURCES);
            *chosen = drawn.map(|vm| (*vm).clone()).collect();
            *chosen_at = Some(now);
        }
        let successors = self.succession.iter().skip(FOLLOWERS).filter(|vm| *vm != own_vm);
        successors.take(STAND_INS).chain(chosen.iter()).cloned().collect()
    }

    /// Fetches missing changes. Asks a further source if the last one doesn't answer soon, since one
    /// that has stalled is noticed only after some time.
    fn fetch(&mut self) {
        let now = Instant::now();
        let own_revision = self.mirror.head(now).revision;
        if self.sources.values().all(|source| source.revision() <= own_revision) {
            self.behind_since = None;
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        let patience = if own_revision == 0 { FETCH_TIMEOUT } else { FETCH_HEDGE };
        if self.fetching_since.is_some_and(|at| now - at < patience) {
            return;
        }
        let Some(vm) = self.source_to_ask(own_revision, now, now - since) else {
            return;
        };
        let Some(source) = self.sources.get_mut(&vm) else {
            return;
        };
        if source.requests.try_send(FeedRequest::Changes { after: own_revision }).is_ok() {
            source.asked_at = Some(now);
            self.fetching_since = Some(now);
        }
    }

    /// The source to fetch from: one in the same data centre, or any other if none there has the
    /// changes within [`NEAREST_SOURCE_WAIT`].
    fn source_to_ask(&self, own_revision: u64, now: Instant, behind: Duration) -> Option<String> {
        let members = self.members.borrow();
        let is_near = |vm: &str| {
            members.get(vm).is_some_and(|peer| peer.data_centre == self.hello.data_centre)
        };
        let may_ask = |source: &Source| {
            let is_asked = source.asked_at.is_some_and(|at| now - at < FETCH_TIMEOUT);
            source.revision() > own_revision && !is_asked
        };
        let rank = |vm: &str| self.preferred.iter().position(|preferred| preferred == vm);
        let candidates = self.sources.iter().filter(|(_, source)| may_ask(source));
        let order = |vm: &str| (!is_near(vm), rank(vm).unwrap_or(usize::MAX));
        let best = candidates.map(|(vm, _)| vm).min_by_key(|vm| order(vm))?;
        let has_near =
            self.sources.iter().any(|(vm, source)| is_near(vm) && source.last_head.is_some());
        let may_be_distant = !has_near || own_revision == 0 || behind > NEAREST_SOURCE_WAIT;
        (is_near(best) || may_be_distant).then(|| best.clone())
    }

    /// Decides whether this entry follows the store itself: because it is one of the fleet's
    /// followers, or because it is isolated.
    fn update_follows(&mut self) {
        let now = Instant::now();
        let position = self.position(&self.hello.vm);
        let sources = if self.is_left_behind(now) {
            Sources::default()
        } else {
            contact::summarize(self.contacts(now), position)
        };
        let turn = TAKEOVER_INTERVAL * takeover_round(position);
        let isolation = self.isolation.next(now, sources, turn);
        self.set_isolation(isolation, now);
        let is_settled = now - self.started_at > STARTUP_DELAY;
        let is_follower = is_settled && position < FOLLOWERS && !self.succession.is_empty();
        let follows = is_follower || isolation.follows();
        self.follows.send_if_modified(|current| std::mem::replace(current, follows) != follows);
        self.mirror.set_distance(self.distance(follows, now));
    }

    /// Whether sources have had changes for too long that they have not sent.
    fn is_left_behind(&self, now: Instant) -> bool {
        let has_copy = self.mirror.revision().is_some();
        has_copy && self.behind_since.is_some_and(|since| now - since > BEHIND_LIMIT)
    }

    /// Number of entries between this one and the store.
    fn distance(&self, follows: bool, now: Instant) -> Option<u8> {
        if follows && !self.mirror.is_cut_off() {
            return Some(0);
        }
        contact::distance(self.contacts(now))
    }

    fn contacts(&self, now: Instant) -> impl Iterator<Item = Contact> {
        self.sources.keys().filter_map(move |vm| self.contact(vm, now))
    }

    /// What a source last told.
    fn contact(&self, vm: &str, now: Instant) -> Option<Contact> {
        let source = self.sources.get(vm)?;
        let (head, _) = source.last_head.as_ref()?;
        let follower = self.position(head.follower.as_deref().unwrap_or(vm));
        Some(Contact { age: source.age(now), distance: head.distance, follower })
    }

    /// Position in the succession; entries that are not listed come last.
    fn position(&self, vm: &str) -> usize {
        let position = self.succession.iter().position(|other| other == vm);
        position.unwrap_or(self.succession.len())
    }

    fn set_isolation(&mut self, isolation: Isolation, now: Instant) {
        let previous = std::mem::replace(&mut self.isolation, isolation);
        if previous == Isolation::Connected && isolation != Isolation::Connected {
            let sources: Vec<String> =
                self.sources.iter().map(|(vm, source)| source.describe(vm, now)).collect();
            let revision = self.mirror.revision();
            tracing::warn!(revision, sources = sources.join("; "), "no source is up to date");
        }
        if previous != Isolation::Connected && isolation == Isolation::Connected {
            tracing::info!("a source is up to date");
        }
    }
}

//! Updates the mirror from other entries, and decides when this entry has to follow the store
//! itself.

use crate::feed::contact::{self, Contact};
use crate::feed::groups::{Statuses, TimedStatus, merge_status};
use crate::feed::isolation::{Isolation, Sources};
use crate::feed::mirror::Mirror;
use crate::feed::transport::{Connect, FeedLink};
use crate::feed::{FeedMessage, FeedRequest, Head};
use flamingowheel_policy::topology::{EntryRef, FOLLOWERS, Topology, takeover_round};
use flamingowheel_protocol::message::Hello;
use rand::seq::IndexedRandom;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

/// Time between checks of the sources.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Pause before reconnecting to an entry.
const RECONNECT_PAUSE: Duration = Duration::from_millis(300);

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

/// Time without a status of groups after which another source is asked for it.
const STATUSES_TIMEOUT: Duration = Duration::from_millis(800);

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

/// A message from a source; `None` when its connection has ended or can't be opened.
#[derive(Debug)]
struct Event {
    vm: String,
    message: Option<FeedMessage>,
}

#[derive(Debug)]
struct Source {
    address: SocketAddr,
    stop: CancellationToken,
    requests: mpsc::Sender<FeedRequest>,
    last_head: Option<(Head, Instant)>,
    /// When it was asked for changes that it has not sent yet.
    asked_at: Option<Instant>,
    /// When the source was asked for statuses of groups; `None` if it is not to send any.
    statuses_requested_at: Option<Instant>,
    statuses_received_at: Option<Instant>,
}

impl Drop for Source {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Source {
    /// Time since the source's copy was complete.
    fn age(&self, now: Instant) -> Option<Duration> {
        let (head, received_at) = self.last_head.as_ref()?;
        Some(Duration::from_millis(head.age_ms?) + (now - *received_at))
    }

    /// Whether the source sends statuses of groups, or was asked recently.
    fn sends_statuses(&self, now: Instant) -> bool {
        let last = self.statuses_received_at.max(self.statuses_requested_at);
        self.statuses_requested_at.is_some() && last.is_some_and(|at| now - at < STATUSES_TIMEOUT)
    }

    /// Passes on what the source told of the store. That says nothing about a copy that lacks some
    /// of the source's changes.
    fn confirm(&self, vm: &str, mirror: &Mirror) {
        if let Some((head, received_at)) = &self.last_head
            && let Some(age_ms) = head.age_ms
            && let Some(at) = received_at.checked_sub(Duration::from_millis(age_ms))
        {
            mirror.confirm_by(Some(head.follower.as_deref().unwrap_or(vm)), head.revision, at);
        }
    }

    fn revision(&self) -> u64 {
        self.last_head.as_ref().map_or(0, |(head, _)| head.revision)
    }
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
            let source = self.open(&vm, peer.address);
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

    fn open(&self, vm: &str, address: SocketAddr) -> Source {
        let stop = CancellationToken::new();
        let (requests, request_receiver) = mpsc::channel(4);
        let connection = SourceConnection {
            vm: vm.to_owned(),
            address,
            connector: self.connector.clone(),
            events: self.events.0.clone(),
            requests: request_receiver,
        };
        let stopped = stop.clone();
        tokio::spawn(async move {
            stopped.run_until_cancelled(connection.run()).await;
        });
        Source {
            address,
            stop,
            requests,
            last_head: None,
            asked_at: None,
            statuses_requested_at: None,
            statuses_received_at: None,
        }
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
                self.sources.iter().map(|(vm, source)| describe_source(vm, source, now)).collect();
            let revision = self.mirror.revision();
            tracing::warn!(revision, sources = sources.join("; "), "no source is up to date");
        }
        if previous != Isolation::Connected && isolation == Isolation::Connected {
            tracing::info!("a source is up to date");
        }
    }
}

/// How recent one source is.
fn describe_source(vm: &str, source: &Source, now: Instant) -> String {
    let Some((head, _)) = &source.last_head else {
        return format!("{vm}: not connected");
    };
    let age = source.age(now).map_or("no".to_owned(), |age| format!("{} ms", age.as_millis()));
    let cut_off = if head.distance.is_some() { "" } else { ", cut off" };
    format!("{vm}: {age} old, revision {}{cut_off}", head.revision)
}

/// Maintains the connection to one source.
struct SourceConnection<C> {
    vm: String,
    address: SocketAddr,
    connector: C,
    events: mpsc::Sender<Event>,
    requests: mpsc::Receiver<FeedRequest>,
}

impl<C> SourceConnection<C>
where
    C: Connect,
{
    async fn run(mut self) {
        loop {
            match self.connector.connect(self.address).await {
                Ok(link) => self.forward_messages(link).await,
                Err(error) => tracing::debug!(vm = self.vm, %error, "can't connect to entry"),
            }
            if self.events.send(Event { vm: self.vm.clone(), message: None }).await.is_err() {
                return;
            }
            sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn forward_messages(&mut self, mut link: FeedLink) {
        loop {
            tokio::select! {
                message = link.receiver.recv() => {
                    if message.is_none() {
                        return;
                    }
                    let event = Event { vm: self.vm.clone(), message };
                    if self.events.send(event).await.is_err() {
                        return;
                    }
                }
                request = self.requests.recv() => {
                    let Some(request) = request else { return };
                    if link.sender.send(request).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

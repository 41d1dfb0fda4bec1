//! Fills the mirror from other entries, and decides when this one has to follow the store itself.

use crate::feed::groups::{Dated, Statuses, note_status};
use crate::feed::lone::Lone;
use crate::feed::mirror::Mirror;
use crate::feed::{Asked, Head, Told};
use flamingowheel_policy::topology::{EntryRef, Topology};
use flamingowheel_protocol::link::Link;
use flamingowheel_protocol::websocket::{Identity, connect};
use rand::seq::IndexedRandom;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

/// Time between looks at who is heard.
const TICK: Duration = Duration::from_millis(100);

/// Pause before an entry that could not be reached is tried again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(300);

/// Age of the last word from the store beyond which a source counts as cut off from it: a watch that
/// brings no news is answered sooner.
const FRESH: Duration = Duration::from_millis(3_200);

/// Time that the nearest source has to catch up before another is asked.
const NEAREST_FIRST: Duration = Duration::from_millis(150);

/// Longest wait for what was fetched.
const FETCH_LIMIT: Duration = Duration::from_millis(600);

/// Entries that are asked in turn while no source is fresh.
const RANDOM_SOURCES: usize = 2;

/// Time between two choices of such entries.
const RANDOM_INTERVAL: Duration = Duration::from_secs(1);

/// Time after a start in which the list of entries is not acted on: all may have started together, and
/// each of the first to be listed would take itself for a follower.
const SETTLING: Duration = Duration::from_millis(1_000);

/// A source that tells nothing of groups for this long is left for another.
const GROUPS_SILENCE: Duration = Duration::from_millis(800);

/// An entry that others may learn from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its data centre.
    pub data_centre: String,
    /// Where entries connect to each other.
    pub address: SocketAddr,
}

/// Live entries by VM.
pub type Members = BTreeMap<String, Peer>;

/// Learns from other entries.
#[derive(Debug)]
pub struct Reader {
    identity: Identity,
    mirror: Arc<Mirror>,
    members: watch::Receiver<Arc<Members>>,
    /// Whether this entry is to follow the store.
    follows: watch::Sender<bool>,
    sources: HashMap<String, Source>,
    events: (mpsc::Sender<Event>, mpsc::Receiver<Event>),
    randoms: (Vec<String>, Option<Instant>),
    fetching: Option<Instant>,
    behind_since: Option<Instant>,
    lone: Lone,
    started_at: Instant,
    statuses: watch::Sender<Arc<Statuses>>,
    /// Sources in the order in which they are preferred.
    preferred: Vec<String>,
    /// Whether this entry is one of those that follow the store for all.
    is_among_followers: bool,
}

/// What a connection to a source tells the reader.
#[derive(Debug)]
struct Event {
    vm: String,
    told: Option<Told>,
}

#[derive(Debug)]
struct Source {
    stop: CancellationToken,
    requests: mpsc::Sender<Asked>,
    heard: Option<(Head, Instant)>,
    /// When it was asked how groups stand, if that is still wanted.
    groups_asked_at: Option<Instant>,
    told_groups_at: Option<Instant>,
}

impl Drop for Source {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Source {
    /// The age of the last word from the store that this source tells of.
    fn age(&self, now: Instant) -> Option<Duration> {
        let (head, heard_at) = self.heard.as_ref()?;
        Some(Duration::from_millis(head.age_ms?) + (now - *heard_at))
    }

    /// Whether it tells how groups stand, or was asked to a moment ago.
    fn tells_groups(&self, now: Instant) -> bool {
        let last = self.told_groups_at.max(self.groups_asked_at);
        self.groups_asked_at.is_some() && last.is_some_and(|at| now - at < GROUPS_SILENCE)
    }

    fn revision(&self) -> u64 {
        self.heard.as_ref().map_or(0, |(head, _)| head.revision)
    }
}

impl Reader {
    /// A reader that fills `mirror`, for the entry of `identity`, and tells `follows` whether it has to
    /// follow the store itself.
    pub fn new(
        identity: Identity,
        mirror: Arc<Mirror>,
        members: watch::Receiver<Arc<Members>>,
        follows: watch::Sender<bool>,
        statuses: watch::Sender<Arc<Statuses>>,
    ) -> Self {
        Self {
            identity,
            mirror,
            members,
            follows,
            sources: HashMap::new(),
            events: mpsc::channel(64),
            randoms: (Vec::new(), None),
            fetching: None,
            behind_since: None,
            lone: Lone::at_start(Instant::now()),
            started_at: Instant::now(),
            statuses,
            preferred: Vec::new(),
            is_among_followers: false,
        }
    }

    /// Reads until dropped.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = self.events.1.recv() => self.take(event),
                changed = self.members.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.place();
                    self.connect();
                }
                _ = ticks.tick() => {
                    self.connect();
                    self.ask_for_groups();
                    self.decide();
                }
            }
            self.fetch();
        }
    }

    fn take(&mut self, event: Event) {
        let now = Instant::now();
        let Some(source) = self.sources.get_mut(&event.vm) else {
            return;
        };
        match event.told {
            None => {
                source.heard = None;
                source.groups_asked_at = None;
            }
            Some(Told::Head(head)) => {
                source.heard = Some((head, now));
                if let Some(age_ms) = head.age_ms.filter(|_| !*self.follows.borrow()) {
                    self.mirror.note_word(now, Duration::from_millis(age_ms));
                }
            }
            Some(Told::Groups(statuses)) => {
                source.told_groups_at = Some(now);
                for status in statuses {
                    note_status(&self.statuses, Dated::arrived(status));
                }
            }
            Some(Told::Delta(delta)) => {
                self.fetching = None;
                if !self.mirror.take_delta(delta, now) {
                    tracing::warn!(vm = event.vm, "what an entry told can't be read");
                }
            }
        }
    }

    /// Finds this entry's place among all.
    fn place(&mut self) {
        let members = Arc::clone(&self.members.borrow_and_update());
        let own = &self.identity.hello;
        let places =
            members.iter().map(|(vm, peer)| EntryRef { data_centre: &peer.data_centre, name: vm });
        let topology = Topology::new(places);
        let sources = topology.sources(&own.data_centre, &own.vm);
        self.preferred = sources.into_iter().map(str::to_owned).collect();
        self.is_among_followers = topology.followers().contains(&own.vm.as_str());
    }

    /// Connects to the sources that are wanted now, and to no others.
    fn connect(&mut self) {
        let members = Arc::clone(&self.members.borrow());
        let mut wanted = self.preferred.clone();
        wanted.extend(self.random_sources(&members));
        self.sources.retain(|vm, _| wanted.contains(vm) && members.contains_key(vm));
        for vm in wanted {
            let Some(peer) = members.get(&vm).filter(|_| !self.sources.contains_key(&vm)) else {
                continue;
            };
            let source = self.open(&vm, peer.address);
            self.sources.insert(vm, source);
        }
    }

    /// Has one source tell how groups stand, the first that does. Followers hear it themselves.
    fn ask_for_groups(&mut self) {
        let now = Instant::now();
        let is_needed = !*self.follows.borrow();
        if is_needed && self.sources.values().any(|source| source.tells_groups(now)) {
            return;
        }
        let is_fresh = |vm: &&String| {
            let source = self.sources.get(*vm);
            source.is_some_and(|s| s.heard.is_some() && s.groups_asked_at.is_none())
        };
        let next = self.preferred.iter().filter(|_| is_needed).find(is_fresh).cloned();
        for (vm, source) in &mut self.sources {
            if Some(vm) == next.as_ref() {
                // A full queue is tried again at the next tick.
                let is_asked = source.requests.try_send(Asked::Groups(true)).is_ok();
                source.groups_asked_at = is_asked.then_some(now);
            } else if source.groups_asked_at.is_some()
                && source.requests.try_send(Asked::Groups(false)).is_ok()
            {
                source.groups_asked_at = None;
            }
        }
    }

    /// Some entries at random while no source is fresh: one that is may be found among them.
    fn random_sources(&mut self, members: &Members) -> Vec<String> {
        let now = Instant::now();
        if self.lone == Lone::No {
            self.randoms = (Vec::new(), None);
            return Vec::new();
        }
        let (chosen, chosen_at) = &mut self.randoms;
        if chosen_at.is_none_or(|at| now - at > RANDOM_INTERVAL) {
            let own = &self.identity.hello.vm;
            let others: Vec<&String> = members.keys().filter(|vm| *vm != own).collect();
            let drawn = others.sample(&mut rand::rng(), RANDOM_SOURCES);
            *chosen = drawn.map(|vm| (*vm).clone()).collect();
            *chosen_at = Some(now);
        }
        chosen.clone()
    }

    fn open(&self, vm: &str, address: SocketAddr) -> Source {
        let stop = CancellationToken::new();
        let (requests, requested) = mpsc::channel(4);
        let connection = Keeper {
            vm: vm.to_owned(),
            address,
            identity: self.identity.clone(),
            events: self.events.0.clone(),
            requests: requested,
        };
        let stopped = stop.clone();
        tokio::spawn(async move {
            stopped.run_until_cancelled(connection.keep()).await;
        });
        Source { stop, requests, heard: None, groups_asked_at: None, told_groups_at: None }
    }

    /// Fetches what is missing: from the nearest source if it has it soon, else from any.
    fn fetch(&mut self) {
        let now = Instant::now();
        let own = self.mirror.head(now).revision;
        let newer: Vec<&String> = self
            .sources
            .iter()
            .filter(|(_, source)| source.revision() > own)
            .map(|(vm, _)| vm)
            .collect();
        if newer.is_empty() {
            self.behind_since = None;
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        if self.fetching.is_some_and(|at| now - at < FETCH_LIMIT) {
            return;
        }
        let own_data_centre = &self.identity.hello.data_centre;
        let members = self.members.borrow();
        let is_near = |vm: &&&String| {
            members.get(**vm).is_some_and(|peer| peer.data_centre == *own_data_centre)
        };
        let near = newer.iter().find(is_near);
        let has_near = self.sources.keys().any(|vm| is_near(&&vm));
        let chosen = match near {
            Some(near) => Some(near),
            None if !has_near || own == 0 || now - since > NEAREST_FIRST => newer.first(),
            None => None,
        };
        let Some(source) = chosen.and_then(|vm| self.sources.get(*vm)) else {
            return;
        };
        if source.requests.try_send(Asked::Changes { after: own }).is_ok() {
            self.fetching = Some(now);
        }
    }

    /// Decides whether this entry follows the store itself: it is one of those that do for all, or hears of
    /// no recent word from the store.
    fn decide(&mut self) {
        let now = Instant::now();
        let is_settled = now - self.started_at > SETTLING;
        let is_follower = is_settled && self.is_among_followers;
        let is_fresh = |source: &Source| source.age(now).is_some_and(|age| age < FRESH);
        let has_fresh = self.sources.values().any(is_fresh);
        let entries = self.members.borrow().len();
        self.lone = self.lone.next(now, has_fresh, entries, rand::random());
        let follows = is_follower || self.lone.follows();
        self.follows.send_if_modified(|told| std::mem::replace(told, follows) != follows);
    }
}

/// Keeps the connection to one source.
struct Keeper {
    vm: String,
    address: SocketAddr,
    identity: Identity,
    events: mpsc::Sender<Event>,
    requests: mpsc::Receiver<Asked>,
}

impl Keeper {
    async fn keep(mut self) {
        loop {
            match connect::<Asked, Told>(self.address, &self.identity).await {
                Ok(link) => self.attend(link).await,
                Err(error) => tracing::debug!(vm = self.vm, %error, "entry not reached"),
            }
            if self.events.send(Event { vm: self.vm.clone(), told: None }).await.is_err() {
                return;
            }
            sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn attend(&mut self, mut link: Link<Asked, Told>) {
        loop {
            tokio::select! {
                told = link.receiver.recv() => {
                    if told.is_none() {
                        return;
                    }
                    let event = Event { vm: self.vm.clone(), told };
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

//! An entry's copy of the key-value store.

use crate::feed::contact::MAX_SOURCE_AGE;
use crate::feed::{Delta, Head, Put};
use bytes::Bytes;
use flamingowheel_backing::kv::{KeyValueEntry, Snapshot, WatchEvent};
use flamingowheel_protocol::packed::Packed;
use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Least gain in age that an entry that does not follow the store tells others at once.
const MIN_AGE_GAIN: Duration = Duration::from_millis(400);

/// Number of deletions that are kept; an entry that lacks an older one gets all keys.
const MAX_DELETIONS: usize = 4_096;

/// Keys and values merged from several sources. Sources may lag behind each other, so a change is
/// applied only if it is newer than the key's known revision.
#[derive(Debug)]
pub struct Mirror {
    state: Mutex<State>,
    revisions: watch::Sender<u64>,
    /// Changed when there is something to tell of the contact with the store.
    contacts: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    keys: BTreeMap<String, Held>,
    deletions: usize,
    /// Number of changes of this copy so far.
    position: u64,
    /// Deletions up to this position may have been discarded.
    pruned_position: u64,
    /// Deletions up to this revision may have been discarded.
    pruned_revision: u64,
    /// Revision of the newest listing. Keys that were deleted before it may be unknown here.
    listed_revision: u64,
    outage_at: Option<Instant>,
    /// When the copy was last known to lack nothing that the store had acknowledged.
    complete_at: Option<Instant>,
    /// The follower that was told so; `None` if it is this entry.
    complete_by: Option<String>,
    /// `complete_at` when others were last told.
    told_at: Option<Instant>,
    /// Whether this entry follows the store and got no answer to its last call.
    is_cut_off: bool,
    distance: Option<u8>,
    last_update: Option<Update>,
}

/// What is held of a key.
#[derive(Debug)]
struct Held {
    /// The revision of the newest change, or, of a deletion that a listing showed, of the listing.
    revision: u64,
    /// The position of that change among the changes of this copy.
    position: u64,
    /// `None` if the key was deleted.
    value: Option<Value>,
}

/// Where changes of a copy came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// Another entry, by its VM.
    Entry(String),
}

impl Source {
    /// The value of the `source` label in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Entry(_) => "entry",
        }
    }
}

impl std::fmt::Display for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Entry(vm) => f.write_str(vm),
        }
    }
}

/// The arrival of changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Where they came from.
    pub source: Source,
    /// When they arrived.
    pub at: Instant,
    /// Time since the copy was last known to be complete without them, which is the longest that
    /// they can have been acknowledged; `None` for the first copy.
    pub max_delay: Option<Duration>,
}

/// A value and its compressed form, which is computed once for all receivers.
#[derive(Clone, Debug)]
struct Value {
    bytes: Bytes,
    packed: OnceCell<Packed>,
}

impl Value {
    fn new(bytes: Bytes) -> Self {
        Self { bytes, packed: OnceCell::new() }
    }

    fn packed(&self) -> Packed {
        self.packed.get_or_init(|| Packed::deflate(&self.bytes).unwrap_or_default()).clone()
    }
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put {
        /// The key.
        key: String,
        /// Its value.
        value: Bytes,
        /// The revision of the write.
        revision: u64,
    },
    /// The key was deleted.
    Delete(String),
}

/// Changes in the order of their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The position up to which the changes go. Not a revision: a listing may show deletions whose
    /// revisions it does not tell.
    pub position: u64,
    /// Whether keys that are not among the changes don't exist.
    pub is_whole: bool,
    /// The changes.
    pub changes: Vec<Change>,
}

impl Default for Mirror {
    fn default() -> Self {
        let (revisions, contacts) = (watch::Sender::new(0), watch::Sender::new(()));
        Self { state: Mutex::default(), revisions, contacts }
    }
}

impl Mirror {
    /// A receiver of the newest revision.
    pub fn revisions(&self) -> watch::Receiver<u64> {
        self.revisions.subscribe()
    }

    /// How recent this copy is.
    pub fn head(&self, now: Instant) -> Head {
        let state = self.lock();
        Head {
            revision: state.revision,
            age_ms: state.complete_at.map(|at| millis(now - at)),
            follower: state.complete_by.clone(),
            distance: state.distance,
        }
    }

    /// A receiver that changes with the contact with the store.
    pub fn contacts(&self) -> watch::Receiver<()> {
        self.contacts.subscribe()
    }

    /// The newest revision up to which the copy lacks nothing; `None` if there is no copy.
    pub fn revision(&self) -> Option<u64> {
        Some(self.lock().revision).filter(|revision| *revision > 0)
    }

    /// Whether this entry follows the store and got no answer to its last call.
    pub fn is_cut_off(&self) -> bool {
        self.lock().is_cut_off
    }

    /// Records the number of entries between this one and the store; `None` if there is no way.
    pub fn set_distance(&self, distance: Option<u8>) {
        let previous = std::mem::replace(&mut self.lock().distance, distance);
        if previous != distance {
            self.contacts.send_replace(());
        }
    }

    /// Records that this entry no longer follows the store.
    pub fn end_following(&self) {
        self.lock().is_cut_off = false;
    }

    /// When the store last answered none of the followers that this copy comes from.
    pub fn last_outage(&self) -> Option<Instant> {
        self.lock().outage_at
    }

    /// Time since the copy was last known to lack nothing that the store had acknowledged; `None`
    /// if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.lock().complete_at.map(|at| now - at)
    }

    /// The arrival of the newest changes; `None` as long as there is no copy.
    pub fn last_update(&self) -> Option<Update> {
        self.lock().last_update.clone()
    }

    /// Records that the store told this entry that its revision is `revision`.
    pub fn confirm(&self, revision: u64, now: Instant) {
        self.lock().is_cut_off = false;
        self.confirm_by(None, revision, now);
    }

    /// Records that the store's revision was `revision` at a time, as it told `follower`, or this
    /// entry. The copy was complete then if it goes up to that revision.
    pub fn confirm_by(&self, follower: Option<&str>, revision: u64, at: Instant) {
        let mut state = self.lock();
        if state.revision < revision || state.complete_at.is_some_and(|known| known >= at) {
            return;
        }
        if state.complete_at.is_none() {
            tracing::info!(copy = state.revision, store = revision, follower, "copy complete");
        }
        state.complete_at = Some(at);
        state.complete_by = follower.map(str::to_owned);
        // What a follower hears from another one, its readers hear as well.
        let is_worth_telling = match follower {
            None => true,
            Some(_) if state.distance == Some(0) => false,
            Some(_) => state.told_at.is_none_or(|told_at| at - told_at >= MIN_AGE_GAIN),
        };
        if is_worth_telling {
            state.told_at = Some(at);
            drop(state);
            self.contacts.send_replace(());
        }
    }

    /// Records that the store did not answer this entry. As long as it answers another follower, the
    /// store itself has no outage.
    pub fn record_failure(&self, now: Instant) {
        let mut state = self.lock();
        let is_answered = state.complete_at.is_some_and(|at| now - at < MAX_SOURCE_AGE);
        if !is_answered {
            state.outage_at = Some(now);
        }
        state.is_cut_off = true;
        drop(state);
        self.contacts.send_replace(());
    }

    /// Applies a snapshot of all keys. It may be older than this copy, and some of its entries newer
    /// than its revision.
    pub fn apply_snapshot(&self, snapshot: Snapshot) {
        let revision = snapshot.revision.0;
        let puts = snapshot.entries.into_iter().map(|entry| {
            let KeyValueEntry { key, value, mod_revision, .. } = entry;
            (key, value, mod_revision.0)
        });
        self.update(Source::Store, |state| state.apply_complete(revision, puts.collect()));
    }

    /// Applies an event of a watch. The copy's revision advances only with progress events: several
    /// keys may be written at one revision, and other entries fetch the changes after the revision
    /// that they were sent.
    pub fn apply_event(&self, event: WatchEvent) {
        self.update(Source::Store, |state| match event {
            WatchEvent::Put(entry) => {
                state.set(entry.key, entry.mod_revision.0, Some(entry.value));
            }
            WatchEvent::Delete { key, revision } => state.set(key, revision.0, None),
            WatchEvent::Progress { revision } => state.revision = state.revision.max(revision.0),
            WatchEvent::Compacted { .. } => {}
        });
    }

    /// Applies a delta from the entry on `vm`. Returns `false` if it is malformed.
    pub fn apply_delta(&self, vm: &str, delta: Delta, now: Instant) -> bool {
        let read = |put: Put| {
            let value = put.value.inflate()?;
            Some((put.key, Bytes::from(value), put.revision))
        };
        let Some(puts) = delta.puts.into_iter().map(read).collect::<Option<Vec<_>>>() else {
            return false;
        };
        let outage_at =
            delta.outage_age_ms.and_then(|age_ms| now.checked_sub(Duration::from_millis(age_ms)));
        self.update(Source::Entry(vm.to_owned()), |state| {
            state.outage_at = state.outage_at.max(outage_at);
            if delta.is_whole {
                state.apply_complete(delta.revision, puts);
                return;
            }
            for (key, value, revision) in puts {
                state.set(key, revision, Some(value));
            }
            for (key, revision) in delta.deletes {
                state.set(key, revision, None);
            }
            state.revision = state.revision.max(delta.revision);
        });
        true
    }

    /// The changes after a revision, to send to another entry.
    ///
    /// ```
    /// use flamingowheel_backing::kv::{Revision, WatchEvent};
    /// use flamingowheel_gateway::feed::mirror::Mirror;
    /// let (from, to) = (Mirror::default(), Mirror::default());
    /// from.apply_event(WatchEvent::Delete { key: "k".to_owned(), revision: Revision(7) });
    /// from.apply_event(WatchEvent::Progress { revision: Revision(7) });
    /// let now = tokio::time::Instant::now();
    /// assert!(to.apply_delta("vm-1", from.delta(3, now), now));
    /// assert_eq!(to.head(now).revision, 7);
    /// ```
    pub fn delta(&self, after: u64, now: Instant) -> Delta {
        let state = self.lock();
        // The receiver may hold keys whose deletion this copy never saw.
        let has_all_deletions = after >= state.pruned_revision.max(state.listed_revision);
        let is_whole = after == 0 || !has_all_deletions;
        let mut delta = Delta {
            revision: state.revision,
            is_whole,
            outage_age_ms: state.outage_at.map(|at| millis(now - at)),
            ..Delta::default()
        };
        let after = if is_whole { 0 } else { after };
        for (key, held) in state.keys.iter().filter(|(_, held)| held.revision > after) {
            let revision = held.revision;
            match &held.value {
                Some(value) => {
                    delta.puts.push(Put { key: key.clone(), value: value.packed(), revision })
                }
                None if is_whole => {}
                None => delta.deletes.push((key.clone(), revision)),
            }
        }
        delta
    }

    /// The changes after a position, for use in this process; 0 for all keys.
    pub fn changes(&self, after: u64) -> Changes {
        let state = self.lock();
        let is_whole = after < state.pruned_position || after == 0;
        let after = if is_whole { 0 } else { after };
        let newer = state.keys.iter().filter(|(_, held)| held.position > after);
        let changes = newer.filter_map(|(key, held)| match &held.value {
            Some(value) => Some(Change::Put {
                key: key.clone(),
                value: value.bytes.clone(),
                revision: held.revision,
            }),
            None => (!is_whole).then(|| Change::Delete(key.clone())),
        });
        Changes { position: state.position, is_whole, changes: changes.collect() }
    }

    fn update<F>(&self, source: Source, update: F)
    where
        F: FnOnce(&mut State),
    {
        let revision = {
            let mut state = self.lock();
            let previous = state.revision;
            update(&mut state);
            state.prune_deletions();
            if state.revision > previous {
                let at = Instant::now();
                let max_delay = state.complete_at.map(|complete_at| at - complete_at);
                state.last_update = Some(Update { source, at, max_delay });
            }
            state.revision
        };
        self.revisions.send_if_modified(|current| std::mem::replace(current, revision) != revision);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn set(&mut self, key: String, revision: u64, value: Option<Bytes>) {
        // An absent key counts as deleted at the copy's revision.
        let known_revision = self.keys.get(&key).map_or(self.revision, |held| held.revision);
        if revision > known_revision {
            self.write(key, revision, value);
        }
    }

    fn write(&mut self, key: String, revision: u64, value: Option<Bytes>) {
        self.position += 1;
        let is_deletion = value.is_none();
        let held = Held { revision, position: self.position, value: value.map(Value::new) };
        let old = self.keys.insert(key, held);
        let was_deletion = old.is_some_and(|old| old.value.is_none());
        self.deletions = self.deletions + usize::from(is_deletion) - usize::from(was_deletion);
    }

    /// Applies a complete list of keys at a revision: keys that are not listed and not newer were
    /// deleted.
    fn apply_complete(&mut self, revision: u64, puts: Vec<(String, Bytes, u64)>) {
        let listed: std::collections::HashSet<&str> =
            puts.iter().map(|(key, _, _)| key.as_str()).collect();
        let is_deleted = |(key, held): &(&String, &Held)| {
            held.value.is_some() && held.revision <= revision && !listed.contains(key.as_str())
        };
        let deleted_keys: Vec<String> =
            self.keys.iter().filter(is_deleted).map(|(key, _)| key.clone()).collect();
        for key in deleted_keys {
            self.write(key, revision, None);
        }
        for (key, value, revision) in puts {
            self.set(key, revision, Some(value));
        }
        self.revision = self.revision.max(revision);
        self.listed_revision = self.listed_revision.max(revision);
    }

    fn prune_deletions(&mut self) {
        while self.deletions > MAX_DELETIONS {
            let deleted = self.keys.iter().filter(|(_, held)| held.value.is_none());
            let oldest = deleted.min_by_key(|(_, held)| held.revision).map(|(key, _)| key.clone());
            let Some(held) = oldest.and_then(|key| self.keys.remove(&key)) else {
                return;
            };
            self.pruned_revision = self.pruned_revision.max(held.revision);
            self.pruned_position = self.pruned_position.max(held.position);
            self.deletions -= 1;
        }
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

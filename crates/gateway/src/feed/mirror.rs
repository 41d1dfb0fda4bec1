//! An entry's copy of what the key-value store holds.

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

/// Deletions that are remembered; whoever lacks an older one gets everything.
const MAX_DELETIONS: usize = 4_096;

/// Keys with their values, from whatever source told them last. Sources may lag behind each other, so
/// every change counts only if it is newer than what is known of its key.
#[derive(Debug)]
pub struct Mirror {
    known: Mutex<Known>,
    revisions: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Known {
    revision: u64,
    /// `None` as value: deleted.
    keys: BTreeMap<String, (u64, Option<Value>)>,
    deletions: usize,
    /// Deletions up to this revision are forgotten.
    forgotten: u64,
    word_at: Option<Instant>,
    outage_at: Option<Instant>,
}

/// A value, and the same as it is sent to others: a large one is packed once for all of them.
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

/// One change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was written.
    Put(String, Bytes),
    /// It was deleted.
    Delete(String),
}

/// Changes in the order of their keys, and the revision up to which they go.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The revision.
    pub revision: u64,
    /// Whether keys that are not among them don't exist.
    pub is_whole: bool,
    /// The changes.
    pub changes: Vec<Change>,
}

impl Default for Mirror {
    fn default() -> Self {
        Self { known: Mutex::default(), revisions: watch::Sender::new(0) }
    }
}

impl Mirror {
    /// Revisions as they become known.
    pub fn revisions(&self) -> watch::Receiver<u64> {
        self.revisions.subscribe()
    }

    /// How new this is.
    pub fn head(&self, now: Instant) -> Head {
        let known = self.lock();
        Head { revision: known.revision, age_ms: known.word_at.map(|at| millis(now - at)) }
    }

    /// How long ago the store answered, whoever asked it; `None` if it never did.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.lock().word_at.map(|at| now - at)
    }

    /// When the store was last out of reach of whoever told what is known.
    pub fn last_outage(&self) -> Option<Instant> {
        self.lock().outage_at
    }

    /// Notes that the store answered somebody `age` ago.
    pub fn note_word(&self, now: Instant, age: Duration) {
        let word_at = now.checked_sub(age);
        let mut known = self.lock();
        known.word_at = known.word_at.max(word_at);
    }

    /// Notes that the store can't be reached.
    pub fn note_outage(&self, now: Instant) {
        self.lock().outage_at = Some(now);
    }

    /// Takes in everything that was read at one revision. It may be older than what is known.
    pub fn take_snapshot(&self, snapshot: Snapshot) {
        let revision = snapshot.revision.0;
        let puts = snapshot.entries.into_iter().map(|entry| {
            let KeyValueEntry { key, value, mod_revision, .. } = entry;
            (key, value, mod_revision.0)
        });
        self.change(|known| known.take_whole(revision, puts.collect()));
    }

    /// Takes in what a watch tells. Only with its progress is a revision known: several keys may be written
    /// at one, and others fetch what lies after the revision that they were told.
    pub fn take_event(&self, event: WatchEvent) {
        self.change(|known| match event {
            WatchEvent::Put(entry) => {
                known.set(entry.key, entry.mod_revision.0, Some(entry.value));
            }
            WatchEvent::Delete { key, revision } => known.set(key, revision.0, None),
            WatchEvent::Progress { revision } => known.revision = known.revision.max(revision.0),
            WatchEvent::Compacted { .. } => {}
        });
    }

    /// Takes in what another entry sent. Returns whether it could be read.
    pub fn take_delta(&self, delta: Delta, now: Instant) -> bool {
        let read = |put: Put| {
            let value = put.value.inflate()?;
            Some((put.key, Bytes::from(value), put.revision))
        };
        let Some(puts) = delta.puts.into_iter().map(read).collect::<Option<Vec<_>>>() else {
            return false;
        };
        let outage_at =
            delta.outage_age_ms.and_then(|age_ms| now.checked_sub(Duration::from_millis(age_ms)));
        self.change(|known| {
            known.outage_at = known.outage_at.max(outage_at);
            if delta.is_whole {
                known.take_whole(delta.revision, puts);
                return;
            }
            for (key, value, revision) in puts {
                known.set(key, revision, Some(value));
            }
            for (key, revision) in delta.deletes {
                known.set(key, revision, None);
            }
            known.revision = known.revision.max(delta.revision);
        });
        true
    }

    /// What changed after a revision, for another entry.
    ///
    /// ```
    /// use flamingowheel_backing::kv::{Revision, WatchEvent};
    /// use flamingowheel_gateway::feed::mirror::Mirror;
    /// let (from, to) = (Mirror::default(), Mirror::default());
    /// from.take_event(WatchEvent::Delete { key: "k".to_owned(), revision: Revision(7) });
    /// from.take_event(WatchEvent::Progress { revision: Revision(7) });
    /// let now = tokio::time::Instant::now();
    /// assert!(to.take_delta(from.delta(3, now), now));
    /// assert_eq!(to.head(now).revision, 7);
    /// ```
    pub fn delta(&self, after: u64, now: Instant) -> Delta {
        let known = self.lock();
        let is_whole = after < known.forgotten || after == 0;
        let mut delta = Delta {
            revision: known.revision,
            is_whole,
            outage_age_ms: known.outage_at.map(|at| millis(now - at)),
            ..Delta::default()
        };
        for (key, (revision, value)) in known.keys.iter().filter(|(_, (r, _))| *r > after) {
            match value {
                Some(value) => delta.puts.push(Put {
                    key: key.clone(),
                    value: value.packed(),
                    revision: *revision,
                }),
                None if is_whole => {}
                None => delta.deletes.push((key.clone(), *revision)),
            }
        }
        delta
    }

    /// What changed after a revision, for this entry.
    pub fn changes(&self, after: u64) -> Changes {
        let known = self.lock();
        let is_whole = after < known.forgotten || after == 0;
        let newer = known.keys.iter().filter(|(_, (revision, _))| *revision > after);
        let changes = newer.filter_map(|(key, (_, value))| match value {
            Some(value) => Some(Change::Put(key.clone(), value.bytes.clone())),
            None => (!is_whole).then(|| Change::Delete(key.clone())),
        });
        Changes { revision: known.revision, is_whole, changes: changes.collect() }
    }

    fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut Known),
    {
        let revision = {
            let mut known = self.lock();
            change(&mut known);
            known.forget_deletions();
            known.revision
        };
        self.revisions.send_if_modified(|told| std::mem::replace(told, revision) != revision);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Known {
    fn set(&mut self, key: String, revision: u64, value: Option<Bytes>) {
        // Of a key that is not here, what was written up to the revision that is known has been deleted.
        let known = self.keys.get(&key).map_or(self.revision, |(known, _)| *known);
        if revision <= known {
            return;
        }
        let is_deletion = value.is_none();
        let old = self.keys.insert(key, (revision, value.map(Value::new)));
        let was_deletion = matches!(old, Some((_, None)));
        self.deletions = self.deletions + usize::from(is_deletion) - usize::from(was_deletion);
    }

    /// What is known, not listed and not newer was deleted.
    fn take_whole(&mut self, revision: u64, puts: Vec<(String, Bytes, u64)>) {
        let listed: std::collections::HashSet<&str> =
            puts.iter().map(|(key, _, _)| key.as_str()).collect();
        let is_gone = |(key, (known, value)): &(&String, &(u64, Option<Value>))| {
            value.is_some() && *known <= revision && !listed.contains(key.as_str())
        };
        let gone: Vec<String> =
            self.keys.iter().filter(is_gone).map(|(key, _)| key.clone()).collect();
        for key in gone {
            if let Some((known, value)) = self.keys.get_mut(&key) {
                (*known, *value) = (revision, None);
                self.deletions += 1;
            }
        }
        for (key, value, revision) in puts {
            self.set(key, revision, Some(value));
        }
        self.revision = self.revision.max(revision);
    }

    fn forget_deletions(&mut self) {
        while self.deletions > MAX_DELETIONS {
            let deleted = self.keys.iter().filter(|(_, (_, value))| value.is_none());
            let Some((key, revision)) = deleted
                .map(|(key, (revision, _))| (key.clone(), *revision))
                .min_by_key(|(_, r)| *r)
            else {
                return;
            };
            self.keys.remove(&key);
            self.forgotten = self.forgotten.max(revision);
            self.deletions -= 1;
        }
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

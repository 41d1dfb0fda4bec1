//! What the agent remembers of attempts and tickets, in windows of its own uptime.
//!
//! "Not run" may only be said of work that can't run later. The network can deliver a dispatch
//! late or twice, so the agent remembers every attempt it answered, and a message that names a
//! window older than its memory is never run. So forgetting a window is safe: what is forgotten
//! is refused.

use crate::config::AgentConfig;
use crate::execution::Execution;
use crate::stored::StoredBytes;
use flamingowheel_protocol::id::{AttemptId, ExecutionKey, Window};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use tokio::time::Instant;

/// The part of the tickets' records, beyond their bound, that tickets given up may take.
const TOMBSTONE_SHARE: usize = 4;

/// What is known of a key.
#[derive(Clone, Debug)]
pub enum Record {
    /// It did not run and never will.
    Tombstone,
    /// It is queued, running or finished.
    Execution(Arc<Execution>),
}

/// The store is full and nothing in it may be forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("record store full")]
pub struct RecordsFull;

/// Keys of one kind, by the window in which they were filed.
#[derive(Debug, Default)]
struct Shelf {
    records: HashMap<ExecutionKey, Record>,
    windows: BTreeMap<Window, Vec<ExecutionKey>>,
    oldest: Window,
}

impl Shelf {
    fn insert(&mut self, window: Window, key: ExecutionKey, record: Record) {
        if self.records.insert(key, record).is_none() {
            self.windows.entry(window).or_default().push(key);
        }
    }

    /// Closes all windows before `oldest`. Work in progress moves on to the window `now`.
    fn close_before(&mut self, oldest: Window, now: Window) {
        self.oldest = self.oldest.max(oldest);
        let kept = self.windows.split_off(&self.oldest);
        let closed = std::mem::replace(&mut self.windows, kept);
        for key in closed.into_values().flatten() {
            let running =
                matches!(self.records.get(&key), Some(Record::Execution(e)) if !e.is_over());
            if running {
                self.windows.entry(now).or_default().push(key);
            } else {
                self.records.remove(&key);
            }
        }
    }
}

/// All records of an agent.
#[derive(Debug)]
pub struct Records {
    started: Instant,
    window_ms: u64,
    attempt_windows: u32,
    ticket_windows: u32,
    max_attempts: usize,
    max_tickets: usize,
    max_bytes: usize,
    max_attempt_bytes: usize,
    stored: StoredBytes,
    stored_of_attempts: StoredBytes,
    attempts: Shelf,
    tickets: Shelf,
}

impl Records {
    /// An empty store for a process that starts now.
    pub fn new(config: &AgentConfig) -> Self {
        Self {
            started: Instant::now(),
            window_ms: config.window.as_millis().max(1) as u64,
            attempt_windows: config.attempt_windows,
            ticket_windows: config.ticket_windows,
            max_attempts: config.max_attempt_records,
            max_tickets: config.max_ticket_records,
            max_bytes: config.max_record_bytes,
            max_attempt_bytes: config.max_attempt_bytes,
            stored: StoredBytes::default(),
            stored_of_attempts: StoredBytes::default(),
            attempts: Shelf::default(),
            tickets: Shelf::default(),
        }
    }

    /// The present window. Starts at 1, so that 0 is older than anything.
    pub fn window(&self) -> Window {
        let uptime_ms = self.started.elapsed().as_millis() as u64;
        Window((uptime_ms / self.window_ms) as u32 + 1)
    }

    /// Forgets what is older than the configured time.
    pub fn expire(&mut self) {
        let now = self.window();
        self.attempts.close_before(Window(now.0.saturating_sub(self.attempt_windows)), now);
        self.tickets.close_before(Window(now.0.saturating_sub(self.ticket_windows)), now);
    }

    /// What is known of a key.
    pub fn get(&self, key: ExecutionKey) -> Option<&Record> {
        self.shelf(key).records.get(&key)
    }

    /// Whether this very attempt was told that it does not run.
    pub fn has_tombstone(&self, attempt: AttemptId) -> bool {
        matches!(self.get(ExecutionKey::Attempt(attempt)), Some(Record::Tombstone))
    }

    /// Whether `window` is older than the records for `key` reach, so that its absence proves
    /// nothing.
    pub fn is_outside_retention(&self, key: ExecutionKey, window: Window) -> bool {
        let window = match key {
            ExecutionKey::Attempt(_) => window,
            ExecutionKey::Ticket { window, .. } => window,
        };
        window < self.shelf(key).oldest || window > self.window()
    }

    /// Files an execution. The number of attempts always finds room, since closing old windows is
    /// safe; that of tickets does not, since closing their windows early would break the promised
    /// record time. Bytes of answers have a bound of their own for either: work orders must not be
    /// kept out by what others stream.
    pub fn insert(
        &mut self,
        key: ExecutionKey,
        execution: Arc<Execution>,
    ) -> Result<(), RecordsFull> {
        match key {
            ExecutionKey::Attempt(_) if self.stored_of_attempts.get() >= self.max_attempt_bytes => {
                return Err(RecordsFull);
            }
            ExecutionKey::Attempt(_) => self.make_room(),
            ExecutionKey::Ticket { .. } if !self.has_room() => return Err(RecordsFull),
            ExecutionKey::Ticket { .. } => {}
        }
        let window = self.filing_window(key);
        self.shelf_mut(key).insert(window, key, Record::Execution(execution));
        Ok(())
    }

    /// Makes sure that an attempt can't run from now on.
    pub fn add_attempt_tombstone(&mut self, attempt: AttemptId) {
        self.make_room();
        let key = ExecutionKey::Attempt(attempt);
        let window = self.window();
        self.attempts.insert(window, key, Record::Tombstone);
    }

    /// Makes sure that a key can't run from now on.
    pub fn add_tombstone(&mut self, key: ExecutionKey) -> Result<(), RecordsFull> {
        if let ExecutionKey::Attempt(attempt) = key {
            self.add_attempt_tombstone(attempt);
            return Ok(());
        }
        let known = self.tickets.records.contains_key(&key);
        if !known && self.tickets.records.len() >= self.max_tombstones() {
            return Err(RecordsFull);
        }
        let window = self.filing_window(key);
        self.tickets.insert(window, key, Record::Tombstone);
        Ok(())
    }

    /// Takes a ticket's record out again, because its work provably did not start.
    pub fn remove_ticket(&mut self, key: ExecutionKey) {
        if matches!(key, ExecutionKey::Ticket { .. }) {
            self.tickets.records.remove(&key);
        }
    }

    /// The oldest window whose tickets are all on record.
    pub fn oldest_ticket_window(&self) -> Window {
        self.tickets.oldest
    }

    /// Where the answer filed under `key` is counted.
    pub fn stored_bytes(&self, key: ExecutionKey) -> &StoredBytes {
        match key {
            ExecutionKey::Attempt(_) => &self.stored_of_attempts,
            ExecutionKey::Ticket { .. } => &self.stored,
        }
    }

    /// Number of records kept.
    pub fn len(&self) -> usize {
        self.attempts.records.len() + self.tickets.records.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All executions that are known.
    pub fn executions(&self) -> impl Iterator<Item = (&ExecutionKey, &Arc<Execution>)> {
        let all = self.attempts.records.iter().chain(&self.tickets.records);
        all.filter_map(|(key, record)| match record {
            Record::Execution(execution) => Some((key, execution)),
            Record::Tombstone => None,
        })
    }

    /// How many tickets' records there may be when one more is given up. Work stops at
    /// `max_tickets`; without room beyond it an agent that is full could prove nothing of a ticket
    /// that it refuses, and its work could go nowhere else.
    fn max_tombstones(&self) -> usize {
        self.max_tickets + self.max_tickets / TOMBSTONE_SHARE + 1
    }

    /// Whether another ticket's answer may be stored. What runs already may exceed the bound by
    /// its own answers; those are bounded each.
    fn has_room(&self) -> bool {
        self.tickets.records.len() < self.max_tickets && self.stored.get() < self.max_bytes
    }

    fn make_room(&mut self) {
        let now = self.window();
        while self.attempts.records.len() >= self.max_attempts {
            let Some(first) = self.attempts.windows.keys().next().copied() else { return };
            self.attempts.close_before(Window(first.0 + 1), now);
            // With the present window closed too, everything is refused until the next one
            // begins; running work is still on record, so the loop would not end.
            if first >= now {
                return;
            }
        }
    }

    /// A ticket is filed under its own window, so that it is forgotten exactly when resends of it
    /// begin to be refused.
    fn filing_window(&self, key: ExecutionKey) -> Window {
        match key {
            ExecutionKey::Attempt(_) => self.window(),
            ExecutionKey::Ticket { window, .. } => window,
        }
    }

    fn shelf(&self, key: ExecutionKey) -> &Shelf {
        match key {
            ExecutionKey::Attempt(_) => &self.attempts,
            ExecutionKey::Ticket { .. } => &self.tickets,
        }
    }

    fn shelf_mut(&mut self, key: ExecutionKey) -> &mut Shelf {
        match key {
            ExecutionKey::Attempt(_) => &mut self.attempts,
            ExecutionKey::Ticket { .. } => &mut self.tickets,
        }
    }
}

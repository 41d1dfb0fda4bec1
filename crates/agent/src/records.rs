//! Records of attempts and tickets, kept in windows of the agent's uptime.
//!
//! The outcome "not run" may only be given for a request that can't run later. The network can
//! deliver a dispatch late or twice, so the agent records every attempt that it answered, and never
//! runs a dispatch from a window that is older than its records. So dropping a window is safe: its
//! dispatches are refused from then on.

use crate::config::AgentConfig;
use crate::execution::Execution;
use crate::stored::StoredBytes;
use flamingowheel_protocol::id::{AttemptId, ExecutionKey, Window};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use tokio::time::Instant;

/// Tombstones may take the number of ticket records beyond its bound by the bound divided by this.
const TOMBSTONE_SHARE: usize = 4;

/// Record of an attempt or a ticket.
#[derive(Clone, Debug)]
pub enum Record {
    /// The request did not run and must never run.
    Tombstone,
    /// The request is queued, running or finished.
    Execution(Arc<Execution>),
}

/// The bound on records or their bytes is reached, and no record may be dropped early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("record store full")]
pub struct RecordsFull;

/// Records of one kind, with their keys by window.
#[derive(Debug, Default)]
struct RecordTable {
    records: HashMap<ExecutionKey, Record>,
    windows: BTreeMap<Window, Vec<ExecutionKey>>,
    oldest: Window,
}

impl RecordTable {
    fn insert(&mut self, window: Window, key: ExecutionKey, record: Record) {
        if self.records.insert(key, record).is_none() {
            self.windows.entry(window).or_default().push(key);
        }
    }

    /// Drops all windows before `oldest`. Requests in progress move to the window `now`.
    fn drop_before(&mut self, oldest: Window, now: Window) {
        self.oldest = self.oldest.max(oldest);
        let kept = self.windows.split_off(&self.oldest);
        let dropped = std::mem::replace(&mut self.windows, kept);
        for key in dropped.into_values().flatten() {
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

/// All records of an agent process.
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
    ticket_bytes: StoredBytes,
    attempt_bytes: StoredBytes,
    attempts: RecordTable,
    tickets: RecordTable,
}

impl Records {
    /// An empty store; its first window begins now.
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
            ticket_bytes: StoredBytes::default(),
            attempt_bytes: StoredBytes::default(),
            attempts: RecordTable::default(),
            tickets: RecordTable::default(),
        }
    }

    /// The present window. Windows begin at 1, so 0 is older than all of them.
    pub fn window(&self) -> Window {
        let uptime_ms = self.started.elapsed().as_millis() as u64;
        Window((uptime_ms / self.window_ms) as u32 + 1)
    }

    /// Drops windows that are older than the configured number of windows.
    pub fn expire(&mut self) {
        let now = self.window();
        self.attempts.drop_before(Window(now.0.saturating_sub(self.attempt_windows)), now);
        self.tickets.drop_before(Window(now.0.saturating_sub(self.ticket_windows)), now);
    }

    /// The record of a key, if there is one.
    pub fn get(&self, key: ExecutionKey) -> Option<&Record> {
        self.table(key).records.get(&key)
    }

    /// Whether this attempt has a tombstone.
    pub fn has_tombstone(&self, attempt: AttemptId) -> bool {
        matches!(self.get(ExecutionKey::Attempt(attempt)), Some(Record::Tombstone))
    }

    /// Whether the key's window, `window` for an attempt, is older than the kept records or later
    /// than the present. The absence of a record then proves nothing.
    pub fn is_outside_retention(&self, key: ExecutionKey, window: Window) -> bool {
        let window = match key {
            ExecutionKey::Attempt(_) => window,
            ExecutionKey::Ticket { window, .. } => window,
        };
        window < self.table(key).oldest || window > self.window()
    }

    /// Records an execution.
    ///
    /// At the bound on attempts old windows are dropped early, which is safe. At the bound on
    /// tickets new ones are refused, since tickets must be kept for the full retention time. Bytes
    /// of answers have separate bounds for attempts and tickets, so that answers of streams can't
    /// use up the bound for tickets.
    pub fn insert(
        &mut self,
        key: ExecutionKey,
        execution: Arc<Execution>,
    ) -> Result<(), RecordsFull> {
        match key {
            ExecutionKey::Attempt(_) if self.attempt_bytes.get() >= self.max_attempt_bytes => {
                return Err(RecordsFull);
            }
            ExecutionKey::Attempt(_) => self.evict_attempts(),
            ExecutionKey::Ticket { .. } if !self.has_room() => return Err(RecordsFull),
            ExecutionKey::Ticket { .. } => {}
        }
        let window = self.record_window(key);
        self.table_mut(key).insert(window, key, Record::Execution(execution));
        Ok(())
    }

    /// Records a tombstone, so that an attempt can't run from now on.
    pub fn add_attempt_tombstone(&mut self, attempt: AttemptId) {
        self.evict_attempts();
        let key = ExecutionKey::Attempt(attempt);
        let window = self.window();
        self.attempts.insert(window, key, Record::Tombstone);
    }

    /// Records a tombstone, so that a key can't run from now on.
    pub fn add_tombstone(&mut self, key: ExecutionKey) -> Result<(), RecordsFull> {
        if let ExecutionKey::Attempt(attempt) = key {
            self.add_attempt_tombstone(attempt);
            return Ok(());
        }
        let exists = self.tickets.records.contains_key(&key);
        if !exists && self.tickets.records.len() >= self.max_tombstones() {
            return Err(RecordsFull);
        }
        let window = self.record_window(key);
        self.tickets.insert(window, key, Record::Tombstone);
        Ok(())
    }

    /// Removes the record of a ticket whose request certainly did not start.
    pub fn remove_ticket(&mut self, key: ExecutionKey) {
        if matches!(key, ExecutionKey::Ticket { .. }) {
            self.tickets.records.remove(&key);
        }
    }

    /// The oldest window whose tickets are all recorded.
    pub fn oldest_ticket_window(&self) -> Window {
        self.tickets.oldest
    }

    /// The counter of answer bytes for keys of this kind.
    pub fn stored_bytes(&self, key: ExecutionKey) -> &StoredBytes {
        match key {
            ExecutionKey::Attempt(_) => &self.attempt_bytes,
            ExecutionKey::Ticket { .. } => &self.ticket_bytes,
        }
    }

    /// Number of records, tombstones included.
    pub fn len(&self) -> usize {
        self.attempts.records.len() + self.tickets.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All recorded executions.
    pub fn executions(&self) -> impl Iterator<Item = (&ExecutionKey, &Arc<Execution>)> {
        let all = self.attempts.records.iter().chain(&self.tickets.records);
        all.filter_map(|(key, record)| match record {
            Record::Execution(execution) => Some((key, execution)),
            Record::Tombstone => None,
        })
    }

    /// Bound on records of tickets for adding a tombstone. New executions stop at `max_tickets`.
    /// Without room beyond it, a full agent could not prove that a refused ticket never runs, and
    /// the ticket could not be run elsewhere.
    fn max_tombstones(&self) -> usize {
        self.max_tickets + self.max_tickets / TOMBSTONE_SHARE + 1
    }

    /// Whether another ticket may be recorded. Running requests may exceed the bound by their
    /// answers, each of which is bounded.
    fn has_room(&self) -> bool {
        self.tickets.records.len() < self.max_tickets && self.ticket_bytes.get() < self.max_bytes
    }

    fn evict_attempts(&mut self) {
        let now = self.window();
        while self.attempts.records.len() >= self.max_attempts {
            let Some(first) = self.attempts.windows.keys().next().copied() else { return };
            self.attempts.drop_before(Window(first.0 + 1), now);
            // The present window is closed now too, so all dispatches are refused until the next
            // one begins. Running requests keep their records, so the loop would not end.
            if first >= now {
                return;
            }
        }
    }

    /// A ticket is recorded under its own window, so that it is dropped exactly when resends of it
    /// begin to be refused.
    fn record_window(&self, key: ExecutionKey) -> Window {
        match key {
            ExecutionKey::Attempt(_) => self.window(),
            ExecutionKey::Ticket { window, .. } => window,
        }
    }

    fn table(&self, key: ExecutionKey) -> &RecordTable {
        match key {
            ExecutionKey::Attempt(_) => &self.attempts,
            ExecutionKey::Ticket { .. } => &self.tickets,
        }
    }

    fn table_mut(&mut self, key: ExecutionKey) -> &mut RecordTable {
        match key {
            ExecutionKey::Attempt(_) => &mut self.attempts,
            ExecutionKey::Ticket { .. } => &mut self.tickets,
        }
    }
}

//! What the agent knows of its engine's prefix cache, and what it tells entries of it.
//!
//! The engine's events are read every now and then and passed on in batches under numbers of the
//! agent's own, which leave one out where the engine lost events. What was known before a loss may
//! have been evicted unseen: entries trust it less with time, and after [`UNCERTAIN_BLOCK_TTL`] all but
//! what was stored since is forgotten here and there.

use flamingowheel_backing::backend;
use flamingowheel_policy::prefix::{BlockHash, CacheChange, CacheEvent};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Blocks remembered, and so the most that a snapshot holds.
pub const MAX_BLOCKS: usize = 4_096;

/// Events of the engine taken in at once; the rest is read again by the next poll.
pub const MAX_EVENTS_PER_POLL: usize = 1_024;

/// How long blocks stored before a loss of events are still passed for probable.
pub const UNCERTAIN_BLOCK_TTL: Duration = Duration::from_secs(60);

/// The engine's cache as its events tell it.
#[derive(Debug, Default)]
pub struct CacheView {
    life: u64,
    /// The engine's last event that was taken in.
    last_read: Option<u64>,
    /// The agent's last event that was passed on.
    last_told: u64,
    /// By the engine's number; the lowest is forgotten first.
    by_number: BTreeMap<u64, BlockHash>,
    numbers: HashMap<BlockHash, u64>,
    loss: Option<Loss>,
}

#[derive(Clone, Copy, Debug)]
struct Loss {
    /// The first event after the last that was lost.
    before: u64,
    at: Instant,
}

/// Which events to ask the engine for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachePoll {
    /// The engine process as counted here; an answer to an older one says nothing.
    life: u64,
    /// Events after this number are asked for.
    pub after: u64,
}

impl CacheView {
    /// What to ask next.
    pub fn next_poll(&self) -> CachePoll {
        CachePoll { life: self.life, after: self.last_read.unwrap_or(0) }
    }

    /// Takes in the answer to a poll; gives what entries should be told.
    pub fn apply_events(
        &mut self,
        poll: CachePoll,
        mut events: Vec<backend::CacheEvent>,
    ) -> Vec<CacheEvent> {
        if poll.life != self.life {
            return Vec::new();
        }
        events.sort_unstable_by_key(|event| event.number);
        let mut told = Vec::new();
        if events.first().is_some_and(|event| event.number <= poll.after) {
            // Numbers fell: an engine that counts anew answered, whatever was asked for.
            told.push(self.reset());
        }
        events.truncate(MAX_EVENTS_PER_POLL);
        for event in events {
            self.take(&event, &mut told);
        }
        told
    }

    /// The engine is another process: its cache is empty and it counts anew.
    pub fn reset(&mut self) -> CacheEvent {
        let (life, last_told) = (self.life + 1, self.last_told + 1);
        *self = Self { life, last_told, ..Self::default() };
        self.snapshot()
    }

    /// Forgets what has been in doubt for too long; gives what entries should be told.
    pub fn expire_uncertain(&mut self) -> Option<CacheEvent> {
        if self.loss?.at.elapsed() < UNCERTAIN_BLOCK_TTL {
            return None;
        }
        self.last_told += 1;
        let snapshot = self.snapshot();
        let loss = self.loss.take()?;
        self.by_number = self.by_number.split_off(&loss.before);
        self.numbers.retain(|_, number| *number >= loss.before);
        Some(snapshot)
    }

    /// All that is known for certain as of the last event told.
    pub fn snapshot(&self) -> CacheEvent {
        let from = self.loss.map_or(0, |loss| loss.before);
        let blocks = self.by_number.range(from..).map(|(_, block)| *block).collect();
        CacheEvent { number: self.last_told, change: CacheChange::Snapshot(blocks) }
    }

    fn take(&mut self, event: &backend::CacheEvent, told: &mut Vec<CacheEvent>) {
        let is_next = self.last_read.is_none_or(|last| event.number == last + 1);
        if !is_next {
            // Doubt is counted from the first loss, or losses that go on would never let it end.
            let at = self.loss.map_or_else(Instant::now, |loss| loss.at);
            self.loss = Some(Loss { before: event.number, at });
            self.last_told += 1;
        }
        self.last_read = Some(event.number);
        let block = BlockHash(event.block_hash);
        self.forget(block);
        if event.stored {
            self.remember(event.number, block);
        }
        self.tell(block, event.stored, is_next, told);
    }

    /// Adds to the last change if it is of the same kind, so that a batch has few numbers.
    fn tell(&mut self, block: BlockHash, stored: bool, is_next: bool, told: &mut Vec<CacheEvent>) {
        let last = told.last_mut().filter(|_| is_next).map(|event| &mut event.change);
        match (last, stored) {
            (Some(CacheChange::Stored(blocks)), true)
            | (Some(CacheChange::Removed(blocks)), false) => {
                blocks.push(block);
                return;
            }
            _ => {}
        }
        self.last_told += 1;
        let change = match stored {
            true => CacheChange::Stored(vec![block]),
            false => CacheChange::Removed(vec![block]),
        };
        told.push(CacheEvent { number: self.last_told, change });
    }

    fn remember(&mut self, number: u64, block: BlockHash) {
        if self.numbers.len() == MAX_BLOCKS
            && let Some((_, oldest)) = self.by_number.pop_first()
        {
            self.numbers.remove(&oldest);
        }
        self.numbers.insert(block, number);
        self.by_number.insert(number, block);
    }

    fn forget(&mut self, block: BlockHash) {
        if let Some(number) = self.numbers.remove(&block) {
            self.by_number.remove(&number);
        }
    }
}

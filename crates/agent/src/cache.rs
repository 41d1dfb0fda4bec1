//! Mirror of the engine's prefix cache, and the events about it that are sent to entries.
//!
//! The engine's events are polled and forwarded in batches under the agent's own numbers, which
//! skip one where the engine lost events. Blocks stored before a loss may have been evicted
//! unnoticed: entries give them less weight over time, and after [`UNCERTAIN_BLOCK_TTL`] agent and
//! entries drop all blocks but those stored since.

use flamingowheel_backing::backend;
use flamingowheel_policy::prefix::{BlockHash, CacheChange, CacheEvent};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Upper bound on the blocks that are kept, and so on the size of a snapshot.
pub const MAX_BLOCKS: usize = 4_096;

/// Upper bound on the engine's events applied after one poll; the next poll reads the rest again.
pub const MAX_EVENTS_PER_POLL: usize = 1_024;

/// How long blocks stored before a loss of events are kept.
pub const UNCERTAIN_BLOCK_TTL: Duration = Duration::from_secs(60);

/// The engine's cache as its events describe it.
#[derive(Debug, Default)]
pub struct CacheView {
    generation: u64,
    /// Number of the last engine event that was applied.
    last_applied: Option<u64>,
    /// Number of the last event that was sent to entries.
    last_sent: u64,
    /// Blocks by the engine's event number; the lowest is dropped first.
    by_number: BTreeMap<u64, BlockHash>,
    numbers: HashMap<BlockHash, u64>,
    loss: Option<Loss>,
}

#[derive(Clone, Copy, Debug)]
struct Loss {
    /// Blocks stored by events before this number are uncertain.
    next_number: u64,
    at: Instant,
}

/// A query for the engine's events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachePoll {
    /// Number of resets of the view. The answer is ignored if there was another one meanwhile.
    generation: u64,
    /// The engine's events after this number are requested.
    pub after: u64,
}

impl CacheView {
    /// The next query to send to the engine.
    pub fn next_poll(&self) -> CachePoll {
        CachePoll { generation: self.generation, after: self.last_applied.unwrap_or(0) }
    }

    /// Applies the answer to a query and returns the events to send to entries.
    pub fn apply_events(
        &mut self,
        poll: CachePoll,
        mut events: Vec<backend::CacheEvent>,
    ) -> Vec<CacheEvent> {
        if poll.generation != self.generation {
            return Vec::new();
        }
        events.sort_unstable_by_key(|event| event.number);
        let mut outgoing = Vec::new();
        if events.first().is_some_and(|event| event.number <= poll.after) {
            // Numbers went back: a restarted engine answered and ignored the requested number.
            outgoing.push(self.reset());
        }
        events.truncate(MAX_EVENTS_PER_POLL);
        for event in events {
            self.apply(&event, &mut outgoing);
        }
        outgoing
    }

    /// Drops all blocks, because a new engine process has an empty cache and restarts its numbers.
    /// Returns the event to send to entries.
    pub fn reset(&mut self) -> CacheEvent {
        let (generation, last_sent) = (self.generation + 1, self.last_sent + 1);
        *self = Self { generation, last_sent, ..Self::default() };
        self.snapshot()
    }

    /// Drops blocks that have been uncertain for [`UNCERTAIN_BLOCK_TTL`] and returns the event to
    /// send to entries.
    pub fn expire_uncertain(&mut self) -> Option<CacheEvent> {
        if self.loss?.at.elapsed() < UNCERTAIN_BLOCK_TTL {
            return None;
        }
        self.last_sent += 1;
        let snapshot = self.snapshot();
        let loss = self.loss.take()?;
        self.by_number = self.by_number.split_off(&loss.next_number);
        self.numbers.retain(|_, number| *number >= loss.next_number);
        Some(snapshot)
    }

    /// All blocks that are certain to be cached, as of the last event sent.
    pub fn snapshot(&self) -> CacheEvent {
        let from = self.loss.map_or(0, |loss| loss.next_number);
        let blocks = self.by_number.range(from..).map(|(_, block)| *block).collect();
        CacheEvent { number: self.last_sent, change: CacheChange::Snapshot(blocks) }
    }

    fn apply(&mut self, event: &backend::CacheEvent, outgoing: &mut Vec<CacheEvent>) {
        let is_next = self.last_applied.is_none_or(|last| event.number == last + 1);
        if !is_next {
            // Counted from the first loss, or repeated losses would keep uncertain blocks for ever.
            let at = self.loss.map_or_else(Instant::now, |loss| loss.at);
            self.loss = Some(Loss { next_number: event.number, at });
            self.last_sent += 1;
        }
        self.last_applied = Some(event.number);
        let block = BlockHash(event.block_hash);
        self.remove_block(block);
        if event.stored {
            self.insert_block(event.number, block);
        }
        self.append_event(block, event.stored, is_next, outgoing);
    }

    /// Appends to the last event if it is of the same kind, so that a batch has few events.
    fn append_event(
        &mut self,
        block: BlockHash,
        stored: bool,
        is_next: bool,
        outgoing: &mut Vec<CacheEvent>,
    ) {
        let last = outgoing.last_mut().filter(|_| is_next).map(|event| &mut event.change);
        match (last, stored) {
            (Some(CacheChange::Stored(blocks)), true)
            | (Some(CacheChange::Removed(blocks)), false) => {
                blocks.push(block);
                return;
            }
            _ => {}
        }
        self.last_sent += 1;
        let change = match stored {
            true => CacheChange::Stored(vec![block]),
            false => CacheChange::Removed(vec![block]),
        };
        outgoing.push(CacheEvent { number: self.last_sent, change });
    }

    fn insert_block(&mut self, number: u64, block: BlockHash) {
        if self.numbers.len() == MAX_BLOCKS
            && let Some((_, oldest)) = self.by_number.pop_first()
        {
            self.numbers.remove(&oldest);
        }
        self.numbers.insert(block, number);
        self.by_number.insert(number, block);
    }

    fn remove_block(&mut self, block: BlockHash) {
        if let Some(number) = self.numbers.remove(&block) {
            self.by_number.remove(&number);
        }
    }
}

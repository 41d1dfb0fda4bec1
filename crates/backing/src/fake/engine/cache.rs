//! The engine's prefix cache and its numbered events.

use crate::backend::CacheEvent;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Number of recent events that are kept for readers.
const MAX_EVENTS: usize = 4096;

#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    blocks: VecDeque<u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    last_number: u64,
    events_to_lose: usize,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: VecDeque::new(),
            events: VecDeque::new(),
            last_number: 0,
            events_to_lose: 0,
        }
    }

    /// Numbers the next `count` events without publishing them.
    pub(super) fn lose_events(&mut self, count: usize) {
        self.events_to_lose = count;
    }

    pub(super) fn store(&mut self, hashes: &[u64]) {
        for hash in hashes {
            if self.blocks.contains(hash) {
                continue;
            }
            if self.blocks.len() == self.capacity
                && let Some(evicted) = self.blocks.pop_front()
            {
                self.publish(evicted, false);
            }
            self.blocks.push_back(*hash);
            self.publish(*hash, true);
        }
    }

    fn publish(&mut self, block_hash: u64, stored: bool) {
        self.last_number += 1;
        if self.events_to_lose > 0 {
            self.events_to_lose -= 1;
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent { number: self.last_number, block_hash, stored };
        self.events.push_back((Instant::now(), event));
    }

    pub(super) fn events(&self, after: u64, lag: Duration) -> Vec<CacheEvent> {
        let now = Instant::now();
        self.events
            .iter()
            .filter(|(at, event)| *at + lag <= now && event.number > after)
            .map(|(_, event)| event.clone())
            .collect()
    }
}

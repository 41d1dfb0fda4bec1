//! Prompts with shared prefixes, and the backend servers' prefix caches.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use flamingowheel_policy::prefix::{BlockHash, CacheChange, CacheEvent, PrefixConfig};
use rand::{Rng, RngExt};

use super::config::PromptsConfig;

pub struct Prompts {
    config: PromptsConfig,
    /// Cumulative probability of each prefix.
    cumulative: Vec<f64>,
    caches: Vec<Cache>,
    next_own_block: u64,
}

/// A cache with LRU eviction.
#[derive(Default)]
struct Cache {
    by_use: BTreeMap<u64, BlockHash>,
    uses: HashMap<BlockHash, u64>,
    next_use: u64,
    next_event: u64,
}

impl Prompts {
    pub fn new(config: PromptsConfig, servers: usize) -> Self {
        let all: f64 = (1..=config.prefixes).map(|n| 1.0 / n as f64).sum();
        let mut sum = 0.0;
        let cumulative = (1..=config.prefixes).map(|n| {
            sum += 1.0 / n as f64 / all;
            sum
        });
        let cumulative = cumulative.collect();
        let caches = (0..servers).map(|_| Cache::default()).collect();
        Self { config, cumulative, caches, next_own_block: 1 << 32 }
    }

    pub fn draw<R>(&mut self, rng: &mut R) -> Vec<BlockHash>
    where
        R: Rng,
    {
        let draw: f64 = rng.random();
        let prefix = self.cumulative.iter().position(|bound| draw < *bound).unwrap_or(0);
        let first = (prefix * self.config.prefix_blocks) as u64;
        let shared = first..first + self.config.prefix_blocks as u64;
        let own = self.next_own_block..self.next_own_block + self.config.own_blocks as u64;
        self.next_own_block = own.end;
        shared.chain(own).map(BlockHash).collect()
    }

    /// Starts a prompt. Returns how many of its blocks were cached, and the cache events that it
    /// causes.
    pub fn start(&mut self, server: usize, prompt: &[BlockHash]) -> (usize, Vec<CacheEvent>) {
        let cache = &mut self.caches[server];
        let cached = prompt.iter().take_while(|block| cache.uses.contains_key(block)).count();
        let mut stored = Vec::new();
        // Blocks are used from last to first, so that eviction shortens a prompt from its end.
        for block in prompt.iter().rev() {
            if cache.use_block(*block) {
                stored.push(*block);
            }
        }
        let removed = cache.evict(self.config.cache_blocks);
        let changes = [CacheChange::Stored(stored), CacheChange::Removed(removed)];
        (cached, changes.into_iter().map(|change| cache.event(change)).collect())
    }

    pub fn prefill(&self, blocks: usize) -> Duration {
        PrefixConfig::default().prefill_per_block.mul_f64(blocks as f64)
    }
}

impl Cache {
    /// Marks a block as used; returns whether it is new in the cache.
    fn use_block(&mut self, block: BlockHash) -> bool {
        self.next_use += 1;
        self.by_use.insert(self.next_use, block);
        let earlier = self.uses.insert(block, self.next_use);
        if let Some(earlier) = earlier {
            self.by_use.remove(&earlier);
        }
        earlier.is_none()
    }

    fn evict(&mut self, capacity: usize) -> Vec<BlockHash> {
        let mut evicted = Vec::new();
        while self.uses.len() > capacity {
            let Some((_, block)) = self.by_use.pop_first() else { break };
            self.uses.remove(&block);
            evicted.push(block);
        }
        evicted
    }

    fn event(&mut self, change: CacheChange) -> CacheEvent {
        self.next_event += 1;
        CacheEvent { number: self.next_event, change }
    }
}

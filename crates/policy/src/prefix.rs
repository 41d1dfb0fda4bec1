//! What is known of each backend server's prefix cache.
//!
//! Engines publish numbered cache events late and with gaps. Events that come out of order wait
//! for the missing ones; when those don't come, the gap is skipped and what is known of that
//! server loses weight with time, until a snapshot makes it whole. A wrong guess costs prefill time
//! and never correctness, so memory is bounded by forgetting the blocks used longest ago.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::key::ServerKey;

/// Settings of prefix knowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixConfig {
    /// Blocks remembered per backend server.
    pub max_blocks: usize,
    /// Events per backend server that wait for missing ones.
    pub max_pending: usize,
    /// Time in which knowledge with a gap loses two thirds of its weight.
    pub gap_decay: Duration,
    /// Time an engine takes to prefill one block.
    pub prefill_per_block: Duration,
}

impl Default for PrefixConfig {
    fn default() -> Self {
        Self {
            max_blocks: 16_384,
            max_pending: 64,
            gap_decay: Duration::from_secs(20),
            prefill_per_block: Duration::from_millis(10),
        }
    }
}

/// Bytes that make one block, unless a deployment says otherwise.
pub const BLOCK_SIZE_BYTES: usize = 256;

/// Hash of a block of a prompt and of all blocks before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BlockHash(pub u64);

/// Cuts a prompt into blocks, each hashed with all before it; a last part that fills no block is
/// left out, as engines cache whole blocks only.
///
/// ```
/// use flamingowheel_policy::prefix::block_hashes;
/// let long = block_hashes(b"abcdefgh", 4);
/// assert_eq!(long.len(), 2);
/// assert_eq!(block_hashes(b"abcdxx", 4), long[..1]);
/// ```
#[must_use]
pub fn block_hashes(prompt: &[u8], block_size_bytes: usize) -> Vec<BlockHash> {
    let mut chain = 0;
    let blocks = prompt.chunks_exact(block_size_bytes.max(1));
    blocks
        .map(|block| {
            chain = xxh3_64_with_seed(block, chain);
            BlockHash(chain)
        })
        .collect()
}

/// A change of a backend server's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheChange {
    /// These blocks are cached now.
    Stored(Vec<BlockHash>),
    /// These blocks are no longer cached.
    Removed(Vec<BlockHash>),
    /// Exactly these blocks are cached: all that was known before is void.
    Snapshot(Vec<BlockHash>),
}

/// A numbered change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts up by one within one life of the engine.
    pub number: u64,
    /// What changed.
    pub change: CacheChange,
}

/// Two generations of blocks: lookups search both, and when the newer one is full the older one
/// goes. That forgets the blocks used longest ago without a list of uses.
#[derive(Clone, Debug, Default)]
struct Blocks {
    newer: HashSet<BlockHash>,
    older: HashSet<BlockHash>,
}

impl Blocks {
    fn insert(&mut self, block: BlockHash, max_blocks: usize) {
        if self.newer.len() >= max_blocks.div_ceil(2) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.older.remove(&block);
        self.newer.insert(block);
    }

    fn remove(&mut self, block: BlockHash) {
        self.newer.remove(&block);
        self.older.remove(&block);
    }

    fn contains(&self, block: BlockHash) -> bool {
        self.newer.contains(&block) || self.older.contains(&block)
    }

    fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }
}

#[derive(Clone, Debug, Default)]
struct ServerCache {
    blocks: Blocks,
    next: Option<u64>,
    pending: BTreeMap<u64, CacheChange>,
    gap_since: Option<Duration>,
}

impl ServerCache {
    fn on_event(&mut self, config: &PrefixConfig, event: CacheEvent, now: Duration) {
        if matches!(event.change, CacheChange::Snapshot(_)) {
            self.start_over(config, event);
            return;
        }
        let next = *self.next.get_or_insert(event.number);
        if event.number < next {
            // It was skipped as missing; applied now it could undo a later one.
            return;
        }
        self.pending.insert(event.number, event.change);
        self.apply_ready(config);
        if self.pending.len() > config.max_pending {
            self.gap_since.get_or_insert(now);
            self.next = self.pending.keys().next().copied();
            self.apply_ready(config);
        }
    }

    fn start_over(&mut self, config: &PrefixConfig, event: CacheEvent) {
        if self.next.is_some_and(|next| event.number < next) && self.gap_since.is_none() {
            return;
        }
        self.blocks = Blocks::default();
        self.gap_since = None;
        self.pending = self.pending.split_off(&(event.number + 1));
        self.next = Some(event.number + 1);
        self.apply(config, event.change);
        self.apply_ready(config);
    }

    fn apply_ready(&mut self, config: &PrefixConfig) {
        while let Some(next) = self.next {
            let Some(change) = self.pending.remove(&next) else { return };
            self.apply(config, change);
            self.next = Some(next + 1);
        }
    }

    fn apply(&mut self, config: &PrefixConfig, change: CacheChange) {
        match change {
            CacheChange::Stored(blocks) | CacheChange::Snapshot(blocks) => {
                blocks.into_iter().for_each(|block| self.blocks.insert(block, config.max_blocks));
            }
            CacheChange::Removed(blocks) => {
                blocks.into_iter().for_each(|block| self.blocks.remove(block));
            }
        }
    }

    /// Falls from 1 towards 0 while events are missing.
    fn weight(&self, config: &PrefixConfig, now: Duration) -> f64 {
        let Some(since) = self.gap_since else { return 1.0 };
        let age = now.saturating_sub(since).as_secs_f64();
        (-age / config.gap_decay.as_secs_f64().max(f64::EPSILON)).exp()
    }
}

/// Prefix-cache knowledge of the backend servers of an entry's cells.
///
/// ```
/// use flamingowheel_policy::key::ServerKey;
/// use flamingowheel_policy::prefix::{
///     CacheChange, CacheEvent, PrefixIndex, PrefixConfig, block_hashes,
/// };
/// use std::time::Duration;
/// let mut book = PrefixIndex::new(PrefixConfig::default());
/// let prompt = block_hashes(b"abcdefgh", 4);
/// let stored = CacheChange::Stored(prompt[..1].to_vec());
/// book.on_event(ServerKey(1), CacheEvent { number: 1, change: stored }, Duration::ZERO);
/// assert_eq!(book.prefill_time(ServerKey(1), &prompt, Duration::ZERO), Duration::from_millis(10));
/// ```
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    config: PrefixConfig,
    servers: HashMap<ServerKey, ServerCache>,
}

impl PrefixIndex {
    /// Nothing known.
    #[must_use]
    pub fn new(config: PrefixConfig) -> Self {
        Self { config, servers: HashMap::new() }
    }

    /// Takes in a cache event.
    pub fn on_event(&mut self, server: ServerKey, event: CacheEvent, now: Duration) {
        self.servers.entry(server).or_default().on_event(&self.config, event, now);
    }

    /// Forgets a backend server, as when its engine starts anew and counts from the beginning.
    pub fn remove(&mut self, server: ServerKey) {
        self.servers.remove(&server);
    }

    /// Leading blocks of the prompt that the server probably has, less while events are missing.
    #[must_use]
    pub fn covered_blocks(&self, server: ServerKey, prompt: &[BlockHash], now: Duration) -> f64 {
        let Some(cache) = self.servers.get(&server) else { return 0.0 };
        let known = prompt.iter().take_while(|block| cache.blocks.contains(**block)).count();
        known as f64 * cache.weight(&self.config, now)
    }

    /// Time the server would need to prefill what its cache does not cover.
    #[must_use]
    pub fn prefill_time(&self, server: ServerKey, prompt: &[BlockHash], now: Duration) -> Duration {
        let uncovered = prompt.len() as f64 - self.covered_blocks(server, prompt, now);
        self.config.prefill_per_block.mul_f64(uncovered.max(0.0))
    }

    /// What each of these servers would prefill beyond the one that has most of the prompt.
    ///
    /// Only differences matter for a choice. Taken from the best, they are all zero if nobody has
    /// any of the prompt, and the choice is then as quick and as spread as without a prompt.
    ///
    /// ```
    /// use flamingowheel_policy::key::ServerKey;
    /// use flamingowheel_policy::prefix::{PrefixIndex, PrefixConfig, block_hashes};
    /// use std::time::Duration;
    /// let book = PrefixIndex::new(PrefixConfig::default());
    /// let prompt = block_hashes(b"abcdefgh", 4);
    /// let extra = book.extra_prefill(&[ServerKey(1)], &prompt, Duration::ZERO);
    /// assert_eq!(extra.of(ServerKey(1)), Duration::ZERO);
    /// assert!(!extra.is_covered(ServerKey(1)));
    /// ```
    #[must_use]
    pub fn extra_prefill(
        &self,
        servers: &[ServerKey],
        prompt: &[BlockHash],
        now: Duration,
    ) -> ExtraPrefill {
        let per_block = self.config.prefill_per_block;
        if prompt.is_empty() {
            return ExtraPrefill { per_block, most: 0.0, covered: Vec::new() };
        }
        let covered = servers.iter().map(|server| {
            let blocks = self.covered_blocks(*server, prompt, now);
            (*server, blocks)
        });
        let covered: Vec<_> = covered.filter(|(_, blocks)| *blocks > 0.0).collect();
        let most = covered.iter().map(|(_, blocks)| *blocks).fold(0.0, f64::max);
        ExtraPrefill { per_block, most, covered }
    }

    /// Whether events of this server are missing.
    #[must_use]
    pub fn has_gap(&self, server: ServerKey) -> bool {
        self.servers.get(&server).is_some_and(|cache| cache.gap_since.is_some())
    }

    /// Blocks remembered in all.
    #[must_use]
    pub fn block_count(&self) -> usize {
        self.servers.values().map(|cache| cache.blocks.len()).sum()
    }
}

/// How much longer each server would prefill one prompt than the server that has most of it.
#[derive(Clone, Debug)]
pub struct ExtraPrefill {
    per_block: Duration,
    most: f64,
    /// The servers that have some of the prompt, which are few.
    covered: Vec<(ServerKey, f64)>,
}

impl ExtraPrefill {
    /// The extra time of one server.
    #[must_use]
    pub fn of(&self, server: ServerKey) -> Duration {
        self.per_block.mul_f64(self.most - self.covered_blocks(server))
    }

    /// Whether the server probably has any of the prompt.
    #[must_use]
    pub fn is_covered(&self, server: ServerKey) -> bool {
        self.covered_blocks(server) > 0.0
    }

    fn covered_blocks(&self, server: ServerKey) -> f64 {
        let found = self.covered.iter().find(|(covered, _)| *covered == server);
        found.map_or(0.0, |(_, blocks)| *blocks)
    }
}

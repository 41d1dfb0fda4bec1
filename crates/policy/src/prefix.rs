//! Index of the blocks in each backend server's prefix cache.
//!
//! Engines publish numbered cache events late and with gaps. Events that arrive out of order wait
//! for the missing ones. When those don't arrive, the gap is skipped and the index of that server
//! loses weight with time, until a snapshot completes it. A wrong block in the index costs prefill
//! time but never correctness, so memory is bounded by evicting the least recently used blocks.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::key::ServerKey;

/// Settings of a [`PrefixIndex`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixConfig {
    /// Most blocks kept per backend server.
    pub max_blocks: usize,
    /// Most events per backend server that wait for missing ones before the gap is skipped.
    pub max_pending: usize,
    /// Time in which the index of a server with a gap loses two thirds of its weight.
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

/// Default block size, unless a deployment configures another one.
pub const BLOCK_SIZE_BYTES: usize = 256;

/// Hash of a block of a prompt and of all blocks before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BlockHash(pub u64);

/// Splits a prompt into blocks and hashes each together with all blocks before it. An incomplete
/// last block is left out, as engines cache whole blocks only.
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

/// A change to the contents of a backend server's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheChange {
    /// These blocks are cached now.
    Stored(Vec<BlockHash>),
    /// These blocks are no longer cached.
    Removed(Vec<BlockHash>),
    /// Exactly these blocks are cached; replaces all earlier events.
    Snapshot(Vec<BlockHash>),
}

/// A cache change with its sequence number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, incremented by one per event; restarts with the engine.
    pub number: u64,
    /// The change to apply.
    pub change: CacheChange,
}

/// Two generations of blocks: lookups search both, and when the newer one is full the older one is
/// dropped. This approximates LRU eviction without a list of uses.
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
    next_number: Option<u64>,
    pending: BTreeMap<u64, CacheChange>,
    gap_since: Option<Duration>,
}

impl ServerCache {
    fn on_event(&mut self, config: &PrefixConfig, event: CacheEvent, now: Duration) {
        if matches!(event.change, CacheChange::Snapshot(_)) {
            self.apply_snapshot(config, event);
            return;
        }
        let next = *self.next_number.get_or_insert(event.number);
        if event.number < next {
            // It was skipped as missing; applied now, it could undo a later event.
            return;
        }
        self.pending.insert(event.number, event.change);
        self.apply_ready(config);
        if self.pending.len() > config.max_pending {
            self.gap_since.get_or_insert(now);
            self.next_number = self.pending.keys().next().copied();
            self.apply_ready(config);
        }
    }

    fn apply_snapshot(&mut self, config: &PrefixConfig, event: CacheEvent) {
        if self.next_number.is_some_and(|next| event.number < next) && self.gap_since.is_none() {
            return;
        }
        self.blocks = Blocks::default();
        self.gap_since = None;
        self.pending = self.pending.split_off(&(event.number + 1));
        self.next_number = Some(event.number + 1);
        self.apply(config, event.change);
        self.apply_ready(config);
    }

    fn apply_ready(&mut self, config: &PrefixConfig) {
        while let Some(next) = self.next_number {
            let Some(change) = self.pending.remove(&next) else { return };
            self.apply(config, change);
            self.next_number = Some(next + 1);
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

    /// Confidence in the index: decays from 1 towards 0 while events are missing.
    fn weight(&self, config: &PrefixConfig, now: Duration) -> f64 {
        let Some(since) = self.gap_since else { return 1.0 };
        let age = now.saturating_sub(since).as_secs_f64();
        (-age / config.gap_decay.as_secs_f64().max(f64::EPSILON)).exp()
    }
}

/// Contents of the prefix caches of the backend servers in an entry's cells.
///
/// ```
/// use flamingowheel_policy::key::ServerKey;
/// use flamingowheel_policy::prefix::{
///     CacheChange, CacheEvent, PrefixIndex, PrefixConfig, block_hashes,
/// };
/// use std::time::Duration;
/// let mut index = PrefixIndex::new(PrefixConfig::default());
/// let prompt = block_hashes(b"abcdefgh", 4);
/// let stored = CacheChange::Stored(prompt[..1].to_vec());
/// index.on_event(ServerKey(1), CacheEvent { number: 1, change: stored }, Duration::ZERO);
/// let prefill_time = index.prefill_time(ServerKey(1), &prompt, Duration::ZERO);
/// assert_eq!(prefill_time, Duration::from_millis(10));
/// ```
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    config: PrefixConfig,
    servers: HashMap<ServerKey, ServerCache>,
}

impl PrefixIndex {
    /// An empty index.
    #[must_use]
    pub fn new(config: PrefixConfig) -> Self {
        Self { config, servers: HashMap::new() }
    }

    /// Applies a cache event, or keeps it until the events before it have arrived.
    pub fn on_event(&mut self, server: ServerKey, event: CacheEvent, now: Duration) {
        self.servers.entry(server).or_default().on_event(&self.config, event, now);
    }

    /// Removes a backend server, for example when its engine restarts and numbers events anew.
    pub fn remove(&mut self, server: ServerKey) {
        self.servers.remove(&server);
    }

    /// Expected number of leading blocks of the prompt in the server's cache; reduced while events
    /// are missing.
    #[must_use]
    pub fn covered_blocks(&self, server: ServerKey, prompt: &[BlockHash], now: Duration) -> f64 {
        let Some(cache) = self.servers.get(&server) else { return 0.0 };
        let cached = prompt.iter().take_while(|block| cache.blocks.contains(**block)).count();
        cached as f64 * cache.weight(&self.config, now)
    }

    /// Time the server would need to prefill the blocks that its cache does not cover.
    #[must_use]
    pub fn prefill_time(&self, server: ServerKey, prompt: &[BlockHash], now: Duration) -> Duration {
        let uncovered = prompt.len() as f64 - self.covered_blocks(server, prompt, now);
        self.config.prefill_per_block.mul_f64(uncovered.max(0.0))
    }

    /// Prefill time of each of these servers beyond that of the server which has most of the
    /// prompt.
    ///
    /// Only differences matter for a choice. Relative to the best server they are all zero if no
    /// server has any of the prompt, and the choice is then as fast and as evenly spread as without
    /// a prompt.
    ///
    /// ```
    /// use flamingowheel_policy::key::ServerKey;
    /// use flamingowheel_policy::prefix::{PrefixIndex, PrefixConfig, block_hashes};
    /// use std::time::Duration;
    /// let index = PrefixIndex::new(PrefixConfig::default());
    /// let prompt = block_hashes(b"abcdefgh", 4);
    /// let extra = index.extra_prefill(&[ServerKey(1)], &prompt, Duration::ZERO);
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
            return ExtraPrefill { per_block, max_covered: 0.0, covered: Vec::new() };
        }
        let covered = servers.iter().map(|server| {
            let blocks = self.covered_blocks(*server, prompt, now);
            (*server, blocks)
        });
        let covered: Vec<_> = covered.filter(|(_, blocks)| *blocks > 0.0).collect();
        let max_covered = covered.iter().map(|(_, blocks)| *blocks).fold(0.0, f64::max);
        ExtraPrefill { per_block, max_covered, covered }
    }

    /// Whether events of this server are missing.
    #[must_use]
    pub fn has_gap(&self, server: ServerKey) -> bool {
        self.servers.get(&server).is_some_and(|cache| cache.gap_since.is_some())
    }

    /// Blocks in the index, over all backend servers.
    #[must_use]
    pub fn block_count(&self) -> usize {
        self.servers.values().map(|cache| cache.blocks.len()).sum()
    }
}

/// Prefill time of each server for one prompt, relative to the server that has most of it.
#[derive(Clone, Debug)]
pub struct ExtraPrefill {
    per_block: Duration,
    max_covered: f64,
    /// The few servers that have some of the prompt, with the number of blocks covered.
    covered: Vec<(ServerKey, f64)>,
}

impl ExtraPrefill {
    /// Extra prefill time of one server.
    #[must_use]
    pub fn of(&self, server: ServerKey) -> Duration {
        self.per_block.mul_f64(self.max_covered - self.covered_blocks(server))
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

//! Updates the mirror from the key-value store.

use crate::feed::mirror::Mirror;
use flamingowheel_backing::kv::{KeyValue, KeyValueError, Revision, WatchEvent};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Prefix of all keys: a single watch covers everything, since each waiting watch counts against
/// the store's rate limit and an entry needs all keys.
const ALL_KEYS: &str = "";

/// Backoff after the first failure of the store; doubles with each consecutive one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Longest backoff. The store also charges for failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Time without an outage after which the next one is logged again.
const OUTAGE_END: Duration = Duration::from_millis(2_500);

/// Time between reads of a process that has just started, until it gets data from a source; also
/// the time limit of the first read. A store that was unreachable comes back at once, and callers
/// wait for it.
const START_READ_INTERVAL: Duration = Duration::from_millis(350);

/// Largest time limit of such a read; the limit doubles with each read, since a lot of data may
/// have to come over a slow link.
const MAX_START_READ_TIMEOUT: Duration = Duration::from_secs(4);

/// Follows the store while `should_follow` is true.
#[derive(Debug)]
pub struct StoreFollower<K> {
    store: K,
    mirror: Arc<Mirror>,
    /// Set by [`crate::feed::reader::Reader`].
    should_follow: watch::Receiver<bool>,
    failures: u32,
}

impl<K> StoreFollower<K>
where
    K: KeyValue,
{
    /// Creates a follower that is idle until `should_follow` is true.
    pub fn new(store: K, mirror: Arc<Mirror>, should_follow: watch::Receiver<bool>) -> Self {
        Self { store, mirror, should_follow, failures: 0 }
    }

    /// Follows the store whenever `should_follow` is true, until dropped.
    pub async fn run(mut self) {
        self.read_first().await;
        loop {
            if self.should_follow.wait_for(|should_follow| *should_follow).await.is_err() {
                return;
            }
            tracing::info!("following the key-value store");
            let mut should_follow = self.should_follow.clone();
            tokio::select! {
                () = self.follow() => {}
                stopped = should_follow.wait_for(|should_follow| !*should_follow) => {
                    if stopped.is_err() {
                        return;
                    }
                    self.mirror.end_following();
                    tracing::info!("the key-value store is followed by others");
                }
            }
        }
    }

    /// Reads the store after the start of the process. The read may be stale, at a tenth of the
    /// cost: all processes may start at the same time, and data that is some seconds old is enough
    /// to find the sources for the rest.
    async fn read_first(&self) {
        let mut limit = START_READ_INTERVAL;
        while self.mirror.age(Instant::now()).is_none() && !*self.should_follow.borrow() {
            let next_at = Instant::now() + START_READ_INTERVAL;
            match timeout(limit, self.store.range_stale(ALL_KEYS)).await {
                Ok(Ok(snapshot)) => self.mirror.apply_snapshot(snapshot),
                Ok(Err(error)) => tracing::debug!(%error, "no answer from the key-value store"),
                Err(_) => tracing::debug!("no answer from the key-value store in time"),
            }
            limit = (limit * 2).min(MAX_START_READ_TIMEOUT);
            sleep_until(next_at).await;
        }
    }

    async fn follow(&mut self) {
        // Changes since the copy's revision cost the store less than all keys.
        if let Some(revision) = self.mirror.revision() {
            self.watch_from(Revision(revision)).await;
        }
        loop {
            match self.store.range(ALL_KEYS).await {
                Ok(snapshot) => {
                    let revision = snapshot.revision;
                    self.failures = 0;
                    self.mirror.apply_snapshot(snapshot);
                    self.mirror.confirm(revision.0, Instant::now());
                    self.watch_from(revision).await;
                }
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    /// Watches changes until the history is compacted; reopens a watch that ends.
    async fn watch_from(&mut self, mut after: Revision) {
        loop {
            let mut watch = match self.store.watch(ALL_KEYS, after).await {
                Ok(watch) => watch,
                Err(error) => {
                    self.back_off(&error).await;
                    continue;
                }
            };
            while let Some(event) = watch.recv().await {
                let mut progress = None;
                match &event {
                    WatchEvent::Progress { revision } => {
                        after = *revision;
                        progress = Some(*revision);
                        self.failures = 0;
                    }
                    WatchEvent::Compacted { .. } => {
                        tracing::info!(revision = after.0, "history compacted; reading all keys");
                        return;
                    }
                    WatchEvent::Put(_) | WatchEvent::Delete { .. } => {}
                }
                self.mirror.apply_event(event);
                if let Some(revision) = progress {
                    self.mirror.confirm(revision.0, Instant::now());
                }
            }
            self.back_off(&KeyValueError::Unreachable).await;
        }
    }

    async fn back_off(&mut self, error: &KeyValueError) {
        let now = Instant::now();
        let is_new = self.mirror.last_outage().is_none_or(|outage_at| now - outage_at > OUTAGE_END);
        if is_new {
            tracing::warn!(%error, "key-value store lost");
        }
        self.mirror.record_outage(now);
        let backoff = (INITIAL_BACKOFF * 2_u32.pow(self.failures.min(8))).min(MAX_BACKOFF);
        self.failures += 1;
        sleep(backoff.mul_f64(rand::random_range(0.75..1.25))).await;
    }
}

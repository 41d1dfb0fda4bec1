//! Updates the mirror from the key-value store.

use crate::feed::mirror::Mirror;
use flamingowheel_backing::kv::{KeyValue, KeyValueError, Revision, Snapshot, Watch, WatchEvent};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Prefix of all keys: a single watch covers everything, since each waiting watch counts against
/// the store's rate limit and an entry needs all keys.
const ALL_KEYS: &str = "";

/// A prefix that no key has, to read only the store's revision.
const NO_KEYS: &str = "flamingowheel/none/";

/// Time without an answer of the store after which its revision is read.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit of such a read. The store answers within 0.25 s when it is slow.
const CHECK_TIMEOUT: Duration = Duration::from_millis(350);

/// Time for a watch to bring a change that the store's revision shows; its polls pause after
/// changes.
const DEAF_LIMIT: Duration = Duration::from_millis(600);

/// Backoff after the first failure of the store; doubles with each consecutive one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Longest backoff. The store also charges for failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Time between reads of a process that has just started, until it gets data from a source; also
/// the time limit of the first read. A store that was unreachable comes back at once, and callers
/// wait for it.
const START_READ_INTERVAL: Duration = Duration::from_millis(350);

/// Largest time limit of such a read; the limit doubles with each read, since a lot of data may
/// have to come over a slow link.
const MAX_START_READ_TIMEOUT: Duration = Duration::from_secs(4);

/// Why a watch is no longer read.
enum WatchEnd {
    /// The store no longer has all changes since the copy's revision.
    Compacted,
    /// The store has changes that the watch does not bring.
    Deaf,
    /// The store doesn't answer.
    Lost(KeyValueError),
}

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
                Ok(Ok(snapshot)) => {
                    log_all_keys(&snapshot, true);
                    self.mirror.apply_snapshot(snapshot);
                }
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
            let asked_at = Instant::now();
            match self.store.range(ALL_KEYS).await {
                Ok(snapshot) => {
                    let revision = snapshot.revision;
                    log_all_keys(&snapshot, false);
                    self.mirror.apply_snapshot(snapshot);
                    self.record_answer(revision, asked_at);
                    self.watch_from(revision).await;
                }
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    /// Watches changes until all keys have to be read; reopens a watch that ends.
    async fn watch_from(&mut self, mut after: Revision) {
        loop {
            let end = match self.store.watch(ALL_KEYS, after).await {
                Ok(watch) => self.read_events(watch, &mut after).await,
                Err(error) => WatchEnd::Lost(error),
            };
            match end {
                WatchEnd::Compacted => {
                    tracing::info!(revision = after.0, "history compacted; reading all keys");
                    return;
                }
                WatchEnd::Deaf => {
                    tracing::warn!(revision = after.0, "watch misses changes; reading all keys");
                    return;
                }
                WatchEnd::Lost(error) => self.back_off(&error).await,
            }
        }
    }

    /// Applies a watch's events until it ends, and asks the store for its revision in between: a
    /// watch without events may be deaf, and its store silent.
    async fn read_events(&mut self, mut watch: Watch, after: &mut Revision) -> WatchEnd {
        let mut check_at = Instant::now();
        let mut missed_at: Option<Instant> = None;
        loop {
            let check = async {
                sleep_until(check_at).await;
                let asked_at = Instant::now();
                (asked_at, timeout(CHECK_TIMEOUT, self.store.range(NO_KEYS)).await)
            };
            let overdue = async {
                match missed_at {
                    Some(missed_at) => sleep_until(missed_at + DEAF_LIMIT).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                event = watch.recv() => match event {
                    None => return WatchEnd::Lost(KeyValueError::Unreachable),
                    Some(WatchEvent::Compacted { .. }) => return WatchEnd::Compacted,
                    Some(WatchEvent::Progress { revision }) => {
                        *after = revision;
                        missed_at = None;
                        self.mirror.apply_event(WatchEvent::Progress { revision });
                        self.record_answer(revision, Instant::now());
                        check_at = Instant::now() + CHECK_INTERVAL;
                    }
                    Some(event) => self.mirror.apply_event(event),
                },
                (asked_at, answer) = check => {
                    match answer {
                        Ok(Ok(snapshot)) if snapshot.revision > *after => {
                            missed_at = missed_at.or(Some(Instant::now()));
                        }
                        Ok(Ok(snapshot)) => self.record_answer(snapshot.revision, asked_at),
                        Ok(Err(error)) => return WatchEnd::Lost(error),
                        Err(_) => {
                            let limit_ms = CHECK_TIMEOUT.as_millis() as u64;
                            return WatchEnd::Lost(KeyValueError::NoAnswer { limit_ms });
                        }
                    }
                    check_at = Instant::now() + CHECK_INTERVAL;
                }
                () = overdue => return WatchEnd::Deaf,
            }
        }
    }

    fn record_answer(&mut self, revision: Revision, at: Instant) {
        self.failures = 0;
        self.mirror.confirm(revision.0, at);
    }

    async fn back_off(&mut self, error: &KeyValueError) {
        let now = Instant::now();
        if !self.mirror.is_cut_off() {
            tracing::warn!(%error, "key-value store lost");
        }
        self.mirror.record_failure(now);
        let backoff = (INITIAL_BACKOFF * 2_u32.pow(self.failures.min(8))).min(MAX_BACKOFF);
        self.failures += 1;
        sleep(backoff.mul_f64(rand::random_range(0.75..1.25))).await;
    }
}

fn log_all_keys(snapshot: &Snapshot, is_stale: bool) {
    let (revision, keys) = (snapshot.revision.0, snapshot.entries.len());
    tracing::info!(revision, keys, is_stale, "all keys read from the key-value store");
}

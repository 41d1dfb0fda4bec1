//! Fills the mirror from the key-value store itself.

use crate::feed::mirror::Mirror;
use flamingowheel_backing::kv::{KeyValue, KeyValueError, Revision, WatchEvent};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// One watch on everything: each waiting watch counts against the store's rate, and all keys that
/// exist concern an entry.
const EVERYTHING: &str = "";

/// Pause before the store is asked again after a failure; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest such pause. Calls that fail are paid for as well.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Time without an outage after which the next one is told again.
const OUTAGE_END: Duration = Duration::from_millis(2_500);

/// Time between reads of a process that has just started, until it hears from a source; also the wait for the
/// first one. A store that was silent is back from one moment to the next, and callers wait.
const START_INTERVAL: Duration = Duration::from_millis(350);

/// Longest wait for such a read. It doubles up to this with each: much may have to be read on a narrow link.
const LONGEST_START_READ: Duration = Duration::from_secs(4);

/// Follows the store while this entry is to.
#[derive(Debug)]
pub struct StoreFollower<K> {
    store: K,
    mirror: Arc<Mirror>,
    /// Whether to follow.
    is_wanted: watch::Receiver<bool>,
    failures: u32,
}

impl<K> StoreFollower<K>
where
    K: KeyValue,
{
    /// A follower that waits until it is wanted.
    pub fn new(store: K, mirror: Arc<Mirror>, is_wanted: watch::Receiver<bool>) -> Self {
        Self { store, mirror, is_wanted, failures: 0 }
    }

    /// Follows, as long as that is wanted, until dropped.
    pub async fn run(mut self) {
        self.read_first().await;
        loop {
            if self.is_wanted.wait_for(|wanted| *wanted).await.is_err() {
                return;
            }
            tracing::info!("following the key-value store");
            let mut is_wanted = self.is_wanted.clone();
            tokio::select! {
                () = self.follow() => {}
                unwanted = is_wanted.wait_for(|wanted| !*wanted) => {
                    if unwanted.is_err() {
                        return;
                    }
                    tracing::info!("the key-value store is followed by others");
                }
            }
        }
    }

    /// Reads the store as a process that has just started: all may start at once, and what is some seconds
    /// old tells whom to learn the rest from, for a tenth of the price.
    async fn read_first(&self) {
        let mut limit = START_INTERVAL;
        while self.mirror.age(Instant::now()).is_none() && !*self.is_wanted.borrow() {
            let next_at = Instant::now() + START_INTERVAL;
            match timeout(limit, self.store.range_stale(EVERYTHING)).await {
                Ok(Ok(snapshot)) => self.mirror.take_snapshot(snapshot),
                Ok(Err(error)) => tracing::debug!(%error, "no answer from the key-value store"),
                Err(_) => tracing::debug!("no answer from the key-value store in time"),
            }
            limit = (limit * 2).min(LONGEST_START_READ);
            sleep_until(next_at).await;
        }
    }

    async fn follow(&mut self) {
        loop {
            match self.store.range(EVERYTHING).await {
                Ok(snapshot) => {
                    let revision = snapshot.revision;
                    self.failures = 0;
                    self.mirror.note_word(Instant::now(), Duration::ZERO);
                    self.mirror.take_snapshot(snapshot);
                    self.watch_from(revision).await;
                }
                Err(error) => self.pause(&error).await,
            }
        }
    }

    /// Follows changes until the history is lost; a watch that ends is opened again.
    async fn watch_from(&mut self, mut after: Revision) {
        loop {
            let mut watch = match self.store.watch(EVERYTHING, after).await {
                Ok(watch) => watch,
                Err(error) => {
                    self.pause(&error).await;
                    continue;
                }
            };
            while let Some(event) = watch.recv().await {
                match &event {
                    WatchEvent::Progress { revision } => {
                        after = *revision;
                        self.failures = 0;
                        self.mirror.note_word(Instant::now(), Duration::ZERO);
                    }
                    WatchEvent::Compacted { .. } => {
                        tracing::info!(revision = after.0, "history lost, reading everything");
                        return;
                    }
                    WatchEvent::Put(_) | WatchEvent::Delete { .. } => {}
                }
                self.mirror.take_event(event);
            }
            self.pause(&KeyValueError::Unreachable).await;
        }
    }

    async fn pause(&mut self, error: &KeyValueError) {
        let now = Instant::now();
        let is_new = self.mirror.last_outage().is_none_or(|last| now - last > OUTAGE_END);
        if is_new {
            tracing::warn!(%error, "key-value store lost");
        }
        self.mirror.note_outage(now);
        let pause = (FIRST_PAUSE * 2_u32.pow(self.failures.min(8))).min(LONGEST_PAUSE);
        self.failures += 1;
        sleep(pause.mul_f64(rand::random_range(0.75..1.25))).await;
    }
}

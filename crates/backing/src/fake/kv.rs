//! An in-memory key-value service with faults that tests inject.

mod faults;

use super::lock;
use super::reads::Reads;
use super::store::{Store, matches_prefix};
use crate::BoxFuture;
use crate::kv::{
    KeyValue, KeyValueError, LeaseId, Operation, Revision, Snapshot, Transaction,
    TransactionAnswer, Watch, WatchEvent,
};
use crate::listing::{Listing, Page};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Events a watch may lag behind before the service ends it.
const WATCH_CAPACITY: usize = 4096;
/// How long a call waits for an answer.
const DEFAULT_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a watch gets [`WatchEvent::Progress`].
const DEFAULT_PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// How often a paused lease is looked at.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Whether a call whose answer is lost takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostAnswer {
    /// The call took effect and its answer is lost.
    AfterEffect,
    /// The request is lost and has no effect.
    BeforeEffect,
}

/// Number of calls received, by kind; all count against the service's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyValueCalls {
    /// Range reads.
    pub range: u64,
    /// Transactions.
    pub transact: u64,
    /// Lease grants.
    pub grant_lease: u64,
    /// Lease renewals.
    pub keep_alive: u64,
    /// Lease revocations.
    pub revoke_lease: u64,
    /// Watches opened.
    pub watch: u64,
}

impl KeyValueCalls {
    /// All calls together.
    pub fn total(&self) -> u64 {
        self.range
            + self.transact
            + self.grant_lease
            + self.keep_alive
            + self.revoke_lease
            + self.watch
    }
}

#[derive(Debug)]
struct Watcher {
    prefix: String,
    sender: mpsc::Sender<WatchEvent>,
    silent: bool,
}

#[derive(Debug)]
struct State {
    store: Store,
    watchers: Vec<Watcher>,
    calls: KeyValueCalls,
    delay: Duration,
    answer_timeout: Duration,
    progress_interval: Duration,
    lost_answers: Vec<LostAnswer>,
    lost_write_answers: Vec<LostAnswer>,
    write_delays: Vec<Duration>,
    next_delay: Option<Duration>,
    events_to_drop: usize,
    rate_exceeded: bool,
    reads: Reads,
    /// Time between two pages of one listing.
    page_gap: Duration,
    /// Whether leases stop while the service is down, and since when they do.
    pauses_leases: bool,
    paused_at: Option<Instant>,
}

impl State {
    fn publish(&mut self, events: &[WatchEvent]) {
        for event in events {
            if self.events_to_drop > 0 {
                self.events_to_drop -= 1;
                continue;
            }
            self.watchers.retain(|watcher| {
                if watcher.silent || !matches_prefix(event, &watcher.prefix) {
                    return !watcher.sender.is_closed();
                }
                watcher.sender.try_send(event.clone()).is_ok()
            });
        }
    }

    /// Applies the next faults queued for writes to the call that follows, which is a write.
    fn apply_write_faults(&mut self) {
        let lost_answer = self.lost_write_answers.pop();
        self.lost_answers.extend(lost_answer);
        self.next_delay = self.write_delays.pop();
    }

    fn set_leases_paused(&mut self, is_paused: bool) {
        if is_paused {
            self.paused_at = self.paused_at.or(Some(Instant::now()));
        } else if let Some(paused_at) = self.paused_at.take() {
            self.store.extend_leases(paused_at.elapsed());
        }
    }

    /// When to look at a lease again; later than its deadline while leases pause.
    fn lease_deadline(&self, lease: LeaseId) -> Option<Instant> {
        let deadline = self.store.lease_deadline(lease)?;
        let is_paused = self.paused_at.is_some();
        Some(if is_paused { Instant::now() + PAUSE_CHECK_INTERVAL } else { deadline })
    }

    fn page(&mut self, prefix: &str, after: Option<&str>, is_stale: bool) -> Page {
        let max_items = self.reads.next_max_items();
        let age = if is_stale { self.reads.next_age() } else { Duration::ZERO };
        self.store.page(prefix, after, max_items, age)
    }

    fn expire_leases(&mut self) {
        if self.paused_at.is_some() {
            return;
        }
        let events = self.store.expire_leases(Instant::now());
        self.publish(&events);
    }
}

/// In-memory key-value service; clones share one store.
///
/// ```
/// use flamingowheel_backing::fake::FakeKeyValue;
/// use flamingowheel_backing::kv::{KeyValue, KeyValueError};
/// # #[tokio::main(flavor = "current_thread", start_paused = true)] async fn main() {
/// let kv = FakeKeyValue::new();
/// assert!(kv.range("config/").await.unwrap().entries.is_empty());
/// kv.set_down(true);
/// assert_eq!(kv.range("config/").await, Err(KeyValueError::Unreachable));
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct FakeKeyValue {
    state: Arc<Mutex<State>>,
    up: watch::Sender<bool>,
}

impl Default for FakeKeyValue {
    fn default() -> Self {
        Self::new()
    }
}

impl FakeKeyValue {
    /// Creates an empty store without faults.
    pub fn new() -> Self {
        let state = State {
            store: Store::default(),
            watchers: Vec::new(),
            calls: KeyValueCalls::default(),
            delay: Duration::ZERO,
            answer_timeout: DEFAULT_ANSWER_TIMEOUT,
            progress_interval: DEFAULT_PROGRESS_INTERVAL,
            lost_answers: Vec::new(),
            lost_write_answers: Vec::new(),
            write_delays: Vec::new(),
            next_delay: None,
            events_to_drop: 0,
            rate_exceeded: false,
            reads: Reads::default(),
            page_gap: Duration::ZERO,
            pauses_leases: false,
            paused_at: None,
        };
        Self { state: Arc::new(Mutex::new(state)), up: watch::Sender::new(true) }
    }

    /// Reads one page of the keys that start with `prefix`, after the key `after`.
    pub async fn page(
        &self,
        prefix: &str,
        after: Option<&str>,
        is_stale: bool,
    ) -> Result<Page, KeyValueError> {
        let (prefix, after) = (prefix.to_owned(), after.map(str::to_owned));
        let read = move |state: &mut State| Ok(state.page(&prefix, after.as_deref(), is_stale));
        self.serve(|calls| calls.range += 1, read).await
    }

    async fn list(&self, prefix: &str, is_stale: bool) -> Result<Snapshot, KeyValueError> {
        let mut listing = Listing::default();
        listing.add(self.page(prefix, None, is_stale).await?)?;
        while !listing.is_whole() {
            let page_gap = lock(&self.state).page_gap;
            tokio::time::sleep(page_gap).await;
            listing.add(self.page(prefix, listing.last_key(), is_stale).await?)?;
        }
        Ok(listing.into_snapshot())
    }

    /// Subscribes to whether the service is up.
    pub fn subscribe_up(&self) -> watch::Receiver<bool> {
        self.up.subscribe()
    }

    /// Calls received so far.
    pub fn calls(&self) -> KeyValueCalls {
        lock(&self.state).calls
    }

    /// Number of open watches.
    pub fn open_watches(&self) -> usize {
        let state = lock(&self.state);
        state.watchers.iter().filter(|watcher| !watcher.sender.is_closed()).count()
    }

    /// Reads the prefix for a check: without faults and without counting a call.
    pub fn peek(&self, prefix: &str) -> Snapshot {
        let mut state = lock(&self.state);
        state.expire_leases();
        state.store.range(prefix)
    }

    /// Runs a call with the injected faults; `effect` runs at most once.
    async fn serve<T, F>(
        &self,
        count: fn(&mut KeyValueCalls),
        effect: F,
    ) -> Result<T, KeyValueError>
    where
        T: Send + 'static,
        F: FnOnce(&mut State) -> Result<T, KeyValueError> + Send + 'static,
    {
        let (delay, timeout, lost) = self.admit(count)?;
        if lost == Some(LostAnswer::BeforeEffect) {
            return self.no_answer(timeout).await;
        }
        if delay.is_zero() {
            let result = self.apply(effect)?;
            return match lost {
                Some(_) => self.no_answer(timeout).await,
                None => Ok(result),
            };
        }
        let this = self.clone();
        // Runs in its own task: a slow service carries a call out even after its caller timed out.
        let task = tokio::spawn(async move {
            tokio::time::sleep(delay / 2).await;
            let result = this.apply(effect);
            tokio::time::sleep(delay - delay / 2).await;
            result
        });
        match tokio::time::timeout(timeout, task).await {
            Ok(Ok(_)) if lost.is_some() => self.no_answer(timeout).await,
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(no_answer(timeout)),
        }
    }

    fn admit(
        &self,
        count: fn(&mut KeyValueCalls),
    ) -> Result<(Duration, Duration, Option<LostAnswer>), KeyValueError> {
        if !*self.up.borrow() {
            return Err(KeyValueError::Unreachable);
        }
        let mut state = lock(&self.state);
        count(&mut state.calls);
        if state.rate_exceeded {
            return Err(KeyValueError::RateExceeded);
        }
        let delay = state.next_delay.take().unwrap_or(state.delay);
        Ok((delay, state.answer_timeout, state.lost_answers.pop()))
    }

    fn apply<T, F>(&self, effect: F) -> Result<T, KeyValueError>
    where
        F: FnOnce(&mut State) -> Result<T, KeyValueError>,
    {
        let mut state = lock(&self.state);
        state.expire_leases();
        effect(&mut state)
    }

    async fn no_answer<T>(&self, timeout: Duration) -> Result<T, KeyValueError> {
        tokio::time::sleep(timeout).await;
        Err(no_answer(timeout))
    }

    fn open_watch(&self, prefix: &str, after: Revision) -> Watch {
        let (sender, receiver) = mpsc::channel(WATCH_CAPACITY);
        let mut state = lock(&self.state);
        state.expire_leases();
        match state.store.events_after(prefix, after) {
            Ok(events) => {
                for event in events {
                    // A history larger than the capacity ends the watch, as a slow reader does.
                    if sender.try_send(event).is_err() {
                        return receiver;
                    }
                }
            }
            Err(oldest) => {
                let _ = sender.try_send(WatchEvent::Compacted { oldest });
                return receiver;
            }
        }
        let watcher = Watcher { prefix: prefix.to_owned(), sender: sender.clone(), silent: false };
        state.watchers.push(watcher);
        tokio::spawn(send_progress(Arc::downgrade(&self.state), sender.downgrade()));
        receiver
    }
}

fn no_answer(timeout: Duration) -> KeyValueError {
    KeyValueError::NoAnswer { limit_ms: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX) }
}

async fn send_progress(state: Weak<Mutex<State>>, sender: mpsc::WeakSender<WatchEvent>) {
    loop {
        let Some(interval) = state.upgrade().map(|state| lock(&state).progress_interval) else {
            return;
        };
        tokio::time::sleep(interval).await;
        let (Some(state), Some(sender)) = (state.upgrade(), sender.upgrade()) else { return };
        let state = lock(&state);
        let watcher = state.watchers.iter().find(|watcher| watcher.sender.same_channel(&sender));
        let Some(watcher) = watcher else { return };
        if sender.is_closed() {
            return;
        }
        if !watcher.silent {
            let _ = sender.try_send(WatchEvent::Progress { revision: state.store.revision() });
        }
    }
}

/// Expires the lease at its deadline, so that watches see its deletions without any further call.
async fn expire_on_time(state: Weak<Mutex<State>>, lease: LeaseId) {
    loop {
        let deadline = state.upgrade().and_then(|state| lock(&state).lease_deadline(lease));
        let Some(deadline) = deadline else { return };
        tokio::time::sleep_until(deadline).await;
        if let Some(state) = state.upgrade() {
            lock(&state).expire_leases();
        }
    }
}

impl KeyValue for FakeKeyValue {
    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Snapshot, KeyValueError>> {
        Box::pin(self.list(prefix, false))
    }

    fn range_stale<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<Snapshot, KeyValueError>> {
        Box::pin(self.list(prefix, true))
    }

    fn transact(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'_, Result<TransactionAnswer, KeyValueError>> {
        let writes = transaction
            .on_success
            .iter()
            .any(|operation| !matches!(operation, Operation::Get { .. }));
        let effect = move |state: &mut State| {
            let (answer, events) = state.store.transact(&transaction)?;
            state.publish(&events);
            Ok(answer)
        };
        Box::pin(async move {
            if writes {
                lock(&self.state).apply_write_faults();
            }
            self.serve(|calls| calls.transact += 1, effect).await
        })
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, KeyValueError>> {
        let weak = Arc::downgrade(&self.state);
        let effect = move |state: &mut State| {
            let (lease, _) = state.store.grant_lease(ttl);
            tokio::spawn(expire_on_time(weak, lease));
            Ok(lease)
        };
        Box::pin(self.serve(|calls| calls.grant_lease += 1, effect))
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        let effect = move |state: &mut State| state.store.keep_alive(lease);
        Box::pin(self.serve(|calls| calls.keep_alive += 1, effect))
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        let effect = move |state: &mut State| {
            let events = state.store.revoke_lease(lease)?;
            state.publish(&events);
            Ok(())
        };
        Box::pin(self.serve(|calls| calls.revoke_lease += 1, effect))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
    ) -> BoxFuture<'a, Result<Watch, KeyValueError>> {
        Box::pin(async move {
            let (delay, _, _) = self.admit_watch()?;
            tokio::time::sleep(delay).await;
            Ok(self.open_watch(prefix, after))
        })
    }
}

impl FakeKeyValue {
    /// Opening a watch consumes no injected lost answer: faults of watches affect their events.
    fn admit_watch(&self) -> Result<(Duration, Duration, Option<LostAnswer>), KeyValueError> {
        let saved = std::mem::take(&mut lock(&self.state).lost_answers);
        let admitted = self.admit(|calls| calls.watch += 1);
        lock(&self.state).lost_answers = saved;
        admitted
    }
}

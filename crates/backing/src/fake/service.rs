//! An in-memory plain service that counts how often it executed each body.

use super::lock;
use crate::BoxFuture;
use crate::backend::{
    BackendAnswer, BackendCall, BackendError, BackendServer, BodyPiece, CacheEvent, LoadReport,
};
use bytes::Bytes;
use serde_json::json;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

#[derive(Debug)]
struct State {
    executions: HashMap<Bytes, u32>,
    delay: Duration,
    silence_timeout: Duration,
    crash_after_effect: usize,
    running: u32,
    process_starts: u64,
    started_at: Instant,
}

/// In-memory plain service; clones share one service.
///
/// ```
/// use flamingowheel_backing::fake::FakeService;
/// # #[tokio::main(flavor = "current_thread", start_paused = true)] async fn main() {
/// let service = FakeService::new(1);
/// assert_eq!(service.executions(b"pay 5"), 0);
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct FakeService {
    seed: u64,
    state: Arc<Mutex<State>>,
    up: watch::Sender<bool>,
    frozen: watch::Sender<bool>,
}

impl FakeService {
    /// Starts a service; `seed` makes its process ids differ from those of others.
    pub fn new(seed: u64) -> Self {
        let state = State {
            executions: HashMap::new(),
            delay: Duration::ZERO,
            silence_timeout: Duration::from_secs(3),
            crash_after_effect: 0,
            running: 0,
            process_starts: 1,
            started_at: Instant::now(),
        };
        Self {
            seed,
            state: Arc::new(Mutex::new(state)),
            up: watch::Sender::new(true),
            frozen: watch::Sender::new(false),
        }
    }

    /// Sets the time that each call takes; it is executed halfway, even if the caller timed out.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Sets how long a call waits before it fails with [`BackendError::Silent`].
    pub fn set_silence_timeout(&self, timeout: Duration) {
        lock(&self.state).silence_timeout = timeout;
    }

    /// Refuses connections, or accepts them again as a new process.
    pub fn set_down(&self, down: bool) {
        let was_up = self.up.send_replace(!down);
        if !was_up && !down {
            let mut state = lock(&self.state);
            state.process_starts += 1;
            state.started_at = Instant::now();
        }
    }

    /// Subscribes to whether the service is up.
    pub fn subscribe_up(&self) -> watch::Receiver<bool> {
        self.up.subscribe()
    }

    /// Stops the service from answering without closing connections, or lets it continue.
    pub fn set_frozen(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Makes the process crash in each of the next `count` calls, after executing it and before
    /// answering. It restarts at once.
    pub fn crash_after_effect(&self, count: usize) {
        lock(&self.state).crash_after_effect = count;
    }

    /// How often this body was executed.
    pub fn executions(&self, body: &[u8]) -> u32 {
        lock(&self.state).executions.get(body).copied().unwrap_or(0)
    }

    /// All bodies that were executed and how often.
    pub fn all_executions(&self) -> Vec<(Bytes, u32)> {
        lock(&self.state).executions.iter().map(|(body, count)| (body.clone(), *count)).collect()
    }

    /// The answer to the given execution of a body, counted from one.
    pub fn answer(body: &[u8], execution: u32) -> Bytes {
        let digest = format!("{:016x}", xxh3_64(body));
        Bytes::from(json!({"digest": digest, "execution": execution}).to_string())
    }

    async fn execute(&self, body: Bytes) -> Result<BackendAnswer, BackendError> {
        let mut frozen = self.frozen.subscribe();
        let _ = frozen.wait_for(|frozen| !frozen).await;
        let delay = lock(&self.state).delay;
        tokio::time::sleep(delay / 2).await;
        let (execution, crash) = self.count_execution(&body);
        tokio::time::sleep(delay - delay / 2).await;
        if crash {
            return Err(BackendError::Lost);
        }
        let _ = frozen.wait_for(|frozen| !frozen).await;
        let (pieces, receiver) = mpsc::channel(2);
        let _ = pieces.try_send(Ok(BodyPiece::Data(Self::answer(&body, execution))));
        let _ = pieces.try_send(Ok(BodyPiece::End));
        let content_type = "application/json".to_owned();
        Ok(BackendAnswer { status: 200, content_type, body: receiver })
    }

    fn count_execution(&self, body: &Bytes) -> (u32, bool) {
        let mut state = lock(&self.state);
        let execution = state.executions.entry(body.clone()).or_default();
        *execution += 1;
        let execution = *execution;
        let crash = state.crash_after_effect > 0;
        if crash {
            state.crash_after_effect -= 1;
            state.process_starts += 1;
            state.started_at = Instant::now();
        }
        (execution, crash)
    }

    fn silent(&self) -> BackendError {
        let timeout = lock(&self.state).silence_timeout;
        BackendError::Silent { limit_ms: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX) }
    }

    async fn wait_until_responsive(&self) -> Result<(), BackendError> {
        if !*self.up.borrow() {
            return Err(BackendError::Refused);
        }
        let timeout = lock(&self.state).silence_timeout;
        let mut frozen = self.frozen.subscribe();
        match tokio::time::timeout(timeout, frozen.wait_for(|frozen| !frozen)).await {
            Ok(_) => Ok(()),
            Err(_) => Err(self.silent()),
        }
    }
}

impl BackendServer for FakeService {
    fn call(&self, call: BackendCall) -> BoxFuture<'_, Result<BackendAnswer, BackendError>> {
        Box::pin(async move {
            if !*self.up.borrow() {
                return Err(BackendError::Refused);
            }
            let timeout = lock(&self.state).silence_timeout;
            let this = self.clone();
            let task = tokio::spawn(async move {
                lock(&this.state).running += 1;
                let mut up = this.up.subscribe();
                let result = tokio::select! {
                    biased;
                    _ = up.wait_for(|up| !up) => Err(BackendError::Lost),
                    result = this.execute(call.body) => result,
                };
                lock(&this.state).running -= 1;
                result
            });
            match tokio::time::timeout(timeout, task).await {
                Ok(Ok(result)) => result,
                Ok(Err(_)) => Err(BackendError::Lost),
                Err(_) => Err(self.silent()),
            }
        })
    }

    fn cancel<'a>(&'a self, _id: &'a str) -> BoxFuture<'a, Result<(), BackendError>> {
        Box::pin(self.wait_until_responsive())
    }

    fn load(&self) -> BoxFuture<'_, Result<LoadReport, BackendError>> {
        Box::pin(async move {
            self.wait_until_responsive().await?;
            let state = lock(&self.state);
            let uptime_ms =
                u64::try_from(state.started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            let process_id =
                xxh3_64(&[self.seed.to_be_bytes(), state.process_starts.to_be_bytes()].concat());
            Ok(LoadReport { running: state.running, waiting: 0, uptime_ms, process_id })
        })
    }

    fn cache_events(&self, _after: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, BackendError>> {
        Box::pin(async move { self.wait_until_responsive().await.map(|()| Vec::new()) })
    }
}

//! The coordinator's reads from and writes to the key-value store. They run in tasks of their own,
//! so that a map switch in progress doesn't wait for a slow or unreachable store.

use crate::peers::list_engines;
use flamingowheel_backing::kv::{KeyValue, KeyValueError, Operation, Transaction};
use flamingowheel_fleet::EngineParameters;
use flamingowheel_platform::{CONFIGURATION_KEY, operator};
use flamingowheel_protocol::ranks::{GROUPS_PREFIX, GroupRecord};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Minimum interval between writes of a group's record: each one is sent on to every entry.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(700);

/// Minimum relative change of a rank's pace that is published.
const MIN_PACE_CHANGE: f64 = 0.25;

/// Configuration of the engines' service.
#[derive(Clone, Debug)]
pub struct ServiceParameters {
    /// Published speed and sizes of the engines.
    pub engine: EngineParameters,
    /// Shortest pause goal of the service's routes, in milliseconds; 0 if none has one.
    pub pause_goal_ms: f64,
}

/// Timeout of the first attempt to read the store, and maximum pause after a failed one. An
/// unreachable store may be back at any moment, and a group that has formed again needs a better
/// map soon.
const FIRST_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum timeout. The timeout doubles with each attempt up to this value: on a slow link, a large
/// configuration takes seconds to read.
const MAX_TIMEOUT: Duration = Duration::from_secs(8);

/// Result of a lookup in the store.
#[derive(Clone, Debug)]
pub struct LookupResult {
    /// Addresses of the service's engines.
    pub engines: Vec<SocketAddr>,
    /// Parameters of the service; absent if they were not requested or are not configured.
    pub parameters: Option<ServiceParameters>,
}

/// Looks up the engines and parameters of a service in the store.
#[derive(Debug)]
pub struct Lookup<K> {
    store: K,
    service: String,
    sender: mpsc::Sender<LookupResult>,
    results: mpsc::Receiver<LookupResult>,
    reading: Option<JoinHandle<()>>,
}

impl<K> Lookup<K>
where
    K: KeyValue + Clone + Send + Sync + 'static,
{
    /// Creates a lookup of the engines of `service`; it reads nothing until it is started.
    pub fn new(store: K, service: String) -> Self {
        let (sender, results) = mpsc::channel(1);
        Self { store, service, sender, results, reading: None }
    }

    /// Starts reading, with retries until the store answers, unless a read is in progress.
    pub fn start(&mut self, with_parameters: bool) {
        if self.reading.as_ref().is_some_and(|reading| !reading.is_finished()) {
            return;
        }
        let (store, service) = (self.store.clone(), self.service.clone());
        let sender = self.sender.clone();
        self.reading = Some(tokio::spawn(async move {
            let mut timeout = FIRST_TIMEOUT;
            loop {
                let deadline = Instant::now() + timeout;
                let reading = read(&store, &service, with_parameters);
                match timeout_at(deadline, reading).await {
                    // Fails only when the process is shutting down.
                    Ok(Ok(found)) => return drop(sender.send(found).await),
                    Ok(Err(error)) => tracing::debug!(%error, "can't list backend servers"),
                    Err(_) => tracing::debug!("reading the key-value store timed out"),
                }
                sleep_until(deadline.min(Instant::now() + FIRST_TIMEOUT)).await;
                timeout = (timeout * 2).min(MAX_TIMEOUT);
            }
        }));
    }

    /// Waits for the result of the read in progress.
    pub async fn next(&mut self) -> Option<LookupResult> {
        self.results.recv().await
    }
}

async fn read<K>(
    store: &K,
    service: &str,
    with_parameters: bool,
) -> Result<LookupResult, KeyValueError>
where
    K: KeyValue,
{
    let parameters =
        async { if with_parameters { read_parameters(store, service).await } else { None } };
    let (engines, parameters) = tokio::join!(list_engines(store, service), parameters);
    Ok(LookupResult { engines: engines?, parameters })
}

async fn read_parameters<K>(store: &K, service: &str) -> Option<ServiceParameters>
where
    K: KeyValue,
{
    let snapshot = match store.range(CONFIGURATION_KEY).await {
        Ok(snapshot) => snapshot,
        Err(error) => {
            tracing::debug!(%error, "can't read the configuration");
            return None;
        }
    };
    let entry = snapshot.entries.iter().find(|entry| entry.key == CONFIGURATION_KEY)?;
    let configuration = operator::decode(&entry.value)
        .inspect_err(|error| tracing::warn!(%error, "can't decode the configuration"))
        .ok()?;
    let engine = configuration.services.get(service)?.engine.clone()?;
    let pause_goal_ms = configuration.pause_goal_ms(service).unwrap_or(0) as f64;
    Some(ServiceParameters { engine, pause_goal_ms })
}

/// Publishes a group's record to entries through the key-value store.
#[derive(Debug)]
pub struct GroupPublisher<K> {
    store: K,
    /// Group and record that were written last.
    published: Arc<Mutex<Option<(String, GroupRecord)>>>,
    attempted_at: Option<Instant>,
    writing: Option<JoinHandle<()>>,
}

impl<K> GroupPublisher<K>
where
    K: KeyValue + Clone + Send + Sync + 'static,
{
    /// Creates a publisher that has not written anything yet.
    pub fn new(store: K) -> Self {
        Self { store, published: Arc::default(), attempted_at: None, writing: None }
    }

    /// Writes the group's record, unless an equivalent one was written last, a write is in progress
    /// or the last one was less than `PUBLISH_INTERVAL` ago.
    pub fn publish(&mut self, group: &str, record: GroupRecord) {
        let now = Instant::now();
        let is_early = self.attempted_at.is_some_and(|at| now - at < PUBLISH_INTERVAL);
        let is_writing = self.writing.as_ref().is_some_and(|writing| !writing.is_finished());
        if is_early || is_writing || self.is_published(group, &record) {
            return;
        }
        self.attempted_at = Some(now);
        let value = match serde_json::to_vec(&record) {
            Ok(value) => value.into(),
            Err(error) => {
                tracing::error!(%error, "can't encode the group's record");
                return;
            }
        };
        let put = Operation::Put { key: format!("{GROUPS_PREFIX}{group}"), value, lease: None };
        let transaction = Transaction { on_success: vec![put], ..Transaction::default() };
        let (store, published) = (self.store.clone(), Arc::clone(&self.published));
        let group = group.to_owned();
        self.writing = Some(tokio::spawn(async move {
            match store.transact(transaction).await {
                Ok(_) => {
                    let mut published = published.lock().unwrap_or_else(PoisonError::into_inner);
                    *published = Some((group, record));
                }
                Err(error) => tracing::debug!(%error, "can't publish the group's record"),
            }
        }));
    }

    fn is_published(&self, group: &str, record: &GroupRecord) -> bool {
        let published = self.published.lock().unwrap_or_else(PoisonError::into_inner);
        published.as_ref().is_some_and(|(name, last)| name == group && is_equivalent(last, record))
    }
}

/// Whether entries would treat both records the same.
pub fn is_equivalent(a: &GroupRecord, b: &GroupRecord) -> bool {
    let pairs = a.ranks.iter().zip(&b.ranks);
    a.ranks.len() == b.ranks.len()
        && pairs.into_iter().all(|(a, b)| {
            a.engine == b.engine
                && a.is_away == b.is_away
                && (a.pace - b.pace).abs() < MIN_PACE_CHANGE * a.pace.max(b.pace)
        })
}

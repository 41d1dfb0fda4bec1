//! What a coordinator reads from the key-value store and writes there, beside its other work: while the
//! store is slow or away, a change of map under way must not wait for it.

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

/// Time between two announcements of a group at the least: each is a write, and news for every entry.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(700);

/// Change of a rank's pace that entries are told of.
const PACE_STEP: f64 = 0.25;

/// What the configuration says of the engines' service.
#[derive(Clone, Debug)]
pub struct ServiceParameters {
    /// The engines' parameters.
    pub engine: EngineParameters,
    /// The shortest pause goal of its routes, in milliseconds.
    pub pause_goal_ms: f64,
}

/// First wait for the store, and the time between two tries at the least. A store that was silent is
/// back from one moment to the next, and a group that has formed again waits for a better map.
const FIRST_LIMIT: Duration = Duration::from_millis(500);

/// Longest wait. It doubles up to this with each try: a large configuration takes a narrow link seconds.
const LONGEST_LIMIT: Duration = Duration::from_secs(8);

/// What was found in the store.
#[derive(Clone, Debug)]
pub struct LookupResult {
    /// The engines of the service.
    pub engines: Vec<SocketAddr>,
    /// Their parameters, if they were asked for and are there.
    pub parameters: Option<ServiceParameters>,
}

/// Finds the engines of a service.
#[derive(Debug)]
pub struct Lookup<K> {
    store: K,
    service: String,
    sender: mpsc::Sender<LookupResult>,
    found: mpsc::Receiver<LookupResult>,
    reading: Option<JoinHandle<()>>,
}

impl<K> Lookup<K>
where
    K: KeyValue + Clone + Send + Sync + 'static,
{
    /// A lookup of the engines of `service`.
    pub fn new(store: K, service: String) -> Self {
        let (sender, found) = mpsc::channel(1);
        Self { store, service, sender, found, reading: None }
    }

    /// Begins to read until the store answers, unless that is under way.
    pub fn start(&mut self, with_parameters: bool) {
        if self.reading.as_ref().is_some_and(|reading| !reading.is_finished()) {
            return;
        }
        let (store, service) = (self.store.clone(), self.service.clone());
        let sender = self.sender.clone();
        self.reading = Some(tokio::spawn(async move {
            let mut limit = FIRST_LIMIT;
            loop {
                let next_at = Instant::now() + limit;
                let reading = read(&store, &service, with_parameters);
                match timeout_at(next_at, reading).await {
                    // Nobody receives once the process ends.
                    Ok(Ok(found)) => return drop(sender.send(found).await),
                    Ok(Err(error)) => tracing::debug!(%error, "backend servers not listed"),
                    Err(_) => tracing::debug!("no answer from the key-value store in time"),
                }
                sleep_until(next_at.min(Instant::now() + FIRST_LIMIT)).await;
                limit = (limit * 2).min(LONGEST_LIMIT);
            }
        }));
    }

    /// What was found next.
    pub async fn next(&mut self) -> Option<LookupResult> {
        self.found.recv().await
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
            tracing::debug!(%error, "configuration not read");
            return None;
        }
    };
    let entry = snapshot.entries.iter().find(|entry| entry.key == CONFIGURATION_KEY)?;
    let configuration = operator::decode(&entry.value)
        .inspect_err(|error| tracing::warn!(%error, "configuration can't be read"))
        .ok()?;
    let engine = configuration.services.get(service)?.engine.clone()?;
    let pause_goal_ms = configuration.pause_goal_ms(service).unwrap_or(0) as f64;
    Some(ServiceParameters { engine, pause_goal_ms })
}

/// Tells entries of a group, through the store.
#[derive(Debug)]
pub struct GroupPublisher<K> {
    store: K,
    /// What the store has taken last.
    announced: Arc<Mutex<Option<(String, GroupRecord)>>>,
    tried_at: Option<Instant>,
    writing: Option<JoinHandle<()>>,
}

impl<K> GroupPublisher<K>
where
    K: KeyValue + Clone + Send + Sync + 'static,
{
    /// An publisher that has announced nothing.
    pub fn new(store: K) -> Self {
        Self { store, announced: Arc::default(), tried_at: None, writing: None }
    }

    /// Writes the group's record, unless the store has one by which entries would do the same.
    pub fn publish(&mut self, group: &str, record: GroupRecord) {
        let now = Instant::now();
        let is_early = self.tried_at.is_some_and(|at| now - at < ANNOUNCE_PAUSE);
        let is_writing = self.writing.as_ref().is_some_and(|writing| !writing.is_finished());
        if is_early || is_writing || self.is_announced(group, &record) {
            return;
        }
        self.tried_at = Some(now);
        let value = match serde_json::to_vec(&record) {
            Ok(value) => value.into(),
            Err(error) => {
                tracing::error!(%error, "group's record can't be written");
                return;
            }
        };
        let put = Operation::Put { key: format!("{GROUPS_PREFIX}{group}"), value, lease: None };
        let transaction = Transaction { on_success: vec![put], ..Transaction::default() };
        let (store, announced) = (self.store.clone(), Arc::clone(&self.announced));
        let group = group.to_owned();
        self.writing = Some(tokio::spawn(async move {
            match store.transact(transaction).await {
                Ok(_) => {
                    let mut announced = announced.lock().unwrap_or_else(PoisonError::into_inner);
                    *announced = Some((group, record));
                }
                Err(error) => tracing::debug!(%error, "group not announced"),
            }
        }));
    }

    fn is_announced(&self, group: &str, record: &GroupRecord) -> bool {
        let announced = self.announced.lock().unwrap_or_else(PoisonError::into_inner);
        announced.as_ref().is_some_and(|(name, last)| name == group && is_equivalent(last, record))
    }
}

/// Whether entries would do the same with both records.
pub fn is_equivalent(a: &GroupRecord, b: &GroupRecord) -> bool {
    let pairs = a.ranks.iter().zip(&b.ranks);
    a.ranks.len() == b.ranks.len()
        && pairs.into_iter().all(|(a, b)| {
            a.engine == b.engine
                && a.is_away == b.is_away
                && (a.pace - b.pace).abs() < PACE_STEP * a.pace.max(b.pace)
        })
}

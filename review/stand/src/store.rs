//! A stand-in of the platform's store.
//!
//! Reads, watches and transactions are linearizable. Reads with `allowStale` are answered by
//! followers: one keeps the keys up to a page's end and is up to date, the other keeps the rest and
//! may be a few seconds behind.

use crate::http::{Answer, Request};
use crate::json::{Json, quote};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: i64,
}

#[derive(Debug)]
struct Change {
    at: Instant,
    revision: u64,
    key: String,
    item: Option<Item>,
}

#[derive(Debug)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    leases: HashMap<i64, (Duration, Instant)>,
    granted: i64,
    /// How far the follower of the later keys is behind.
    lag: Duration,
    stale_reads: Vec<String>,
}

#[derive(Clone, Debug)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    page_items: usize,
    origin: Instant,
}

impl Store {
    pub fn new(page_items: usize) -> Self {
        let state = State {
            revision: 1_000,
            items: BTreeMap::new(),
            changes: Vec::new(),
            leases: HashMap::new(),
            granted: 0,
            lag: Duration::ZERO,
            stale_reads: Vec::new(),
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            page_items,
            origin: Instant::now(),
        };
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread panics with the lock")
    }

    /// Writes a key as the operator or a runner does. Returns the revision that acknowledges it.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        state.set(key.to_owned(), Some((base64(value.as_bytes()), 0)));
        self.state.1.notify_all();
        state.revision
    }

    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// What was answered to reads with `allowStale`, since the last call.
    pub fn take_stale_reads(&self) -> Vec<String> {
        std::mem::take(&mut self.lock().stale_reads)
    }

    pub fn keys_before(&self, key: &str) -> usize {
        self.lock().items.range(..key.to_owned()).count()
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<i64> = state
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            state.end_lease(lease);
            self.state.1.notify_all();
        }
    }

    pub fn handle(&self, request: &Request) -> Answer {
        std::thread::sleep(ANSWER_TIME);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/kv-key") => self.key(request),
            ("GET", "/v1/kv-range") => self.range(request),
            ("GET", "/v1/kv-watch") => self.watch(request),
            ("POST", "/v1/kv-txn") => self.transact(request),
            ("POST", "/v1/kv-lease") => self.grant(request),
            ("POST", path) if path.starts_with("/v1/kv-keep/") => self.keep(path),
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => self.end(path),
            _ => Answer::json(404, "{}".to_owned()),
        }
    }

    fn key(&self, request: &Request) -> Answer {
        let key = request.field("key").unwrap_or_default();
        let state = self.lock();
        match state.items.get(&key) {
            Some(item) => {
                let revision = state.revision;
                Answer::json(
                    200,
                    format!("{{{},\"storeRevision\":{revision}}}", fields(&key, item)),
                )
            }
            None => Answer::json(404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Request) -> Answer {
        let prefix = request.field("prefix").unwrap_or_default();
        let after = request.field("after").unwrap_or_default();
        let is_stale = request.field("allowStale").as_deref() == Some("1");
        let mut state = self.lock();
        // The first page comes from the follower that is up to date.
        let lag = if is_stale && !after.is_empty() { state.lag } else { Duration::ZERO };
        let (revision, items) = state.view(lag);
        let matching = items.iter().filter(|(key, _)| {
            key.starts_with(&prefix) && (after.is_empty() || key.as_str() > after.as_str())
        });
        let mut found: Vec<(&String, &Item)> = matching.take(self.page_items + 1).collect();
        let has_more = found.len() > self.page_items;
        found.truncate(self.page_items);
        let listed: Vec<String> =
            found.iter().map(|(key, item)| format!("{{{}}}", fields(key, item))).collect();
        if is_stale {
            let (first, last) = (found.first(), found.last());
            let name =
                |entry: Option<&(&String, &Item)>| entry.map_or("-".to_owned(), |e| e.0.clone());
            let line = format!(
                "{:9.3} s  stale read answered: storeRevision {revision}, {} ms old, {} keys from {} to {}",
                self.origin.elapsed().as_secs_f64(),
                lag.as_millis(),
                found.len(),
                name(first),
                name(last)
            );
            drop(found);
            state.stale_reads.push(line);
        }
        let body = format!(
            "{{\"items\":[{}],\"hasMore\":{has_more},\"storeRevision\":{revision}}}",
            listed.join(",")
        );
        Answer::json(200, body)
    }

    fn watch(&self, request: &Request) -> Answer {
        let prefix = request.field("prefix").unwrap_or_default();
        let number = |name| request.field(name).and_then(|value| value.parse::<u64>().ok());
        let (after, wait_ms) = (number("after").unwrap_or(0), number("waitMs").unwrap_or(0));
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            let newer = state.changes.iter().filter(|change| change.revision > after);
            let events: Vec<String> = newer
                .filter(|change| change.key.starts_with(&prefix))
                .map(|change| match &change.item {
                    Some(item) => format!("{{{}}}", fields(&change.key, item)),
                    None => format!(
                        "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                        quote(&change.key),
                        change.revision
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                let events = events.join(",");
                let body = format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}");
                return Answer::json(200, body);
            }
            state = self.state.1.wait_timeout(state, left).expect("no thread panics").0;
        }
    }

    fn transact(&self, request: &Request) -> Answer {
        let Some(body) = Json::parse(&request.body) else {
            return Answer::json(400, "{}".to_owned());
        };
        let mut state = self.lock();
        let holds = body.list("precondition").iter().all(|row| {
            let found = row.text("key").and_then(|key| state.items.get(key));
            found.map_or(0, |item| item.revision) == row.number("revision").unwrap_or(0)
        });
        if !holds {
            return Answer::json(412, "{\"items\":[]}".to_owned());
        }
        let lease_of = |put: &Json| put.number("lease").map_or(0, |lease| lease as i64);
        let has_leases = body
            .list("puts")
            .iter()
            .map(lease_of)
            .all(|lease| lease == 0 || state.leases.contains_key(&lease));
        if !has_leases {
            return Answer::json(404, "{}".to_owned());
        }
        state.revision += 1;
        for put in body.list("puts") {
            if let (Some(key), Some(value)) = (put.text("key"), put.text("value")) {
                state.set(key.to_owned(), Some((value.to_owned(), lease_of(put))));
            }
        }
        for key in body.list("deletes") {
            if let Json::Text(key) = key {
                state.set(key.clone(), None);
            }
        }
        let revision = state.revision;
        self.state.1.notify_all();
        Answer::json(200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, request: &Request) -> Answer {
        let body = Json::parse(&request.body);
        let ttl_ms = body.and_then(|body| body.number("ttlMs")).unwrap_or(1_000).max(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.lock();
        state.granted += 1;
        let lease = 77_000 + state.granted;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        Answer::json(200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
    }

    fn keep(&self, path: &str) -> Answer {
        let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        match self.lock().leases.get_mut(&lease) {
            Some((ttl, until)) => {
                *until = Instant::now() + *ttl;
                Answer::json(200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
            }
            None => Answer::json(404, "{}".to_owned()),
        }
    }

    fn end(&self, path: &str) -> Answer {
        let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let mut state = self.lock();
        let status = if state.leases.contains_key(&lease) { 200 } else { 404 };
        state.end_lease(lease);
        self.state.1.notify_all();
        Answer::json(status, "{}".to_owned())
    }
}

impl State {
    /// Writes or deletes a key at the current revision.
    fn set(&mut self, key: String, value: Option<(String, i64)>) {
        let revision = self.revision;
        let item = value.map(|(value, lease)| {
            let created = self.items.get(&key).map_or(revision, |item| item.created);
            Item { value, revision, created, lease }
        });
        match &item {
            Some(item) => _ = self.items.insert(key.clone(), item.clone()),
            None if self.items.remove(&key).is_none() => return,
            None => {}
        }
        self.changes.push(Change { at: Instant::now(), revision, key, item });
    }

    fn end_lease(&mut self, lease: i64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.set(key, None);
        }
    }

    /// The store as it was some time ago.
    fn view(&self, lag: Duration) -> (u64, BTreeMap<String, Item>) {
        if lag.is_zero() {
            return (self.revision, self.items.clone());
        }
        let (mut revision, mut items) = (1_000, BTreeMap::new());
        let until = Instant::now() - lag;
        for change in self.changes.iter().take_while(|change| change.at <= until) {
            revision = change.revision;
            match &change.item {
                Some(item) => _ = items.insert(change.key.clone(), item.clone()),
                None => _ = items.remove(&change.key),
            }
        }
        (revision, items)
    }
}

fn fields(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    let (key, value) = (quote(key), quote(value));
    format!(
        "\"key\":{key},\"value\":{value},\"revision\":{revision},\"created\":{created},\"lease\":{lease}"
    )
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(LETTERS[(group >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

//! The platform's store: keys with revisions, leases, watches and conditional writes.

use crate::http::{self, Message};
use crate::json::{Json, quoted};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Most items in a page.
const MAX_PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    /// The value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            quoted(key),
            self.value,
            self.revision,
            self.created,
            self.lease
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change: its revision, its key, and the item if it was written.
    changes: Vec<(u64, String, Option<Item>)>,
    /// The end of each lease and its length.
    leases: HashMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push((self.revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.changes.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.delete(key));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (end, _))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
    }
}

/// The store.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Serves the store on a free port.
    pub fn start() -> io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Self::default();
        store.0.0.lock().unwrap().revision = 1;
        let served = store.clone();
        http::serve(listener, move |request, stream| served.handle(request, stream));
        Ok((store, address))
    }

    /// Writes a key, as the operator and the runners do.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.0.1.notify_all();
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let path = request.path().to_owned();
        match (request.method(), path.as_str()) {
            ("GET", "/v1/kv-key") => self.key(request, stream),
            ("GET", "/v1/kv-range") => self.range(request, stream),
            ("GET", "/v1/kv-watch") => self.watch(request, stream),
            ("POST", "/v1/kv-txn") => self.transact(request, stream),
            ("POST", "/v1/kv-lease") => self.grant(request, stream),
            ("POST", path) if path.starts_with("/v1/kv-keep/") => self.keep(path, stream),
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                let mut state = self.0.0.lock().unwrap();
                state.end_lease(last_number(path));
                self.0.1.notify_all();
                drop(state);
                http::answer(stream, 200, "{}")
            }
            _ => http::answer(stream, 404, "{}"),
        }
    }

    fn key(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let key = request.query("key").unwrap_or_default();
        let state = self.0.0.lock().unwrap();
        let found = state.items.get(&key).map(|item| item.json(&key));
        let revision = state.revision;
        drop(state);
        match found {
            Some(item) => {
                let item = format!("{},\"storeRevision\":{revision}}}", &item[..item.len() - 1]);
                http::answer(stream, 200, &item)
            }
            None => http::answer(stream, 404, "{}"),
        }
    }

    fn range(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let mut state = self.0.0.lock().unwrap();
        state.expire();
        let listed = state.items.iter();
        let listed = listed.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> = listed.map(|(key, item)| item.json(key)).collect();
        let revision = state.revision;
        drop(state);
        let has_more = items.len() > MAX_PAGE_ITEMS;
        let page = items.into_iter().take(MAX_PAGE_ITEMS).collect::<Vec<_>>().join(",");
        let body =
            format!("{{\"items\":[{page}],\"hasMore\":{has_more},\"storeRevision\":{revision}}}");
        http::answer(stream, 200, &body)
    }

    fn watch(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let number = |name| request.query(name).and_then(|n| n.parse().ok()).unwrap_or(0_u64);
        let prefix = request.query("prefix").unwrap_or_default();
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("waitMs"));
        let mut state = self.0.0.lock().unwrap();
        loop {
            state.expire();
            let newer = state.changes.iter().rev().take_while(|(revision, ..)| *revision > after);
            let mut events: Vec<String> = newer
                .filter(|(_, key, _)| key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item.json(key),
                    None => {
                        let key = quoted(key);
                        format!("{{\"key\":{key},\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            events.reverse();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let (events, revision) = (events.join(","), state.revision);
                drop(state);
                let body = format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}");
                return http::answer(stream, 200, &body);
            }
            let wait = (until - now).min(Duration::from_millis(100));
            state = self.0.1.wait_timeout(state, wait).unwrap().0;
        }
    }

    fn transact(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let Some(body) = Json::parse(&request.body) else {
            return http::answer(stream, 400, "{}");
        };
        let mut state = self.0.0.lock().unwrap();
        state.expire();
        let holds = |row: &Json| {
            let found = state.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            found == row.get("revision").number()
        };
        if !body.get("precondition").list().iter().all(holds) {
            drop(state);
            return http::answer(stream, 412, "{\"items\":[]}");
        }
        let puts = body.get("puts").list();
        let lease_of = |put: &Json| put.get("lease").number();
        if puts.iter().map(lease_of).any(|id| id != 0 && !state.leases.contains_key(&id)) {
            drop(state);
            return http::answer(stream, 404, "{}");
        }
        state.revision += 1;
        for put in puts {
            let value = put.get("value").text().to_owned();
            state.put(put.get("key").text(), value, lease_of(put));
        }
        for key in body.get("deletes").list() {
            state.delete(key.text());
        }
        let revision = state.revision;
        self.0.1.notify_all();
        drop(state);
        http::answer(stream, 200, &format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let ttl_ms = Json::parse(&request.body).map_or(0, |body| body.get("ttlMs").number());
        let ttl = Duration::from_millis(ttl_ms.clamp(1_000, 600_000));
        let mut state = self.0.0.lock().unwrap();
        state.last_lease += 1;
        let lease = state.last_lease;
        state.leases.insert(lease, (Instant::now() + ttl, ttl));
        drop(state);
        let body = format!("{{\"lease\":{lease},\"ttlMs\":{}}}", ttl.as_millis());
        http::answer(stream, 200, &body)
    }

    fn keep(&self, path: &str, stream: &mut TcpStream) -> io::Result<bool> {
        let mut state = self.0.0.lock().unwrap();
        state.expire();
        let kept = state.leases.get_mut(&last_number(path)).map(|(end, ttl)| {
            *end = Instant::now() + *ttl;
            ttl.as_millis()
        });
        drop(state);
        match kept {
            Some(ttl_ms) => http::answer(stream, 200, &format!("{{\"ttlMs\":{ttl_ms}}}")),
            None => http::answer(stream, 404, "{}"),
        }
    }
}

fn last_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0)
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let part = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place)) as usize & 63];
            out.push(if place <= group.len() { digit as char } else { '=' });
        }
    }
    out
}

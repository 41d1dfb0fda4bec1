//! Client of the key-value service through the etcd v3 HTTP/JSON gateway.

use super::http::{HttpClient, HttpError, HttpLimits, Reuse, read_chunk};
use super::split::Splitter;
use super::wire::{
    Base64, CODE_NOT_FOUND, CODE_RESOURCE_EXHAUSTED, CompareResult, CompareTarget, ErrorBody,
    EventKind, Int64, LeaseMessage, PutRequest, RangeRequest, RangeResponse, RequestOp, Streamed,
    TxnRequest, TxnResponse, WatchCreate, WatchRequest, WatchResponse, WireCompare, WireEntry,
    WireEvent, key_text,
};
use crate::BoxFuture;
use crate::kv::{
    Compare, KeyValue, KeyValueEntry, KeyValueError, LeaseId, MAX_VALUE_BYTES, Operation, Revision,
    Snapshot, Transaction, TransactionAnswer, Watch, WatchEvent,
};
use bytes::Bytes;
use http::uri::Authority;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::sync::mpsc;

/// Events buffered for a slow reader.
const WATCH_CAPACITY: usize = 256;
/// Longest line of a watch: all events of one transaction, with values in base64.
const MAX_WATCH_LINE_BYTES: usize = 64 * 1024 * 1024;

/// Limits for the key-value service: it answers within milliseconds, and an answer may hold tens of
/// values of the maximum size.
pub fn default_limits() -> HttpLimits {
    HttpLimits {
        head_timeout_ms: 1_000,
        read_timeout_ms: 1_000,
        body_timeout_ms: 30_000,
        idle_timeout_ms: 1_000,
        max_body_bytes: 128 * 1024 * 1024,
        ..HttpLimits::default()
    }
}

/// Client of the etcd v3 gateway.
#[derive(Clone, Debug)]
pub struct EtcdClient {
    http: HttpClient,
}

impl EtcdClient {
    /// Creates a client of the gateway at `authority`.
    ///
    /// ```
    /// use flamingowheel_backing::client::{EtcdClient, etcd};
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// let limits = etcd::default_limits();
    /// let _client = EtcdClient::new("127.0.0.1:2379".parse().unwrap(), limits);
    /// # });
    /// ```
    pub fn new(authority: Authority, limits: HttpLimits) -> Self {
        Self { http: HttpClient::new(authority, limits) }
    }

    async fn post<Q, A>(&self, path: &str, message: &Q, reuse: Reuse) -> Result<A, KeyValueError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let request = self.request(path, message)?;
        let answer = self.http.fetch(request, reuse).await.map_err(key_value_error)?;
        if answer.status != StatusCode::OK {
            return Err(error_from_answer(answer.status, &answer.body));
        }
        // A streamed answer may hold further elements; only the first is used.
        let mut values = serde_json::Deserializer::from_slice(&answer.body).into_iter::<A>();
        match values.next() {
            Some(Ok(value)) => Ok(value),
            Some(Err(_)) | None => Err(KeyValueError::Malformed { what: "answer" }),
        }
    }

    fn request<Q>(&self, path: &str, message: &Q) -> Result<Request<Full<Bytes>>, KeyValueError>
    where
        Q: Serialize,
    {
        // A request that can't be built was never sent.
        let body = serde_json::to_vec(message).map_err(|_| KeyValueError::Unreachable)?;
        self.http
            .request(Method::POST, path)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body.into()))
            .map_err(|_| KeyValueError::Unreachable)
    }

    async fn read_range(&self, prefix: &str) -> Result<Snapshot, KeyValueError> {
        let request = RangeRequest::prefix(prefix);
        let answer: RangeResponse = self.post("/v3/kv/range", &request, Reuse::Allowed).await?;
        let entries = answer.kvs.into_iter().filter_map(readable).map(KeyValueEntry::try_from);
        let entries = entries.collect::<Result<_, _>>();
        Ok(Snapshot { revision: answer.header.revision.revision(), entries: entries? })
    }

    async fn send_transaction(
        &self,
        transaction: Transaction,
    ) -> Result<TransactionAnswer, KeyValueError> {
        check_values(&transaction)?;
        let request = TxnRequest {
            compare: transaction.compares.into_iter().map(wire_compare).collect(),
            success: transaction.on_success.into_iter().map(wire_operation).collect(),
            failure: transaction.on_failure.into_iter().map(wire_operation).collect(),
        };
        // A new connection: reused ones fail more often with `NoAnswer`, which costs a read back.
        let answer: TxnResponse = self.post("/v3/kv/txn", &request, Reuse::Never).await?;
        let reads = answer
            .responses
            .into_iter()
            .filter_map(|response| response.response_range)
            .map(|range| range.kvs.into_iter().next().map(KeyValueEntry::try_from).transpose())
            .collect::<Result<_, _>>()?;
        let revision = answer.header.revision.revision();
        Ok(TransactionAnswer { succeeded: answer.succeeded, revision, reads })
    }

    async fn open_watch(&self, prefix: &str, after: Revision) -> Result<Watch, KeyValueError> {
        let RangeRequest { key, range_end } = RangeRequest::prefix(prefix);
        let start_revision = Revision(after.0 + 1).into();
        let create_request = WatchCreate { key, range_end, start_revision, progress_notify: true };
        let request = self.request("/v3/watch", &WatchRequest { create_request })?;
        let response = self.http.send(request, Reuse::Never).await.map_err(key_value_error)?;
        if response.status() != StatusCode::OK {
            return Err(error_from_answer(response.status(), &[]));
        }
        let (sender, receiver) = mpsc::channel(WATCH_CAPACITY);
        tokio::spawn(async move {
            tokio::select! {
                () = sender.closed() => {}
                () = relay_events(response.into_body(), &sender) => {}
            }
        });
        Ok(receiver)
    }
}

/// Relays events until the connection ends. A malformed answer ends the watch, so that its holder
/// reads the prefix again.
async fn relay_events(mut body: Incoming, sender: &mpsc::Sender<WatchEvent>) {
    let mut lines = Splitter::lines(MAX_WATCH_LINE_BYTES);
    while let Ok(Some(chunk)) = read_chunk(&mut body).await {
        lines.push(chunk);
        loop {
            let line = match lines.next_item() {
                Ok(Some(line)) => line,
                Ok(None) => break,
                Err(_) => return,
            };
            let Ok(Streamed { result }) = serde_json::from_slice::<Streamed<WatchResponse>>(&line)
            else {
                return;
            };
            if !deliver(result, sender).await {
                return;
            }
        }
    }
}

/// Sends the events of an answer; returns whether the watch continues.
async fn deliver(answer: WatchResponse, sender: &mpsc::Sender<WatchEvent>) -> bool {
    if answer.canceled {
        let oldest = answer.compact_revision.revision();
        if oldest > Revision(0) {
            let _ = sender.send(WatchEvent::Compacted { oldest }).await;
        }
        return false;
    }
    if answer.events.is_empty() {
        let revision = answer.header.revision.revision();
        // A `created` answer is not progress: it has the store's revision, but older events follow.
        return answer.created || sender.send(WatchEvent::Progress { revision }).await.is_ok();
    }
    for wire_event in answer.events {
        let WireEvent { kind, kv } = wire_event;
        let Some(kv) = readable(kv) else { continue };
        let Ok(event) = watch_event(WireEvent { kind, kv }) else { return false };
        if sender.send(event).await.is_err() {
            return false;
        }
    }
    true
}

/// Leaves out an entry of another writer whose key is no text, so that it doesn't hide the others.
fn readable(wire: WireEntry) -> Option<WireEntry> {
    match key_text(&wire.key) {
        Ok(_) => Some(wire),
        Err(error) => {
            tracing::warn!(key = ?wire.key.0, %error, "stored entry ignored");
            None
        }
    }
}

fn watch_event(wire: WireEvent) -> Result<WatchEvent, KeyValueError> {
    match wire.kind {
        EventKind::Put => wire.kv.try_into().map(WatchEvent::Put),
        EventKind::Delete => Ok(WatchEvent::Delete {
            key: key_text(&wire.kv.key)?,
            revision: wire.kv.mod_revision.revision(),
        }),
    }
}

fn check_values(transaction: &Transaction) -> Result<(), KeyValueError> {
    for operation in transaction.on_success.iter().chain(&transaction.on_failure) {
        if let Operation::Put { value, .. } = operation
            && value.len() > MAX_VALUE_BYTES
        {
            return Err(KeyValueError::ValueTooLarge { bytes: value.len() });
        }
    }
    Ok(())
}

fn wire_compare(compare: Compare) -> WireCompare {
    let result = CompareResult::Equal;
    match compare {
        Compare::Absent { key } => WireCompare {
            result,
            target: CompareTarget::Create,
            key: key.as_str().into(),
            create_revision: Some(Int64(0)),
            mod_revision: None,
        },
        Compare::ModRevision { key, revision } => WireCompare {
            result,
            target: CompareTarget::Mod,
            key: key.as_str().into(),
            create_revision: None,
            mod_revision: Some(revision.into()),
        },
    }
}

fn wire_operation(operation: Operation) -> RequestOp {
    let single_key = |key: &str| Some(RangeRequest { key: key.into(), range_end: None });
    match operation {
        Operation::Put { key, value, lease } => {
            let lease = Int64(lease.map_or(0, |lease| lease.0));
            let put = PutRequest { key: key.as_str().into(), value: Base64(value), lease };
            RequestOp { put: Some(put), ..RequestOp::default() }
        }
        Operation::Get { key } => RequestOp { range: single_key(&key), ..RequestOp::default() },
        Operation::Delete { key } => RequestOp { delete: single_key(&key), ..RequestOp::default() },
    }
}

fn key_value_error(error: HttpError) -> KeyValueError {
    match error {
        HttpError::Refused => KeyValueError::Unreachable,
        HttpError::Silent { limit_ms } | HttpError::Unfinished { limit_ms } => {
            KeyValueError::NoAnswer { limit_ms }
        }
        HttpError::Lost => KeyValueError::NoAnswer { limit_ms: 0 },
        HttpError::Malformed => KeyValueError::Malformed { what: "HTTP" },
        HttpError::TooLarge { .. } => KeyValueError::Malformed { what: "size" },
    }
}

fn error_from_answer(status: StatusCode, body: &[u8]) -> KeyValueError {
    let code = serde_json::from_slice::<ErrorBody>(body).unwrap_or_default().code;
    match code {
        CODE_NOT_FOUND => KeyValueError::LeaseNotFound,
        CODE_RESOURCE_EXHAUSTED => KeyValueError::RateExceeded,
        _ if status == StatusCode::TOO_MANY_REQUESTS => KeyValueError::RateExceeded,
        // For example a timeout within the service, after which the write may still take effect.
        _ => KeyValueError::Malformed { what: "status" },
    }
}

impl KeyValue for EtcdClient {
    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Snapshot, KeyValueError>> {
        Box::pin(self.read_range(prefix))
    }

    fn transact(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'_, Result<TransactionAnswer, KeyValueError>> {
        Box::pin(self.send_transaction(transaction))
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, KeyValueError>> {
        Box::pin(async move {
            let ttl_s = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
            let ttl_s = Int64(i64::try_from(ttl_s).unwrap_or(i64::MAX).max(1));
            let request = LeaseMessage { ttl_s, ..LeaseMessage::default() };
            let lease: LeaseMessage = self.post("/v3/lease/grant", &request, Reuse::Never).await?;
            Ok(LeaseId(lease.id.0))
        })
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        Box::pin(async move {
            let request = LeaseMessage { id: Int64(lease.0), ..LeaseMessage::default() };
            let answer: Streamed<LeaseMessage> =
                self.post("/v3/lease/keepalive", &request, Reuse::Allowed).await?;
            if answer.result.ttl_s.0 <= 0 {
                return Err(KeyValueError::LeaseNotFound);
            }
            Ok(())
        })
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        Box::pin(async move {
            let request = LeaseMessage { id: Int64(lease.0), ..LeaseMessage::default() };
            let _: serde::de::IgnoredAny =
                self.post("/v3/lease/revoke", &request, Reuse::Never).await?;
            Ok(())
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
    ) -> BoxFuture<'a, Result<Watch, KeyValueError>> {
        Box::pin(self.open_watch(prefix, after))
    }
}

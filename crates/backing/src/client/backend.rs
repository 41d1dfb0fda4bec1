//! Client of a backend server: a model engine with event streams, or a plain service.

use super::encode_segment;
use super::framing::framing_of;
use super::http::{HttpClient, HttpError, HttpLimits, Reuse};
use super::split::{Splitter, is_done};
use crate::BoxFuture;
use crate::backend::{
    BackendAnswer, BackendCall, BackendError, BackendServer, BodyPiece, CacheEvent, LoadReport,
};
use bytes::Bytes;
use flamingowheel_policy::answers::{Content, Framing, MAX_ANSWER_BYTES};
use http::uri::Authority;
use http::{HeaderValue, Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Header with the call's id, which is needed to cancel it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the call's priority; lower numbers are served first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header with the number of events that the caller already has.
pub const RESUME_HEADER: &str = "x-resume-after-events";

/// Pieces buffered for a slow reader before reading from the connection pauses.
const BODY_CAPACITY: usize = 64;
/// Largest event of a stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Timeout of a health check, a cancel or a read of cache events. A health check that waits longer
/// on a dead connection would leave a crash undetected.
const CONTROL_TIMEOUT_MS: u64 = 1_000;

/// Kind of backend server, which decides how the end of a body is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendKind {
    /// A model engine: its event streams are complete only with their end marker.
    Engine,
    /// A plain service: its bodies end as HTTP defines, by length, last chunk, or the end of the
    /// connection to a server that lives.
    Service,
}

/// HTTP client of a backend server.
#[derive(Clone, Debug)]
pub struct HttpBackend {
    http: HttpClient,
    /// With short timeouts, for health checks, cancels and cache events.
    control: HttpClient,
    kind: BackendKind,
}

impl HttpBackend {
    /// Creates a client of the backend server at `authority`.
    ///
    /// ```
    /// use flamingowheel_backing::client::{BackendKind, HttpBackend, HttpLimits};
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// let authority = "127.0.0.1:8000".parse().unwrap();
    /// let _engine = HttpBackend::new(authority, BackendKind::Engine, HttpLimits::default());
    /// # });
    /// ```
    pub fn new(authority: Authority, kind: BackendKind, limits: HttpLimits) -> Self {
        let control = HttpLimits {
            head_timeout_ms: limits.head_timeout_ms.min(CONTROL_TIMEOUT_MS),
            read_timeout_ms: limits.read_timeout_ms.min(CONTROL_TIMEOUT_MS),
            body_timeout_ms: limits.body_timeout_ms.min(CONTROL_TIMEOUT_MS),
            idle_timeout_ms: limits.idle_timeout_ms.min(CONTROL_TIMEOUT_MS),
            ..limits.clone()
        };
        Self {
            control: HttpClient::new(authority.clone(), control),
            http: HttpClient::new(authority, limits),
            kind,
        }
    }

    async fn start(&self, call: BackendCall) -> Result<BackendAnswer, BackendError> {
        let request = self.build_request(call)?;
        let response = self.http.send(request, Reuse::Never).await.map_err(backend_error)?;
        let status = response.status().as_u16();
        let content_type = content_type(&response).to_owned();
        let (sender, receiver) = mpsc::channel(BODY_CAPACITY);
        let events =
            self.kind == BackendKind::Engine && content_type.starts_with("text/event-stream");
        let relay = BodyRelay { http: self.http.clone(), sender };
        tokio::spawn(relay.run(response, events));
        Ok(BackendAnswer { status, content_type, body: receiver })
    }

    fn build_request(&self, call: BackendCall) -> Result<Request<Full<Bytes>>, BackendError> {
        let mut request = self.http.request(call.method, &call.path);
        if let Some(content_type) = &call.content_type {
            request = request.header(http::header::CONTENT_TYPE, content_type);
        }
        request = request.header(REQUEST_ID_HEADER, &call.id);
        if self.kind == BackendKind::Engine {
            request = request
                .header(PRIORITY_HEADER, HeaderValue::from(u16::from(call.priority.0)))
                .header(RESUME_HEADER, HeaderValue::from(call.resume_after_events));
        }
        // A request that can't be built was never sent.
        request.body(Full::new(call.body)).map_err(|_| BackendError::Refused)
    }

    async fn get<A>(&self, path: &str) -> Result<A, BackendError>
    where
        A: DeserializeOwned,
    {
        let request = self
            .control
            .request(Method::GET, path)
            .body(Full::default())
            .map_err(|_| BackendError::Refused)?;
        let answer = self.control.fetch(request, Reuse::Allowed).await.map_err(backend_error)?;
        if !answer.status.is_success() {
            return Err(BackendError::Malformed);
        }
        serde_json::from_slice(&answer.body).map_err(|_| BackendError::Malformed)
    }
}

fn content_type(response: &Response<Incoming>) -> &str {
    let value = response.headers().get(http::header::CONTENT_TYPE);
    value.and_then(|value| value.to_str().ok()).unwrap_or("application/octet-stream")
}

pub(super) fn backend_error(error: HttpError) -> BackendError {
    match error {
        HttpError::Refused => BackendError::Refused,
        HttpError::Lost => BackendError::Lost,
        HttpError::Silent { limit_ms } | HttpError::Unfinished { limit_ms } => {
            BackendError::Silent { limit_ms }
        }
        HttpError::Malformed | HttpError::TooLarge { .. } => BackendError::Malformed,
    }
}

/// Relays a body from its connection to the reader. When the reader drops its end, the connection
/// is closed, which makes the engine stop.
struct BodyRelay {
    http: HttpClient,
    sender: mpsc::Sender<Result<BodyPiece, BackendError>>,
}

impl BodyRelay {
    async fn run(self, response: Response<Incoming>, events: bool) {
        let framing = framing_of(&response);
        let body = response.into_body();
        let result = if events {
            self.relay_events(body, framing).await
        } else {
            self.relay_bytes(body, framing).await
        };
        let end = result.map(|()| BodyPiece::End);
        let _ = self.sender.send(end).await;
    }

    async fn relay_bytes(&self, mut body: Incoming, framing: Framing) -> Result<(), BackendError> {
        let mut last_data_at = Instant::now();
        let mut received_bytes = 0;
        while let Some(chunk) = self.next_chunk(&mut body).await? {
            last_data_at = Instant::now();
            count_bytes(&mut received_bytes, &chunk)?;
            self.deliver(chunk).await?;
        }
        self.check_end(framing, Content::Opaque, last_data_at).await
    }

    async fn relay_events(&self, mut body: Incoming, framing: Framing) -> Result<(), BackendError> {
        let mut splitter = Splitter::events(MAX_EVENT_BYTES);
        let mut last_data_at = Instant::now();
        let mut received_bytes = 0;
        while let Some(chunk) = self.next_chunk(&mut body).await? {
            last_data_at = Instant::now();
            count_bytes(&mut received_bytes, &chunk)?;
            splitter.push(chunk);
            while let Some(event) = splitter.next_item().map_err(|_| BackendError::Malformed)? {
                let done = is_done(&event);
                self.deliver(event).await?;
                if done {
                    return self.check_end(framing, Content::EndMarker, last_data_at).await;
                }
            }
        }
        self.check_end(framing, Content::BeforeEndMarker, last_data_at).await
    }

    async fn check_end(
        &self,
        framing: Framing,
        content: Content,
        last_data_at: Instant,
    ) -> Result<(), BackendError> {
        let checked = self.http.check_end(framing, content, last_data_at.elapsed()).await;
        checked.map_err(backend_error)
    }

    async fn next_chunk(&self, body: &mut Incoming) -> Result<Option<Bytes>, BackendError> {
        tokio::select! {
            biased;
            chunk = self.http.next_chunk(body) => chunk.map_err(backend_error),
            () = self.sender.closed() => Err(BackendError::Lost),
        }
    }

    async fn deliver(&self, data: Bytes) -> Result<(), BackendError> {
        self.sender.send(Ok(BodyPiece::Data(data))).await.map_err(|_| BackendError::Lost)
    }
}

fn count_bytes(received_bytes: &mut u64, chunk: &[u8]) -> Result<(), BackendError> {
    *received_bytes += chunk.len() as u64;
    if *received_bytes > MAX_ANSWER_BYTES {
        tracing::warn!(limit_bytes = MAX_ANSWER_BYTES, "answer without end given up");
        return Err(BackendError::Malformed);
    }
    Ok(())
}

impl BackendServer for HttpBackend {
    fn call(&self, call: BackendCall) -> BoxFuture<'_, Result<BackendAnswer, BackendError>> {
        Box::pin(self.start(call))
    }

    fn cancel<'a>(&'a self, id: &'a str) -> BoxFuture<'a, Result<(), BackendError>> {
        Box::pin(async move {
            let path = format!("/v1/cancel/{}", encode_segment(id));
            let request = self
                .control
                .request(Method::POST, &path)
                .body(Full::default())
                .map_err(|_| BackendError::Refused)?;
            let answer =
                self.control.fetch(request, Reuse::Allowed).await.map_err(backend_error)?;
            if answer.status.is_success() { Ok(()) } else { Err(BackendError::Malformed) }
        })
    }

    fn load(&self) -> BoxFuture<'_, Result<LoadReport, BackendError>> {
        Box::pin(self.get("/v1/load"))
    }

    fn cache_events(&self, after: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, BackendError>> {
        Box::pin(async move {
            if self.kind == BackendKind::Service {
                return Ok(Vec::new());
            }
            self.get(&format!("/v1/cache-events?after={after}")).await
        })
    }
}

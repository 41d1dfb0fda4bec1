//! A small HTTP/1.1 client for all calls to external systems.
//!
//! It never sends a request twice, never follows a redirect, and distinguishes a request that was
//! never sent from one that may have been carried out.

use super::framing::framing_of;
use super::informational::InformationalHeads;
use super::liveness;
use super::status::is_final;
use bytes::{Bytes, BytesMut};
use flamingowheel_policy::answers::{Content, Framing};
use http::uri::{Authority, Scheme};
use http::{HeaderMap, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::error::Error;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Port of a server whose authority has none.
const DEFAULT_PORT: u16 = 80;

/// Limits on how long the client waits for a peer and on how much it buffers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Longest time to open a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Longest time from sending a request to the head of its answer, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest wait for the next bytes of a body, in milliseconds.
    pub read_timeout_ms: u64,
    /// Longest time from the head of an answer to its end if [`HttpClient::fetch`] reads it, in
    /// milliseconds.
    pub body_timeout_ms: u64,
    /// Longest time for which an idle connection is kept, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Largest number of headers in an answer.
    pub max_headers: usize,
    /// Largest head, and size of the read buffer, in bytes.
    pub max_head_bytes: usize,
    /// Largest body that [`HttpClient::fetch`] buffers, in bytes.
    pub max_body_bytes: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            head_timeout_ms: 10_000,
            read_timeout_ms: 10_000,
            body_timeout_ms: 10_000,
            idle_timeout_ms: 10_000,
            max_headers: 64,
            max_head_bytes: 64 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
        }
    }
}

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// No connection could be opened: the request was never sent.
    #[error("connection refused")]
    Refused,
    /// The connection broke: the request may have been carried out.
    #[error("connection lost")]
    Lost,
    /// No byte arrived within the timeout; the request may have been carried out.
    #[error("no byte for {limit_ms} ms")]
    Silent {
        /// The timeout, in milliseconds.
        limit_ms: u64,
    },
    /// The answer did not end within the timeout, though bytes arrived.
    #[error("answer not at its end after {limit_ms} ms")]
    Unfinished {
        /// The timeout, in milliseconds.
        limit_ms: u64,
    },
    /// The answer is not valid HTTP.
    #[error("malformed answer")]
    Malformed,
    /// The answer is larger than allowed.
    #[error("answer larger than {limit_bytes} bytes")]
    TooLarge {
        /// The limit, in bytes.
        limit_bytes: usize,
    },
}

/// Whether a request may go out on a connection that was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// For reads and other calls that may be repeated.
    Allowed,
    /// For calls whose outcome must be known if possible. A reused connection may have been closed
    /// by the server, which leaves unknown whether the request ran; on a new connection a failure
    /// to connect proves that it did not.
    Never,
}

/// An answer with its body read completely.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Status code of the answer, whether success or error.
    pub status: StatusCode,
    /// Headers of the answer, without trailers.
    pub headers: HeaderMap,
    /// The body, at most [`HttpLimits::max_body_bytes`].
    pub body: Bytes,
}

type RawClient = Client<HttpConnector, Full<Bytes>>;

/// A client of one server.
#[derive(Clone, Debug)]
pub struct HttpClient {
    authority: Authority,
    pooled: RawClient,
    unpooled: RawClient,
    limits: HttpLimits,
}

impl HttpClient {
    /// Creates a client of the server at `authority`, for example `10.0.0.7:8000`.
    ///
    /// ```
    /// use flamingowheel_backing::client::{HttpClient, HttpLimits};
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// let client = HttpClient::new("127.0.0.1:8000".parse().unwrap(), HttpLimits::default());
    /// assert_eq!(client.limits().max_headers, 64);
    /// # });
    /// ```
    pub fn new(authority: Authority, limits: HttpLimits) -> Self {
        let pooled = build_client(&limits, true);
        let unpooled = build_client(&limits, false);
        Self { authority, pooled, unpooled, limits }
    }

    /// The limits that this client was created with.
    pub fn limits(&self) -> &HttpLimits {
        &self.limits
    }

    /// Starts a request to this server; `path` may hold a query.
    pub fn request(&self, method: http::Method, path: &str) -> http::request::Builder {
        let uri = Uri::builder()
            .scheme(Scheme::HTTP)
            .authority(self.authority.clone())
            .path_and_query(path)
            .build();
        let request = Request::builder().method(method);
        match uri {
            Ok(uri) => request.uri(uri),
            // Keeps the error in the builder, which returns it when the body is set.
            Err(_) => request.uri(path),
        }
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<Response<Incoming>, HttpError> {
        let informational = InformationalHeads::of(&mut request);
        let client = match reuse {
            Reuse::Allowed => &self.pooled,
            Reuse::Never => &self.unpooled,
        };
        let limit_ms = self.limits.head_timeout_ms;
        // A timeout drops the exchange and closes its connection, so a silent one is not reused.
        let answer = tokio::time::timeout(Duration::from_millis(limit_ms), client.request(request));
        let answer = tokio::select! {
            answer = answer => answer,
            () = informational.exceeded() => return Err(HttpError::Malformed),
        };
        match answer {
            Ok(Ok(response)) if is_final(response.status().as_u16()) => Ok(response),
            Ok(Ok(response)) => {
                let (server, status) = (&self.authority, response.status().as_u16());
                tracing::info!(%server, status, "answer without a valid status");
                Err(HttpError::Malformed)
            }
            Ok(Err(error)) if error.is_connect() => Err(HttpError::Refused),
            Ok(Err(error)) => Err(classify(&error)),
            Err(_) => Err(HttpError::Silent { limit_ms }),
        }
    }

    /// Sends a request and reads the answer to its end. Only a whole answer is returned; one without
    /// end fails by its size or its time.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<BufferedResponse, HttpError> {
        let response = self.send(request, reuse).await?;
        let limit_ms = self.limits.body_timeout_ms;
        let reading = tokio::time::timeout(Duration::from_millis(limit_ms), self.read(response));
        reading.await.unwrap_or(Err(HttpError::Unfinished { limit_ms }))
    }

    async fn read(&self, response: Response<Incoming>) -> Result<BufferedResponse, HttpError> {
        let framing = framing_of(&response);
        let (parts, mut body) = response.into_parts();
        let limit_bytes = self.limits.max_body_bytes;
        let mut buffer = BytesMut::new();
        let mut last_data_at = Instant::now();
        while let Some(chunk) = self.next_chunk(&mut body).await? {
            last_data_at = Instant::now();
            if buffer.len() + chunk.len() > limit_bytes {
                return Err(HttpError::TooLarge { limit_bytes });
            }
            buffer.extend_from_slice(&chunk);
        }
        self.check_end(framing, Content::Opaque, last_data_at.elapsed()).await?;
        Ok(BufferedResponse { status: parts.status, headers: parts.headers, body: buffer.freeze() })
    }

    /// Checks whether an answer whose body was read to its end is whole. `silence` is the time between
    /// its last bytes and its end.
    pub async fn check_end(
        &self,
        framing: Framing,
        content: Content,
        silence: Duration,
    ) -> Result<(), HttpError> {
        let evidence = liveness::judge_end(framing, content, silence, || self.connect()).await;
        if evidence.is_whole() {
            return Ok(());
        }
        let (server, evidence) = (&self.authority, evidence.name());
        tracing::info!(%server, framing = framing.name(), evidence, "answer broken off");
        Err(HttpError::Lost)
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let port = self.authority.port_u16().unwrap_or(DEFAULT_PORT);
        TcpStream::connect((self.authority.host(), port)).await
    }

    /// Reads the next bytes of a body; `None` is its end.
    pub async fn next_chunk(&self, body: &mut Incoming) -> Result<Option<Bytes>, HttpError> {
        let limit_ms = self.limits.read_timeout_ms;
        let next = read_chunk(body);
        match tokio::time::timeout(Duration::from_millis(limit_ms), next).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::Silent { limit_ms }),
        }
    }
}

/// Reads the next bytes of a body, however long that takes; `None` is its end.
pub async fn read_chunk(body: &mut Incoming) -> Result<Option<Bytes>, HttpError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| classify(&error))?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Idle time before the first TCP keepalive probe, and time between probes. With the retries a dead
/// connection is detected within 3 s.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;

fn build_client(limits: &HttpLimits, pool: bool) -> RawClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(Duration::from_millis(limits.connect_timeout_ms)));
    connector.set_nodelay(true);
    // A middlebox can lose its state of a connection, which then stays open while nothing arrives
    // any more. Nothing is sent while an answer is being prepared either, so only the kernel's
    // probes distinguish a dead connection from a slow answer.
    connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    let mut builder = Client::builder(TokioExecutor::new());
    builder
        .retry_canceled_requests(false)
        .http1_max_headers(limits.max_headers)
        .http1_max_buf_size(limits.max_head_bytes)
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_millis(limits.idle_timeout_ms));
    if !pool {
        builder.pool_max_idle_per_host(0);
    }
    builder.build(connector)
}

fn classify<E>(error: &E) -> HttpError
where
    E: Error + 'static,
{
    let mut cause: Option<&(dyn Error + 'static)> = Some(error);
    while let Some(current) = cause {
        if let Some(hyper) = current.downcast_ref::<hyper::Error>()
            && (hyper.is_parse() || hyper.is_parse_too_large())
        {
            return HttpError::Malformed;
        }
        cause = current.source();
    }
    HttpError::Lost
}

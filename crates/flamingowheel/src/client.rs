//! HTTP client for the operators' port of entries and other processes.

use std::error::Error as StdError;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use flamingowheel_backing::client::framing::framing_of;
use flamingowheel_backing::client::liveness;
use flamingowheel_config::api::{ApiError, ErrorCode};
use flamingowheel_policy::answers::Content;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use crate::config::Token;
use crate::error::Refusal;

/// Largest response body that is read.
const MAX_ANSWER_BYTES: usize = 64 << 20;

const YAML: &str = "application/yaml";

/// An error of one of the HTTP libraries, or a timeout.
pub type Cause = Box<dyn StdError + Send + Sync>;

/// Why a request got no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The client has no addresses of entries.
    #[error("no entry was named")]
    NoEntries,
    /// The connection failed, so nothing was sent.
    #[error("{address} can't be reached: {}", innermost_cause(cause.as_ref()))]
    NotSent {
        /// Operators' address of the process.
        address: SocketAddr,
        /// The HTTP library's error, or the timeout.
        cause: Cause,
    },
    /// The request may have arrived, but no complete answer was received.
    #[error("{address} gave no answer: {}", innermost_cause(cause.as_ref()))]
    NoAnswer {
        /// Operators' address of the process.
        address: SocketAddr,
        /// The HTTP library's error, or the timeout.
        cause: Cause,
    },
    /// The answer is an [`ApiError`].
    #[error("{0}")]
    Refused(Box<Refusal>),
    /// The operators' token was not accepted.
    #[error("{address} refused the operators' token")]
    WrongToken {
        /// Operators' address of the process.
        address: SocketAddr,
    },
    /// The workspace does not exist, or the token was not accepted; entries answer both alike.
    #[error("{address} knows no workspace `{workspace}`, or refused the operators' token")]
    WrongWorkspace {
        /// Operators' address of the process.
        address: SocketAddr,
        /// Name of the requested workspace.
        workspace: String,
    },
    /// An error status whose body is not an [`ApiError`].
    #[error("{address} answered {status}")]
    Status {
        /// Operators' address of the process.
        address: SocketAddr,
        /// The HTTP status received.
        status: StatusCode,
    },
    /// The body of a successful answer can't be parsed.
    #[error("the answer of {address} can't be read: {source}")]
    Malformed {
        /// Operators' address of the process.
        address: SocketAddr,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The path, query or headers are not valid in an HTTP request.
    #[error("can't form the request: {0}")]
    InvalidRequest(#[from] http::Error),
}

/// Cause of [`ClientError::NoAnswer`] after a timeout.
#[derive(Debug, thiserror::Error)]
#[error("timed out after {} ms", .0.as_millis())]
struct TimedOut(Duration);

/// Cause of [`ClientError::NoAnswer`] after an answer that is not whole.
#[derive(Debug, thiserror::Error)]
#[error("answer broken off: {0}")]
struct BrokenOff(&'static str);

impl ClientError {
    /// Whether the change that the request carried may have been accepted.
    ///
    /// Only an [`ApiError`] proves that nothing was changed. A malformed answer does not, nor does
    /// a server error without an `ApiError`, which may come from an intermediary.
    pub fn leaves_outcome_unknown(&self) -> bool {
        match self {
            Self::NoAnswer { .. } | Self::Malformed { .. } => true,
            Self::Status { status, .. } => status.is_server_error(),
            Self::NoEntries
            | Self::NotSent { .. }
            | Self::Refused(_)
            | Self::WrongToken { .. }
            | Self::WrongWorkspace { .. }
            | Self::InvalidRequest(_) => false,
        }
    }

    /// Whether no answer was received, so that another entry should be tried.
    fn is_unanswered(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::NoAnswer { .. })
    }

    /// Whether the entry can't reach the key-value service; another entry may be able to.
    fn is_unavailable(&self) -> bool {
        matches!(self, Self::Refused(refusal) if refusal.0.code == ErrorCode::Unavailable)
    }
}

/// Returns the innermost cause; the outer errors of the HTTP libraries only say "client error".
fn innermost_cause<'a>(error: &'a (dyn StdError + 'static)) -> &'a (dyn StdError + 'static) {
    let mut error = error;
    while let Some(source) = error.source() {
        error = source;
    }
    error
}

/// Client of the operators' interface.
#[derive(Clone)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    entries: Vec<SocketAddr>,
    token: Token,
    timeout: Duration,
}

impl Client {
    /// Creates a client that tries `entries` in order.
    pub fn new(entries: Vec<SocketAddr>, token: Token, timeout: Duration) -> Self {
        // A retry by the library would hide whether a change was sent twice.
        let http = HttpClient::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(HttpConnector::new());
        Self { http, entries, token, timeout }
    }

    /// Operators' addresses of the entries, in the order in which they are tried.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// Sends a `GET` request to the first entry that can answer it.
    pub async fn get<A>(&self, path: &str) -> Result<A, ClientError>
    where
        A: DeserializeOwned,
    {
        let mut last_error = None;
        for &address in &self.entries {
            match self.get_from(address, path).await {
                Err(error) if error.is_unanswered() || error.is_unavailable() => {
                    last_error = Some(error)
                }
                answer => return answer,
            }
        }
        Err(last_error.unwrap_or(ClientError::NoEntries))
    }

    /// Sends a `GET` request to one process.
    pub async fn get_from<A>(&self, address: SocketAddr, path: &str) -> Result<A, ClientError>
    where
        A: DeserializeOwned,
    {
        let request = self.request(Method::GET, address, path, Bytes::new(), self.timeout);
        parse(address, request.await?)
    }

    /// Sends documents to the first entry that answers, waiting `extra` beyond the client's timeout
    /// for each.
    ///
    /// The request must be idempotent: an entry that received it and did not answer may have
    /// carried it out, and the next entry receives it again. If no later entry answers, the
    /// [`ClientError::NoAnswer`] is returned, since it leaves the outcome unknown.
    pub async fn post_documents<A>(
        &self,
        path: &str,
        documents: &str,
        extra: Duration,
    ) -> Result<A, ClientError>
    where
        A: DeserializeOwned,
    {
        let mut last_error = None;
        for &address in &self.entries {
            let body = Bytes::copy_from_slice(documents.as_bytes());
            let timeout = self.timeout + extra;
            let answer = self.request(Method::POST, address, path, body, timeout).await;
            match answer.and_then(|answer| parse(address, answer)) {
                Err(error) if error.is_unanswered() => {
                    last_error = Some(less_certain(last_error, error))
                }
                answer => return answer,
            }
        }
        Err(last_error.unwrap_or(ClientError::NoEntries))
    }

    async fn request(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, self.token.header())
            .header(header::CONTENT_TYPE, YAML)
            .body(Full::new(body))?;
        match tokio::time::timeout(timeout, self.exchange(address, request)).await {
            Ok(answer) => answer,
            Err(_) => Err(ClientError::NoAnswer { address, cause: TimedOut(timeout).into() }),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let response = match self.http.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return Err(ClientError::NotSent { address, cause: error.into() });
            }
            Err(error) => return Err(ClientError::NoAnswer { address, cause: error.into() }),
        };
        let status = response.status();
        let body = read_body(address, response).await;
        let body = body.map_err(|cause| ClientError::NoAnswer { address, cause })?;
        Ok((status, body))
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("entries", &self.entries).finish_non_exhaustive()
    }
}

async fn read_body(address: SocketAddr, response: Response<Incoming>) -> Result<Bytes, Cause> {
    let framing = framing_of(&response);
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await?.to_bytes();
    // When the last bytes arrived is not known, so nothing is said of their time.
    let silence = Duration::MAX;
    let open = || TcpStream::connect(address);
    let evidence = liveness::judge_end(framing, Content::Opaque, silence, open).await;
    if evidence.is_whole() { Ok(body) } else { Err(BrokenOff(evidence.name()).into()) }
}

fn parse<A>(address: SocketAddr, (status, body): (StatusCode, Bytes)) -> Result<A, ClientError>
where
    A: DeserializeOwned,
{
    if status.is_success() {
        return serde_json::from_slice(&body)
            .map_err(|source| ClientError::Malformed { address, source });
    }
    match serde_json::from_slice::<ApiError>(&body) {
        Ok(error) => Err(ClientError::Refused(Box::new(Refusal(error)))),
        Err(_) if status == StatusCode::UNAUTHORIZED => Err(ClientError::WrongToken { address }),
        Err(_) => Err(ClientError::Status { address, status }),
    }
}

/// Of two errors without an answer, returns the one that leaves the outcome unknown.
fn less_certain(previous: Option<ClientError>, error: ClientError) -> ClientError {
    match previous {
        Some(previous @ ClientError::NoAnswer { .. }) => previous,
        _ => error,
    }
}

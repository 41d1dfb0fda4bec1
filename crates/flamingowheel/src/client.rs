//! HTTP towards the operators' port of entries and other processes.

use std::error::Error as StdError;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use flamingowheel_config::api::{ApiError, ErrorCode};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::config::Token;
use crate::error::Refusal;

/// Largest answer that is read.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Media type of the documents that are sent.
const YAML: &str = "application/yaml";

/// A cause from one of the HTTP libraries.
pub type Cause = Box<dyn StdError + Send + Sync>;

/// Why there is no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// There is nobody to ask.
    #[error("no entry was named")]
    NoEntries,
    /// No connection: nothing was sent.
    #[error("{address} can't be reached: {}", root(cause.as_ref()))]
    NotSent {
        /// The address tried.
        address: SocketAddr,
        /// What the library said.
        cause: Cause,
    },
    /// The request may have arrived, but no whole answer came.
    #[error("{address} gave no answer: {}", root(cause.as_ref()))]
    NoAnswer {
        /// The address tried.
        address: SocketAddr,
        /// What the library said.
        cause: Cause,
    },
    /// The fleet refused.
    #[error("{0}")]
    Refused(Box<Refusal>),
    /// The operators' token was not accepted.
    #[error("{address} refused the operators' token")]
    WrongToken {
        /// The address asked.
        address: SocketAddr,
    },
    /// No such workspace, or the token was not accepted; entries don't tell which.
    #[error("{address} knows no workspace `{workspace}`, or refused the operators' token")]
    WrongWorkspace {
        /// The address asked.
        address: SocketAddr,
        /// The workspace asked about.
        workspace: String,
    },
    /// An error without the operators' interface's own form.
    #[error("{address} answered {status}")]
    Status {
        /// The address asked.
        address: SocketAddr,
        /// The HTTP status.
        status: StatusCode,
    },
    /// An answer that can't be read.
    #[error("the answer of {address} can't be read: {source}")]
    Malformed {
        /// The address asked.
        address: SocketAddr,
        /// Where it went wrong.
        source: serde_json::Error,
    },
    /// A path or query that can't be sent.
    #[error("can't form the request: {0}")]
    InvalidRequest(#[from] http::Error),
}

/// No answer within the time given.
#[derive(Debug, thiserror::Error)]
#[error("timed out after {} ms", .0.as_millis())]
struct TimedOut(Duration);

impl ClientError {
    /// Whether a request that was to change something may have done so.
    ///
    /// Only a refusal in the operators' interface's own form is proof that nothing was changed. An
    /// answer that can't be read, or a bare error of something on the way, is none.
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

    /// Whether another entry may do better.
    fn is_silence(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::NoAnswer { .. })
    }

    /// Whether another entry may know the answer: this one can't reach the key-value service.
    fn is_unavailable(&self) -> bool {
        matches!(self, Self::Refused(refusal) if refusal.0.code == ErrorCode::Unavailable)
    }
}

/// The innermost cause; the outer ones of the HTTP libraries only say "client error".
fn root<'a>(error: &'a (dyn StdError + 'static)) -> &'a (dyn StdError + 'static) {
    let mut error = error;
    while let Some(source) = error.source() {
        error = source;
    }
    error
}

/// A client of the operators' interface.
#[derive(Clone)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    entries: Vec<SocketAddr>,
    token: Token,
    timeout: Duration,
}

impl Client {
    /// A client that asks `entries` in turn.
    pub fn new(entries: Vec<SocketAddr>, token: Token, timeout: Duration) -> Self {
        // The library's own resending would hide from us whether a change was sent twice.
        let http = HttpClient::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(HttpConnector::new());
        Self { http, entries, token, timeout }
    }

    /// The entries it asks.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// Reads from the first entry that can answer.
    pub async fn get<A>(&self, path: &str) -> Result<A, ClientError>
    where
        A: DeserializeOwned,
    {
        let mut last = None;
        for &address in &self.entries {
            match self.get_from(address, path).await {
                Err(error) if error.is_silence() || error.is_unavailable() => last = Some(error),
                answer => return answer,
            }
        }
        Err(last.unwrap_or(ClientError::NoEntries))
    }

    /// Reads from one process.
    pub async fn get_from<A>(&self, address: SocketAddr, path: &str) -> Result<A, ClientError>
    where
        A: DeserializeOwned,
    {
        let request = self.request(Method::GET, address, path, Bytes::new(), self.timeout);
        read(address, request.await?)
    }

    /// Sends documents to the first entry that answers.
    ///
    /// The request must be idempotent: an entry that was reached and then fell silent may have
    /// acted on it, and the next one gets it all the same. If no later entry answers, that
    /// silence is what is reported, since it leaves the outcome open.
    pub async fn post_documents<A>(
        &self,
        path: &str,
        documents: &str,
        extra: Duration,
    ) -> Result<A, ClientError>
    where
        A: DeserializeOwned,
    {
        let mut last = None;
        for &address in &self.entries {
            let body = Bytes::copy_from_slice(documents.as_bytes());
            let limit = self.timeout + extra;
            let answer = self.request(Method::POST, address, path, body, limit).await;
            match answer.and_then(|answer| read(address, answer)) {
                Err(error) if error.is_silence() => last = Some(graver(last, error)),
                answer => return answer,
            }
        }
        Err(last.unwrap_or(ClientError::NoEntries))
    }

    async fn request(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, self.token.header())
            .header(header::CONTENT_TYPE, YAML)
            .body(Full::new(body))?;
        match tokio::time::timeout(limit, self.exchange(address, request)).await {
            Ok(answer) => answer,
            Err(_) => Err(ClientError::NoAnswer { address, cause: TimedOut(limit).into() }),
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
        let body = collect(response).await;
        let body = body.map_err(|cause| ClientError::NoAnswer { address, cause })?;
        Ok((status, body))
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("entries", &self.entries).finish_non_exhaustive()
    }
}

async fn collect(response: Response<Incoming>) -> Result<Bytes, Cause> {
    Ok(Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await?.to_bytes())
}

fn read<A>(address: SocketAddr, (status, body): (StatusCode, Bytes)) -> Result<A, ClientError>
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

/// Of two silences the one that leaves the outcome open.
fn graver(last: Option<ClientError>, error: ClientError) -> ClientError {
    match last {
        Some(last @ ClientError::NoAnswer { .. }) => last,
        _ => error,
    }
}

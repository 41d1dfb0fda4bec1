//! HTTP client of the demo and of tests.

use bytes::Bytes;
use flamingowheel_entry::http::OUTCOME_HEADER;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request could not be sent, or no head of an answer arrived.
    #[error("request failed: {0}")]
    Send(#[from] hyper_util::client::legacy::Error),
    /// The connection failed within the answer's body.
    #[error("connection failed within the answer: {0}")]
    Body(#[from] hyper::Error),
    /// The request is not valid HTTP.
    #[error("request not valid: {0}")]
    Build(#[from] http::Error),
}

/// An answer whose body was read to its end.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status of the entry's answer; the outcome header says what became of the request.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Reply {
    /// The value of the outcome header, or `none` without such a header.
    pub fn outcome(&self) -> &str {
        self.headers.get(OUTCOME_HEADER).and_then(|value| value.to_str().ok()).unwrap_or("none")
    }

    /// The body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A client with a bearer token. It never repeats a request.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    token: String,
}

impl Caller {
    /// Creates a caller that sends this bearer token.
    pub fn new(token: &str) -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        Self { client: builder.build_http(), token: token.to_owned() }
    }

    /// Sends a request and reads the answer to its end.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Reply, CallError> {
        let response = self.open(method, address, path, headers, body).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Reply { status: head.status, headers: head.headers, body })
    }

    /// Sends a request and returns its answer with the body still to be read.
    pub async fn open(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response<Incoming>, CallError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", self.token));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        Ok(self.client.request(request.body(Full::new(body))?).await?)
    }
}

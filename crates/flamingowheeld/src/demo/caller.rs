//! A caller of the demo: one request at a time over HTTP.

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
    /// The request could not be sent or answered.
    #[error("request failed: {0}")]
    Send(#[from] hyper_util::client::legacy::Error),
    /// The body broke off.
    #[error("answer broke off: {0}")]
    Body(#[from] hyper::Error),
    /// The request can't be built.
    #[error("request not valid: {0}")]
    Build(#[from] http::Error),
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// The outcome that the answer tells.
    pub fn outcome(&self) -> &str {
        self.headers.get(OUTCOME_HEADER).and_then(|value| value.to_str().ok()).unwrap_or("none")
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A caller with a workspace's token. It never sends a request twice by itself.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    token: String,
}

impl Caller {
    /// A caller with this token.
    pub fn new(token: &str) -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        Self { client: builder.build_http(), token: token.to_owned() }
    }

    /// Sends a request and reads the whole answer.
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

    /// Sends a request and leaves the body of its answer to be read.
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

//! Callers of the fleet. They derive outcomes only from status, headers and body of HTTP answers.

use crate::backend::Lifecycle;
use crate::entry::{SERVICE, TOKEN};
use axum::Router;
use axum::body::Body;
use axum::response::Response;
use bytes::Bytes;
use flamingowheel_entry::http::tickets::IssuedTicket;
use flamingowheel_entry::http::{
    CHAT_PATH, ENTRIES_PATH, IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, TICKET_HEADER, TICKETS_PATH,
    TIMEOUT_HEADER,
};
use http::{Method, Request, StatusCode, header};
use http_body_util::BodyExt;
use tower::ServiceExt;

/// The outcome of a call as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// No answer yet.
    Pending,
    /// A complete answer.
    Complete(Bytes),
    /// The call did not run and will not; has the body of the answer.
    NotRun(String),
    /// Whether the call ran is unknown; has the body of the answer.
    Unknown(String),
    /// The connection broke; whether the call ran is unknown.
    Broken,
}

/// Kind of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A chat completion.
    Chat,
    /// An idempotent service call.
    Status,
    /// A non-idempotent service call.
    Order,
    /// A non-idempotent service call under a ticket.
    Ticket(String),
    /// A non-idempotent service call under the caller's idempotency key.
    Key(String),
    /// Voids a ticket.
    Void(String),
    /// Asks which entry addresses to use.
    Addresses,
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Selects method, path and headers.
    pub kind: CallKind,
    /// Body of the HTTP request.
    pub body: Bytes,
    /// Timeout for the start of the answer, sent as a header.
    pub timeout_ms: u64,
}

impl Call {
    fn request(&self) -> Request<Body> {
        let (method, path) = match &self.kind {
            CallKind::Chat => (Method::POST, CHAT_PATH.to_owned()),
            CallKind::Status => (Method::POST, format!("/v1/services/{SERVICE}/status")),
            CallKind::Order | CallKind::Ticket(_) | CallKind::Key(_) => {
                (Method::POST, format!("/v1/services/{SERVICE}/orders"))
            }
            CallKind::Void(ticket) => (Method::DELETE, format!("{TICKETS_PATH}/{ticket}")),
            CallKind::Addresses => (Method::GET, ENTRIES_PATH.to_owned()),
        };
        let mut request = authorized_request(method, &path).header(TIMEOUT_HEADER, self.timeout_ms);
        request = match &self.kind {
            CallKind::Ticket(ticket) => request.header(TICKET_HEADER, ticket),
            CallKind::Key(key) => request.header(IDEMPOTENCY_KEY_HEADER, key),
            _ => request,
        };
        request.body(Body::from(self.body.clone())).expect("a valid request")
    }
}

fn authorized_request(method: Method, path: &str) -> http::request::Builder {
    let token = format!("Bearer {TOKEN}");
    Request::builder().method(method).uri(path).header(header::AUTHORIZATION, token)
}

/// Sends a call to an entry process, reads the answer to its end and returns the outcome.
pub async fn send(router: Router, lifecycle: Lifecycle, call: Call) -> CallOutcome {
    let exchange = async {
        let Ok(response) = router.oneshot(call.request()).await;
        read_outcome(response).await
    };
    tokio::select! {
        biased;
        () = lifecycle.killed() => CallOutcome::Broken,
        outcome = lifecycle.run_call(exchange) => outcome,
    }
}

/// Requests a ticket for a service call; `None` if the entry issues none or is killed.
pub async fn request_ticket(router: Router, lifecycle: Lifecycle) -> Option<String> {
    let path = format!("{TICKETS_PATH}?service={SERVICE}");
    let request =
        authorized_request(Method::POST, &path).body(Body::empty()).expect("a valid request");
    let exchange = async {
        let Ok(response) = router.oneshot(request).await;
        if response.status() != StatusCode::CREATED {
            return None;
        }
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice::<IssuedTicket>(&body).ok().map(|issued| issued.ticket)
    };
    tokio::select! {
        biased;
        () = lifecycle.killed() => None,
        ticket = exchange => ticket,
    }
}

async fn read_outcome(response: Response) -> CallOutcome {
    let is_success = response.status().is_success();
    let outcome = response.headers().get(OUTCOME_HEADER).cloned();
    let outcome = outcome.as_ref().and_then(|value| value.to_str().ok()).unwrap_or("none");
    // An HTTP client reports a truncated body as an error; any other body is complete.
    let Ok(body) = response.into_body().collect().await.map(|body| body.to_bytes()) else {
        return CallOutcome::Broken;
    };
    let text = || String::from_utf8_lossy(&body).into_owned();
    match outcome {
        "complete" | "streaming" => CallOutcome::Complete(body),
        // Answers to requests that run no work have no outcome header.
        "none" if is_success => CallOutcome::Complete(body),
        "not-run" => CallOutcome::NotRun(text()),
        _ => CallOutcome::Unknown(text()),
    }
}

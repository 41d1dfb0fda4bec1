//! Builds the HTTP responses to callers.

use crate::attempt::Piece;
use crate::events;
use crate::http::intake;
use crate::http::{ATTEMPTS_HEADER, OUTCOME_HEADER, REQUEST_HEADER, STREAM_HEADER, TICKET_HEADER};
use crate::outcome::{NotRun, Unknown, Verdict};
use crate::state::{Admission, EntryState};
use crate::stream::{Answer, EVENT_STREAM};
use axum::Json;
use axum::body::Body;
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use bytes::{Bytes, BytesMut};
use flamingowheel_backing::client::status::is_final;
use flamingowheel_observe::metrics::StreamTimer;
use flamingowheel_protocol::archive::ArchivedAnswer;
use flamingowheel_protocol::id::RequestId;
use flamingowheel_protocol::message::{Failure, Refusal};
use http_body::Frame;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// A comment line of an event stream, sent as a heartbeat.
const COMMENT: &[u8] = b":\n\n";

/// Pieces buffered for a slow caller. When the buffer is full, chunks are no longer acknowledged and
/// the agent pauses.
const BODY_QUEUE_CAPACITY: usize = 64;

/// A caller that reads nothing of its stream for this long counts as disconnected.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest answer that is buffered before it is sent.
const MAX_BUFFERED_BYTES: usize = 32 << 20;

/// Bytes of text per token, for estimates where tokens are not counted.
pub const BYTES_PER_TOKEN: f64 = 4.0;

/// `Retry-After` if no better estimate is known.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Ids and options of a response, in addition to the answer.
#[derive(Clone, Debug)]
pub struct ResponseMeta {
    /// Id of the request.
    pub request: RequestId,
    /// Text of the ticket under which the request ran, if any.
    pub ticket: Option<String>,
    /// Whether the caller asked for event ids and a stream token.
    pub resumable: bool,
}

/// Body of a response without a complete answer, in the format of OpenAI's errors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Details of the error.
    pub error: ErrorDetail,
}

/// Details of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Human-readable description.
    pub message: String,
    /// Machine-readable code, one for each kind of failure.
    pub code: String,
    /// `not-run` or `unknown`.
    pub outcome: String,
}

/// The response to a request that did not run and has no id yet.
pub fn refuse(not_run: NotRun) -> Response {
    verdict_response(&not_run.into(), None, None)
}

/// Like [`refuse`], and counts the request as refused. It has no id and so no timeline; without the
/// count a workspace whose calls are all refused would not show in the metrics.
pub fn refuse_request(state: &EntryState, headers: &HeaderMap, not_run: NotRun) -> Response {
    let workspace = intake::workspace(state, headers).ok();
    let class = workspace.map(|workspace| events::class_of(&workspace));
    state.recorder.metrics().count_refused_request(class);
    refuse(not_run)
}

/// The response to a request that was sent or refused.
pub async fn respond(
    result: Result<Answer, Verdict>,
    meta: ResponseMeta,
    state: &EntryState,
    admission: Admission,
) -> Response {
    let answer = match result {
        Ok(answer) => answer,
        Err(verdict) => {
            return verdict_response(&verdict, Some(meta.request), meta.ticket.as_deref());
        }
    };
    if answer.head().content_type.starts_with(EVENT_STREAM) {
        return stream_response(answer, &meta, state, admission);
    }
    buffered_response(answer, &meta, admission).await
}

/// Sends an answer as one body. It is buffered first, so that the status can say whether the answer
/// is complete.
async fn buffered_response(
    mut answer: Answer,
    meta: &ResponseMeta,
    mut admission: Admission,
) -> Response {
    let mut body = BytesMut::new();
    loop {
        match answer.next().await {
            Ok(Piece::Chunk(_, data)) if body.len() + data.len() <= MAX_BUFFERED_BYTES => {
                admission.add_tokens(data.len() as f64 / BYTES_PER_TOKEN);
                body.extend_from_slice(&data);
            }
            Ok(Piece::Chunk(..)) => {
                let verdict = Unknown::AnswerTooLarge { limit_bytes: MAX_BUFFERED_BYTES }.into();
                return verdict_response(&verdict, Some(meta.request), meta.ticket.as_deref());
            }
            Ok(Piece::End) => break,
            Err(verdict) => {
                return verdict_response(&verdict, Some(meta.request), meta.ticket.as_deref());
            }
        }
    }
    let mut response = Response::new(Body::from(body.freeze()));
    set_head(&mut response, &answer, meta, "complete");
    response
}

/// The response with an answer that an agent process archived when it shut down.
pub fn archived_response(answer: ArchivedAnswer, meta: &ResponseMeta) -> Response {
    if !is_final(answer.status) {
        tracing::warn!(status = answer.status, "stored answer without a valid status");
        let verdict = Unknown::Failed(Failure::Malformed).into();
        return verdict_response(&verdict, Some(meta.request), meta.ticket.as_deref());
    }
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    insert(headers, header::CONTENT_TYPE, &answer.content_type);
    insert(headers, HeaderName::from_static(OUTCOME_HEADER), "complete");
    insert_ids(headers, Some(meta.request), meta.ticket.as_deref());
    response
}

/// Forwards an event stream as it arrives. Its outcome is not known when the head is sent: a stream
/// that fails is cut off without the end of the chunked body, which clients report as an error.
fn stream_response(
    answer: Answer,
    meta: &ResponseMeta,
    state: &EntryState,
    admission: Admission,
) -> Response {
    let (sender, receiver) = mpsc::channel(BODY_QUEUE_CAPACITY);
    let mut response = Response::new(Body::new(ChannelBody { receiver }));
    set_head(&mut response, &answer, meta, "streaming");
    if meta.resumable
        && let Some(token) = answer.token()
    {
        let text = token.to_text(&state.config.fleet_key);
        insert(response.headers_mut(), HeaderName::from_static(STREAM_HEADER), &text);
    }
    let forwarder = StreamForwarder {
        sender,
        heartbeat: state.config.stream_heartbeat,
        resumable: meta.resumable,
        timer: state.recorder.metrics().stream_timer(answer.received()),
    };
    tokio::spawn(forward_stream(answer, forwarder, admission));
    response
}

struct StreamForwarder {
    sender: mpsc::Sender<Result<Bytes, Verdict>>,
    heartbeat: Duration,
    resumable: bool,
    timer: StreamTimer,
}

async fn forward_stream(mut answer: Answer, forwarder: StreamForwarder, mut admission: Admission) {
    let StreamForwarder { sender, heartbeat, resumable, mut timer } = forwarder;
    loop {
        let item = match next_piece(&mut answer, &sender, heartbeat).await {
            None | Some(Ok(Piece::End)) => return,
            Some(Ok(Piece::Chunk(number, data))) => {
                admission.add_tokens(1.0);
                timer.record_chunk();
                Ok(if resumable { with_id(number, &data) } else { data })
            }
            Some(Err(verdict)) => Err(verdict),
        };
        let ended = item.is_err();
        // Without the timeout a caller that reads nothing would keep a leaving entry from exiting.
        let sent = timeout(CALLER_STALL_TIMEOUT, sender.send(item)).await;
        if !matches!(sent, Ok(Ok(()))) || ended {
            return;
        }
    }
}

/// Prefixes an event with its id line; clients send the id back to resume after the event.
fn with_id(number: u64, event: &[u8]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(event.len() + 24);
    bytes.extend_from_slice(format!("id: {number}\n").as_bytes());
    bytes.extend_from_slice(event);
    bytes.freeze()
}

/// Waits for the next piece and sends heartbeats meanwhile. `None` once the caller has disconnected.
async fn next_piece(
    answer: &mut Answer,
    sender: &mpsc::Sender<Result<Bytes, Verdict>>,
    heartbeat: Duration,
) -> Option<Result<Piece, Verdict>> {
    // One future is polled for the whole wait: dropping it while it reconnects would lose the event
    // that the connection was lost.
    let next = answer.next();
    tokio::pin!(next);
    loop {
        tokio::select! {
            piece = &mut next => return Some(piece),
            () = sender.closed() => return None,
            () = tokio::time::sleep(heartbeat) => {
                let _ = sender.try_send(Ok(Bytes::from_static(COMMENT)));
            }
        }
    }
}

/// A body fed by a channel; an error in it aborts the connection.
struct ChannelBody {
    receiver: mpsc::Receiver<Result<Bytes, Verdict>>,
}

impl http_body::Body for ChannelBody {
    type Data = Bytes;
    type Error = Verdict;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, Verdict>>> {
        self.receiver.poll_recv(context).map(|item| item.map(|item| item.map(Frame::data)))
    }
}

fn set_head(response: &mut Response, answer: &Answer, meta: &ResponseMeta, outcome: &'static str) {
    let head = answer.head();
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    insert(headers, header::CONTENT_TYPE, &head.content_type);
    insert(headers, HeaderName::from_static(OUTCOME_HEADER), outcome);
    insert(headers, HeaderName::from_static(ATTEMPTS_HEADER), &answer.attempts().to_string());
    insert_ids(headers, Some(meta.request), meta.ticket.as_deref());
}

fn insert_ids(headers: &mut HeaderMap, request: Option<RequestId>, ticket: Option<&str>) {
    if let Some(request) = request {
        insert(headers, HeaderName::from_static(REQUEST_HEADER), &request.0.to_string());
    }
    if let Some(ticket) = ticket {
        insert(headers, HeaderName::from_static(TICKET_HEADER), ticket);
    }
}

fn insert(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// The response to a request without a complete answer.
pub fn verdict_response(
    verdict: &Verdict,
    request: Option<RequestId>,
    ticket: Option<&str>,
) -> Response {
    let (status, code, outcome) = match verdict {
        Verdict::NotRun(why) => {
            let (status, code) = describe_not_run(why);
            (status, code, "not-run")
        }
        Verdict::Unknown(why) => {
            let (status, code) = describe_unknown(*why);
            (status, code, "unknown")
        }
    };
    let detail = ErrorDetail {
        message: verdict.to_string(),
        code: code.to_owned(),
        outcome: outcome.to_owned(),
    };
    let mut response = (status, Json(ErrorBody { error: detail })).into_response();
    let headers = response.headers_mut();
    insert(headers, HeaderName::from_static(OUTCOME_HEADER), outcome);
    insert_ids(headers, request, ticket);
    if let Some(retry_after_ms) = retry_after_ms(verdict) {
        // The header counts whole seconds.
        insert(headers, header::RETRY_AFTER, &retry_after_ms.div_ceil(1_000).to_string());
    }
    response
}

fn describe_not_run(why: &NotRun) -> (StatusCode, &'static str) {
    match why {
        NotRun::NotReady => (StatusCode::SERVICE_UNAVAILABLE, "not_ready"),
        NotRun::Unauthorised => (StatusCode::UNAUTHORIZED, "unauthorised"),
        NotRun::UnknownModel => (StatusCode::NOT_FOUND, "unknown_model"),
        NotRun::UnknownService => (StatusCode::NOT_FOUND, "unknown_service"),
        NotRun::TooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "too_large"),
        NotRun::Malformed(_) => (StatusCode::BAD_REQUEST, "malformed"),
        NotRun::LimitReached { .. } => (StatusCode::TOO_MANY_REQUESTS, "limit_reached"),
        NotRun::Overloaded { .. } => (StatusCode::SERVICE_UNAVAILABLE, "overloaded"),
        NotRun::Suspect { .. } => (StatusCode::UNPROCESSABLE_ENTITY, "suspect"),
        NotRun::NoneAvailable => (StatusCode::SERVICE_UNAVAILABLE, "none_available"),
        NotRun::Refused(Refusal::TicketMismatch) => {
            (StatusCode::UNPROCESSABLE_ENTITY, "ticket_mismatch")
        }
        NotRun::Refused(Refusal::Suspect) => (StatusCode::UNPROCESSABLE_ENTITY, "suspect"),
        NotRun::Refused(_) => (StatusCode::SERVICE_UNAVAILABLE, "refused"),
        NotRun::DeadlinePassed => (StatusCode::SERVICE_UNAVAILABLE, "deadline_passed"),
        NotRun::KeyNotChecked => (StatusCode::SERVICE_UNAVAILABLE, "key_not_checked"),
        NotRun::Ticket(_) => (StatusCode::BAD_REQUEST, "ticket"),
        NotRun::KeyMismatch => (StatusCode::UNPROCESSABLE_ENTITY, "key_mismatch"),
        NotRun::HomeEnded => (StatusCode::CONFLICT, "home_ended"),
    }
}

fn describe_unknown(why: Unknown) -> (StatusCode, &'static str) {
    match why {
        Unknown::Failed(_) => (StatusCode::BAD_GATEWAY, "failed"),
        Unknown::AnswerTooLarge { .. } => (StatusCode::BAD_GATEWAY, "answer_too_large"),
        Unknown::AgentUnreachable => (StatusCode::BAD_GATEWAY, "agent_unreachable"),
        Unknown::AgentReplaced => (StatusCode::BAD_GATEWAY, "agent_replaced"),
        Unknown::DeadlinePassed => (StatusCode::GATEWAY_TIMEOUT, "deadline_passed"),
        Unknown::StreamGone(_) => (StatusCode::BAD_GATEWAY, "stream_gone"),
        Unknown::TicketHome(_) => (StatusCode::BAD_GATEWAY, "ticket_home_gone"),
    }
}

fn retry_after_ms(verdict: &Verdict) -> Option<u64> {
    match verdict {
        Verdict::NotRun(
            NotRun::LimitReached { retry_after_ms, .. }
            | NotRun::Overloaded { retry_after_ms }
            | NotRun::Suspect { retry_after_ms },
        ) => Some(*retry_after_ms),
        Verdict::NotRun(NotRun::NoneAvailable | NotRun::Refused(_) | NotRun::KeyNotChecked) => {
            Some(DEFAULT_RETRY_AFTER_MS)
        }
        _ => None,
    }
}

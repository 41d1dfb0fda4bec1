//! Tells callers the outcome of their requests.

use crate::attempt::Piece;
use crate::events;
use crate::http::intake;
use crate::http::{ATTEMPTS_HEADER, OUTCOME_HEADER, REQUEST_HEADER, STREAM_HEADER, TICKET_HEADER};
use crate::outcome::{NotRun, Unknown, Verdict};
use crate::state::{EntryState, Hold};
use crate::stream::{Answer, EVENT_STREAM};
use axum::Json;
use axum::body::Body;
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use bytes::{Bytes, BytesMut};
use flamingowheel_observe::metrics::StreamTimer;
use flamingowheel_protocol::archive::ArchivedAnswer;
use flamingowheel_protocol::id::RequestId;
use flamingowheel_protocol::message::Refusal;
use http_body::Frame;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// A comment line; shows the caller that the connection lives.
const COMMENT: &[u8] = b":\n\n";

/// Pieces that wait for a slow caller; then the agent is not acknowledged and pauses.
const BODY_QUEUE: usize = 64;

/// A caller that takes nothing of its stream for this long counts as gone.
const CALLER_STALL_LIMIT: Duration = Duration::from_secs(60);

/// Largest answer that is gathered before it is given.
const MAX_WHOLE_BYTES: usize = 32 << 20;

/// Bytes of text that count as one token, where tokens are not counted.
pub const BYTES_PER_TOKEN: f64 = 4.0;

/// When to come back if nothing better is known.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// What the caller is told beside the answer.
#[derive(Clone, Debug)]
pub struct Told {
    /// The request's identity.
    pub request: RequestId,
    /// The ticket under which it ran.
    pub ticket: Option<String>,
    /// The caller wants event ids and a stream token.
    pub resumable: bool,
}

/// Body of an answer without a result, in the style of OpenAI's errors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// What is told of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// For people.
    pub message: String,
    /// For programs; one per kind of failure.
    pub code: String,
    /// `not-run` or `unknown`.
    pub outcome: String,
}

/// Tells a caller that its request did not run, before it got an identity.
pub fn refuse(not_run: NotRun) -> Response {
    give_verdict(&not_run.into(), None, None)
}

/// The same of a request for work, which counts as ended. It has no identity and so no time line;
/// without this a workspace whose every call is refused would not show in the metrics.
pub fn refuse_request(state: &EntryState, headers: &HeaderMap, not_run: NotRun) -> Response {
    let workspace = intake::workspace(state, headers).ok();
    let class = workspace.map(|workspace| events::class_of(&workspace));
    state.recorder.metrics().request_refused(class);
    refuse(not_run)
}

/// Answers a request with what became of it.
pub async fn respond(
    result: Result<Answer, Verdict>,
    told: Told,
    state: &EntryState,
    hold: Hold,
) -> Response {
    let answer = match result {
        Ok(answer) => answer,
        Err(verdict) => {
            return give_verdict(&verdict, Some(told.request), told.ticket.as_deref());
        }
    };
    if answer.head().content_type.starts_with(EVENT_STREAM) {
        return stream(answer, &told, state, hold);
    }
    whole(answer, &told, hold).await
}

/// Gives a whole body. It is gathered first, so that the status can tell whether it is whole.
async fn whole(mut answer: Answer, told: &Told, mut hold: Hold) -> Response {
    let mut body = BytesMut::new();
    loop {
        match answer.next().await {
            Ok(Piece::Chunk(_, data)) if body.len() + data.len() <= MAX_WHOLE_BYTES => {
                hold.add_tokens(data.len() as f64 / BYTES_PER_TOKEN);
                body.extend_from_slice(&data);
            }
            Ok(Piece::Chunk(..)) => {
                let verdict = Unknown::AnswerTooLarge { limit_bytes: MAX_WHOLE_BYTES }.into();
                return give_verdict(&verdict, Some(told.request), told.ticket.as_deref());
            }
            Ok(Piece::End) => break,
            Err(verdict) => {
                return give_verdict(&verdict, Some(told.request), told.ticket.as_deref());
            }
        }
    }
    let mut response = Response::new(Body::from(body.freeze()));
    set_head(&mut response, &answer, told, "complete");
    response
}

/// Gives the answer that an agent process left behind when it ended.
pub fn give_archived(answer: ArchivedAnswer, told: &Told) -> Response {
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    insert(headers, header::CONTENT_TYPE, &answer.content_type);
    insert(headers, HeaderName::from_static(OUTCOME_HEADER), "complete");
    tell(headers, Some(told.request), told.ticket.as_deref());
    response
}

/// Gives an event stream as it comes. Its head can't know the outcome yet: a stream that breaks
/// off is cut without the end of the chunked body, which clients report as an error.
fn stream(answer: Answer, told: &Told, state: &EntryState, hold: Hold) -> Response {
    let (sender, receiver) = mpsc::channel(BODY_QUEUE);
    let mut response = Response::new(Body::new(ChannelBody { receiver }));
    set_head(&mut response, &answer, told, "streaming");
    if told.resumable
        && let Some(token) = answer.token()
    {
        let text = token.to_text(&state.config.fleet_key);
        insert(response.headers_mut(), HeaderName::from_static(STREAM_HEADER), &text);
    }
    let pouring = Pouring {
        sender,
        heartbeat: state.config.stream_heartbeat,
        resumable: told.resumable,
        timer: state.recorder.metrics().stream_timer(answer.received()),
    };
    tokio::spawn(pour(answer, pouring, hold));
    response
}

struct Pouring {
    sender: mpsc::Sender<Result<Bytes, Verdict>>,
    heartbeat: Duration,
    resumable: bool,
    timer: StreamTimer,
}

async fn pour(mut answer: Answer, pouring: Pouring, mut hold: Hold) {
    let Pouring { sender, heartbeat, resumable, mut timer } = pouring;
    loop {
        let item = match next_piece(&mut answer, &sender, heartbeat).await {
            None | Some(Ok(Piece::End)) => return,
            Some(Ok(Piece::Chunk(number, data))) => {
                hold.add_tokens(1.0);
                timer.chunk();
                Ok(if resumable { with_id(number, &data) } else { data })
            }
            Some(Err(verdict)) => Err(verdict),
        };
        let ended = item.is_err();
        // A caller that reads nothing would keep a leaving entry from ever ending.
        let sent = timeout(CALLER_STALL_LIMIT, sender.send(item)).await;
        if !matches!(sent, Ok(Ok(()))) || ended {
            return;
        }
    }
}

/// An event with its id line, which clients send back as the last event that they have.
fn with_id(number: u64, event: &[u8]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(event.len() + 24);
    bytes.extend_from_slice(format!("id: {number}\n").as_bytes());
    bytes.extend_from_slice(event);
    bytes.freeze()
}

/// Waits for the next piece and meanwhile shows the caller that the connection lives. `None` when
/// the caller is gone.
async fn next_piece(
    answer: &mut Answer,
    sender: &mpsc::Sender<Result<Bytes, Verdict>>,
    heartbeat: Duration,
) -> Option<Result<Piece, Verdict>> {
    // One future for the whole wait: dropping it half way would forget a lost connection.
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

fn set_head(response: &mut Response, answer: &Answer, told: &Told, outcome: &'static str) {
    let head = answer.head();
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    insert(headers, header::CONTENT_TYPE, &head.content_type);
    insert(headers, HeaderName::from_static(OUTCOME_HEADER), outcome);
    insert(headers, HeaderName::from_static(ATTEMPTS_HEADER), &answer.attempts().to_string());
    tell(headers, Some(told.request), told.ticket.as_deref());
}

fn tell(headers: &mut HeaderMap, request: Option<RequestId>, ticket: Option<&str>) {
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

/// Tells a caller that its request has no whole answer, and why.
pub fn give_verdict(
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
    tell(headers, request, ticket);
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

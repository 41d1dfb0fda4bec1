//! An answer that is being forwarded to the caller.

use crate::attempt::{Attempt, AttemptEnd, Head, Piece, Prepared, Streaming};
use crate::dispatch::verdict;
use crate::events;
use crate::outcome::Verdict;
use crate::request::Request;
use crate::router::Router;
use flamingowheel_observe::event::Event;
use flamingowheel_observe::recorder::SubjectRecorder;
use flamingowheel_policy::key::ServerKey;
use flamingowheel_protocol::id::{AttemptId, ExecutionKey};
use flamingowheel_protocol::message::Dispatch;
use flamingowheel_protocol::ticket::StreamToken;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Media type of event streams.
pub const EVENT_STREAM: &str = "text/event-stream";

/// The source of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    /// The backend server that sends it.
    pub server: ServerKey,
    /// Attempts made up to and including the one that is answered.
    pub attempts: u32,
    /// Whether the backend server can resume a stream under a new agent process.
    pub can_resume: bool,
}

/// An answer that has begun. Dropping it before its end cancels the attempt.
pub struct Answer {
    request: Request,
    head: Head,
    attempt: Option<Attempt<Streaming>>,
    /// A piece that was read before the response to the caller began.
    first: Option<Piece>,
    origin: Origin,
    router: Arc<Router>,
    log: SubjectRecorder,
    /// Cancelled when the process ends and cuts off what is in progress.
    cut_off: CancellationToken,
    reconnect_timeout: Duration,
}

impl Answer {
    /// Wraps an attempt whose answer has begun.
    #[allow(clippy::too_many_arguments, reason = "each parameter sets a field")]
    pub fn new(
        request: Request,
        head: Head,
        attempt: Attempt<Streaming>,
        origin: Origin,
        router: Arc<Router>,
        log: SubjectRecorder,
        cut_off: CancellationToken,
        reconnect_timeout: Duration,
    ) -> Self {
        let attempt = Some(attempt);
        let first = None;
        Self { request, head, attempt, first, origin, router, log, cut_off, reconnect_timeout }
    }

    /// Status and media type.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// When the request was received.
    pub fn received(&self) -> Instant {
        self.request.received
    }

    /// Number of attempts so far.
    pub fn attempts(&self) -> u32 {
        self.origin.attempts
    }

    /// The token with which any entry can resume the stream; `None` after the end.
    pub fn token(&self) -> Option<StreamToken> {
        let attempt = self.attempt.as_ref()?;
        let identity = attempt.identity();
        Some(StreamToken {
            agent: attempt.backend_server().to_owned(),
            incarnation: identity.incarnation,
            window: identity.window,
            key: identity.key,
            request: self.request.id,
            workspace: self.request.workspace.name.to_string(),
        })
    }

    /// Puts back a piece that was read already; `next` returns it first.
    pub fn with_first(mut self, first: Piece) -> Self {
        self.first = Some(first);
        self
    }

    /// The next piece; `Piece::End` after an error or the end.
    pub async fn next(&mut self) -> Result<Piece, Verdict> {
        loop {
            let Some(attempt) = self.attempt.as_mut() else { return Ok(Piece::End) };
            let next = match self.first.take() {
                Some(first) => Ok(first),
                None => attempt.next().await,
            };
            match next {
                Ok(Piece::End) => {
                    self.finish();
                    return Ok(Piece::End);
                }
                Ok(piece) => return Ok(piece),
                Err(end) => self.resume_or_fail(end).await?,
            }
        }
    }

    /// Resumes the stream under a new agent process if the backend server supports it.
    async fn resume_or_fail(&mut self, end: AttemptEnd) -> Result<(), Verdict> {
        let resumable = matches!(end, AttemptEnd::Replaced(_));
        let resumed = match self.attempt.take() {
            // The first attempt ran, so a refusal of the second one by the new process must not
            // become "not run".
            Some(attempt) if resumable && self.may_resume() => {
                self.resume(attempt).await.map_err(|_| end)
            }
            _ => Err(end),
        };
        match resumed {
            Ok(attempt) => {
                self.attempt = Some(attempt);
                Ok(())
            }
            Err(end) => {
                self.router.request_ended(self.origin.server);
                let verdict = verdict(end);
                let class = events::class(&self.request);
                self.log.record(events::verdict(&verdict, class, self.origin.attempts));
                Err(verdict)
            }
        }
    }

    /// Engines resume event streams only. Any other body would be sent again from its beginning, and
    /// the caller would receive part of one answer followed by the whole of another.
    fn may_resume(&self) -> bool {
        let is_event_stream = self.head.content_type.starts_with(EVENT_STREAM);
        is_event_stream && self.origin.can_resume && self.request.idempotent
    }

    async fn resume(&mut self, old: Attempt<Streaming>) -> Result<Attempt<Streaming>, AttemptEnd> {
        let agent = Arc::clone(old.agent());
        let connected = agent.connected().ok_or(AttemptEnd::Unreachable)?;
        let next_chunk = old.next_chunk();
        self.origin.attempts += 1;
        let attempt = AttemptId { request: self.request.id, number: self.origin.attempts };
        self.log.record(Event::Resumed {
            backend_server: connected.hello.name.as_str().into(),
            attempt: attempt.number,
            from_chunk: next_chunk,
        });
        let dispatch = Dispatch {
            attempt,
            key: ExecutionKey::Attempt(attempt),
            incarnation: connected.hello.incarnation,
            window: agent.window(),
            workspace: self.request.workspace.name.to_string(),
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            content_type: self.request.content_type.clone(),
            body: self.request.body.clone(),
            idempotent: true,
            priority: self.request.workspace.parameters.priority,
            remaining_ms: self.reconnect_timeout.as_millis() as u64,
            fingerprint: self.request.fingerprint,
            alone: false,
            last_try: true,
            resume_after_chunks: next_chunk,
        };
        let deadline = Instant::now() + self.reconnect_timeout;
        let sent = Attempt::<Prepared>::new(Box::new(dispatch))
            .send(&agent, connected, self.reconnect_timeout)
            .await
            .map_err(AttemptEnd::Refused)?;
        let (_, attempt) =
            sent.wait_for_head(deadline, next_chunk).await.map_err(|(end, _)| end)?;
        Ok(attempt)
    }

    fn finish(&mut self) {
        let Some(attempt) = self.attempt.take() else { return };
        self.router.request_ended(self.origin.server);
        self.log.record(Event::Completed {
            class: events::class(&self.request),
            attempts: self.origin.attempts,
            chunks: attempt.next_chunk(),
            duration_ms: self.request.received.elapsed().as_millis() as u64,
        });
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if self.attempt.take().is_none() {
            return;
        }
        self.router.request_ended(self.origin.server);
        let class = events::class(&self.request);
        events::record_dropped(&self.log, class, self.origin.attempts, &self.cut_off);
    }
}

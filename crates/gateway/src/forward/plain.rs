//! Reads a plain answer. A small one is sent on once it is whole, so that another server's can replace
//! it if it breaks off; a larger one is relayed as it arrives.

use super::{Gateway, keep_connection};
use crate::exchange::Exchange;
use crate::held::HeldBytes;
use crate::losses::{AnswerEnd, Progress};
use crate::open::CUT_BY_STOP;
use crate::relay::{AnswerBody, Truncated, UpstreamBody};
use bytes::{Bytes, BytesMut};
use flamingowheel_policy::answers::{Content, Ending, Evidence, MAX_ANSWER_BYTES};
use futures_util::stream;
use http::StatusCode;
use http_body::{Body, Frame};
use http_body_util::{BodyExt, StreamBody};
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

/// Largest answer that is buffered before its head is sent on, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// A plain answer whose head has arrived.
pub(super) struct PlainAnswer {
    gateway: Arc<Gateway>,
    exchange: Arc<Exchange>,
    upstream: UpstreamBody,
    sent: Sent,
    buffered: BytesMut,
    held: Option<HeldBytes>,
    received_bytes: usize,
    /// Since when the next bytes have been waited for.
    waiting_since: Instant,
    has_ended: bool,
}

/// The send that a plain answer belongs to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sent {
    /// When the request was sent to the server.
    pub(super) at: Instant,
    /// Number of servers that have run it, with this one.
    pub(super) runs: u32,
    /// Status of the answer.
    pub(super) status: StatusCode,
}

/// What a plain answer has come to after it was buffered.
pub(super) enum Buffered {
    /// It has ended and is whole.
    Whole(Bytes),
    /// It is larger than what is buffered.
    Large(Box<PlainAnswer>),
    /// It is not whole.
    Broken(Evidence),
}

impl PlainAnswer {
    pub(super) fn new(
        gateway: Arc<Gateway>,
        exchange: Arc<Exchange>,
        upstream: UpstreamBody,
        sent: Sent,
    ) -> Self {
        let held = gateway.held.try_hold(0).ok();
        Self {
            gateway,
            exchange,
            upstream,
            sent,
            buffered: BytesMut::new(),
            held,
            received_bytes: 0,
            waiting_since: Instant::now(),
            has_ended: false,
        }
    }

    /// Reads the answer to its end, or until it is too large to be buffered.
    pub(super) async fn buffer(mut self) -> Buffered {
        loop {
            match self.read().await {
                Ok(Some(piece)) => {
                    self.hold(piece.len());
                    self.buffered.extend_from_slice(&piece);
                }
                Ok(None) => return Buffered::Whole(self.into_whole()),
                Err(evidence) => return Buffered::Broken(evidence),
            }
            let is_large = self.buffered.len() > MAX_BUFFERED_BYTES || self.held.is_none();
            if is_large && !self.upstream.body.is_end_stream() {
                return Buffered::Large(Box::new(self));
            }
        }
    }

    /// Counts what is buffered. Without room the answer is relayed as it arrives from now on.
    fn hold(&mut self, bytes: usize) {
        if let Some(held) = &mut self.held
            && let Err(error) = held.try_grow(bytes)
        {
            tracing::info!(request = self.exchange.head.attempt_id, %error, "answer not buffered");
            self.held = None;
        }
    }

    fn into_whole(self) -> Bytes {
        let bytes = self.buffered.freeze();
        match self.held {
            Some(held) => held.attach(bytes),
            None => bytes,
        }
    }

    /// The body of the answer to the caller: what is buffered, then the rest as it arrives. It ends
    /// with an error if the answer turns out not to be whole.
    pub(super) fn into_body(self) -> AnswerBody {
        let frames = stream::unfold(self, |mut answer| async move {
            let aborting = answer.exchange.open.aborting().clone();
            let frame = match aborting.run_until_cancelled(answer.next()).await {
                Some(frame) => frame?,
                None => answer.cut()?,
            };
            Some((frame.map(Frame::data), answer))
        });
        BodyExt::boxed_unsync(StreamBody::new(frames))
    }

    fn cut(&mut self) -> Option<Result<Bytes, Truncated>> {
        if self.has_ended {
            return None;
        }
        self.has_ended = true;
        self.record_broken(Evidence::ProcessStops, None);
        self.exchange.open.end(CUT_BY_STOP);
        Some(Err(Truncated))
    }

    async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        if self.has_ended {
            return None;
        }
        if !self.buffered.is_empty() {
            let bytes = self.buffered.split().freeze();
            return Some(Ok(match self.held.take() {
                Some(held) => held.attach(bytes),
                None => bytes,
            }));
        }
        let mut read = self.read().await;
        let last = match &mut read {
            // The caller's side reads a body with a length up to its last byte only.
            Ok(piece) if self.upstream.body.is_end_stream() => piece.take(),
            _ => None,
        };
        if last.is_some() {
            read = self.judge(Ending::Regular, None).await;
        }
        match read {
            Ok(Some(piece)) => Some(Ok(piece)),
            Ok(None) => {
                self.has_ended = true;
                self.exchange.open.end("answered");
                last.map(Ok)
            }
            Err(evidence) => {
                self.has_ended = true;
                let is_late = evidence == Evidence::Deadline;
                self.exchange.open.end(if is_late { "too_late" } else { "broken_off" });
                Some(Err(Truncated))
            }
        }
    }

    /// Reads the next bytes; `None` at the end of a whole answer.
    async fn read(&mut self) -> Result<Option<Bytes>, Evidence> {
        self.waiting_since = Instant::now();
        loop {
            match timeout_at(self.exchange.deadline, self.upstream.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.received_bytes += data.len();
                    self.exchange.open.record_progress(Progress::Body);
                    if self.received_bytes as u64 > MAX_ANSWER_BYTES {
                        self.record_broken(Evidence::TooLarge, None);
                        return Err(Evidence::TooLarge);
                    }
                    return Ok(Some(data));
                }
                Ok(Some(Err(error))) => return self.judge(Ending::Error, Some(&error)).await,
                Ok(None) => return self.judge(Ending::Regular, None).await,
                Err(_) => return self.judge(Ending::TimedOut, None).await,
            }
        }
    }

    async fn judge(
        &mut self,
        ending: Ending,
        error: Option<&hyper::Error>,
    ) -> Result<Option<Bytes>, Evidence> {
        let end = AnswerEnd {
            framing: self.upstream.framing,
            ending,
            content: Content::Opaque,
            silence: self.waiting_since.elapsed(),
            error: error.map(|error| error as _),
            progress: Progress::of_answer(self.received_bytes > 0),
        };
        let in_flight = &self.upstream.in_flight;
        let evidence = self.gateway.losses.judge(&self.exchange, in_flight, &end).await;
        if evidence.is_whole() {
            self.record_whole(evidence);
            return Ok(None);
        }
        self.record_broken(evidence, error);
        Err(evidence)
    }

    fn record_whole(&mut self, evidence: Evidence) {
        let Sent { at, runs, status } = self.sent;
        let server = Arc::clone(self.upstream.in_flight.server());
        server.record_answer(at.elapsed(), status.is_server_error());
        self.gateway.suspects.record_finished(&self.exchange.subjects, at);
        let metrics = &self.gateway.metrics;
        let after = self.exchange.arrived.elapsed();
        let result = if status.is_success() { "answered" } else { "failed" };
        metrics.record_send(self.exchange.kind(), result);
        metrics.observe_answer_time(self.exchange.kind(), after);
        tracing::info!(
            request = self.exchange.head.attempt_id,
            route = self.exchange.route.name,
            version = self.exchange.version,
            server = server.listed.id,
            status = status.as_u16(),
            framing = self.upstream.framing.name(),
            evidence = evidence.name(),
            bytes = self.received_bytes,
            after_ms = after.as_millis() as u64,
            runs,
            "answered"
        );
        if let Some(connection) = self.upstream.connection.take() {
            keep_connection(connection, server);
        }
    }

    fn record_broken(&self, evidence: Evidence, error: Option<&hyper::Error>) {
        let server = self.upstream.in_flight.server();
        if !matches!(evidence, Evidence::Deadline | Evidence::ProcessStops) {
            self.gateway.metrics.record_send(self.exchange.kind(), "broken");
            server.record_answer(self.sent.at.elapsed(), true);
        }
        tracing::info!(
            request = self.exchange.head.attempt_id,
            server = server.listed.id,
            framing = self.upstream.framing.name(),
            evidence = evidence.name(),
            bytes = self.received_bytes,
            error = error.map(tracing::field::display),
            "answer broken off"
        );
    }
}

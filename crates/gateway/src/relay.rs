//! Relays a stream's events to the caller as they arrive, and resumes the stream at another backend
//! server if one fails, or is silent until the other one has answered.

use crate::budget::RetryCause;
use crate::connection::Connection;
use crate::events::EventSplitter;
use crate::exchange::Exchange;
use crate::forward::{Awaited, Gateway, Hedge, Raced, SentRequest, Silence, keep_connection};
use crate::held::{HeldBytes, HoldError};
use crate::losses::{AnswerEnd, Progress};
use crate::open::CUT_BY_STOP;
use crate::server::{InFlight, Server};
use bytes::Bytes;
use flamingowheel_backing::client::framing::framing_of;
use flamingowheel_fleet::configuration::RetryPolicy;
use flamingowheel_policy::answers::{Ending, Evidence, Framing, MAX_ANSWER_BYTES};
use flamingowheel_policy::quota::Urgency;
use futures_util::stream;
use http_body::Frame;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Incoming;
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

/// Bytes of an incomplete event that are not counted as held for callers. Sound events are smaller.
const UNCOUNTED_EVENT_BYTES: usize = 8 * 1024;

/// A stream that can't be completed. The connection to the caller is closed, so that the caller
/// does not take a truncated answer for a complete one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("answer truncated: no backend server could complete it")]
pub struct Truncated;

/// The body of an answer to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, Truncated>;

/// A body that consists of these bytes.
pub fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Relays a stream from a backend server to a caller.
#[derive(Debug)]
pub struct Relay {
    source: Source,
    tried: Vec<Arc<Server>>,
    runs: u32,
    last_event_at: Option<Instant>,
    longest_pause_ms: u64,
    has_ended: bool,
}

/// A stream as read from its present server, after the events of those before.
#[derive(Debug)]
struct Source {
    gateway: Arc<Gateway>,
    exchange: Arc<Exchange>,
    upstream: UpstreamBody,
    received_bytes: u64,
    /// Since when the next bytes have been waited for. A caller that reads slowly makes them wait.
    waiting_since: Instant,
    splitter: EventSplitter,
    /// Counts a large incomplete event.
    held: Option<HeldBytes>,
}

enum Step {
    Events(Bytes),
    End(Evidence),
    Broken(Evidence),
    TooLate,
}

impl Step {
    fn is_lost(&self) -> bool {
        matches!(self, Self::Broken(_))
    }
}

impl Relay {
    /// Starts with a stream whose head has arrived.
    pub fn new(
        gateway: Arc<Gateway>,
        exchange: Arc<Exchange>,
        upstream: UpstreamBody,
        tried: Vec<Arc<Server>>,
        runs: u32,
    ) -> Self {
        let source = Source {
            gateway,
            exchange,
            upstream,
            received_bytes: 0,
            waiting_since: Instant::now(),
            splitter: EventSplitter::default(),
            held: None,
        };
        Self { source, tried, runs, last_event_at: None, longest_pause_ms: 0, has_ended: false }
    }

    /// The body of the answer to the caller.
    pub fn into_body(self) -> AnswerBody {
        let frames = stream::unfold(self, |mut relay| async move {
            let aborting = relay.source.exchange.open.aborting().clone();
            let frame = match aborting.run_until_cancelled(relay.next()).await {
                Some(frame) => frame?,
                None => relay.cut()?,
            };
            relay.source.exchange.open.record_progress(Progress::Body);
            Some((frame.map(Frame::data), relay))
        });
        BodyExt::boxed_unsync(StreamBody::new(frames))
    }

    fn cut(&mut self) -> Option<Result<Bytes, Truncated>> {
        if self.has_ended {
            return None;
        }
        self.end(CUT_BY_STOP, Evidence::ProcessStops);
        Some(Err(Truncated))
    }

    async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        if self.has_ended {
            return None;
        }
        loop {
            let step = match self.next_step().await {
                Raced::First(step) => step,
                Raced::Other(sent) => {
                    self.resume_at(*sent);
                    continue;
                }
            };
            match step {
                Step::Events(events) => {
                    self.record_events();
                    return Some(Ok(events));
                }
                Step::End(evidence) => {
                    self.end("complete", evidence);
                    // Comments may follow the last event.
                    let rest = Bytes::copy_from_slice(self.source.splitter.pending());
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Step::Broken(_) if self.resume().await => {}
                Step::Broken(evidence) => {
                    self.end("broken_off", evidence);
                    return Some(Err(Truncated));
                }
                Step::TooLate => {
                    self.end("too_late", Evidence::Deadline);
                    return Some(Err(Truncated));
                }
            }
        }
    }

    /// Waits for the next events; a silent server's also from another one.
    async fn next_step(&mut self) -> Raced<Step> {
        let Self { source, tried, runs, .. } = self;
        if !source.can_resume() {
            return Raced::First(source.step().await);
        }
        let (gateway, exchange) = (Arc::clone(&source.gateway), Arc::clone(&source.exchange));
        // Events that arrived while the caller did not read are no silence of the server.
        let awaited = Awaited::Event { since: Instant::now() };
        let silence = Silence::new(&gateway, &source.upstream.in_flight, awaited);
        let last_event_id = source.last_event_id();
        let mut hedge = resumption(&gateway, &exchange, last_event_id, tried, runs);
        hedge.race(source.step(), &silence, Step::is_lost).await
    }

    /// Looks for another backend server after the present one has broken off.
    async fn resume(&mut self) -> bool {
        let Self { source, tried, runs, .. } = self;
        source.upstream.connection = None;
        source.upstream.in_flight.set_trial(None);
        source.splitter.discard_pending();
        source.held = None;
        let server = source.upstream.in_flight.server();
        server.record_answer(source.exchange.arrived.elapsed(), true);
        if !source.can_resume() {
            return false;
        }
        let (gateway, exchange) = (Arc::clone(&source.gateway), Arc::clone(&source.exchange));
        let last_event_id = source.last_event_id();
        let mut hedge = resumption(&gateway, &exchange, last_event_id, tried, runs);
        let Some(sent) = hedge.find(usize::MAX).await else {
            return false;
        };
        self.resume_at(sent);
        true
    }

    /// Goes on at another backend server after the last event that was relayed. The connection to the
    /// one before is given up.
    fn resume_at(&mut self, sent: SentRequest) {
        tracing::info!(
            request = self.source.exchange.head.attempt_id,
            server = sent.in_flight.server().listed.id,
            after_event = self.source.last_event_id(),
            "stream resumed"
        );
        self.source.splitter.discard_pending();
        self.source.held = None;
        self.source.received_bytes = 0;
        self.source.upstream = UpstreamBody {
            framing: framing_of(&sent.response),
            body: sent.response.into_body(),
            connection: Some(sent.connection),
            in_flight: sent.in_flight,
            sent_at: sent.sent_at,
        };
    }

    fn record_events(&mut self) {
        let now = Instant::now();
        if let Some(group) = self.source.upstream.in_flight.group() {
            group.record_event(self.source.upstream.in_flight.server().listed.address, now);
        }
        match self.last_event_at.replace(now) {
            None => {
                let after = now - self.source.exchange.arrived;
                self.source.gateway.metrics.observe_answer_time(self.source.exchange.kind(), after);
                self.source.upstream.in_flight.server().record_answer(after, false);
                tracing::info!(
                    request = self.source.exchange.head.attempt_id,
                    route = self.source.exchange.route.name,
                    server = self.source.upstream.in_flight.server().listed.id,
                    after_ms = after.as_millis() as u64,
                    "first event"
                );
            }
            Some(last) => {
                let pause = now - last;
                self.longest_pause_ms = self.longest_pause_ms.max(pause.as_millis() as u64);
                self.source.gateway.metrics.observe_pause(pause);
                if let Some(group) = self.source.upstream.in_flight.group() {
                    group.record_pause(pause.as_secs_f64() * 1_000.0, now);
                }
            }
        }
    }

    fn end(&mut self, outcome: &'static str, evidence: Evidence) {
        self.has_ended = true;
        self.source.exchange.open.end(outcome);
        tracing::info!(
            request = self.source.exchange.head.attempt_id,
            server = self.source.upstream.in_flight.server().listed.id,
            version = self.source.exchange.version,
            outcome,
            framing = self.source.upstream.framing.name(),
            evidence = evidence.name(),
            events = self.source.splitter.event_count(),
            bytes = self.source.received_bytes,
            pending_bytes = self.source.splitter.pending().len(),
            last_event = self.source.splitter.last_id(),
            longest_pause_ms = self.longest_pause_ms,
            after_ms = self.source.exchange.arrived.elapsed().as_millis() as u64,
            runs = self.runs,
            "stream ended"
        );
        // Dropping the connection makes the server stop work on the request.
        let connection = self.source.upstream.connection.take();
        if evidence.is_whole() {
            self.source
                .gateway
                .suspects
                .record_finished(&self.source.exchange.subjects, self.source.upstream.sent_at);
            let server = self.source.upstream.in_flight.server();
            connection.into_iter().for_each(|kept| keep_connection(kept, Arc::clone(server)));
        }
    }
}

impl Source {
    /// Whether another server can go on after the last event.
    fn can_resume(&self) -> bool {
        self.exchange.route.retry_policy == RetryPolicy::Resume
            && !self.splitter.has_unnumbered_data()
    }

    /// The last event that was relayed, or that the caller had before.
    fn last_event_id(&self) -> Option<u64> {
        self.splitter.last_id().or(self.exchange.head.last_event_id)
    }

    /// Waits for complete events.
    async fn step(&mut self) -> Step {
        self.waiting_since = Instant::now();
        loop {
            let waited = timeout_at(self.exchange.deadline, self.upstream.body.frame()).await;
            let frame = match waited {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return self.judge_end(Ending::Error, Some(&error)).await,
                Ok(None) => return self.judge_end(Ending::Regular, None).await,
                Err(_) => return self.judge_end(Ending::TimedOut, None).await,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.received_bytes += data.len() as u64;
            if self.received_bytes > MAX_ANSWER_BYTES {
                self.log_broken(Evidence::TooLarge, None);
                return Step::Broken(Evidence::TooLarge);
            }
            self.waiting_since = Instant::now();
            match self.splitter.push(&data) {
                Ok(events) if events.is_empty() => {
                    if let Err(error) = self.hold_pending() {
                        tracing::info!(request = self.exchange.head.attempt_id, %error, "event given up");
                        self.log_broken(Evidence::MemoryFull, None);
                        return Step::Broken(Evidence::MemoryFull);
                    }
                }
                Ok(events) => {
                    self.held = None;
                    return Step::Events(events);
                }
                Err(error) => {
                    tracing::warn!(request = self.exchange.head.attempt_id, %error, "stream broken");
                    return Step::Broken(Evidence::InsideEvent);
                }
            }
        }
    }

    /// Counts the incomplete event, if it is large. Servers in trouble send events without end, and
    /// all streams together must not fill the memory.
    fn hold_pending(&mut self) -> Result<(), HoldError> {
        let bytes = self.splitter.pending().len();
        if bytes <= UNCOUNTED_EVENT_BYTES {
            return Ok(());
        }
        match &mut self.held {
            Some(held) => held.try_grow_to(bytes),
            None => {
                self.held = Some(self.gateway.held.try_hold(bytes)?);
                Ok(())
            }
        }
    }

    /// Decides whether a stream that has ended is whole.
    async fn judge_end(&self, ending: Ending, error: Option<&hyper::Error>) -> Step {
        let end = AnswerEnd {
            framing: self.upstream.framing,
            ending,
            content: self.splitter.content(),
            silence: self.waiting_since.elapsed(),
            error: error.map(|error| error as _),
            progress: Progress::of_answer(self.received_bytes > 0),
        };
        let evidence =
            self.gateway.losses.judge(&self.exchange, &self.upstream.in_flight, &end).await;
        match evidence {
            _ if evidence.is_whole() => return Step::End(evidence),
            Evidence::Deadline => return Step::TooLate,
            _ => {}
        }
        self.log_broken(evidence, error);
        Step::Broken(evidence)
    }

    fn log_broken(&self, evidence: Evidence, error: Option<&hyper::Error>) {
        tracing::info!(
            request = self.exchange.head.attempt_id,
            server = self.upstream.in_flight.server().listed.id,
            framing = self.upstream.framing.name(),
            evidence = evidence.name(),
            bytes = self.received_bytes,
            pending_bytes = self.splitter.pending().len(),
            error = error.map(tracing::field::display),
            "stream broken"
        );
    }
}

fn resumption<'a>(
    gateway: &'a Gateway,
    exchange: &'a Exchange,
    last_event_id: Option<u64>,
    tried: &'a mut Vec<Arc<Server>>,
    runs: &'a mut u32,
) -> Hedge<'a> {
    let (cause, urgency) = (RetryCause::Resumed, Urgency::Begun);
    Hedge { gateway, exchange, tried, runs, cause, urgency, admission: None, last_event_id }
}

/// The body of a backend server's answer, with its connection.
#[derive(Debug)]
pub struct UpstreamBody {
    /// The remaining body.
    pub body: Incoming,
    /// How the answer states the end of its body.
    pub framing: Framing,
    /// The connection that carries it.
    pub connection: Option<Connection>,
    /// Counts the request as in flight at the server.
    pub in_flight: InFlight,
    /// When the request was sent.
    pub sent_at: Instant,
}

//! Relays a stream's events to the caller as they arrive, and resumes the stream at another backend
//! server if one fails.

use crate::balance::Choice;
use crate::budget::RetryCause;
use crate::connection::Connection;
use crate::events::EventSplitter;
use crate::exchange::Exchange;
use crate::forward::{Gateway, SendFailure, keep_connection};
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
    gateway: Arc<Gateway>,
    exchange: Arc<Exchange>,
    body: Incoming,
    framing: Framing,
    received_bytes: u64,
    /// Since when the next bytes have been waited for. A caller that reads slowly makes them wait.
    waiting_since: Instant,
    connection: Option<Connection>,
    in_flight: InFlight,
    /// When the request was sent to the present server.
    sent_at: Instant,
    tried: Vec<Arc<Server>>,
    runs: u32,
    splitter: EventSplitter,
    last_event_at: Option<Instant>,
    longest_pause_ms: u64,
    has_ended: bool,
}

enum Step {
    Events(Bytes),
    End(Evidence),
    Broken(Evidence),
    TooLate,
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
        let UpstreamBody { body, framing, connection, in_flight, sent_at } = upstream;
        Self {
            gateway,
            exchange,
            body,
            framing,
            received_bytes: 0,
            waiting_since: Instant::now(),
            connection,
            in_flight,
            sent_at,
            tried,
            runs,
            splitter: EventSplitter::default(),
            last_event_at: None,
            longest_pause_ms: 0,
            has_ended: false,
        }
    }

    /// The body of the answer to the caller.
    pub fn into_body(self) -> AnswerBody {
        let frames = stream::unfold(self, |mut relay| async move {
            let aborting = relay.exchange.open.aborting().clone();
            let frame = match aborting.run_until_cancelled(relay.next()).await {
                Some(frame) => frame?,
                None => relay.cut()?,
            };
            relay.exchange.open.record_progress(Progress::Body);
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
            match self.step().await {
                Step::Events(events) => {
                    self.record_events();
                    return Some(Ok(events));
                }
                Step::End(evidence) => {
                    self.end("complete", evidence);
                    // Comments may follow the last event.
                    let rest = Bytes::copy_from_slice(self.splitter.pending());
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

    /// Waits for complete events.
    async fn step(&mut self) -> Step {
        self.waiting_since = Instant::now();
        let (server, group) = (self.in_flight.server(), self.in_flight.group());
        let detector = self.gateway.silence_detector(Arc::clone(server), group.cloned());
        let can_resume = self.exchange.route.retry_policy == RetryPolicy::Resume
            && self.runs < self.exchange.route.max_attempts;
        let last_at = self.last_event_at.unwrap_or_else(Instant::now);
        loop {
            let waiting = timeout_at(self.exchange.deadline, self.body.frame());
            let waited = tokio::select! {
                frame = waiting => frame,
                () = detector.event_overdue(last_at), if can_resume => {
                    tracing::info!(
                        request = self.exchange.head.attempt_id,
                        server = self.in_flight.server().listed.id,
                        "backend server silent while its group goes on"
                    );
                    return Step::Broken(Evidence::ServerSilent);
                }
            };
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
                Ok(events) if events.is_empty() => {}
                Ok(events) => return Step::Events(events),
                Err(error) => {
                    tracing::warn!(request = self.exchange.head.attempt_id, %error, "stream broken");
                    return Step::Broken(Evidence::InsideEvent);
                }
            }
        }
    }

    /// Decides whether a stream that has ended is whole.
    async fn judge_end(&self, ending: Ending, error: Option<&hyper::Error>) -> Step {
        let end = AnswerEnd {
            framing: self.framing,
            ending,
            content: self.splitter.content(),
            silence: self.waiting_since.elapsed(),
            error: error.map(|error| error as _),
            progress: Progress::of_answer(self.received_bytes > 0),
        };
        let evidence = self.gateway.losses.judge(&self.exchange, &self.in_flight, &end).await;
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
            server = self.in_flight.server().listed.id,
            framing = self.framing.name(),
            evidence = evidence.name(),
            bytes = self.received_bytes,
            pending_bytes = self.splitter.pending().len(),
            error = error.map(tracing::field::display),
            "stream broken"
        );
    }

    /// Resumes at another backend server after the last event that was relayed.
    async fn resume(&mut self) -> bool {
        self.connection = None;
        self.in_flight.set_trial(None);
        self.splitter.discard_pending();
        let server = self.in_flight.server();
        server.record_answer(self.exchange.arrived.elapsed(), true);
        if self.exchange.route.retry_policy != RetryPolicy::Resume
            || self.splitter.has_unnumbered_data()
        {
            return false;
        }
        let last_event_id = self.splitter.last_id().or(self.exchange.head.last_event_id);
        while self.runs < self.exchange.route.max_attempts {
            let choice = self.gateway.selector.choose(&self.exchange, &self.tried, None).await;
            let Choice::Send(server, group) = choice else {
                return false;
            };
            let (cause, urgency) = (RetryCause::Resumed, Urgency::Begun);
            let Some(permit) = self.gateway.try_acquire_retry(&self.exchange, cause, urgency)
            else {
                return false;
            };
            self.tried.push(Arc::clone(&server));
            let sent =
                self.gateway.send(&self.exchange, &server, group.as_ref(), last_event_id).await;
            drop(permit);
            match sent {
                Ok(sent) if sent.response.status().is_success() => {
                    tracing::info!(
                        request = self.exchange.head.attempt_id,
                        server = server.listed.id,
                        after_event = last_event_id,
                        "stream resumed"
                    );
                    self.runs += 1;
                    self.framing = framing_of(&sent.response);
                    self.received_bytes = 0;
                    self.body = sent.response.into_body();
                    self.connection = Some(sent.connection);
                    self.in_flight = sent.in_flight;
                    self.sent_at = sent.sent_at;
                    return true;
                }
                Ok(sent) if sent.answer.is_not_run => {}
                Ok(_) | Err(SendFailure::MayHaveRun) => self.runs += 1,
                Err(SendFailure::Suspect(_)) => return false,
                Err(SendFailure::NotAdmitted | SendFailure::NotSent) => {}
            }
        }
        false
    }

    fn record_events(&mut self) {
        let now = Instant::now();
        if let Some(group) = self.in_flight.group() {
            group.record_event(self.in_flight.server().listed.address, now);
        }
        match self.last_event_at.replace(now) {
            None => {
                let after = now - self.exchange.arrived;
                self.gateway.metrics.observe_answer_time(self.exchange.kind(), after);
                self.in_flight.server().record_answer(after, false);
                tracing::info!(
                    request = self.exchange.head.attempt_id,
                    route = self.exchange.route.name,
                    server = self.in_flight.server().listed.id,
                    after_ms = after.as_millis() as u64,
                    "first event"
                );
            }
            Some(last) => {
                let pause = now - last;
                self.longest_pause_ms = self.longest_pause_ms.max(pause.as_millis() as u64);
                self.gateway.metrics.observe_pause(pause);
                if let Some(group) = self.in_flight.group() {
                    group.record_pause(pause.as_secs_f64() * 1_000.0, now);
                }
            }
        }
    }

    fn end(&mut self, outcome: &'static str, evidence: Evidence) {
        self.has_ended = true;
        self.exchange.open.end(outcome);
        tracing::info!(
            request = self.exchange.head.attempt_id,
            server = self.in_flight.server().listed.id,
            version = self.exchange.version,
            outcome,
            framing = self.framing.name(),
            evidence = evidence.name(),
            events = self.splitter.event_count(),
            bytes = self.received_bytes,
            pending_bytes = self.splitter.pending().len(),
            last_event = self.splitter.last_id(),
            longest_pause_ms = self.longest_pause_ms,
            after_ms = self.exchange.arrived.elapsed().as_millis() as u64,
            runs = self.runs,
            "stream ended"
        );
        // Dropping the connection makes the server stop work on the request.
        let connection = self.connection.take();
        if evidence.is_whole() {
            self.gateway.suspects.record_finished(&self.exchange.subjects, self.sent_at);
            let server = self.in_flight.server();
            connection.into_iter().for_each(|kept| keep_connection(kept, Arc::clone(server)));
        }
    }
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

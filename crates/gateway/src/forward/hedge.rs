//! Sends a request to a second backend server beside the first one while that one is silent.
//!
//! A server that is only silent may still answer, so its connection is kept until the other server
//! has answered with success. Whichever goes on first serves the caller.

use super::{Gateway, SendFailure, SentRequest};
use crate::balance::Choice;
use crate::budget::RetryCause;
use crate::exchange::Exchange;
use crate::group::{Admission, GroupLoad};
use crate::server::{InFlight, Server};
use crate::silence::SilenceDetector;
use flamingowheel_fleet::configuration::RetryPolicy;
use flamingowheel_policy::quota::Urgency;
use futures_util::future::BoxFuture;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Pause before another server is looked for again while the first one stays silent.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of servers that may refuse in one look while the first one stays silent. The request is not
/// lost, and leaves retries to others that are.
const MAX_REFUSED_IN_LOOK: usize = 1;

/// Attempts of one request at further servers.
#[derive(Debug)]
pub struct Hedge<'a> {
    /// Chooses servers and sends.
    pub gateway: &'a Gateway,
    /// The request.
    pub exchange: &'a Exchange,
    /// Servers that are not asked.
    pub tried: &'a mut Vec<Arc<Server>>,
    /// Number of runs that may have begun, at most the route's `max_attempts`.
    pub runs: &'a mut u32,
    /// Why the request is sent again.
    pub cause: RetryCause,
    /// How urgently it is.
    pub urgency: Urgency,
    /// Condition under which a group takes it; `None` if every group does.
    pub admission: Option<Admission>,
    /// The event after which a stream goes on.
    pub last_event_id: Option<u64>,
}

/// What came of a wait beside which another server was asked.
#[derive(Debug)]
pub enum Raced<T> {
    /// The result of the first server.
    First(T),
    /// Another server has answered with success; the first one is given up.
    Other(Box<SentRequest>),
}

impl Hedge<'_> {
    /// Waits for `first`, the result of a server. Once `silence` says that the server is overdue, asks
    /// others beside it, again and again until there is a result. One that `is_lost` gives way to an
    /// attempt in progress.
    pub async fn race<F, L>(&mut self, first: F, silence: &Silence, is_lost: L) -> Raced<F::Output>
    where
        F: Future,
        L: Fn(&F::Output) -> bool,
    {
        let exchange = self.exchange;
        let mut first = pin!(first);
        if exchange.route.retry_policy != RetryPolicy::Resume {
            return Raced::First(first.await);
        }
        tokio::select! {
            biased;
            result = &mut first => return Raced::First(result),
            () = silence.overdue() => silence.record(exchange),
        }
        while self.may_run() {
            let mut other = self.find(MAX_REFUSED_IN_LOOK);
            tokio::select! {
                biased;
                result = &mut first => {
                    if is_lost(&result) && let Some(sent) = other.await {
                        return Raced::Other(Box::new(sent));
                    }
                    silence.log_end(exchange);
                    return Raced::First(result);
                }
                found = &mut other => if let Some(sent) = found {
                    return Raced::Other(Box::new(sent));
                }
            }
            drop(other);
            tokio::select! {
                biased;
                result = &mut first => return Raced::First(result),
                () = async { sleep(LOOK_INTERVAL).await; silence.overdue().await } => {}
            }
        }
        Raced::First(first.await)
    }

    /// Asks other servers one after the other, until as many as stated have refused; `None` if none of
    /// them answers with success.
    pub fn find(&mut self, max_refused: usize) -> BoxFuture<'_, Option<SentRequest>> {
        Box::pin(async move {
            // They may take the request at the next look.
            let mut refused = Vec::new();
            while self.may_run() && refused.len() < max_refused && self.has_time() {
                let excluded = [&self.tried[..], &refused[..]].concat();
                let admission = self.admission.as_ref();
                let choice =
                    self.gateway.selector.choose(self.exchange, &excluded, admission).await;
                let Choice::Send(server, group) = choice else {
                    return None;
                };
                let permit =
                    self.gateway.try_acquire_retry(self.exchange, self.cause, self.urgency)?;
                // The server counts as tried also if the wait for it is given up.
                self.tried.push(Arc::clone(&server));
                let sent = self.send(&server, group.as_ref()).await;
                drop(permit);
                match sent {
                    Ok(sent) if sent.response.status().is_success() => return Some(sent),
                    Ok(sent) if sent.answer.is_not_run => {
                        self.gateway.record_not_run(self.exchange, &sent);
                    }
                    Ok(_) | Err(SendFailure::MayHaveRun) => continue,
                    Err(SendFailure::Suspect(_)) => {
                        self.forget(&server);
                        return None;
                    }
                    Err(SendFailure::NotAdmitted | SendFailure::NotSent) => {}
                }
                self.forget(&server);
                refused.push(server);
            }
            None
        })
    }

    /// Sends the request to a server, and to others beside it while that one is silent. Its run counts
    /// from the start, so that it does also if the wait for it is given up.
    pub async fn send(
        &mut self,
        server: &Arc<Server>,
        group: Option<&Arc<GroupLoad>>,
    ) -> Result<SentRequest, SendFailure> {
        let (gateway, exchange) = (self.gateway, self.exchange);
        let begun = gateway.begin_send(exchange, server, group).await?;
        *self.runs += 1;
        let sent_at = begun.sent_at;
        let silence = Silence::new(gateway, &begun.in_flight, Awaited::Head { sent_at });
        let first = gateway.finish_send(exchange, begun, self.last_event_id);
        match self.race(first, &silence, is_lost).await {
            Raced::First(sent) => {
                *self.runs -= u32::from(!may_have_run(&sent));
                sent
            }
            Raced::Other(sent) => {
                gateway.record_no_answer(exchange, server, "lost", sent_at);
                Ok(*sent)
            }
        }
    }

    /// Makes a server that has not run the request eligible again.
    fn forget(&mut self, server: &Arc<Server>) {
        self.tried.retain(|tried| !Arc::ptr_eq(tried, server));
    }

    fn has_time(&self) -> bool {
        Instant::now() < self.exchange.deadline
    }

    fn may_run(&self) -> bool {
        *self.runs < self.exchange.route.max_attempts
    }
}

fn is_lost(sent: &Result<SentRequest, SendFailure>) -> bool {
    let is_answer =
        |sent: &SentRequest| !sent.answer.is_not_run && !sent.response.status().is_server_error();
    !sent.as_ref().is_ok_and(is_answer)
}

fn may_have_run(sent: &Result<SentRequest, SendFailure>) -> bool {
    match sent {
        Ok(sent) => !sent.answer.is_not_run,
        Err(failure) => matches!(failure, SendFailure::MayHaveRun),
    }
}

/// What a request waits for.
#[derive(Clone, Copy, Debug)]
pub enum Awaited {
    /// The head of the answer to a request sent at this time.
    Head {
        /// When it was sent.
        sent_at: Instant,
    },
    /// The next event of a stream.
    Event {
        /// Since when it has been waited for.
        since: Instant,
    },
}

/// Watches for the silence of a server that a request waits for.
#[derive(Debug)]
pub struct Silence {
    server: Arc<Server>,
    detector: SilenceDetector,
    awaited: Awaited,
}

impl Silence {
    /// Watches the server of a request.
    pub fn new(gateway: &Gateway, in_flight: &InFlight, awaited: Awaited) -> Self {
        let (server, group) = (in_flight.server(), in_flight.group());
        let detector = gateway.silence_detector(Arc::clone(server), group.cloned());
        Self { server: Arc::clone(server), detector, awaited }
    }

    async fn overdue(&self) {
        match self.awaited {
            Awaited::Head { sent_at } => self.detector.head_overdue(sent_at).await,
            Awaited::Event { since } => self.detector.event_overdue(since).await,
        }
    }

    fn log_end(&self, exchange: &Exchange) {
        tracing::info!(
            request = exchange.head.attempt_id,
            server = self.server.listed.id,
            "search for another server ended with the wait for the silent one"
        );
    }

    /// Makes other requests avoid the server.
    fn record(&self, exchange: &Exchange) {
        tracing::info!(
            request = exchange.head.attempt_id,
            server = self.server.listed.id,
            "backend server silent while its group goes on"
        );
        match self.awaited {
            Awaited::Head { .. } => self.server.record_unreachable(Instant::now()),
            Awaited::Event { .. } => self.server.record_answer(exchange.arrived.elapsed(), true),
        }
    }
}

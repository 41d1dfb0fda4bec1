//! Records what backend servers ask for in their answers: a limit, rest, or no more requests.

use crate::metrics::Metrics;
use crate::permits::PermitSender;
use crate::server::Server;
use flamingowheel_platform::{AnswerHead, Stated};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Records it with the server, logs it and counts it.
#[derive(Clone, Debug)]
pub struct SignalRecorder {
    permits: PermitSender,
    metrics: Arc<Metrics>,
}

impl SignalRecorder {
    /// Creates a recorder that reports limits through `permits`.
    pub fn new(permits: PermitSender, metrics: Arc<Metrics>) -> Self {
        Self { permits, metrics }
    }

    /// Records the answer of a server to the attempt `attempt_id`, which was sent at `sent_at`.
    pub fn record(
        &self,
        attempt_id: &str,
        server: &Arc<Server>,
        answer: &AnswerHead,
        sent_at: Instant,
    ) {
        self.record_limit(attempt_id, server, answer, sent_at);
        self.record_rest(attempt_id, server, &answer.rest);
        self.record_leaving(attempt_id, server, &answer.leaving);
        self.record_cold(attempt_id, server, &answer.cold);
    }

    fn record_cold(&self, request: &str, server: &Arc<Server>, cold: &Stated<Duration>) {
        let id = server.listed.id.as_str();
        match cold {
            Stated::Value(left) => {
                let now = Instant::now();
                if server.record_cold(*left, now) {
                    self.permits.report_cold(server, now);
                    self.metrics.record_signal("cold");
                    let left_ms = left.as_millis() as u64;
                    tracing::info!(request, server = id, left_ms, "backend server is cold");
                }
            }
            Stated::Malformed(text) => {
                self.metrics.record_signal("cold_malformed");
                tracing::warn!(request, server = id, text, "backend server's warmth can't be read");
            }
            Stated::Absent => {}
        }
    }

    fn record_limit(
        &self,
        request: &str,
        server: &Arc<Server>,
        answer: &AnswerHead,
        sent_at: Instant,
    ) {
        let stated = &answer.limit_per_s;
        // An answer that reports "not run" without a limit may come from a step before the server's
        // own, so that it does not end the limit.
        if answer.is_not_run && *stated == Stated::Absent {
            return;
        }
        let now = Instant::now();
        let change = server.record_limit(stated, sent_at, now);
        if change.has_toggled {
            self.permits.report(server, now);
        }
        let server = server.listed.id.as_str();
        match stated {
            Stated::Absent if change.has_toggled => {
                self.metrics.record_signal("limit_ended");
                tracing::info!(request, server, "backend server names no limit any more");
            }
            Stated::Value(limit_per_s) if change.has_new_value => {
                self.metrics.record_signal("limit");
                tracing::info!(request, server, limit_per_s, "backend server names a limit");
            }
            Stated::Malformed(text) if change.has_new_value => {
                self.metrics.record_signal("limit_malformed");
                tracing::warn!(request, server, text, "backend server's limit can't be read");
            }
            _ => {}
        }
    }

    fn record_rest(&self, request: &str, server: &Server, rest: &Stated<Duration>) {
        let id = server.listed.id.as_str();
        match rest {
            Stated::Value(rest) => {
                server.record_rest(*rest, rand::random(), Instant::now());
                self.metrics.record_signal("rest");
                let rest_ms = rest.as_millis() as u64;
                tracing::info!(request, server = id, rest_ms, "backend server asks for rest");
            }
            Stated::Malformed(text) => {
                self.metrics.record_signal("rest_malformed");
                tracing::warn!(request, server = id, text, "backend server's rest can't be read");
            }
            Stated::Absent => {}
        }
    }

    fn record_leaving(&self, request: &str, server: &Server, leaving: &Stated<bool>) {
        let id = server.listed.id.as_str();
        match leaving {
            Stated::Value(true) if server.record_leaving() => {
                self.metrics.record_signal("leaving");
                tracing::info!(request, server = id, "backend server leaves");
            }
            Stated::Malformed(text) => {
                self.metrics.record_signal("leaving_malformed");
                tracing::warn!(
                    request,
                    server = id,
                    text,
                    "backend server's leaving can't be read"
                );
            }
            Stated::Value(_) | Stated::Absent => {}
        }
    }
}

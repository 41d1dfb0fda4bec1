//! Relays a backend server's answer to the caller.

use super::{Gateway, SentRequest};
use crate::connection::Connection;
use crate::exchange::Exchange;
use crate::refusal::Refusal;
use crate::relay::{AnswerBody, Relay, UpstreamBody, full_body};
use crate::server::Server;
use bytes::Bytes;
use flamingowheel_backing::client::framing::framing_of;
use flamingowheel_platform::headers;
use flamingowheel_policy::answers::{Ending, Framing};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

/// Largest answer that is buffered before its head is sent on, in bytes. If such an answer breaks
/// off, it can be replaced by another server's; larger ones are relayed as they arrive.
const MAX_BUFFERED_ANSWER_BYTES: u64 = 256 * 1024;

impl Gateway {
    /// Relays an answer: streams as they arrive, others once they are complete.
    pub(super) async fn forward_answer(
        self: &Arc<Self>,
        exchange: &Arc<Exchange>,
        sent: SentRequest,
        tried: &[Arc<Server>],
        runs: u32,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let SentRequest { response, connection, in_flight, sent_at, .. } = sent;
        let status = response.status();
        let is_success = status.is_success();
        let framing = framing_of(&response);
        let (mut parts, body) = response.into_parts();
        headers::strip_hop_by_hop(&mut parts.headers);
        if exchange.route.is_stream && is_success {
            parts.headers.remove(http::header::CONTENT_LENGTH);
            let upstream = UpstreamBody { body, framing, connection, in_flight };
            let (gateway, exchange) = (Arc::clone(self), Arc::clone(exchange));
            let relay = Relay::new(gateway, exchange, upstream, tried.to_vec(), runs);
            return Ok(Response::from_parts(parts, relay.into_body()));
        }
        let server = Arc::clone(in_flight.server());
        let collecting = collect(body);
        let collected = match timeout_at(exchange.deadline, collecting).await {
            Ok(collected) => collected,
            Err(_) => {
                self.metrics.record_answer(framing, Ending::TimedOut);
                return Err(Refusal::NoAnswerInTime);
            }
        };
        let Some(bytes) = collected else {
            self.metrics.record_answer(framing, Ending::Error);
            self.losses.record(exchange, &server, &"answer broken off").await;
            self.metrics.record_send(exchange.kind(), "broken");
            server.record_answer(sent_at.elapsed(), true);
            return Err(Refusal::AnswerLost);
        };
        self.metrics.record_answer(framing, Ending::Regular);
        server.record_answer(sent_at.elapsed(), status.is_server_error());
        self.suspects.record_finished(exchange.fingerprint);
        keep_connection(connection, server);
        self.metrics.record_send(exchange.kind(), if is_success { "answered" } else { "failed" });
        self.record_answered(exchange, in_flight.server(), status, runs, (framing, bytes.len()));
        Ok(Response::from_parts(parts, full_body(bytes)))
    }

    fn record_answered(
        &self,
        exchange: &Exchange,
        server: &Server,
        status: StatusCode,
        runs: u32,
        (framing, bytes): (Framing, usize),
    ) {
        let after = exchange.arrived.elapsed();
        self.metrics.observe_answer_time(exchange.kind(), after);
        self.metrics.record_request(exchange.kind(), "answered");
        tracing::info!(
            request = exchange.head.attempt_id,
            route = exchange.route.name,
            version = exchange.version,
            server = server.listed.id,
            status = status.as_u16(),
            framing = framing.name(),
            bytes,
            after_ms = after.as_millis() as u64,
            runs,
            "answered"
        );
    }
}

/// Returns a connection to the server's pool once it has finished the last exchange.
pub fn keep_connection(mut connection: Connection, server: Arc<Server>) {
    if connection.is_usable() {
        server.put_idle(connection, Instant::now());
        return;
    }
    tokio::spawn(async move {
        if connection.wait_until_ready().await {
            server.put_idle(connection, Instant::now());
        }
    });
}

async fn collect(body: Incoming) -> Option<Bytes> {
    let limited = Limited::new(body, MAX_BUFFERED_ANSWER_BYTES as usize);
    limited.collect().await.ok().map(http_body_util::Collected::to_bytes)
}

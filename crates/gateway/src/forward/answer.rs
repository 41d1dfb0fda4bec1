//! Relays a backend server's answer to the caller.

use super::plain::{Buffered, PlainAnswer, Sent};
use super::{Gateway, SentRequest};
use crate::connection::Connection;
use crate::exchange::Exchange;
use crate::losses::Progress;
use crate::refusal::Refusal;
use crate::relay::{AnswerBody, Relay, UpstreamBody, full_body};
use crate::server::Server;
use flamingowheel_backing::client::framing::framing_of;
use flamingowheel_platform::headers;
use flamingowheel_policy::answers::{Evidence, Framing};
use http::{Method, Response, StatusCode, Version};
use std::sync::Arc;
use tokio::time::Instant;

/// Marks a response that holds a server's whole answer. Others end when their bodies do.
#[derive(Clone, Copy, Debug)]
pub(super) struct WholeAnswer;

impl Gateway {
    /// Relays an answer: streams and large answers as they arrive, others once they are complete.
    pub(super) async fn forward_answer(
        self: &Arc<Self>,
        exchange: &Arc<Exchange>,
        sent: SentRequest,
        tried: &[Arc<Server>],
        runs: u32,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let SentRequest { response, connection, in_flight, sent_at, .. } = sent;
        exchange.open.record_progress(Progress::Head);
        let status = response.status();
        let framing = framing_of(&response);
        let (mut parts, body) = response.into_parts();
        headers::strip_hop_by_hop(&mut parts.headers);
        // The connection to the caller has a version of its own.
        parts.version = Version::HTTP_11;
        let connection = Some(connection);
        let upstream = UpstreamBody { body, framing, connection, in_flight, sent_at };
        let (gateway, exchange) = (Arc::clone(self), Arc::clone(exchange));
        let has_body = exchange.method != Method::HEAD && status != StatusCode::NO_CONTENT;
        let is_stream = exchange.route.is_stream && status.is_success() && has_body;
        // A length beside chunks does not count, and that of a stream changes if it is resumed.
        if is_stream || framing != Framing::Length {
            parts.headers.remove(http::header::CONTENT_LENGTH);
        }
        if is_stream {
            let relay = Relay::new(gateway, exchange, upstream, tried.to_vec(), runs);
            return Ok(Response::from_parts(parts, relay.into_body()));
        }
        let sent = Sent { at: sent_at, runs, status };
        let body = match PlainAnswer::new(gateway, exchange, upstream, sent).buffer().await {
            Buffered::Whole(bytes) => {
                parts.extensions.insert(WholeAnswer);
                full_body(bytes)
            }
            Buffered::Large(answer) => answer.into_body(),
            Buffered::Broken(Evidence::Deadline) => return Err(Refusal::NoAnswerInTime),
            Buffered::Broken(_) => return Err(Refusal::AnswerLost),
        };
        Ok(Response::from_parts(parts, body))
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

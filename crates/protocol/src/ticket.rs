//! Tickets for non-idempotent work.
//!
//! A ticket names one agent process and a number. Only that process runs the work, at most once,
//! and keeps its record in memory. Issuing a ticket needs no coordination, so it works while the
//! key-value service is down.

use crate::auth::FleetKey;
use crate::id::{ExecutionKey, Incarnation, RequestId, Window};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

const PURPOSE: &[u8] = b"flamingowheel ticket 1";
const STREAM_PURPOSE: &[u8] = b"flamingowheel stream 1";
const MAX_TEXT_BYTES: usize = 1024;

/// The right to run one piece of non-idempotent work at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Name of the agent that keeps the execution's record.
    pub agent: String,
    /// The agent process; no other will ever run the work.
    pub incarnation: Incarnation,
    /// The agent's record window when the ticket was issued; bounds how long the agent must keep
    /// the record.
    pub window: Window,
    /// Number of the ticket, unique.
    pub number: Uuid,
    /// The workspace that it was issued for.
    pub workspace: String,
    /// The service that it was issued for.
    pub service: String,
}

/// Why the text of a ticket or stream token was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TicketError {
    /// The text is malformed.
    #[error("malformed ticket")]
    Malformed,
    /// The text was not issued by this fleet, or was altered.
    #[error("ticket not authentic")]
    NotAuthentic,
}

impl Ticket {
    /// Encodes the ticket as text for an HTTP header, authenticated by the fleet key.
    ///
    /// ```
    /// use flamingowheel_protocol::{auth::FleetKey, id::{Incarnation, Window}, ticket::Ticket};
    /// let key = FleetKey::new([7; 32]);
    /// let ticket = Ticket {
    ///     agent: "desk-1".into(), incarnation: Incarnation(5), window: Window(0),
    ///     number: uuid::Uuid::nil(), workspace: "attica".into(), service: "payouts".into(),
    /// };
    /// let text = ticket.to_text(&key);
    /// assert_eq!(Ticket::from_text(&text, &key), Ok(ticket));
    /// assert!(Ticket::from_text(&text, &FleetKey::new([8; 32])).is_err());
    /// ```
    pub fn to_text(&self, key: &FleetKey) -> String {
        seal(PURPOSE, self, key)
    }

    /// Decodes a ticket and checks that this fleet issued it.
    pub fn from_text(text: &str, key: &FleetKey) -> Result<Self, TicketError> {
        open(PURPOSE, text, key)
    }
}

/// The right to continue reading one answer through any entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamToken {
    /// Name of the agent that keeps the answer.
    pub agent: String,
    /// Incarnation of that agent's process.
    pub incarnation: Incarnation,
    /// The agent's record window when the request was sent.
    pub window: Window,
    /// Key of the execution in the agent's records.
    pub key: ExecutionKey,
    /// The request whose answer is read.
    pub request: RequestId,
    /// The workspace whose callers may read it.
    pub workspace: String,
}

impl StreamToken {
    /// Encodes the token as text, authenticated by the fleet key.
    ///
    /// ```
    /// use flamingowheel_protocol::auth::FleetKey;
    /// use flamingowheel_protocol::id::{AttemptId, ExecutionKey, Incarnation, RequestId, Window};
    /// use flamingowheel_protocol::ticket::StreamToken;
    /// let (key, request) = (FleetKey::new([7; 32]), RequestId::fresh());
    /// let token = StreamToken {
    ///     agent: "notes-1".into(), incarnation: Incarnation(5), window: Window(1), request,
    ///     key: ExecutionKey::Attempt(AttemptId { request, number: 1 }), workspace: "a".into(),
    /// };
    /// assert_eq!(StreamToken::from_text(&token.to_text(&key), &key), Ok(token));
    /// ```
    pub fn to_text(&self, key: &FleetKey) -> String {
        seal(STREAM_PURPOSE, self, key)
    }

    /// Decodes a token and checks that this fleet issued it.
    pub fn from_text(text: &str, key: &FleetKey) -> Result<Self, TicketError> {
        open(STREAM_PURPOSE, text, key)
    }
}

fn seal<T>(purpose: &[u8], value: &T, key: &FleetKey) -> String
where
    T: Serialize,
{
    let mut bytes = Vec::with_capacity(128);
    // Encoding plain values into memory can't fail.
    let _ = ciborium::into_writer(value, &mut bytes);
    let tag = key.tag(purpose, &[&bytes]);
    bytes.extend_from_slice(&tag);
    to_hex(&bytes)
}

fn open<T>(purpose: &[u8], text: &str, key: &FleetKey) -> Result<T, TicketError>
where
    T: DeserializeOwned,
{
    if text.len() > MAX_TEXT_BYTES {
        return Err(TicketError::Malformed);
    }
    let bytes = from_hex(text).ok_or(TicketError::Malformed)?;
    let Some(split) = bytes.len().checked_sub(FleetKey::TAG_BYTES) else {
        return Err(TicketError::Malformed);
    };
    let (body, tag) = bytes.split_at(split);
    if !key.verify(purpose, &[body], tag) {
        return Err(TicketError::NotAuthentic);
    }
    ciborium::from_reader(body).map_err(|_| TicketError::Malformed)
}

fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(char::from(DIGITS[usize::from(byte >> 4)]));
        text.push(char::from(DIGITS[usize::from(byte & 15)]));
    }
    text
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    digits
        .chunks_exact(2)
        .map(|pair| Some(hex_digit(pair[0])? << 4 | hex_digit(pair[1])?))
        .collect()
}

fn hex_digit(digit: u8) -> Option<u8> {
    char::from(digit).to_digit(16).map(|value| value as u8)
}

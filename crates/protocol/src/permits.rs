//! Datagrams with which entries tell each other of backend servers' limits, and ask one of them, the
//! meter, for a permit to send a request. A lost ask or answer is as good as a refusal.

use flamingowheel_policy::key::ServerKey;
use serde::{Deserialize, Serialize};
use std::time::Duration;

pub use flamingowheel_policy::permits::{LimitReport, Verdict};

/// Largest encoded datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 64;

/// A datagram between entries.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum PermitMessage {
    /// Reports a server's limit to its meter, and asks for a permit.
    Ask {
        /// Chosen by the asking entry, repeated in the answer.
        number: u64,
        /// The backend server.
        server: ServerKey,
        /// Requests per second; `None` if the server names no limit any more.
        limit_per_s: Option<f64>,
        /// Time since the server's answer that said so, in milliseconds.
        age_ms: u64,
        /// Whether a permit is asked for; otherwise this is a report only.
        wants_permit: bool,
    },
    /// The meter's report of a server's limit to all entries.
    Broadcast {
        /// The backend server.
        server: ServerKey,
        /// Requests per second; `None` if the server names no limit any more.
        limit_per_s: Option<f64>,
        /// Time since the server's answer that said so, in milliseconds.
        age_ms: u64,
    },
    /// The meter's answer.
    Answer {
        /// The number of the ask.
        number: u64,
        /// What the meter decided.
        decision: Decision,
    },
}

/// A meter's decision.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// One request may be sent.
    Granted,
    /// None is left.
    Wait {
        /// Time after which there may be one, in milliseconds.
        wait_ms: u64,
    },
    /// The server has no limit any more.
    Unlimited,
}

impl PermitMessage {
    /// The ask for a permit of a server.
    pub fn ask(number: u64, server: ServerKey, report: LimitReport, wants_permit: bool) -> Self {
        let age_ms = report.age.as_millis() as u64;
        Self::Ask { number, server, limit_per_s: report.limit_per_s, age_ms, wants_permit }
    }

    /// The broadcast of a server's limit.
    pub fn broadcast(server: ServerKey, report: LimitReport) -> Self {
        Self::Broadcast {
            server,
            limit_per_s: report.limit_per_s,
            age_ms: report.age.as_millis() as u64,
        }
    }

    /// The encoded datagram; `None` if it can't be encoded.
    ///
    /// ```
    /// use flamingowheel_protocol::permits::{Decision, MAX_DATAGRAM_BYTES, PermitMessage};
    /// let answer = PermitMessage::Answer { number: u64::MAX, decision: Decision::Granted };
    /// let bytes = answer.encode().unwrap();
    /// assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
    /// assert_eq!(PermitMessage::decode(&bytes), Some(answer));
    /// assert_eq!(PermitMessage::decode(b"\xff"), None);
    /// ```
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_allocvec(self).ok()
    }

    /// Decodes a datagram; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

impl From<Verdict> for Decision {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Granted => Self::Granted,
            // Rounded up, so that an entry does not ask just before there is a permit.
            Verdict::Wait(wait) => Self::Wait { wait_ms: wait.as_millis() as u64 + 1 },
            Verdict::Unlimited => Self::Unlimited,
        }
    }
}

impl From<Decision> for Verdict {
    fn from(decision: Decision) -> Self {
        match decision {
            Decision::Granted => Self::Granted,
            Decision::Wait { wait_ms } => Self::Wait(Duration::from_millis(wait_ms)),
            Decision::Unlimited => Self::Unlimited,
        }
    }
}

//! Datagrams with which entries report backend servers' limits to each other, and ask one of them, the
//! meter, for a permit to send a request. A lost ask or answer is as good as a refusal.

use flamingowheel_policy::key::ServerKey;
use serde::{Deserialize, Serialize};
use std::time::Duration;

pub use flamingowheel_policy::cold::ColdAllowance;
pub use flamingowheel_policy::permits::{LimitReport, Verdict};

/// Largest encoded datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 64;

/// Longest time that a datagram is believed to state.
const MAX_TIME: Duration = Duration::from_secs(24 * 60 * 60);

/// A datagram between entries.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum PermitMessage {
    /// Reports a server's limit to its meter, and asks for a permit.
    Ask {
        /// Chosen by the asking entry, repeated in the answer.
        number: u64,
        /// The backend server.
        server: ServerKey,
        /// What the asking entry knows of its limit.
        report: LimitReport,
        /// Whether a permit is asked for; otherwise this is a report only.
        wants_permit: bool,
    },
    /// The meter's answer.
    Answer {
        /// The number of the ask.
        number: u64,
        /// What the meter decided.
        verdict: Verdict,
    },
    /// The meter's report of a server's limit to all entries.
    Broadcast {
        /// The backend server.
        server: ServerKey,
        /// What is known of its limit.
        report: LimitReport,
    },
    /// Tells a server's meter that it is cold, and asks for a permit.
    AskCold {
        /// Chosen by the asking entry, repeated in the answer.
        number: u64,
        /// The backend server.
        server: ServerKey,
        /// What the asking entry knows.
        report: ColdReport,
        /// Whether a permit is asked for; otherwise this is a report only.
        wants_permit: bool,
    },
    /// The meter's news to all entries that a server is cold.
    BroadcastCold {
        /// The backend server.
        server: ServerKey,
        /// Time for which it remains cold.
        left: Duration,
    },
}

/// What an entry knows of a cold server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdReport {
    /// Time for which it remains cold.
    pub left: Duration,
    /// What it may get until then.
    pub allowance: ColdAllowance,
}

impl PermitMessage {
    /// The encoded datagram; `None` if it can't be encoded.
    ///
    /// ```
    /// use flamingowheel_protocol::permits::{MAX_DATAGRAM_BYTES, PermitMessage, Verdict};
    /// let answer = PermitMessage::Answer { number: u64::MAX, verdict: Verdict::Granted };
    /// let bytes = answer.encode().unwrap();
    /// assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
    /// assert_eq!(PermitMessage::decode(&bytes), Some(answer));
    /// assert_eq!(PermitMessage::decode(b"\xff"), None);
    /// ```
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_allocvec(self).ok()
    }

    /// Decodes a datagram; `None` if it is malformed, or holds a number that can't be.
    ///
    /// ```
    /// use flamingowheel_protocol::permits::{PermitMessage, Verdict};
    /// use std::time::Duration;
    /// let odd = PermitMessage::Answer { number: 1, verdict: Verdict::Wait(Duration::MAX) };
    /// assert_eq!(PermitMessage::decode(&odd.encode().unwrap()), None);
    /// ```
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok().filter(Self::is_plausible)
    }

    fn is_plausible(&self) -> bool {
        match self {
            Self::Ask { report, .. } | Self::Broadcast { report, .. } => is_limit(report),
            Self::Answer { verdict: Verdict::Wait(wait), .. } => *wait <= MAX_TIME,
            Self::Answer { .. } => true,
            Self::AskCold { report: ColdReport { left, allowance }, .. } => {
                *left <= MAX_TIME && is_rate(allowance.rate_per_s)
            }
            Self::BroadcastCold { left, .. } => *left <= MAX_TIME,
        }
    }
}

fn is_limit(report: &LimitReport) -> bool {
    report.age <= MAX_TIME && report.limit_per_s.is_none_or(is_rate)
}

fn is_rate(rate: f64) -> bool {
    rate.is_finite() && rate >= 0.0
}

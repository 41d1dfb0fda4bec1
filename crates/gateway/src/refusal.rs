//! Responses that an entry gives without a backend server's answer.

use crate::open::CUT_BY_STOP;
use http::StatusCode;
use std::time::Duration;

/// Default time after which a refused caller should retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 250;

/// Shortest and longest time, in milliseconds, after which a caller should retry that was refused
/// by a process started while the store can't be reached. A shorter time would bring callers back
/// to the same state, and most callers retry once.
const STORE_OUTAGE_RETRY_AFTER_MS: (u64, u64) = (1_500, 2_500);

/// Shortest and longest time after which the caller of a suspect request should retry. An entry may
/// see the request finish meanwhile.
const SUSPECT_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(5));

/// Shortest and longest time, in milliseconds, after which a caller should retry for whose body there
/// was no memory. An answer that nobody reads is cut off after some seconds; another entry is likely
/// to have room at once.
const MEMORY_FULL_RETRY_AFTER_MS: (u64, u64) = (200, 1_000);

/// Time within which a new process usually learns the configuration if the store answers.
const USUAL_START_TIME: Duration = Duration::from_millis(400);

/// Why the entry refuses a request or ends it without a backend server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The entry has no configuration yet.
    NoConfiguration {
        /// When the caller should retry, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// No route of the host matches the path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The request body exceeds the configured limit.
    BodyTooLarge,
    /// The request body did not arrive completely or in time.
    BodyLost,
    /// Every rank group is full: another request would delay those in progress beyond their goal.
    Busy {
        /// When there should be room, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// Every backend server rests, or has a limit that leaves no room for the request.
    Held {
        /// When there should be room, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// Backend servers crashed under requests with the same content.
    Suspect {
        /// When it may be sent again at the earliest, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// The data centres of all backend servers that could run the request are evacuated.
    Evacuated {
        /// When the caller should retry, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// No backend server is listed in a region in which the request may be processed.
    NoHome {
        /// When the caller should retry, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// Callers that read slowly hold as much as this VM's memory allows.
    MemoryFull {
        /// When the caller should retry, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// No backend server accepts work; none ran the request.
    Full {
        /// When the caller should retry, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// The deadline passed before a backend server could run the request.
    TooLate,
    /// The process stops, and would have to end the request before its deadline.
    Leaving,
    /// The process stops before the request was sent to a backend server.
    CutByStop,
    /// A backend server may have run the request, but its answer was lost.
    AnswerLost,
    /// The deadline passed while a backend server may be running the request.
    NoAnswerInTime,
}

impl Refusal {
    /// The refusal of a process without a configuration, where `uptime` is the time since its
    /// start. `draw`, a random number between 0 and 1, spreads callers that are refused at the same
    /// time.
    ///
    /// ```
    /// use flamingowheel_gateway::refusal::Refusal;
    /// use std::time::Duration;
    /// let (new, old) = (Duration::from_millis(100), Duration::from_secs(2));
    /// let wait_ms = |uptime| Refusal::no_configuration(uptime, 0.5).retry_after_ms().unwrap();
    /// assert!(wait_ms(new) < wait_ms(old));
    /// ```
    pub fn no_configuration(uptime: Duration, draw: f64) -> Self {
        let (least, most) = STORE_OUTAGE_RETRY_AFTER_MS;
        let spread_ms = ((most - least) as f64 * draw) as u64;
        let is_usual = uptime < USUAL_START_TIME;
        let retry_after_ms = if is_usual { RETRY_AFTER_MS } else { least + spread_ms };
        Self::NoConfiguration { retry_after_ms }
    }

    /// The refusal of a request that crashes backend servers, for another `wait`.
    ///
    /// ```
    /// use flamingowheel_gateway::refusal::Refusal;
    /// use std::time::Duration;
    /// let refusal = Refusal::suspect(Duration::from_secs(3_600));
    /// assert_eq!(refusal.retry_after_ms(), Some(5_000));
    /// ```
    pub fn suspect(wait: Duration) -> Self {
        let (least, most) = SUSPECT_RETRY_AFTER;
        Self::Suspect { retry_after_ms: wait.clamp(least, most).as_millis() as u64 }
    }

    /// The refusal of a request whose body would pass what may be held for callers. `draw`, a random
    /// number between 0 and 1, spreads callers that are refused at the same time.
    ///
    /// ```
    /// use flamingowheel_gateway::refusal::Refusal;
    /// let wait_ms = |draw| Refusal::memory_full(draw).retry_after_ms().unwrap();
    /// assert!(wait_ms(0.0) < wait_ms(1.0));
    /// ```
    pub fn memory_full(draw: f64) -> Self {
        let (least, most) = MEMORY_FULL_RETRY_AFTER_MS;
        Self::MemoryFull { retry_after_ms: least + ((most - least) as f64 * draw) as u64 }
    }

    /// The HTTP status. 408, 429 and 503 guarantee that the request did not and will not run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration { .. }
            | Self::Busy { .. }
            | Self::Held { .. }
            | Self::Suspect { .. }
            | Self::Evacuated { .. }
            | Self::NoHome { .. }
            | Self::MemoryFull { .. }
            | Self::Full { .. }
            | Self::TooLate
            | Self::Leaving
            | Self::CutByStop => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyLost => StatusCode::REQUEST_TIMEOUT,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::NoAnswerInTime => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When the caller should retry, in milliseconds from now; `None` if a retry would not help.
    pub fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::Busy { retry_after_ms }
            | Self::Held { retry_after_ms }
            | Self::Suspect { retry_after_ms }
            | Self::Evacuated { retry_after_ms }
            | Self::NoHome { retry_after_ms }
            | Self::MemoryFull { retry_after_ms }
            | Self::Full { retry_after_ms }
            | Self::NoConfiguration { retry_after_ms } => Some(retry_after_ms),
            // Other entries take the request at once.
            Self::Leaving => Some(0),
            Self::TooLate | Self::CutByStop => Some(RETRY_AFTER_MS),
            _ => None,
        }
    }

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration { .. } => "no_configuration",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyLost => "body_lost",
            Self::Busy { .. } => "busy",
            Self::Held { .. } => "held",
            Self::Suspect { .. } => "suspect",
            Self::Evacuated { .. } => "evacuated",
            Self::NoHome { .. } => "no_home",
            Self::MemoryFull { .. } => "memory_full",
            Self::Full { .. } => "full",
            Self::TooLate => "too_late",
            Self::Leaving => "leaving",
            Self::CutByStop => CUT_BY_STOP,
            Self::AnswerLost => "answer_lost",
            Self::NoAnswerInTime => "no_answer_in_time",
        }
    }
}

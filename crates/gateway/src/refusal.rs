//! Why an entry answers a request itself.

use http::StatusCode;
use std::time::Duration;

/// When a refused caller should come back, in milliseconds, if nothing better is known.
const RETRY_AFTER_MS: u64 = 250;

/// The same while the store is away from a process that has just started, at the least and at the most. Whoever
/// comes back sooner finds it as it was, and most callers come back once.
const NO_STORE_RETRY_AFTER_MS: (u64, u64) = (1_500, 2_500);

/// Time in which a process that has started learns the configuration, if the store answers.
const USUAL_START: Duration = Duration::from_millis(400);

/// Why a request ends without a backend server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet.
    NoConfiguration {
        /// When it should be, in milliseconds.
        retry_after_ms: u64,
    },
    /// No route of the host matches the path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The body did not arrive.
    BodyLost,
    /// Another request would make those in progress late.
    Busy {
        /// When there should be room, in milliseconds.
        retry_after_ms: u64,
    },
    /// No backend server takes work, and none ran the request.
    Full,
    /// The deadline passed before a backend server could run the request.
    TooLate,
    /// A backend server may have run the request; its answer was lost.
    AnswerLost,
    /// A backend server may be running the request; the deadline has passed.
    NoAnswerInTime,
}

impl Refusal {
    /// The refusal of a process that has run for so long and knows no configuration. `draw` between 0 and 1
    /// spreads callers that are refused together.
    ///
    /// ```
    /// use flamingowheel_gateway::refusal::Refusal;
    /// use std::time::Duration;
    /// let (new, old) = (Duration::from_millis(100), Duration::from_secs(2));
    /// let wait_ms = |running| Refusal::no_configuration(running, 0.5).retry_after_ms().unwrap();
    /// assert!(wait_ms(new) < wait_ms(old));
    /// ```
    pub fn no_configuration(running: Duration, draw: f64) -> Self {
        let (least, most) = NO_STORE_RETRY_AFTER_MS;
        let spread_ms = ((most - least) as f64 * draw) as u64;
        let is_usual = running < USUAL_START;
        let retry_after_ms = if is_usual { RETRY_AFTER_MS } else { least + spread_ms };
        Self::NoConfiguration { retry_after_ms }
    }

    /// The status. 429, 408 and 503 promise that the request did not and will not run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration { .. } | Self::Busy { .. } | Self::Full | Self::TooLate => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyLost => StatusCode::REQUEST_TIMEOUT,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::NoAnswerInTime => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When the caller should come back, in milliseconds; `None` if that would change nothing.
    pub fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::Busy { retry_after_ms } | Self::NoConfiguration { retry_after_ms } => {
                Some(retry_after_ms)
            }
            Self::Full | Self::TooLate => Some(RETRY_AFTER_MS),
            _ => None,
        }
    }

    /// The word for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration { .. } => "no_configuration",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyLost => "body_lost",
            Self::Busy { .. } => "busy",
            Self::Full => "full",
            Self::TooLate => "too_late",
            Self::AnswerLost => "answer_lost",
            Self::NoAnswerInTime => "no_answer_in_time",
        }
    }
}

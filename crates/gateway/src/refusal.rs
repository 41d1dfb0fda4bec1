//! Why an entry answers a request itself.

use http::StatusCode;

/// When a refused caller should come back, in milliseconds, if nothing better is known.
const RETRY_AFTER_MS: u64 = 250;

/// Why a request ends without a backend server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet.
    NoConfiguration,
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
    /// The status. 429, 408 and 503 promise that the request did not and will not run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration | Self::Busy { .. } | Self::Full | Self::TooLate => {
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
            Self::Busy { retry_after_ms } => Some(retry_after_ms),
            Self::NoConfiguration | Self::Full | Self::TooLate => Some(RETRY_AFTER_MS),
            _ => None,
        }
    }

    /// The word for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
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

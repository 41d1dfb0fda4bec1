//! The pace and the size of a backend server's answer, as the path of the request asks for them.

use super::server::{STREAM_EVENTS, answer_body, stream_event};
use std::time::Duration;

/// Part of the paths that ask for a pace.
const PACE_PATH: &str = "/pace/";

/// How a backend server answers a request. It stays the same where the request is sent again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pace {
    /// Time before a plain answer, and before each event of a stream, in milliseconds.
    pub delay_ms: u64,
    /// Additional time before the event in the middle of a stream, in milliseconds.
    pub silence_ms: u64,
    /// Bytes added to a plain answer, and to each event of a stream.
    pub padding_bytes: usize,
}

impl Pace {
    /// The path below a route that asks for this pace.
    ///
    /// ```
    /// use flamingowheel_standin::platform::pace::Pace;
    /// let pace = Pace { delay_ms: 20, silence_ms: 700, padding_bytes: 0 };
    /// assert_eq!(pace.path("/live"), "/live/pace/20/700/0");
    /// assert_eq!(Pace::of_path("/live/pace/20/700/0"), Some(pace));
    /// ```
    pub fn path(self, route: &str) -> String {
        let Self { delay_ms, silence_ms, padding_bytes } = self;
        format!("{route}{PACE_PATH}{delay_ms}/{silence_ms}/{padding_bytes}")
    }

    /// The pace that a path asks for.
    pub fn of_path(path: &str) -> Option<Self> {
        let mut numbers = path.split_once(PACE_PATH)?.1.split('/').map(str::parse);
        let mut next = || numbers.next()?.ok();
        Some(Self { delay_ms: next()?, silence_ms: next()?, padding_bytes: next()? as usize })
    }

    /// Time before an event of a stream.
    pub fn time_before(self, id: u64) -> Duration {
        let silence_ms = if id == STREAM_EVENTS / 2 { self.silence_ms } else { 0 };
        Duration::from_millis(self.delay_ms + silence_ms)
    }

    /// Body of the plain answer to an attempt.
    pub fn answer_body(self, attempt: &str) -> String {
        answer_body(attempt) + &" ".repeat(self.padding_bytes)
    }

    /// One event of the stream for an attempt. The padding is a comment line.
    pub fn stream_event(self, attempt: &str, id: u64) -> String {
        if self.padding_bytes == 0 {
            return stream_event(attempt, id);
        }
        format!(":{}\n{}", " ".repeat(self.padding_bytes), stream_event(attempt, id))
    }
}

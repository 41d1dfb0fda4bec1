//! Checks that planned work cuts nothing, from what callers and backend servers saw.

use super::connection::Received;
use crate::callers::Kind;
use crate::changes::IN_FORCE_LIMIT;
use crate::report::Violation;
use flamingowheel_standin::platform::pace::Pace;
use flamingowheel_standin::platform::server::{Arrival, Run, STREAM_EVENTS};
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;

/// Grace period from the stop signal to the kill.
pub const GRACE_S: u64 = 4;

/// Time after the sending of a request within which an entry has read it.
const READ_TIME: Duration = Duration::from_millis(200);

/// Time from a stop signal up to which a request has a claim on the rest of the grace period.
const LATE_REQUEST_TIME: Duration = Duration::from_secs(3);

/// Longest stop of an idle entry.
const IDLE_STOP_TIME: Duration = Duration::from_millis(2_500);

/// Longest time from the end of an entry's last request to the end of its process.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The entry it was sent to, by its index.
    pub entry: usize,
    /// Id of the attempt.
    pub attempt: String,
    /// Its kind.
    pub kind: Kind,
    /// The pace that it asked for.
    pub pace: Pace,
    /// Time for the answer that it names.
    pub deadline: Duration,
    /// When it was sent.
    pub sent_at: Instant,
    /// When its answer or its connection ended.
    pub ended_at: Instant,
    /// What was received.
    pub received: Received,
    /// Whether neither the answer nor the connection ended for as long as the caller waited.
    pub is_unanswered: bool,
}

/// The stop of an entry.
#[derive(Clone, Debug)]
pub struct Stop {
    /// The entry, by its index.
    pub entry: usize,
    /// When it got the signal.
    pub from: Instant,
    /// When it had ended, or its grace period was over.
    pub until: Instant,
    /// Whether it was killed after its grace period.
    pub is_killed: bool,
}

/// A configuration.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    /// Timeout of all routes.
    pub timeout: Duration,
    /// When it was sent to the store.
    pub sent_at: Instant,
    /// When the store had acknowledged it.
    pub acknowledged_at: Instant,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Its caller has the whole answer of a backend server.
    Whole,
    /// It was refused and has not run.
    Refused,
    /// Its connection ended before an entry had read it.
    Unread,
    /// Excused: its deadline or its route's timeout was reached.
    OutOfTime,
    /// Excused: the server was still at work near the end of the grace period.
    StillAtWork,
    /// It was cut.
    Cut,
}

/// What was seen of a run.
#[derive(Clone, Copy, Debug)]
pub struct Seen<'a> {
    /// All requests of callers.
    pub calls: &'a [Call],
    /// All requests that reached backend servers.
    pub arrivals: &'a [Arrival],
    /// The work of backend servers.
    pub runs: &'a [Run],
    /// All stops.
    pub stops: &'a [Stop],
    /// All configurations, in their order.
    pub versions: &'a [Version],
}

impl Call {
    fn expected_body(&self) -> String {
        if !self.kind.is_stream() {
            return self.pace.answer_body(&self.attempt);
        }
        (1..=STREAM_EVENTS).map(|id| self.pace.stream_event(&self.attempt, id)).collect()
    }

    fn is_whole(&self) -> bool {
        let Received { status, is_signed, body, error } = &self.received;
        let is_success = *status == Some(200) && *is_signed && error.is_none();
        is_success && *body == self.expected_body().as_bytes()
    }

    fn is_refused(&self) -> bool {
        let Received { status, error, .. } = &self.received;
        error.is_none() && matches!(status, Some(408 | 421 | 429 | 503))
    }

    fn took(&self) -> Duration {
        self.ended_at - self.sent_at
    }

    /// Whether the request was in progress at a time of the stop.
    fn is_around(&self, stop: &Stop) -> bool {
        self.entry == stop.entry && self.sent_at <= stop.until && self.ended_at >= stop.from
    }

    /// What the caller got, for the report.
    fn describe(&self) -> String {
        let Received { status, body, error, .. } = &self.received;
        let Pace { delay_ms, silence_ms, .. } = self.pace;
        format!(
            "{:?} with {delay_ms} ms between events and {silence_ms} ms of silence, {} ms after it \
             was sent, status {status:?}, {} bytes, error {error:?}",
            self.kind,
            self.took().as_millis(),
            body.len(),
        )
    }
}

impl Seen<'_> {
    /// What became of each request, in their order.
    pub fn verdicts(&self) -> Vec<Verdict> {
        let arrived: HashSet<&str> =
            self.arrivals.iter().map(|arrival| arrival.attempt.as_str()).collect();
        let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
        self.runs.iter().for_each(|run| runs.entry(&run.attempt).or_default().push(run));
        let verdict = |call: &Call| {
            let attempt = call.attempt.as_str();
            if call.is_whole() {
                Verdict::Whole
            } else if call.is_refused() {
                Verdict::Refused
            } else if !arrived.contains(attempt) && call.took() <= READ_TIME {
                Verdict::Unread
            } else if !call.is_unanswered && call.took() >= self.time_limit(call) {
                Verdict::OutOfTime
            } else if self.is_still_at_work(call, runs.get(attempt).map_or(&[], Vec::as_slice)) {
                Verdict::StillAtWork
            } else {
                Verdict::Cut
            }
        };
        self.calls.iter().map(verdict).collect()
    }

    /// The shortest of the deadline and the timeouts that may be in force for a request.
    fn time_limit(&self, call: &Call) -> Duration {
        let may_be_in_force = |(number, version): &(usize, &Version)| {
            let mut newer = self.versions[number + 1..].iter();
            version.sent_at <= call.sent_at + READ_TIME
                && !newer.any(|newer| newer.acknowledged_at + IN_FORCE_LIMIT < call.sent_at)
        };
        let in_force = self.versions.iter().enumerate().filter(may_be_in_force);
        let timeouts = in_force.map(|(_, version)| version.timeout);
        timeouts.fold(call.deadline, Duration::min)
    }

    /// Whether a server was at work on a request in the last sixth of the grace period of its entry.
    fn is_still_at_work(&self, call: &Call, runs: &[&Run]) -> bool {
        let mut stops = self.stops.iter().filter(|stop| call.is_around(stop));
        stops.any(|stop| {
            let last_sixth = stop.from + Duration::from_secs(GRACE_S) * 5 / 6;
            let is_at_work =
                |run: &&Run| run.from <= stop.until && run.until.is_none_or(|at| at >= last_sixth);
            call.sent_at <= stop.from + LATE_REQUEST_TIME
                && call.ended_at >= last_sixth
                && runs.iter().any(is_at_work)
        })
    }

    /// The time of the last stop signal that a request is around, or of its entry before it.
    fn after_stop(&self, call: &Call) -> Option<Duration> {
        let stops = self.stops.iter().filter(|stop| call.is_around(stop));
        stops.map(|stop| call.ended_at.saturating_duration_since(stop.from)).min()
    }

    /// Whether a request was in progress during the stop of its entry.
    pub fn is_around_stop(&self, call: &Call) -> bool {
        self.after_stop(call).is_some()
    }

    /// The broken promises.
    pub fn violations(&self, verdicts: &[Verdict]) -> Vec<Violation> {
        let of_calls = self.calls.iter().zip(verdicts);
        let mut violations: Vec<Violation> =
            of_calls.flat_map(|(call, verdict)| self.violation(call, *verdict)).collect();
        violations.extend(self.check_runs());
        violations.extend(self.stops.iter().filter_map(|stop| self.check_stop(stop)));
        violations
    }

    fn violation(&self, call: &Call, verdict: Verdict) -> Option<Violation> {
        let attempt = call.attempt.clone();
        let Received { status, body, error, .. } = &call.received;
        match (verdict, status, error) {
            (Verdict::Whole | Verdict::Refused, ..) => None,
            (_, Some(200), None) => {
                let body = String::from_utf8_lossy(body).trim().to_owned();
                Some(Violation::WrongAnswer { attempt, body })
            }
            (_, Some(status @ 400..=499), None) => {
                Some(Violation::Denied { attempt, status: *status })
            }
            (Verdict::Cut, ..) => {
                let after_stop_ms = self.after_stop(call).map(|after| after.as_millis());
                let (entry, seen) = (call.entry, call.describe());
                Some(Violation::Cut { attempt, entry, after_stop_ms, seen })
            }
            _ => None,
        }
    }

    /// Work that must not be repeated and ran more than once, and refused work that ran.
    fn check_runs(&self) -> Vec<Violation> {
        let mut counts: HashMap<&str, u32> = HashMap::new();
        self.runs.iter().for_each(|run| *counts.entry(&run.attempt).or_default() += 1);
        let check = |call: &Call| {
            let attempt = call.attempt.clone();
            let runs = counts.get(call.attempt.as_str()).copied().unwrap_or(0);
            match call.received.status {
                Some(status) if runs > 0 && call.is_refused() => {
                    Some(Violation::FalseRefusal { attempt, status })
                }
                _ if call.kind == Kind::Once && runs > 1 => {
                    Some(Violation::RanTwice { attempt, runs })
                }
                _ => None,
            }
        };
        self.calls.iter().filter_map(check).collect()
    }

    fn check_stop(&self, stop: &Stop) -> Option<Violation> {
        let ends = self.calls.iter().filter(|call| call.is_around(stop)).map(|call| call.ended_at);
        let last_end = ends.max().map_or(Duration::ZERO, |end| end - stop.from);
        let allowed = IDLE_STOP_TIME.max(last_end + LAST_REQUEST_TIME);
        let (entry, took) = (stop.entry, stop.until - stop.from);
        let (took_ms, allowed_ms) = (took.as_millis(), allowed.as_millis());
        let is_late = stop.is_killed || took > allowed;
        is_late.then_some(Violation::SlowStop { entry, took_ms, allowed_ms })
    }
}

//! Tests of the checks of what backend servers ask for.

use flamingowheel_soak::evacuations::EvacuationSpan;
use flamingowheel_soak::report::Violation;
use flamingowheel_soak::signals::{Call, FaultSpan, LimitSpan, Observed, PassedOn};
use flamingowheel_standin::platform::server::{Arrival, Conditions};
use std::time::Duration;
use tokio::time::Instant;

/// A run in which entry 0 was told a limit at 1 s and sent `count` requests to the server, 0.2 s
/// apart from 4 s on.
struct Seen {
    start: Instant,
    arrivals: Vec<Arrival>,
    calls: Vec<Call>,
}

impl Seen {
    fn new(count: u64) -> Self {
        let start = Instant::now();
        let mut seen = Self { start, arrivals: Vec::new(), calls: Vec::new() };
        let at = seen.at(1_000);
        let answer = PassedOn { server: "s".to_owned(), at, names_limit: true, says_leaving: true };
        seen.calls.push(Call {
            entry: 0,
            attempt: "a".to_owned(),
            sent_at: at,
            answer: Some(answer),
        });
        for number in 0..count {
            let (attempt, at) = (number.to_string(), seen.at(4_000 + 200 * number));
            let conditions = Conditions::default();
            let arrival =
                Arrival { server: "s".to_owned(), attempt: attempt.clone(), at, conditions };
            seen.arrivals.push(arrival);
            seen.calls.push(Call { entry: 0, attempt, sent_at: at, answer: None });
        }
        seen
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn check(&self, faults: &[FaultSpan]) -> Vec<Violation> {
        let (from, until) = (self.at(500), self.at(60_000));
        let span = LimitSpan { server: "s".to_owned(), limit_per_s: 1.0, from, until };
        let Self { arrivals, calls, .. } = self;
        Observed { arrivals, calls, faults }.check_limits(&[span])
    }
}

#[test]
fn check_limits_at_bound() {
    assert_eq!(Seen::new(11).check(&[]), []);
}

#[test]
fn check_limits_over_bound() {
    let violations = Seen::new(12).check(&[]);
    assert!(matches!(violations[..], [Violation::OverLimit { requests: 12, allowed: 11, .. }]));
}

#[test]
fn check_limits_entry_not_told() {
    let mut seen = Seen::new(12);
    seen.calls[0].entry = 1;
    assert_eq!(seen.check(&[]), []);
}

#[test]
fn check_limits_entry_with_fault_excused() {
    let seen = Seen::new(12);
    let fault = FaultSpan { entry: 0, from: seen.at(3_000), until: seen.at(5_000) };
    assert_eq!(seen.check(&[fault]), []);
}

/// A server asks entry 0 for 3 s of rest with the first request.
fn resting(count: u64) -> Seen {
    let mut seen = Seen::new(count);
    seen.arrivals[0].conditions.rest = Some(Duration::from_secs(3));
    seen
}

#[test]
fn check_rests_at_bound() {
    // The requests 0.2 and 0.4 s after the first are in time; two more are allowed.
    assert_eq!(seen_rests(&resting(5), &[]), []);
}

#[test]
fn check_rests_over_bound() {
    let violations = seen_rests(&resting(6), &[]);
    assert!(matches!(violations[..], [Violation::RestBroken { entry: 0, requests: 3, .. }]));
}

#[test]
fn check_rests_other_entry_not_asked() {
    let mut seen = resting(6);
    seen.calls[1].entry = 1;
    assert_eq!(seen_rests(&seen, &[]), []);
}

#[test]
fn check_rests_entry_with_fault_excused() {
    let seen = resting(6);
    let fault = FaultSpan { entry: 0, from: seen.at(4_500), until: seen.at(4_600) };
    assert_eq!(seen_rests(&seen, &[fault]), []);
}

fn seen_rests(seen: &Seen, faults: &[FaultSpan]) -> Vec<Violation> {
    let Seen { arrivals, calls, .. } = seen;
    Observed { arrivals, calls, faults }.check_rests()
}

fn seen_leaving(seen: &Seen, faults: &[FaultSpan]) -> Vec<Violation> {
    let Seen { arrivals, calls, .. } = seen;
    Observed { arrivals, calls, faults }.check_leaving()
}

/// A server of which entry 0 passed on at 1 s that it leaves gets a request 3 s later.
fn leaving() -> Seen {
    let mut seen = Seen::new(1);
    seen.arrivals[0].conditions.is_leaving = true;
    seen
}

#[test]
fn check_leaving_sent_later() {
    let violations = seen_leaving(&leaving(), &[]);
    assert!(matches!(violations[..], [Violation::SentToLeaving { entry: 0, .. }]));
}

#[test]
fn check_leaving_sent_in_time_or_excused() {
    let mut seen = leaving();
    let fault = FaultSpan { entry: 0, from: seen.at(2_000), until: seen.at(2_500) };
    assert_eq!(seen_leaving(&seen, &[fault]), []);
    seen.calls[1].sent_at = seen.at(2_900);
    assert_eq!(seen_leaving(&seen, &[]), []);
}

#[test]
fn check_leaving_server_started_again() {
    assert_eq!(seen_leaving(&Seen::new(1), &[]), []);
}

#[test]
fn check_leaving_other_entry_not_told() {
    let mut seen = leaving();
    seen.calls[0].entry = 1;
    assert_eq!(seen_leaving(&seen, &[]), []);
}

/// Server `s` is evacuated at `from_ms`; entry 0 sends it requests from 4 s to 6.4 s.
fn seen_evacuated(from_ms: u64, until_ms: u64, fault_ms: Option<u64>) -> Vec<Violation> {
    let seen = Seen::new(12);
    let (from, until) = (seen.at(from_ms), seen.at(until_ms));
    let span = EvacuationSpan { servers: vec!["s".to_owned()], from, until };
    let fault = |ms| FaultSpan { entry: 0, from: seen.at(ms), until: seen.at(ms + 100) };
    let faults: Vec<FaultSpan> = fault_ms.map(fault).into_iter().collect();
    let Seen { arrivals, calls, .. } = &seen;
    Observed { arrivals, calls, faults: &faults }.check_evacuations(&[span])
}

#[test]
fn check_evacuations_sent_later() {
    let violations = seen_evacuated(3_000, 9_000, None);
    assert!(matches!(violations[..], [Violation::SentToEvacuated { entry: 0, .. }]));
}

#[test]
fn check_evacuations_sent_in_time_or_excused() {
    assert_eq!(seen_evacuated(5_000, 9_000, None), [], "within the limit");
    assert_eq!(seen_evacuated(1_000, 3_900, None), [], "taken back before");
    assert_eq!(seen_evacuated(3_000, 9_000, Some(3_500)), [], "the entry had a fault");
}

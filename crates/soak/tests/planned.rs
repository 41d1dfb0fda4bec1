//! Tests of the checks of runs with planned work only.

use flamingowheel_soak::callers::Kind;
use flamingowheel_soak::planned::check::{Call, GRACE_S, Seen, Stop, Verdict, Version};
use flamingowheel_soak::planned::connection::Received;
use flamingowheel_soak::report::Violation;
use flamingowheel_standin::platform::pace::Pace;
use flamingowheel_standin::platform::server::{Run, answer_body};
use std::time::Duration;
use tokio::time::Instant;

const GRACE_MS: u64 = GRACE_S * 1_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A call whose connection ended without an answer, from and to a time after the stop signal.
fn cut_call(start: Instant, sent_ms: u64, ended_ms: u64) -> Call {
    Call {
        entry: 0,
        attempt: "a".to_owned(),
        kind: Kind::Safe,
        pace: Pace::default(),
        deadline: ms(10_000),
        sent_at: start + ms(sent_ms),
        ended_at: start + ms(ended_ms),
        received: Received { error: Some("closed".to_owned()), ..Received::default() },
        is_unanswered: false,
    }
}

/// Judges a call around a stop at `start`, with a server at work on it until a time after that.
fn judge(start: Instant, call: &Call, at_work_until_ms: Option<u64>) -> (Verdict, Vec<Violation>) {
    let until = start + ms(GRACE_MS - 300);
    let stops = [Stop { entry: 0, from: start, until, is_killed: false }];
    let runs = at_work_until_ms.map(|until_ms| Run {
        server: "s".to_owned(),
        attempt: call.attempt.clone(),
        from: call.sent_at,
        until: Some(start + ms(until_ms)),
    });
    let runs: Vec<Run> = runs.into_iter().collect();
    let timeout = ms(5_000);
    let versions = [Version { timeout, sent_at: start, acknowledged_at: start }];
    let calls = [call.clone()];
    let seen =
        Seen { calls: &calls, arrivals: &[], runs: &runs, stops: &stops, versions: &versions };
    let verdicts = seen.verdicts();
    let violations = seen.violations(&verdicts);
    (verdicts[0], violations)
}

/// Each excuse has an edge: beyond it a lost request counts. An excuse that reaches too far hides
/// requests that a stop cuts.
#[test]
fn verdicts_edges_of_excuses() {
    let start = Instant::now();
    let (late, last_sixth) = (GRACE_MS - 300, GRACE_MS * 5 / 6 + 1);
    let cases = [
        ("cut while its server is at work", 0, 2_000, Some(2_000), Verdict::Cut),
        ("not read", 1_900, 2_000, None, Verdict::Unread),
        ("read, but sent to no server", 1_700, 2_000, None, Verdict::Cut),
        ("timeout of its route", 0, 5_000, None, Verdict::OutOfTime),
        ("right before that timeout", 0, 4_999, None, Verdict::Cut),
        ("server at work in the last sixth", 3_000, late, Some(last_sixth), Verdict::StillAtWork),
        ("sent too late for that", 3_001, late, Some(last_sixth), Verdict::Cut),
        ("server had ended before", 3_000, late, Some(last_sixth - 2), Verdict::Cut),
        ("ended long before its server", 0, 2_000, Some(last_sixth), Verdict::Cut),
    ];
    for (case, sent_ms, ended_ms, at_work_until_ms, expected) in cases {
        let call = cut_call(start, sent_ms, ended_ms);
        let (verdict, violations) = judge(start, &call, at_work_until_ms);
        assert_eq!(verdict, expected, "{case}");
        let is_cut = violations.iter().any(|violation| matches!(violation, Violation::Cut { .. }));
        assert_eq!(is_cut, expected == Verdict::Cut, "{case}: {violations:?}");
    }
}

/// A whole answer needs the server's own body and signature, a refusal one of the statuses that
/// promise that the request has not run; a failure of the entry's own is neither.
#[test]
fn verdicts_answers() {
    let start = Instant::now();
    let body = answer_body("a").into_bytes();
    let whole = Received { status: Some(200), is_signed: true, body, error: None };
    let cases = [
        (whole.clone(), Verdict::Whole),
        (Received { is_signed: false, ..whole.clone() }, Verdict::Cut),
        (Received { body: Vec::new(), ..whole.clone() }, Verdict::Cut),
        (Received { status: Some(503), ..Received::default() }, Verdict::Refused),
        (Received { status: Some(502), ..Received::default() }, Verdict::Cut),
    ];
    for (received, expected) in cases {
        let call = Call { received: received.clone(), ..cut_call(start, 0, GRACE_MS - 300) };
        let (verdict, violations) = judge(start, &call, None);
        assert_eq!((verdict, violations.is_empty()), (expected, expected != Verdict::Cut));
    }
}

/// A process that stays after its last request holds up the start of its successor.
#[test]
fn violations_slow_stop() {
    let start = Instant::now();
    for (ended_ms, took_ms, is_slow) in
        [(0, 2_500, false), (0, 2_501, true), (3_000, 3_500, false), (3_000, 3_501, true)]
    {
        let calls = [Call { kind: Kind::Once, ..cut_call(start, 0, ended_ms) }];
        let stops = [Stop { entry: 0, from: start, until: start + ms(took_ms), is_killed: false }];
        let seen = Seen { calls: &calls, arrivals: &[], runs: &[], stops: &stops, versions: &[] };
        let violations = seen.violations(&[Verdict::Whole]);
        assert_eq!(!violations.is_empty(), is_slow, "{took_ms} ms: {violations:?}");
    }
}

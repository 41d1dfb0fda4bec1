//! Suspects beside which other requests run, so that crashes may be a coincidence.

use flamingowheel_policy::key::{Fingerprint, ServerKey};
use flamingowheel_policy::suspicion::{
    CrashId, Isolation, SuspectTracker, SuspicionConfig, Verdict,
};
use std::time::Duration;

const CRASHER: Fingerprint = Fingerprint(1);
const HARMLESS: Fingerprint = Fingerprint(1 << 63);

/// Longest time for which a request is held back on crashes that may be a coincidence.
const MAX_RECHECK_TIME: Duration = Duration::from_secs(8);

fn tracker() -> SuspectTracker {
    let config = SuspicionConfig { isolation: Isolation::Shared, ..SuspicionConfig::default() };
    SuspectTracker::new(config)
}

fn crash(server: u64) -> CrashId {
    CrashId { server: ServerKey(server), number: 0 }
}

fn is_refused_for_long(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Refused { retry_after } if *retry_after > MAX_RECHECK_TIME)
}

#[test]
fn verdict_two_crashes_refused() {
    let mut tracker = tracker();
    tracker.on_crash(crash(1), &[CRASHER, HARMLESS], Duration::ZERO);
    assert!(matches!(tracker.verdict(CRASHER, Duration::ZERO), Verdict::Alone { .. }));
    tracker.on_crash(crash(2), &[CRASHER], Duration::ZERO);
    assert!(is_refused_for_long(&tracker.verdict(CRASHER, Duration::ZERO)));
    assert!(matches!(tracker.verdict(HARMLESS, Duration::ZERO), Verdict::Alone { .. }));
}

// A harmless request runs beside the crashing one on two servers in a row. Refused like that one, it
// would stay so although its caller did nothing.
#[test]
fn verdict_shared_crashes_tried_again() {
    let mut tracker = tracker();
    for server in [1, 2] {
        tracker.on_crash(crash(server), &[CRASHER, HARMLESS], Duration::ZERO);
    }
    for request in [CRASHER, HARMLESS] {
        let verdict = tracker.verdict(request, Duration::ZERO);
        assert!(matches!(verdict, Verdict::Refused { .. }) && !is_refused_for_long(&verdict));
        let verdict = tracker.verdict(request, MAX_RECHECK_TIME);
        assert!(matches!(verdict, Verdict::Alone { .. }));
    }
    assert!(tracker.on_finished(HARMLESS, MAX_RECHECK_TIME));
    assert_eq!(tracker.verdict(HARMLESS, MAX_RECHECK_TIME), Verdict::Clear);
    assert!(is_refused_for_long(&tracker.verdict(CRASHER, MAX_RECHECK_TIME)));
}

// Servers are killed one after the other, and a retry of a harmless request meets two of them.
#[test]
fn verdict_crashes_amid_others_tried_again() {
    let mut tracker = tracker();
    for server in 1..=4 {
        tracker.on_crash(crash(server), &[Fingerprint(u128::from(server) + 10)], Duration::ZERO);
    }
    tracker.on_crash(crash(1), &[HARMLESS], Duration::ZERO);
    tracker.on_crash(crash(2), &[HARMLESS], Duration::ZERO);
    assert!(matches!(tracker.verdict(HARMLESS, MAX_RECHECK_TIME), Verdict::Alone { .. }));
    tracker.on_crash(crash(5), &[HARMLESS], MAX_RECHECK_TIME);
    assert!(is_refused_for_long(&tracker.verdict(HARMLESS, MAX_RECHECK_TIME)));
}

// A read that many callers send is in flight on all servers of a rack that loses power.
#[test]
fn on_crash_request_that_finishes_often_not_suspected() {
    let (mut first, mut second) = (tracker(), tracker());
    for _ in 0..30 {
        first.on_finished(HARMLESS, Duration::ZERO);
    }
    for server in 1..=3 {
        second.on_crash(crash(server), &[HARMLESS], Duration::ZERO);
        first.on_crash(crash(server), &[HARMLESS], Duration::ZERO);
    }
    assert_eq!(first.verdict(HARMLESS, Duration::ZERO), Verdict::Clear);
    second.merge(&first.records(Duration::ZERO), Duration::ZERO);
    assert_eq!(second.verdict(HARMLESS, Duration::ZERO), Verdict::Clear);
}

// Two of the servers have a release that the request crashes. Finished runs elsewhere must not
// outweigh every crash.
#[test]
fn on_crash_request_that_finishes_sometimes_refused() {
    let mut tracker = tracker();
    tracker.on_finished(CRASHER, Duration::ZERO);
    for server in 1..=2 {
        tracker.on_crash(crash(server), &[CRASHER], Duration::ZERO);
    }
    assert!(is_refused_for_long(&tracker.verdict(CRASHER, Duration::ZERO)));
}

// One finished run must not clear what later crashes show again.
#[test]
fn on_finished_later_crashes_count() {
    let mut tracker = tracker();
    for server in 1..=2 {
        tracker.on_crash(crash(server), &[CRASHER], Duration::ZERO);
    }
    assert!(tracker.on_finished(CRASHER, Duration::ZERO));
    assert_eq!(tracker.verdict(CRASHER, Duration::ZERO), Verdict::Clear);
    for server in 3..=4 {
        tracker.on_crash(crash(server), &[CRASHER], Duration::ZERO);
    }
    assert!(is_refused_for_long(&tracker.verdict(CRASHER, Duration::ZERO)));
}

// A fixed release must get the request again some time.
#[test]
fn verdict_sent_again_expires() {
    let mut tracker = tracker();
    for server in 1..=2 {
        tracker.on_crash(crash(server), &[CRASHER], Duration::ZERO);
    }
    for minutes in 0..60 {
        let now = Duration::from_secs(60 * minutes);
        assert!(matches!(tracker.verdict(CRASHER, now), Verdict::Refused { .. }));
    }
    assert_eq!(tracker.verdict(CRASHER, Duration::from_secs(3_600)), Verdict::Clear);
}

// More crashes than a record holds: two processes that each drop another one would tell each other of
// them without end.
#[test]
fn merge_more_crashes_than_kept_ends() {
    let (mut first, mut second) = (tracker(), tracker());
    for server in 0..20 {
        first.on_crash(crash(server), &[CRASHER], Duration::ZERO);
        second.on_crash(crash(100 - server), &[CRASHER], Duration::ZERO);
    }
    let mut rounds = 0;
    loop {
        let records = first.drain_changes(Duration::ZERO);
        second.merge(&records, Duration::ZERO);
        let answers = second.drain_changes(Duration::ZERO);
        first.merge(&answers, Duration::ZERO);
        if answers.is_empty() {
            break;
        }
        rounds += 1;
        assert!(rounds < 3);
    }
    assert_eq!(first.digest(Duration::ZERO), second.digest(Duration::ZERO));
}

//! The parts of an entry that need no connection.

use flamingowheel_gateway::budget::{Allowance, RetryBudget};
use flamingowheel_gateway::events::EventSplitter;
use flamingowheel_gateway::gate::Gates;
use std::time::Duration;
use tokio::time::Instant;

const ALLOWANCE: Allowance = Allowance { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) };

#[test]
fn push_event_in_pieces() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(b"id: 1\nda").unwrap().is_empty());
    assert!(splitter.push(b"ta: x\n").unwrap().is_empty());
    assert_eq!(&splitter.push(b"\nid: 2\n").unwrap()[..], b"id: 1\ndata: x\n\n");
    assert_eq!(splitter.last_id(), Some(1));
}

/// A backend server dies in the middle of an event, and the stream goes on elsewhere after the last
/// whole one. The half event must not come before it.
#[test]
fn drop_pending_half_event() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b").unwrap();
    splitter.drop_pending();
    let next = splitter.push(b"id: 2\ndata: b\n\n").unwrap();
    assert_eq!(&next[..], b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id(), Some(2));
}

#[test]
fn push_carriage_returns() {
    let mut splitter = EventSplitter::default();
    assert_eq!(
        &splitter.push(b"id: 7\r\ndata: a\r\n\r\n").unwrap()[..],
        b"id: 7\r\ndata: a\r\n\r\n"
    );
    assert_eq!(splitter.last_id(), Some(7));
}

/// Many entries each send refused requests once more. Their sum must stay within what the deployment
/// allows, without any exchange between them.
#[test]
fn try_take_all_entries_within_allowance() {
    const ENTRIES: usize = 6;
    const REQUESTS: u32 = 100;
    let now = Instant::now();
    let mut taken = 0;
    for _ in 0..ENTRIES {
        let mut budget = RetryBudget::new(ALLOWANCE);
        (0..REQUESTS).for_each(|_| budget.note_request("s", now));
        taken += (0..1_000).filter(|_| budget.try_take("s", ENTRIES, now)).count();
    }
    let allowed = ALLOWANCE.ratio * f64::from(REQUESTS) * ENTRIES as f64 + ALLOWANCE.slack;
    assert!(taken > 0 && (taken as f64) <= allowed, "{taken} of {allowed}");
}

#[test]
fn try_take_after_window() {
    let mut budget = RetryBudget::new(ALLOWANCE);
    let now = Instant::now();
    while budget.try_take("s", 1, now) {}
    assert!(!budget.try_take("s", 1, now + Duration::from_secs(9)));
    assert!(budget.try_take("s", 1, now + Duration::from_secs(11)));
}

/// After a power failure all servers refuse for a second. If every request tried them, the budget of
/// repeated sends would be gone before they are back.
#[test]
fn try_pass_closed_service() {
    let mut gates = Gates::default();
    let now = Instant::now();
    (0..5).for_each(|_| gates.note_refusal("s"));
    let passed = (0..100).filter(|_| gates.try_pass("s", now)).count();
    assert_eq!(passed, 1);
    assert!(gates.try_pass("s", now + Duration::from_millis(100)));
    assert!(gates.try_pass("other", now));
}

//! The check of retries, from arrivals of one attempt.

use flamingowheel_soak::signals::Observed;
use flamingowheel_standin::platform::messages::RETRY_SLACK;
use flamingowheel_standin::platform::server::{Arrival, Conditions};
use std::time::Duration;
use tokio::time::Instant;

/// Whether as many retries, this long apart, break the rule.
fn is_violated(retries: usize, pause: Duration) -> bool {
    let start = Instant::now();
    let arrival = |number: usize| Arrival {
        server: "i-1".to_owned(),
        attempt: "a".to_owned(),
        at: start + pause * number as u32,
        conditions: Conditions::default(),
    };
    let arrivals: Vec<Arrival> = (0..=retries).map(arrival).collect();
    Observed { arrivals: &arrivals, calls: &[], faults: &[] }.check_retries().is_some()
}

#[test]
fn check_retries_at_bound() {
    let allowed = RETRY_SLACK as usize;
    assert!(!is_violated(allowed, Duration::from_millis(1)));
    assert!(is_violated(allowed + 1, Duration::from_millis(1)));
}

#[test]
fn check_retries_over_two_windows() {
    assert!(!is_violated(2 * RETRY_SLACK as usize - 10, Duration::from_millis(130)));
}

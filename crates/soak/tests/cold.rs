//! The check of cold servers, on made-up arrivals.

use flamingowheel_soak::cold::ColdSpan;
use flamingowheel_soak::signals::Observed;
use flamingowheel_standin::platform::server::{Arrival, Conditions};
use std::time::Duration;
use tokio::time::Instant;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Number of violations with `count` requests at once, `after` a server has turned cold.
fn violations(count: usize, after: Duration) -> usize {
    let from = Instant::now();
    let arrival = |number| Arrival {
        server: "s-0".to_owned(),
        attempt: format!("a-{number}"),
        at: from + after,
        conditions: Conditions::default(),
    };
    let arrivals: Vec<Arrival> = (0..count).map(arrival).collect();
    let span = ColdSpan { server: "s-0".to_owned(), from, until: from + ms(3_000) };
    Observed { arrivals: &arrivals, calls: &[], faults: &[] }.check_cold(&[span]).len()
}

#[test]
fn check_cold_at_bound() {
    assert_eq!(violations(20, ms(1_500)), 0);
}

#[test]
fn check_cold_over_bound() {
    assert_eq!(violations(21, ms(1_500)), 1);
}

/// Before the entries can know, and once the server is warm.
#[test]
fn check_cold_not_told_or_warm() {
    assert_eq!(violations(21, ms(100)), 0);
    assert_eq!(violations(21, ms(3_000)), 0);
}

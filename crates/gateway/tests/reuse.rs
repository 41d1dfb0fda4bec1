//! Idle connections to backend servers.

use flamingowheel_gateway::idle::{IdleConnections, Reusable};
use std::time::Duration;
use tokio::time::{Instant, advance};

#[derive(Debug, PartialEq)]
struct FakeConnection {
    number: u32,
    is_usable: bool,
}

impl Reusable for FakeConnection {
    fn is_usable(&self) -> bool {
        self.is_usable
    }
}

fn open(number: u32) -> FakeConnection {
    FakeConnection { number, is_usable: true }
}

/// Guards against a request that crosses the server's close of the connection.
#[tokio::test(start_paused = true)]
async fn take_stated_time_kept() {
    let mut idle = IdleConnections::default();
    idle.set_stated(Duration::from_secs(4));
    idle.put(open(1), Instant::now());
    advance(Duration::from_millis(2_900)).await;
    assert!(idle.is_ready(Instant::now()));
    assert_eq!(idle.take(Instant::now()), Some(open(1)));
    idle.put(open(2), Instant::now());
    advance(Duration::from_millis(3_100)).await;
    assert!(!idle.is_ready(Instant::now()));
    assert_eq!(idle.take(Instant::now()), None);
}

#[tokio::test(start_paused = true)]
async fn take_unstated_short() {
    let mut idle = IdleConnections::default();
    idle.put(open(1), Instant::now());
    assert!(!idle.is_ready(Instant::now()));
    advance(Duration::from_millis(1_400)).await;
    assert_eq!(idle.take(Instant::now()), Some(open(1)));
    idle.put(open(2), Instant::now());
    advance(Duration::from_millis(1_600)).await;
    assert_eq!(idle.take(Instant::now()), None);
}

/// Guards against entries that together hold more connections than the server accepts.
#[tokio::test(start_paused = true)]
async fn put_beyond_part_oldest_closed() {
    let mut idle = IdleConnections::default();
    idle.set_max(2);
    (1..=3).for_each(|number| idle.put(open(number), Instant::now()));
    let left = [(); 3].map(|()| idle.take(Instant::now()));
    assert_eq!(left, [Some(open(3)), Some(open(2)), None]);
}

#[tokio::test(start_paused = true)]
async fn take_closed_skipped() {
    let mut idle = IdleConnections::default();
    idle.put(open(1), Instant::now());
    idle.put(FakeConnection { number: 2, is_usable: false }, Instant::now());
    assert_eq!(idle.take(Instant::now()), Some(open(1)));
}

//! Watches made of long polls.

use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::kv::Revision;
use flamingowheel_backing::poll::{Poll, PollAnswer, PollError, PollTiming, watch};
use std::time::Duration;
use tokio::time::{Instant, advance, sleep};

/// Holds each poll for its whole wait.
struct Still;

impl Poll for Still {
    fn poll<'a>(
        &'a self,
        _prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<PollAnswer, PollError>> {
        Box::pin(async move {
            sleep(wait).await;
            Ok(PollAnswer { events: Vec::new(), revision: after })
        })
    }
}

/// A watch whose store never answers.
struct Silent;

impl Poll for Silent {
    fn poll<'a>(
        &'a self,
        _prefix: &'a str,
        _after: Revision,
        _wait: Duration,
    ) -> BoxFuture<'a, Result<PollAnswer, PollError>> {
        Box::pin(std::future::pending())
    }
}

/// Guards against a store that falls silent and is taken for one without changes.
#[tokio::test(start_paused = true)]
async fn watch_silent_store_ends() {
    let (begun, timing) = (Instant::now(), PollTiming::default());
    assert_eq!(watch(Silent, "", Revision(7), timing).recv().await, None);
    assert!(begun.elapsed() <= timing.limit());
}

/// Guards against a process that stood still and takes an answer of before for a recent one.
#[tokio::test(start_paused = true)]
async fn watch_answer_after_pause_ends() {
    let mut events = watch(Still, "", Revision(7), PollTiming::default());
    events.recv().await;
    tokio::task::yield_now().await;
    advance(Duration::from_secs(4)).await;
    assert_eq!(events.recv().await, None);
}

//! Handling of the engine's cache events, with a paused clock.

use bytes::Bytes;
use flamingowheel_agent::cache::{CacheView, MAX_BLOCKS, MAX_EVENTS_PER_POLL, UNCERTAIN_BLOCK_TTL};
use flamingowheel_agent::config::AgentConfig;
use flamingowheel_agent::control::{Command, Control};
use flamingowheel_backing::backend::{self, BackendCall, BackendServer, Priority};
use flamingowheel_backing::fake::{EngineSettings, FakeEngine, text};
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_policy::prefix::{BlockHash, CacheChange, CacheEvent};
use flamingowheel_protocol::message::{AgentMessage, BackendProfile, Serves};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{advance, sleep};

fn stored(numbers: RangeInclusive<u64>) -> Vec<backend::CacheEvent> {
    let event = |number| backend::CacheEvent { number, block_hash: number, stored: true };
    numbers.map(event).collect()
}

fn blocks(numbers: RangeInclusive<u64>) -> Vec<BlockHash> {
    numbers.map(BlockHash).collect()
}

fn apply(view: &mut CacheView, events: Vec<backend::CacheEvent>) -> Vec<CacheEvent> {
    view.apply_events(view.next_poll(), events)
}

#[tokio::test(start_paused = true)]
async fn apply_events_batch_sent_under_one_number() {
    let mut view = CacheView::default();
    let sent = apply(&mut view, stored(1..=3));
    assert_eq!(sent, [CacheEvent { number: 1, change: CacheChange::Stored(blocks(1..=3)) }]);
    let removed = backend::CacheEvent { number: 4, block_hash: 2, stored: false };
    let sent = apply(&mut view, vec![removed]);
    let change = CacheChange::Removed(blocks(2..=2));
    assert_eq!(sent, [CacheEvent { number: 2, change }]);
    let change = CacheChange::Snapshot(vec![BlockHash(1), BlockHash(3)]);
    assert_eq!(view.snapshot(), CacheEvent { number: 2, change });
    assert!(apply(&mut view, Vec::new()).is_empty());
}

// The engine loses an event, so earlier blocks may have been evicted unnoticed. Entries must see a
// gap in the numbers, new entries must get only certain blocks, and uncertain ones must expire.
#[tokio::test(start_paused = true)]
async fn apply_events_lost_number_skipped_until_uncertain_expire() {
    let mut view = CacheView::default();
    apply(&mut view, stored(1..=3));
    let sent = apply(&mut view, stored(5..=6));
    assert_eq!(sent, [CacheEvent { number: 3, change: CacheChange::Stored(blocks(5..=6)) }]);
    assert_eq!(view.snapshot().change, CacheChange::Snapshot(blocks(5..=6)));
    advance(UNCERTAIN_BLOCK_TTL - Duration::from_secs(1)).await;
    // A later loss must not extend the time of the first.
    apply(&mut view, stored(8..=8));
    assert_eq!(view.expire_uncertain(), None);
    advance(Duration::from_secs(1)).await;
    let change = CacheChange::Snapshot(blocks(8..=8));
    assert_eq!(view.expire_uncertain(), Some(CacheEvent { number: 6, change }));
    assert_eq!(view.expire_uncertain(), None);
}

// An engine restarts with an empty cache. A late answer of the old process must not bring its
// blocks back.
#[tokio::test(start_paused = true)]
async fn reset_late_answer_ignored() {
    let mut view = CacheView::default();
    apply(&mut view, stored(1..=3));
    let late = view.next_poll();
    let change = CacheChange::Snapshot(Vec::new());
    assert_eq!(view.reset(), CacheEvent { number: 2, change });
    assert!(view.apply_events(late, stored(4..=9)).is_empty());
    assert_eq!(view.next_poll().after, 0);
}

#[tokio::test(start_paused = true)]
async fn apply_events_numbers_went_back_blocks_dropped() {
    let mut view = CacheView::default();
    apply(&mut view, stored(1..=9));
    let sent = apply(&mut view, stored(1..=2));
    let dropped = CacheEvent { number: 2, change: CacheChange::Snapshot(Vec::new()) };
    assert_eq!(sent[0], dropped);
    assert_eq!(view.snapshot().change, CacheChange::Snapshot(blocks(1..=2)));
}

#[tokio::test(start_paused = true)]
async fn apply_events_many_memory_and_batch_bounded() {
    let mut view = CacheView::default();
    let count = 3 * MAX_BLOCKS as u64;
    while view.next_poll().after < count {
        let before = view.next_poll().after;
        apply(&mut view, stored(before + 1..=count));
        assert_eq!(view.next_poll().after, count.min(before + MAX_EVENTS_PER_POLL as u64));
    }
    let newest = count - MAX_BLOCKS as u64 + 1..=count;
    assert_eq!(view.snapshot().change, CacheChange::Snapshot(blocks(newest)));
}

async fn prefill(engine: &FakeEngine, body: &Bytes) {
    let call = BackendCall {
        id: "call".to_owned(),
        method: http::Method::POST,
        path: "/v1/chat/completions".to_owned(),
        content_type: None,
        body: body.clone(),
        priority: Priority::default(),
        resume_after_events: 0,
    };
    let mut answer = engine.call(call).await.unwrap();
    while answer.body.recv().await.is_some() {}
}

// A connection is stuck while the cache changes, and the message about it is dropped. Once it works
// again, the entry must get a snapshot, or it would never route prompts to these blocks.
#[tokio::test(start_paused = true)]
async fn cache_events_connection_stuck_gets_snapshot() {
    let engine = FakeEngine::new(1, EngineSettings::default());
    let serves = Serves::Model { model: "m".into(), group: "g".into(), rank: 0 };
    let profile = BackendProfile { serves, places: 4, can_resume: true, experts: None };
    let config = AgentConfig::new("runner-1", "a", profile);
    let recorder = Recorder::for_tests(&config.name);
    let (control, agent, commands) = Control::new(config, Arc::new(engine.clone()), recorder);
    tokio::spawn(control.run(commands));
    // The heartbeat and the first snapshot fill the queue.
    let (sender, mut receiver) = mpsc::channel(2);
    agent.commands().send(Command::Linked { link: 1, sender }).await.unwrap();
    sleep(Duration::from_secs(1)).await;
    let body = Bytes::from(vec![b'x'; 3 * text::CACHE_BLOCK_BYTES]);
    prefill(&engine, &body).await;
    sleep(Duration::from_secs(3)).await;
    let expected = text::block_hashes(&body).into_iter().map(BlockHash).collect();
    let expected = CacheChange::Snapshot(expected);
    let got_snapshot = async {
        while let Some(message) = receiver.recv().await {
            let AgentMessage::CacheEvents(events) = message else { continue };
            if events.iter().any(|event| event.change == expected) {
                return true;
            }
        }
        false
    };
    assert_eq!(tokio::time::timeout(Duration::from_secs(5), got_snapshot).await, Ok(true));
}

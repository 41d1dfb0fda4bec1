//! What slow readers make an entry hold.

#[allow(dead_code, missing_docs, unreachable_pub, reason = "shared with the bench")]
mod framing;

use flamingowheel_gateway::held::{Held, HeldBytes, HoldError};
use flamingowheel_standin::platform::raw::{Answer, Call, Framing, RawServer};
use framing::Bench;
use std::sync::{Arc, Mutex, OnceLock};

/// Holds as much as is left, in pieces of what one request may hold.
fn fill(held: &Arc<Held>) -> Vec<HeldBytes> {
    let mut kept = Vec::new();
    let mut piece = 15_000_000;
    while piece > 0 {
        match held.try_hold(piece) {
            Ok(bytes) => kept.push(bytes),
            Err(HoldError::Full | HoldError::TooLarge) => piece /= 2,
        }
    }
    kept
}

/// Guards against slow readers that together fill a small VM's memory.
#[test]
fn try_hold_many_large_bodies_bounded() {
    let held = Held::new(112_000_000, 2_870);
    let kept: Vec<_> = (0..100).filter_map(|_| held.try_hold(4_000_000).ok()).collect();
    assert_eq!(kept.len(), 8);
    assert!(held.share() > 0.9);
    drop(kept);
    assert_eq!(held.bytes(), 0);
}

/// Guards against an account that never empties, or empties while bytes are still queued.
#[test]
fn attach_copies_dropped_in_any_order() {
    let held = Held::new(112_000_000, 2_870);
    let bytes = held.try_hold(1_000).unwrap().attach(vec![0; 1_000].into());
    let tail = bytes.slice(500..);
    drop(bytes);
    assert_eq!(held.bytes(), 1_000);
    drop(tail);
    assert_eq!(held.bytes(), 0);
}

/// Guards against a body that is read into memory that slow readers have filled.
#[tokio::test]
async fn call_memory_full_refused_then_served() {
    let bench = Bench::start(1, &Answer::whole(Framing::Length, b"whole".to_vec())).await;
    let kept = fill(&bench.entry.held);
    let refused = bench.ask("/once/x").await;
    assert_eq!((refused.status, bench.calls()), (503, 0));
    assert!(refused.head.to_lowercase().contains("retry-after"), "{}", refused.head);
    drop(kept);
    let served = bench.ask_as("/once/x", "a2").await;
    assert_eq!((served.status, served.body.as_slice()), (200, b"whole".as_slice()));
}

/// Guards against an answer that is lost because it can't be buffered.
#[tokio::test]
async fn call_memory_full_meanwhile_answer_relayed() {
    let account: Arc<OnceLock<Arc<Held>>> = Arc::default();
    let kept: Arc<Mutex<Vec<HeldBytes>>> = Arc::default();
    let (seen, filled) = (Arc::clone(&account), Arc::clone(&kept));
    let script = move |_: &Call| {
        filled.lock().unwrap().extend(fill(seen.get().unwrap()));
        Answer::whole(Framing::Length, vec![b'x'; 200_000])
    };
    let bench = Bench::with_servers(vec![RawServer::start(script).await.unwrap()]).await;
    account.set(Arc::clone(&bench.entry.held)).unwrap();
    let served = bench.ask("/once/x").await;
    assert_eq!((served.status, served.body.len()), (200, 200_000));
    assert!(!kept.lock().unwrap().is_empty());
}

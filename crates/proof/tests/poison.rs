//! Resends of requests that crash the backend server that runs them.

use bytes::Bytes;
use flamingowheel_proof::caller::CallOutcome;
use flamingowheel_proof::entry::MODEL;
use flamingowheel_proof::oracle::{Kind, Runs};
use flamingowheel_proof::servers::{ENGINES, SERVICES};
use flamingowheel_proof::world::{ENTRIES, World};
use std::time::Duration;
use tokio::time::sleep;

/// Limit for the crashes caused by one request, however often it is resent.
const MAX_CRASHES: u64 = 2;
const RESENDS: usize = 12;

fn chat(prompt: &str, tokens: u64) -> Bytes {
    let body = serde_json::json!({
        "model": MODEL, "max_tokens": tokens, "stream": true, "prompt": prompt,
    });
    Bytes::from(body.to_string())
}

async fn world() -> World {
    let world = World::start(None).await;
    world.servers.engines.iter().for_each(|engine| engine.crash_on("poison"));
    world
}

fn crashes(world: &World) -> u64 {
    world.servers.engines.iter().map(|engine| engine.crashes()).sum()
}

// Guards against repeated crashes when a caller resends a crashing request through all entries for
// a minute.
#[tokio::test(start_paused = true)]
async fn resend_poison_everywhere() {
    let mut world = world().await;
    let work = world.ask(0, Kind::Chat, chat("poison", 5), 9_000);
    for resend in 0..RESENDS {
        sleep(Duration::from_secs(5)).await;
        world.resend(resend % ENTRIES, work, 9_000);
    }
    sleep(Duration::from_secs(10)).await;
    assert!(crashes(&world) >= 1, "no engine crashed, so the test shows nothing");
    assert!(crashes(&world) <= MAX_CRASHES, "{} crashes", crashes(&world));
    world.settle().await.unwrap();
}

// Guards against repeated crashes when the entry that suspects the request is replaced each time.
#[tokio::test(start_paused = true)]
async fn resend_poison_entry_replaced() {
    let mut world = world().await;
    let work = world.ask(0, Kind::Chat, chat("poison", 5), 9_000);
    for resend in 0..RESENDS {
        sleep(Duration::from_secs(5)).await;
        world.replace_entry(resend % ENTRIES);
        sleep(Duration::from_secs(1)).await;
        world.resend(resend % ENTRIES, work, 9_000);
    }
    sleep(Duration::from_secs(10)).await;
    assert!(crashes(&world) <= MAX_CRASHES, "{} crashes", crashes(&world));
}

// Guards against repeated crashes when each agent is replaced after its backend server crashed.
#[tokio::test(start_paused = true)]
async fn resend_poison_agents_replaced() {
    let mut world = world().await;
    let work = world.ask(0, Kind::Chat, chat("poison", 5), 9_000);
    for resend in 0..RESENDS {
        sleep(Duration::from_secs(5)).await;
        let agent = SERVICES + resend % ENGINES;
        world.kill_agent(agent);
        world.start_agent(agent);
        sleep(Duration::from_secs(1)).await;
        world.resend(resend % ENTRIES, work, 9_000);
    }
    sleep(Duration::from_secs(10)).await;
    assert!(crashes(&world) <= MAX_CRASHES, "{} crashes", crashes(&world));
}

// Guards against quarantining requests that only shared the batch of a crash; resent, they must
// complete.
#[tokio::test(start_paused = true)]
async fn resend_poison_others_finish() {
    let mut world = world().await;
    let others: Vec<usize> = (0..3)
        .map(|number| world.ask(0, Kind::Chat, chat(&format!("innocent {number}"), 60), 9_000))
        .collect();
    sleep(Duration::from_millis(500)).await;
    let poison = world.ask(0, Kind::Chat, chat("poison", 5), 9_000);
    for resend in 0..4 {
        sleep(Duration::from_secs(8)).await;
        world.resend(resend % ENTRIES, poison, 9_000);
        others.iter().for_each(|work| world.resend(resend % ENTRIES, *work, 9_000));
    }
    world.settle().await.unwrap();
    for work in others {
        let submissions = world.ledger.get(work).unwrap().submissions;
        let last = &submissions.last().unwrap().outcome;
        assert!(matches!(last, CallOutcome::Complete(_)), "{last:?}");
    }
    assert!(crashes(&world) <= MAX_CRASHES, "{} crashes", crashes(&world));
    assert!(world.servers.started(&chat("poison", 5)) <= 2);
}

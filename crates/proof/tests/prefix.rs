//! Knowledge of prefix caches from the engines to the entries' choices.

use bytes::Bytes;
use flamingowheel_backing::backend::{BackendCall, BackendServer, Priority};
use flamingowheel_backing::fake::text;
use flamingowheel_entry::config::EntryConfig;
use flamingowheel_entry::http::CHAT_PATH;
use flamingowheel_entry::request::prompt_blocks;
use flamingowheel_observe::api::EventQuery;
use flamingowheel_observe::event::Event;
use flamingowheel_observe::reason::RouteReason;
use flamingowheel_policy::key::ServerKey;
use flamingowheel_policy::prefix::BlockHash;
use flamingowheel_proof::caller::{Call, CallKind, CallOutcome, send};
use flamingowheel_proof::entry::{MODEL, fleet_key};
use flamingowheel_proof::servers::{ENGINES, SERVICES};
use flamingowheel_proof::world::World;
use std::time::Duration;
use tokio::time::sleep;

const REQUESTS: usize = 12;
/// Blocks that all requests with the same long prompt have in common.
const SHARED_BLOCKS: usize = 8;
/// Longer than polls and heartbeats take to reach the entries.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// Longer than doubt about an engine's cache lasts.
const DECAY_TIME: Duration = Duration::from_secs(62);

fn body(prompt: &str, number: usize) -> Bytes {
    let times = (SHARED_BLOCKS * 256).div_ceil(prompt.len());
    let text = prompt.repeat(times);
    let body = format!(r#"{{"model":"{MODEL}","prompt":"{text}","max_tokens":1,"user":{number}}}"#);
    Bytes::from(body)
}

async fn ask(world: &World, body: Bytes) -> CallOutcome {
    let entry = world.entry(0);
    let call = Call { kind: CallKind::Chat, body, timeout_ms: 5_000 };
    send(entry.router.clone(), entry.lifecycle.clone(), call).await
}

/// Asks and gives the engine that answered.
async fn ask_engine(world: &World, body: Bytes) -> usize {
    let outcome = ask(world, body.clone()).await;
    assert!(matches!(outcome, CallOutcome::Complete(_)), "{outcome:?}");
    let ran = |engine: &usize| world.servers.engines[*engine].runs_of_body(&body).started > 0;
    (0..ENGINES).find(ran).unwrap()
}

/// Sends a body to a given engine, past the entries.
async fn call_engine(world: &World, engine: usize, body: Bytes) {
    let call = BackendCall {
        id: "past-entries".to_owned(),
        method: http::Method::POST,
        path: CHAT_PATH.to_owned(),
        content_type: None,
        body,
        priority: Priority::default(),
        resume_after_events: 0,
    };
    let mut answer = world.servers.engines[engine].call(call).await.unwrap();
    while answer.body.recv().await.is_some() {}
}

fn server(engine: usize) -> ServerKey {
    ServerKey::from_name(&format!("runner-{}", SERVICES + engine))
}

fn shared_blocks(body: &[u8]) -> Vec<BlockHash> {
    let address = "127.0.0.1:8080".parse().unwrap();
    let config = EntryConfig::new("entry", "a", address, fleet_key());
    prompt_blocks(body, config.cache_block_bytes)[..SHARED_BLOCKS].to_vec()
}

fn routes_by_prefix(world: &World) -> usize {
    let events = world.entry(0).recorder.answer(&EventQuery::default()).events;
    let by_prefix =
        |event: &Event| matches!(event, Event::Routed { reason: RouteReason::PrefixCached, .. });
    events.iter().filter(|stamped| by_prefix(&stamped.event)).count()
}

#[test]
fn prompt_blocks_agree_with_engine() {
    let body = body("hilltop ", 1);
    let entry: Vec<u64> = shared_blocks(&body).iter().map(|hash| hash.0).collect();
    assert_eq!(entry, text::block_hashes(&body)[..SHARED_BLOCKS]);
}

// Requests that share a long prompt are spread over the ranks, and each rank prefills the prompt
// for itself: callers wait for work that was already done next door.
#[tokio::test(start_paused = true)]
async fn same_prompt_cached_rank_chosen() {
    let world = World::start(None).await;
    let first = ask_engine(&world, body("hilltop ", 0)).await;
    sleep(PROPAGATION_TIME).await;
    for number in 1..REQUESTS {
        assert_eq!(ask_engine(&world, body("hilltop ", number)).await, first);
        sleep(PROPAGATION_TIME).await;
    }
    let by_prefix = routes_by_prefix(&world);
    assert!(by_prefix > 0 && by_prefix < REQUESTS, "{by_prefix}");
}

// Were the prompts not the same, both ranks would get some: it is the cache that decides above.
#[tokio::test(start_paused = true)]
async fn other_prompts_both_ranks_used() {
    let world = World::start(None).await;
    let mut counts = [0; ENGINES];
    for number in 0..REQUESTS {
        let prompt = format!("hilltop{number:02} ");
        counts[ask_engine(&world, body(&prompt, 0)).await] += 1;
        sleep(PROPAGATION_TIME).await;
    }
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
    assert_eq!(routes_by_prefix(&world), 0);
}

// An engine loses an event. What is known of it is trusted less and less, and is forgotten in the
// end, while what it stores from then on counts in full.
#[tokio::test(start_paused = true)]
async fn cache_event_lost_index_decays() {
    let world = World::start(None).await;
    let before = body("hilltop ", 0);
    let engine = ask_engine(&world, before.clone()).await;
    sleep(PROPAGATION_TIME).await;
    let covered = || world.entry(0).routes.covered_blocks(server(engine), &shared_blocks(&before));
    assert_eq!(covered(), SHARED_BLOCKS as f64);
    world.servers.engines[engine].lose_cache_events(1);
    call_engine(&world, engine, body("valley ", 0)).await;
    sleep(PROPAGATION_TIME).await;
    let after_loss = covered();
    sleep(Duration::from_secs(20)).await;
    let later = covered();
    assert!(after_loss < SHARED_BLOCKS as f64 && later < after_loss / 2.0, "{after_loss} {later}");
    sleep(DECAY_TIME).await;
    assert_eq!(covered(), 0.0);
}

// An engine comes back with an empty cache. Prompts that were sent to it for what it had cached
// would wait for a prefill that they could have had anywhere.
#[tokio::test(start_paused = true)]
async fn engine_restarted_index_cleared() {
    let world = World::start(None).await;
    let first = body("hilltop ", 0);
    let engine = ask_engine(&world, first.clone()).await;
    sleep(PROPAGATION_TIME).await;
    let covered = || world.entry(0).routes.covered_blocks(server(engine), &shared_blocks(&first));
    assert_eq!(covered(), SHARED_BLOCKS as f64);
    world.servers.engines[engine].restart();
    sleep(PROPAGATION_TIME).await;
    assert_eq!(covered(), 0.0);
    assert_eq!(world.entry(0).routes.block_count(), 0);
    // The new process counts from one again, and is heard.
    let second = body("hilltop ", 1);
    let engine = ask_engine(&world, second.clone()).await;
    sleep(PROPAGATION_TIME).await;
    let covered = world.entry(0).routes.covered_blocks(server(engine), &shared_blocks(&second));
    assert_eq!(covered, SHARED_BLOCKS as f64);
}

// An entry that starts late would send every known prompt astray until the caches have changed.
#[tokio::test(start_paused = true)]
async fn entry_started_late_index_synchronized() {
    let mut world = World::start(None).await;
    let first = body("hilltop ", 0);
    let engine = ask_engine(&world, first.clone()).await;
    sleep(PROPAGATION_TIME).await;
    world.replace_entry(0);
    sleep(PROPAGATION_TIME).await;
    let covered = world.entry(0).routes.covered_blocks(server(engine), &shared_blocks(&first));
    assert_eq!(covered, SHARED_BLOCKS as f64);
}

// A caller sends ever new prompts, up to the longest body. An entry's memory must not follow.
#[tokio::test(start_paused = true)]
async fn many_prompts_memory_bounded() {
    let world = World::start(None).await;
    for number in 0..40 {
        let prompt = format!("{number:02}").repeat(32 * 1024);
        ask_engine(&world, body(&prompt, 0)).await;
        sleep(PROPAGATION_TIME).await;
    }
    let indexed = world.entry(0).routes.block_count();
    let engines_hold = ENGINES * world.servers.engines[0].settings().cache_blocks;
    assert!(indexed > 0 && indexed <= engines_hold, "{indexed}");
}

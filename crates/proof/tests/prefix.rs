//! Propagation of prefix cache contents from engines to the entries' routing.

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
/// Blocks that all requests with the same long prompt share.
const SHARED_BLOCKS: usize = 8;
/// Longer than polls and heartbeats take to propagate cache events to the entries.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// Longer than the decay of uncertain cache contents takes.
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

/// Sends a request and returns the engine that answered.
async fn ask_engine(world: &World, body: Bytes) -> usize {
    let outcome = ask(world, body.clone()).await;
    assert!(matches!(outcome, CallOutcome::Complete(_)), "{outcome:?}");
    let ran = |engine: &usize| world.servers.engines[*engine].runs_of_body(&body).started > 0;
    (0..ENGINES).find(ran).unwrap()
}

/// Sends a body directly to an engine, bypassing the entries.
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

// Guards against requests with the same long prompt being spread over the ranks, so that each rank
// prefills a prompt that another has cached.
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

// Control for the test above: with different prompts both ranks get requests, so there the cache
// decides.
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

// Guards against routing by outdated cache contents after an engine lost a cache event. The weight
// of blocks indexed before must decay to zero; blocks stored afterwards have full weight.
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

// Guards against routing prompts to an engine that restarted with an empty cache, where they would
// wait for a prefill without any benefit.
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
    // The new process numbers its events from one again; they must be accepted.
    let second = body("hilltop ", 1);
    let engine = ask_engine(&world, second.clone()).await;
    sleep(PROPAGATION_TIME).await;
    let covered = world.entry(0).routes.covered_blocks(server(engine), &shared_blocks(&second));
    assert_eq!(covered, SHARED_BLOCKS as f64);
}

// Guards against misrouting by an entry that starts late: it must get the cache contents without
// waiting for them to change.
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

// Guards against unbounded memory of an entry's index when a caller keeps sending new long prompts.
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

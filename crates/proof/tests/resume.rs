//! Answers whose agent process is replaced while they are transferred.

use bytes::Bytes;
use flamingowheel_proof::caller::CallOutcome;
use flamingowheel_proof::entry::MODEL;
use flamingowheel_proof::oracle::Kind;
use flamingowheel_proof::servers::{ENGINES, SERVICES};
use flamingowheel_proof::world::World;
use std::time::Duration;
use tokio::time::sleep;

fn chat(tokens: u64, stream: bool) -> Bytes {
    let body = serde_json::json!({ "model": MODEL, "max_tokens": tokens, "stream": stream });
    Bytes::from(body.to_string())
}

/// Index of the agent whose engine runs this body.
fn agent_of(world: &World, body: &[u8]) -> usize {
    let runs = |engine: usize| world.servers.engines[engine].runs_of_body(body).started;
    SERVICES + (0..ENGINES).find(|engine| runs(*engine) > 0).expect("nothing runs")
}

// Guards against a corrupt answer that looks complete: the agent is replaced during an answer that
// is not streamed. An engine counts events, not body pieces, so a resume would deliver the whole
// answer again after the first part.
#[tokio::test(start_paused = true)]
async fn ask_json_agent_replaced_in_body() {
    let mut world = World::start(None).await;
    let body = chat(40, false);
    world.ask(0, Kind::Chat, body.clone(), 10_000);
    // 40 tokens of 50 ms, then the pieces of the body, 50 ms apart.
    sleep(Duration::from_millis(2_075)).await;
    let server = agent_of(&world, &body);
    world.kill_agent(server);
    world.start_agent(server);
    world.settle().await.unwrap();
    let outcome = world.ledger.get(0).unwrap().submissions.remove(0).outcome;
    assert!(matches!(outcome, CallOutcome::Unknown(_)), "{outcome:?}");
}

// Guards against a failed stream when the agent is replaced: the engine must resume from the first
// event that the caller lacks.
#[tokio::test(start_paused = true)]
async fn ask_stream_agent_replaced() {
    let mut world = World::start(None).await;
    let body = chat(100, true);
    world.ask(0, Kind::Chat, body.clone(), 10_000);
    sleep(Duration::from_millis(2_000)).await;
    let server = agent_of(&world, &body);
    world.kill_agent(server);
    world.start_agent(server);
    world.settle().await.unwrap();
    let outcome = world.ledger.get(0).unwrap().submissions.remove(0).outcome;
    assert!(matches!(outcome, CallOutcome::Complete(_)), "{outcome:?}");
}

//! Requests whose agents are outside an entry's cells, and cells that change while work runs.

use bytes::Bytes;
use flamingowheel_entry::agents::{AgentVm, Target};
use flamingowheel_entry::links::IDLE_LIMIT;
use flamingowheel_policy::key::Fingerprint;
use flamingowheel_proof::caller::CallOutcome;
use flamingowheel_proof::entry::MODEL;
use flamingowheel_proof::oracle::{Kind, Runs};
use flamingowheel_proof::servers::SERVERS;
use flamingowheel_proof::world::{World, address};
use flamingowheel_protocol::message::Role;
use flamingowheel_protocol::peer::{AgentRecord, MemberState};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

const TIMEOUT_MS: u64 = 10_000;

fn chat(tokens: u64) -> Bytes {
    let body = serde_json::json!({ "model": MODEL, "max_tokens": tokens, "stream": true });
    Bytes::from(body.to_string())
}

/// Records of all agents that run now.
fn directory(world: &World) -> Vec<Arc<AgentRecord>> {
    let record = |server: usize| {
        let hello = world.network.endpoint(address(server))?.hello;
        let Role::Agent(profile) = hello.role else { return None };
        Some(Arc::new(AgentRecord {
            name: hello.name,
            address: address(server),
            data_centre: hello.data_centre,
            serves: profile.serves,
            experts: profile.experts,
            incarnation: hello.incarnation,
            version: 1,
            state: MemberState::Live,
        }))
    };
    (0..SERVERS).filter_map(record).collect()
}

/// A world whose second entry is in no cell and has no link.
async fn world_with_unlinked_entry() -> World {
    let world = World::start(None).await;
    let unlinked = &world.entry(1).agents;
    unlinked.set_directory(&directory(&world));
    unlinked.set_vms(&[]);
    sleep(IDLE_LIMIT + Duration::from_secs(1)).await;
    unlinked.set_vms(&[]);
    sleep(Duration::from_millis(10)).await;
    assert!(unlinked.connected().is_empty());
    world
}

fn outcome(world: &World, index: usize) -> CallOutcome {
    world.ledger.get(index).unwrap().submissions.pop().unwrap().outcome
}

// Guards against reporting that no backend server exists to a caller that keeps using an entry
// whose cells don't serve its model. The entry must open links on demand.
#[tokio::test(start_paused = true)]
async fn ask_entry_outside_cell_served() {
    let mut world = world_with_unlinked_entry().await;
    let index = world.ask(1, Kind::Chat, chat(20), TIMEOUT_MS);
    sleep(Duration::from_secs(5)).await;
    assert!(
        matches!(outcome(&world, index), CallOutcome::Complete(_)),
        "{:?}",
        outcome(&world, index)
    );
    world.settle().await.unwrap();
}

// Guards against a second run when a ticket is used at an entry without a link to the ticket's
// agent. The work must run only there, and a resend at the first entry must get the same answer.
#[tokio::test(start_paused = true)]
async fn ask_ticket_home_outside_cell_served() {
    let mut world = world_with_unlinked_entry().await;
    let body = Bytes::from_static(b"pay once");
    let index = world.request_ticket(0, body.clone()).await.unwrap();
    world.resend(1, index, TIMEOUT_MS);
    sleep(Duration::from_secs(5)).await;
    let first = outcome(&world, index);
    assert!(matches!(first, CallOutcome::Complete(_)), "{first:?}");
    world.resend(0, index, TIMEOUT_MS);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(outcome(&world, index), first);
    assert_eq!(world.servers.started(&body), 1);
    world.settle().await.unwrap();
}

// Guards against a broken stream when the agent leaves the entry's cells while it streams and then
// the connection breaks as well. The link must close once nothing needs it.
#[tokio::test(start_paused = true)]
async fn cells_change_stream_goes_on() {
    let mut world = World::start(None).await;
    let index = world.ask(0, Kind::Chat, chat(900), TIMEOUT_MS);
    sleep(Duration::from_secs(2)).await;
    world.entry(0).agents.set_vms(&[]);
    sleep(Duration::from_secs(2)).await;
    world.network.cut_all();
    for _ in 0..60 {
        sleep(Duration::from_secs(1)).await;
        world.entry(0).agents.set_vms(&[]);
    }
    assert!(
        matches!(outcome(&world, index), CallOutcome::Complete(_)),
        "{:?}",
        outcome(&world, index)
    );
    sleep(IDLE_LIMIT).await;
    world.entry(0).agents.set_vms(&[]);
    sleep(Duration::from_millis(10)).await;
    assert!(world.entry(0).agents.connected().is_empty());
    // Agents that return to the cells must get work at once.
    let all: Vec<AgentVm> =
        (0..SERVERS).map(|s| AgentVm { address: address(s), leaving: false }).collect();
    world.entry(0).agents.set_vms(&all);
    sleep(Duration::from_secs(2)).await;
    let index = world.ask(0, Kind::Chat, chat(5), TIMEOUT_MS);
    sleep(Duration::from_secs(2)).await;
    assert!(
        matches!(outcome(&world, index), CallOutcome::Complete(_)),
        "{:?}",
        outcome(&world, index)
    );
    world.settle().await.unwrap();
}

// Guards against a second run when the directory is stale: an agent was replaced under its name and
// its record has the old incarnation. A ticket of the old process must not run in the new one;
// other work may.
#[tokio::test(start_paused = true)]
async fn ask_stale_record_no_second_run() {
    let mut world = world_with_unlinked_entry().await;
    let body = Bytes::from_static(b"pay once");
    let index = world.request_ticket(0, body.clone()).await.unwrap();
    for server in 0..SERVERS {
        world.kill_agent(server);
        world.start_agent(server);
    }
    sleep(Duration::from_secs(3)).await;
    world.resend(1, index, TIMEOUT_MS);
    let other = world.ask(1, Kind::Chat, chat(5), TIMEOUT_MS);
    sleep(Duration::from_secs(5)).await;
    assert!(
        matches!(outcome(&world, index), CallOutcome::Unknown(_)),
        "{:?}",
        outcome(&world, index)
    );
    assert_eq!(world.servers.started(&body), 0);
    assert!(
        matches!(outcome(&world, other), CallOutcome::Complete(_)),
        "{:?}",
        outcome(&world, other)
    );
    world.settle().await.unwrap();
}

// Guards against several crashes by one request: its copies arrive through two entries with
// different cells. Both entries must choose the same backend server for it.
#[tokio::test(start_paused = true)]
async fn route_isolated_other_cells_same_server() {
    let world = world_with_unlinked_entry().await;
    let target = Target::Model(MODEL.to_owned());
    for number in 0..20 {
        let isolated = |entry: usize| {
            let routes = &world.entry(entry).routes;
            routes.route_isolated(&target, Fingerprint(number), &[]).unwrap().0
        };
        assert_eq!(isolated(0), isolated(1));
    }
}

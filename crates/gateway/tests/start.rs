//! The share of requests that a server gets right after its start, while it is slow.

use flamingowheel_fleet::BackendServer;
use flamingowheel_gateway::balance::{self, Choice};
use flamingowheel_gateway::group::{GroupLoad, GroupRank};
use flamingowheel_gateway::server::Server;
use flamingowheel_gateway::view::View;
use flamingowheel_policy::cold::ColdAllowance;
use flamingowheel_policy::permits::Verdict;
use flamingowheel_protocol::ranks::GroupStatus;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, advance};

const COLD_TIME: Duration = Duration::from_secs(4);

/// Servers of which the first one has just started, and is permitted one request.
fn servers() -> Vec<Arc<Server>> {
    let server = |number: u8| {
        let server = Server::new(BackendServer {
            id: format!("i-{number}"),
            service: "s".to_owned(),
            address: format!("10.0.0.{number}:80").parse().unwrap(),
            data_centre: "z".to_owned(),
            slots: 6,
            is_draining: false,
            started_ms: 1,
            cold_left_ms: if number == 0 { COLD_TIME.as_millis() as u64 } else { 0 },
        });
        server.set_cold_allowance(Some(ColdAllowance::new(26.0, 1.5, 5.0)), 1);
        Arc::new(server)
    };
    (0..4).map(server).collect()
}

fn permit(server: &Server) {
    let now = Instant::now();
    assert!(server.begin_cold_ask(now));
    server.answer_cold_ask(now, Verdict::Granted, now);
}

/// Number of choices of the first server among many.
fn choices(view: &View) -> usize {
    let chosen = (0..200).filter(|_| {
        let choice = balance::choose(view, "s", &[], None, Instant::now()).choice;
        matches!(choice, Choice::Send(server, _) if server.listed.id == "i-0")
    });
    chosen.count()
}

fn view(servers: Vec<Arc<Server>>) -> View {
    View { servers: HashMap::from([("s".to_owned(), servers)]), ..View::default() }
}

/// A server without answers looks fast. It must not get all requests before it has shown its speed,
/// nor none.
#[tokio::test(start_paused = true)]
async fn choose_new_plain_server_tried_once() {
    let servers = servers();
    let busy = |server: &Arc<Server>| server.begin(None).unwrap();
    let _busy: Vec<_> = servers[1..].iter().flat_map(|s| [busy(s), busy(s)]).collect();
    servers[1..].iter().for_each(|s| s.record_answer(Duration::from_millis(60), false));
    permit(&servers[0]);
    let view = view(servers.clone());
    assert_eq!(choices(&view), 200);
    let _first = servers[0].begin(None).unwrap();
    permit(&servers[0]);
    assert_eq!(choices(&view), 0);
    servers[0].record_answer(Duration::from_millis(60), false);
    assert_eq!(choices(&view), 200, "as fast as the others and less busy");
}

/// All ranks of a group wait for a new one that is slow.
#[tokio::test(start_paused = true)]
async fn choose_new_rank_share_grows() {
    let servers = servers();
    let group = Arc::new(GroupLoad::default());
    let rank = |(rank, server): (usize, &Arc<Server>)| {
        let group = Arc::clone(&group);
        (server.listed.address, GroupRank { group, rank, pace: 1.0, is_away: false })
    };
    let group_ranks: HashMap<_, _> = servers.iter().enumerate().map(rank).collect();
    let view = View { group_ranks, ..view(servers.clone()) };
    let chosen = |requests_at_new: u8| {
        let status = GroupStatus {
            group: "g".to_owned(),
            epoch: 1,
            pass_ms: 40.0,
            requests: vec![requests_at_new, 3, 3, 3],
            silent: Vec::new(),
            age_ms: 0,
        };
        group.set_status(&status, Instant::now());
        permit(&servers[0]);
        choices(&view)
    };
    assert!(chosen(0) > 100, "it gets something");
    // A few, when no other rank is sampled.
    assert!(chosen(1) < 30);
    advance(COLD_TIME.mul_f64(0.75)).await;
    assert!(chosen(1) > 100, "its share has grown");
}

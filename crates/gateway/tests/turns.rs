//! Whose turn it is at an entry while a service is short of room.

use flamingowheel_fleet::configuration::{Route, Split, Workspace};
use flamingowheel_fleet::{BackendServer, Configuration};
use flamingowheel_gateway::balance::{self, Choice};
use flamingowheel_gateway::budget::{Allowance, RetryBudget};
use flamingowheel_gateway::exchange::Exchange;
use flamingowheel_gateway::front::Stop;
use flamingowheel_gateway::group::{Admission, Fullness, GroupLoad};
use flamingowheel_gateway::metrics::Metrics;
use flamingowheel_gateway::open::OpenRequests;
use flamingowheel_gateway::priority::{Turn, Turns, levels};
use flamingowheel_gateway::server::Server;
use flamingowheel_gateway::view::View;
use flamingowheel_platform::headers::RequestHead;
use flamingowheel_policy::key::Fingerprint;
use flamingowheel_policy::priority::Rank;
use flamingowheel_policy::urgency::GivesWay;
use flamingowheel_protocol::ranks::GroupStatus;
use http::{HeaderMap, Method, Uri};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, advance};

const TIMEOUT_MS: u64 = 8_000;
const FULL: Fullness = Fullness {
    crowding: 1.1,
    own_requests: 10,
    limit: None,
    pass_ms: 90.0,
    rise: 1.0,
    occupancy: None,
    report_age: None,
};

fn exchange(priority: u32, left_ms: u64, pause_goal_ms: u64) -> Exchange {
    let arrived = Instant::now();
    let metrics = Arc::new(Metrics::new().unwrap());
    let goal_ms = if priority == 0 { 400 } else { 1_000 };
    let route =
        Route { priority, goal_ms, timeout_ms: TIMEOUT_MS, pause_goal_ms, ..Route::default() };
    Exchange {
        arrived,
        version: 1,
        deadline: arrived + Duration::from_millis(left_ms),
        head: RequestHead { deadline_ms: Some(left_ms), ..RequestHead::default() },
        route: Arc::new(route),
        service: "s".to_owned(),
        workspace: None,
        rank: Rank::of_route(priority),
        level: u8::try_from(priority).ok(),
        method: Method::POST,
        uri: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: bytes::Bytes::new(),
        fingerprint: Fingerprint(u128::from(priority)),
        subjects: Vec::new(),
        open: OpenRequests::new(metrics, Stop::default()).read("", arrived),
    }
}

fn turn(turns: &Turns, exchange: &Exchange) -> Turn {
    Turn { draw: 0.5, standing: turns.arrive(exchange, 0.5, Instant::now()) }
}

/// A refused caller comes back at once, another as told. Only the latter may have more room than a
/// first attempt; the former must have less.
#[tokio::test(start_paused = true)]
async fn arrive_early_return_wins_nothing() {
    let turns = Turns::default();
    let first = exchange(0, TIMEOUT_MS, 120);
    let first_limit_ms = turn(&turns, &first).admission(&first).unwrap().pass_limit_ms;
    let told_ms = turns.refuse(&first, &FULL, 0.5, Instant::now());
    advance(Duration::from_millis(90)).await;
    let early = exchange(0, TIMEOUT_MS - 90, 120);
    let early_turn = turn(&turns, &early);
    assert_eq!(early_turn.standing.gives_way, GivesWay::ToPatient);
    let admission = early_turn.admission(&early).unwrap();
    assert!(admission.pass_limit_ms * (1.0 - admission.cut) < first_limit_ms);
    advance(Duration::from_millis(told_ms)).await;
    let patient = exchange(0, TIMEOUT_MS - 90 - told_ms, 120);
    let patient_turn = turn(&turns, &patient);
    assert_eq!(patient_turn.standing.gives_way, GivesWay::ToNone);
    assert!(patient_turn.admission(&patient).unwrap().pass_limit_ms > first_limit_ms);
}

/// Batch work may wait for a place that urgent requests have taken, as long as it is in time; urgent
/// requests could not be, and a queue without an end would hold callers until they give up.
#[tokio::test(start_paused = true)]
async fn wait_batch_only_and_bounded() {
    let turns = Arc::new(Turns::default());
    let (urgent, batch) = (exchange(0, TIMEOUT_MS, 120), exchange(2, TIMEOUT_MS, 120));
    assert!(!turn(&turns, &urgent).waits_for_room());
    assert!(turn(&turns, &batch).waits_for_room());
    let full = Fullness { crowding: 1.01, pass_ms: 60.0, ..FULL };
    assert!(turns.wait(&urgent, &full).is_none());
    let waiting: Vec<_> = (0..100).map_while(|_| turns.wait(&batch, &full)).collect();
    assert!((1..10).contains(&waiting.len()), "{}", waiting.len());
    assert!(waiting.iter().all(|(_, most)| *most < Duration::from_millis(500)));
    drop(waiting);
    assert!(turns.wait(&batch, &full).is_some());
}

/// All slots of a group are taken, so what is sent there queues. Less urgent requests must not, but a
/// report that is old says nothing.
#[tokio::test(start_paused = true)]
async fn fullness_slots_taken_reports_old() {
    let group = GroupLoad::default();
    group.set_slots(10);
    let status = GroupStatus {
        group: "g".to_owned(),
        epoch: 1,
        pass_ms: 60.0,
        requests: vec![10; 4],
        silent: Vec::new(),
        age_ms: 0,
    };
    let start = Instant::now();
    group.set_status(&status, start);
    let full = |cut, now| {
        let admission =
            Admission { pass_limit_ms: 90.0, pause_goal_ms: 120.0, draw: 0.5, cut, caution: 0.0 };
        group.fullness(&admission, now).is_full()
    };
    assert!(full(0.08, start));
    assert!(!full(0.0, start));
    assert!(!full(0.08, start + Duration::from_secs(2)));
}

/// The queues of a plain service's servers grow. What can wait must be refused before the urgent
/// requests' answers are late; these must be sent on all the same.
#[tokio::test(start_paused = true)]
async fn choose_plain_service_urgent_first() {
    let listed = BackendServer {
        id: "i-1".to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "z".to_owned(),
        slots: 6,
        is_draining: false,
        started_ms: 1,
        cold_left_ms: 0,
    };
    let server = Arc::new(Server::new(listed));
    let servers = HashMap::from([("s".to_owned(), vec![Arc::clone(&server)])]);
    let view = View { servers, ..View::default() };
    let turns = Turns::default();
    let (urgent, batch) = (exchange(0, TIMEOUT_MS, 0), exchange(2, TIMEOUT_MS, 0));
    let choose = |exchange: &Exchange| {
        let admission = turn(&turns, exchange).admission(exchange);
        balance::choose(&view, "s", &[], admission.as_ref(), Instant::now()).choice
    };
    server.record_answer(Duration::from_millis(60), false);
    assert!(matches!(choose(&urgent), Choice::Send(..)));
    assert!(matches!(choose(&batch), Choice::Send(..)));
    (0..40).for_each(|_| server.record_answer(Duration::from_millis(900), false));
    assert!(matches!(choose(&batch), Choice::Busy(_)));
    assert!(matches!(choose(&urgent), Choice::Send(..)));
}

/// A third of the entries are killed in a burst. Their requests run on for a while, so the parts of a
/// group's room must not grow for those that stay.
#[tokio::test(start_paused = true)]
async fn entries_counted_while_they_leave() {
    let window = Duration::from_secs(10);
    let budget = RetryBudget::new(Allowance { ratio: 0.2, slack: 0.0, window }, "a");
    let age = Some(Duration::ZERO);
    budget.observe_entries(["a", "b", "c"], age, Instant::now());
    advance(Duration::from_secs(1)).await;
    budget.observe_entries(["a", "b"], age, Instant::now());
    assert_eq!(budget.entries(), 3);
    advance(Duration::from_secs(60)).await;
    budget.observe_entries(["a", "b"], age, Instant::now());
    assert_eq!(budget.entries(), 2);
}

/// All routes of a service have one priority, and so have all workspaces. Servers must get no level,
/// or their order would change; and a route of another service changes nothing.
#[test]
fn levels_one_rank_none() {
    let route = |service: &str, priority| {
        let splits = vec![Split { service: service.to_owned(), weight: 1 }];
        Arc::new(Route { splits, priority, ..Route::default() })
    };
    let routes = [("/a/", route("s", 2)), ("/b/", route("s", 2)), ("/c/", route("t", 0))];
    let routes = routes.into_iter().map(|(path, route)| (path.to_owned(), route)).collect();
    let workspace = |priority| {
        let name = "w".to_owned();
        Arc::new(Workspace { name, priority, home_regions: Vec::new() })
    };
    let mut configuration = Configuration {
        routes: HashMap::from([("h".to_owned(), routes)]),
        workspaces: Some(HashMap::from([("k".to_owned(), workspace(Some(1)))])),
        ..Configuration::default()
    };
    let level =
        |configuration: &Configuration, own| levels(configuration)["s"].level(Rank::new(own, 2));
    assert_eq!(level(&configuration, Some(1)), None);
    let workspaces = configuration.workspaces.as_mut().unwrap();
    workspaces.insert("l".to_owned(), workspace(None));
    assert_eq!(level(&configuration, Some(1)), Some(0));
    assert_eq!(level(&configuration, None), Some(1));
}

//! Parts of an entry that need no connections.

use flamingowheel_fleet::BackendServer;
use flamingowheel_gateway::balance::{self, Choice};
use flamingowheel_gateway::breaker::CircuitBreakers;
use flamingowheel_gateway::budget::RetryBudget;
use flamingowheel_gateway::events::EventSplitter;
use flamingowheel_gateway::group::{Admission, GroupLoad, GroupRank};
use flamingowheel_gateway::refusal::Refusal;
use flamingowheel_gateway::server::Server;
use flamingowheel_gateway::view::View;
use flamingowheel_platform::Stated;
use flamingowheel_policy::batch::PassModel;
use flamingowheel_policy::claim::StoredClaim;
use flamingowheel_policy::passes::{limit_ms, retry_after_ms};
use flamingowheel_policy::quota::{Allowance, Urgency};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, advance};

const ALLOWANCE: Allowance = Allowance { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) };

#[test]
fn push_event_in_pieces() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(b"id: 1\nda").unwrap().is_empty());
    assert!(splitter.push(b"ta: x\n").unwrap().is_empty());
    assert_eq!(&splitter.push(b"\nid: 2\n").unwrap()[..], b"id: 1\ndata: x\n\n");
    assert_eq!(splitter.last_id(), Some(1));
}

/// A backend server dies in the middle of an event, and the stream resumes at another one after the
/// last complete event. The incomplete event must not precede the resumed stream.
#[test]
fn discard_pending_incomplete_event() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b").unwrap();
    splitter.discard_pending();
    let next = splitter.push(b"id: 2\ndata: b\n\n").unwrap();
    assert_eq!(&next[..], b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id(), Some(2));
}

// Lines may end with a carriage return alone. Such events were held back until the end of the stream.
#[test]
fn push_carriage_returns_alone() {
    let mut splitter = EventSplitter::default();
    let events = b"id: 7\rdata: a\r\r";
    assert_eq!(&splitter.push(events).unwrap()[..], events);
    assert_eq!(splitter.last_id(), Some(7));
}

#[test]
fn push_carriage_returns() {
    let mut splitter = EventSplitter::default();
    assert_eq!(
        &splitter.push(b"id: 7\r\ndata: a\r\n\r\n").unwrap()[..],
        b"id: 7\r\ndata: a\r\n\r\n"
    );
    assert_eq!(splitter.last_id(), Some(7));
}

/// An entry that has been listed with others for a long time.
fn listed_budget(entries: &[&str], own: &str, now: Instant) -> Arc<RetryBudget> {
    let budget = Arc::new(RetryBudget::new(ALLOWANCE, own));
    for at in [Duration::ZERO, LISTED_TIME] {
        budget.observe_entries(entries.iter().copied(), Some(Duration::ZERO), now + at);
    }
    let all = StoredClaim { claimed: 1.0, entries: entries.len() };
    budget.begin_claim(None, all, now);
    budget
}

// Guards against retries that a process which has just started spends on one unknown server after the
// other.
#[test]
fn choose_retry_known_server_preferred() {
    let server = |port: u16| {
        Arc::new(Server::new(BackendServer {
            id: format!("s-{port}"),
            service: "s".to_owned(),
            address: ([127, 0, 0, 1], port).into(),
            data_centre: "z".to_owned(),
            slots: 4,
            is_draining: false,
            started_ms: 1,
            cold_left_ms: 0,
        }))
    };
    let servers: Vec<Arc<Server>> = (1..=8).map(server).collect();
    servers[7].record_answer(Duration::from_millis(50), false);
    let mut view = View::default();
    view.servers.insert("s".to_owned(), servers.clone());
    let chosen =
        |tried: &[Arc<Server>]| match balance::choose(&view, "s", tried, None, Instant::now())
            .choice
        {
            Choice::Send(server, _) => server.listed.id.clone(),
            other => panic!("{other:?}"),
        };
    assert_ne!(chosen(&[]), "s-8");
    assert_eq!(chosen(&servers[..1]), "s-8");
}

/// Time after which an entry may use its whole part of the constant.
const LISTED_TIME: Duration = Duration::from_secs(30);

/// Many entries retry refused requests at the same time. The total must stay within the
/// deployment's allowance, without communication between them.
#[test]
fn try_acquire_all_entries_within_allowance() {
    const ENTRIES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
    const REQUESTS: u32 = 100;
    let start = Instant::now();
    let now = start + LISTED_TIME;
    let mut permits = Vec::new();
    for own in ENTRIES {
        let budget = listed_budget(&ENTRIES, own, start);
        (0..REQUESTS).for_each(|_| budget.record_request("s", now));
        let tries = (0..1_000).map(|_| budget.try_acquire("s", Urgency::Second, now));
        permits.extend(tries.filter_map(Result::ok));
    }
    let allowed = ALLOWANCE.ratio * f64::from(REQUESTS) * ENTRIES.len() as f64 + ALLOWANCE.slack;
    let acquired = permits.len();
    assert!(acquired > 0 && (acquired as f64) <= allowed, "{acquired} of {allowed}");
}

/// What was spent in a window is not there a second time before the window ends, and is after it.
#[tokio::test(start_paused = true)]
async fn try_acquire_after_window() {
    let budget = listed_budget(&["a"], "a", Instant::now());
    advance(LISTED_TIME).await;
    let spend = || {
        let now = Instant::now();
        budget.observe_entries(["a"], Some(Duration::ZERO), now);
        let tries = (0..1_000).map(|_| budget.try_acquire("s", Urgency::Second, now));
        tries.map_while(Result::ok).count()
    };
    let spent = spend();
    assert!(spent > 0 && spent as f64 <= ALLOWANCE.slack, "{spent}");
    advance(Duration::from_secs(9)).await;
    assert_eq!(spend(), 0);
    advance(Duration::from_secs(2)).await;
    assert_eq!(spend(), spent);
}

/// After a power failure all servers refuse for a second. If every request tried them, the retry
/// budget would be used up before they are back.
#[test]
fn try_acquire_open_breaker() {
    let mut breakers = CircuitBreakers::default();
    let now = Instant::now();
    (0..5).for_each(|_| breakers.record_refusal("s"));
    let acquired = (0..100).filter(|_| breakers.try_acquire("s", now)).count();
    assert_eq!(acquired, 1);
    assert!(breakers.try_acquire("s", now + Duration::from_millis(100)));
    assert!(breakers.try_acquire("other", now));
}

const GOAL_MS: f64 = 120.0;

/// A view of two groups with a rank each.
fn two_groups() -> (View, [Arc<GroupLoad>; 2]) {
    let groups = [Arc::new(GroupLoad::default()), Arc::new(GroupLoad::default())];
    let mut view = View::default();
    for (port, group) in (9_000..).zip(&groups) {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let server = Server::new(BackendServer {
            id: format!("s-{port}"),
            service: "s".to_owned(),
            address,
            data_centre: "d".to_owned(),
            slots: 12,
            is_draining: false,
            started_ms: 1,
            cold_left_ms: 0,
        });
        view.servers.entry("s".to_owned()).or_default().push(Arc::new(server));
        view.group_ranks.insert(
            address,
            GroupRank { group: Arc::clone(group), rank: 0, pace: 1.0, is_away: false },
        );
    }
    (view, groups)
}

fn choose_within(view: &View, pass_limit_ms: f64, now: Instant) -> Choice {
    let admission =
        Admission { pass_limit_ms, pause_goal_ms: GOAL_MS, draw: 0.5, cut: 0.0, caution: 0.0 };
    balance::choose(view, "s", &[], Some(&admission), now).choice
}

/// One group's streams have long pauses. A new request must go to the other group; otherwise the
/// streams in progress would miss their goal.
#[test]
fn choose_group_within_limit() {
    let (view, [full, idle]) = two_groups();
    let now = Instant::now();
    let limit_ms = limit_ms(GOAL_MS, false, 0.5);
    full.record_pause(limit_ms + 10.0, now);
    idle.record_pause(limit_ms - 10.0, now);
    let Choice::Send(server, _) = choose_within(&view, limit_ms, now) else {
        panic!("one group has room");
    };
    assert_eq!(server.listed.id, "s-9001");
}

/// Every group's streams have long pauses, so a further request would make them miss their goal. It
/// must be refused at once with a status that means "not run" and a time for the retry.
#[test]
fn choose_all_groups_over_limit() {
    let (view, groups) = two_groups();
    let now = Instant::now();
    let limit_ms = limit_ms(GOAL_MS, false, 0.5);
    groups.iter().for_each(|group| group.record_pause(limit_ms + 20.0, now));
    let Choice::Busy(fullness) = choose_within(&view, limit_ms, now) else {
        panic!("no group has room");
    };
    let retry_after_ms = retry_after_ms(fullness.crowding, fullness.pass_ms, 0.5);
    let refusal = Refusal::Busy { retry_after_ms };
    assert_eq!(refusal.status(), http::StatusCode::SERVICE_UNAVAILABLE);
    assert!(refusal.retry_after_ms().is_some_and(|wait_ms| wait_ms >= 200));
}

/// Passes were long while this entry had ten requests in the group, and are short now. A further
/// request must still be refused: with the next shift of demand, passes become as long again.
#[test]
fn choose_group_full_by_number() {
    let (_, [group, _]) = two_groups();
    let model = PassModel { fixed_ms: 18.0, per_request_ms: 2.0, expert_share: 0.85 };
    let requests: Vec<_> = (0..10).map(|_| group.begin()).collect();
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    group.set_model(model);
    (0..60).for_each(|pass| group.record_pause(100.0, at(pass * 100)));
    (60..80).for_each(|pass| group.record_pause(40.0, at(pass * 100)));
    let admission = Admission {
        pass_limit_ms: GOAL_MS,
        pause_goal_ms: GOAL_MS,
        draw: 0.0,
        cut: 0.0,
        caution: 0.0,
    };
    assert!(group.fullness(&admission, at(8_000)).is_full());
    drop(requests);
    assert!(!group.fullness(&admission, at(8_000)).is_full());
}

/// The VM beside an engine stalls: connections to it open, but nothing comes back. Since it has the
/// fewest requests in flight, every entry would send it the next one. Those callers would wait
/// until they give up, and the engine would get their requests seconds after that.
#[tokio::test(start_paused = true)]
async fn choose_silent_server_avoided() {
    let (mut view, [group, _]) = two_groups();
    view.group_ranks.values_mut().for_each(|group_rank| group_rank.group = Arc::clone(&group));
    let servers = view.servers_of("s").to_vec();
    let _unanswered = servers[0].begin(Some(&group));
    let _answering: Vec<_> = (0..3).map(|_| servers[1].begin(Some(&group))).collect();
    for _ in 0..3 {
        tokio::time::advance(Duration::from_millis(500)).await;
        servers[1].record_answer(Duration::from_millis(180), false);
    }
    let Choice::Send(server, _) = choose_within(&view, GOAL_MS, Instant::now()) else {
        panic!("one server answers");
    };
    assert_eq!(server.listed.id, servers[1].listed.id);
}

/// Passes that were observed a second ago must not count: the group may be empty by now.
#[test]
fn choose_old_passes_ignored() {
    let (view, groups) = two_groups();
    let now = Instant::now();
    groups.iter().for_each(|group| group.record_pause(GOAL_MS * 2.0, now));
    let later = now + Duration::from_secs(1);
    assert!(matches!(choose_within(&view, GOAL_MS, later), Choice::Send(..)));
}

/// A stream that resumes after its server failed was admitted before and must not be refused.
#[test]
fn choose_without_limit_never_busy() {
    let (view, groups) = two_groups();
    let now = Instant::now();
    groups.iter().for_each(|group| group.record_pause(GOAL_MS * 2.0, now));
    assert!(matches!(balance::choose(&view, "s", &[], None, now).choice, Choice::Send(..)));
}

/// A rank of a group rests, leaves, or is limited without a permit. Requests go to another rank, and
/// once no rank takes any they are held back rather than sent as a last resort.
#[test]
fn choose_rank_in_need_passed_over() {
    let need: [fn(&Server, Instant); 3] = [
        |server, now| server.record_rest(Duration::from_secs(3), 0.0, now),
        |server, _| _ = server.record_leaving(),
        |server, now| _ = server.record_limit(&Stated::Value(1.0), now, now),
    ];
    for need in need {
        let (view, _) = two_groups();
        let servers = view.servers_of("s");
        let now = Instant::now();
        need(&servers[0], now);
        for _ in 0..20 {
            let Choice::Send(server, _) = choose_within(&view, GOAL_MS, now) else {
                panic!("one rank takes requests");
            };
            assert_eq!(server.listed.id, servers[1].listed.id);
        }
        need(&servers[1], now);
        let choice = choose_within(&view, GOAL_MS, now);
        assert!(matches!(choice, Choice::Held(_) | Choice::NoServer), "{choice:?}");
    }
}

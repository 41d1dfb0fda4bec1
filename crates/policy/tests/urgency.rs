//! Who goes first while a service is short of room.

use flamingowheel_policy::key::WorkspaceKey;
use flamingowheel_policy::priority::{Levels, Rank};
use flamingowheel_policy::urgency::{Arrival, Demand, GivesWay};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const URGENT: Rank = rank(0);
const BATCH: Rank = rank(2);

const fn rank(route: u32) -> Rank {
    Rank::of_route(route)
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn arrival(rank: Rank, workspace: u64, draw: f64) -> Arrival {
    Arrival { rank, workspace: Some(WorkspaceKey(workspace)), is_early: false, draw }
}

/// A burst of batch work, with a few urgent requests among it: the limit of the urgent ones must stay,
/// or they would be refused for what can wait.
#[test]
fn arrive_batch_burst_gives_way() {
    let mut demand = Demand::default();
    for request in 0..200 {
        let rank = if request % 5 == 0 { URGENT } else { BATCH };
        let standing = demand.arrive(&arrival(rank, request % 24, 0.5), at(request * 10));
        demand.settle(rank, true, at(request * 10));
        if request > 10 {
            assert_eq!(standing.cut > 0.0, rank == BATCH, "request {request}");
        }
    }
}

/// The urgent callers have gone. The room must be lent to the others, or it would stay empty.
#[test]
fn arrive_urgent_gone_room_lent() {
    let mut demand = Demand::default();
    (0..50).for_each(|request| _ = demand.arrive(&arrival(URGENT, request, 0.5), at(request * 20)));
    assert!(demand.arrive(&arrival(BATCH, 1, 0.5), at(1_000)).cut > 0.0);
    let mut last = 1.0;
    for request in 0..400 {
        last = demand.arrive(&arrival(BATCH, request % 24, 0.5), at(1_000 + request * 50)).cut;
    }
    assert_eq!(last, 0.0);
}

/// All room is taken by urgent requests for long. The last kind must be let through as if it were
/// urgent for a quarter of what the others get at the least, or its callers never get an answer.
#[test]
fn arrive_last_refused_for_long_has_credit() {
    let mut demand = Demand::default();
    let (mut offered, mut lifted) = (0.0, 0.0);
    for request in 0..1_000 {
        let now = at(request * 20);
        demand.arrive(&arrival(URGENT, 1, 0.5), now);
        demand.settle(URGENT, true, now);
        let standing = demand.arrive(&arrival(BATCH, 2, 0.5), now);
        offered += 1.0;
        if standing.is_on_credit {
            lifted += 1.0;
            assert_eq!(standing.cut, 0.0);
            demand.settle(BATCH, true, now);
        }
    }
    // Half of all are urgent, and all of those are served.
    let served_of_all = (offered + lifted) / (2.0 * offered);
    assert!(lifted / offered >= 0.25 * served_of_all, "{lifted} of {offered}");
    assert!(lifted / offered < 0.5, "{lifted} of {offered}");
}

/// A deployment with one rank of urgency, in which a third is refused: nobody may give way, as there is
/// nobody to give way to, and callers return when the room alone says so.
#[test]
fn arrive_one_rank_as_before() {
    let mut demand = Demand::default();
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for request in 0..6_000 {
        let now = at(request * 10);
        let (workspace, draw) = (rng.random_range(0..24), rng.random());
        let standing = demand.arrive(&arrival(BATCH, workspace, draw), now);
        demand.settle(BATCH, rng.random_bool(0.67), now);
        assert_eq!((standing.cut, standing.gives_way), (0.0, GivesWay::ToNone));
        assert_eq!(demand.return_after(BATCH, at(300), at(80), now), at(300));
    }
}

/// One workspace sends tenfold while half is refused. What it sends above its share must give way,
/// wherever it arrives, and nothing of the others.
#[test]
fn arrive_workspace_tenfold_gives_way() {
    for seed in 0..3 {
        let mut demand = Demand::default();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut loud, mut marked, mut others) = (0.0, 0.0, 0.0);
        let (mut now_ms, mut others_marked) = (0.0, 0.0);
        while now_ms < 30_000.0 {
            let is_burst = now_ms > 22_000.0;
            now_ms += if is_burst { 70.0 } else { 100.0 };
            let is_loud = is_burst && rng.random_bool(9.0 / 33.0);
            let workspace = if is_loud { 0 } else { rng.random_range(0..24) };
            let now = Duration::from_secs_f64(now_ms / 1_000.0);
            let standing = demand.arrive(&arrival(BATCH, workspace, rng.random()), now);
            let gives_way = f64::from(u8::from(standing.gives_way == GivesWay::ToWorkspaces));
            demand.settle(BATCH, !is_burst || rng.random_bool(0.6), now);
            if now_ms > 24_000.0 {
                let is_own = workspace == 0;
                let (count, sum) = if is_own {
                    (&mut loud, &mut marked)
                } else {
                    (&mut others, &mut others_marked)
                };
                *count += 1.0;
                *sum += gives_way;
            }
        }
        assert!(marked / loud > 0.3, "seed {seed}: {marked} of {loud}");
        assert!(others_marked / others < 0.03, "seed {seed}: {others_marked} of {others}");
    }
}

/// A caller comes back at once and often. It must not have a better chance than one that waits.
#[test]
fn arrive_early_return_gives_way() {
    let mut demand = Demand::default();
    demand.arrive(&arrival(URGENT, 1, 0.5), at(0));
    let early = Arrival { is_early: true, ..arrival(URGENT, 1, 0.5) };
    let standing = demand.arrive(&early, at(10));
    assert!(standing.cut > 0.0);
    assert_eq!(standing.gives_way, GivesWay::ToPatient);
}

/// Many are refused at one moment. Urgent callers must return first, and all of them one after the
/// other as places get free, not together.
#[test]
fn return_after_urgent_first_and_spread() {
    let mut demand = Demand::default();
    demand.arrive(&arrival(URGENT, 1, 0.5), at(0));
    demand.arrive(&arrival(BATCH, 1, 0.5), at(0));
    let mut told = |rank| demand.return_after(rank, at(250), at(100), at(1_000));
    let urgent: Vec<Duration> = (0..4).map(|_| told(URGENT)).collect();
    let batch: Vec<Duration> = (0..4).map(|_| told(BATCH)).collect();
    assert_eq!(urgent, [at(250), at(350), at(450), at(550)]);
    assert!(batch[0] > urgent[3]);
    assert!(batch.windows(2).all(|pair| pair[0] < pair[1]));
    assert!((0..100).map(|_| told(BATCH)).all(|wait| wait <= at(2_000)));
}

/// A configuration turns the ranks around amid a burst. The new order must hold at once.
#[test]
fn arrive_priorities_changed_in_burst() {
    let mut demand = Demand::default();
    for request in 0..100 {
        demand.arrive(&arrival(rank(request as u32 % 2), 1, 0.5), at(request * 20));
    }
    let (was_urgent, was_batch) = (rank(7), rank(3));
    for request in 100..400 {
        demand.arrive(&arrival(was_batch, 1, 0.5), at(request * 20));
        demand.arrive(&arrival(was_urgent, 1, 0.5), at(request * 20));
    }
    let urgent_cut = demand.arrive(&arrival(was_batch, 1, 0.5), at(8_001)).cut;
    let batch_cut = demand.arrive(&arrival(was_urgent, 1, 0.5), at(8_001)).cut;
    assert!(urgent_cut < batch_cut / 2.0, "{urgent_cut}, {batch_cut}");
}

/// A workspace has no priority of its own: its route's stands in. All others have the same one, which
/// must not hide the routes' order.
#[test]
fn level_workspace_without_priority() {
    let levels = Levels::new(&[0, 1, 2], &[Some(4), None]);
    let level = |workspace, route| levels.level(Rank::new(workspace, route)).unwrap();
    assert!(level(None, 0) < level(None, 2));
    assert!(level(None, 2) < level(Some(4), 0));
    assert!(level(Some(4), 0) < level(Some(4), 2));
}

/// More ranks than levels: a more urgent rank must never get a level behind a less urgent one.
#[test]
fn level_many_ranks_in_order() {
    let routes: Vec<u32> = (0..40).collect();
    let levels = Levels::new(&routes, &[Some(1)]);
    let of_routes: Vec<u8> =
        (0..40).map(|route| levels.level(Rank::new(Some(1), route)).unwrap()).collect();
    assert!(of_routes.is_sorted());
    assert_eq!((of_routes[0], of_routes[39]), (0, 9));
}

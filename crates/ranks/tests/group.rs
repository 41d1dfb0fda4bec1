//! What a coordinator learns of its group, and when it drops a change.

use flamingowheel_fleet::EngineParameters;
use flamingowheel_policy::experts::Shape;
use flamingowheel_protocol::packed::Packed;
use flamingowheel_protocol::ranks::{ExpertCounts, Map, RankState, RankUpdate};
use flamingowheel_ranks::group::Group;
use flamingowheel_ranks::lookup::ServiceParameters;
use flamingowheel_ranks::peers::PeerUpdate;
use std::net::SocketAddr;

const SHAPE: Shape = Shape { sets: 2, experts: 32, ranks: 4, replicas_per_rank: 12 };

fn state(rank: usize, pass: u64) -> RankState {
    RankState { rank, pass, size: SHAPE.ranks, is_open: true, running: 6, ..RankState::default() }
}

fn group() -> Group {
    let mut group = Group::new(&state(0, 0));
    let engine = EngineParameters {
        expert_sets: SHAPE.sets,
        experts: SHAPE.experts,
        replicas_per_rank: SHAPE.replicas_per_rank,
        max_new_experts: 4,
        ..EngineParameters::default()
    };
    group.parameters = Some(ServiceParameters { engine, pause_goal_ms: 100.0 });
    group
}

/// Experts that the first map puts on rank 0, on rank 1, and nearly the same as those.
const ON_RANK_0: [usize; 4] = [0, 4, 8, 12];
const ON_RANK_1: [usize; 4] = [1, 5, 9, 13];
const MOSTLY_ON_RANK_1: [usize; 4] = [1, 5, 9, 2];

/// Choices of one rank's requests, in which a few experts are liked most.
fn choices(favourites: [usize; 4]) -> ExpertCounts {
    let count = |e: usize| if favourites.contains(&e) { 200 } else { 20 };
    let set: Vec<u32> = (0..SHAPE.experts).map(count).collect();
    ExpertCounts::pack(&[set.clone(), set].concat())
}

/// All ranks tell of a pass under the first map.
fn tell(group: &mut Group, ranks: std::ops::Range<usize>, pass: u64, favourites: [usize; 4]) {
    let map = SHAPE.first_map();
    for rank in ranks {
        let experts: Vec<_> = map.iter().map(|set| set[rank].clone()).collect();
        let updates = [
            RankUpdate::State(state(rank, pass)),
            RankUpdate::Experts { map_version: 0, experts: Packed::pack(&experts).unwrap() },
            RankUpdate::Choices(choices(favourites)),
        ];
        let engine = SocketAddr::from(([127, 0, 0, 1], 9_000 + rank as u16));
        for update in updates {
            group.apply_update(PeerUpdate { engine, data_centre: Some("d".into()), update });
        }
    }
}

fn planned(group: &Group) -> Map {
    group.next_step(&group.states()).expect("the first map is far from even").map
}

/// Demand shifts while ranks copy experts for what was liked before. Finished, that change would
/// keep passes long for another half second.
#[tokio::test(start_paused = true)]
async fn replacement_step_after_shift() {
    let mut group = group();
    tell(&mut group, 0..SHAPE.ranks, 1, ON_RANK_0);
    assert!(group.close_window(), "the first window is a shift");
    let map = planned(&group);
    assert!(group.replacement_step(&map).is_none());
    tell(&mut group, 0..SHAPE.ranks, 2, ON_RANK_1);
    assert!(group.close_window());
    assert!(group.replacement_step(&map).is_some());
}

/// A window looks like a shift once more while the right change is prepared already. Dropped each time,
/// no change would ever be finished, and the group would stay slow for good.
#[tokio::test(start_paused = true)]
async fn replacement_step_none_while_it_helps() {
    let mut group = group();
    tell(&mut group, 0..SHAPE.ranks, 1, ON_RANK_0);
    group.close_window();
    tell(&mut group, 0..SHAPE.ranks, 2, ON_RANK_1);
    group.close_window();
    let map = planned(&group);
    tell(&mut group, 0..SHAPE.ranks, 3, MOSTLY_ON_RANK_1);
    group.close_window();
    assert!(group.replacement_step(&map).is_none());
}

/// Passes take longer than the pause between two looks. What some ranks have told by then is no
/// window of its own: each would look like another demand.
#[tokio::test(start_paused = true)]
async fn close_window_not_within_pass() {
    let mut group = group();
    tell(&mut group, 0..SHAPE.ranks, 1, ON_RANK_0);
    assert!(group.close_window());
    tell(&mut group, 1..3, 1, ON_RANK_1);
    assert!(!group.close_window(), "rank 0 has begun no pass since");
}

//! The coordinator's view of its group, and when it replaces a switch in progress.

use flamingowheel_fleet::EngineParameters;
use flamingowheel_policy::experts::Shape;
use flamingowheel_protocol::packed::Packed;
use flamingowheel_protocol::ranks::{ExpertCounts, Map, Progress, RankState, RankUpdate};
use flamingowheel_ranks::group::Group;
use flamingowheel_ranks::lookup::ServiceParameters;
use flamingowheel_ranks::peers::PeerUpdate;
use flamingowheel_ranks::switch::{MAX_PASSES_AHEAD, next_version};
use std::net::SocketAddr;
use std::time::Duration;

const SHAPE: Shape = Shape { sets: 2, experts: 32, ranks: 4, replicas_per_rank: 12 };

fn state(rank: usize, pass: u64) -> RankState {
    RankState { rank, pass, size: SHAPE.ranks, is_open: true, running: 6, ..RankState::default() }
}

fn group() -> Group {
    group_with_copies_of(0.0)
}

fn group_with_copies_of(copy_ms: f64) -> Group {
    let mut group = Group::new(&state(0, 0));
    let engine = EngineParameters {
        expert_sets: SHAPE.sets,
        experts: SHAPE.experts,
        replicas_per_rank: SHAPE.replicas_per_rank,
        max_new_experts: 4,
        copy_ms,
        ..EngineParameters::default()
    };
    group.parameters = Some(ServiceParameters { engine, pause_goal_ms: 100.0 });
    group
}

/// Experts that the first map places on rank 0, on rank 1, and mostly on rank 1.
const ON_RANK_0: [usize; 4] = [0, 4, 8, 12];
const ON_RANK_1: [usize; 4] = [1, 5, 9, 13];
const MOSTLY_ON_RANK_1: [usize; 4] = [1, 5, 9, 2];

/// Choices of one rank's requests, most of them of a few favourite experts.
fn choices(favourites: [usize; 4]) -> ExpertCounts {
    let count = |e: usize| if favourites.contains(&e) { 200 } else { 20 };
    let set: Vec<u32> = (0..SHAPE.experts).map(count).collect();
    ExpertCounts::pack(&[set.clone(), set].concat())
}

/// Applies the updates of the given ranks for a pass under the first map.
fn apply_pass(group: &mut Group, ranks: std::ops::Range<usize>, pass: u64, favourites: [usize; 4]) {
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

/// Number of copies of the first step after a shift, once a switch took `switch_ms` besides copies.
fn copies_of_step(copy_ms: f64, switch_ms: u64) -> usize {
    let mut group = group_with_copies_of(copy_ms);
    let elapsed = Duration::from_secs_f64(copy_ms / 1_000.0) + Duration::from_millis(switch_ms);
    group.record_switch_time(elapsed, 1);
    apply_pass(&mut group, 0..SHAPE.ranks, 1, ON_RANK_0);
    group.close_window();
    group.next_step(&group.states()).expect("the first map is unbalanced").copies
}

/// Copies take a fraction of a switch. Small steps would leave the group at an uneven map for
/// several switches.
#[tokio::test(start_paused = true)]
async fn next_step_fast_copies() {
    assert!(copies_of_step(36.0, 600) > copies_of_step(36.0, 60));
}

/// Copies take longer than a switch, and the group waits for all copies of a step.
#[tokio::test(start_paused = true)]
async fn next_step_slow_copies() {
    assert_eq!(copies_of_step(400.0, 300), 1);
}

fn planned(group: &Group) -> Map {
    group.next_step(&group.states()).expect("the first map is unbalanced").map
}

/// Demand shifts while ranks copy experts for the previous demand. Finishing that switch would keep
/// passes slow for another half second.
#[tokio::test(start_paused = true)]
async fn replacement_step_after_shift() {
    let mut group = group();
    apply_pass(&mut group, 0..SHAPE.ranks, 1, ON_RANK_0);
    assert!(group.close_window(), "the first window is a shift");
    let map = planned(&group);
    assert!(group.replacement_step(&map).is_none());
    apply_pass(&mut group, 0..SHAPE.ranks, 2, ON_RANK_1);
    assert!(group.close_window());
    assert!(group.replacement_step(&map).is_some());
}

/// A window looks like another shift while a suitable switch is already being prepared. If it were
/// dropped each time, no switch would ever finish, and the group would stay slow permanently.
#[tokio::test(start_paused = true)]
async fn replacement_step_none_while_it_helps() {
    let mut group = group();
    apply_pass(&mut group, 0..SHAPE.ranks, 1, ON_RANK_0);
    group.close_window();
    apply_pass(&mut group, 0..SHAPE.ranks, 2, ON_RANK_1);
    group.close_window();
    let map = planned(&group);
    apply_pass(&mut group, 0..SHAPE.ranks, 3, MOSTLY_ON_RANK_1);
    group.close_window();
    assert!(group.replacement_step(&map).is_none());
}

/// Passes take longer than the interval between windows. The choices of only some ranks must not
/// form a window: each would look like a shift of demand.
#[tokio::test(start_paused = true)]
async fn close_window_not_within_pass() {
    let mut group = group();
    apply_pass(&mut group, 0..SHAPE.ranks, 1, ON_RANK_0);
    assert!(group.close_window());
    apply_pass(&mut group, 1..3, 1, ON_RANK_1);
    assert!(!group.close_window(), "rank 0 has started no pass since");
}

/// A coordinator starts in the middle of an epoch. Orders of an earlier one may name passes that
/// have not started; a late one would take effect among those of the next switch.
#[tokio::test(start_paused = true)]
async fn has_started_named_passes_earlier_coordinator() {
    let mut group = Group::new(&state(0, 20));
    apply_pass(&mut group, 0..SHAPE.ranks, 20 + MAX_PASSES_AHEAD - 1, ON_RANK_0);
    assert!(!group.has_started_named_passes());
    apply_pass(&mut group, 0..SHAPE.ranks, 20 + MAX_PASSES_AHEAD, ON_RANK_0);
    assert!(group.has_started_named_passes());
}

/// A held pass was given up and has not started: the group has no requests.
#[tokio::test(start_paused = true)]
async fn has_started_named_passes_held_pass() {
    let mut group = group();
    apply_pass(&mut group, 0..SHAPE.ranks, 50, ON_RANK_0);
    group.record_named_pass(53);
    assert!(!group.has_started_named_passes());
    apply_pass(&mut group, 0..SHAPE.ranks, 53, ON_RANK_0);
    assert!(group.has_started_named_passes());
}

/// The group forms again while this process coordinates it: no other process has sent orders in the
/// new epoch, so the first switch need not wait.
#[tokio::test(start_paused = true)]
async fn has_started_named_passes_new_epoch() {
    let mut group = group();
    group.record_named_pass(53);
    let formed = RankState { epoch: 1, ..state(0, 0) };
    let engine = SocketAddr::from(([127, 0, 0, 1], 9_000));
    let update = RankUpdate::State(formed);
    group.apply_update(PeerUpdate { engine, data_centre: Some("d".into()), update });
    assert!(group.has_started_named_passes());
}

/// Reports that another rank's agent passes on from an engine in trouble.
fn odd_states() -> Vec<RankState> {
    let sound = state(3, 1);
    let with = |change: &dyn Fn(&mut RankState)| {
        let mut odd = sound.clone();
        change(&mut odd);
        odd
    };
    vec![
        with(&|odd| odd.size = usize::MAX),
        with(&|odd| odd.size = 0),
        with(&|odd| odd.rank = usize::MAX),
        with(&|odd| odd.pass = u64::MAX),
        with(&|odd| odd.map_version = u64::MAX),
        with(&|odd| odd.prepared_version = Some(u64::MAX)),
        with(&|odd| odd.armed = Some((u64::MAX, u64::MAX))),
        with(&|odd| odd.held_pass = Some(u64::MAX)),
        with(&|odd| (odd.running, odd.waiting) = (u32::MAX, u32::MAX)),
        with(&|odd| odd.pace = f64::NAN),
        with(&|odd| odd.pace = f64::INFINITY),
        with(&|odd| odd.pace = -1.0),
        with(&|odd| odd.pace = 1e308),
    ]
}

/// Everything that a coordinator computes from its group.
fn compute_all(group: &mut Group) {
    let states = group.states();
    group.close_window();
    drop(group.next_step(&states));
    drop(group.map_in_use(&states));
    drop(group.fresh_states(tokio::time::Instant::now()));
    drop(group.record());
    drop(group.status());
    drop(group.engines_without_agent(SocketAddr::from(([127, 0, 0, 1], 9_000))));
    drop(group.assignment(SocketAddr::from(([127, 0, 0, 1], 9_000)), 1, 1_000_000));
    assert!(next_version(&states, 0, 1) < u64::MAX / 2);
    assert!(group.passes_ahead() <= MAX_PASSES_AHEAD);
}

fn apply(group: &mut Group, rank: usize, update: RankUpdate) {
    let engine = SocketAddr::from(([127, 0, 0, 1], 9_000 + rank as u16));
    group.apply_update(PeerUpdate { engine, data_centre: Some("d".into()), update });
}

/// One agent's report holds a number that is too large. The coordinator must not end, and goes on once
/// the report is sound.
#[tokio::test(start_paused = true)]
async fn apply_update_odd_state_others_followed() {
    for odd in odd_states() {
        let mut group = group();
        apply_pass(&mut group, 0..SHAPE.ranks, 1, ON_RANK_0);
        let shown = format!("{odd:?}");
        apply(&mut group, 3, RankUpdate::State(odd.clone()));
        let RankState { pass, running, waiting, pace, .. } = odd;
        apply(&mut group, 3, RankUpdate::Progress(Progress { pass, running, waiting, pace }));
        compute_all(&mut group);
        apply_pass(&mut group, 0..SHAPE.ranks, 2, ON_RANK_0);
        group.close_window();
        assert!(group.next_step(&group.states()).is_some(), "{shown}");
    }
}

/// A list of experts, or of choices, has an entry that no map has.
#[tokio::test(start_paused = true)]
async fn apply_update_odd_lists_others_followed() {
    let lists: [Vec<Vec<u16>>; 4] =
        [vec![vec![u16::MAX]; 2], vec![vec![32]; 2], vec![Vec::new(); 2], vec![vec![0]; 9]];
    for list in lists {
        let mut group = group();
        apply_pass(&mut group, 0..SHAPE.ranks, 1, ON_RANK_0);
        let experts = Packed::pack(&list).unwrap();
        apply(&mut group, 3, RankUpdate::Experts { map_version: 0, experts });
        compute_all(&mut group);
        for choices in [ExpertCounts::pack(&[u32::MAX; 7]), ExpertCounts::pack(&[u32::MAX; 64])] {
            apply(&mut group, 3, RankUpdate::Choices(choices));
            compute_all(&mut group);
        }
        // The mean of demand follows the sound choices.
        for pass in 2..10 {
            apply_pass(&mut group, 0..SHAPE.ranks, pass, ON_RANK_0);
            group.close_window();
        }
        assert!(group.next_step(&group.states()).is_some(), "{list:?}");
    }
}

/// The group forms again with more ranks than before. What is known of its demand is for other
/// dimensions.
#[tokio::test(start_paused = true)]
async fn next_step_group_grown() {
    let mut group = group();
    apply_pass(&mut group, 0..SHAPE.ranks, 1, ON_RANK_0);
    group.close_window();
    let size = SHAPE.ranks + 2;
    let map = Shape { ranks: size, ..SHAPE }.first_map();
    for rank in 0..size {
        let formed = RankState { epoch: 1, size, ..state(rank, 2) };
        apply(&mut group, rank, RankUpdate::State(formed));
        let experts: Vec<_> = map.iter().map(|set| set[rank].clone()).collect();
        let experts = Packed::pack(&experts).unwrap();
        apply(&mut group, rank, RankUpdate::Experts { map_version: 0, experts });
        apply(&mut group, rank, RankUpdate::Choices(choices(ON_RANK_0)));
    }
    compute_all(&mut group);
    assert!(group.next_step(&group.states()).is_some());
}

//! Liveness of a group's ranks and agents.

use flamingowheel_protocol::ranks::{Progress, RankState, RankUpdate};
use flamingowheel_ranks::group::Group;
use flamingowheel_ranks::peers::PeerUpdate;
use flamingowheel_ranks::remote::MAX_REMOTE_RANKS;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::advance;

const SIZE: usize = 24;

/// Longer than the interval between two updates of a live agent.
const SILENCE: Duration = Duration::from_millis(1_200);

fn engine(rank: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, rank as u8 + 1], 8_000))
}

fn state(rank: usize) -> RankState {
    RankState { group: "g".to_owned(), rank, size: SIZE, is_open: true, ..RankState::default() }
}

fn update(group: &mut Group, rank: usize, update: RankUpdate) {
    let data_centre = Some("d".into());
    group.apply_update(PeerUpdate { engine: engine(rank), data_centre, update });
}

/// A group that has the state of all ranks.
fn group() -> Group {
    let mut group = Group::new(&state(0));
    (0..SIZE).for_each(|rank| update(&mut group, rank, RankUpdate::State(state(rank))));
    group
}

/// Lets time pass in which all other ranks report progress.
async fn run_without(group: &mut Group, silent: &[usize]) {
    advance(SILENCE).await;
    for rank in (0..SIZE).filter(|rank| !silent.contains(rank)) {
        let progress = Progress { pass: 5, running: 2, waiting: 1, pace: 1.0 };
        update(group, rank, RankUpdate::Progress(progress));
    }
}

/// An agent dies while its engine lives. Unless that engine is polled remotely, the states are never
/// complete, and the group keeps its map until the agent is back.
#[tokio::test(start_paused = true)]
async fn engines_without_agent_one_silent() {
    let mut group = group();
    run_without(&mut group, &[7]).await;
    assert_eq!(group.engines_without_agent(engine(0)), [engine(7)]);
    update(&mut group, 7, RankUpdate::State(state(7)));
    assert!(group.engines_without_agent(engine(0)).is_empty());
}

/// Half of the agents are away. Sending complete maps to all their engines would occupy the
/// coordinator's link for seconds.
#[tokio::test(start_paused = true)]
async fn engines_without_agent_too_many() {
    let mut group = group();
    let silent: Vec<usize> = (1..=MAX_REMOTE_RANKS + 1).collect();
    run_without(&mut group, &silent).await;
    assert!(group.engines_without_agent(engine(0)).is_empty());
}

/// The agent that would issue the hold is away: the hold would never arrive, and the switch would be
/// given up.
#[tokio::test(start_paused = true)]
async fn hold_issuer_silent_passed_over() {
    let mut group = group();
    assert_eq!(group.hold_issuer(), 1);
    run_without(&mut group, &[1, 2]).await;
    assert_eq!(group.hold_issuer(), 3);
}

/// A VM stalls. Entries keep sending requests to its rank unless it is reported as silent.
#[tokio::test(start_paused = true)]
async fn status_silent_rank() {
    let mut group = group();
    assert!(group.status().silent.is_empty());
    run_without(&mut group, &[4]).await;
    assert_eq!(group.status().silent, [4]);
    let away: Vec<bool> = group.record().ranks.iter().map(|rank| rank.is_away).collect();
    assert!(away[4] && away.iter().filter(|away| **away).count() == 1);
}

/// The coordinator's VM is partitioned from most others. If these were reported as silent, entries
/// would send all requests to the few remaining ranks.
#[tokio::test(start_paused = true)]
async fn status_most_silent_none_reported() {
    let mut group = group();
    let silent: Vec<usize> = (3..SIZE).collect();
    run_without(&mut group, &silent).await;
    assert!(group.status().silent.is_empty());
    assert!(group.record().ranks.iter().all(|rank| !rank.is_away));
}

/// All processes were restarted, and the group opens with its first map. If its long passes counted
/// only in part at first, the planner would take the group for idle and stop at an uneven map.
#[tokio::test(start_paused = true)]
async fn status_first_passes_count() {
    let mut group = Group::new(&state(0));
    for pass in 1..=3 {
        let busy = RankState { pass, running: 8, ..state(0) };
        update(&mut group, 0, RankUpdate::State(busy));
        advance(Duration::from_millis(150)).await;
    }
    assert!((group.status().pass_ms - 150.0).abs() < 5.0, "{}", group.status().pass_ms);
}

/// Backend servers of a service form several groups, and an engine may come back as a rank of another
/// group.
#[tokio::test(start_paused = true)]
async fn apply_update_state_of_other_group() {
    let mut group = group();
    let other = RankState { group: "other".to_owned(), ..state(5) };
    update(&mut group, 5, RankUpdate::State(other));
    assert_eq!(group.states().len(), SIZE - 1);
    assert!(group.engines_without_agent(engine(0)).is_empty());
}

//! The state machine of a map switch, and how switches end.

use flamingowheel_protocol::ranks::{RankState, RankTarget};
use flamingowheel_ranks::outcome::{Outcome, is_fence, outcome};
use flamingowheel_ranks::switch::{
    FIRST_PASSES_AHEAD, Preparing, Switch, next_fence_version, next_version,
};
use std::net::SocketAddr;

const EPOCH: u64 = 3;
const VERSION: u64 = 70;

fn ranks(count: usize) -> Vec<RankState> {
    let rank =
        |rank| RankState { epoch: EPOCH, rank, size: count, pass: 10, ..RankState::default() };
    (0..count).map(rank).collect()
}

fn engines(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|port| SocketAddr::from(([127, 0, 0, 1], 1_000 + port as u16))).collect()
}

fn preparing() -> Switch<Preparing> {
    Switch::new(EPOCH, VERSION, vec![vec![vec![0], vec![1]]], engines(2))
}

fn prepared(ranks: &mut [RankState]) {
    ranks.iter_mut().for_each(|rank| rank.prepared_version = Some(VERSION));
}

#[test]
fn switch_all_phases() {
    let mut ranks = ranks(2);
    prepared(&mut ranks);
    let holding = preparing().advance(&ranks, FIRST_PASSES_AHEAD).unwrap();
    let pass = holding.pass();
    assert!(pass > 10, "the pass must not have started");
    let arming = holding.held().committed();
    ranks.iter_mut().for_each(|rank| rank.armed = Some((VERSION, pass)));
    let releasing = arming.advance(&ranks, 2).unwrap();
    assert_eq!(releasing.pass(), pass);
    let released = releasing.released();
    assert!(!released.is_done(&ranks));
    for rank in &mut ranks {
        (rank.armed, rank.map_version) = (None, VERSION);
    }
    assert!(released.is_done(&ranks));
}

/// One rank left its order unanswered and has not copied its experts. If the others were armed
/// anyway, they would use the new map without it, and answers would be computed from two maps.
#[test]
fn switch_unprepared_rank_waits() {
    let mut ranks = ranks(2);
    ranks[0].prepared_version = Some(VERSION);
    assert!(preparing().advance(&ranks, FIRST_PASSES_AHEAD).is_err());
}

/// All ranks but one are armed; its arm order is still in flight. If the pass were released now, it
/// could start with two maps.
#[test]
fn switch_unarmed_rank_keeps_hold() {
    let mut ranks = ranks(3);
    prepared(&mut ranks);
    let holding = preparing().advance(&ranks, FIRST_PASSES_AHEAD).unwrap();
    let pass = holding.pass();
    ranks[0].armed = Some((VERSION, pass));
    ranks[1].armed = Some((VERSION, pass));
    ranks[2].armed = Some((VERSION, pass + 1));
    assert!(holding.held().committed().advance(&ranks, 3).is_err());
}

/// A rank's agent is lost and its state forgotten while ranks are armed. If the pass were released
/// on the states of the others, it could start without that rank's new map.
#[test]
fn switch_unknown_rank_keeps_hold() {
    let mut ranks = ranks(3);
    prepared(&mut ranks);
    let holding = preparing().advance(&ranks, FIRST_PASSES_AHEAD).unwrap();
    let pass = holding.pass();
    ranks.iter_mut().for_each(|rank| rank.armed = Some((VERSION, pass)));
    ranks.pop();
    assert!(holding.held().committed().advance(&ranks, 3).is_err());
}

/// The hold arrives after its pass has started. The new pass must be a later one, so that a late
/// copy of the old hold is refused.
#[test]
fn switch_late_hold_takes_later_pass() {
    let mut ranks = ranks(2);
    prepared(&mut ranks);
    let holding = preparing().advance(&ranks, FIRST_PASSES_AHEAD).unwrap();
    let first = holding.pass();
    let next = holding.postpone(&ranks, first + 4, FIRST_PASSES_AHEAD).pass();
    assert!(next > first + 4, "{next}");
}

/// The coordinator freezes after arming, and another rank's agent releases the pass. When it
/// resumes, the coordinator must treat the switch as done instead of waiting for ranks to be armed.
#[test]
fn switch_finished_by_others() {
    let mut ranks = ranks(2);
    prepared(&mut ranks);
    let holding = preparing().advance(&ranks, FIRST_PASSES_AHEAD).unwrap();
    let arming = holding.held().committed();
    ranks.iter_mut().for_each(|rank| rank.map_version = VERSION);
    assert!(arming.advance(&ranks, 2).is_ok());
}

#[test]
fn target_names_engines_for_others() {
    let RankTarget::Prepared { engines: named, version, .. } = preparing().target() else {
        panic!("a switch starts with preparing the map");
    };
    assert_eq!((named.len(), version), (2, VERSION));
}

/// A coordinator fails after rank 0 was armed. Others may be armed too, so the only safe action is to
/// arm them all, also if the hold is not reported.
#[test]
fn outcome_rank_0_armed_committed() {
    let mut first = ranks(2).remove(0);
    first.prepared_version = Some(VERSION);
    first.armed = Some((VERSION, 14));
    let committed = Some(Outcome::Committed { version: VERSION, pass: 14 });
    assert_eq!(outcome(&first), committed);
    first.held_pass = Some(14);
    assert_eq!(outcome(&first), committed);
}

/// A coordinator fails right after its hold. An order to arm rank 0 may be on its way, so the pass
/// must not be released unarmed before rank 0 refuses that order.
#[test]
fn outcome_held_and_prepared_open() {
    let mut first = ranks(2).remove(0);
    first.prepared_version = Some(VERSION);
    first.held_pass = Some(14);
    assert_eq!(outcome(&first), Some(Outcome::Open { version: VERSION, pass: 14 }));
}

/// Rank 0 is fenced, has nothing prepared, or still reports the version in use as prepared: no rank
/// is or will be armed, and the group must not wait for it.
#[test]
fn outcome_never_armed_abandoned() {
    for prepared_version in [Some(VERSION + 1), None, Some(VERSION)] {
        let mut first = ranks(2).remove(0);
        first.map_version = VERSION;
        first.prepared_version = prepared_version;
        first.held_pass = Some(14);
        assert_eq!(outcome(&first), Some(Outcome::Abandoned { pass: 14 }), "{prepared_version:?}");
    }
}

#[test]
fn outcome_neither_held_nor_armed() {
    let mut first = ranks(2).remove(0);
    assert_eq!(outcome(&first), None);
    first.prepared_version = Some(VERSION);
    assert_eq!(outcome(&first), None);
}

/// A version that a map gets must never count as a fence, or the other way round.
#[test]
fn next_version_parity() {
    for spread in 1..9 {
        let version = next_version(&ranks(2), 900, spread);
        let fence = next_fence_version(&ranks(2), 900, spread);
        assert!(!is_fence(version) && is_fence(fence), "{version} {fence}");
        assert!(version > 900 && fence > 900);
    }
}

/// A switch is given up while ranks copy its experts, before any rank has reported its version. If
/// the next switch had a lower version, all ranks would refuse it, and passes would stay slow for
/// another second and a half.
#[test]
fn next_version_above_dropped() {
    let mut ranks = ranks(2);
    ranks.iter_mut().for_each(|rank| rank.map_version = VERSION);
    let dropped = next_version(&ranks, 0, 900);
    assert!(next_version(&ranks, dropped, 1) > dropped);
    ranks[1].prepared_version = Some(dropped + 500);
    assert!(next_version(&ranks, dropped, 1) > dropped + 500);
}

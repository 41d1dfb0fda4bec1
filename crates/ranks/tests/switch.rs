//! The state machine of a map switch, and the detection of unfinished switches.

use flamingowheel_protocol::ranks::{RankState, RankTarget};
use flamingowheel_ranks::switch::{
    FIRST_PASSES_AHEAD, Preparing, Switch, UnfinishedSwitch, find_unfinished, next_version,
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
    let arming = holding.held();
    ranks.iter_mut().for_each(|rank| rank.armed = Some((VERSION, pass)));
    let releasing = arming.advance(&ranks).unwrap();
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
    assert!(holding.held().advance(&ranks).is_err());
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
    let arming = preparing().advance(&ranks, FIRST_PASSES_AHEAD).unwrap().held();
    ranks.iter_mut().for_each(|rank| rank.map_version = VERSION);
    assert!(arming.advance(&ranks).is_ok());
}

#[test]
fn target_names_engines_for_others() {
    let RankTarget::Prepared { engines: named, version, .. } = preparing().target() else {
        panic!("a switch starts with preparing the map");
    };
    assert_eq!((named.len(), version), (2, VERSION));
}

/// A coordinator fails after some ranks were armed. Arm orders of the others may still take effect,
/// so the only safe action is to arm them all.
#[test]
fn find_unfinished_some_armed() {
    let mut ranks = ranks(2);
    ranks[1].armed = Some((VERSION, 14));
    ranks[0].held_pass = Some(14);
    let expected = UnfinishedSwitch::Armed { epoch: EPOCH, version: VERSION, pass: 14 };
    assert_eq!(find_unfinished(&ranks), Some(expected));
}

/// A coordinator fails right after its hold. All ranks are prepared, so it may have sent arm orders.
#[test]
fn find_unfinished_held_and_prepared() {
    let mut ranks = ranks(2);
    prepared(&mut ranks);
    ranks[0].held_pass = Some(14);
    let expected = UnfinishedSwitch::Armed { epoch: EPOCH, version: VERSION, pass: 14 };
    assert_eq!(find_unfinished(&ranks), Some(expected));
}

/// A hold takes effect seconds late, while ranks prepare another map. No arm order can be in
/// flight, so the group must not wait for one.
#[test]
fn find_unfinished_stray_hold() {
    let mut ranks = ranks(2);
    ranks[1].prepared_version = Some(VERSION);
    ranks[0].held_pass = Some(14);
    assert_eq!(find_unfinished(&ranks), Some(UnfinishedSwitch::Held { epoch: EPOCH, pass: 14 }));
}

#[test]
fn find_unfinished_nothing() {
    assert_eq!(find_unfinished(&ranks(2)), None);
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

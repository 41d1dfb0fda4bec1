//! The life cycle of a change of map, and what is found of changes that others left unfinished.

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
fn switch_whole_life() {
    let mut ranks = ranks(2);
    prepared(&mut ranks);
    let holding = preparing().advance(&ranks, FIRST_PASSES_AHEAD).unwrap();
    let pass = holding.pass();
    assert!(pass > 10, "a pass that has not begun");
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

/// One rank leaves its order unanswered and has not copied its experts. Armed all the same, the
/// others would use the new map without it: answers would be computed from two maps.
#[test]
fn switch_unprepared_rank_waits() {
    let mut ranks = ranks(2);
    ranks[0].prepared_version = Some(VERSION);
    assert!(preparing().advance(&ranks, FIRST_PASSES_AHEAD).is_err());
}

/// One rank's arming is still on its way when all others are armed. Released now, the pass could
/// begin with two maps.
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

/// The hold arrives after its pass has begun. A later pass is taken, never an earlier one: a late
/// copy of the old hold must find its pass begun.
#[test]
fn switch_late_hold_takes_later_pass() {
    let mut ranks = ranks(2);
    prepared(&mut ranks);
    let holding = preparing().advance(&ranks, FIRST_PASSES_AHEAD).unwrap();
    let first = holding.pass();
    let next = holding.postpone(&ranks, first + 4, FIRST_PASSES_AHEAD).pass();
    assert!(next > first + 4, "{next}");
}

/// The coordinator freezes after the arming; another rank's agent lets the pass begin. On waking it
/// must see the change as done, not wait for ranks to be armed.
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
        panic!("a change begins with copies");
    };
    assert_eq!((named.len(), version), (2, VERSION));
}

/// A coordinator dies after some ranks were armed. The arming of the others may still take effect,
/// so the only safe way on is to arm them all.
#[test]
fn find_unfinished_some_armed() {
    let mut ranks = ranks(2);
    ranks[1].armed = Some((VERSION, 14));
    ranks[0].held_pass = Some(14);
    let expected = UnfinishedSwitch::Armed { epoch: EPOCH, version: VERSION, pass: 14 };
    assert_eq!(find_unfinished(&ranks), Some(expected));
}

/// A coordinator dies right after its hold. All ranks are prepared, so it may have sent armings.
#[test]
fn find_unfinished_held_and_prepared() {
    let mut ranks = ranks(2);
    prepared(&mut ranks);
    ranks[0].held_pass = Some(14);
    let expected = UnfinishedSwitch::Armed { epoch: EPOCH, version: VERSION, pass: 14 };
    assert_eq!(find_unfinished(&ranks), Some(expected));
}

/// A hold takes effect seconds late, while ranks prepare something else: no arming can be on its
/// way, and the group must not wait.
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

/// A change is given up while ranks copy its experts, and no rank has reported it yet. With a lower
/// version the next change would be refused by all of them, and passes would stay long for another
/// second and a half.
#[test]
fn next_version_above_dropped() {
    let mut ranks = ranks(2);
    ranks.iter_mut().for_each(|rank| rank.map_version = VERSION);
    let dropped = next_version(&ranks, 0, 900);
    assert!(next_version(&ranks, dropped, 1) > dropped);
    ranks[1].prepared_version = Some(dropped + 500);
    assert!(next_version(&ranks, dropped, 1) > dropped + 500);
}

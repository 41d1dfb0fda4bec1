//! Who is believed to be there, with processes that die, pause or are cut off.

mod common;

use common::{Fleet, record};
use flamingowheel_control::membership::{GONE_RETENTION, Table};
use flamingowheel_control::node::MemberView;
use flamingowheel_protocol::id::Incarnation;
use flamingowheel_protocol::peer::{MemberState, MembershipUpdate};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn death_is_seen_by_all() {
    // A VM vanishes without a word. Its address must not be given to callers for long.
    let mut fleet = Fleet::start(24, 3).await;
    fleet.kill(5);
    let silent = |entry: &common::Entry| entry.state_of("entry-5") == Some(MemberState::Silent);
    let took = fleet.until(Duration::from_secs(12), silent).await;
    assert!(took >= Duration::from_secs(4), "{took:?}");
    // Silent is not gone: it may be cut off. Only the VM list says that it is gone.
    fleet.vms.remove("vm-5");
    let gone = |entry: &common::Entry| entry.state_of("entry-5") == Some(MemberState::Gone);
    fleet.until(Duration::from_secs(12), gone).await;
}

#[tokio::test(start_paused = true)]
async fn death_accuses_nobody_else() {
    // When a process is gone, others move up in the order and are watched by processes that never
    // heard them before. Were those called silent, one death would take several out of answers.
    let mut fleet = Fleet::start(24, 2).await;
    for number in 0..8 {
        fleet.kill(number);
        for _ in 0..200 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            for entry in fleet.entries.values() {
                let silent = |member: &MemberView| member.state == MemberState::Silent;
                let members = entry.node.members();
                let dead = |name: &str| !fleet.entries.contains_key(name);
                assert!(members.iter().filter(|m| silent(m)).all(|m| dead(&m.record.name)));
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn leave_notice_is_quick() {
    let fleet = Fleet::start(24, 3).await;
    fleet.entry(4).node.leave();
    let leaving = |entry: &common::Entry| entry.state_of("entry-4") == Some(MemberState::Leaving);
    let took = fleet.until(Duration::from_secs(5), leaving).await;
    assert!(took < Duration::from_secs(2), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn vm_list_marks_leaving() {
    // The platform will take a VM away and tells only its list.
    let fleet = Fleet::start(12, 3).await;
    fleet.vms.set_leaving("vm-4");
    let leaving = |entry: &common::Entry| entry.state_of("entry-4") == Some(MemberState::Leaving);
    fleet.until(Duration::from_secs(8), leaving).await;
}

#[tokio::test(start_paused = true)]
async fn cut_off_process_accuses_nobody_and_comes_back() {
    // One process loses the network for a minute, and the key-value service with it being down
    // for all. It hears nobody; were it to call everybody silent, its word would go round once it
    // is back and empty the address answers.
    let fleet = Fleet::start(18, 2).await;
    fleet.kv.set_down(true);
    tokio::time::sleep(Duration::from_secs(30)).await;
    // Several in turn: in which order a process hears the others again differs.
    for number in 0..9 {
        cut_off_and_back(&fleet, number).await;
    }
}

async fn cut_off_and_back(fleet: &Fleet, number: usize) {
    let cut = fleet.entry(number);
    let name = format!("entry-{number}");
    fleet.network.cut(cut.address);
    tokio::time::sleep(Duration::from_secs(60)).await;
    for entry in fleet.entries.values().filter(|entry| entry.address != cut.address) {
        assert_eq!(entry.state_of(&name), Some(MemberState::Silent));
    }
    assert!(cut.node.members().iter().all(|member| member.state == MemberState::Live));
    fleet.network.mend(cut.address);
    for _ in 0..40 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        for entry in fleet.entries.values() {
            let members = entry.node.members();
            let mut others = members.iter().filter(|member| member.record.name != name);
            assert!(others.all(|member| member.state == MemberState::Live));
        }
    }
    assert_eq!(fleet.entry(number + 1).state_of(&name), Some(MemberState::Live));
}

#[tokio::test(start_paused = true)]
async fn two_halves_find_each_other_again() {
    // A whole data centre is cut off for ten minutes and comes back.
    let fleet = Fleet::start(16, 2).await;
    let half: Vec<_> = (0..16).filter(|number| number % 2 == 1).collect();
    half.iter().for_each(|number| fleet.network.cut(fleet.entry(*number).address));
    tokio::time::sleep(Duration::from_secs(600)).await;
    half.iter().for_each(|number| fleet.network.mend(fleet.entry(*number).address));
    let all_live = |entry: &common::Entry| {
        entry.node.members().iter().all(|member| member.state == MemberState::Live)
    };
    fleet.until(Duration::from_secs(60), all_live).await;
}

#[tokio::test(start_paused = true)]
async fn start_finds_others_by_the_key_value_service() {
    // All VMs that the settings once named have been replaced.
    let mut fleet = Fleet::start(3, 1).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.vms.set_down(true);
    fleet.add_with_seeds(3, 1, Vec::new());
    fleet.until(Duration::from_secs(8), |entry| entry.node.members().len() == 4).await;
}

#[tokio::test(start_paused = true)]
async fn start_finds_others_by_the_vm_list() {
    // The same, with the key-value service down on top: the VM list and the shared port remain.
    let mut fleet = Fleet::start(3, 1).await;
    fleet.kv.set_down(true);
    fleet.add_with_seeds(3, 1, Vec::new());
    fleet.until(Duration::from_secs(8), |entry| entry.node.members().len() == 4).await;
}

#[tokio::test(start_paused = true)]
async fn two_groups_that_never_met_join() {
    // Two halves of a new fleet start at the same moment, each with seeds of its own only, before
    // any entry is listed. Each would take itself for all there is.
    let mut fleet = Fleet::start(0, 1).await;
    fleet.vms.set_down(true);
    // All have read the list before the first is on it.
    fleet.kv.set_delay(Duration::from_millis(100));
    for number in 0..6 {
        let seeds = if number < 2 { Vec::new() } else { vec![record(number % 2, 1).inner] };
        fleet.add_with_seeds(number, 1, seeds);
    }
    fleet.until(Duration::from_secs(1), |entry| entry.node.members().len() == 3).await;
    fleet.until(Duration::from_secs(150), |entry| entry.node.members().len() == 6).await;
}

#[tokio::test(start_paused = true)]
async fn quiet_fleet_sends_little() {
    // Nothing changes, yet now and then processes that do not poll each other compare what they
    // know. Were they to exchange whole tables, that would cost more than all the rest.
    const WATCHED: Duration = Duration::from_secs(200);
    const MOST_BYTES_PER_S: u64 = 1_500;
    let fleet = Fleet::start(40, 2).await;
    tokio::time::sleep(Duration::from_secs(60)).await;
    fleet.network.measure();
    tokio::time::sleep(WATCHED).await;
    let most = fleet.network.measured().into_values().max().unwrap();
    assert!(most / WATCHED.as_secs() < MOST_BYTES_PER_S, "{} B/s", most / WATCHED.as_secs());
}

#[test]
fn merge_restarted_process_overrides_its_older_record() {
    // A process restarts on the same VM. The record of its last start still goes round with a
    // higher version; as long as that counts, the new one is not seen.
    let now = Instant::now();
    let mut peer = Table::new(record(1, 1), now);
    let mut old = record(0, 1);
    old.version = 9;
    old.state = MemberState::Silent;
    peer.merge(MembershipUpdate { records: vec![old], ..MembershipUpdate::default() }, now);
    let mut own = record(0, 1);
    own.incarnation = Incarnation(77);
    let mut fresh = Table::new(own, now);
    fresh.merge(peer.updates_after(0), now);
    peer.merge(fresh.updates_after(0), now);
    let record = &peer.member("entry-0").unwrap().record;
    assert_eq!((record.incarnation, record.state), (Incarnation(77), MemberState::Live));
}

#[test]
fn merge_is_the_same_in_any_order() {
    let now = Instant::now();
    let mut records = Vec::new();
    for (version, state) in [
        (1, MemberState::Live),
        (1, MemberState::Silent),
        (2, MemberState::Live),
        (2, MemberState::Gone),
        (3, MemberState::Leaving),
    ] {
        let mut next = record(0, 1);
        (next.version, next.state) = (version, state);
        records.push(next);
    }
    for turn in 0..records.len() {
        records.rotate_left(turn);
        let mut table = Table::new(record(1, 1), now);
        for record in records.iter().chain(records.iter().rev()) {
            table.merge(
                MembershipUpdate { records: vec![record.clone()], ..MembershipUpdate::default() },
                now,
            );
        }
        assert_eq!(table.member("entry-0").unwrap().record.state, MemberState::Leaving);
    }
}

#[test]
fn vm_list_that_lags_takes_nobody_away() {
    // A new VM is not yet listed, though its process is heard; and an empty list is an error.
    let now = Instant::now();
    let mut table = Table::new(record(1, 1), now);
    table.merge_direct(record(0, 1), now);
    let listed = BTreeSet::from(["vm-1"]);
    assert!(table.apply_vm_list(&listed, &BTreeSet::new()).is_empty());
    assert_eq!(table.member("entry-0").unwrap().record.state, MemberState::Live);
    table.mark_silent("entry-0");
    assert!(table.apply_vm_list(&BTreeSet::new(), &BTreeSet::new()).is_empty());
    assert_eq!(table.apply_vm_list(&listed, &BTreeSet::new()).len(), 1);
}

#[test]
fn expire_leaves_nothing_behind() {
    // VMs are replaced under new names all the time. What is kept of the old ones would fill the
    // memory in the end.
    let now = Instant::now();
    let mut table = Table::new(record(0, 1), now);
    for number in 1..50 {
        let vm = format!("vm-{number}");
        table.merge_direct(record(number, 1), now);
        let listed = BTreeSet::from(["vm-0", vm.as_str()]);
        let leaving = BTreeSet::from([vm.as_str(), "vm-of-an-agent"]);
        table.apply_vm_list(&listed, &leaving);
        assert!(table.is_vm_leaving(&vm) && !table.is_vm_leaving("vm-of-an-agent"));
        table.mark_silent(&format!("entry-{number}"));
    }
    table.apply_vm_list(&BTreeSet::from(["vm-0"]), &BTreeSet::new());
    table.expire(now + GONE_RETENTION);
    assert_eq!(table.members().count(), 1);
    assert!(table.updates_after(0).leaving_vms.is_empty());
}

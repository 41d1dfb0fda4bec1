//! The member table in a fleet of entries, with processes that crash or are partitioned.

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
async fn crash_is_detected_by_all() {
    // A VM disappears without notice. Callers must not be given its address for long.
    let mut fleet = Fleet::start(24, 3).await;
    fleet.kill(5);
    let silent = |entry: &common::Entry| entry.state_of("entry-5") == Some(MemberState::Silent);
    let took = fleet.until(Duration::from_secs(12), silent).await;
    assert!(took >= Duration::from_secs(4), "{took:?}");
    // A silent process may only be partitioned. It is gone only if the VM list lacks its VM.
    fleet.vms.remove("vm-5");
    let gone = |entry: &common::Entry| entry.state_of("entry-5") == Some(MemberState::Gone);
    fleet.until(Duration::from_secs(12), gone).await;
}

#[tokio::test(start_paused = true)]
async fn crash_marks_no_other_as_silent() {
    // When a process crashes, others get new pollers and watchers that have never received anything
    // from them. If those were marked as silent, one crash would remove several entries from
    // answers.
    let mut fleet = Fleet::start(24, 2).await;
    for number in 0..8 {
        fleet.kill(number);
        for _ in 0..200 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            for entry in fleet.entries.values() {
                let silent = |member: &MemberView| member.state == MemberState::Silent;
                let members = entry.node.members();
                let is_stopped = |name: &str| !fleet.entries.contains_key(name);
                assert!(members.iter().filter(|m| silent(m)).all(|m| is_stopped(&m.record.name)));
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn leave_propagates_quickly() {
    let fleet = Fleet::start(24, 3).await;
    fleet.entry(4).node.leave();
    let leaving = |entry: &common::Entry| entry.state_of("entry-4") == Some(MemberState::Leaving);
    let took = fleet.until(Duration::from_secs(5), leaving).await;
    assert!(took < Duration::from_secs(2), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn vm_list_marks_leaving() {
    // The platform announces the removal of a VM only in the VM list.
    let fleet = Fleet::start(12, 3).await;
    fleet.vms.set_leaving("vm-4");
    let leaving = |entry: &common::Entry| entry.state_of("entry-4") == Some(MemberState::Leaving);
    fleet.until(Duration::from_secs(8), leaving).await;
}

#[tokio::test(start_paused = true)]
async fn partitioned_process_marks_nobody_silent_and_recovers() {
    // One process loses the network for a minute, while the key-value service is down for all. If
    // it marked every other process as silent, those updates would propagate once it is back and
    // empty the address answers.
    let fleet = Fleet::start(18, 2).await;
    fleet.kv.set_down(true);
    tokio::time::sleep(Duration::from_secs(30)).await;
    // Repeated for several processes, since the order in which messages of the others arrive again
    // varies.
    for number in 0..9 {
        partition_and_reconnect(&fleet, number).await;
    }
}

async fn partition_and_reconnect(fleet: &Fleet, number: usize) {
    let isolated = fleet.entry(number);
    let name = format!("entry-{number}");
    fleet.network.cut(isolated.address);
    tokio::time::sleep(Duration::from_secs(60)).await;
    for entry in fleet.entries.values().filter(|entry| entry.address != isolated.address) {
        assert_eq!(entry.state_of(&name), Some(MemberState::Silent));
    }
    assert!(isolated.node.members().iter().all(|member| member.state == MemberState::Live));
    fleet.network.reconnect(isolated.address);
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
async fn partition_of_a_data_centre_heals() {
    // A whole data centre is partitioned for ten minutes and then reconnected.
    let fleet = Fleet::start(16, 2).await;
    let half: Vec<_> = (0..16).filter(|number| number % 2 == 1).collect();
    half.iter().for_each(|number| fleet.network.cut(fleet.entry(*number).address));
    tokio::time::sleep(Duration::from_secs(600)).await;
    half.iter().for_each(|number| fleet.network.reconnect(fleet.entry(*number).address));
    let all_live = |entry: &common::Entry| {
        entry.node.members().iter().all(|member| member.state == MemberState::Live)
    };
    fleet.until(Duration::from_secs(60), all_live).await;
}

#[tokio::test(start_paused = true)]
async fn start_finds_others_by_the_key_value_service() {
    // All VMs that the settings name as seeds have been replaced.
    let mut fleet = Fleet::start(3, 1).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.vms.set_down(true);
    fleet.add_with_seeds(3, 1, Vec::new());
    fleet.until(Duration::from_secs(8), |entry| entry.node.members().len() == 4).await;
}

#[tokio::test(start_paused = true)]
async fn start_finds_others_by_the_vm_list() {
    // No seeds, and the key-value service is down: only the VM list and the shared port remain.
    let mut fleet = Fleet::start(3, 1).await;
    fleet.kv.set_down(true);
    fleet.add_with_seeds(3, 1, Vec::new());
    fleet.until(Duration::from_secs(8), |entry| entry.node.members().len() == 4).await;
}

#[tokio::test(start_paused = true)]
async fn two_groups_that_never_met_join() {
    // Two halves of a new fleet start at the same moment, each with seeds only in its own half,
    // before any entry is registered. Neither half knows that the other exists.
    let mut fleet = Fleet::start(0, 1).await;
    fleet.vms.set_down(true);
    // With this delay all entries read the registrations before the first one is written.
    fleet.kv.set_delay(Duration::from_millis(100));
    for number in 0..6 {
        let seeds = if number < 2 { Vec::new() } else { vec![record(number % 2, 1).inner] };
        fleet.add_with_seeds(number, 1, seeds);
    }
    fleet.until(Duration::from_secs(1), |entry| entry.node.members().len() == 3).await;
    fleet.until(Duration::from_secs(150), |entry| entry.node.members().len() == 6).await;
}

#[tokio::test(start_paused = true)]
async fn idle_fleet_sends_little() {
    // Nothing changes, yet processes that don't poll each other probe each other periodically. If
    // they exchanged whole tables, that would cost more than all other traffic.
    const MEASURED: Duration = Duration::from_secs(200);
    const MAX_BYTES_PER_S: u64 = 1_500;
    let fleet = Fleet::start(40, 2).await;
    tokio::time::sleep(Duration::from_secs(60)).await;
    fleet.network.start_measuring();
    tokio::time::sleep(MEASURED).await;
    let most = fleet.network.sent_bytes().into_values().max().unwrap();
    assert!(most / MEASURED.as_secs() < MAX_BYTES_PER_S, "{} B/s", most / MEASURED.as_secs());
}

#[test]
fn merge_restarted_process_overrides_its_older_record() {
    // A process restarts on the same VM, while the record of its previous start still circulates
    // with a higher version. As long as that record takes precedence, peers don't see the new
    // process.
    let now = Instant::now();
    let mut peer = Table::new(record(1, 1), now);
    let mut old = record(0, 1);
    old.version = 9;
    old.state = MemberState::Silent;
    peer.merge(MembershipUpdate { records: vec![old], ..MembershipUpdate::default() }, now);
    let mut own = record(0, 1);
    own.incarnation = Incarnation(77);
    let mut restarted = Table::new(own, now);
    restarted.merge(peer.updates_after(0), now);
    peer.merge(restarted.updates_after(0), now);
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
fn apply_vm_list_lagging_removes_nobody() {
    // A new VM is not yet listed although messages of its process arrive. An empty list is an error
    // and must not mark silent processes as gone.
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
    // VMs are continually replaced under new names. Anything kept of the old ones would leak
    // memory.
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

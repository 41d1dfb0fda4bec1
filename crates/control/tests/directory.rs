//! The directory of agents in a fleet of entries.

mod common;

use common::{Entry, Fleet};
use flamingowheel_control::directory::Directory;
use flamingowheel_protocol::id::Incarnation;
use flamingowheel_protocol::message::{BackendProfile, Hello, Role, Serves};
use flamingowheel_protocol::peer::MemberState;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (number / 250) as u8, (number % 250) as u8], 1))
}

fn hello(number: usize, incarnation: u64) -> Hello {
    let serves = Serves::Service { service: "desk".to_owned() };
    let profile = BackendProfile { serves, places: 8, can_resume: false, experts: None };
    Hello {
        name: format!("agent-{number}"),
        incarnation: Incarnation(incarnation),
        vm: format!("vm-agent-{number}"),
        data_centre: "dc-0".to_owned(),
        operators: None,
        role: Role::Agent(profile),
    }
}

fn has_record(entry: &Entry, number: usize, incarnation: u64) -> bool {
    let name = format!("agent-{number}");
    let agents = entry.node.agents();
    agents.iter().any(|agent| agent.name == name && agent.incarnation.0 == incarnation)
}

// The key-value service is down while agents start, restart and stop. Their records must still
// reach all entries, and an entry that starts meanwhile must get the whole directory from its
// peers.
#[tokio::test(start_paused = true)]
async fn directory_works_without_key_value_service() {
    let mut fleet = Fleet::start(20, 3).await;
    fleet.kv.set_down(true);
    for number in 0..300 {
        fleet.entry(number % 20).node.record_agent(address(number), &hello(number, 1));
    }
    fleet.until(PROPAGATION_LIMIT, |entry| entry.node.agents().len() == 300).await;
    fleet.entry(3).node.record_agent(address(7), &hello(7, 2));
    fleet.until(PROPAGATION_LIMIT, |entry| has_record(entry, 7, 2)).await;
    fleet.add(20, 3);
    fleet.until(Duration::from_secs(10), |entry| entry.node.agents().len() == 300).await;
    fleet.entry(5).node.downgrade_agent("agent-9", MemberState::Gone);
    fleet.until(PROPAGATION_LIMIT, |entry| entry.node.agents().len() == 299).await;
}

// Two entries write the record of one agent at the same time, one for the old process and one for
// the process that replaced it. The entry with the link to the running process repeats its write
// until all entries have the same record.
#[tokio::test(start_paused = true)]
async fn directory_conflicting_records_converge() {
    let fleet = Fleet::start(12, 2).await;
    fleet.entry(0).node.record_agent(address(1), &hello(1, 9));
    fleet.entry(1).node.record_agent(address(1), &hello(1, 4));
    for _ in 0..3 {
        sleep(Duration::from_secs(1)).await;
        fleet.entry(1).node.record_agent(address(1), &hello(1, 4));
    }
    fleet.until(PROPAGATION_LIMIT, |entry| has_record(entry, 1, 4)).await;
    let digest = fleet.entry(0).node.digest();
    fleet.until(PROPAGATION_LIMIT, |entry| entry.node.digest() == digest).await;
}

// Two halves of a fleet are partitioned and each records new agents. When the partition ends,
// probes of random members merge the directories without sending either of them whole.
#[tokio::test(start_paused = true)]
async fn directory_merges_after_partition() {
    let fleet = Fleet::start(12, 2).await;
    for number in 0..200 {
        fleet.entry(number % 12).node.record_agent(address(number), &hello(number, 1));
    }
    fleet.until(PROPAGATION_LIMIT, |entry| entry.node.agents().len() == 200).await;
    let half: Vec<SocketAddr> = (0..6).map(|entry| fleet.entry(2 * entry).address).collect();
    half.iter().for_each(|entry| fleet.network.cut(*entry));
    sleep(Duration::from_secs(30)).await;
    fleet.entry(1).node.record_agent(address(500), &hello(500, 1));
    fleet.entry(2).node.record_agent(address(501), &hello(501, 1));
    sleep(Duration::from_secs(30)).await;
    half.iter().for_each(|entry| fleet.network.reconnect(*entry));
    fleet.until(Duration::from_secs(60), |entry| entry.node.agents().len() == 202).await;
}

// The record of an agent that is gone arrives late, after this process has dropped it. It must not
// be stored again. An agent is marked as gone when another agent has its address.
#[test]
fn merge_late_gone_record_is_refused() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    let record_hello = |directory: &mut Directory, number: usize, at: usize| {
        for record in directory.records_for_hello(address(at), &hello(number, number as u64)) {
            directory.merge(record, 1, now);
        }
    };
    record_hello(&mut directory, 1, 1);
    record_hello(&mut directory, 2, 1);
    let live: Vec<&str> = directory.agents().map(|agent| agent.name.as_str()).collect();
    assert_eq!(live, ["agent-2"]);
    let gone = directory.get("agent-1").unwrap().clone();
    assert_eq!(gone.state, MemberState::Gone);
    let digests = directory.digests().to_vec();
    directory.expire(now + Duration::from_secs(601));
    assert!(directory.get("agent-1").is_none());
    assert!(!directory.merge(gone, 2, now));
    assert_eq!(directory.digests(), digests);
}

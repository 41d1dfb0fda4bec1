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

const SOON: Duration = Duration::from_secs(3);

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

fn knows(entry: &Entry, number: usize, incarnation: u64) -> bool {
    let name = format!("agent-{number}");
    let agents = entry.node.agents();
    agents.iter().any(|agent| agent.name == name && agent.incarnation.0 == incarnation)
}

// The key-value service is down while agents start, restart and go. Entries that meet them tell
// the others, and an entry that starts meanwhile gets the whole directory from its peers.
#[tokio::test(start_paused = true)]
async fn directory_service_down_goes_on() {
    let mut fleet = Fleet::start(20, 3).await;
    fleet.kv.set_down(true);
    for number in 0..300 {
        fleet.entry(number % 20).node.record_agent(address(number), &hello(number, 1));
    }
    fleet.until(SOON, |entry| entry.node.agents().len() == 300).await;
    fleet.entry(3).node.record_agent(address(7), &hello(7, 2));
    fleet.until(SOON, |entry| knows(entry, 7, 2)).await;
    fleet.add(20, 3);
    fleet.until(Duration::from_secs(10), |entry| entry.node.agents().len() == 300).await;
    fleet.entry(5).node.downgrade_agent("agent-9", MemberState::Gone);
    fleet.until(SOON, |entry| entry.node.agents().len() == 299).await;
}

// Two entries write of one agent at once, one of the process before and one of the process that
// replaced it. Whoever has the link to the living one says it again until all agree.
#[tokio::test(start_paused = true)]
async fn directory_different_views_agree() {
    let fleet = Fleet::start(12, 2).await;
    fleet.entry(0).node.record_agent(address(1), &hello(1, 9));
    fleet.entry(1).node.record_agent(address(1), &hello(1, 4));
    for _ in 0..3 {
        sleep(Duration::from_secs(1)).await;
        fleet.entry(1).node.record_agent(address(1), &hello(1, 4));
    }
    fleet.until(SOON, |entry| knows(entry, 1, 4)).await;
    let digest = fleet.entry(0).node.digest();
    fleet.until(SOON, |entry| entry.node.digest() == digest).await;
}

// Two halves lose each other, and each meets agents. Probes of random members join the two
// directories again without sending either whole.
#[tokio::test(start_paused = true)]
async fn directory_halves_join_again() {
    let fleet = Fleet::start(12, 2).await;
    for number in 0..200 {
        fleet.entry(number % 12).node.record_agent(address(number), &hello(number, 1));
    }
    fleet.until(SOON, |entry| entry.node.agents().len() == 200).await;
    let half: Vec<SocketAddr> = (0..6).map(|entry| fleet.entry(2 * entry).address).collect();
    half.iter().for_each(|entry| fleet.network.cut(*entry));
    sleep(Duration::from_secs(30)).await;
    fleet.entry(1).node.record_agent(address(500), &hello(500, 1));
    fleet.entry(2).node.record_agent(address(501), &hello(501, 1));
    sleep(Duration::from_secs(30)).await;
    half.iter().for_each(|entry| fleet.network.mend(*entry));
    fleet.until(Duration::from_secs(60), |entry| entry.node.agents().len() == 202).await;
}

// A record of an agent that is gone goes round late, after its tombstone was dropped here. It must
// not come back, and another agent at its address ends it.
#[test]
fn merge_tombstones_end() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    let take = |directory: &mut Directory, number: usize, at: usize| {
        for record in directory.records_for_hello(address(at), &hello(number, number as u64)) {
            directory.merge(record, 1, now);
        }
    };
    take(&mut directory, 1, 1);
    take(&mut directory, 2, 1);
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

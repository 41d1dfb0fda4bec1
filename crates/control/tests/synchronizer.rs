//! Configuration in a fleet of entries, with faults of the service and of the network.

mod common;

use common::{Fleet, TEMPLATE, template, workspace};
use flamingowheel_config::api::ConfigSource;
use flamingowheel_config::apply::Applied;
use flamingowheel_config::effective::ConfigRevision;
use std::time::Duration;

/// What operators are promised.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(11);

#[tokio::test(start_paused = true)]
async fn apply_reaches_everybody() {
    let fleet = Fleet::start(30, 3).await;
    assert!(matches!(fleet.entry(7).apply(TEMPLATE).await, Ok(Applied::Accepted(_))));
    let took = fleet.until_revision(1, IN_FORCE_LIMIT).await;
    assert!(took < Duration::from_secs(1), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn watch_few_processes_only() {
    // If every process watched, the service's rate would have to grow with the fleet.
    let fleet = Fleet::start(30, 3).await;
    tokio::time::sleep(Duration::from_secs(20)).await;
    let before = fleet.kv.calls().total();
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(fleet.kv.open_watches(), 6);
    let calls = fleet.kv.calls().total() - before;
    assert!(calls <= 6 * 14, "{calls} calls a minute");
}

#[tokio::test(start_paused = true)]
async fn watch_goes_deaf() {
    // All watches stay open and bring nothing any more. Nobody sees an error, and the fleet would
    // go on with the old configuration for good.
    let fleet = Fleet::start(12, 3).await;
    fleet.kv.silence_watches();
    fleet.apply_and_die(TEMPLATE).await;
    fleet.until_revision(1, IN_FORCE_LIMIT).await;
    // The deaf ones were replaced, so the next change is quick again.
    tokio::time::sleep(Duration::from_secs(10)).await;
    fleet.apply_and_die(&template(3)).await;
    let took = fleet.until_revision(2, IN_FORCE_LIMIT).await;
    assert!(took < Duration::from_secs(1), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn watch_leaves_out_a_change() {
    // A watch brings the second of two changes but not the first. Taking it alone would put a
    // configuration in force that no operator wrote.
    let fleet = Fleet::start(9, 3).await;
    fleet.kv.swallow_events(2);
    fleet.apply_and_die(TEMPLATE).await;
    fleet.apply_and_die(&workspace("bibb")).await;
    fleet.until_revision(2, Duration::from_secs(1)).await;
    for entry in fleet.entries.values() {
        assert!(entry.node.effective().borrow().workspace("bibb").is_some());
    }
}

#[tokio::test(start_paused = true)]
async fn start_while_the_service_is_down() {
    // A VM is replaced during an outage of the service. Its process has nothing but its peers,
    // one of which was cut off before the last change. It must take the newest that any has.
    let mut fleet = Fleet::start(6, 1).await;
    fleet.entry(0).apply(TEMPLATE).await.unwrap();
    fleet.until_revision(1, IN_FORCE_LIMIT).await;
    fleet.network.cut(fleet.entry(1).address);
    fleet.entry(0).apply(&workspace("bibb")).await.unwrap();
    fleet
        .until(IN_FORCE_LIMIT, |entry| {
            entry.node.revision().0 == 2 || entry.address == fleet.entry(1).address
        })
        .await;
    fleet.kv.set_down(true);
    fleet.kill(5);
    let fresh = fleet.add(6, 1).node.clone();
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(fresh.revision(), ConfigRevision(2));
    assert!(fresh.may_serve());
    // It says where that came from, until the service answers again.
    assert_eq!(fresh.source(), ConfigSource::PeersOnly);
    // Its peers had answers of the service, but from before it started.
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(fresh.source(), ConfigSource::PeersOnly);
    fleet.kv.set_down(false);
    fleet.network.mend(fleet.entry(1).address);
    fleet.until_revision(2, IN_FORCE_LIMIT).await;
    fleet.until(Duration::from_secs(20), |e| e.node.source() == ConfigSource::KeyValue).await;
}

#[tokio::test(start_paused = true)]
async fn start_asks_an_older_peer_too() {
    // The older peer answers last. Taking its word would revert what is in force already.
    let fleet = Fleet::start(4, 1).await;
    fleet.entry(0).apply(TEMPLATE).await.unwrap();
    fleet.until_revision(1, IN_FORCE_LIMIT).await;
    let old = fleet.entry(1).node.replica();
    fleet.entry(0).apply(&workspace("bibb")).await.unwrap();
    fleet.until_revision(2, IN_FORCE_LIMIT).await;
    let node = &fleet.entry(2).node;
    assert!(!node.adopt(old, flamingowheel_observe::reason::ConfigSource::Peer));
    assert_eq!(node.revision(), ConfigRevision(2));
    assert!(node.effective().borrow().workspace("bibb").is_some());
}

#[tokio::test(start_paused = true)]
async fn start_without_anybody_waits() {
    // Neither the service nor a peer answers. Serving without limits or tokens would be worse
    // than refusing.
    let mut fleet = Fleet::start(1, 1).await;
    fleet.kv.set_down(true);
    fleet.kill(0);
    let fresh = fleet.add(1, 1).node.clone();
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert!(!fresh.may_serve());
    fleet.kv.set_down(false);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(fresh.may_serve());
}

#[tokio::test(start_paused = true)]
async fn outage_leaves_everything_in_force() {
    let fleet = Fleet::start(9, 3).await;
    fleet.entry(0).apply(TEMPLATE).await.unwrap();
    fleet.until_revision(1, IN_FORCE_LIMIT).await;
    fleet.kv.set_down(true);
    assert!(fleet.entry(3).apply(&template(3)).await.is_err());
    tokio::time::sleep(Duration::from_secs(3_600)).await;
    assert!(fleet.entries.values().all(|entry| entry.node.may_serve()));
    fleet.kv.set_down(false);
    fleet.entry(3).apply(&template(3)).await.unwrap();
    fleet.until_revision(2, IN_FORCE_LIMIT).await;
}

#[tokio::test(start_paused = true)]
async fn template_change_is_seen_in_all_workspaces_or_none() {
    // A template is changed many times while its workspaces are looked at all along. Half of
    // them under the old limits would be a mix that nobody accepted.
    let fleet = Fleet::start(6, 2).await;
    let names: Vec<String> = (0..200).map(|number| format!("w{number}")).collect();
    let workspaces: String = names.iter().map(|name| workspace(name)).collect();
    fleet.entry(0).apply(&format!("{TEMPLATE}{workspaces}")).await.unwrap();
    fleet.until_revision(1, IN_FORCE_LIMIT).await;
    for version in 0..8 {
        let before = fleet.entry(0).node.revision().0;
        fleet.entry(version % 6).apply(&template(version as u8)).await.unwrap();
        let mut seen = 0;
        while fleet.entries.values().any(|entry| entry.node.revision().0 <= before) {
            for entry in fleet.entries.values() {
                let effective = entry.node.effective().borrow().clone();
                let mut all = effective.workspaces().map(|own| own.parameters.priority);
                let first = all.next().unwrap();
                assert!(all.all(|other| other == first));
                seen += 1;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert!(seen > 0);
    }
}

#[tokio::test(start_paused = true)]
async fn pause_is_noticed_before_serving() {
    // A VM stands still for a minute; meanwhile an operator replaces the configuration. The
    // process wakes and believes in the old one. For a moment it must refuse rather than serve.
    let fleet = Fleet::start(6, 1).await;
    fleet.entry(0).apply(TEMPLATE).await.unwrap();
    fleet.until_revision(1, IN_FORCE_LIMIT).await;
    for number in 1..6 {
        let paused = fleet.entry(number);
        fleet.network.pause(paused.address, true);
        // Its polls are answered meanwhile; the answers, of the old revision, lie ready for it.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let expected = fleet.entry(0).node.revision().next();
        fleet.entry(0).apply(&template(number as u8)).await.unwrap();
        tokio::time::sleep(Duration::from_secs(60)).await;
        assert!(paused.node.revision() < expected);
        // It can ask nobody for a while after it wakes.
        fleet.network.cut(paused.address);
        fleet.kv.set_down(true);
        fleet.network.pause(paused.address, false);
        // The time in which a process can't know is one tick of its clock.
        tokio::time::sleep(flamingowheel_control::pause::TICK_INTERVAL).await;
        for step in 0..5_000 {
            let stale = paused.node.revision() < expected;
            assert!(!(stale && paused.node.may_serve()), "entry-{number} serves an old revision");
            tokio::time::sleep(Duration::from_millis(1)).await;
            if step == 2_000 {
                fleet.network.mend(paused.address);
            }
        }
        fleet.kv.set_down(false);
        assert_eq!(paused.node.revision(), expected);
        assert!(paused.node.may_serve());
    }
}

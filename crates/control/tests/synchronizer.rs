//! Distribution of the configuration in a fleet of entries, with faults of the key-value service
//! and of the network.

mod common;

use common::{Fleet, TEMPLATE, template, workspace};
use flamingowheel_config::api::ConfigSource;
use flamingowheel_config::apply::Applied;
use flamingowheel_config::effective::ConfigRevision;
use std::time::Duration;

/// The time within which a change is in force everywhere, as promised to operators.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(11);

#[tokio::test(start_paused = true)]
async fn apply_reaches_all_entries() {
    let fleet = Fleet::start(30, 3).await;
    assert!(matches!(fleet.entry(7).apply(TEMPLATE).await, Ok(Applied::Accepted(_))));
    let took = fleet.until_revision(1, IN_FORCE_LIMIT).await;
    assert!(took < Duration::from_secs(1), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn watch_only_few_processes() {
    // If every process watched, the load on the key-value service would grow with the fleet.
    let fleet = Fleet::start(30, 3).await;
    tokio::time::sleep(Duration::from_secs(20)).await;
    let before = fleet.kv.calls().total();
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(fleet.kv.open_watches(), 6);
    let calls = fleet.kv.calls().total() - before;
    assert!(calls <= 6 * 14, "{calls} calls a minute");
}

#[tokio::test(start_paused = true)]
async fn watch_stalled_is_replaced() {
    // All watches stay open but deliver no more events. No process sees an error, and the fleet
    // would keep the old configuration forever.
    let fleet = Fleet::start(12, 3).await;
    fleet.kv.silence_watches();
    fleet.apply_and_crash(TEMPLATE).await;
    fleet.until_revision(1, IN_FORCE_LIMIT).await;
    // The stalled watches were replaced, so the next change propagates quickly again.
    tokio::time::sleep(Duration::from_secs(10)).await;
    fleet.apply_and_crash(&template(3)).await;
    let took = fleet.until_revision(2, IN_FORCE_LIMIT).await;
    assert!(took < Duration::from_secs(1), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn watch_skips_a_change() {
    // A watch delivers the second of two changes but not the first. Applying it alone would put a
    // configuration in force that no operator wrote.
    let fleet = Fleet::start(9, 3).await;
    fleet.kv.drop_watch_events(2);
    fleet.apply_and_crash(TEMPLATE).await;
    fleet.apply_and_crash(&workspace("bibb")).await;
    fleet.until_revision(2, Duration::from_secs(1)).await;
    for entry in fleet.entries.values() {
        assert!(entry.node.effective().borrow().workspace("bibb").is_some());
    }
}

#[tokio::test(start_paused = true)]
async fn start_while_the_service_is_down() {
    // A VM is replaced during an outage of the key-value service. The new process has only its
    // peers, one of which was partitioned before the last change. It must use the newest revision
    // of any.
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
    let new_node = fleet.add(6, 1).node.clone();
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(new_node.revision(), ConfigRevision(2));
    assert!(new_node.may_serve());
    // It reports peers as the only source until the service answers again.
    assert_eq!(new_node.source(), ConfigSource::PeersOnly);
    // Its peers had answers of the service, but only from before the new process started.
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(new_node.source(), ConfigSource::PeersOnly);
    fleet.kv.set_down(false);
    fleet.network.reconnect(fleet.entry(1).address);
    fleet.until_revision(2, IN_FORCE_LIMIT).await;
    fleet.until(Duration::from_secs(20), |e| e.node.source() == ConfigSource::KeyValue).await;
}

#[tokio::test(start_paused = true)]
async fn replace_if_newer_older_replica_changes_nothing() {
    // At a start, a peer with an older revision may answer last. Using its replica would revert the
    // revision already in force.
    let fleet = Fleet::start(4, 1).await;
    fleet.entry(0).apply(TEMPLATE).await.unwrap();
    fleet.until_revision(1, IN_FORCE_LIMIT).await;
    let old = fleet.entry(1).node.replica();
    fleet.entry(0).apply(&workspace("bibb")).await.unwrap();
    fleet.until_revision(2, IN_FORCE_LIMIT).await;
    let node = &fleet.entry(2).node;
    assert!(!node.replace_if_newer(old, flamingowheel_observe::reason::ConfigSource::Peer));
    assert_eq!(node.revision(), ConfigRevision(2));
    assert!(node.effective().borrow().workspace("bibb").is_some());
}

#[tokio::test(start_paused = true)]
async fn start_without_peers_and_service_waits() {
    // Neither the service nor a peer answers. Serving without limits or tokens would be worse than
    // refusing requests.
    let mut fleet = Fleet::start(1, 1).await;
    fleet.kv.set_down(true);
    fleet.kill(0);
    let new_node = fleet.add(1, 1).node.clone();
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert!(!new_node.may_serve());
    fleet.kv.set_down(false);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(new_node.may_serve());
}

#[tokio::test(start_paused = true)]
async fn outage_keeps_configuration_in_force() {
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
    // A template is changed many times while its workspaces are read continually. If some of them
    // still had the old parameters, that would be a mix that no operator accepted.
    let fleet = Fleet::start(6, 2).await;
    let names: Vec<String> = (0..200).map(|number| format!("w{number}")).collect();
    let workspaces: String = names.iter().map(|name| workspace(name)).collect();
    fleet.entry(0).apply(&format!("{TEMPLATE}{workspaces}")).await.unwrap();
    fleet.until_revision(1, IN_FORCE_LIMIT).await;
    for version in 0..8 {
        let before = fleet.entry(0).node.revision().0;
        fleet.entry(version % 6).apply(&template(version as u8)).await.unwrap();
        let mut checked = 0;
        while fleet.entries.values().any(|entry| entry.node.revision().0 <= before) {
            for entry in fleet.entries.values() {
                let effective = entry.node.effective().borrow().clone();
                let mut all = effective.workspaces().map(|workspace| workspace.parameters.priority);
                let first = all.next().unwrap();
                assert!(all.all(|other| other == first));
                checked += 1;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert!(checked > 0);
    }
}

#[tokio::test(start_paused = true)]
async fn pause_is_detected_before_serving() {
    // A VM is paused for a minute, in which an operator replaces the configuration. The process
    // resumes with the old one and must refuse requests rather than serve them with it.
    let fleet = Fleet::start(6, 1).await;
    fleet.entry(0).apply(TEMPLATE).await.unwrap();
    fleet.until_revision(1, IN_FORCE_LIMIT).await;
    for number in 1..6 {
        let paused = fleet.entry(number);
        fleet.network.pause(paused.address, true);
        // Its polls are answered meanwhile; the answers, with the old revision, are queued.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let expected = fleet.entry(0).node.revision().next();
        fleet.entry(0).apply(&template(number as u8)).await.unwrap();
        tokio::time::sleep(Duration::from_secs(60)).await;
        assert!(paused.node.revision() < expected);
        // It can reach nobody for a while after it resumes.
        fleet.network.cut(paused.address);
        fleet.kv.set_down(true);
        fleet.network.pause(paused.address, false);
        // The pause can't be detected before the next check of the clock.
        tokio::time::sleep(flamingowheel_control::pause::TICK_INTERVAL).await;
        for step in 0..5_000 {
            let stale = paused.node.revision() < expected;
            assert!(!(stale && paused.node.may_serve()), "entry-{number} serves an old revision");
            tokio::time::sleep(Duration::from_millis(1)).await;
            if step == 2_000 {
                fleet.network.reconnect(paused.address);
            }
        }
        fleet.kv.set_down(false);
        assert_eq!(paused.node.revision(), expected);
        assert!(paused.node.may_serve());
    }
}

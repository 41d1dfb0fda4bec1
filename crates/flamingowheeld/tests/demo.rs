//! The demo fleet over real sockets on loopback.

use flamingowheel_daemon::demo::{Fleet, once};

// The demo of the README must work: the address query is answered, a stream is complete, a work
// order submitted twice runs once, and no step of the rank group ran with two maps or two model
// versions.
#[tokio::test(flavor = "multi_thread")]
async fn once_run_passes_all_checks() {
    let fleet = Fleet::start().await.unwrap();
    assert!(once::run(&fleet).await.unwrap());
    assert_eq!(fleet.standins.group.map_mismatches(), []);
    assert!(fleet.standins.group.version_mismatches().is_empty());
    fleet.leave().await;
}

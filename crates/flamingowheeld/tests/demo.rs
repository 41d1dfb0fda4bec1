//! The whole fleet over real sockets on loopback.

use flamingowheel_daemon::demo::{Fleet, once};

// What README's first command shows must hold, or a newcomer's first look is a lie: the address
// question is answered, a stream is whole, a work order filed twice runs once, and no step of the
// rank group was run with two maps or two versions of the model.
#[tokio::test(flavor = "multi_thread")]
async fn demo_once_shows_what_is_promised() {
    let fleet = Fleet::start().await.unwrap();
    assert!(once::run(&fleet).await.unwrap());
    assert_eq!(fleet.standins.group.splits(), []);
    assert!(fleet.standins.group.mixed().is_empty());
    fleet.leave().await;
}

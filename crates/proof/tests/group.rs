//! Switches of a group's map at a distance.

use flamingowheel_group::gate::EngineKind;
use flamingowheel_proof::group::Fleet;
use std::time::Duration;
use tokio::time::sleep;

// Messages take longer than steps, as on a bad day between two data centres. The boundary at which
// the group was to stop had always been passed when the order came, so the map never changed.
#[tokio::test(start_paused = true)]
async fn switch_messages_slower_than_steps() {
    let distance = Duration::from_millis(100);
    let fleet = Fleet::start_with_latency(EngineKind::ChecksFence, None, distance).await;
    fleet.set_desired_map(2);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(fleet.engine(0).peek_state().map_version, 2);
    assert_eq!(fleet.engine(0).peek_state().held_after_step, None);
    fleet.check().unwrap();
}

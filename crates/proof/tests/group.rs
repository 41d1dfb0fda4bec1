//! Switches of a group's map with high message latency.

use flamingowheel_group::gate::EngineKind;
use flamingowheel_proof::group::Fleet;
use std::time::Duration;
use tokio::time::sleep;

// Guards against a switch that never happens when messages take longer than steps, as can occur
// between two data centres: the step at which the group was to stop had always passed when the
// order arrived.
#[tokio::test(start_paused = true)]
async fn switch_messages_slower_than_steps() {
    let latency = Duration::from_millis(100);
    let fleet = Fleet::start_with_latency(EngineKind::ChecksFence, None, latency).await;
    fleet.set_desired_map(2);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(fleet.engine(0).peek_state().map_version, 2);
    assert_eq!(fleet.engine(0).peek_state().held_after_step, None);
    fleet.check().unwrap();
}

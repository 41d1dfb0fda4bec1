//! Keeps the configuration in force the same as the accepted one.

use flamingowheel_config::effective::{ConfigRevision, Effective};
use flamingowheel_config::replica::Replica;
use flamingowheel_config::store::Store;
use flamingowheel_entry::state::EntryState;
use flamingowheel_observe::event::Event;
use flamingowheel_observe::reason::ConfigSource;
use std::sync::Arc;
use std::time::Duration;

/// Time between two reads of the configuration's head.
const INTERVAL: Duration = Duration::from_secs(1);

/// Follows the configuration for ever.
pub async fn follow(store: Store, state: Arc<EntryState>) {
    let mut replica = Replica::default();
    let mut tick = tokio::time::interval(INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        if let Err(error) = store.catch_up(&mut replica).await {
            tracing::warn!(%error, "configuration not read");
            continue;
        }
        put_in_force(&replica, &state);
    }
}

/// Revisions only rise, so an older answer never replaces a newer one.
fn put_in_force(replica: &Replica, state: &EntryState) {
    let in_force = state.effective.load().revision();
    if replica.revision() <= in_force && in_force != ConfigRevision::default() {
        return;
    }
    if replica.revision() == in_force {
        return;
    }
    state.effective.store(Arc::new(Effective::new(replica.documents())));
    state.recorder.record(Event::ConfigurationInForce {
        revision: replica.revision().0,
        source: ConfigSource::PeriodicRead,
    });
}

//! The configuration in force in this process, and its confirmation.

use super::{Node, Origin, resolve};
use flamingowheel_config::api::ConfigSource;
use flamingowheel_config::change::Change;
use flamingowheel_config::effective::ConfigRevision;
use flamingowheel_config::replica::{AdvanceError, Replica};
use flamingowheel_observe::event::Event;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

impl Node {
    /// Puts a replica in force if it is newer than the current one, and returns whether it was.
    pub fn replace_if_newer(&self, replica: Replica, origin: Origin) -> bool {
        let offered = replica.revision();
        let (replaced, in_force) = self.update_replica(origin, |own| own.replace_if_newer(replica));
        if !replaced && offered < in_force {
            let event =
                Event::OlderConfigurationRefused { revision: offered.0, in_force: in_force.0 };
            self.shared.recorder.record(event);
        }
        replaced
    }

    /// Applies changes that follow the revision in force. Older ones are skipped.
    pub fn advance(&self, changes: Vec<Arc<Change>>, origin: Origin) -> Result<(), AdvanceError> {
        let mut gap = Ok(());
        self.update_replica(origin, |own| {
            let before = own.revision();
            for change in changes {
                match own.advance(change) {
                    Ok(()) | Err(AdvanceError::Stale { .. }) => {}
                    Err(error) => {
                        gap = Err(error);
                        break;
                    }
                }
            }
            own.revision() > before
        });
        gap
    }

    /// Updates the replica and, if `update` returns true, puts its configuration in force.
    fn update_replica<F>(&self, origin: Origin, update: F) -> (bool, ConfigRevision)
    where
        F: FnOnce(&mut Replica) -> bool,
    {
        let mut state = self.state();
        let before = state.replica.revision();
        let changed = update(&mut state.replica);
        let revision = state.replica.revision();
        if changed {
            // Published under the lock, so that an older configuration can't follow a newer one.
            let effective = resolve(&self.shared.effective.borrow(), before, &state.replica);
            self.shared.effective.send_replace(Arc::new(effective));
            self.publish_progress(&state);
            let event = Event::ConfigurationInForce { revision: revision.0, source: origin };
            self.shared.recorder.record(event);
        }
        (changed, revision)
    }

    /// Records that the key-value service answered and that the replica has its newest revision.
    pub fn confirm_by_service(&self) {
        let mut state = self.state();
        state.key_value_answered_at = Some(Instant::now());
        state.service_answered_at = state.key_value_answered_at;
        state.source = ConfigSource::KeyValue;
        state.confirm();
    }

    /// Records that peers were asked and none has a newer revision. `service_answered` is the time
    /// since the key-value service last answered any process, as reported by the peer.
    ///
    /// An answer of the service from before the start of this process does not cover later changes.
    /// If it counted, operators would see this process as in sync with the service during an
    /// outage.
    pub fn confirm_by_peers(&self, service_answered: Option<Duration>) {
        let mut state = self.state();
        let answered_at = service_answered.and_then(|ago| Instant::now().checked_sub(ago));
        state.service_answered_at = state.service_answered_at.max(answered_at);
        let since_start = state.service_answered_at.is_some_and(|at| at >= state.started_at);
        state.source = match state.source {
            ConfigSource::KeyValue => ConfigSource::KeyValue,
            _ if since_start => ConfigSource::KeyValue,
            _ => ConfigSource::PeersOnly,
        };
        state.confirm();
    }

    /// Time since the configuration was last confirmed; `None` if it never was.
    pub fn since_confirmed(&self) -> Option<Duration> {
        self.state().confirmed_at.map(|at| at.elapsed())
    }
}

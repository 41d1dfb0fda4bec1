//! What is in force here, and who confirmed it.

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
    /// Takes a newer replica; an older one changes nothing. Tells whether it was newer.
    pub fn adopt(&self, replica: Replica, origin: Origin) -> bool {
        let offered = replica.revision();
        let (taken, own) = self.configure(origin, |own| own.replace_if_newer(replica));
        if !taken && offered < own {
            let event = Event::OlderConfigurationRefused { revision: offered.0, in_force: own.0 };
            self.shared.recorder.record(event);
        }
        taken
    }

    /// Takes the changes that follow; those it has are passed over.
    pub fn advance(&self, changes: Vec<Arc<Change>>, origin: Origin) -> Result<(), AdvanceError> {
        let mut gap = Ok(());
        self.configure(origin, |own| {
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

    /// Changes the replica and, if it moved, puts its configuration in force.
    fn configure<F>(&self, origin: Origin, change: F) -> (bool, ConfigRevision)
    where
        F: FnOnce(&mut Replica) -> bool,
    {
        let mut state = self.state();
        let before = state.replica.revision();
        let moved = change(&mut state.replica);
        let revision = state.replica.revision();
        if moved {
            // Published under the lock, so that an older one can't come after a newer one.
            let effective = resolve(&self.shared.effective.borrow(), before, &state.replica);
            self.shared.effective.send_replace(Arc::new(effective));
            self.publish(&state);
            let event = Event::ConfigurationInForce { revision: revision.0, source: origin };
            self.shared.recorder.record(event);
        }
        (moved, revision)
    }

    /// The key-value service answered, and the replica is as new as it said.
    pub fn confirm_by_service(&self) {
        let mut state = self.state();
        state.key_value_answered_at = Some(Instant::now());
        state.service_answered_at = state.key_value_answered_at;
        state.source = ConfigSource::KeyValue;
        state.confirm();
    }

    /// Peers were asked, and none has anything newer. `service_answered` is how long ago the
    /// key-value service answered, as far as they know.
    ///
    /// An answer from before this process started proves nothing about what was accepted since.
    /// Taking it as confirmation would show operators a process in line with the service while
    /// that is down.
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

    /// How long nobody has confirmed the configuration.
    pub fn since_confirmed(&self) -> Option<Duration> {
        self.state().confirmed_at.map(|at| at.elapsed())
    }
}

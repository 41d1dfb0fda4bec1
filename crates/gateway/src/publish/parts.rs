//! This entry's parts of what servers take from all entries together.

use super::Publisher;
use flamingowheel_policy::reuse;

impl Publisher {
    /// Tells each server what it may get while cold.
    pub(super) fn set_cold_allowances(&self) {
        let (Some((bounds, _)), Some(configuration)) = (&self.cold, &self.configuration) else {
            return;
        };
        let entries = self.outputs.budget.entries();
        for server in self.listings.current() {
            let service = configuration.services.get(&server.listed.service);
            let warm_up = service.and_then(|service| service.warm_up.as_ref());
            server.set_cold_allowance(warm_up.map(|w| bounds.allowance(w)), entries);
        }
    }

    /// Divides the connections that may be idle among the entries.
    pub(super) fn set_idle_parts(&self) {
        let Some(configuration) = &self.configuration else {
            return;
        };
        for server in self.listings.current() {
            if let Some(service) = configuration.services.get(&server.listed.service) {
                server.set_max_idle(reuse::idle_part(
                    service.max_connections,
                    self.counted_entries(),
                ));
            }
        }
    }
}

//! Evacuations of data centres, and the check that their backend servers get no requests.

use crate::report::Violation;
use crate::signals::{Call, Observed};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time after its acknowledgement within which an evacuation is in force.
const EVACUATE_LIMIT: Duration = Duration::from_secs(2);

/// Number of data centres that the backend servers are spread over.
const DATA_CENTRES: usize = 3;

/// The data centre of the backend server with this number.
pub fn data_centre_of(server: usize) -> String {
    format!("z-{}", server % DATA_CENTRES)
}

/// Store key of an evacuation.
pub fn evacuation_key(data_centre: &str) -> String {
    format!("op/evacuate/{data_centre}")
}

/// A span during which a data centre was evacuated.
#[derive(Clone, Debug)]
pub struct EvacuationSpan {
    /// Names of its backend servers.
    pub servers: Vec<String>,
    /// When the evacuation was acknowledged.
    pub from: Instant,
    /// When its end was sent.
    pub until: Instant,
}

impl Observed<'_> {
    /// Requests that reached a server later than 2 s after its evacuation; the first of each server.
    /// A fault of the entry since then excuses it.
    pub fn check_evacuations(&self, spans: &[EvacuationSpan]) -> Vec<Violation> {
        let calls: HashMap<&str, &Call> =
            self.calls.iter().map(|call| (call.attempt.as_str(), call)).collect();
        let mut broken: HashMap<&str, Violation> = HashMap::new();
        for span in spans {
            let is_late = |at: Instant| at > span.from + EVACUATE_LIMIT && at < span.until;
            let arrivals = self.arrivals.iter().filter(|arrival| is_late(arrival.at));
            for arrival in arrivals.filter(|arrival| span.servers.contains(&arrival.server)) {
                let Some(call) = calls.get(arrival.attempt.as_str()) else { continue };
                if !self.is_excused(call.entry, span.from, arrival.at) {
                    let (server, entry) = (arrival.server.clone(), call.entry);
                    let violation = Violation::SentToEvacuated { server, entry };
                    broken.entry(&arrival.server).or_insert(violation);
                }
            }
        }
        broken.into_values().collect()
    }
}

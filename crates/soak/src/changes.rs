//! Checks that a series of configurations is in force in time at all entries in touch, from what
//! callers see.
//!
//! Each version revokes the key that the version before it added, and adds one of its own. An entry
//! that missed a whole series still takes the key of before.

use crate::callers::{Kind, client, send_with_key};
use crate::fleet::Fleet;
use crate::report::Violation;
use crate::signals::{FaultSpan, STABILITY_WINDOW};
use futures_util::future::join_all;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Time after its acknowledgement within which a configuration is in force.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

/// Time for a call to its acknowledgement, for which the moment of the store's own is not known.
const ACKNOWLEDGE_TIME: Duration = Duration::from_millis(20);

/// A request that shows whether a version is in force.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The entry it was sent to, by its index.
    pub entry: usize,
    /// The version that is to be in force.
    pub version: u64,
    /// The newest version when the answer was complete.
    pub newest: u64,
    /// Whether the version revoked the request's key; otherwise it added it.
    pub is_revoked: bool,
    /// When it was sent.
    pub sent_at: Instant,
    /// Status of the answer; `None` if there was none.
    pub status: Option<u16>,
}

/// The key that a version adds.
pub fn key_of(version: u64) -> String {
    format!("soak-key-{version}")
}

/// Publishes a series of configurations, and probes all entries once the last one has to be in
/// force.
pub async fn publish_series(fleet: &Fleet, gaps_ms: &[u64]) {
    let revoked = fleet.newest_version();
    let mut added = revoked;
    for gap_ms in gaps_ms {
        sleep(Duration::from_millis(*gap_ms)).await;
        added = fleet.publish_configuration().await;
    }
    let in_force_at = Instant::now() + IN_FORCE_LIMIT + ACKNOWLEDGE_TIME;
    sleep_until(in_force_at).await;
    let probes = (0..fleet.entries.len())
        .flat_map(|entry| [probe(fleet, entry, added, revoked), probe(fleet, entry, added, added)]);
    let probes = join_all(probes).await;
    fleet.record_probes(probes);
}

async fn probe(fleet: &Fleet, entry: usize, version: u64, key_version: u64) -> Probe {
    let sent_at = Instant::now();
    let status = ask(fleet.entries[entry].callers, &key_of(key_version)).await;
    let newest = fleet.newest_version();
    Probe { entry, version, newest, is_revoked: key_version != version, sent_at, status }
}

async fn ask(entry: SocketAddr, key: &str) -> Option<u16> {
    let attempt = format!("{:016x}", rand::random::<u64>());
    let answer = send_with_key(&client(entry)?, Kind::Safe, &attempt, key).await;
    answer.ok().map(|answer| answer.status.as_u16())
}

/// Whether an entry was in touch when it was probed: without a fault of its own or of the store for
/// [`STABILITY_WINDOW`].
pub fn is_in_touch(probe: &Probe, faults: &[FaultSpan]) -> bool {
    let begins = probe.sent_at - STABILITY_WINDOW;
    let mut own = faults.iter().filter(|fault| fault.entry == probe.entry);
    !own.any(|fault| fault.from <= probe.sent_at && fault.until >= begins)
}

/// The violation that a probe of an entry in touch shows.
pub fn violation(probe: &Probe) -> Option<Violation> {
    let (entry, version, status) = (probe.entry, probe.version, probe.status?);
    let is_denied = matches!(status, 401 | 403 | 404);
    // A newer version may have revoked the key meanwhile.
    let is_owed = probe.newest == probe.version;
    let is_wrong = if probe.is_revoked { status == 200 } else { is_denied && is_owed };
    is_wrong.then_some(Violation::NotInForce { entry, version, status })
}

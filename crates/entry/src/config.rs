//! What an entry is told at start.

use flamingowheel_policy::prefix::BLOCK_SIZE_BYTES;
use flamingowheel_protocol::auth::FleetKey;
use flamingowheel_protocol::id::Incarnation;
use std::net::SocketAddr;
use std::time::Duration;

/// Identity and limits of an entry.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Unique in the fleet.
    pub name: String,
    /// Drawn at process start.
    pub incarnation: Incarnation,
    /// The data centre it runs in.
    pub data_centre: String,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// The fleet's key.
    pub fleet_key: FleetKey,
    /// Seeds the hashes of requests; the same in all entries, and known to the fleet only.
    pub fingerprint_seed: u64,
    /// How long callers keep an address answer.
    pub address_ttl: Duration,
    /// Largest request body taken.
    pub max_body_bytes: usize,
    /// How long a caller may take to send the body.
    pub body_timeout: Duration,
    /// How long an attempt whose connection was lost waits for another connection.
    pub reconnect_limit: Duration,
    /// How long a cancel waits for its answer.
    pub cancel_limit: Duration,
    /// How long a bound idempotency key is remembered.
    pub key_record_time: Duration,
    /// A comment is sent on an event stream that is idle for this long.
    pub stream_heartbeat: Duration,
    /// Bytes of a request that make one block of the engines' prefix cache. A parameter of the
    /// deployment: the same for all its engines, or their cached prefixes are not recognised.
    pub cache_block_bytes: usize,
}

impl EntryConfig {
    /// Limits fit for production, around the given identity.
    ///
    /// ```
    /// use flamingowheel_entry::config::EntryConfig;
    /// use flamingowheel_protocol::auth::FleetKey;
    /// let address = "127.0.0.1:8080".parse().unwrap();
    /// let config = EntryConfig::new("entry-1", "ga-a", address, FleetKey::new([1; 32]));
    /// assert_eq!(config.address_ttl.as_secs(), 20);
    /// ```
    pub fn new(
        name: &str,
        data_centre: &str,
        caller_address: SocketAddr,
        fleet_key: FleetKey,
    ) -> Self {
        Self {
            name: name.to_owned(),
            incarnation: Incarnation::fresh(),
            data_centre: data_centre.to_owned(),
            caller_address,
            fingerprint_seed: fingerprint_seed(&fleet_key),
            fleet_key,
            address_ttl: Duration::from_secs(20),
            max_body_bytes: 8 << 20,
            body_timeout: Duration::from_secs(30),
            reconnect_limit: Duration::from_secs(5),
            cancel_limit: Duration::from_secs(1),
            key_record_time: Duration::from_secs(24 * 3600),
            stream_heartbeat: Duration::from_secs(1),
            cache_block_bytes: BLOCK_SIZE_BYTES,
        }
    }
}

/// Drawn from the key once, since it is needed for every request.
fn fingerprint_seed(key: &FleetKey) -> u64 {
    let tag = key.tag(b"flamingowheel fingerprint 1", &[]);
    tag.iter().take(8).rev().fold(0, |seed, byte| seed << 8 | u64::from(*byte))
}

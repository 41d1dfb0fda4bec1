//! Configuration of an entry process.

use flamingowheel_policy::prefix::BLOCK_SIZE_BYTES;
use flamingowheel_protocol::auth::FleetKey;
use flamingowheel_protocol::id::Incarnation;
use std::net::SocketAddr;
use std::time::Duration;

/// Identity and limits of an entry.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// The entry's name, unique in the fleet.
    pub name: String,
    /// Identifies this process; drawn at random at its start.
    pub incarnation: Incarnation,
    /// The data centre it runs in.
    pub data_centre: String,
    /// The address at which callers reach it.
    pub caller_address: SocketAddr,
    /// Signs and verifies tickets and stream tokens; the same in all processes of the fleet.
    pub fleet_key: FleetKey,
    /// Seeds request fingerprints. It is the same in all entries and secret outside the fleet.
    pub fingerprint_seed: u64,
    /// How long callers may cache the list of entry addresses.
    pub address_ttl: Duration,
    /// Largest accepted request body.
    pub max_body_bytes: usize,
    /// Timeout for reading a request body.
    pub body_timeout: Duration,
    /// How long an attempt whose connection was lost waits for a new one.
    pub reconnect_timeout: Duration,
    /// How long a cancel waits for the agent's reply.
    pub cancel_timeout: Duration,
    /// How long the record of a bound idempotency key is kept.
    pub key_retention: Duration,
    /// Time without data after which a comment line is sent on an event stream.
    pub stream_heartbeat: Duration,
    /// Bytes of a request per block of the engines' prefix caches. It must match all engines of
    /// the deployment, or cached prefixes are not recognised.
    pub cache_block_bytes: usize,
}

impl EntryConfig {
    /// A configuration with this identity and default limits.
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
            reconnect_timeout: Duration::from_secs(5),
            cancel_timeout: Duration::from_secs(1),
            key_retention: Duration::from_secs(24 * 3600),
            stream_heartbeat: Duration::from_secs(1),
            cache_block_bytes: BLOCK_SIZE_BYTES,
        }
    }
}

/// Derived from the key once, since every request needs it.
fn fingerprint_seed(key: &FleetKey) -> u64 {
    let tag = key.tag(b"flamingowheel fingerprint 1", &[]);
    tag.iter().take(8).rev().fold(0, |seed, byte| seed << 8 | u64::from(*byte))
}

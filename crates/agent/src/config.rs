//! What an agent is told at start.

use flamingowheel_protocol::id::Incarnation;
use flamingowheel_protocol::message::BackendProfile;
use std::net::SocketAddr;
use std::time::Duration;

/// Limits and identity of an agent.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// Unique in the fleet.
    pub name: String,
    /// The VM it runs on.
    pub vm: String,
    /// The data centre it runs in.
    pub data_centre: String,
    /// Where operators reach it.
    pub operators: Option<SocketAddr>,
    /// Drawn at process start.
    pub incarnation: Incarnation,
    /// What the backend server serves.
    pub profile: BackendProfile,
    /// Requests that may wait here before new ones are refused.
    pub queue_places: usize,
    /// Length of a record window.
    pub window: Duration,
    /// How many windows attempts are remembered.
    pub attempt_windows: u32,
    /// How many windows tickets are remembered.
    pub ticket_windows: u32,
    /// Attempts remembered at most; older windows are closed early beyond it.
    pub max_attempt_records: usize,
    /// Tickets remembered at most; new ones are refused beyond it.
    pub max_ticket_records: usize,
    /// Bytes of tickets' answers remembered at most, over all records; new tickets are refused
    /// beyond it. What runs at that moment may exceed it by one answer each.
    pub max_record_bytes: usize,
    /// Bytes of idempotent work's answers kept for replay at the most, over all records; new
    /// idempotent work is refused beyond it. What runs at that moment may exceed it by one answer
    /// each.
    pub max_attempt_bytes: usize,
    /// Bytes of one answer kept for replay.
    pub max_replay_bytes: usize,
    /// How long idempotent work goes on without anybody attached.
    pub orphan_timeout: Duration,
}

impl AgentConfig {
    /// Limits fit for production, around the given identity.
    ///
    /// ```
    /// use flamingowheel_agent::config::AgentConfig;
    /// use flamingowheel_protocol::message::{BackendProfile, Serves};
    /// let profile = BackendProfile {
    ///     serves: Serves::Service { service: "orders".into() }, places: 4, can_resume: false, experts: None,
    /// };
    /// assert_eq!(AgentConfig::new("desk-1", "attiki-a", profile).queue_places, 4);
    /// ```
    pub fn new(name: &str, data_centre: &str, profile: BackendProfile) -> Self {
        Self {
            name: name.to_owned(),
            vm: String::new(),
            operators: None,
            data_centre: data_centre.to_owned(),
            incarnation: Incarnation::fresh(),
            queue_places: profile.places as usize,
            profile,
            window: Duration::from_secs(10),
            attempt_windows: 12,
            ticket_windows: 8_640,
            max_attempt_records: 100_000,
            max_ticket_records: 100_000,
            max_record_bytes: 64 << 20,
            max_attempt_bytes: 192 << 20,
            max_replay_bytes: 256 * 1024,
            orphan_timeout: Duration::from_secs(10),
        }
    }

    /// How long a ticket's record is kept.
    pub fn ticket_retention(&self) -> Duration {
        self.window * self.ticket_windows
    }
}

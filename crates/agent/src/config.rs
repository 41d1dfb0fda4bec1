//! Configuration of an agent.

use flamingowheel_protocol::id::Incarnation;
use flamingowheel_protocol::message::BackendProfile;
use std::net::SocketAddr;
use std::time::Duration;

/// Limits and identity of an agent.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// Name of the agent, unique in the fleet.
    pub name: String,
    /// VM that the agent runs on.
    pub vm: String,
    /// Data centre that the agent runs in.
    pub data_centre: String,
    /// Address of the agent's interface for operators, if it has one.
    pub operators: Option<SocketAddr>,
    /// Identifies this agent process; drawn when it starts.
    pub incarnation: Incarnation,
    /// What the backend server serves, and its capacity.
    pub profile: BackendProfile,
    /// Number of requests that may be queued before new ones are refused.
    pub queue_places: usize,
    /// Length of a record window.
    pub window: Duration,
    /// Number of windows for which attempts are kept.
    pub attempt_windows: u32,
    /// Number of windows for which tickets are kept.
    pub ticket_windows: u32,
    /// Upper bound on records of attempts; at the bound the oldest windows are closed early.
    pub max_attempt_records: usize,
    /// Upper bound on records of tickets; at the bound new tickets are refused.
    pub max_ticket_records: usize,
    /// Bytes of tickets' answers, over all records, at which new tickets are refused. Each running
    /// request may exceed the bound by its answer.
    pub max_record_bytes: usize,
    /// Bytes of answers to idempotent requests kept for replay, over all records, at which new
    /// idempotent requests are refused. Each running request may exceed the bound by its answer.
    pub max_attempt_bytes: usize,
    /// Bytes of one answer that are kept for replay.
    pub max_replay_bytes: usize,
    /// How long an idempotent request runs without an attached entry before it is stopped.
    pub orphan_timeout: Duration,
}

impl AgentConfig {
    /// The production defaults for an agent with this identity.
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

    /// How long the record of a ticket is kept.
    pub fn ticket_retention(&self) -> Duration {
        self.window * self.ticket_windows
    }
}

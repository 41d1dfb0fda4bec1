//! Types of `GET /v1/events`, served by every process on its operators' port.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::clock::Stamp;
use crate::event::{Name, StampedEvent};

/// Path of the events of a process.
pub const EVENTS_PATH: &str = "/v1/events";

/// Path of the metrics of a process.
pub const METRICS_PATH: &str = "/metrics";

/// Filter for events; absent fields match everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventQuery {
    /// Events of this request only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<Uuid>,
    /// Events of this group only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<Name>,
    /// Events of this workspace only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<Name>,
    /// Events from this wall-clock time on, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since_ms: Option<u64>,
    /// Most events to return; the newest ones are kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<usize>,
}

impl EventQuery {
    /// Whether an event passes all filters; `limit` is not considered.
    ///
    /// ```
    /// use flamingowheel_observe::api::EventQuery;
    /// use flamingowheel_observe::clock::Stamp;
    /// use flamingowheel_observe::event::{Event, StampedEvent, Subject};
    ///
    /// let event = StampedEvent {
    ///     stamp: Stamp::new(1_000, 0),
    ///     sequence: 1,
    ///     process: "entry-1".into(),
    ///     subject: Subject::default().group("runners-a"),
    ///     event: Event::LeaseLost { lease: "runners-a".into() },
    /// };
    /// let query = EventQuery { group: Some("runners-a".into()), ..EventQuery::default() };
    /// assert!(query.matches(&event));
    /// ```
    pub fn matches(&self, event: &StampedEvent) -> bool {
        let subject = &event.subject;
        self.since_ms.is_none_or(|since_ms| event.stamp.wall_ms() >= since_ms)
            && (self.request.is_none() || self.request == subject.request)
            && (self.group.is_none() || self.group == subject.group)
            && (self.workspace.is_none() || self.workspace == subject.workspace)
    }
}

/// Name and location of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessInfo {
    /// Name, unique in the fleet.
    pub name: Name,
    /// The VM it runs on.
    pub vm: Name,
    /// The data centre of that VM.
    pub data_centre: Name,
}

/// Answer of `GET /v1/events`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventsAnswer {
    /// The process that recorded the events.
    pub process: ProcessInfo,
    /// Its hybrid logical clock when it answered.
    pub now: Stamp,
    /// Stamp of the oldest event that it still keeps, of any subject.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub oldest: Option<Stamp>,
    /// Events that were overwritten since it started.
    pub overwritten: u64,
    /// Older matching events omitted because of the query's limit.
    #[serde(default)]
    pub left_out: u64,
    /// The matching events, oldest first.
    pub events: Vec<Arc<StampedEvent>>,
}

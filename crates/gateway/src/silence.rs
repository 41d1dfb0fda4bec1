//! Detects a backend server that has stalled while its rank group continues to run passes.
//!
//! The VM beside an engine may stall: its connections stay open but deliver nothing, while the
//! group continues to run passes. Callers give up after two seconds, although another server could
//! serve them in a fraction of that.

use crate::group::GroupLoad;
use crate::server::Server;
use crate::view::Views;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Time between checks whether a wait is overdue.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time without an event of a stream in progress after which its server is checked: several passes.
pub const EVENT_LIMIT: Duration = Duration::from_millis(600);

/// Time limit for the head of an answer if the coordinator reports the server as silent.
const REPORTED_HEAD_LIMIT: Duration = Duration::from_millis(300);

/// The same if there is no recent report from the coordinator. It is longer, since a request may
/// well be queued this long at a server.
const UNREPORTED_HEAD_LIMIT: Duration = Duration::from_millis(1_000);

/// Monitors a server on behalf of one request.
#[derive(Clone, Debug)]
pub struct SilenceDetector {
    views: Views,
    server: Arc<Server>,
    group: Option<Arc<GroupLoad>>,
}

impl SilenceDetector {
    /// Creates a detector for a server of `group`.
    pub fn new(views: Views, server: Arc<Server>, group: Option<Arc<GroupLoad>>) -> Self {
        Self { views, server, group }
    }

    /// Resolves once the head of the answer is overdue while the group continues to run passes.
    pub async fn head_overdue(&self, sent_at: Instant) {
        sleep_until(sent_at + REPORTED_HEAD_LIMIT).await;
        self.poll_until(|now| self.is_head_overdue(now - sent_at, now)).await;
    }

    /// Resolves once the next event of a stream is overdue while the group continues to run passes.
    pub async fn event_overdue(&self, last_at: Instant) {
        sleep_until(last_at + EVENT_LIMIT).await;
        self.poll_until(|now| self.is_group_active(now)).await;
    }

    async fn poll_until<F>(&self, is_silent: F)
    where
        F: Fn(Instant) -> bool,
    {
        while !is_silent(Instant::now()) {
            sleep(CHECK_INTERVAL).await;
        }
    }

    fn is_head_overdue(&self, waited: Duration, now: Instant) -> bool {
        let Some(group) = &self.group else {
            return false;
        };
        let view = self.views.load();
        let group_rank = view.group_ranks.get(&self.server.listed.address);
        match group_rank.and_then(|group_rank| group.is_reported_silent(group_rank.rank, now)) {
            Some(is_silent) => is_silent,
            None => {
                waited > UNREPORTED_HEAD_LIMIT
                    && self.server.status(now).is_silent
                    && self.is_group_active(now)
            }
        }
    }

    fn is_group_active(&self, now: Instant) -> bool {
        let address = self.server.listed.address;
        self.group.as_ref().is_some_and(|group| group.is_active_without(address, now))
    }
}

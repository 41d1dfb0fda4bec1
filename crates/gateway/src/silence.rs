//! Tells a backend server that stands still from a group that does.
//!
//! The VM beside an engine may stop: its connections stay open and nothing comes, while the group's passes
//! go on. Callers leave after two seconds, and could be served elsewhere in a fraction of that.

use crate::group::GroupLoad;
use crate::server::Server;
use crate::view::Views;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Time between looks.
const STEP: Duration = Duration::from_millis(50);

/// Time without an event of a stream in progress after which its server is looked at: several passes.
const STREAM_LIMIT: Duration = Duration::from_millis(600);

/// Time for the head of an answer where the coordinator says that the server is silent.
const REPORTED_LIMIT: Duration = Duration::from_millis(300);

/// The same where no coordinator is heard. A request may well wait this long in a server's queue.
const UNREPORTED_LIMIT: Duration = Duration::from_millis(1_000);

/// Watches a server on behalf of one request.
#[derive(Clone, Debug)]
pub struct Watcher {
    views: Views,
    server: Arc<Server>,
    group: Option<Arc<GroupLoad>>,
}

impl Watcher {
    /// A watcher of a server that is part of `group`.
    pub fn new(views: Views, server: Arc<Server>, group: Option<Arc<GroupLoad>>) -> Self {
        Self { views, server, group }
    }

    /// Resolves when the server has sent no head for too long while its group goes on without it.
    pub async fn no_head(&self, sent_at: Instant) {
        sleep_until(sent_at + REPORTED_LIMIT).await;
        self.until(|now| self.owes_head(now - sent_at, now)).await;
    }

    /// Resolves when a stream has had no event for too long while its group goes on without its server.
    pub async fn no_event(&self, last_at: Instant) {
        sleep_until(last_at + STREAM_LIMIT).await;
        self.until(|now| self.lives_without(now)).await;
    }

    async fn until<F>(&self, is_silent: F)
    where
        F: Fn(Instant) -> bool,
    {
        while !is_silent(Instant::now()) {
            sleep(STEP).await;
        }
    }

    fn owes_head(&self, waited: Duration, now: Instant) -> bool {
        let Some(group) = &self.group else {
            return false;
        };
        let view = self.views.load();
        let seat = view.seats.get(&self.server.listed.address);
        match seat.and_then(|seat| group.is_reported_silent(seat.rank, now)) {
            Some(is_silent) => is_silent,
            None => {
                waited > UNREPORTED_LIMIT
                    && self.server.standing(now).is_silent
                    && self.lives_without(now)
            }
        }
    }

    fn lives_without(&self, now: Instant) -> bool {
        let address = self.server.listed.address;
        self.group.as_ref().is_some_and(|group| group.lives_without(address, now))
    }
}

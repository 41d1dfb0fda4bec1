//! Failure detection: when this process marks other members as silent.

use super::{Node, State};
use crate::membership::Observation;
use std::time::Duration;
use tokio::time::Instant;

impl Node {
    /// Marks members of `watched` as silent that were not seen for `timeout`.
    ///
    /// A process that receives nothing from most members is more likely partitioned itself. Its
    /// suspicions would all propagate once it is back and remove every entry from address answers
    /// for a while. So a member is marked only if most of the others were seen at least `margin`
    /// after it, or if the key-value service answers this process. `margin` must exceed the time
    /// between two messages of a healthy peer. When a partitioned process receives from most
    /// members again, the others get the full timeout, since messages of different members
    /// resume at different times.
    pub fn detect_silent_members(&self, watched: &[String], timeout: Duration, margin: Duration) {
        self.update(|state| state.detect_silent_members(watched, timeout, margin));
    }
}

impl State {
    /// Gives newly watched members the full timeout. Their last-seen time can't be used: until
    /// their own tables show that they should poll this process, they don't poll it.
    fn start_watching(&mut self, watched: &[String]) {
        let now = Instant::now();
        for name in watched.iter().filter(|name| !self.watched.contains(name)) {
            self.table.mark_seen(name, now);
        }
        self.watched = watched.to_vec();
    }

    fn detect_silent_members(
        &mut self,
        watched: &[String],
        timeout: Duration,
        margin: Duration,
    ) -> Vec<Observation> {
        self.start_watching(watched);
        let last_seen = |name: &String| self.table.member(name).map(|member| member.last_seen_at);
        let times: Vec<(&String, Instant)> =
            watched.iter().filter_map(|name| Some((name, last_seen(name)?))).collect();
        let overdue: Vec<&(&String, Instant)> =
            times.iter().filter(|(_, at)| at.elapsed() >= timeout).collect();
        let has_key_value = self.key_value_answered_at.is_some_and(|at| at.elapsed() < 2 * timeout);
        let was_partitioned = self.partitioned;
        self.partitioned = 2 * overdue.len() > times.len() && !has_key_value;
        if was_partitioned && !self.partitioned {
            self.table.reset_last_seen(Instant::now());
            return Vec::new();
        }
        let most_seen_after = |at: Instant| {
            2 * times.iter().filter(|(_, other)| *other >= at + margin).count() >= times.len()
        };
        let silent = overdue.iter().filter(|(_, at)| has_key_value || most_seen_after(*at));
        let silent: Vec<&String> = silent.map(|(name, _)| *name).collect();
        silent.into_iter().filter_map(|name| self.table.mark_silent(name)).collect()
    }
}

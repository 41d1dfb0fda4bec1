//! Calling others silent, and when not to.

use super::{Node, State};
use crate::membership::Observation;
use std::time::Duration;
use tokio::time::Instant;

impl Node {
    /// Calls those of `watched` silent that were not heard for `limit`.
    ///
    /// A process that hears hardly anybody is more likely cut off itself. Its accusations would
    /// all go round once it is back, and for a while take everybody out of address answers. So
    /// it accuses only if it heard most of the others for `longer` than the accused, a time that
    /// must exceed the one between two words of a healthy peer, or if the key-value service
    /// answers it. Once it hears most again, the rest get the full time, since they come back
    /// one after the other.
    pub fn detect_silent_members(&self, watched: &[String], limit: Duration, longer: Duration) {
        self.change(|state| state.detect_silent_members(watched, limit, longer));
    }
}

impl State {
    /// Whoever is watched from now on gets the full time. When it was heard before says nothing:
    /// it had no reason to poll this process, and it takes a moment to learn of it.
    fn begin_watching(&mut self, watched: &[String]) {
        let now = Instant::now();
        for name in watched.iter().filter(|name| !self.watched.contains(name)) {
            self.table.mark_seen(name, now);
        }
        self.watched = watched.to_vec();
    }

    fn detect_silent_members(
        &mut self,
        watched: &[String],
        limit: Duration,
        longer: Duration,
    ) -> Vec<Observation> {
        self.begin_watching(watched);
        let heard = |name: &String| self.table.member(name).map(|member| member.last_seen_at);
        let times: Vec<(&String, Instant)> =
            watched.iter().filter_map(|name| Some((name, heard(name)?))).collect();
        let unheard: Vec<&(&String, Instant)> =
            times.iter().filter(|(_, at)| at.elapsed() >= limit).collect();
        let in_touch = self.key_value_answered_at.is_some_and(|at| at.elapsed() < 2 * limit);
        let was_cut_off = self.cut_off;
        self.cut_off = 2 * unheard.len() > times.len() && !in_touch;
        if was_cut_off && !self.cut_off {
            self.table.reset_last_seen(Instant::now());
            return Vec::new();
        }
        let most_heard_since = |at: Instant| {
            2 * times.iter().filter(|(_, other)| *other >= at + longer).count() >= times.len()
        };
        let accused = unheard.iter().filter(|(_, at)| in_touch || most_heard_since(*at));
        let accused: Vec<&String> = accused.map(|(name, _)| *name).collect();
        accused.into_iter().filter_map(|name| self.table.mark_silent(name)).collect()
    }
}

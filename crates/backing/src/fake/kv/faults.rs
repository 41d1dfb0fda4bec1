//! The faults that tests inject into the service.

use super::{FakeKeyValue, LostAnswer};
use crate::fake::lock;
use crate::kv::{LeaseId, Revision};
use std::time::Duration;

impl FakeKeyValue {
    /// Makes the service unreachable or reachable again. Open watches end; leases keep expiring,
    /// unless they pause.
    pub fn set_down(&self, down: bool) {
        let mut state = lock(&self.state);
        if down {
            state.watchers.clear();
        }
        let is_paused = down && state.pauses_leases;
        state.set_leases_paused(is_paused);
        drop(state);
        self.up.send_replace(!down);
    }

    /// Sets whether leases pause while the service is down, instead of expiring.
    pub fn set_pauses_leases(&self, pauses_leases: bool) {
        lock(&self.state).pauses_leases = pauses_leases;
    }

    /// Sets the largest number of items in a page.
    pub fn set_page_items(&self, max_items: usize) {
        lock(&self.state).reads.set_max_items(max_items);
    }

    /// Sets the time between two pages of a listing, in which other calls may change the store.
    pub fn set_page_gap(&self, gap: Duration) {
        lock(&self.state).page_gap = gap;
    }

    /// Sets how old the next pages of stale reads are; later ones are up to date.
    pub fn age_stale_pages(&self, ages: &[Duration]) {
        lock(&self.state).reads.set_next_ages(ages);
    }

    /// Draws the size of each page, from 1 to `max_items`, and the age of each page of a stale read,
    /// from zero to `max_age`.
    pub fn draw_pages(&self, seed: u64, max_items: usize, max_age: Duration) {
        lock(&self.state).reads.draw(seed, max_items, max_age);
    }

    /// Ends all open watches.
    pub fn cut_watches(&self) {
        lock(&self.state).watchers.clear();
    }

    /// Makes every call take this long; it takes effect halfway, even if the caller timed out.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Sets how long a call waits before it fails with [`KeyValueError::NoAnswer`].
    pub fn set_answer_timeout(&self, timeout: Duration) {
        lock(&self.state).answer_timeout = timeout;
    }

    /// Sets how often watches get [`WatchEvent::Progress`].
    pub fn set_progress_interval(&self, interval: Duration) {
        lock(&self.state).progress_interval = interval;
    }

    /// Loses the answers of the next `count` calls other than watches.
    pub fn lose_answers(&self, count: usize, lost: LostAnswer) {
        let mut state = lock(&self.state);
        state.lost_answers.splice(0..0, std::iter::repeat_n(lost, count));
    }

    /// Loses the answers of the next `count` transactions that write; reads are answered.
    pub fn lose_write_answers(&self, count: usize, lost: LostAnswer) {
        let mut state = lock(&self.state);
        state.lost_write_answers.splice(0..0, std::iter::repeat_n(lost, count));
    }

    /// Makes the next transaction that writes take this long; it takes effect halfway.
    pub fn delay_write(&self, delay: Duration) {
        lock(&self.state).write_delays.push(delay);
    }

    /// Drops the next `count` events instead of sending them to watches.
    pub fn drop_watch_events(&self, count: usize) {
        lock(&self.state).events_to_drop = count;
    }

    /// Stops all open watches from delivering events or progress; new ones work.
    pub fn silence_watches(&self) {
        lock(&self.state).watchers.iter_mut().for_each(|watcher| watcher.silent = true);
    }

    /// Makes every call fail with [`KeyValueError::RateExceeded`].
    pub fn set_rate_exceeded(&self, exceeded: bool) {
        lock(&self.state).rate_exceeded = exceeded;
    }

    /// Expires a lease now, as after a long pause of its holder.
    pub fn expire_lease(&self, lease: LeaseId) {
        let mut state = lock(&self.state);
        let events = state.store.revoke_lease(lease).unwrap_or_default();
        state.publish(&events);
    }

    /// Discards the history up to `revision`, so that watches from an older one must read again.
    pub fn compact(&self, revision: Revision) {
        lock(&self.state).store.compact(revision);
    }
}

//! Health of the backend server, crash suspects, and its prefix cache.

use super::{Command, Control, fingerprint_name};
use crate::cache::CachePoll;
use crate::records::Record;
use flamingowheel_backing::backend::{BackendError, CacheEvent, LoadReport};
use flamingowheel_observe::event::Event;
use flamingowheel_policy::suspicion::CrashId;
use flamingowheel_protocol::message::{AgentMessage, Serves};
use std::sync::Arc;

impl Control {
    /// Marks all running requests as suspects of the backend server's crash.
    pub(super) fn record_suspects(&mut self) {
        if self.suspects.is_empty() {
            self.suspects = self.running.values().map(|running| running.fingerprint).collect();
        }
        self.check_health();
    }

    pub(super) fn check_health(&mut self) {
        if std::mem::replace(&mut self.checking_health, true) {
            return;
        }
        let (backend, commands) = (Arc::clone(&self.backend), self.commands.clone());
        self.runtime.spawn(async move {
            let report = backend.load().await;
            let _ = commands.send(Command::Health(report)).await;
        });
    }

    /// Handles the answer to a health check. A lost connection alone is no crash: the backend
    /// server must be down or be a new process.
    pub(super) fn on_health(&mut self, report: Result<LoadReport, BackendError>) {
        self.checking_health = false;
        let was_up = std::mem::replace(&mut self.backend_up, report.is_ok());
        if was_up != self.backend_up {
            self.broadcast(&self.heartbeat());
            if self.backend_up {
                let backend_server = self.config.name.as_str().into();
                self.recorder.record(Event::EngineReady { backend_server });
            }
        }
        let process = report.ok().map(|report| report.process_id);
        self.reset_cache_if_restarted(process);
        let suspects = std::mem::take(&mut self.suspects);
        let has_crashed = process.is_none() || process != self.backend_process;
        if process.is_some() {
            self.backend_process = process;
        }
        if suspects.is_empty() || !has_crashed {
            return;
        }
        self.crash_count += 1;
        let crash = CrashId { server: self.server_key(), number: rand::random() };
        self.suspicion.on_crash(crash, &suspects, self.started.elapsed());
        for fingerprint in &suspects {
            let fingerprint = fingerprint_name(*fingerprint);
            self.recorder.record(Event::SuspectMarked { fingerprint, crashes: self.crash_count });
        }
        self.recorder.record(Event::EngineCrashed {
            backend_server: self.config.name.as_str().into(),
            running: u32::try_from(suspects.len()).unwrap_or(u32::MAX),
        });
        self.broadcast_suspicions();
    }

    /// A new engine process has an empty cache. Without this, prompts would still be routed here
    /// for blocks that are gone.
    pub(super) fn reset_cache_if_restarted(&mut self, process: Option<u64>) {
        let is_new = process.is_some() && process != self.backend_process;
        if is_new && self.backend_process.is_some() && self.has_prefix_cache() {
            let snapshot = self.cache.reset();
            self.broadcast_cache_events(vec![snapshot]);
        }
    }

    /// Broadcasts changed suspicions. Only new information counts as a change, so entries and
    /// agents don't forward the same records for ever.
    pub(super) fn broadcast_suspicions(&mut self) {
        let changes = self.suspicion.drain_changes(self.started.elapsed());
        if !changes.is_empty() {
            self.broadcast(&AgentMessage::Suspicions(changes));
        }
    }

    /// Stops idempotent requests that no entry is attached to. An entry that died can't cancel
    /// them.
    pub(super) fn stop_orphans(&self) {
        for key in self.running.keys() {
            let Some(Record::Execution(execution)) = self.records.get(*key) else { continue };
            let unattended = execution.no_listeners_since().map(|since| since.elapsed());
            let orphaned = unattended.is_some_and(|time| time >= self.config.orphan_timeout);
            if orphaned && execution.spec().idempotent {
                execution.stop_token().cancel();
            }
        }
    }

    pub(super) fn has_prefix_cache(&self) -> bool {
        matches!(self.config.profile.serves, Serves::Model { .. })
    }

    pub(super) fn poll_cache(&mut self) {
        if !self.has_prefix_cache() || std::mem::replace(&mut self.polling_cache, true) {
            return;
        }
        let (backend, commands) = (Arc::clone(&self.backend), self.commands.clone());
        let poll = self.cache.next_poll();
        self.runtime.spawn(async move {
            let events = backend.cache_events(poll.after).await;
            let _ = commands.send(Command::CacheEvents(poll, events)).await;
        });
    }

    /// Applies polled events. After a failed poll the next one asks for the same events again.
    pub(super) fn on_cache_events(
        &mut self,
        poll: CachePoll,
        events: Result<Vec<CacheEvent>, BackendError>,
    ) {
        self.polling_cache = false;
        let mut events = self.cache.apply_events(poll, events.unwrap_or_default());
        events.extend(self.cache.expire_uncertain());
        if !events.is_empty() {
            self.broadcast_cache_events(events);
        }
    }

    /// Sends events to all entries. A link whose queue is full misses them and later gets a
    /// snapshot.
    pub(super) fn broadcast_cache_events(
        &mut self,
        events: Vec<flamingowheel_policy::prefix::CacheEvent>,
    ) {
        let message = AgentMessage::CacheEvents(events);
        for (link, sender) in &self.links {
            if sender.try_send(message.clone()).is_err() {
                self.stale_links.insert(*link);
            }
        }
    }

    pub(super) fn send_missed_snapshots(&mut self) {
        if self.stale_links.is_empty() {
            return;
        }
        let message = AgentMessage::CacheEvents(vec![self.cache.snapshot()]);
        let links = &self.links;
        self.stale_links.retain(|link| {
            links.get(link).is_some_and(|sender| sender.try_send(message.clone()).is_err())
        });
    }
}

//! Handling of attach and cancel messages, for attempts that lost their connection or caller.

use super::{AttemptQuery, Control};
use crate::execution::{Ending, Execution};
use crate::records::Record;
use flamingowheel_protocol::id::ExecutionKey;
use flamingowheel_protocol::message::{AgentMessage, Failure, Refusal};
use std::sync::Arc;
use tokio::sync::mpsc;

impl Control {
    pub(super) fn on_attach(
        &mut self,
        sender: &mpsc::Sender<AgentMessage>,
        query: AttemptQuery,
        from_chunk: u64,
    ) {
        let attempt = query.attempt;
        if query.incarnation != self.config.incarnation {
            return self.fail(sender, attempt, Failure::RecordGone);
        }
        if self.records.has_tombstone(attempt) {
            return self.refuse_without_tombstone(sender, attempt, Refusal::Cancelled);
        }
        match self.records.get(query.key) {
            Some(Record::Execution(execution)) => {
                let execution = Arc::clone(execution);
                self.attach(&execution, attempt, sender, from_chunk);
            }
            Some(Record::Tombstone) => self.refuse(sender, attempt, Refusal::Cancelled),
            None if self.is_outside_retention(&query) => {
                self.fail(sender, attempt, Failure::RecordGone);
            }
            None => self.refuse(sender, attempt, Refusal::NeverArrived),
        }
    }

    pub(super) fn on_cancel(
        &mut self,
        sender: &mpsc::Sender<AgentMessage>,
        query: AttemptQuery,
        void_ticket: bool,
    ) {
        let (attempt, key) = (query.attempt, query.key);
        if query.incarnation != self.config.incarnation {
            return self.fail(sender, attempt, Failure::RecordGone);
        }
        match self.records.get(key) {
            Some(Record::Execution(execution)) => {
                let execution = Arc::clone(execution);
                self.cancel_execution(sender, query, &execution, void_ticket);
            }
            Some(Record::Tombstone) => self.refuse(sender, attempt, Refusal::Cancelled),
            None if self.is_outside_retention(&query) => {
                self.fail(sender, attempt, Failure::RecordGone);
            }
            None => self.refuse_all(sender, query, void_ticket),
        }
    }

    /// Refuses an attempt, and its ticket if that is voided, as "not run". Tombstones are needed
    /// because the dispatch may still be on its way, and would run after the caller received that
    /// outcome.
    fn refuse_all(
        &mut self,
        sender: &mpsc::Sender<AgentMessage>,
        query: AttemptQuery,
        void_ticket: bool,
    ) {
        if void_ticket && self.records.add_tombstone(query.key).is_err() {
            return self.fail(sender, query.attempt, Failure::Cancelled);
        }
        self.refuse(sender, query.attempt, Refusal::Cancelled);
    }

    pub(super) fn cancel_execution(
        &mut self,
        sender: &mpsc::Sender<AgentMessage>,
        query: AttemptQuery,
        execution: &Arc<Execution>,
        void_ticket: bool,
    ) {
        let (attempt, key) = (query.attempt, query.key);
        if let Some(Ending::NotRun(_)) = execution.ending() {
            return self.refuse_all(sender, query, void_ticket);
        }
        let has_others = execution.detach(attempt);
        let waiting = self.pending.contains_key(&key);
        if waiting && !has_others {
            self.admission.cancel(key);
            self.refuse_pending(key, Refusal::Cancelled);
            return self.refuse_all(sender, query, void_ticket);
        }
        if execution.spec().idempotent && !has_others {
            execution.stop_token().cancel();
        }
        self.fail(sender, attempt, Failure::Cancelled);
    }

    pub(super) fn is_outside_retention(&self, query: &AttemptQuery) -> bool {
        self.records.is_outside_retention(ExecutionKey::Attempt(query.attempt), query.window)
            || self.records.is_outside_retention(query.key, query.window)
    }
}

//! Handling of attach and cancel messages, for attempts that lost their connection or caller.

use super::{Control, Question};
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
        question: Question,
        from_chunk: u64,
    ) {
        let attempt = question.attempt;
        if question.incarnation != self.config.incarnation {
            return self.fail(sender, attempt, Failure::RecordGone);
        }
        if self.records.has_tombstone(attempt) {
            return self.refuse_unrecorded(sender, attempt, Refusal::Cancelled);
        }
        match self.records.get(question.key) {
            Some(Record::Execution(execution)) => {
                let execution = Arc::clone(execution);
                self.attach(&execution, attempt, sender, from_chunk);
            }
            Some(Record::Tombstone) => self.refuse(sender, attempt, Refusal::Cancelled),
            None if self.is_outside_retention(&question) => {
                self.fail(sender, attempt, Failure::RecordGone);
            }
            None => self.refuse(sender, attempt, Refusal::NeverArrived),
        }
    }

    pub(super) fn on_cancel(
        &mut self,
        sender: &mpsc::Sender<AgentMessage>,
        question: Question,
        void_ticket: bool,
    ) {
        let (attempt, key) = (question.attempt, question.key);
        if question.incarnation != self.config.incarnation {
            return self.fail(sender, attempt, Failure::RecordGone);
        }
        match self.records.get(key) {
            Some(Record::Execution(execution)) => {
                let execution = Arc::clone(execution);
                self.cancel_execution(sender, question, &execution, void_ticket);
            }
            Some(Record::Tombstone) => self.refuse(sender, attempt, Refusal::Cancelled),
            None if self.is_outside_retention(&question) => {
                self.fail(sender, attempt, Failure::RecordGone);
            }
            None => self.refuse_all(sender, question, void_ticket),
        }
    }

    /// Refuses an attempt, and its ticket if that is voided, as "not run". Tombstones are needed
    /// because the dispatch may still be on its way, and would run after the caller was told so.
    fn refuse_all(
        &mut self,
        sender: &mpsc::Sender<AgentMessage>,
        question: Question,
        void_ticket: bool,
    ) {
        if void_ticket && self.records.add_tombstone(question.key).is_err() {
            return self.fail(sender, question.attempt, Failure::Cancelled);
        }
        self.refuse(sender, question.attempt, Refusal::Cancelled);
    }

    pub(super) fn cancel_execution(
        &mut self,
        sender: &mpsc::Sender<AgentMessage>,
        question: Question,
        execution: &Arc<Execution>,
        void_ticket: bool,
    ) {
        let (attempt, key) = (question.attempt, question.key);
        if let Some(Ending::NotRun(_)) = execution.ending() {
            return self.refuse_all(sender, question, void_ticket);
        }
        let others = execution.detach(attempt);
        let waiting = self.pending.contains_key(&key);
        if waiting && !others {
            self.admission.cancel(key);
            self.give_up(key, Refusal::Cancelled);
            return self.refuse_all(sender, question, void_ticket);
        }
        if execution.spec().idempotent && !others {
            execution.stop_token().cancel();
        }
        self.fail(sender, attempt, Failure::Cancelled);
    }

    pub(super) fn is_outside_retention(&self, question: &Question) -> bool {
        self.records.is_outside_retention(ExecutionKey::Attempt(question.attempt), question.window)
            || self.records.is_outside_retention(question.key, question.window)
    }
}

//! Admission, start and end of requests.

use super::{Control, Pending, Running, fingerprint_name, subject, ticket_name};
use crate::execution::{Ending, Execution, ExecutionSpec};
use crate::records::Record;
use crate::runner::{self, RunEnd};
use flamingowheel_observe::event::Event;
use flamingowheel_policy::admission::{AdmissionDecision, Offer, Priority};
use flamingowheel_policy::key::ServerKey;
use flamingowheel_policy::suspicion::Verdict;
use flamingowheel_protocol::id::{ExecutionKey, Fingerprint};
use flamingowheel_protocol::message::{AgentMessage, Dispatch, Failure, Refusal};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

impl Control {
    pub(super) fn on_dispatch(
        &mut self,
        sender: &mpsc::Sender<AgentMessage>,
        dispatch: Box<Dispatch>,
    ) {
        let (attempt, key) = (dispatch.attempt, dispatch.key);
        if dispatch.incarnation != self.config.incarnation {
            // No tombstone is needed: this process never runs a dispatch for another incarnation.
            return self.refuse_without_tombstone(sender, attempt, Refusal::WrongIncarnation);
        }
        if self.records.has_tombstone(attempt) {
            return self.refuse_without_tombstone(sender, attempt, Refusal::Cancelled);
        }
        match self.records.get(key) {
            Some(Record::Tombstone) => return self.refuse(sender, attempt, Refusal::Cancelled),
            Some(Record::Execution(execution)) => {
                let execution = Arc::clone(execution);
                return self.on_existing(sender, &dispatch, &execution);
            }
            None => {}
        }
        if self.records.is_outside_retention(ExecutionKey::Attempt(attempt), dispatch.window)
            || self.records.is_outside_retention(key, dispatch.window)
        {
            return self.refuse_without_tombstone(sender, attempt, Refusal::Expired);
        }
        if let Some(refusal) = self.reason_to_refuse(&dispatch) {
            return self.refuse(sender, attempt, refusal);
        }
        self.admit(sender, dispatch);
    }

    /// Handles a dispatch whose key has an execution. A resend of a ticket attaches to it; a copy
    /// of a known dispatch is ignored.
    pub(super) fn on_existing(
        &mut self,
        sender: &mpsc::Sender<AgentMessage>,
        dispatch: &Dispatch,
        execution: &Arc<Execution>,
    ) {
        if execution.has_listener(dispatch.attempt) {
            return;
        }
        if execution.spec().fingerprint != dispatch.fingerprint {
            return self.refuse(sender, dispatch.attempt, Refusal::TicketMismatch);
        }
        if matches!(dispatch.key, ExecutionKey::Attempt(_)) {
            // A late copy of a dispatch whose answer was already read.
            return;
        }
        self.accept(sender, dispatch.attempt);
        self.record_ticket(dispatch, Event::TicketReplayed { ticket: ticket_name(dispatch.key) });
        self.attach(execution, dispatch.attempt, sender, 0);
    }

    pub(super) fn reason_to_refuse(&mut self, dispatch: &Dispatch) -> Option<Refusal> {
        if self.leaving {
            return Some(Refusal::Leaving);
        }
        if self.closed {
            return Some(Refusal::BackendDown);
        }
        if dispatch.remaining_ms == 0 {
            return Some(Refusal::DeadlinePassed);
        }
        match self.suspicion.verdict(dispatch.fingerprint, self.started.elapsed()) {
            Verdict::Refused { .. } => Some(Refusal::Suspect),
            Verdict::Alone { crashed } if crashed.contains(&self.server_key()) => {
                Some(Refusal::Suspect)
            }
            Verdict::Alone { .. } | Verdict::Clear => None,
        }
    }

    pub(super) fn server_key(&self) -> ServerKey {
        ServerKey::from_name(&self.config.name)
    }

    pub(super) fn admit(&mut self, sender: &mpsc::Sender<AgentMessage>, dispatch: Box<Dispatch>) {
        let (attempt, key) = (dispatch.attempt, dispatch.key);
        let execution = Arc::new(self.new_execution(&dispatch));
        if self.records.insert(key, Arc::clone(&execution)).is_err() {
            return self.refuse(sender, attempt, Refusal::RecordsFull);
        }
        let offer = Offer {
            id: key,
            priority: Priority(dispatch.priority),
            last_try: dispatch.last_try,
            deadline: self.started.elapsed() + Duration::from_millis(dispatch.remaining_ms),
        };
        let from_chunk = dispatch.resume_after_chunks;
        let (fingerprint, dispatch_alone) = (dispatch.fingerprint, dispatch.alone);
        let event_subject = subject(&dispatch);
        self.pending.insert(key, Pending { dispatch, execution: Arc::clone(&execution) });
        let alone = dispatch_alone || self.must_run_alone(fingerprint);
        let admitted = match alone {
            true => self.admission.offer_alone(offer),
            false => self.admission.offer(offer),
        };
        match admitted {
            AdmissionDecision::Full(_) => {
                self.pending.remove(&key);
                self.records.remove_ticket(key);
                return self.refuse(sender, attempt, Refusal::Full);
            }
            AdmissionDecision::Start => {
                self.accept(sender, attempt);
                self.start(key);
            }
            AdmissionDecision::Queued { shed } => {
                self.accept(sender, attempt);
                let queued = u32::from(self.load().waiting);
                let event = Event::Admitted { attempt: attempt.number, queued };
                self.recorder.record_with_subject(&event_subject, event);
                if let Some(shed) = shed {
                    self.refuse_pending(shed, Refusal::Full);
                }
            }
        }
        self.attach(&execution, attempt, sender, from_chunk);
    }

    pub(super) fn new_execution(&self, dispatch: &Dispatch) -> Execution {
        let spec = ExecutionSpec {
            fingerprint: dispatch.fingerprint,
            idempotent: dispatch.idempotent,
            max_replay_bytes: self.config.max_replay_bytes,
            can_resume: self.config.profile.can_resume,
            first_chunk: dispatch.resume_after_chunks,
        };
        Execution::new(spec, self.records.stored_bytes(dispatch.key).clone())
    }

    /// Whether a request may crash the backend server. It then runs with no other requests, so that
    /// a crash can neither affect them nor make them suspects.
    pub(super) fn must_run_alone(&mut self, fingerprint: Fingerprint) -> bool {
        let verdict = self.suspicion.verdict(fingerprint, self.started.elapsed());
        matches!(verdict, Verdict::Alone { .. })
    }

    pub(super) fn start(&mut self, key: ExecutionKey) {
        let Some(Pending { dispatch, execution }) = self.pending.remove(&key) else { return };
        let running = Running {
            fingerprint: dispatch.fingerprint,
            subject: subject(&dispatch),
            attempt: dispatch.attempt.number,
            since: Instant::now(),
        };
        self.running.insert(key, running);
        self.record_start(&dispatch);
        let (backend, commands) = (Arc::clone(&self.backend), self.commands.clone());
        self.runtime.spawn(runner::run(backend, dispatch, execution, commands));
    }

    pub(super) fn on_ended(&mut self, key: ExecutionKey, end: RunEnd) {
        if matches!(end, RunEnd::Failed(Failure::BackendLost)) {
            self.record_suspects();
        }
        if matches!(end, RunEnd::NotStarted) {
            // Tombstones come first: no late copy may run after callers received "not run".
            self.add_tombstones(key);
            self.finish(key, Ending::NotRun(Refusal::BackendDown));
            self.records.remove_ticket(key);
        }
        let Some(running) = self.running.remove(&key) else { return };
        self.record_end(key, &running, end);
        if end == RunEnd::Complete {
            self.clear_suspicion(running.fingerprint);
        }
        let mut next = self.admission.finish(running.since.elapsed());
        while let Some(key) = next {
            self.start(key);
            next = self.admission.start_next();
        }
    }

    pub(super) fn clear_suspicion(&mut self, fingerprint: Fingerprint) {
        let now = self.started.elapsed();
        if self.suspicion.verdict(fingerprint, now) == Verdict::Clear {
            return;
        }
        self.suspicion.on_finished(fingerprint, now);
        let fingerprint = fingerprint_name(fingerprint);
        self.recorder.record(Event::SuspectCleared { fingerprint });
    }

    /// Refuses a request that was admitted but has not begun.
    pub(super) fn refuse_pending(&mut self, key: ExecutionKey, refusal: Refusal) {
        self.add_tombstones(key);
        self.pending.remove(&key);
        self.finish(key, Ending::NotRun(refusal));
        self.records.remove_ticket(key);
    }

    pub(super) fn add_tombstones(&mut self, key: ExecutionKey) {
        let Some(Record::Execution(execution)) = self.records.get(key) else { return };
        for attempt in Arc::clone(execution).attempts() {
            // The key of an idempotent request is its attempt, which has the execution as its
            // record.
            if ExecutionKey::Attempt(attempt) != key {
                self.records.add_attempt_tombstone(attempt);
            }
        }
    }

    pub(super) fn finish(&self, key: ExecutionKey, ending: Ending) {
        if let Some(Record::Execution(execution)) = self.records.get(key) {
            execution.finish(ending);
        }
    }
}

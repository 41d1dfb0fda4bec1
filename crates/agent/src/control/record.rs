//! Ticket lists and recorded events of executions.

use super::{Control, Running, TicketList, subject, ticket_name};
use crate::execution::Ending;
use crate::records::Record;
use crate::runner::RunEnd;
use flamingowheel_observe::event::Event;
use flamingowheel_protocol::id::ExecutionKey;
use flamingowheel_protocol::message::{Dispatch, Serves};
use std::sync::Arc;

impl Control {
    /// Lists all tickets. Once new requests are refused and none is in progress, the list is final:
    /// a ticket of its windows that is not listed never began.
    pub(super) fn tickets(&self) -> TicketList {
        let mut list = TicketList {
            oldest_window: self.records.oldest_ticket_window(),
            is_final: self.leaving
                && self.pending.is_empty()
                && self.running.is_empty()
                && matches!(self.config.profile.serves, Serves::Service { .. }),
            ..TicketList::default()
        };
        for (key, execution) in self.records.executions() {
            let ExecutionKey::Ticket { number, .. } = key else { continue };
            match execution.ending() {
                Some(Ending::Complete) => list.finished.push((*number, Arc::clone(execution))),
                _ => list.unanswered.push(*number),
            }
        }
        list
    }

    pub(super) fn record_start(&self, dispatch: &Dispatch) {
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let attempt = dispatch.attempt.number;
        self.recorder.record_with_subject(&subject(dispatch), Event::Started { attempt, running });
        if let ExecutionKey::Ticket { .. } = dispatch.key {
            let ticket = ticket_name(dispatch.key);
            self.record_ticket(dispatch, Event::TicketRun { ticket });
        }
    }

    pub(super) fn record_ticket(&self, dispatch: &Dispatch, event: Event) {
        self.recorder.record_with_subject(&subject(dispatch), event);
    }

    pub(super) fn record_end(&self, key: ExecutionKey, running: &Running, end: RunEnd) {
        let Some(Record::Execution(execution)) = self.records.get(key) else { return };
        // Entries record the end of attempts without a complete answer.
        if end != RunEnd::Complete {
            return;
        }
        let event = Event::Finished {
            attempt: running.attempt,
            chunks: execution.chunk_count(),
            duration_ms: running.since.elapsed().as_millis() as u64,
        };
        self.recorder.record_with_subject(&running.subject, event);
    }
}

//! `Display` of events: the sentence that the timeline shows for each.

use std::fmt;

use crate::event::Event;
use crate::reason::ConfigSource;
use crate::text::{count_with_noun, short_id};

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sentence = self
            .describe_request()
            .or_else(|| self.describe_ticket_or_suspect())
            .or_else(|| self.describe_group())
            .or_else(|| self.describe_process());
        f.write_str(&sentence.unwrap_or_default())
    }
}

/// Each function describes one category of events and returns `None` for the others.
impl Event {
    fn describe_request(&self) -> Option<String> {
        Some(match self {
            Self::RequestAccepted { class, idempotent, deadline_ms } => {
                let repeat = if *idempotent { "idempotent" } else { "not idempotent" };
                format!("request accepted: {class} class, {repeat}, {deadline_ms} ms to go")
            }
            Self::LimitExceeded { limit, retry_after_ms } => {
                format!("limit exceeded: {limit}; may return in {retry_after_ms} ms")
            }
            Self::Routed { backend_server, attempt, reason, candidates, predicted_wait_ms } => {
                let of = match candidates {
                    0 | 1 => String::new(),
                    _ => format!(" of {candidates} candidates"),
                };
                format!(
                    "attempt {attempt} routed to {backend_server}: {reason}{of}, predicted wait \
                     {predicted_wait_ms} ms"
                )
            }
            Self::Dispatched { backend_server, attempt, incarnation, remaining_ms } => format!(
                "attempt {attempt} dispatched to {backend_server}, incarnation {}, \
                 {remaining_ms} ms to go",
                short_id(incarnation)
            ),
            Self::Admitted { attempt, queued } => {
                format!("attempt {attempt} admitted, {queued} in the queue")
            }
            Self::Started { attempt, running } => {
                format!("attempt {attempt} started, {running} running")
            }
            Self::Finished { attempt, chunks, duration_ms } => {
                let chunks = count_with_noun(*chunks, "chunk");
                format!("attempt {attempt} finished: {chunks} in {duration_ms} ms")
            }
            Self::Refused { backend_server, attempt, reason } => {
                format!("attempt {attempt} refused by {backend_server}: {reason}")
            }
            Self::Retried { attempt, reason } => {
                format!("attempt {attempt} follows: {reason}")
            }
            Self::RetryDenied { attempt, reason } => {
                format!("no attempt after {attempt}: {reason}")
            }
            Self::Cancelled { attempt, cause } => format!("attempt {attempt} cancelled: {cause}"),
            Self::TombstoneWritten { attempt } => {
                format!("tombstone written: late copies of attempt {attempt} will be refused")
            }
            Self::Resumed { backend_server, attempt, from_chunk } => {
                format!("attempt {attempt} resumed at {backend_server} from chunk {from_chunk}")
            }
            Self::Completed { attempts, chunks, duration_ms, .. } => format!(
                "COMPLETE: {} in {duration_ms} ms, {}",
                count_with_noun(*chunks, "chunk"),
                count_with_noun(*attempts, "attempt")
            ),
            Self::NotRun { attempts, reason, .. } => {
                format!("NOT RUN: {reason}, {}", count_with_noun(*attempts, "attempt"))
            }
            Self::OutcomeUnknown { attempts, reason, .. } => {
                format!("UNKNOWN: {reason}, {}", count_with_noun(*attempts, "attempt"))
            }
            _ => return None,
        })
    }

    fn describe_ticket_or_suspect(&self) -> Option<String> {
        Some(match self {
            Self::TicketIssued { ticket, backend_server } => {
                format!("ticket {ticket} issued for {backend_server}")
            }
            Self::TicketBound { ticket } => {
                format!("caller's idempotency key bound to ticket {ticket}")
            }
            Self::TicketRun { ticket } => format!("ticket {ticket} run"),
            Self::TicketReplayed { ticket } => {
                format!("ticket {ticket} sent again: stored answer given")
            }
            Self::TicketVoided { ticket } => format!("ticket {ticket} voided, it will never run"),
            Self::SuspectMarked { fingerprint, crashes } => format!(
                "suspect {fingerprint}: was running in {}",
                count_with_noun(*crashes, "engine crash")
            ),
            Self::SuspectCleared { fingerprint } => {
                format!("suspect {fingerprint} cleared by a finished run")
            }
            Self::EngineCrashed { backend_server, running } => {
                format!("engine of {backend_server} crashed with {running} running")
            }
            Self::EngineReady { backend_server } => {
                format!("engine of {backend_server} answers")
            }
            _ => return None,
        })
    }

    fn describe_group(&self) -> Option<String> {
        Some(match self {
            Self::Switch { step, map_revision } => {
                format!("switch to expert map {map_revision}: {step}")
            }
            Self::RankUnverified { backend_server, map_revision } => format!(
                "{backend_server} could not be read back on expert map {map_revision}: \
                 out of service"
            ),
            Self::OrderApplied { order, fencing_number } => {
                format!("order {order} applied, fencing number {fencing_number}")
            }
            Self::OrderRefused { order, fencing_number, lowest_accepted } => format!(
                "order {order} refused: fencing number {fencing_number} is below {lowest_accepted}"
            ),
            Self::LeaseWon { lease, fencing_number } => {
                format!("lease {lease} won, fencing number {fencing_number}")
            }
            Self::LeaseLost { lease } => format!("lease {lease} lost"),
            _ => return None,
        })
    }

    fn describe_process(&self) -> Option<String> {
        Some(match self {
            Self::ProcessStarted { version, incarnation } => {
                format!("process started: version {version}, incarnation {}", short_id(incarnation))
            }
            Self::ConnectionOpened { peer } => format!("connection to {peer} opened"),
            Self::ConnectionSilent { peer, silent_ms } => {
                format!("connection to {peer} silent for {silent_ms} ms, given up")
            }
            Self::ConnectionReplaced { peer, requests } => format!(
                "connection to {peer} replaced, {} moved over",
                count_with_noun(*requests, "request")
            ),
            Self::ConnectionClosed { peer } => format!("connection to {peer} closed"),
            Self::ChangeAccepted { change, revision } => {
                format!("change {change} accepted as revision {revision}")
            }
            Self::ChangeConflict { change, revision } => {
                format!("change {change} refused: revision {revision} came first")
            }
            Self::ChangeUnknown { change } => {
                format!("change {change}: not known whether it is stored")
            }
            Self::ConfigurationInForce { revision, source } => {
                let source = match source {
                    ConfigSource::Watch => "from a watch on the key-value service",
                    ConfigSource::PeriodicRead => "from a read of the key-value service",
                    ConfigSource::Peer => "from a peer",
                    ConfigSource::Accepted => "accepted here",
                };
                format!("configuration {revision} in force, {source}")
            }
            Self::OlderConfigurationRefused { revision, in_force } => {
                format!("older configuration {revision} not taken, {in_force} is in force")
            }
            Self::MemberChanged { member, state } => format!("{member} seen {state}"),
            Self::LeaveBegan { cause, requests } => {
                format!("leave began by {cause}, {} running", count_with_noun(*requests, "request"))
            }
            Self::LeaveFinished { waited_ms, cut_off } => format!(
                "leave finished after {waited_ms} ms, {} cut off",
                count_with_noun(*cut_off, "request")
            ),
            Self::KeyValueDown { error } => format!("key-value service doesn't answer: {error}"),
            Self::KeyValueUp { down_ms } => {
                format!("key-value service answers again after {down_ms} ms")
            }
            Self::ClockDriftIgnored { peer, ahead_ms } => {
                format!("clock of {peer} is {ahead_ms} ms ahead and not followed")
            }
            _ => return None,
        })
    }
}

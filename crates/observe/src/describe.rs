//! One sentence for each event, as the time line shows it.

use std::fmt;

use crate::event::Event;

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.describe_request(f)
            .or_else(|Other| self.describe_ticket_or_suspect(f))
            .or_else(|Other| self.describe_group(f))
            .or_else(|Other| self.describe_process(f))
            .unwrap_or(Err(fmt::Error))
    }
}

/// The event belongs to another of the functions below.
struct Other;

type Described = Result<fmt::Result, Other>;

impl Event {
    fn describe_request(&self, f: &mut fmt::Formatter<'_>) -> Described {
        Ok(match self {
            Self::RequestAccepted { class, idempotent, deadline_ms } => {
                let repeat = if *idempotent { "idempotent" } else { "not idempotent" };
                write!(f, "request accepted: {class} class, {repeat}, {deadline_ms} ms to go")
            }
            Self::Forwarded { entry } => write!(f, "forwarded to {entry}"),
            Self::LimitExceeded { limit, retry_after_ms } => {
                write!(f, "limit exceeded: {limit}; may return in {retry_after_ms} ms")
            }
            Self::Routed { backend_server, attempt, reason, candidates, predicted_wait_ms } => {
                write!(
                    f,
                    "attempt {attempt} routed to {backend_server}: {reason} of {candidates} \
                     candidates, predicted wait {predicted_wait_ms} ms"
                )
            }
            Self::Dispatched { backend_server, attempt, incarnation, remaining_ms } => write!(
                f,
                "attempt {attempt} dispatched to {backend_server}, incarnation {}, \
                 {remaining_ms} ms to go",
                short(incarnation)
            ),
            Self::Admitted { attempt, queued } => {
                write!(f, "attempt {attempt} admitted, {queued} in the queue")
            }
            Self::Started { attempt, running } => {
                write!(f, "attempt {attempt} started, {running} running")
            }
            Self::Finished { attempt, chunks, duration_ms } => {
                let chunks = counted(*chunks, "chunk");
                write!(f, "attempt {attempt} finished: {chunks} in {duration_ms} ms")
            }
            Self::Refused { backend_server, attempt, reason } => {
                write!(f, "attempt {attempt} refused by {backend_server}: {reason}")
            }
            Self::Retried { attempt, reason } => {
                write!(f, "attempt {attempt} follows: {reason}")
            }
            Self::RetryDenied { attempt, reason } => {
                write!(f, "no attempt after {attempt}: {reason}")
            }
            Self::Cancelled { attempt, cause } => write!(f, "attempt {attempt} cancelled: {cause}"),
            Self::TombstoneWritten { attempt } => {
                write!(f, "tombstone written: late copies of attempt {attempt} will be refused")
            }
            Self::Resumed { backend_server, attempt, from_chunk } => {
                write!(f, "attempt {attempt} resumed at {backend_server} from chunk {from_chunk}")
            }
            Self::Completed { attempts, chunks, duration_ms, .. } => write!(
                f,
                "COMPLETE: {} in {duration_ms} ms, {}",
                counted(*chunks, "chunk"),
                counted(*attempts, "attempt")
            ),
            Self::NotRun { attempts, reason, .. } => {
                write!(f, "NOT RUN: {reason}, {}", counted(*attempts, "attempt"))
            }
            Self::OutcomeUnknown { attempts, reason, .. } => {
                write!(f, "UNKNOWN: {reason}, {}", counted(*attempts, "attempt"))
            }
            _ => return Err(Other),
        })
    }

    fn describe_ticket_or_suspect(&self, f: &mut fmt::Formatter<'_>) -> Described {
        Ok(match self {
            Self::TicketIssued { ticket, backend_server } => {
                write!(f, "ticket {ticket} issued for {backend_server}")
            }
            Self::TicketBound { ticket } => {
                write!(f, "caller's idempotency key bound to ticket {ticket}")
            }
            Self::TicketRun { ticket } => write!(f, "ticket {ticket} run"),
            Self::TicketReplayed { ticket } => {
                write!(f, "ticket {ticket} sent again: stored answer given")
            }
            Self::TicketVoided { ticket } => write!(f, "ticket {ticket} voided, it will never run"),
            Self::SuspectMarked { fingerprint, crashes } => write!(
                f,
                "suspect {fingerprint}: was running in {}",
                counted(*crashes, "engine crash")
            ),
            Self::SuspectCleared { fingerprint } => {
                write!(f, "suspect {fingerprint} cleared by a finished run")
            }
            Self::EngineCrashed { backend_server, running } => {
                write!(f, "engine of {backend_server} crashed with {running} running")
            }
            Self::EngineReady { backend_server } => {
                write!(f, "engine of {backend_server} answers")
            }
            _ => return Err(Other),
        })
    }

    fn describe_group(&self, f: &mut fmt::Formatter<'_>) -> Described {
        Ok(match self {
            Self::Switch { step, map_revision } => {
                write!(f, "switch to expert map {map_revision}: {step}")
            }
            Self::RankUnverified { backend_server, map_revision } => write!(
                f,
                "{backend_server} could not be read back on expert map {map_revision}: \
                 out of service"
            ),
            Self::OrderApplied { order, fencing_number } => {
                write!(f, "order {order} applied, fencing number {fencing_number}")
            }
            Self::OrderRefused { order, fencing_number, lowest_accepted } => write!(
                f,
                "order {order} refused: fencing number {fencing_number} is below {lowest_accepted}"
            ),
            Self::LeaseWon { lease, fencing_number } => {
                write!(f, "lease {lease} won, fencing number {fencing_number}")
            }
            Self::LeaseLost { lease } => write!(f, "lease {lease} lost"),
            _ => return Err(Other),
        })
    }

    fn describe_process(&self, f: &mut fmt::Formatter<'_>) -> Described {
        Ok(match self {
            Self::ProcessStarted { version, incarnation } => {
                write!(f, "process started: version {version}, incarnation {}", short(incarnation))
            }
            Self::ConnectionOpened { peer } => write!(f, "connection to {peer} opened"),
            Self::ConnectionSilent { peer, silent_ms } => {
                write!(f, "connection to {peer} silent for {silent_ms} ms, given up")
            }
            Self::ConnectionReplaced { peer, requests } => write!(
                f,
                "connection to {peer} replaced, {} moved over",
                counted(*requests, "request")
            ),
            Self::ConnectionClosed { peer } => write!(f, "connection to {peer} closed"),
            Self::ChangeAccepted { change, revision } => {
                write!(f, "change {change} accepted as revision {revision}")
            }
            Self::ChangeConflict { change, revision } => {
                write!(f, "change {change} refused: revision {revision} came first")
            }
            Self::ChangeUnknown { change } => {
                write!(f, "change {change}: not known whether it is stored")
            }
            Self::ConfigurationInForce { revision, source } => {
                write!(f, "configuration {revision} in force, from {source}")
            }
            Self::OlderConfigurationRefused { revision, in_force } => {
                write!(f, "older configuration {revision} not taken, {in_force} is in force")
            }
            Self::MemberChanged { member, state } => write!(f, "{member} seen {state}"),
            Self::LeaveBegan { cause, requests } => {
                write!(f, "leave began by {cause}, {} running", counted(*requests, "request"))
            }
            Self::LeaveFinished { waited_ms, cut_off } => write!(
                f,
                "leave finished after {waited_ms} ms, {} cut off",
                counted(*cut_off, "request")
            ),
            Self::KeyValueDown { error } => write!(f, "key-value service doesn't answer: {error}"),
            Self::KeyValueUp { down_ms } => {
                write!(f, "key-value service answers again after {down_ms} ms")
            }
            Self::ClockDriftIgnored { peer, ahead_ms } => {
                write!(f, "clock of {peer} is {ahead_ms} ms ahead and not followed")
            }
            _ => return Err(Other),
        })
    }
}

/// A count with its noun in the singular or plural.
pub(crate) fn counted<C>(count: C, noun: &str) -> String
where
    C: Into<u64>,
{
    let count = count.into();
    let plural = match count {
        1 => "",
        _ if noun.ends_with('s') || noun.ends_with("sh") => "es",
        _ => "s",
    };
    format!("{count} {noun}{plural}")
}

/// The end of an id, which differs between ids drawn at the same time.
pub(crate) fn short(id: &uuid::Uuid) -> String {
    let text = id.simple().to_string();
    text[text.len() - 8..].to_owned()
}

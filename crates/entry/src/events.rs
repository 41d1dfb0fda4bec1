//! Maps outcomes, refusals and retries to the event log's reasons.

use crate::attempt::AttemptEnd;
use crate::outcome::{NotRun, Unknown, Verdict};
use crate::request::Request;
use flamingowheel_config::effective::EffectiveWorkspace;
use flamingowheel_observe::event::{Event, Subject};
use flamingowheel_observe::reason::{
    CancelCause, Class, NotRunReason, RefusalReason, RetryDenial, RetryReason, UnknownReason,
};
use flamingowheel_observe::recorder::SubjectRecorder;
use flamingowheel_policy::retry::RetryRefusal;
use flamingowheel_protocol::id::Incarnation;
use flamingowheel_protocol::message::Refusal;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

/// Lowest priority of [`Class::High`]. Priorities below [`NORMAL_PRIORITY`] are [`Class::Low`].
const HIGH_PRIORITY: u8 = 8;
const NORMAL_PRIORITY: u8 = 3;

/// Whether a request may overtake waiting requests.
pub fn is_urgent(request: &Request) -> bool {
    request.workspace.parameters.priority >= HIGH_PRIORITY
}

/// The priority class under which a request is counted.
pub fn class(request: &Request) -> Class {
    class_of(&request.workspace)
}

/// The priority class of a workspace.
pub fn class_of(workspace: &EffectiveWorkspace) -> Class {
    match workspace.parameters.priority {
        HIGH_PRIORITY.. => Class::High,
        NORMAL_PRIORITY.. => Class::Normal,
        _ => Class::Low,
    }
}

/// The subject of a request's events.
pub fn subject(request: &Request) -> Subject {
    Subject::request(request.id.0).workspace(&*request.workspace.name)
}

/// An incarnation in the event log's format.
pub fn incarnation(incarnation: Incarnation) -> Uuid {
    Uuid::from_u64_pair(0, incarnation.0)
}

/// The final event of a request without a complete answer.
pub fn verdict(verdict: &Verdict, class: Class, attempts: u32) -> Event {
    match verdict {
        Verdict::NotRun(why) => Event::NotRun { class, attempts, reason: not_run(why) },
        Verdict::Unknown(why) => Event::OutcomeUnknown { class, attempts, reason: unknown(*why) },
    }
}

/// Records the end of a request that is dropped after `attempts` attempts: the process ends if
/// `cut_off` is cancelled, otherwise the caller has left.
pub fn record_dropped(
    log: &SubjectRecorder,
    class: Class,
    attempts: u32,
    cut_off: &CancellationToken,
) {
    let (cause, reason) = match cut_off.is_cancelled() {
        true => (CancelCause::Leaving, UnknownReason::Leaving),
        false => (CancelCause::CallerGone, UnknownReason::CallerGone),
    };
    if attempts > 0 {
        log.record(Event::Cancelled { attempt: attempts, cause });
    }
    log.record(Event::OutcomeUnknown { class, attempts, reason });
}

fn not_run(why: &NotRun) -> NotRunReason {
    match why {
        NotRun::Unauthorised => NotRunReason::Unauthorised,
        NotRun::UnknownModel | NotRun::UnknownService => NotRunReason::NoneServes,
        NotRun::TooLarge { .. } | NotRun::Malformed(_) | NotRun::KeyMismatch => {
            NotRunReason::Invalid
        }
        NotRun::NotReady => NotRunReason::Leaving,
        NotRun::LimitReached { .. } => NotRunReason::LimitExceeded,
        NotRun::Overloaded { .. } => NotRunReason::Shed,
        NotRun::Suspect { .. } => NotRunReason::Suspect,
        NotRun::NoneAvailable => NotRunReason::NoneServes,
        NotRun::Refused(Refusal::Cancelled) => NotRunReason::CancelledBeforeStart,
        NotRun::Refused(Refusal::Suspect) => NotRunReason::Suspect,
        NotRun::Refused(_) => NotRunReason::RefusedByAll,
        NotRun::DeadlinePassed => NotRunReason::DeadlinePassed,
        NotRun::KeyNotChecked => NotRunReason::KeyValueDown,
        NotRun::Ticket(_) | NotRun::HomeEnded => NotRunReason::TicketVoid,
    }
}

fn unknown(why: Unknown) -> UnknownReason {
    use flamingowheel_protocol::message::Failure;
    match why {
        Unknown::Failed(Failure::ReplayGone) | Unknown::AnswerTooLarge { .. } => {
            UnknownReason::AnswerTruncated
        }
        Unknown::Failed(_) => UnknownReason::EngineFailed,
        Unknown::AgentUnreachable => UnknownReason::AgentSilent,
        Unknown::AgentReplaced => UnknownReason::AgentLost,
        Unknown::DeadlinePassed => UnknownReason::DeadlinePassed,
        Unknown::StreamGone(_) => UnknownReason::AnswerTruncated,
        Unknown::TicketHome(_) => UnknownReason::TicketHomeGone,
    }
}

/// The event log's reason for an agent's refusal.
pub fn refusal(refusal: Refusal) -> RefusalReason {
    match refusal {
        Refusal::WrongIncarnation => RefusalReason::WrongIncarnation,
        Refusal::Full => RefusalReason::Full,
        Refusal::Leaving => RefusalReason::Leaving,
        Refusal::Cancelled | Refusal::NeverArrived | Refusal::Expired => RefusalReason::Tombstone,
        Refusal::RecordsFull => RefusalReason::RecordsFull,
        Refusal::DeadlinePassed => RefusalReason::DeadlinePassed,
        Refusal::BackendDown => RefusalReason::EngineDown,
        Refusal::Suspect => RefusalReason::Suspect,
        Refusal::TicketMismatch => RefusalReason::InvalidTicket,
    }
}

/// Why another attempt follows one that ended with `end`.
pub fn retry_reason(end: AttemptEnd) -> RetryReason {
    match end {
        AttemptEnd::Refused(Refusal::NeverArrived) => RetryReason::NeverSent,
        AttemptEnd::Refused(Refusal::Cancelled) => RetryReason::CancelledBeforeStart,
        AttemptEnd::Refused(_) => RetryReason::Refused,
        AttemptEnd::Failed(_) => RetryReason::EngineFailed,
        AttemptEnd::Unreachable | AttemptEnd::Replaced(_) | AttemptEnd::DeadlinePassed => {
            RetryReason::Lost
        }
    }
}

/// Why no further attempt is allowed.
pub fn retry_denial(refusal: RetryRefusal) -> RetryDenial {
    match refusal {
        RetryRefusal::NotIdempotent => RetryDenial::NotIdempotent,
        RetryRefusal::AnswerStarted => RetryDenial::AnswerBegun,
        RetryRefusal::TooLate => RetryDenial::DeadlinePassed,
        RetryRefusal::BudgetSpent => RetryDenial::BudgetEmpty,
    }
}

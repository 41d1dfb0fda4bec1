//! Requests with an idempotency key, which is bound to a ticket.
//!
//! The ticket's agent may refuse permanently: it is leaving, its records are full, its backend server
//! is down, or its VM is gone. The key is then rebound to another ticket if the old one provably
//! never ran and won't.

use super::{Dispatcher, RequestProgress};
use crate::claims::Claim;
use crate::events;
use crate::outcome::{NotRun, Verdict};
use crate::request::Request;
use crate::stream::Answer;
use flamingowheel_backing::BoxFuture;
use flamingowheel_observe::event::Event;
use flamingowheel_protocol::archive::{ArchiveLookup, ArchivedAnswer};
use flamingowheel_protocol::message::Refusal;
use flamingowheel_protocol::ticket::Ticket;
use std::time::Duration;

/// Most rebindings per call. Each takes writes to the key-value service, and after refusals by three
/// backend servers a fourth is no more likely to accept.
const MAX_REBINDS: u32 = 2;

/// The ticket that a key is bound to.
#[derive(Clone, Debug)]
pub struct BoundKey {
    /// The stored record.
    pub claim: Claim,
    /// The ticket parsed from the record.
    pub ticket: Ticket,
}

/// How a call under a key ended without an answer from an agent.
pub enum KeyEnd {
    /// There is no complete answer.
    Verdict(Verdict),
    /// The answer was archived by an agent process that has shut down.
    Archived(ArchivedAnswer),
}

/// Access to a key's record and to the archived answers.
pub trait KeyRecords: Sync {
    /// What an agent process that has ended archived about the ticket.
    fn lookup<'a>(
        &'a self,
        request: &'a Request,
        ticket: &'a Ticket,
    ) -> BoxFuture<'a, ArchiveLookup>;

    /// Rebinds the key from `old` to `minted`; returns the binding that is now in force.
    fn rebind<'a>(
        &'a self,
        request: &'a Request,
        old: &'a Claim,
        minted: Ticket,
    ) -> BoxFuture<'a, Result<BoundKey, NotRun>>;
}

/// What to do with a key after an attempt under its ticket had no complete answer.
enum TicketStatus {
    /// The ticket provably never ran and won't; the key may be rebound to this new ticket.
    Replaceable(Ticket),
    /// The ticket ran, and its answer was archived.
    Archived(ArchivedAnswer),
    /// The key can't be rebound; the attempt's verdict is final.
    Final,
}

impl Dispatcher {
    /// Runs a request under the ticket that its key is bound to, rebinding the key if necessary.
    /// Returns the last ticket too.
    pub async fn run_key<H>(
        &self,
        request: Request,
        mut bound: BoundKey,
        records: &H,
    ) -> (Result<Answer, KeyEnd>, Ticket)
    where
        H: KeyRecords,
    {
        let mut progress = self.start(&request);
        let end = self.key_attempts(&mut progress, &mut bound, records).await;
        match &end {
            Ok(_) => self.record_end(&mut progress, None),
            Err(KeyEnd::Verdict(verdict)) => self.record_end(&mut progress, Some(verdict)),
            Err(KeyEnd::Archived(_)) => self.record_archived(&mut progress),
        }
        (end, bound.ticket)
    }

    fn record_archived(&self, progress: &mut RequestProgress<'_>) {
        self.record_end(progress, None);
        progress.log.record(Event::Completed {
            class: events::class(progress.request),
            attempts: progress.attempts,
            chunks: 1,
            duration_ms: progress.request.received.elapsed().as_millis() as u64,
        });
    }

    async fn key_attempts<H>(
        &self,
        progress: &mut RequestProgress<'_>,
        bound: &mut BoundKey,
        records: &H,
    ) -> Result<Answer, KeyEnd>
    where
        H: KeyRecords,
    {
        let mut rebinds = 0;
        loop {
            let verdict = match self.ticket_attempt(progress, &bound.ticket).await {
                Ok(answer) => return Ok(answer),
                Err(verdict) => verdict,
            };
            let may_rebind = rebinds < MAX_REBINDS && progress.request.remaining_ms() > 0;
            let minted = match self
                .ticket_status(progress, &bound.ticket, &verdict, records, may_rebind)
                .await
            {
                TicketStatus::Replaceable(minted) => minted,
                TicketStatus::Archived(answer) => return Err(KeyEnd::Archived(answer)),
                TicketStatus::Final => return Err(KeyEnd::Verdict(verdict)),
            };
            // If this fails, this call has sent nothing under the key's current binding.
            let rebinding = records.rebind(progress.request, &bound.claim, minted).await;
            *bound = rebinding.map_err(|not_run| KeyEnd::Verdict(not_run.into()))?;
            rebinds += 1;
        }
    }

    async fn ticket_status<H>(
        &self,
        progress: &RequestProgress<'_>,
        ticket: &Ticket,
        verdict: &Verdict,
        records: &H,
        may_rebind: bool,
    ) -> TicketStatus
    where
        H: KeyRecords,
    {
        let request = progress.request;
        match verdict {
            Verdict::Unknown(why) if why.is_home_gone() => {
                match records.lookup(request, ticket).await {
                    ArchiveLookup::Answer(answer) => TicketStatus::Archived(answer),
                    ArchiveLookup::NeverRan if may_rebind => self.replacement(progress, None).await,
                    ArchiveLookup::NeverRan | ArchiveLookup::Unknown => TicketStatus::Final,
                }
            }
            Verdict::NotRun(why) if may_rebind && may_succeed_elsewhere(why) => {
                let TicketStatus::Replaceable(minted) =
                    self.replacement(progress, Some((ticket, why))).await
                else {
                    return TicketStatus::Final;
                };
                // This refusal doesn't apply to other calls under the same key that may still be in
                // flight. Voiding the ticket does: it leaves a tombstone at the agent.
                match self.void_ticket(request, ticket, self.void_timeout(request)).await {
                    Verdict::NotRun(_) => TicketStatus::Replaceable(minted),
                    Verdict::Unknown(_) => TicketStatus::Final,
                }
            }
            _ => TicketStatus::Final,
        }
    }

    /// Mints a ticket for a backend server that has not refused. If there is none, a server that has
    /// refused is used, provided that the old ticket is void there.
    async fn replacement(
        &self,
        progress: &RequestProgress<'_>,
        refused: Option<(&Ticket, &NotRun)>,
    ) -> TicketStatus {
        let request = progress.request;
        if let Ok(minted) = self.mint_excluding(request, &progress.tried).await {
            return TicketStatus::Replaceable(minted);
        }
        let is_void = refused.is_none_or(|(_, why)| *why == NotRun::DeadlinePassed);
        match self.mint(request).await {
            Ok(minted) if is_void => TicketStatus::Replaceable(minted),
            _ => TicketStatus::Final,
        }
    }

    fn void_timeout(&self, request: &Request) -> Duration {
        self.config.cancel_timeout.min(Duration::from_millis(request.remaining_ms()))
    }
}

/// Whether the same request may succeed under another ticket. The request still has time left, so
/// `DeadlinePassed` here means that the ticket was voided before.
fn may_succeed_elsewhere(why: &NotRun) -> bool {
    !matches!(why, NotRun::Refused(Refusal::TicketMismatch | Refusal::Suspect))
}

//! Work under a key of the caller's own, which stands for a ticket.
//!
//! The ticket's agent may refuse for good: it leaves, its records are full, its backend server is
//! down, its VM is gone. The key then stands for another ticket, if it is proved that the old one
//! never ran and won't.

use super::{Dispatcher, Journey};
use crate::claims::Claim;
use crate::outcome::{NotRun, Verdict};
use crate::request::Request;
use crate::stream::Answer;
use flamingowheel_backing::BoxFuture;
use flamingowheel_protocol::archive::{ArchiveLookup, ArchivedAnswer};
use flamingowheel_protocol::message::Refusal;
use flamingowheel_protocol::ticket::Ticket;
use std::time::Duration;

/// How often one call may bind its key anew. Each takes writes of the key-value service, and when
/// three backend servers in turn refuse, a fourth is no better bet.
const MAX_REBINDS: u32 = 2;

/// What a key stands for.
#[derive(Clone, Debug)]
pub struct Bound {
    /// As stored.
    pub claim: Claim,
    /// The ticket in it.
    pub ticket: Ticket,
}

/// How a call under a key ended without an answer from an agent.
pub enum KeyEnd {
    /// There is none.
    Told(Verdict),
    /// An agent process that ended left it behind.
    Archived(ArchivedAnswer),
}

/// Where a key's record and the archived answers are.
pub trait KeyHome: Sync {
    /// What an agent process that ended left of the ticket.
    fn trace<'a>(
        &'a self,
        request: &'a Request,
        ticket: &'a Ticket,
    ) -> BoxFuture<'a, ArchiveLookup>;

    /// Binds the key to `minted` in the place of `old`; gives what it stands for now.
    fn rebind<'a>(
        &'a self,
        request: &'a Request,
        old: &'a Claim,
        minted: Ticket,
    ) -> BoxFuture<'a, Result<Bound, NotRun>>;
}

/// What became of the ticket that a key stands for.
enum Fate {
    /// Proof that it never ran and won't; the key may stand for this new one.
    Replaceable(Ticket),
    /// It ran.
    Archived(ArchivedAnswer),
    /// The attempt's end is all that can be told.
    Told,
}

impl Dispatcher {
    /// Runs a request under the ticket that its key stands for, or stands for in the end.
    pub async fn run_key<H>(
        &self,
        request: Request,
        mut bound: Bound,
        home: &H,
    ) -> (Result<Answer, KeyEnd>, Ticket)
    where
        H: KeyHome,
    {
        let mut journey = self.journey(&request);
        let end = self.key_attempts(&mut journey, &mut bound, home).await;
        if let Err(KeyEnd::Told(verdict)) = &end {
            self.conclude(&journey, verdict);
        }
        (end, bound.ticket)
    }

    async fn key_attempts<H>(
        &self,
        journey: &mut Journey<'_>,
        bound: &mut Bound,
        home: &H,
    ) -> Result<Answer, KeyEnd>
    where
        H: KeyHome,
    {
        let mut rebinds = 0;
        loop {
            let verdict = match self.ticket_attempt(journey, &bound.ticket).await {
                Ok(answer) => return Ok(answer),
                Err(verdict) => verdict,
            };
            let may_rebind = rebinds < MAX_REBINDS && journey.request.remaining_ms() > 0;
            let minted = match self.fate(journey, &bound.ticket, &verdict, home, may_rebind).await {
                Fate::Replaceable(minted) => minted,
                Fate::Archived(answer) => return Err(KeyEnd::Archived(answer)),
                Fate::Told => return Err(KeyEnd::Told(verdict)),
            };
            // If this fails nothing was sent under what the key stands for now, whatever it is.
            let rebinding = home.rebind(journey.request, &bound.claim, minted).await;
            *bound = rebinding.map_err(|not_run| KeyEnd::Told(not_run.into()))?;
            rebinds += 1;
        }
    }

    async fn fate<H>(
        &self,
        journey: &Journey<'_>,
        ticket: &Ticket,
        verdict: &Verdict,
        home: &H,
        may_rebind: bool,
    ) -> Fate
    where
        H: KeyHome,
    {
        let request = journey.request;
        match verdict {
            Verdict::Unknown(why) if why.is_home_gone() => {
                match home.trace(request, ticket).await {
                    ArchiveLookup::Answer(answer) => Fate::Archived(answer),
                    ArchiveLookup::NeverRan if may_rebind => self.replacement(journey, None).await,
                    ArchiveLookup::NeverRan | ArchiveLookup::Unknown => Fate::Told,
                }
            }
            Verdict::NotRun(why) if may_rebind && helps_elsewhere(why) => {
                let Fate::Replaceable(minted) =
                    self.replacement(journey, Some((ticket, why))).await
                else {
                    return Fate::Told;
                };
                // This call's refusal says nothing of others under the same key, which may be on
                // their way still. The agent's tombstone does.
                match self.give_up_ticket(request, ticket, self.void_limit(request)).await {
                    Verdict::NotRun(_) => Fate::Replaceable(minted),
                    Verdict::Unknown(_) => Fate::Told,
                }
            }
            _ => Fate::Told,
        }
    }

    /// A ticket at another backend server than those that refused; at the same one only if nothing
    /// else is left and the old ticket is dead there.
    async fn replacement(
        &self,
        journey: &Journey<'_>,
        refused: Option<(&Ticket, &NotRun)>,
    ) -> Fate {
        let request = journey.request;
        if let Ok(minted) = self.mint_beside(request, &journey.tried).await {
            return Fate::Replaceable(minted);
        }
        let is_dead = refused.is_none_or(|(_, why)| *why == NotRun::DeadlinePassed);
        match self.mint(request).await {
            Ok(minted) if is_dead => Fate::Replaceable(minted),
            _ => Fate::Told,
        }
    }

    fn void_limit(&self, request: &Request) -> Duration {
        self.config.cancel_timeout.min(Duration::from_millis(request.remaining_ms()))
    }
}

/// Whether the same work under another ticket may fare better. Time is left, so a deadline that
/// "passed" means that the ticket was given up before.
fn helps_elsewhere(why: &NotRun) -> bool {
    !matches!(why, NotRun::Refused(Refusal::TicketMismatch | Refusal::Suspect))
}

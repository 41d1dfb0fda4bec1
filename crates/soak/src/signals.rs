//! Checks that the entries keep to what backend servers ask for, from what the servers and the
//! callers see.

use crate::report::Violation;
use flamingowheel_standin::platform::server::Arrival;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time from the first mention of a limit after which it binds.
pub const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// Span in which the requests of a limited server are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Factor and constant by which the requests of a window may exceed the limit.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// Requests of one entry that may reach a server within the rest that it asked that entry for.
const REST_SLACK: usize = 2;

/// Time after which an entry that has passed on that a server leaves sends it no more requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time after which an entry that has got an answer acts on it.
const REACTION_TIME: Duration = Duration::from_millis(500);

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The entry it was sent to, by its index.
    pub entry: usize,
    /// Id of the attempt.
    pub attempt: String,
    /// When it was sent.
    pub sent_at: Instant,
    /// The backend server's answer that was passed on.
    pub answer: Option<PassedOn>,
}

/// A backend server's answer that an entry passed on to a caller.
#[derive(Clone, Debug)]
pub struct PassedOn {
    /// Name of the server.
    pub server: String,
    /// When it was complete.
    pub at: Instant,
    /// Whether the server named a limit in it.
    pub names_limit: bool,
    /// Whether the server said in it that it leaves.
    pub says_leaving: bool,
}

/// A span during which an entry had a fault. It is excused during it and shortly after.
#[derive(Clone, Copy, Debug)]
pub struct FaultSpan {
    /// The entry, by its index.
    pub entry: usize,
    /// Start of the fault.
    pub from: Instant,
    /// End of the fault.
    pub until: Instant,
}

/// A span during which a backend server named a limit.
#[derive(Clone, Debug)]
pub struct LimitSpan {
    /// Name of the server.
    pub server: String,
    /// The limit, in requests per second.
    pub limit_per_s: f64,
    /// When the server began to name it.
    pub from: Instant,
    /// When it ceased to.
    pub until: Instant,
}

/// What was seen in a run.
#[derive(Clone, Copy, Debug)]
pub struct Observed<'a> {
    /// All requests that reached backend servers, in their order.
    pub arrivals: &'a [Arrival],
    /// All requests of callers.
    pub calls: &'a [Call],
    /// The faults of entries.
    pub faults: &'a [FaultSpan],
}

impl Observed<'_> {
    /// Windows in which a limited server got more than 1.5 times what its limit allows, and 5
    /// requests more, from entries that knew the limit; the first window of each span.
    pub fn check_limits(&self, spans: &[LimitSpan]) -> Vec<Violation> {
        let entry_of = self.entry_of();
        let check = |span: &LimitSpan| {
            let told = self.told_limit(&span.server);
            let counted: Vec<Instant> = self
                .arrivals
                .iter()
                .filter(|arrival| arrival.server == span.server)
                .filter(|arrival| {
                    let entry = entry_of.get(arrival.attempt.as_str());
                    entry.is_some_and(|entry| self.knew(*entry, &told, arrival.at))
                })
                .map(|arrival| arrival.at)
                .collect();
            let allowed = (LIMIT_FACTOR * LIMIT_WINDOW.as_secs_f64() * span.limit_per_s
                + LIMIT_SLACK) as usize;
            let binds =
                |end: &&Instant| **end >= span.from + STABILITY_WINDOW && **end < span.until;
            counted.iter().filter(binds).find_map(|end| {
                let in_window = |at: &&Instant| **at <= *end && *end - **at < LIMIT_WINDOW;
                let requests = counted.iter().filter(in_window).count();
                let server = span.server.clone();
                let limit_per_s = span.limit_per_s;
                (requests > allowed).then_some(Violation::OverLimit {
                    server,
                    limit_per_s,
                    requests,
                    allowed,
                })
            })
        };
        spans.iter().filter_map(check).collect()
    }

    /// Rests that a server asked an entry for, and within which more than two requests reached it from
    /// there; the first of each server.
    pub fn check_rests(&self) -> Vec<Violation> {
        let entry_of = self.entry_of();
        let entry_of = |arrival: &Arrival| entry_of.get(arrival.attempt.as_str()).copied();
        let mut broken: HashMap<&str, Violation> = HashMap::new();
        for (index, asking) in self.arrivals.iter().enumerate() {
            let (Some(rest), Some(entry)) = (asking.conditions.rest, entry_of(asking)) else {
                continue;
            };
            let (from, until) = (asking.at + REACTION_TIME, asking.at + rest);
            if self.is_excused(entry, asking.at, until) {
                continue;
            }
            let later = self.arrivals[index..].iter().take_while(|arrival| arrival.at < until);
            let within = later.filter(|arrival| {
                arrival.at > from
                    && arrival.server == asking.server
                    && entry_of(arrival) == Some(entry)
            });
            let requests = within.count();
            if requests > REST_SLACK {
                let server = asking.server.clone();
                let violation = Violation::RestBroken { server, entry, requests };
                broken.entry(&asking.server).or_insert(violation);
            }
        }
        broken.into_values().collect()
    }

    /// Requests that an entry sent to a server later than 2 s after it had passed on that the server
    /// leaves; the first of each server. A fault of the entry since then excuses it.
    pub fn check_leaving(&self) -> Vec<Violation> {
        let calls: HashMap<&str, &Call> =
            self.calls.iter().map(|call| (call.attempt.as_str(), call)).collect();
        let mut told: HashMap<(usize, &str), Instant> = HashMap::new();
        for call in self.calls {
            if let Some(answer) = call.answer.as_ref().filter(|answer| answer.says_leaving) {
                let at = told.entry((call.entry, &answer.server)).or_insert(answer.at);
                *at = answer.at.min(*at);
            }
        }
        let mut broken: HashMap<&str, Violation> = HashMap::new();
        for arrival in self.arrivals.iter().filter(|arrival| arrival.conditions.is_leaving) {
            let Some(Call { entry, sent_at, .. }) = calls.get(arrival.attempt.as_str()) else {
                continue;
            };
            let Some(told_at) = told.get(&(*entry, arrival.server.as_str())) else { continue };
            if *sent_at > *told_at + DRAIN_TIME && !self.is_excused(*entry, *told_at, arrival.at) {
                let (server, entry) = (arrival.server.clone(), *entry);
                broken.entry(&arrival.server).or_insert(Violation::SentToLeaving { server, entry });
            }
        }
        broken.into_values().collect()
    }

    fn entry_of(&self) -> HashMap<&str, usize> {
        self.calls.iter().map(|call| (call.attempt.as_str(), call.entry)).collect()
    }

    /// Whether an entry had a fault between two times, or shortly before.
    pub(crate) fn is_excused(&self, entry: usize, from: Instant, until: Instant) -> bool {
        let mut faults = self.faults.iter().filter(|fault| fault.entry == entry);
        faults.any(|fault| fault.from <= until && from <= fault.until + STABILITY_WINDOW)
    }

    /// When each entry passed on an answer in which the server named a limit.
    fn told_limit(&self, server: &str) -> Vec<(usize, Instant)> {
        let told = self.calls.iter().filter_map(|call| {
            let answer = call.answer.as_ref()?;
            (answer.server == server && answer.names_limit).then_some((call.entry, answer.at))
        });
        told.collect()
    }

    /// Whether an entry had been told before `at`, long enough ago and since its last fault.
    fn knew(&self, entry: usize, told: &[(usize, Instant)], at: Instant) -> bool {
        if self.is_excused(entry, at, at) {
            return false;
        }
        let faults = self.faults.iter().filter(|fault| fault.entry == entry && fault.until <= at);
        let last_fault = faults.map(|fault| fault.until).max();
        told.iter().any(|(told, told_at)| {
            *told == entry
                && *told_at + REACTION_TIME <= at
                && last_fault.is_none_or(|until| until < *told_at)
        })
    }
}

//! Requests under which backend servers end, and the check of how often they are sent on.

use crate::callers::{API_KEY, SOUND_PART, client, send_prompt, send_to};
use crate::fleet::Fleet;
use crate::report::Violation;
use crate::signals::{Call, Observed, STABILITY_WINDOW};
use flamingowheel_standin::platform::server::{CRASH_PART, CRASH_PATH, End, UNFRAMED_CRASH_PATH};
use std::collections::HashMap;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Most sends of a request, by entries without a fault, later than 3 s after three servers have ended
/// under it.
const MAX_LATER_SENDS: usize = 3;

/// Ends after which the bound holds, for a request and for a part of prompts.
const ENDS: usize = 3;
const PART_ENDS: usize = 5;

/// What ends servers.
#[derive(Clone, Copy)]
enum Culprit {
    /// A request with this start and part of its path.
    Request(&'static str, &'static str),
    /// A part of the prompts of requests with this path, no two alike.
    Part(&'static str),
}

/// Number of kinds of crashing requests.
pub const KIND_COUNT: usize = KINDS.len();

const KINDS: [Culprit; 8] = [
    Culprit::Request("/safe", CRASH_PATH),
    Culprit::Request("/once", CRASH_PATH),
    Culprit::Request("/stream", CRASH_PATH),
    Culprit::Request("/safe", UNFRAMED_CRASH_PATH),
    Culprit::Request("/once", UNFRAMED_CRASH_PATH),
    Culprit::Request("/stream", UNFRAMED_CRASH_PATH),
    Culprit::Part("/stream/x"),
    Culprit::Part("/safe/x"),
];

/// Time for which the crashing request is sent, beyond which the bound has to hold for some seconds.
const RESEND_TIME: Duration = Duration::from_secs(7);

/// Sends a request that ends servers through entries, again and again with a pause in between: to
/// `at_once` of them at a time, each time the next ones.
pub async fn resend(fleet: &Fleet, kind: usize, number: u64, at_once: usize, pause: Duration) {
    let culprit = KINDS[kind % KINDS.len()];
    let cause = match culprit {
        Culprit::Request(route, crash) => format!("{route}{crash}/{number}"),
        Culprit::Part(_) => format!("{CRASH_PART}{number:x}"),
    };
    let until = Instant::now() + RESEND_TIME;
    let mut next = number as usize;
    let mut sends = 0;
    while Instant::now() < until {
        let mut sending = Vec::new();
        for _ in 0..at_once {
            next += 1;
            sends += 1;
            let entry = next % fleet.entries.len();
            let attempt = format!("c{number:x}-{sends}");
            sending.push(send_one(fleet, entry, attempt, culprit, &cause));
        }
        let calls = futures_util::future::join_all(sending).await;
        fleet.record_crashing(&cause, calls);
        sleep(pause).await;
    }
}

async fn send_one(
    fleet: &Fleet,
    entry: usize,
    attempt: String,
    culprit: Culprit,
    cause: &str,
) -> Call {
    let sent_at = Instant::now();
    if let Some(client) = client(fleet.entries[entry].callers) {
        // Nobody misses the answer, which is mostly an error. A whole one is not possible.
        let answer = match culprit {
            Culprit::Request(..) => send_to(&client, cause, &attempt, API_KEY).await,
            Culprit::Part(path) => {
                send_prompt(&client, path, &attempt, &[SOUND_PART, cause, "1"]).await
            }
        };
        let success = answer.ok().filter(|answer| answer.status.is_success());
        let violation = success.map(|answer| Violation::WrongAnswer {
            attempt: attempt.clone(),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        });
        fleet.false_answers.lock().unwrap_or_else(PoisonError::into_inner).extend(violation);
    }
    Call { entry, attempt, sent_at, answer: None }
}

impl Observed<'_> {
    /// Requests, and parts of prompts, that reached a server more than three times later than 3 s after
    /// the third end under them (parts: the fifth), by entries without a fault.
    pub fn check_crashes(
        &self,
        ends: &[End],
        crashing: &HashMap<String, Vec<Call>>,
    ) -> Vec<Violation> {
        let check = |(path, calls): (&String, &Vec<Call>)| {
            let mut of_path = ends.iter().filter(|end| end.cause == *path).map(|end| end.at);
            let ends_before = if path.starts_with(CRASH_PART) { PART_ENDS } else { ENDS };
            let binds_from = of_path.nth(ends_before - 1)? + STABILITY_WINDOW;
            let calls: HashMap<&str, &Call> =
                calls.iter().map(|call| (call.attempt.as_str(), call)).collect();
            let later = self.arrivals.iter().filter(|arrival| {
                let call = calls.get(arrival.attempt.as_str());
                arrival.at > binds_from
                    && call
                        .is_some_and(|call| !self.is_excused(call.entry, call.sent_at, arrival.at))
            });
            let sends = later.count();
            let ended = ends.iter().filter(|end| end.cause == *path).count();
            let path = path.clone();
            (sends > MAX_LATER_SENDS).then_some(Violation::SentOn { path, sends, ended })
        };
        crashing.iter().filter_map(check).collect()
    }
}

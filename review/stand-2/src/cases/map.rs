//! Orders that get no answer hold up a change of the map, and what one agent does about that reaches
//! into the next change.

use super::group::{Deployment, SMALL_EXPERTS, is_served, wait_until};
use crate::Verdict;
use crate::engine::{Fate, Order};
use crate::http::Outcome;
use crate::record::Record;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Number of rounds, each with a deployment of its own, and how long requests come in one. A group
/// whose map fits all of the demand changes it no more.
const ROUNDS: usize = 4;
const LENGTH: Duration = Duration::from_secs(20);

/// Time between two shifts of demand.
const SHIFT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Number of callers; each sends its next request when it has the answer to the last one.
const CALLERS: usize = 8;

/// Pause of a caller after an answer, and after a refusal.
const PAUSE: Duration = Duration::from_millis(20);
const REFUSED_PAUSE: Duration = Duration::from_millis(300);

/// By how much an order without an answer is late.
const LATENESS: Duration = Duration::from_secs(3);

/// A rank's orders to arm get no answer until the group has stood still for so long.
const SLOW_ARMING: Duration = Duration::from_millis(420);

/// How long a rank's orders to arm get no answer after the hold in the change that follows.
const NEXT_ARMING: Duration = Duration::from_millis(450);

/// Least time between two changes whose ranks are slow to arm.
const SLOW_INTERVAL: Duration = Duration::from_millis(2_500);

/// A change that is held so soon after the release of a slow one is slow to arm as well.
const NEXT_LIMIT: Duration = Duration::from_millis(400);

/// The rank whose orders to arm get no answer; in the change that follows, rank 0 as well.
const UNLUCKY: usize = 3;

/// How long a change's orders to arm get no answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Pace {
    /// They are answered.
    Calm,
    /// Those to one rank are not, until the group has stood still for a while.
    Slow,
    /// Those to that rank and to rank 0 are not, for a shorter time.
    Next,
}

/// A change of the map, from its hold on.
#[derive(Clone, Copy, Debug)]
struct Change {
    step: u64,
    pace: Pace,
    held_at: Instant,
    /// Whether a rank was ordered to arm.
    has_arms: bool,
    /// Whether the rank without answers has been armed.
    is_armed: bool,
    /// When the hold was released.
    released_at: Option<Instant>,
}

/// Decides on orders.
#[derive(Default)]
struct Trouble {
    change: Option<Change>,
    slow_at: Option<Instant>,
    changes: usize,
    orders: usize,
    unanswered: usize,
}

impl Trouble {
    fn fate(&mut self, order: &Order) -> Fate {
        self.orders += 1;
        let is_answered = match order.op.as_str() {
            "hold" => {
                self.begin(order.step);
                true
            }
            "arm" => self.answers_arm(order),
            // Only the first release matters: the others find nothing to release.
            "go" => match &mut self.change {
                Some(change) if change.step == order.step && change.released_at.is_none() => {
                    change.released_at = Some(Instant::now());
                    true
                }
                _ => false,
            },
            _ => true,
        };
        self.unanswered += usize::from(!is_answered);
        if is_answered { Fate::Answered } else { Fate::Late(LATENESS) }
    }

    fn begin(&mut self, step: u64) {
        if self.change.is_some_and(|change| change.step == step) {
            return;
        }
        let now = Instant::now();
        // A hold that came too late is given again for a later pass.
        if let Some(change) = self.change.as_mut().filter(|change| !change.has_arms) {
            (change.step, change.held_at) = (step, now);
            return;
        }
        let is_next = self.change.is_some_and(|last| {
            let is_soon = last.released_at.is_some_and(|at| now - at < NEXT_LIMIT);
            last.pace == Pace::Slow && is_soon
        });
        let pace = if is_next {
            Pace::Next
        } else if self.slow_at.is_none_or(|at| now - at > SLOW_INTERVAL) {
            self.slow_at = Some(now);
            Pace::Slow
        } else {
            Pace::Calm
        };
        let (has_arms, is_armed, released_at) = (false, false, None);
        self.change = Some(Change { step, pace, held_at: now, has_arms, is_armed, released_at });
        self.changes += 1;
    }

    fn answers_arm(&mut self, order: &Order) -> bool {
        let Some(change) = self.change.as_mut().filter(|change| change.step == order.step) else {
            return false;
        };
        let waited = change.held_at.elapsed();
        change.has_arms = true;
        match change.pace {
            Pace::Calm => true,
            Pace::Next => waited >= NEXT_ARMING || !(order.rank == UNLUCKY || order.rank == 0),
            Pace::Slow if order.rank != UNLUCKY => true,
            Pace::Slow if order.stalled < SLOW_ARMING || change.is_armed => false,
            Pace::Slow => {
                change.is_armed = true;
                true
            }
        }
    }
}

/// Plays the case.
pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    for round in 1..=ROUNDS {
        record.line(&format!("round {round}"));
        match play_round(folder, record, has_trouble)? {
            Verdict::Held => {}
            verdict => return Ok(verdict),
        }
    }
    Ok(Verdict::Held)
}

fn play_round(folder: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let decisions = Arc::new(Mutex::new(Trouble::default()));
    let shared = Arc::clone(&decisions);
    let trouble = move |order: &Order| {
        if has_trouble { shared.lock().unwrap().fate(order) } else { Fate::Answered }
    };
    let deployment = Deployment::start(folder, record, SMALL_EXPERTS, Arc::new(trouble))?;
    let deployment = Arc::new(deployment);
    let group = deployment.group.clone();
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (deployment, is_over) = (Arc::clone(&deployment), Arc::clone(&is_over));
            thread::spawn(move || {
                let mut outcomes: Vec<Outcome> = Vec::new();
                while !is_over.load(Ordering::SeqCst) {
                    let name = format!("c{caller}-{}", outcomes.len());
                    let sent = deployment.burst(&name, 1);
                    let outcome = sent.into_iter().find_map(|thread| thread.join().ok());
                    let is_refused = outcome.as_ref().is_some_and(|o| !is_served(o));
                    thread::sleep(if is_refused { REFUSED_PAUSE } else { PAUSE });
                    outcomes.extend(outcome);
                }
                outcomes
            })
        })
        .collect();
    let until = Instant::now() + LENGTH;
    while Instant::now() < until {
        if wait_until(SHIFT_INTERVAL, || !group.view().mixed_passes.is_empty()) {
            break;
        }
        group.shift_demand();
    }
    thread::sleep(Duration::from_millis(300));
    is_over.store(true, Ordering::SeqCst);
    let outcomes: Vec<Outcome> =
        callers.into_iter().filter_map(|c| c.join().ok()).flatten().collect();
    let served = outcomes.iter().filter(|outcome| is_served(outcome)).count();
    let view = group.view();
    let Trouble { changes, orders, unanswered, .. } = *decisions.lock().unwrap();
    record.line(&format!("{served} of {} requests served", outcomes.len()));
    record.line(&format!("{changes} changes; {unanswered} of {orders} orders got no answer"));
    record.line(&format!("passes that began with different maps: {:?}", view.mixed_passes));
    if served == 0 {
        return Ok(Verdict::NotRun("no request was served".to_owned()));
    }
    Ok(if view.mixed_passes.is_empty() { Verdict::Held } else { Verdict::Broken })
}

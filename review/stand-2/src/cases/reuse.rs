//! Orders that get no answer, one of which, the release of a hold, is carried out some seconds later,
//! when the same pass is held again for another map.

use super::group::{Deployment, LARGE_EXPERTS, is_served, wait_until};
use crate::Verdict;
use crate::engine::{Fate, Order};
use crate::record::Record;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The shortest time by which an order is carried out late.
const LATENESS: Duration = Duration::from_secs(2);

/// Longest wait for each step.
const LIMIT: Duration = Duration::from_secs(10);

/// The rank whose agent gets no answer to some of its orders.
const UNLUCKY: usize = 3;

/// How far the trouble has come.
#[derive(Default)]
struct Progress {
    /// When the first release was sent, and its pass.
    released: Option<(Instant, u64)>,
    /// Whether all orders are answered from now on.
    is_over: bool,
    /// Orders so far, and those without an answer.
    orders: usize,
    unanswered: usize,
}

impl Progress {
    fn fate(&mut self, order: &Order) -> Fate {
        self.orders += 1;
        let fate = self.choose(order);
        self.unanswered += usize::from(fate != Fate::Answered);
        fate
    }

    fn choose(&mut self, order: &Order) -> Fate {
        if self.is_over {
            return Fate::Answered;
        }
        let age = self.released.map(|(at, _)| at.elapsed());
        match order.op.as_str() {
            // The hold is carried out, and its giver does not learn of it.
            "hold" if age.is_none_or(|age| age < LATENESS) => Fate::Unanswered,
            // The first release of the hold is late, the next one is not.
            "go" if age.is_none() => {
                self.released = Some((Instant::now(), order.step));
                Fate::Kept
            }
            "arm" if order.rank == UNLUCKY => Fate::Late(LATENESS),
            _ => Fate::Answered,
        }
    }
}

/// Plays the case.
pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let progress = Arc::new(Mutex::new(Progress { is_over: !has_trouble, ..Progress::default() }));
    let shared = Arc::clone(&progress);
    let trouble = move |order: &Order| shared.lock().unwrap().fate(order);
    let deployment = Deployment::start(folder, record, LARGE_EXPERTS, Arc::new(trouble))?;
    let group = deployment.group.clone();

    // Some requests, then a quiet time.
    let before = deployment.burst("before", 8);
    let served = before.into_iter().filter_map(|thread| thread.join().ok());
    if served.filter(is_served).count() < 8 {
        return Ok(Verdict::NotRun("requests before the trouble were not served".to_owned()));
    }
    if has_trouble {
        let is_ready = || {
            let released = progress.lock().unwrap().released;
            let view = group.view();
            let is_held = released.is_some_and(|(at, pass)| {
                at.elapsed() >= LATENESS && view.held == Some(pass) && view.step < pass
            });
            let others = view.armed.iter().enumerate().filter(|(rank, _)| *rank != UNLUCKY);
            is_held && view.armed[UNLUCKY].is_none() && others.clone().all(|(_, a)| a.is_some())
        };
        if !wait_until(LIMIT, is_ready) {
            record.line(&format!("{:?}", group.view()));
            return Ok(Verdict::NotRun("the same pass was not held again".to_owned()));
        }
        // Now the late release is carried out.
        group.carry_out_kept(|order| order.op == "go");
    } else {
        thread::sleep(Duration::from_secs(4));
    }
    // A caller comes back.
    let after = deployment.burst("after", 4);
    wait_until(Duration::from_secs(1), || !group.view().mixed_passes.is_empty());
    progress.lock().unwrap().is_over = true;
    after.into_iter().for_each(|thread| drop(thread.join()));
    let view = group.view();
    record.line(&format!("{view:?}"));
    let Progress { orders, unanswered, .. } = *progress.lock().unwrap();
    record.line(&format!("{unanswered} of {orders} orders got no answer"));
    record.line(&format!("passes that began with different maps: {:?}", view.mixed_passes));
    Ok(if view.mixed_passes.is_empty() { Verdict::Held } else { Verdict::Broken })
}

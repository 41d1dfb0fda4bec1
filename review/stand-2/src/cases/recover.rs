//! A hold that is carried out late, while the agent of rank 0 has been started again and no request
//! is there.

use super::group::{Deployment, LARGE_EXPERTS, is_served, wait_until};
use crate::Verdict;
use crate::engine::{Fate, Order};
use crate::record::Record;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How late the first hold is carried out.
const LATENESS: Duration = Duration::from_secs(7);

/// Time until a killed process is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// The bound within which service is to be back, and for how long it is looked at after that.
const RECOVER: Duration = Duration::from_secs(12);
const LOOK: Duration = Duration::from_secs(20);

/// Plays the case.
pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let has_held = AtomicBool::new(false);
    let trouble = move |order: &Order| {
        let is_first_hold = order.op == "hold" && !has_held.swap(true, Ordering::SeqCst);
        if has_trouble && is_first_hold { Fate::Late(LATENESS) } else { Fate::Answered }
    };
    let mut deployment = Deployment::start(folder, record, LARGE_EXPERTS, Arc::new(trouble))?;
    let group = deployment.group.clone();

    // Some requests, then a quiet time: the map is changed while nothing runs.
    let before: Vec<_> = deployment.burst("before", 8);
    let before: Vec<_> = before.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let served_before = before.iter().filter(|outcome| is_served(outcome)).count();
    record.line(&format!("served before: {served_before} of {}", before.len()));
    if served_before < before.len() {
        return Ok(Verdict::NotRun("requests before the trouble were not served".to_owned()));
    }
    let is_released = || {
        let view = group.view();
        view.held.is_none() && view.armed.iter().all(Option::is_some)
    };
    if !wait_until(Duration::from_secs(10), is_released) {
        record.line(&format!("{:?}", group.view()));
        return Ok(Verdict::NotRun("no map was armed while nothing ran".to_owned()));
    }
    record.line("all ranks are armed, the group is quiet");
    thread::sleep(Duration::from_secs(1));

    if has_trouble {
        deployment.agents[0].kill();
        thread::sleep(RESTART_DELAY);
        deployment.agents[0].start()?;
        group.set_agent(0, deployment.agents[0].pid());
        if !wait_until(LATENESS, || group.view().held.is_some()) {
            return Ok(Verdict::NotRun("the late hold was not carried out".to_owned()));
        }
    }
    let back_at = Instant::now();
    thread::sleep(Duration::from_secs(1));

    // The callers come back.
    let mut requests = Vec::new();
    let mut number = 0;
    while back_at.elapsed() < RECOVER + LOOK {
        let is_late = back_at.elapsed() > RECOVER;
        let sent = deployment.burst(&format!("after-{number}"), 1);
        requests.extend(sent.into_iter().map(|thread| (is_late, thread)));
        number += 1;
        thread::sleep(Duration::from_millis(500));
    }
    let (mut asked, mut served) = (0, 0);
    for (is_late, thread) in requests {
        let Ok(outcome) = thread.join() else { continue };
        asked += usize::from(is_late);
        served += usize::from(is_late && is_served(&outcome));
    }
    record.line(&format!("{:?}", group.view()));
    record.line(&format!("later than 12 s after the restart: {served} of {asked} served"));
    Ok(if served * 4 < asked { Verdict::Broken } else { Verdict::Held })
}

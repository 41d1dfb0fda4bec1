//! Work under tickets while the key-value service is down, with and without kills.

use crate::Failure;
use bytes::Bytes;
use flamingowheel_proof::caller::CallOutcome;
use flamingowheel_proof::oracle::{Runs, Work};
use flamingowheel_proof::servers::SERVICES;
use flamingowheel_proof::world::{ENTRIES, RESTART_TIME, World};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long the key-value service is down.
const OUTAGE: Duration = Duration::from_secs(300);
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a service takes for a piece of work.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// How long a caller waits for an answer.
const TIMEOUT_MS: u64 = 5_000;
/// Arrivals per kill: about one kill every three seconds.
const KILL_ONE_IN: u32 = 60;
/// Resends under the ticket until the outcome is "complete".
const RESENDS: u32 = 3;
/// Arrivals between two attempts of a caller; one second.
const RESEND_AFTER: u32 = 20;
/// Minimum share of work under tickets that is accepted and run while only the key-value service
/// fails.
const MIN_SHARE: f64 = 0.99;

struct Outstanding {
    work: usize,
    resends: u32,
    ticks_left: u32,
}

struct Run {
    world: World,
    rng: ChaCha8Rng,
    asked: u32,
    no_ticket: u32,
    agent_kills: u32,
    entry_kills: u32,
    outstanding: Vec<Outstanding>,
    restarts: Vec<(Instant, usize)>,
}

/// Measures one outage.
pub async fn measure(seed: u64, kills: bool) -> Result<(), Failure> {
    let world = World::start(None).await;
    world.servers.services.iter().for_each(|service| service.set_delay(SERVICE_TIME));
    world.kv.set_down(true);
    let mut run = Run {
        world,
        rng: ChaCha8Rng::seed_from_u64(seed),
        asked: 0,
        no_ticket: 0,
        agent_kills: 0,
        entry_kills: 0,
        outstanding: Vec::new(),
        restarts: Vec::new(),
    };
    let end = Instant::now() + OUTAGE;
    while Instant::now() < end {
        if kills && run.rng.random_ratio(1, KILL_ONE_IN) {
            run.kill();
        }
        run.restart_due();
        run.ask().await;
        run.resend();
        sleep(ARRIVAL_INTERVAL).await;
    }
    // Checks every invariant; a violation fails the run.
    run.world.settle().await?;
    run.report(if kills { "kills" } else { "no_kills" }, !kills)
}

impl Run {
    async fn ask(&mut self) {
        self.asked += 1;
        let entry = self.rng.random_range(0..ENTRIES);
        let body = Bytes::from(format!("order {}", self.asked));
        match self.world.ask_with_ticket(entry, body, TIMEOUT_MS).await {
            Some(work) => {
                let (resends, ticks_left) = (0, RESEND_AFTER);
                self.outstanding.push(Outstanding { work, resends, ticks_left });
            }
            None => self.no_ticket += 1,
        }
    }

    fn kill(&mut self) {
        if self.rng.random_bool(0.5) {
            let server = self.rng.random_range(0..SERVICES);
            self.agent_kills += 1;
            self.world.kill_agent(server);
            self.restarts.push((Instant::now() + RESTART_TIME, server));
        } else {
            let entry = self.rng.random_range(0..ENTRIES);
            self.entry_kills += 1;
            self.world.replace_entry(entry);
        }
    }

    fn restart_due(&mut self) {
        let now = Instant::now();
        let (due, later) = self.restarts.drain(..).partition(|(at, _)| *at <= now);
        self.restarts = later;
        let due: Vec<(Instant, usize)> = due;
        due.into_iter().for_each(|(_, server)| self.world.start_agent(server));
    }

    fn resend(&mut self) {
        for mut caller in std::mem::take(&mut self.outstanding) {
            caller.ticks_left = caller.ticks_left.saturating_sub(1);
            match last_outcome(&self.world.ledger.get(caller.work)) {
                CallOutcome::Complete(_) => continue,
                CallOutcome::Pending => {}
                _ if caller.resends == RESENDS => continue,
                _ if caller.ticks_left > 0 => {}
                _ => {
                    let entry = self.rng.random_range(0..ENTRIES);
                    self.world.resend(entry, caller.work, TIMEOUT_MS);
                    (caller.resends, caller.ticks_left) = (caller.resends + 1, RESEND_AFTER);
                }
            }
            self.outstanding.push(caller);
        }
    }

    fn report(&self, name: &str, must_reach_share: bool) -> Result<(), Failure> {
        let mut outcomes = BTreeMap::from([("complete", 0_u32), ("not_run", 0), ("unknown", 0)]);
        let (mut accepted, mut double_runs, mut unknown_ran, mut first_unknown) = (0, 0, 0, 0);
        for work in self.world.ledger.all() {
            let runs = self.world.servers.started(&work.body);
            let first = work.submissions.first().map(|submission| &submission.outcome);
            first_unknown +=
                u32::from(matches!(first, Some(CallOutcome::Unknown(_) | CallOutcome::Broken)));
            let outcome = match last_outcome(&Some(work)) {
                CallOutcome::Complete(_) => "complete",
                CallOutcome::NotRun(_) => "not_run",
                CallOutcome::Unknown(_) | CallOutcome::Broken | CallOutcome::Pending => "unknown",
            };
            *outcomes.entry(outcome).or_default() += 1;
            accepted += u32::from(outcome == "complete" && runs == 1);
            double_runs += u32::from(runs > 1);
            unknown_ran += u32::from(outcome == "unknown" && runs > 0);
        }
        let share = f64::from(accepted) / f64::from(self.asked);
        println!("tickets_{name}_outage_s={}", OUTAGE.as_secs());
        println!("tickets_{name}_asked={}", self.asked);
        println!("tickets_{name}_agent_kills={}", self.agent_kills);
        println!("tickets_{name}_entry_kills={}", self.entry_kills);
        println!("tickets_{name}_no_ticket_at_first_entry={}", self.no_ticket);
        println!("tickets_{name}_accepted_and_run_share={share:.5}");
        println!("tickets_{name}_double_runs={double_runs}");
        println!("tickets_{name}_first_answer_unknown_or_broken={first_unknown}");
        for (outcome, count) in outcomes {
            println!("tickets_{name}_last_answer_{outcome}={count}");
        }
        println!("tickets_{name}_last_answer_unknown_that_ran={unknown_ran}");
        println!("tickets_{name}_key_value_calls_served={}", self.world.kv.calls().total());
        if double_runs > 0 {
            return Err(format!("{double_runs} pieces of work ran twice").into());
        }
        if must_reach_share && share < MIN_SHARE {
            return Err(format!("share {share} below {MIN_SHARE}").into());
        }
        Ok(())
    }
}

fn last_outcome(work: &Option<Work>) -> CallOutcome {
    let last = work.as_ref().and_then(|work| work.submissions.last());
    last.map_or(CallOutcome::Pending, |submission| submission.outcome.clone())
}

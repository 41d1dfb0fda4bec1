//! Retry quotas of two entries and their successors, in every order of a few steps, judged by what
//! arrives at the servers.

use flamingowheel_policy::claim::{Claim, StoredClaim, Usage};
use flamingowheel_policy::quota::{Allowance, Quota, Urgency};
use flamingowheel_policy::roster::Roster;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(10);
const ALLOWANCE: Allowance = Allowance { ratio: 0.25, slack: 40.0, window: WINDOW };

/// Requests of one step, each of which is retried as often as the quota allows.
const REQUESTS: usize = 4;

/// Time that passes in a step, and the delay of a link that is slow.
const TICK: Duration = Duration::from_millis(2_500);
const SLOW: Duration = Duration::from_secs(5);

/// Steps after two settled entries.
const DEPTH: usize = 4;

const NAMES: [&str; 2] = ["a", "b"];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Sound,
    /// Divides the constant by the entries that are listed now.
    ListedNow,
    /// Has a full share at its start.
    FullAtStart,
    /// Is forgotten by its successor if it left, which then claims a whole part.
    ForgetsOnLeaving,
    /// Counts a retry when it is taken, not when it arrives.
    CountsAtEntry,
    Never,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Requests(usize),
    SlowRequests(usize),
    /// The process is killed and its successor starts.
    Kill(usize),
    /// The process leaves, and its successor starts while it drains.
    Leave(usize),
    /// The entry looks at the store.
    News(usize),
    Tick,
}

const STEPS: [Step; 11] = [
    Step::Requests(0),
    Step::Requests(1),
    Step::SlowRequests(0),
    Step::SlowRequests(1),
    Step::Kill(0),
    Step::Kill(1),
    Step::Leave(0),
    Step::Leave(1),
    Step::News(0),
    Step::News(1),
    Step::Tick,
];

/// A process with its budget.
#[derive(Clone)]
struct Process {
    vm: usize,
    roster_names: Vec<usize>,
    seen: Vec<(usize, Duration)>,
    listed_at: Option<Duration>,
    known_before: usize,
    claim: Claim,
    quota: Quota,
    /// When the pending retries arrive.
    pending: Vec<Duration>,
    is_short: bool,
    is_leaving: bool,
}

impl Process {
    fn new(vm: usize) -> Self {
        Self {
            vm,
            roster_names: Vec::new(),
            seen: Vec::new(),
            listed_at: None,
            known_before: 0,
            claim: Claim::new(WINDOW),
            quota: Quota::new(ALLOWANCE),
            pending: Vec::new(),
            is_short: false,
            is_leaving: false,
        }
    }

    /// The roster that has seen what this process has.
    fn roster(&self) -> Roster {
        let mut roster = Roster::new(NAMES[self.vm], WINDOW);
        for (name, at) in &self.seen {
            roster.observe([NAMES[*name]], None, *at);
        }
        if self.known_before > 0 {
            roster.inherit(self.known_before, Duration::ZERO);
        }
        if let Some(at) = self.listed_at {
            roster.observe([NAMES[self.vm]], Some(Duration::ZERO), at);
        }
        if self.is_leaving {
            roster.leave();
        }
        roster
    }

    fn usage(&self, now: Duration) -> Usage {
        let allowed = self.quota.allowed_by_constant(self.roster().whole_part());
        let spent = (f64::from(self.quota.spent(now)) / allowed).min(1.0);
        Usage { spent, is_short: self.is_short, is_leaving: self.is_leaving }
    }

    fn share(&self, variant: Variant, now: Duration) -> f64 {
        let part = match variant {
            Variant::ListedNow => 1.0 / self.roster_names.len().max(1) as f64,
            _ => self.roster().part(now),
        };
        let claimed = if variant == Variant::FullAtStart { 1.0 } else { self.claim.usable(now) };
        part * claimed
    }
}

/// Two VMs with their processes, the store, and what arrived at the servers.
#[derive(Clone)]
struct Fleet {
    variant: Variant,
    now: Duration,
    /// The newest process of each VM first, then those that drain.
    processes: Vec<Process>,
    listed: Vec<usize>,
    claims: [Option<StoredClaim>; 2],
    requests: Vec<Duration>,
    repeats: Vec<Duration>,
}

impl Fleet {
    /// Two entries that have run for a while.
    fn settled(variant: Variant) -> Self {
        let mut fleet = Self {
            variant,
            now: Duration::ZERO,
            processes: vec![Process::new(0), Process::new(1)],
            listed: Vec::new(),
            claims: [None; 2],
            requests: Vec::new(),
            repeats: Vec::new(),
        };
        for _ in 0..12 {
            fleet.apply(Step::News(0));
            fleet.apply(Step::News(1));
            fleet.apply(Step::Tick);
        }
        fleet
    }

    /// The same a window after both have retried a lot, with all of their parts claimed.
    fn after_trouble(variant: Variant) -> Self {
        let mut fleet = Self::settled(variant);
        for step in [Step::Requests(0), Step::Requests(1), Step::News(0), Step::News(1)] {
            fleet.apply(step);
        }
        for _ in 0..4 {
            for step in [Step::Tick, Step::News(0), Step::News(1)] {
                fleet.apply(step);
            }
        }
        fleet.apply(Step::Tick);
        (fleet.requests, fleet.repeats) = (Vec::new(), Vec::new());
        fleet
    }

    /// The same, with retries on the way for half a window.
    fn with_slow_links(variant: Variant) -> Self {
        let mut fleet = Self::after_trouble(variant);
        for step in [Step::SlowRequests(0), Step::SlowRequests(1)] {
            fleet.apply(step);
        }
        for _ in 0..5 {
            for step in [Step::Tick, Step::News(0), Step::News(1)] {
                fleet.apply(step);
            }
        }
        fleet
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Requests(vm) => self.send(vm, Duration::ZERO),
            Step::SlowRequests(vm) => self.send(vm, SLOW),
            Step::Kill(vm) => {
                self.processes[vm] = Process::new(vm);
            }
            Step::Leave(vm) => {
                self.listed.retain(|name| *name != vm);
                let mut old = std::mem::replace(&mut self.processes[vm], Process::new(vm));
                old.is_leaving = true;
                let usage = old.usage(self.now);
                if let Some(claimed) = old.claim.next(usage, self.now) {
                    self.claims[vm] = Some(StoredClaim { claimed, entries: old.roster().count() });
                }
                if self.variant == Variant::ForgetsOnLeaving {
                    self.claims[vm] = None;
                }
                self.processes.push(old);
            }
            Step::News(vm) => self.look_at_store(vm),
            Step::Tick => {
                self.now += TICK;
                let now = self.now;
                for process in &mut self.processes {
                    let (arrived, pending) =
                        process.pending.iter().copied().partition(|at| *at <= now);
                    process.pending = pending;
                    let arrived: Vec<Duration> = arrived;
                    if self.variant != Variant::CountsAtEntry {
                        arrived.iter().for_each(|_| process.quota.finish(now));
                    }
                }
            }
        }
    }

    /// Sends requests at a VM, all of which are refused, and with it those of its draining process.
    fn send(&mut self, vm: usize, delay: Duration) {
        let (now, variant) = (self.now, self.variant);
        let old = self.processes.iter().rposition(|process| process.vm == vm && process.is_leaving);
        for number in [Some(vm), old].into_iter().flatten() {
            let process = &mut self.processes[number];
            for _ in 0..REQUESTS {
                self.requests.push(now);
                process.quota.record_request(now);
            }
            let share = process.share(variant, now);
            while variant != Variant::Never
                && process.quota.try_take(Urgency::Second, share, now).is_ok()
            {
                self.repeats.push(now + delay);
                if delay.is_zero() || variant == Variant::CountsAtEntry {
                    process.quota.finish(now);
                } else {
                    process.pending.push(now + delay);
                }
            }
            process.is_short = true;
        }
    }

    fn look_at_store(&mut self, vm: usize) {
        if !self.listed.contains(&vm) {
            self.listed.push(vm);
        }
        let (now, listed) = (self.now, self.listed.clone());
        let process = &mut self.processes[vm];
        process.seen.extend(listed.iter().map(|name| (*name, now)));
        process.listed_at = Some(now);
        process.roster_names = listed;
        let entries = process.roster().count();
        if process.claim.usable(now) == 0.0
            && self.claims[vm].is_none_or(|_| process.known_before == 0)
        {
            let previous = self.claims[vm];
            process.known_before = previous.map_or(1, |previous| previous.entries);
            let mut first = Claim::first(entries);
            if self.variant == Variant::ForgetsOnLeaving && previous.is_none() {
                first.claimed = 1.5;
            }
            process.claim.begin(previous, first, now);
            self.claims[vm] = Some(first);
            return;
        }
        let usage = process.usage(now);
        if let Some(claimed) = process.claim.next(usage, now) {
            process.claim.record_stored(claimed);
            self.claims[vm] = Some(StoredClaim { claimed, entries });
        }
    }

    /// Whether some window has more arrivals beyond the first than allowed.
    fn is_broken(&self) -> bool {
        self.repeats.iter().any(|start| {
            let repeats = count(&self.repeats, *start, *start + WINDOW);
            let starts = [*start, start.saturating_sub(WINDOW / 2), start.saturating_sub(WINDOW)];
            let requests = starts.map(|start| count(&self.requests, start, start + WINDOW));
            let most = requests.into_iter().max().unwrap_or(0);
            repeats as f64 > ALLOWANCE.ratio * most as f64 + ALLOWANCE.slack
        })
    }
}

fn count(times: &[Duration], from: Duration, to: Duration) -> usize {
    times.iter().filter(|at| (from..=to).contains(at)).count()
}

/// Whether some sequence of steps breaks the rule.
fn has_broken_sequence(variant: Variant) -> bool {
    [Fleet::settled, Fleet::after_trouble, Fleet::with_slow_links]
        .iter()
        .map(|start| start(variant))
        .any(|fleet| explore(&fleet, DEPTH))
}

fn explore(fleet: &Fleet, depth: usize) -> bool {
    if depth == 0 {
        return false;
    }
    STEPS.into_iter().any(|step| {
        let mut next = fleet.clone();
        next.apply(step);
        next.is_broken() || explore(&next, depth - 1)
    })
}

// Guards against an order of requests, retries, ends, starts and news in which parts add up to more
// than the whole.
#[test]
fn explore_all_steps_within_allowance() {
    assert!(!has_broken_sequence(Variant::Sound));
}

#[test]
fn explore_all_steps_finds_broken_budgets() {
    let broken = [
        Variant::ListedNow,
        Variant::FullAtStart,
        Variant::ForgetsOnLeaving,
        Variant::CountsAtEntry,
    ];
    for variant in broken {
        assert!(has_broken_sequence(variant), "{variant:?}");
    }
}

/// Retries that a settled fleet makes at once, with all claimed.
fn retries_of_settled(variant: Variant) -> usize {
    let mut fleet = Fleet::settled(variant);
    for _ in 0..2 {
        for vm in 0..2 {
            fleet.apply(Step::Requests(vm));
            fleet.apply(Step::News(vm));
        }
        fleet.apply(Step::Tick);
    }
    fleet.repeats.len()
}

// Guards against a rule that is kept by not retrying.
#[test]
fn try_take_room_used() {
    let allowed = ALLOWANCE.slack + ALLOWANCE.ratio * 4.0 * REQUESTS as f64;
    assert!(retries_of_settled(Variant::Sound) as f64 >= 0.6 * allowed);
    assert_eq!(retries_of_settled(Variant::Never), 0);
}

// Guards against a caller that waits for the rest of a stream while other retries take all the room.
#[test]
fn try_take_begun_after_others() {
    let mut quota = Quota::new(Allowance { slack: 100.0, ..ALLOWANCE });
    for urgency in [Urgency::Further, Urgency::Second, Urgency::Begun] {
        let taken = (0..).take_while(|_| quota.try_take(urgency, 1.0, WINDOW).is_ok()).count();
        assert!(taken > 0, "{urgency:?}");
    }
}

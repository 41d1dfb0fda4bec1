//! Who is served while a group is short of room: the entries' own admission of requests, under a
//! simulated clock and simulated passes.
//!
//!     cargo bench -p flamingowheel-gateway --bench urgency -- [--seed N] [--entries N]

#![allow(clippy::print_stdout, reason = "the report is the output")]

mod tally;

use flamingowheel_fleet::configuration::{Route, Workspace};
use flamingowheel_gateway::exchange::Exchange;
use flamingowheel_gateway::front::Stop;
use flamingowheel_gateway::group::{Fullness, GroupInFlight, GroupLoad};
use flamingowheel_gateway::metrics::Metrics;
use flamingowheel_gateway::open::OpenRequests;
use flamingowheel_gateway::priority::{Turn, Turns, Waiting};
use flamingowheel_platform::headers::RequestHead;
use flamingowheel_policy::batch::PassModel;
use flamingowheel_policy::key::Fingerprint;
use flamingowheel_policy::priority::Rank;
use flamingowheel_policy::urgency::{GivesWay, Standing};
use http::{HeaderMap, Method, Uri};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tally::{Quota, Row, Tally};
use tokio::time::Instant;

const PAUSE_GOAL_MS: f64 = 120.0;
const TIMEOUT_MS: u64 = 8_000;
const FIXED_MS: f64 = 35.0;
const PER_REQUEST_MS: f64 = 2.6;
const SKEW: f64 = 1.3;
const SLOTS: u32 = 16;
const WORKSPACES: usize = 24;

/// Simulated time; the load is measured while it is raised, from `PRESS_S` for `PRESSED_S`.
const RUN_S: f64 = 34.0;
const PRESS_S: f64 = 20.0;
const PRESSED_S: f64 = 8.0;

/// Requests per second and rank without a burst.
const RATE_PER_RANK: f64 = 5.0;

/// Requests per second and rank that a group serves in its goal.
const ROOM_PER_RANK: f64 = 8.0;

/// Time between looks of a request that waits.
const POLL_MS: f64 = 20.0;

/// Kinds of requests: priority of the route, share of the requests, goal for the first event.
const KINDS: [(u32, f64, u64); 3] = [(0, 0.36, 400), (1, 0.16, 400), (2, 0.48, 1_000)];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    New,
    /// One limit for all.
    Today,
    /// Nothing for the less urgent while more urgent requests are there.
    Starving,
    /// Each workspace has the same fixed share at each entry.
    PerEntry,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Load {
    Usual,
    /// The least urgent kind comes three times as often.
    Batch,
    /// One workspace sends tenfold.
    Workspace,
}

struct Request {
    kind: usize,
    workspace: usize,
    entry: usize,
    size: u32,
    first_ms: f64,
    is_measured: bool,
    has_returned: bool,
    exchange: Exchange,
}

struct Stream {
    request: Request,
    left: u32,
    longest_ms: f64,
    started_ms: Option<f64>,
    in_flight: GroupInFlight,
}

#[derive(Default)]
struct Report {
    kinds: [Tally; 3],
    others: Tally,
    large: Tally,
    all: Tally,
    waits_ms: Vec<f64>,
}

struct Fleet {
    rule: Rule,
    load: Load,
    ranks: f64,
    rng: ChaCha8Rng,
    entries: Vec<(Arc<Turns>, Arc<GroupLoad>, Vec<Quota>)>,
    routes: Vec<Arc<Route>>,
    workspaces: Vec<Arc<Workspace>>,
    origin: Instant,
    now_ms: f64,
    pending: BTreeMap<u64, Vec<Pending>>,
    queue: Vec<Stream>,
    batch: Vec<Stream>,
    report: Report,
    number: u64,
    metrics: Arc<Metrics>,
}

struct Pending {
    request: Request,
    turn: Option<Turn>,
    waiting: Option<(Waiting, Duration)>,
}

impl Fleet {
    fn new(rule: Rule, load: Load, entries: usize, seed: u64) -> Self {
        let ranks = (entries as f64 * 1.5).max(16.0);
        let model = PassModel {
            fixed_ms: FIXED_MS,
            per_request_ms: PER_REQUEST_MS * entries as f64 / ranks,
            expert_share: 0.85,
        };
        let entry = |_| {
            let group = GroupLoad::default();
            group.set_model(model);
            group.set_slots(SLOTS);
            (Arc::default(), Arc::new(group), vec![Quota::default(); WORKSPACES])
        };
        let route = |(priority, _, goal_ms): &(u32, f64, u64)| {
            Arc::new(Route {
                priority: *priority,
                goal_ms: *goal_ms,
                pause_goal_ms: PAUSE_GOAL_MS as u64,
                timeout_ms: TIMEOUT_MS,
                is_stream: true,
                ..Route::default()
            })
        };
        let workspace = |number| {
            let name = format!("w-{number}");
            Arc::new(Workspace { name, priority: Some(1), home_regions: Vec::new() })
        };
        Self {
            rule,
            load,
            ranks,
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: (0..entries).map(entry).collect(),
            routes: KINDS.iter().map(route).collect(),
            workspaces: (0..WORKSPACES).map(workspace).collect(),
            origin: Instant::now(),
            now_ms: 0.0,
            pending: BTreeMap::new(),
            queue: Vec::new(),
            batch: Vec::new(),
            report: Report::default(),
            number: 0,
            metrics: Arc::new(Metrics::new().unwrap()),
        }
    }

    fn at(&self, ms: f64) -> Instant {
        self.origin + Duration::from_secs_f64(ms / 1_000.0)
    }

    fn run(mut self) -> Report {
        while self.now_ms < RUN_S * 1_000.0 {
            let lasted_ms = self.pass_ms();
            let until_ms = self.now_ms + lasted_ms;
            self.arrive(self.now_ms, until_ms);
            self.decide(until_ms);
            self.now_ms = until_ms;
            self.end_pass(lasted_ms);
            self.start_queued();
        }
        self.report
    }

    fn pass_ms(&mut self) -> f64 {
        let per_rank = self.batch.len() as f64 / self.ranks;
        SKEW * (FIXED_MS + PER_REQUEST_MS * per_rank) * self.rng.random_range(0.9..1.1)
    }

    fn is_pressed(&self) -> bool {
        let s = self.now_ms / 1_000.0;
        (PRESS_S..PRESS_S + PRESSED_S).contains(&s)
    }

    fn arrive(&mut self, from_ms: f64, until_ms: f64) {
        for (kind, (_, share, _)) in KINDS.iter().enumerate() {
            for workspace in 0..WORKSPACES {
                let factor = match self.load {
                    Load::Batch if kind == 2 && self.is_pressed() => 3.0,
                    Load::Workspace if workspace == 0 && self.is_pressed() => 10.0,
                    _ => 1.0,
                };
                let of_workspace = if workspace % 8 == 1 { 3.0 } else { 0.75 };
                let per_s = RATE_PER_RANK * self.ranks * share / WORKSPACES as f64;
                let mean = per_s * factor * of_workspace * (until_ms - from_ms) / 1_000.0;
                let count = mean as u32 + u32::from(self.rng.random_bool(mean.fract()));
                (0..count).for_each(|_| self.offer(kind, workspace, from_ms, until_ms));
            }
        }
    }

    fn offer(&mut self, kind: usize, workspace: usize, from_ms: f64, until_ms: f64) {
        let at_ms = self.rng.random_range(from_ms..until_ms);
        // Sizes from 5 to 60 events, of mean 20.
        let size = (5.0 + 15.0 * -(1.0 - self.rng.random::<f64>()).ln()).min(60.0) as u32;
        self.number += 1;
        let exchange = self.exchange(kind, workspace, at_ms, TIMEOUT_MS);
        let request = Request {
            kind,
            workspace,
            entry: self.rng.random_range(0..self.entries.len()),
            size,
            first_ms: at_ms,
            is_measured: self.is_pressed(),
            has_returned: false,
            exchange,
        };
        if request.is_measured {
            self.tally(&request, |tally| tally.asked += 1.0);
        }
        self.push(at_ms, Pending { request, turn: None, waiting: None });
    }

    fn exchange(&self, kind: usize, workspace: usize, at_ms: f64, left_ms: u64) -> Exchange {
        let arrived = self.at(at_ms);
        let priority = self.workspaces[workspace].priority;
        let metrics = Arc::clone(&self.metrics);
        Exchange {
            arrived,
            version: 1,
            deadline: arrived + Duration::from_millis(left_ms),
            head: RequestHead { deadline_ms: Some(left_ms), ..RequestHead::default() },
            route: Arc::clone(&self.routes[kind]),
            service: "s".to_owned(),
            workspace: Some(Arc::clone(&self.workspaces[workspace])),
            rank: Rank::new(priority, KINDS[kind].0),
            level: u8::try_from(kind).ok(),
            method: Method::POST,
            uri: Uri::from_static("/"),
            headers: HeaderMap::new(),
            body: bytes::Bytes::new(),
            fingerprint: Fingerprint(u128::from(self.number)),
            subjects: Vec::new(),
            open: OpenRequests::new(metrics, Stop::default()).read("", arrived),
        }
    }

    fn push(&mut self, at_ms: f64, pending: Pending) {
        self.pending.entry((at_ms * 1_000.0) as u64).or_default().push(pending);
    }

    /// Takes the decisions that are due until the end of the pass.
    fn decide(&mut self, until_ms: f64) {
        while let Some(first) = self.pending.first_entry() {
            let at_ms = *first.key() as f64 / 1_000.0;
            if at_ms >= until_ms {
                return;
            }
            for pending in first.remove() {
                self.decide_one(pending, at_ms);
            }
        }
    }

    fn decide_one(&mut self, mut pending: Pending, at_ms: f64) {
        let now = self.at(at_ms);
        let draw = self.rng.random();
        let per_entry = ROOM_PER_RANK * self.ranks / self.entries.len() as f64;
        let (turns, group, used) = &mut self.entries[pending.request.entry];
        let (turns, group) = (Arc::clone(turns), Arc::clone(group));
        let exchange = &pending.request.exchange;
        let turn = *pending.turn.get_or_insert_with(|| {
            let standing = turns.arrive(exchange, draw, now);
            Turn { draw, standing: self.rule.standing(standing, pending.request.kind) }
        });
        let Some(admission) = turn.admission(exchange) else {
            return;
        };
        let fullness = group.fullness(&admission, now);
        let quota = &mut used[pending.request.workspace];
        let has_quota =
            self.rule != Rule::PerEntry || quota.has_place(per_entry / WORKSPACES as f64, at_ms);
        if !fullness.is_full() && has_quota {
            quota.places -= 1.0;
            turns.admit(exchange, now);
            let in_flight = group.begin();
            let left = pending.request.size;
            let request = pending.request;
            self.queue.push(Stream { request, left, longest_ms: 0.0, started_ms: None, in_flight });
            return;
        }
        let waited = now - exchange.arrived;
        if self.rule == Rule::New && turn.waits_for_room() && pending.waiting.is_none() {
            pending.waiting = turns.wait(exchange, &fullness);
        }
        if pending.waiting.as_ref().is_some_and(|(_, most)| waited < *most) {
            return self.push(at_ms + POLL_MS, pending);
        }
        self.refuse(pending, &turns, &fullness, &turn, at_ms);
    }

    fn refuse(
        &mut self,
        pending: Pending,
        turns: &Turns,
        fullness: &Fullness,
        turn: &Turn,
        at_ms: f64,
    ) {
        let mut request = pending.request;
        let now = self.at(at_ms);
        let retry_after_ms = turns.refuse(&request.exchange, fullness, turn.draw, now);
        self.report.waits_ms.push((now - request.exchange.arrived).as_secs_f64() * 1_000.0);
        if request.has_returned {
            return;
        }
        request.has_returned = true;
        let back_ms = at_ms + retry_after_ms as f64;
        let left_ms = TIMEOUT_MS - (back_ms - request.first_ms) as u64;
        let number = request.exchange.fingerprint;
        request.exchange = self.exchange(request.kind, request.workspace, back_ms, left_ms);
        request.exchange.fingerprint = number;
        self.push(back_ms, Pending { request, turn: None, waiting: None });
    }

    fn end_pass(&mut self, lasted_ms: f64) {
        let now = self.at(self.now_ms);
        let mut has_stream = vec![false; self.entries.len()];
        for stream in &mut self.batch {
            has_stream[stream.request.entry] = true;
            stream.started_ms.get_or_insert(self.now_ms);
            stream.longest_ms = stream.longest_ms.max(lasted_ms);
            stream.left -= 1;
        }
        for ((_, group, _), _) in self.entries.iter().zip(&has_stream).filter(|(_, has)| **has) {
            group.record_pause(lasted_ms, now);
        }
        let ended: Vec<Stream> = self.batch.extract_if(.., |stream| stream.left == 0).collect();
        for stream in ended {
            drop(stream.in_flight);
            let request = stream.request;
            let started_ms = stream.started_ms.unwrap_or(self.now_ms);
            let goal_ms = request.exchange.route.goal_ms as f64;
            let is_prompt = started_ms - request.first_ms <= goal_ms;
            let is_in_goal = is_prompt && stream.longest_ms <= PAUSE_GOAL_MS;
            if request.is_measured {
                self.tally(&request, |tally| {
                    tally.served += 1.0;
                    tally.in_goal += f64::from(u8::from(is_in_goal));
                });
            }
        }
    }

    /// Servers start queued requests as slots get free, in the order of their priority header.
    fn start_queued(&mut self) {
        if self.rule != Rule::Today {
            self.queue.sort_by_key(|stream| stream.request.kind);
        }
        let room = (self.ranks * f64::from(SLOTS)) as usize;
        let count = room.saturating_sub(self.batch.len()).min(self.queue.len());
        self.batch.extend(self.queue.drain(..count));
    }

    fn tally<F>(&mut self, request: &Request, count: F)
    where
        F: Fn(&mut Tally),
    {
        let report = &mut self.report;
        count(&mut report.all);
        count(&mut report.kinds[request.kind]);
        if request.workspace != 0 {
            count(&mut report.others);
        }
        // The largest tenth of the sizes drawn above.
        if request.size >= 39 {
            count(&mut report.large);
        }
    }
}

impl Rule {
    fn standing(self, standing: Standing, kind: usize) -> Standing {
        let none = Standing {
            cut: 0.0,
            caution: 0.0,
            precedes: false,
            gives_way: GivesWay::ToNone,
            ..standing
        };
        match self {
            Self::New => standing,
            Self::Today | Self::PerEntry => none,
            Self::Starving if kind > 0 => Standing { cut: 1.0, ..none },
            Self::Starving => none,
        }
    }
}

/// The rows of the goals for one size of the fleet and one rule.
fn rows(rule: Rule, entries: usize, seed: u64) -> Vec<Row> {
    let run = |rule, load| Fleet::new(rule, load, entries, seed).run();
    let (usual, burst) = (run(rule, Load::Usual), run(rule, Load::Batch));
    let today = run(Rule::Today, Load::Batch);
    let workspace = run(rule, Load::Workspace);
    // What the least urgent would get if all others were served first in the room that one limit
    // for all leaves.
    let urgent_asked: f64 = burst.kinds[..2].iter().map(|tally| tally.asked).sum();
    let room = (today.all.served - urgent_asked).clamp(1.0, burst.kinds[2].asked);
    let mut waits = burst.waits_ms.clone();
    waits.sort_by(f64::total_cmp);
    let at_once = waits.iter().filter(|wait| **wait <= 10.0).count() as f64;
    let row = |name: &str, value, bound| Row {
        name: format!("{rule:?}.{entries}.{name}").to_lowercase(),
        value,
        bound,
        is_most: false,
    };
    let least = &burst.kinds[2];
    vec![
        row("urgent_in_goal", burst.kinds[0].in_goal() / usual.kinds[0].in_goal(), 0.97),
        row("least_of_its_room", least.served / room, 0.90),
        row("least_of_all", least.served() / burst.all.served(), 0.25),
        row("in_goal_of_today", burst.all.in_goal / today.all.in_goal, 1.0),
        row("others_served", workspace.others.served() / usual.others.served(), 0.97),
        row("largest_served", burst.large.served() / burst.all.served(), 0.80),
        row("refused_at_once", at_once / waits.len().max(1) as f64, 0.99),
    ]
}

/// Time of a decision in microseconds, with five threads on one entry.
fn cost_us() -> f64 {
    const DECISIONS: u32 = 40_000;
    let fleet = Fleet::new(Rule::New, Load::Usual, 1, 1);
    let (turns, group, _) = &fleet.entries[0];
    let exchanges: Vec<Exchange> =
        (0..72).map(|n| fleet.exchange(n % 3, n % WORKSPACES, 0.0, TIMEOUT_MS)).collect();
    let start = Instant::now();
    let timed = std::time::Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..5 {
            scope.spawn(|| {
                for number in 0..DECISIONS {
                    let exchange = &exchanges[number as usize % exchanges.len()];
                    let now = start + Duration::from_micros(u64::from(number) * 100);
                    let standing = turns.arrive(exchange, 0.5, now);
                    let turn = Turn { draw: 0.5, standing };
                    if let Some(admission) = turn.admission(exchange) {
                        std::hint::black_box(group.fullness(&admission, now));
                    }
                    turns.admit(exchange, now);
                }
            });
        }
    });
    timed.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS * 5)
}

fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    let seed = arguments.opt_value_from_str("--seed").ok().flatten().unwrap_or(1);
    let mut is_good = true;
    let only: Option<usize> = arguments.opt_value_from_str("--entries").ok().flatten();
    for entries in only.map_or(vec![6, 42, 380], |entries| vec![entries]) {
        for rule in [Rule::New, Rule::Today, Rule::Starving, Rule::PerEntry] {
            let rows = rows(rule, entries, seed);
            for row in &rows {
                let verdict = if row.is_met() { "met" } else { "missed" };
                println!("{} = {:.3} (bound {}, {verdict})", row.name, row.value, row.bound);
            }
            let missed = rows.iter().filter(|row| !row.is_met()).count();
            // A rule that ignores urgency, starves, or shares per entry must show in the goals.
            is_good &= if rule == Rule::New { missed == 0 } else { missed > 0 };
        }
    }
    let cost = Row { name: "cost_us".into(), value: cost_us(), bound: 2.0, is_most: true };
    println!("{} = {:.3} (bound {})", cost.name, cost.value, cost.bound);
    is_good &= cost.is_met();
    println!("all = {}", if is_good { "met" } else { "missed" });
    if !is_good {
        std::process::exit(1);
    }
}

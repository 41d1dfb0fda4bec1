//! A small discrete-event model of entries and backend servers. It runs the shipping policy code:
//! [`choose`], [`LoadTracker`], [`Admission`] and [`RetryBudget`] are the same as in the daemon.

// Each benchmark uses a different part of the model.
#![allow(dead_code)]

pub mod args;
pub mod baseline;
pub mod config;
pub mod limits;
pub mod prompts;
pub mod server;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use flamingowheel_policy::admission::{AdmissionDecision, Offer};
use flamingowheel_policy::key::{Fingerprint, ServerKey};
use flamingowheel_policy::load::LoadTracker;
use flamingowheel_policy::prefix::{BlockHash, CacheEvent, PrefixConfig, PrefixIndex};
use flamingowheel_policy::retry::{RetryBudget, RetryConfig, RetryRequest, TryOutcome};
use flamingowheel_policy::routing::{RouteRequest, RoutingConfig, choose};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use baseline::BaselineLoads;
use config::ClassFigures;
pub use config::{Chooser, Class, Figures, ModelConfig};
use prompts::Prompts;
use server::{RunningRequest, Server};

/// One-way network delay between an entry and an agent.
const NETWORK: Duration = Duration::from_micros(500);
/// Time between the tokens of a stream.
const CHUNK_EVERY: Duration = Duration::from_millis(52);

type RequestId = usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Offer { request: RequestId, server: usize, last_try: bool },
    Finish { server: usize, generation: u64 },
    Chunk { request: RequestId },
    LoadReport { server: usize },
    SendCacheEvents { server: usize },
    OutageStarts,
    OutageEnds,
}

struct Request {
    arrived: Duration,
    entry: usize,
    class: usize,
    fingerprint: Fingerprint,
    work: Duration,
    tried: Vec<ServerKey>,
    server: Option<usize>,
    started: Duration,
    /// Whether it arrived after the warm-up and is included in the figures.
    counted: bool,
    same_body: bool,
    prompt: Vec<BlockHash>,
}

struct Entry {
    prefixes: PrefixIndex,
    loads: LoadTracker,
    baseline: BaselineLoads,
    budget: RetryBudget,
}

pub struct Model {
    config: ModelConfig,
    rng: ChaCha8Rng,
    now: Duration,
    sequence: u64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    requests: Vec<Request>,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    keys: Vec<ServerKey>,
    prompts: Option<Prompts>,
    /// Cache events not yet sent to the entries, by server.
    unsent_cache_events: Vec<Vec<CacheEvent>>,
    figures: Figures,
}

impl Model {
    pub fn new(config: ModelConfig) -> Self {
        let keys: Vec<ServerKey> =
            (0..config.servers).map(|n| ServerKey::from_name(&format!("server-{n}"))).collect();
        let mut loads = LoadTracker::default();
        for key in &keys {
            loads.insert(*key);
        }
        let entry = || Entry {
            prefixes: PrefixIndex::new(PrefixConfig { max_pending: 0, ..PrefixConfig::default() }),
            loads: loads.clone(),
            baseline: BaselineLoads::new(config.servers),
            budget: RetryBudget::new(RetryConfig::default()),
        };
        let figures = Figures {
            classes: config.classes.iter().map(|_| ClassFigures::new()).collect(),
            tries: 0,
            work_done_s: 0.0,
            same_body_runs: vec![0; config.servers],
            prompt_blocks: 0,
            cached_blocks: 0,
        };
        let prompts = config.prompts.map(|prompts| Prompts::new(prompts, config.servers));
        Self {
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            now: Duration::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            requests: Vec::new(),
            entries: (0..config.entries).map(|_| entry()).collect(),
            servers: (0..config.servers).map(|_| Server::new(config.admission)).collect(),
            keys,
            prompts,
            unsent_cache_events: vec![Vec::new(); config.servers],
            figures,
            config,
        }
    }

    pub fn run(mut self) -> Figures {
        self.schedule_at(Duration::ZERO, Event::Arrival);
        for server in 0..self.config.servers {
            let offset = self.config.report_every.mul_f64(self.rng.random());
            self.schedule_at(offset, Event::LoadReport { server });
        }
        if let Some(prompts) = self.config.prompts {
            for server in 0..self.config.servers {
                let offset = prompts.cache_event_interval.mul_f64(self.rng.random());
                self.schedule_at(offset, Event::SendCacheEvents { server });
            }
        }
        if let Some(outage) = self.config.outage {
            self.schedule_at(outage.from, Event::OutageStarts);
            self.schedule_at(outage.until, Event::OutageEnds);
        }
        let end = self.config.warm_up + self.config.duration;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.figures
    }

    fn schedule_at(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        let unit: f64 = self.rng.random();
        mean.mul_f64(-(1.0 - unit).ln())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Offer { request, server, last_try } => self.offer(request, server, last_try),
            Event::Finish { server, generation } => self.finish(server, generation),
            Event::Chunk { request } => self.chunk(request),
            Event::LoadReport { server } => self.report(server),
            Event::SendCacheEvents { server } => self.send_cache_events(server),
            Event::OutageStarts => self.start_outage(),
            Event::OutageEnds => self.servers.iter_mut().for_each(|server| server.down = false),
        }
    }

    fn arrive(&mut self) {
        let places = self.config.servers as f64 * f64::from(self.config.admission.places);
        let mean = self.config.service.div_f64(places * self.config.load);
        let next = self.exponential(mean);
        self.schedule_after(next, Event::Arrival);
        let work = self.exponential(self.config.service - self.config.prefill);
        let same_body = self.rng.random::<f64>() < self.config.same_body_share;
        let fingerprint = if same_body && self.config.seeded { 1 } else { self.rng.random() };
        let class = self.draw_class();
        let counted = self.now >= self.config.warm_up;
        self.figures.classes[class].arrived += u64::from(counted);
        let prompt = match &mut self.prompts {
            Some(prompts) => prompts.draw(&mut self.rng),
            None => Vec::new(),
        };
        self.requests.push(Request {
            arrived: self.now,
            entry: self.rng.random_range(0..self.config.entries),
            class,
            fingerprint: Fingerprint(fingerprint),
            work: work + self.config.prefill,
            tried: Vec::new(),
            server: None,
            started: Duration::ZERO,
            counted,
            same_body,
            prompt,
        });
        self.route(self.requests.len() - 1);
    }

    fn draw_class(&mut self) -> usize {
        let mut left: f64 = self.rng.random();
        for (index, class) in self.config.classes.iter().enumerate() {
            left -= class.share;
            if left < 0.0 {
                return index;
            }
        }
        self.config.classes.len() - 1
    }

    fn route(&mut self, id: RequestId) {
        let Some((server, last_try)) = self.choose(id) else {
            self.refuse(id);
            return;
        };
        let request = &self.requests[id];
        self.figures.tries += u64::from(request.counted);
        let entry = &mut self.entries[request.entry];
        entry.loads.on_sent(self.keys[server], self.now);
        entry.baseline.on_sent(server);
        self.schedule_after(NETWORK, Event::Offer { request: id, server, last_try });
    }

    fn choose(&mut self, id: RequestId) -> Option<(usize, bool)> {
        let request = &self.requests[id];
        let entry = &self.entries[request.entry];
        let routing = match &self.config.chooser {
            Chooser::Baseline(baseline) => {
                let may_try = request.tried.len() < baseline.max_tries;
                let tried: Vec<usize> =
                    request.tried.iter().filter_map(|key| self.index_of(*key)).collect();
                let rng = &mut self.rng;
                let last_try = baseline.early_queue.is_none();
                return may_try.then(|| (entry.baseline.choose(baseline, &tried, rng), last_try));
            }
            Chooser::Shipping(routing) => *routing,
        };
        let class = &self.config.classes[request.class];
        let routing = RoutingConfig {
            urgent: class.priority >= self.config.admission.urgent,
            max_wait: class.max_wait,
            ..routing
        };
        let route = RouteRequest { fingerprint: request.fingerprint, tried: &request.tried };
        let extra = entry.prefixes.extra_prefill(&self.keys, &request.prompt, self.now);
        let extra_cost = |server| Some(extra.of(server));
        let choice = choose(&routing, &route, &self.keys, &entry.loads, self.now, extra_cost);
        let choice = choice.ok()?;
        Some((self.index_of(choice.server)?, choice.last_try))
    }

    fn index_of(&self, server: ServerKey) -> Option<usize> {
        self.keys.iter().position(|key| *key == server)
    }

    fn refuse(&mut self, id: RequestId) {
        let request = &self.requests[id];
        self.figures.classes[request.class].refused += u64::from(request.counted);
    }

    fn offer(&mut self, id: RequestId, server: usize, last_try: bool) {
        if self.servers[server].down {
            self.fail(id, server, TryOutcome::NotRun);
            return;
        }
        let request = &self.requests[id];
        let class = self.config.classes[request.class];
        let deadline = self.now + class.max_wait;
        let offer = Offer { id, priority: class.priority, last_try, deadline };
        self.servers[server].advance(self.now);
        match self.servers[server].admission.offer(offer) {
            AdmissionDecision::Start => self.start(id, server),
            AdmissionDecision::Queued { shed } => {
                self.report_load(id, server);
                if let Some(shed) = shed {
                    self.refuse(shed);
                }
            }
            AdmissionDecision::Full(_) => self.full(id, server),
        }
    }

    fn full(&mut self, id: RequestId, server: usize) {
        self.report_load(id, server);
        self.requests[id].tried.push(self.keys[server]);
        // Adds the delay of the refusal; that of the next try is added with its offer.
        self.now += NETWORK;
        self.route(id);
        self.now -= NETWORK;
    }

    /// Reports the current load to the request's entry, as every frame from the agent does.
    fn report_load(&mut self, id: RequestId, server: usize) {
        if matches!(self.config.chooser, Chooser::Baseline(_)) {
            return;
        }
        let load = self.servers[server].load();
        let entry = &mut self.entries[self.requests[id].entry];
        entry.loads.on_current_load(self.keys[server], load, self.now);
    }

    fn start(&mut self, id: RequestId, server: usize) {
        let request = &mut self.requests[id];
        request.server = Some(server);
        request.started = self.now;
        let wait = self.now - request.arrived;
        if request.counted {
            let class = &mut self.figures.classes[request.class];
            class.wait_us.record(wait.as_micros() as u64).expect("the histogram resizes");
        }
        if request.same_body {
            self.figures.same_body_runs[server] += 1;
        }
        let mut prefill = self.config.prefill;
        if let Some(prompts) = &mut self.prompts {
            let (cached, events) = prompts.start(server, &request.prompt);
            prefill = prompts.prefill(request.prompt.len() - cached);
            request.work += prefill;
            self.unsent_cache_events[server].extend(events);
            if request.counted {
                self.figures.prompt_blocks += request.prompt.len() as u64;
                self.figures.cached_blocks += cached as u64;
            }
        }
        let work = request.work;
        self.servers[server].start(RunningRequest { id, remaining: work, to_first_token: prefill });
        self.report_load(id, server);
        self.schedule_finish(server);
        if matches!(self.config.chooser, Chooser::Shipping(_)) {
            self.schedule_after(CHUNK_EVERY, Event::Chunk { request: id });
        }
    }

    fn schedule_finish(&mut self, server: usize) {
        if let Some((after, generation)) = self.servers[server].next_event() {
            self.schedule_after(after, Event::Finish { server, generation });
        }
    }

    fn finish(&mut self, server: usize, generation: u64) {
        if self.servers[server].generation != generation {
            return;
        }
        self.servers[server].advance(self.now);
        for id in self.servers[server].drain_first_tokens() {
            let request = &self.requests[id];
            if request.counted {
                let waited = (self.now - request.arrived).as_micros() as u64;
                let class = &mut self.figures.classes[request.class];
                class.first_token_us.record(waited).expect("the histogram resizes");
            }
        }
        for id in self.servers[server].drain_finished() {
            self.end(id, server);
        }
        while let Some(next) = self.servers[server].admission.start_next() {
            self.start(next, server);
        }
        self.schedule_finish(server);
    }

    fn end(&mut self, id: RequestId, server: usize) {
        let request = &mut self.requests[id];
        request.server = None;
        if self.now >= self.config.warm_up {
            self.figures.work_done_s += request.work.as_secs_f64();
        }
        self.figures.classes[request.class].finished += u64::from(request.counted);
        let held = self.now - request.started;
        let entry = &mut self.entries[request.entry];
        entry.budget.on_success();
        entry.loads.on_ended(self.keys[server], self.now);
        entry.baseline.on_ended(server);
        if let Some(next) = self.servers[server].admission.finish(held) {
            self.start(next, server);
        }
        self.report_load(id, server);
    }

    fn chunk(&mut self, id: RequestId) {
        let Some(server) = self.requests[id].server else { return };
        let load = self.servers[server].load();
        let entry = &mut self.entries[self.requests[id].entry];
        entry.loads.on_hint(self.keys[server], load.hint(), self.now);
        self.schedule_after(CHUNK_EVERY, Event::Chunk { request: id });
    }

    /// Delivers a load report to every entry after the configured lag.
    fn report(&mut self, server: usize) {
        let late = self.servers[server].delayed_report(self.config.lag, self.now);
        if let Some((load, as_of)) = late {
            for entry in &mut self.entries {
                entry.loads.on_report(self.keys[server], load, as_of);
                entry.baseline.on_report(server, load.occupied());
            }
        }
        self.servers[server].expire(self.now).into_iter().for_each(|id| self.refuse(id));
        self.schedule_after(self.config.report_every, Event::LoadReport { server });
    }

    /// Sends the cache events since the last call to every entry, if configured.
    fn send_cache_events(&mut self, server: usize) {
        let Some(prompts) = self.config.prompts else { return };
        let events = std::mem::take(&mut self.unsent_cache_events[server]);
        if prompts.sends_cache_events {
            for entry in &mut self.entries {
                for event in &events {
                    entry.prefixes.on_event(self.keys[server], event.clone(), self.now);
                }
            }
        }
        self.schedule_after(prompts.cache_event_interval, Event::SendCacheEvents { server });
    }

    fn start_outage(&mut self) {
        let Some(outage) = self.config.outage else { return };
        let down = (self.config.servers as f64 * outage.share).round() as usize;
        for server in 0..down {
            self.servers[server].advance(self.now);
            let (running, waiting) = self.servers[server].crash();
            for id in running {
                self.requests[id].server = None;
                self.fail(id, server, TryOutcome::Unknown);
            }
            for id in waiting {
                self.fail(id, server, TryOutcome::NotRun);
            }
        }
    }

    /// All requests of the model are idempotent; half of the failed ones had delivered part of the
    /// answer.
    fn fail(&mut self, id: RequestId, server: usize, last_outcome: TryOutcome) {
        let answer_started = last_outcome == TryOutcome::Unknown && self.rng.random::<f64>() < 0.5;
        self.report_load(id, server);
        let request = &mut self.requests[id];
        request.tried.push(self.keys[server]);
        if last_outcome == TryOutcome::NotRun {
            self.route(id);
            return;
        }
        let remaining = Duration::from_secs(30);
        let retry = RetryRequest { idempotent: true, last_outcome, answer_started, remaining };
        match self.entries[request.entry].budget.try_retry(&retry) {
            Ok(()) => self.route(id),
            Err(_) => self.refuse(id),
        }
    }
}

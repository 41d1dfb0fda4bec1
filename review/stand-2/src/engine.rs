//! A group of model runners that run each pass together, as the platform's pages describe them:
//! reports, counts, orders, and event streams for requests.

use crate::http::{self, Message};
use crate::json::Json;
use crate::owner;
use crate::record::Record;
use std::cell::Cell;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Sets of layers, experts in each, and places of a rank and set.
pub const SETS: usize = 2;
pub const EXPERTS: usize = 8;
pub const PLACES: usize = 3;

/// Age of what a runner reports to other machines than its own.
const REPORT_LAG: Duration = Duration::from_millis(200);

/// Time for which states are kept for such reports.
const HISTORY: Duration = Duration::from_millis(600);

/// Size of an expert and bandwidth of a rank's link.
#[derive(Clone, Copy, Debug)]
pub struct Copying {
    pub expert_mb: f64,
    pub link_mbps: f64,
}

impl Copying {
    fn time(self, copies: usize) -> Duration {
        Duration::from_secs_f64(self.expert_mb * 8.0 / self.link_mbps * copies as f64)
    }
}

/// Time that a pass takes.
pub const PASS: Duration = Duration::from_millis(60);

/// Events of a stream. The first comes a pass after the request.
pub const EVENTS: u64 = 4;

/// How often a request chooses each expert of a set in a pass. Rank 0 has the most work.
const CHOICES: [u64; EXPERTS] = [900, 300, 40, 40, 700, 60, 40, 40];

/// An order as it arrived.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub rank: usize,
    pub op: String,
    pub epoch: u64,
    pub version: u64,
    pub step: u64,
    map: Option<Vec<Vec<Vec<u64>>>>,
}

/// What the trouble does with an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// It is carried out and answered at once.
    Answered,
    /// It is carried out at once and gets no answer.
    Unanswered,
    /// It gets no answer and is carried out after this time.
    Late(Duration),
    /// It gets no answer and is carried out when [`Group::carry_out_kept`] is called.
    Kept,
}

/// Decides on each order, with the time since the start of the group.
pub type Trouble = dyn Fn(&Order) -> Fate + Send + Sync;

#[derive(Clone, Debug, Default)]
struct Rank {
    map_version: u64,
    experts: Vec<Vec<u64>>,
    /// Version and experts that are being copied or are there, and when the copy is complete.
    prepared: Option<(u64, Vec<Vec<u64>>, Instant)>,
    highest_version: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    counts: Vec<u64>,
    seq: u64,
}

impl Rank {
    /// The version that was prepared at a moment.
    fn prepared_version(&self, moment: Instant) -> Option<u64> {
        let (version, _, ready_at) = self.prepared.as_ref()?;
        (*ready_at <= moment).then_some(*version)
    }
}

struct Request {
    number: u64,
    rank: usize,
    events: u64,
    left: u64,
    next_id: u64,
    sender: Sender<Option<String>>,
}

#[derive(Clone, Default)]
struct Shown {
    ranks: Vec<Rank>,
    step: u64,
    running: Vec<usize>,
}

#[derive(Default)]
struct State {
    ranks: Vec<Rank>,
    /// The last pass that was begun.
    step: u64,
    requests: Vec<Request>,
    last_number: u64,
    kept: Vec<Order>,
    /// Passes that began while ranks had different maps.
    mixed_passes: Vec<u64>,
    /// Since when a pass has been held although there are requests.
    stalled_since: Option<Instant>,
    /// What has been shown since a while ago, the newest last.
    history: VecDeque<(Instant, Shown)>,
    /// The processes of the agents, by rank.
    agents: Vec<u32>,
}

impl State {
    fn shown(&self) -> Shown {
        let count = |rank| self.requests.iter().filter(|request| request.rank == rank).count();
        let running = (0..self.ranks.len()).map(count).collect();
        Shown { ranks: self.ranks.clone(), step: self.step, running }
    }

    /// Keeps the present state for later reports.
    fn keep(&mut self) {
        let now = Instant::now();
        self.history.push_back((now, self.shown()));
        while self.history.get(1).is_some_and(|(at, _)| now - *at > HISTORY) {
            self.history.pop_front();
        }
    }

    /// The state as of a moment.
    fn as_of(&self, moment: Instant) -> Shown {
        let older = self.history.iter().rev().find(|(at, _)| *at <= moment);
        older.or(self.history.front()).map_or_else(|| self.shown(), |(_, shown)| shown.clone())
    }
}

/// A group of runners.
#[derive(Clone)]
pub struct Group {
    shared: Arc<(Mutex<State>, Condvar)>,
    trouble: Arc<Trouble>,
    record: Record,
    /// Addresses of the runners, by rank.
    pub addresses: Arc<Vec<SocketAddr>>,
    /// How fast experts are copied.
    pub copying: Copying,
    born_ms: u64,
}

/// What can be seen of the group; the record shows all of it.
#[derive(Clone, Debug)]
#[allow(dead_code, reason = "some fields are only written to the record")]
pub struct View {
    pub step: u64,
    pub held: Option<u64>,
    pub armed: Vec<Option<(u64, u64)>>,
    pub prepared: Vec<Option<u64>>,
    pub maps: Vec<u64>,
    pub requests: usize,
    pub mixed_passes: Vec<u64>,
    pub stalled: Option<Duration>,
    pub kept: Vec<Order>,
}

impl Group {
    /// Starts the runners at these addresses.
    pub fn start(
        addresses: Vec<SocketAddr>,
        copying: Copying,
        record: Record,
        trouble: Arc<Trouble>,
    ) -> io::Result<Self> {
        let size = addresses.len();
        let first = |rank: usize| {
            let experts = (rank..EXPERTS).step_by(size).map(|e| e as u64).collect::<Vec<_>>();
            Rank {
                experts: vec![experts; SETS],
                counts: vec![0; SETS * EXPERTS],
                ..Rank::default()
            }
        };
        let ranks = (0..size).map(first).collect();
        let mut state = State { ranks, agents: vec![0; size], ..State::default() };
        state.keep();
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let group = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            trouble,
            record,
            addresses: Arc::new(addresses.clone()),
            copying,
            born_ms,
        };
        for (rank, address) in addresses.into_iter().enumerate() {
            let served = group.clone();
            let listener = TcpListener::bind(address)?;
            http::serve(listener, move |request, stream| served.handle(rank, request, stream));
        }
        let passes = group.clone();
        thread::spawn(move || passes.run_passes());
        Ok(group)
    }

    /// The id of a runner.
    pub fn id(rank: usize) -> String {
        format!("i-rank{rank}")
    }

    /// The runner's entry in the store.
    pub fn entry(&self, rank: usize, service: &str, zone: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":12,\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"both\",\"models\":\
             [{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":1,\"born\":{}}}",
            self.addresses[rank], self.born_ms
        )
    }

    /// What can be seen of the group now.
    pub fn view(&self) -> View {
        let state = self.shared.0.lock().unwrap();
        View {
            step: state.step,
            held: state.ranks[0].held,
            armed: state.ranks.iter().map(|rank| rank.armed).collect(),
            prepared: state.ranks.iter().map(|r| r.prepared_version(Instant::now())).collect(),
            maps: state.ranks.iter().map(|rank| rank.map_version).collect(),
            requests: state.requests.len(),
            mixed_passes: state.mixed_passes.clone(),
            stalled: state.stalled_since.map(|since| since.elapsed()),
            kept: state.kept.clone(),
        }
    }

    /// Sets the process of the agent beside a rank.
    pub fn set_agent(&self, rank: usize, pid: u32) {
        self.shared.0.lock().unwrap().agents[rank] = pid;
    }

    /// Carries out the orders that are kept and that `which` selects.
    pub fn carry_out_kept<F>(&self, which: F)
    where
        F: Fn(&Order) -> bool,
    {
        let mut state = self.shared.0.lock().unwrap();
        let (due, kept) = std::mem::take(&mut state.kept).into_iter().partition(|o| which(o));
        state.kept = kept;
        drop(state);
        let due: Vec<Order> = due;
        for order in &due {
            self.carry_out(order, "late");
        }
    }

    fn handle(&self, rank: usize, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        match (request.method(), request.path()) {
            ("GET", "/v1/report") => {
                let is_own = self.is_own_agent(rank, stream);
                http::answer(stream, 200, &self.report(rank, is_own))
            }
            ("GET", "/v1/picked") if request.query("lists").is_some() => {
                http::answer(stream, 200, &self.lists(rank))
            }
            ("GET", "/v1/picked") => http::answer(stream, 200, &self.counts(rank)),
            ("GET", "/healthz") => http::answer(stream, 200, "{}"),
            ("POST", "/v1/order") => self.receive_order(rank, request, stream),
            _ => self.run(rank, request, stream),
        }
    }

    /// Whether a connection comes from the rank's own machine. It is served by a thread of its own,
    /// which finds this out once.
    fn is_own_agent(&self, rank: usize, stream: &TcpStream) -> bool {
        thread_local! {
            static IS_OWN: Cell<Option<bool>> = const { Cell::new(None) };
        }
        let known = IS_OWN.get();
        known.unwrap_or_else(|| {
            let pid = self.shared.0.lock().unwrap().agents[rank];
            let is_own = pid != 0 && owner::is_peer_of(stream, pid);
            // The process may not be known yet.
            IS_OWN.set((pid != 0).then_some(is_own));
            is_own
        })
    }

    /// The report of a rank: fresh for its own machine.
    fn report(&self, rank: usize, is_own: bool) -> String {
        let now = Instant::now();
        let moment = if is_own { now } else { now - REPORT_LAG };
        let state = self.shared.0.lock().unwrap();
        let shown = if is_own { state.shown() } else { state.as_of(moment) };
        drop(state);
        let own = &shown.ranks[rank];
        let running = shown.running[rank];
        let optional = |number: Option<u64>| number.map_or("null".to_owned(), |n| n.to_string());
        let armed = own.armed.map_or("null".to_owned(), |(version, step)| {
            format!("{{\"version\":{version},\"step\":{step}}}")
        });
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"seq\":{},\"waiting\":0,\"running\":{running},\"kvUsed\":{},\
             \"kvTotal\":280000,\"handles\":0,\"pace\":1.0,\"group\":{{\"name\":\"g\",\"epoch\":1,\
             \"rank\":{rank},\"state\":\"open\"}},\"size\":{},\"step\":{},\"map\":{},\
             \"prepared\":{},\"armed\":{armed},\"held\":{},\"born\":{}}}",
            own.seq,
            running * 1_000,
            shown.ranks.len(),
            shown.step,
            own.map_version,
            optional(own.prepared_version(moment)),
            optional(own.held),
            self.born_ms
        )
    }

    fn lists(&self, rank: usize) -> String {
        let state = self.shared.0.lock().unwrap();
        let own = &state.ranks[rank];
        let prepared = own.prepared.as_ref().map_or("null".to_owned(), |(version, experts, _)| {
            format!("{{\"version\":{version},\"experts\":{experts:?}}}")
        });
        let (version, experts) = (own.map_version, &own.experts);
        format!(
            "{{\"map\":{{\"version\":{version},\"experts\":{experts:?}}},\"prepared\":{prepared}}}"
        )
    }

    fn counts(&self, rank: usize) -> String {
        let state = self.shared.0.lock().unwrap();
        let (step, counts) = (state.step, &state.ranks[rank].counts);
        format!("{{\"step\":{step},\"epoch\":1,\"counts\":{counts:?}}}")
    }

    fn receive_order(
        &self,
        rank: usize,
        request: &Message,
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        let Some(body) = Json::parse(&request.body) else {
            return http::answer(stream, 400, "{}");
        };
        let numbers = |list: &Json| list.list().iter().map(Json::number).collect::<Vec<_>>();
        let sets = body.get("map").list().iter();
        let map = sets.map(|set| set.list().iter().map(numbers).collect()).collect::<Vec<_>>();
        let order = Order {
            rank,
            op: body.get("op").text().to_owned(),
            epoch: body.get("epoch").number(),
            version: body.get("version").number(),
            step: body.get("step").number(),
            map: (!map.is_empty()).then_some(map),
        };
        match (self.trouble)(&order) {
            Fate::Answered => {
                let status = self.carry_out(&order, "answered");
                return http::answer(stream, status, "{}");
            }
            Fate::Unanswered => {
                self.carry_out(&order, "carried out, no answer");
            }
            Fate::Late(delay) => {
                self.note(&order, &format!("no answer, late by {} ms", delay.as_millis()));
                let group = self.clone();
                thread::spawn(move || {
                    thread::sleep(delay);
                    group.carry_out(&order, "late");
                });
            }
            Fate::Kept => {
                self.note(&order, "no answer, kept");
                self.shared.0.lock().unwrap().kept.push(order);
            }
        }
        // A connection on which an answer is missing stays silent.
        thread::sleep(Duration::from_secs(2));
        Ok(false)
    }

    fn note(&self, order: &Order, what: &str) {
        let Order { rank, op, version, step, .. } = order;
        self.record.line(&format!("rank {rank}: order {op} version {version} step {step}: {what}"));
    }

    /// Carries out an order and returns the status of its answer.
    fn carry_out(&self, order: &Order, how: &str) -> u16 {
        let mut state = self.shared.0.lock().unwrap();
        let status = apply(&mut state, order, self.copying);
        state.ranks[order.rank].seq += u64::from(status == 202);
        state.keep();
        self.shared.1.notify_all();
        drop(state);
        self.note(order, &format!("{how}, {status}"));
        status
    }

    fn run_passes(&self) {
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let next = state.step + 1;
            let is_held = state.ranks.iter().any(|rank| rank.held == Some(next));
            if state.requests.is_empty() || is_held {
                let is_stalled = is_held && !state.requests.is_empty();
                let since = state.stalled_since.unwrap_or_else(Instant::now);
                state.stalled_since = is_stalled.then_some(since);
                let wait = Duration::from_millis(20);
                state = self.shared.1.wait_timeout(state, wait).unwrap().0;
                continue;
            }
            state.stalled_since = None;
            state.step = next;
            for rank in &mut state.ranks {
                if let Some((version, _)) = rank.armed.filter(|(_, step)| *step == next)
                    && let Some((_, experts, _)) = rank.prepared.take()
                {
                    (rank.map_version, rank.experts, rank.armed) = (version, experts, None);
                }
            }
            let maps: Vec<u64> = state.ranks.iter().map(|rank| rank.map_version).collect();
            if maps.iter().any(|version| *version != maps[0]) {
                state.mixed_passes.push(next);
                self.record.line(&format!("pass {next} begins with maps {maps:?}"));
            }
            let busy: Vec<usize> = state.requests.iter().map(|request| request.rank).collect();
            for rank in busy {
                let counts = &mut state.ranks[rank].counts;
                for (at, count) in counts.iter_mut().enumerate() {
                    *count += CHOICES[at % EXPERTS];
                }
            }
            state.keep();
            drop(state);
            thread::sleep(PASS);
            state = self.shared.0.lock().unwrap();
            state.requests.retain_mut(Request::advance);
            state.keep();
        }
    }

    /// Runs a request of a caller: an event after each pass.
    fn run(&self, rank: usize, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let attempt = request.header("flamingowheel-attempt-id").unwrap_or("").to_owned();
        if request.header("flamingowheel-expect-instance") != Some(&Self::id(rank)) {
            return http::answer(stream, 421, "{}");
        }
        let deadline_ms = request.header("flamingowheel-deadline-ms").and_then(|d| d.parse().ok());
        let until = Instant::now() + Duration::from_millis(deadline_ms.unwrap_or(8_000));
        let last = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let (sender, events): (_, Receiver<Option<String>>) = channel();
        let left = EVENTS.saturating_sub(last);
        self.record.line(&format!("rank {rank}: request {attempt} arrives"));
        let mut state = self.shared.0.lock().unwrap();
        state.last_number += 1;
        let number = state.last_number;
        let (events_in_all, next_id) = (EVENTS, last + 1);
        let request = Request { number, rank, events: events_in_all, left, next_id, sender };
        state.requests.push(request);
        self.shared.1.notify_all();
        drop(state);
        let result = send_events(&self.record, rank, &attempt, until, &events, stream);
        self.shared.0.lock().unwrap().requests.retain(|request| request.number != number);
        result
    }
}

/// Writes the events of a request as they come, until they end or its time is over.
fn send_events(
    record: &Record,
    rank: usize,
    attempt: &str,
    until: Instant,
    events: &Receiver<Option<String>>,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let mut is_first = true;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        match events.recv_timeout(left) {
            Ok(event) => {
                if std::mem::take(&mut is_first) {
                    record.line(&format!("rank {rank}: request {attempt} runs"));
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nFlamingowheel-Attempt-Id: {attempt}\r\n\
                             Flamingowheel-Instance-Signature: rank{rank}.{attempt}\r\n\
                             Content-Type: text/event-stream\r\n\
                             Transfer-Encoding: chunked\r\n\r\n"
                    );
                    stream.write_all(head.as_bytes())?;
                }
                let Some(event) = event else {
                    stream.write_all(b"0\r\n\r\n")?;
                    return Ok(true);
                };
                stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            }
            Err(_) if is_first => {
                let answer = format!(
                    "HTTP/1.1 503 Any\r\nFlamingowheel-Attempt-Id: {attempt}\r\n\
                         Flamingowheel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                stream.write_all(answer.as_bytes())?;
                return Ok(true);
            }
            Err(_) => return Ok(false),
        }
    }
}

impl Request {
    /// Sends the next event; `false` once the request has ended or its connection has closed.
    fn advance(&mut self) -> bool {
        if self.left == 0 {
            let _ = self.sender.send(None);
            return false;
        }
        let event =
            format!("id: {}\ndata: piece {} of {}\n\n", self.next_id, self.next_id, self.events);
        self.next_id += 1;
        self.left -= 1;
        self.sender.send(Some(event)).is_ok()
    }
}

fn apply(state: &mut State, order: &Order, copying: Copying) -> u16 {
    let step = state.step;
    let rank = &mut state.ranks[order.rank];
    if order.epoch != 1 {
        return 409;
    }
    match order.op.as_str() {
        "prepare" => {
            if rank.prepared.as_ref().is_some_and(|(version, ..)| *version == order.version) {
                return 200;
            }
            if rank.armed.is_some() || order.version <= rank.highest_version {
                return 409;
            }
            let Some(map) = &order.map else { return 400 };
            let own: Vec<Vec<u64>> =
                map.iter().map(|set| set.get(order.rank).cloned().unwrap_or_default()).collect();
            let news = own
                .iter()
                .zip(&rank.experts)
                .map(|(new, old)| new.iter().filter(|expert| !old.contains(expert)).count());
            let copies: usize = news.sum();
            let copy = copying.time(copies);
            rank.highest_version = order.version;
            rank.prepared = Some((order.version, own, Instant::now() + copy));
            202
        }
        "arm" => {
            if rank.armed == Some((order.version, order.step)) {
                return 200;
            }
            if rank.prepared_version(Instant::now()) != Some(order.version) || order.step <= step {
                return 409;
            }
            rank.armed = Some((order.version, order.step));
            202
        }
        "hold" => match rank.held {
            Some(held) if held == order.step => 200,
            Some(_) => 409,
            None if order.step <= step => 409,
            None => {
                rank.held = Some(order.step);
                202
            }
        },
        "go" if rank.held == Some(order.step) => {
            rank.held = None;
            202
        }
        "go" => 200,
        _ => 400,
    }
}

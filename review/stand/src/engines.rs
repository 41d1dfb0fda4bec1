//! A stand-in of a group of model engines: passes, expert maps, orders and reports, as the pages
//! tell them.

use crate::http::{Answer, Request};
use crate::json::Json;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, LazyLock, Mutex, MutexGuard};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const RANKS: usize = 8;
pub const SETS: usize = 6;
pub const EXPERTS: usize = 64;
pub const PLACES: usize = 11;
pub const SPARE: usize = 4;

/// Duration of a pass: 4 steps of 4.55 ms and 0.905 ms for each of three requests.
const PASS: Duration = Duration::from_millis(29);

/// Interval at which other experts are in demand.
const SHIFT_INTERVAL: Duration = Duration::from_millis(2_200);

/// Copying one expert: 1,700 MB over 92,000 Mbit/s.
const COPY: Duration = Duration::from_millis(148);

/// Time of a call from another machine, 0.5 ms each way and the answer.
const REMOTE_CALL: Duration = Duration::from_millis(2);

/// How old a report is that is asked for from another machine.
const REPORT_LAG: Duration = Duration::from_millis(200);

/// Ranks that leave orders to arm unanswered, and for how long after a hold.
const SILENT_RANKS: [usize; 2] = [1, 2];
const SILENT_AFTER_HOLD: Duration = Duration::from_millis(430);

/// When an unanswered order is carried out.
const LATE_MS: (u64, u64) = (2_000, 12_000);

type Lists = Vec<Vec<u16>>;

#[derive(Clone, Debug, Default)]
struct Prepared {
    version: u64,
    lists: Lists,
    ready_at: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
struct Rank {
    map: u64,
    lists: Lists,
    prepared: Option<Prepared>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    highest: u64,
    orders: u64,
    counts: Vec<Vec<u64>>,
}

#[derive(Debug)]
struct State {
    step: u64,
    ranks: Vec<Rank>,
    reports: Vec<VecDeque<(Instant, String)>>,
    newest: u64,
    switches: usize,
    is_stopped: bool,
}

/// Who may be called late, and what was seen.
#[derive(Debug)]
pub struct Group {
    name: String,
    state: Mutex<State>,
    lines: Mutex<Vec<(Instant, String)>>,
    mixed: Mutex<Option<String>>,
    late_share: Mutex<f64>,
    held_at: Mutex<Option<Instant>>,
    orders: Mutex<(u64, u64)>,
    random: Mutex<u64>,
    born: u64,
}

/// The caller of an engine: an agent, by its rank in the group, or another process.
pub type Caller = Option<usize>;

impl Group {
    pub fn new(name: &str, seed: u64) -> Arc<Self> {
        let rank = |rank: usize| {
            let own: Vec<u16> =
                (rank..EXPERTS).step_by(RANKS).map(|expert| expert as u16).collect();
            Rank { lists: vec![own; SETS], counts: vec![vec![0; EXPERTS]; SETS], ..Rank::default() }
        };
        let state = State {
            step: 1,
            ranks: (0..RANKS).map(rank).collect(),
            reports: vec![VecDeque::new(); RANKS],
            newest: 0,
            switches: 0,
            is_stopped: false,
        };
        let group = Arc::new(Self {
            name: name.to_owned(),
            state: Mutex::new(state),
            lines: Mutex::default(),
            mixed: Mutex::default(),
            late_share: Mutex::new(0.0),
            held_at: Mutex::default(),
            orders: Mutex::default(),
            random: Mutex::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            born: 1_770_000_000_000,
        });
        let passes = Arc::clone(&group);
        std::thread::spawn(move || passes.run_passes());
        let history = Arc::clone(&group);
        std::thread::spawn(move || history.keep_reports());
        group
    }

    /// Begins or ends an occurrence of the disruption; the share is kept in each one by itself.
    pub fn set_late_share(&self, share: f64) {
        *self.late_share.lock().expect("lock") = share;
        let (all, unanswered) = std::mem::take(&mut *self.orders.lock().expect("lock"));
        if unanswered > 0 {
            self.note(format!("{unanswered} of {all} orders got no answer in 5 s"));
        }
    }

    pub fn mixed(&self) -> Option<String> {
        self.mixed.lock().expect("lock").clone()
    }

    pub fn switches(&self) -> usize {
        self.lock().switches
    }

    pub fn stop(&self) {
        self.lock().is_stopped = true;
    }

    pub fn take_lines(&self) -> Vec<(Instant, String)> {
        std::mem::take(&mut self.lines.lock().expect("lock"))
    }

    fn note(&self, line: String) {
        self.lines.lock().expect("lock").push((Instant::now(), format!("{} {line}", self.name)));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    /// A number from 0 to 1.
    fn draw(&self) -> f64 {
        let mut random = self.random.lock().expect("lock");
        *random ^= *random << 13;
        *random ^= *random >> 7;
        *random ^= *random << 17;
        (*random >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Begins pass after pass, unless one is held. Demand changes every few seconds.
    fn run_passes(&self) {
        let mut demand = self.draw_demand();
        let mut shifted_at = Instant::now();
        loop {
            sleep(PASS);
            while {
                let state = self.lock();
                let next = state.step + 1;
                if state.is_stopped {
                    return;
                }
                state.ranks.iter().any(|rank| rank.held == Some(next))
            } {
                sleep(Duration::from_millis(1));
            }
            if shifted_at.elapsed() > SHIFT_INTERVAL {
                shifted_at = Instant::now();
                demand = self.draw_demand();
            }
            let mut state = self.lock();
            state.step += 1;
            let step = state.step;
            for rank in &mut state.ranks {
                if let Some((version, at)) = rank.armed.filter(|(_, at)| *at <= step) {
                    rank.armed = None;
                    let prepared = rank.prepared.take().filter(|_| at == step);
                    if let Some(prepared) = prepared.filter(|p| p.version == version) {
                        (rank.map, rank.lists) = (version, prepared.lists);
                    }
                }
                for (set, counts) in rank.counts.iter_mut().enumerate() {
                    for (expert, count) in counts.iter_mut().enumerate() {
                        *count += demand[set][expert];
                    }
                }
            }
            let maps: Vec<u64> = state.ranks.iter().map(|rank| rank.map).collect();
            let is_new = maps.iter().any(|map| *map != 0);
            if maps.iter().any(|map| *map != maps[0]) && self.mixed().is_none() {
                let text = format!("pass {step} begins while the ranks have the maps {maps:?}");
                self.note(format!("MIXED: {text}"));
                *self.mixed.lock().expect("lock") = Some(format!("{}: {text}", self.name));
            }
            let newest = maps.into_iter().max().unwrap_or(0);
            if is_new && newest > state.newest {
                state.newest = newest;
                state.switches += 1;
                self.note(format!("pass {step} begins with map {newest}"));
            }
        }
    }

    /// How often each expert of each set is chosen in a pass: a few much, most of them seldom.
    fn draw_demand(&self) -> Vec<Vec<u64>> {
        let set = || {
            let mut order: Vec<usize> = (0..EXPERTS).collect();
            for at in (1..EXPERTS).rev() {
                order.swap(at, (self.draw() * (at + 1) as f64) as usize);
            }
            let mut counts = vec![0; EXPERTS];
            for (place, expert) in order.into_iter().enumerate() {
                counts[expert] = (400.0 / (1.0 + place as f64)) as u64 + 1;
            }
            counts
        };
        (0..SETS).map(|_| set()).collect()
    }

    /// Keeps the reports of the last moments, which other machines are shown.
    fn keep_reports(&self) {
        loop {
            let now = Instant::now();
            let mut state = self.lock();
            if state.is_stopped {
                return;
            }
            for rank in 0..RANKS {
                let report = self.report(&state, rank);
                let reports = &mut state.reports[rank];
                reports.push_back((now, report));
                while reports.front().is_some_and(|(at, _)| now - *at > 2 * REPORT_LAG) {
                    reports.pop_front();
                }
            }
            drop(state);
            sleep(Duration::from_millis(5));
        }
    }

    fn report(&self, state: &State, rank: usize) -> String {
        let now = Instant::now();
        let r = &state.ranks[rank];
        let prepared = r.prepared.as_ref().filter(|p| p.ready_at.is_some_and(|at| at <= now));
        let text = |value: Option<u64>| value.map_or("null".to_owned(), |value| value.to_string());
        let armed = r.armed.map_or("null".to_owned(), |(version, step)| {
            format!("{{\"version\":{version},\"step\":{step}}}")
        });
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"seq\":{},\"waiting\":0,\"running\":3,\"kvUsed\":41000,\
             \"kvTotal\":280000,\"handles\":0,\"pace\":1.0,\"step\":{},\"group\":{{\"name\":\"{}\",\
             \"epoch\":1,\"rank\":{rank},\"state\":\"open\"}},\"size\":{RANKS},\"map\":{},\
             \"prepared\":{},\"armed\":{armed},\"held\":{},\"born\":{}}}",
            r.orders,
            state.step,
            self.name,
            r.map,
            text(prepared.map(|p| p.version)),
            text(r.held),
            self.born
        )
    }

    pub fn handle(
        self: &Arc<Self>,
        rank: usize,
        caller: Caller,
        request: &Request,
    ) -> Option<Answer> {
        let is_local = caller == Some(rank);
        if !is_local {
            sleep(REMOTE_CALL);
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/report") => {
                let state = self.lock();
                let lagged = || {
                    let until = Instant::now() - REPORT_LAG;
                    let reports = state.reports[rank].iter().rev();
                    reports
                        .into_iter()
                        .find(|(at, _)| *at <= until)
                        .map(|(_, report)| report.clone())
                };
                let report = if is_local { None } else { lagged() };
                Some(Answer::json(200, report.unwrap_or_else(|| self.report(&state, rank))))
            }
            ("GET", "/v1/picked") => Some(self.picked(rank, request.query.contains("lists"))),
            ("POST", "/v1/order") => self.order(rank, caller, request),
            ("GET", "/healthz") => Some(Answer { status: 200, ..Answer::default() }),
            _ => Some(Answer { status: 404, ..Answer::default() }),
        }
    }

    fn picked(&self, rank: usize, is_list: bool) -> Answer {
        let state = self.lock();
        let r = &state.ranks[rank];
        let body = if is_list {
            let prepared = r.prepared.as_ref().map_or("null".to_owned(), |p| {
                format!("{{\"version\":{},\"experts\":{:?}}}", p.version, p.lists)
            });
            format!(
                "{{\"map\":{{\"version\":{},\"experts\":{:?}}},\"prepared\":{prepared}}}",
                r.map, r.lists
            )
        } else {
            format!("{{\"step\":{},\"epoch\":1,\"counts\":{:?}}}", state.step, r.counts)
        };
        Answer::json(200, body)
    }

    fn order(self: &Arc<Self>, rank: usize, caller: Caller, request: &Request) -> Option<Answer> {
        let Some(order) = Json::parse(&request.body) else {
            return Some(Answer { status: 400, ..Answer::default() });
        };
        let by = caller.map_or("another process".to_owned(), |caller| format!("agent {caller}"));
        let what = format!(
            "{} to rank {rank} from {by}, version {:?}, pass {:?}",
            order.text("op").unwrap_or("?"),
            order.number("version"),
            order.number("step")
        );
        if self.is_late(rank, caller, &order) {
            let (least, most) = LATE_MS;
            let wait_ms = least + (self.draw() * (most - least) as f64) as u64;
            self.note(format!("{what}: no answer, carried out in {wait_ms} ms"));
            let (group, what) = (Arc::clone(self), what.clone());
            std::thread::spawn(move || {
                sleep(Duration::from_millis(wait_ms));
                let status = group.carry_out(rank, &order);
                group.note(format!("{what}: carried out late, {status}"));
            });
            return None;
        }
        let status = self.carry_out(rank, &order);
        self.note(format!("{what}: {status}"));
        Some(Answer { status, ..Answer::default() })
    }

    /// Whether an order gets no answer: an order to arm one of two ranks, from its own machine for
    /// a while after the hold, from another machine at any time. The share is kept.
    fn is_late(&self, rank: usize, caller: Caller, order: &Json) -> bool {
        let share = *self.late_share.lock().expect("lock");
        let mut orders = self.orders.lock().expect("lock");
        orders.0 += 1;
        let held_at = *self.held_at.lock().expect("lock");
        let is_early = held_at.is_some_and(|held_at| held_at.elapsed() < SILENT_AFTER_HOLD);
        let is_chosen = order.text("op") == Some("arm")
            && SILENT_RANKS.contains(&rank)
            && (is_early || caller != Some(rank));
        let is_late = is_chosen && (orders.1 + 1) as f64 <= share * orders.0 as f64;
        orders.1 += u64::from(is_late);
        is_late
    }

    /// The numbers of orders, and of those that got no answer.
    pub fn orders(&self) -> (u64, u64) {
        *self.orders.lock().expect("lock")
    }

    fn carry_out(&self, rank: usize, order: &Json) -> u16 {
        let mut state = self.lock();
        let step = state.step;
        if order.number("epoch").is_some_and(|epoch| epoch != 1) {
            return 409;
        }
        let (version, at) =
            (order.number("version").unwrap_or(0), order.number("step").unwrap_or(0));
        let r = &mut state.ranks[rank];
        let now = Instant::now();
        let status = match order.text("op").unwrap_or("") {
            "prepare" => {
                if r.map == version || r.prepared.as_ref().is_some_and(|p| p.version == version) {
                    return 200;
                }
                let lists: Lists = order
                    .list("map")
                    .iter()
                    .map(|set| match set {
                        Json::List(ranks) => match ranks.get(rank) {
                            Some(Json::List(experts)) => experts
                                .iter()
                                .map(|e| if let Json::Number(e) = e { *e as u16 } else { 0 })
                                .collect(),
                            _ => Vec::new(),
                        },
                        _ => Vec::new(),
                    })
                    .collect();
                if lists.len() != SETS || lists.iter().any(|set| set.len() > PLACES) {
                    return 409;
                }
                let is_new = |(new, old): (&Vec<u16>, &Vec<u16>)| {
                    new.iter().filter(|expert| !old.contains(expert)).count()
                };
                let new: Vec<usize> = lists.iter().zip(&r.lists).map(is_new).collect();
                if version <= r.highest || r.armed.is_some() || new.iter().any(|n| *n > SPARE) {
                    return 409;
                }
                let copies = new.iter().sum::<usize>() as u32;
                r.highest = version;
                r.prepared = Some(Prepared { version, lists, ready_at: Some(now + COPY * copies) });
                202
            }
            "arm" => {
                if r.armed == Some((version, at)) {
                    return 200;
                }
                let is_prepared = r.prepared.as_ref().is_some_and(|p| {
                    p.version == version && p.ready_at.is_some_and(|ready_at| ready_at <= now)
                });
                if !is_prepared || at <= step || r.armed.is_some() {
                    return 409;
                }
                r.armed = Some((version, at));
                202
            }
            "disarm" => {
                if r.armed.is_none_or(|(armed, _)| armed != version) {
                    return 409;
                }
                r.armed = None;
                202
            }
            "hold" => match r.held {
                Some(held) if held == at => return 200,
                Some(_) => return 409,
                None if at <= step => return 409,
                None => {
                    r.held = Some(at);
                    *self.held_at.lock().expect("lock") = Some(now);
                    202
                }
            },
            "go" => {
                if r.held != Some(at) {
                    return 409;
                }
                r.held = None;
                202
            }
            _ => return 400,
        };
        r.orders += 1;
        status
    }
}

/// The sockets of this machine: the inode of each by its own and its remote address.
#[derive(Debug, Default)]
struct Sockets {
    read_at: Option<Instant>,
    inodes: HashMap<(String, String), String>,
}

static SOCKETS: LazyLock<Mutex<Sockets>> = LazyLock::new(Mutex::default);

/// Finds which of the processes has opened a connection, by its own end of it.
pub fn find_caller(peer: SocketAddr, own: SocketAddr, pids: &[u32]) -> Caller {
    let accepted_at = Instant::now();
    let hex = |address: SocketAddr| match address {
        SocketAddr::V4(address) => {
            format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port())
        }
        SocketAddr::V6(_) => String::new(),
    };
    let ends = (hex(peer), hex(own));
    let inode = {
        // One reader at a time; those that wait share what it has read.
        let mut sockets = SOCKETS.lock().expect("lock");
        if sockets.read_at.is_none_or(|read_at| read_at < accepted_at) {
            sockets.read_at = Some(Instant::now());
            let table = std::fs::read_to_string("/proc/self/net/tcp").ok()?;
            let established = table.lines().filter_map(|row| {
                let fields: Vec<&str> = row.split_whitespace().collect();
                let is_established = fields.get(3) == Some(&"01");
                let ends = (fields.get(1)?.to_string(), fields.get(2)?.to_string());
                is_established.then_some((ends, fields.get(9)?.to_string()))
            });
            sockets.inodes = established.collect();
        }
        sockets.inodes.get(&ends)?.clone()
    };
    let socket = format!("socket:[{inode}]");
    pids.iter().position(|pid| {
        let Ok(descriptors) = std::fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
        descriptors.flatten().any(|descriptor| {
            std::fs::read_link(descriptor.path())
                .is_ok_and(|link| link.as_os_str() == socket.as_str())
        })
    })
}

//! In-memory engines of one rank group that keep to the engine API, and the network before them.

use super::rules::Rules;
use super::trouble::{Fate, Trouble};
use flamingowheel_fleet::engine::{
    EngineReport, ExpertCounts, GroupMembership, GroupState, MapOrder, OrderAnswer,
};
use flamingowheel_platform::engine::{EngineError, HeldExperts};
use flamingowheel_policy::experts::{Map, Shape};
use flamingowheel_ranks::engines::{Engine, Engines};
use http::StatusCode;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::{Instant, sleep};

pub const SHAPE: Shape = Shape { sets: 2, experts: 24, ranks: 4, replicas_per_rank: 11 };

/// Time of a pass.
const PASS: Duration = Duration::from_millis(40);

/// Time to copy one expert.
const COPY: Duration = Duration::from_millis(80);

/// Latency of a call from the engine's own VM and from another one.
const LOCAL_LATENCY: Duration = Duration::from_millis(1);
const REMOTE_LATENCY: Duration = Duration::from_millis(3);

/// Interval at which reports for other VMs are taken.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// Oldest report that another VM gets.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);

/// How often each rank's requests choose an expert in a pass, and those in demand.
const COUNT: u64 = 40;
const COUNT_IN_DEMAND: u64 = 400;

/// What an engine does with a hold while it holds another pass; the engine API leaves it open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SecondHold {
    Refused,
    Replaces,
}

#[derive(Clone, Debug)]
struct Rank {
    map_version: u64,
    experts: Vec<Vec<u16>>,
    prepared: Option<(u64, Map, Instant)>,
    highest_version: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    counts: Vec<u64>,
    reports: VecDeque<(Instant, EngineReport)>,
}

impl Rank {
    fn new(rank: usize) -> Self {
        Self {
            map_version: 0,
            experts: SHAPE.first_map().iter().map(|set| set[rank].clone()).collect(),
            prepared: None,
            highest_version: 0,
            armed: None,
            held: None,
            counts: vec![0; SHAPE.sets * SHAPE.experts],
            reports: VecDeque::new(),
        }
    }

    fn prepared_version(&self) -> Option<u64> {
        let (version, _, ready_at) = self.prepared.as_ref()?;
        (*ready_at <= Instant::now()).then_some(*version)
    }

    fn prepare(&mut self, rank: usize, version: u64, map: &Map) -> OrderAnswer {
        if self.prepared.as_ref().is_some_and(|(prepared, ..)| *prepared == version) {
            return OrderAnswer::Taken;
        }
        if self.armed.is_some() || version <= self.highest_version {
            return OrderAnswer::Conflict;
        }
        let new = map.iter().zip(&self.experts).flat_map(|(set, held)| {
            set[rank].iter().filter(|expert| !held.contains(expert)).collect::<Vec<_>>()
        });
        let copies = u32::try_from(new.count()).unwrap();
        self.highest_version = version;
        self.prepared = Some((version, map.clone(), Instant::now() + COPY * copies));
        OrderAnswer::Taken
    }

    fn hold(&mut self, pass: u64, second: SecondHold) -> OrderAnswer {
        match self.held {
            Some(held) if held != pass && second == SecondHold::Refused => OrderAnswer::Conflict,
            _ => {
                self.held = Some(pass);
                OrderAnswer::Taken
            }
        }
    }
}

#[derive(Debug)]
struct State {
    epoch: u64,
    pass: u64,
    is_busy: bool,
    in_demand: usize,
    second_hold: SecondHold,
    ranks: Vec<Rank>,
    rules: Rules,
    trouble: Trouble,
}

impl State {
    fn report(&self, rank: usize) -> EngineReport {
        let own = &self.ranks[rank];
        EngineReport {
            running: u32::from(self.is_busy) * 6,
            pace: 1.0,
            pass: self.pass,
            group: Some(GroupMembership {
                name: "g".to_owned(),
                epoch: self.epoch,
                rank,
                size: SHAPE.ranks,
                state: GroupState::Open,
            }),
            map_version: own.map_version,
            prepared_version: own.prepared_version(),
            armed: own.armed,
            held_pass: own.held,
            started_ms: 1,
            ..EngineReport::default()
        }
    }

    fn apply(&mut self, epoch: u64, rank: usize, order: &MapOrder) -> OrderAnswer {
        if epoch != self.epoch {
            return OrderAnswer::Conflict;
        }
        let (begun, second_hold) = (self.pass, self.second_hold);
        let own = &mut self.ranks[rank];
        match order {
            MapOrder::Prepare { version, map } => own.prepare(rank, *version, map),
            MapOrder::Arm { version, pass } => {
                if own.armed == Some((*version, *pass)) {
                    return OrderAnswer::Taken;
                }
                if own.prepared_version() != Some(*version) || *pass <= begun {
                    return OrderAnswer::Conflict;
                }
                own.armed = Some((*version, *pass));
                self.rules.armed(epoch, *pass);
                OrderAnswer::Taken
            }
            MapOrder::Hold { pass } if *pass <= begun => OrderAnswer::Conflict,
            MapOrder::Hold { pass } => own.hold(*pass, second_hold),
            MapOrder::Release { pass } => {
                own.held = own.held.filter(|held| held != pass);
                OrderAnswer::Taken
            }
        }
    }

    fn begin_pass(&mut self) {
        let next = self.pass + 1;
        if !self.is_busy || self.ranks.iter().any(|rank| rank.held == Some(next)) {
            return;
        }
        self.pass = next;
        let in_demand = self.in_demand;
        for (number, rank) in self.ranks.iter_mut().enumerate() {
            if rank.armed.is_some_and(|(_, pass)| pass == next) {
                let (version, map, _) = rank.prepared.take().expect("an armed rank is prepared");
                rank.map_version = version;
                rank.experts = map.iter().map(|set| set[number].clone()).collect();
                rank.armed = None;
            }
            for (index, count) in rank.counts.iter_mut().enumerate() {
                // The first map has all these experts on one rank.
                let is_in_demand = index % SHAPE.experts % SHAPE.ranks == in_demand;
                *count += if is_in_demand { COUNT_IN_DEMAND } else { COUNT };
            }
        }
        let versions: Vec<u64> = self.ranks.iter().map(|rank| rank.map_version).collect();
        self.rules.pass_begins(next, &versions);
    }

    fn form_again(&mut self) {
        self.epoch += 1;
        self.pass = 0;
        let counts = self.ranks.iter().map(|rank| rank.counts.clone()).collect::<Vec<_>>();
        self.ranks = (0..SHAPE.ranks).map(Rank::new).collect();
        for (rank, counts) in self.ranks.iter_mut().zip(counts) {
            rank.counts = counts;
        }
    }

    fn record_reports(&mut self) {
        let now = Instant::now();
        for number in 0..self.ranks.len() {
            let report = self.report(number);
            let reports = &mut self.ranks[number].reports;
            reports.push_back((now, report));
            while reports.front().is_some_and(|(at, _)| now - *at > MAX_REPORT_AGE) {
                reports.pop_front();
            }
        }
    }
}

/// The engines of one group.
#[derive(Clone, Debug)]
pub struct Fleet(Arc<Mutex<State>>);

impl Fleet {
    /// Starts the engines; the group has requests at first.
    pub fn start(trouble: Trouble, second_hold: SecondHold) -> Self {
        let fleet = Self(Arc::new(Mutex::new(State {
            epoch: 1,
            pass: 0,
            is_busy: true,
            in_demand: 0,
            second_hold,
            ranks: (0..SHAPE.ranks).map(Rank::new).collect(),
            rules: Rules::default(),
            trouble,
        })));
        let (passes, reports) = (fleet.clone(), fleet.clone());
        tokio::spawn(async move {
            loop {
                sleep(PASS).await;
                passes.state().begin_pass();
            }
        });
        tokio::spawn(async move {
            loop {
                reports.state().record_reports();
                sleep(REPORT_INTERVAL).await;
            }
        });
        fleet
    }

    /// Engines as the agent beside rank `from` reaches them.
    pub fn engines_from(&self, from: usize) -> FakeEngines {
        FakeEngines { fleet: self.clone(), from }
    }

    pub fn set_busy(&self, is_busy: bool) {
        self.state().is_busy = is_busy;
    }

    /// Puts other experts in demand.
    pub fn shift_demand(&self, in_demand: usize) {
        self.state().in_demand = in_demand % SHAPE.ranks;
    }

    /// The group forms again after a rank has failed.
    pub fn form_again(&self) {
        self.state().form_again();
    }

    pub fn pass(&self) -> u64 {
        self.state().pass
    }

    pub fn map_versions(&self) -> Vec<u64> {
        self.state().ranks.iter().map(|rank| rank.map_version).collect()
    }

    pub fn held_pass(&self) -> Option<u64> {
        self.state().ranks[0].held
    }

    /// Number of ranks that are armed.
    pub fn armed_ranks(&self) -> usize {
        self.state().ranks.iter().filter(|rank| rank.armed.is_some()).count()
    }

    /// What broke the rules so far.
    pub fn violations(&self) -> Vec<String> {
        self.state().rules.violations().to_vec()
    }

    /// Passes that were released before all ranks were armed for them.
    pub fn abandoned(&self) -> usize {
        self.state().rules.abandoned()
    }

    /// Number of times that the group began to use another map.
    pub fn switches(&self) -> usize {
        self.state().rules.switches()
    }

    /// Lets the orders take effect that were kept back.
    pub fn deliver_kept(&self) {
        let kept = self.state().trouble.take_kept();
        for (epoch, rank, order) in kept {
            self.state().apply(epoch, rank, &order);
        }
    }

    /// Freezes the VM of an agent: its calls wait until it goes on.
    pub fn set_frozen(&self, rank: usize, is_frozen: bool) {
        self.state().trouble.set_frozen(rank, is_frozen);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    fn has_all_armed(&self, pass: u64) -> bool {
        self.state().ranks.iter().all(|rank| rank.armed.is_some_and(|(_, armed)| armed == pass))
    }
}

/// The group's engines as one agent reaches them. The port of an address is the rank.
#[derive(Clone, Debug)]
pub struct FakeEngines {
    fleet: Fleet,
    from: usize,
}

/// Address of a rank's engine.
pub fn address(rank: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, rank as u8 + 1], 9_000))
}

impl Engines for FakeEngines {
    type Engine = FakeEngine;

    fn engine(
        &self,
        address: SocketAddr,
        timeout_ms: u64,
    ) -> Result<FakeEngine, http::uri::InvalidUri> {
        let SocketAddr::V4(address) = address else { panic!("engines have IPv4 addresses") };
        let rank = usize::from(address.ip().octets()[3]) - 1;
        let timeout = Duration::from_millis(timeout_ms);
        Ok(FakeEngine { fleet: self.fleet.clone(), from: self.from, rank, timeout })
    }
}

/// A client of one rank's engine.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    fleet: Fleet,
    from: usize,
    rank: usize,
    timeout: Duration,
}

impl FakeEngine {
    fn latency(&self) -> Duration {
        if self.from == self.rank { LOCAL_LATENCY } else { REMOTE_LATENCY }
    }

    async fn wait_while_frozen(&self) {
        while self.fleet.state().trouble.is_frozen(self.from) {
            sleep(LOCAL_LATENCY).await;
        }
    }

    async fn call(&self) {
        self.wait_while_frozen().await;
        sleep(self.latency()).await;
        self.wait_while_frozen().await;
    }
}

impl Engine for FakeEngine {
    async fn report(&self) -> Result<EngineReport, EngineError> {
        self.call().await;
        let mut state = self.fleet.state();
        if self.from == self.rank {
            return Ok(state.report(self.rank));
        }
        let age = state.trouble.report_age(MAX_REPORT_AGE);
        let reports = &state.ranks[self.rank].reports;
        let known = reports.iter().rev().find(|(at, _)| at.elapsed() >= age);
        let known = known.or_else(|| reports.front());
        known.map(|(_, report)| report.clone()).ok_or(EngineError::Status(StatusCode::NOT_FOUND))
    }

    async fn counts(&self) -> Result<ExpertCounts, EngineError> {
        self.call().await;
        let state = self.fleet.state();
        let counts = state.ranks[self.rank].counts.clone();
        Ok(ExpertCounts { pass: state.pass, epoch: state.epoch, counts })
    }

    async fn held_experts(&self) -> Result<HeldExperts, EngineError> {
        self.call().await;
        let state = self.fleet.state();
        let own = &state.ranks[self.rank];
        Ok(HeldExperts { map_version: own.map_version, experts: own.experts.clone() })
    }

    async fn send_order(&self, epoch: u64, order: &MapOrder) -> OrderAnswer {
        self.wait_while_frozen().await;
        let fate = {
            let has_all_armed = match order {
                MapOrder::Release { pass } => self.fleet.has_all_armed(*pass),
                _ => false,
            };
            let mut state = self.fleet.state();
            let begun = if epoch == state.epoch { state.pass } else { u64::MAX };
            state.rules.sent(epoch, self.rank, order, begun, has_all_armed);
            state.trouble.fate(epoch, self.rank, order)
        };
        let late = |delay: Duration| {
            let (fleet, rank, order) = (self.fleet.clone(), self.rank, order.clone());
            tokio::spawn(async move {
                sleep(delay).await;
                fleet.state().apply(epoch, rank, &order);
            });
        };
        match fate {
            Fate::Answered => {}
            Fate::Doubled(delay) => late(delay),
            Fate::Unanswered(delay) => late(delay),
            Fate::Kept => {}
        }
        if matches!(fate, Fate::Kept | Fate::Unanswered(_)) {
            sleep(self.timeout).await;
            return OrderAnswer::Unknown;
        }
        sleep(self.latency()).await;
        let answer = self.fleet.state().apply(epoch, self.rank, order);
        self.wait_while_frozen().await;
        answer
    }
}

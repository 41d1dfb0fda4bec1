//! A process of the simulated fleet.

use super::case::{Case, TROUBLE_AT, Trouble};
use super::old::OldBudget;
use super::{RATIO, SERVERS, WINDOW};
use flamingowheel_fleet::BackendServer;
use flamingowheel_gateway::budget::{RetryBudget, RetryPermit};
use flamingowheel_gateway::server::Server;
use flamingowheel_gateway::view::View;
use flamingowheel_policy::claim::StoredClaim;
use flamingowheel_policy::quota::{Allowance, Urgency};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A request at an entry.
pub struct Attempt {
    pub id: u64,
    pub entry: usize,
    pub begun_at: Duration,
    pub sends: u32,
    pub tried: Vec<Arc<Server>>,
    permit: Option<RetryPermit>,
}

impl Attempt {
    pub fn new(id: u64, entry: usize, begun_at: Duration) -> Self {
        Self { id, entry, begun_at, sends: 0, tried: Vec::new(), permit: None }
    }

    /// Records that the present send was answered.
    pub fn end_send(&mut self) {
        self.permit = None;
    }
}

/// An entry's process.
pub struct Entry {
    pub vm: usize,
    pub view: View,
    pub is_up: bool,
    pub is_leaving: bool,
    pub started_at: Duration,
    /// Until when callers connect to a process that leaves.
    pub taken_until: Duration,
    pub frozen_until: Duration,
    pub last_retry_at: Option<Duration>,
    budget: Arc<RetryBudget>,
    /// The budget that counts, if the process is of the version before.
    old_budget: Option<OldBudget>,
    slack: f64,
    names: Vec<usize>,
    /// When the names were complete.
    seen_at: Duration,
    has_claimed: bool,
    /// Whether the store or another entry has answered since the start.
    has_configuration: bool,
}

impl Entry {
    pub fn new(vm: usize, case: &Case, now: Duration) -> Self {
        let servers = HashMap::from([("s".to_owned(), (0..SERVERS).map(server).collect())]);
        let is_old = case.trouble == Trouble::Upgraded && now < TROUBLE_AT;
        let allowance = Allowance { ratio: RATIO, slack: case.slack, window: WINDOW };
        Self {
            vm,
            view: View { servers, ..View::default() },
            is_up: true,
            is_leaving: false,
            started_at: now,
            taken_until: Duration::MAX,
            frozen_until: Duration::ZERO,
            last_retry_at: None,
            budget: Arc::new(RetryBudget::new(allowance, &name(vm))),
            old_budget: is_old.then(OldBudget::default),
            slack: case.slack,
            names: Vec::new(),
            seen_at: now,
            has_claimed: false,
            has_configuration: false,
        }
    }

    /// Takes the store's list of entries.
    pub fn see(&mut self, names: &[usize], now: Duration) {
        self.names = names.to_vec();
        self.seen_at = now;
        self.has_configuration = true;
    }

    /// Uses what is known of the other entries.
    pub fn observe(&mut self, now: Duration, trouble: Trouble) {
        if trouble == Trouble::ListsShort && self.vm.is_multiple_of(3) {
            let half = self.names.len().div_ceil(2);
            self.names.truncate(half);
        }
        let names: Vec<String> = self.names.iter().copied().map(name).collect();
        let age = self.has_configuration.then(|| now - self.seen_at);
        self.budget.observe_entries(names.iter().map(String::as_str), age, Instant::now());
    }

    /// Claims retries in the store.
    pub fn claim(&mut self, store: &mut HashMap<usize, StoredClaim>) {
        if self.old_budget.is_some() {
            return;
        }
        let now = Instant::now();
        if !self.has_claimed {
            let previous = store.get(&self.vm).copied();
            let first = self.budget.first_claim(previous, now);
            self.budget.begin_claim(previous, first, now);
            self.has_claimed = true;
            store.insert(self.vm, first);
        } else if let Some(claim) = self.budget.next_claim(now) {
            self.budget.record_claim(claim);
            store.insert(self.vm, claim);
        }
    }

    pub fn record_request(&mut self, now: Duration) {
        if let Some(old) = &mut self.old_budget {
            old.record_request(now);
        }
        self.budget.record_request("s", Instant::now());
    }

    /// Takes a retry out of the budget for the next send.
    pub fn try_acquire(&mut self, attempt: &mut Attempt, now: Duration) -> bool {
        if let Some(old) = &mut self.old_budget {
            return old.try_acquire(self.slack, self.names.len(), now);
        }
        let urgency = if attempt.sends > 1 { Urgency::Further } else { Urgency::Second };
        attempt.permit =
            self.budget.try_acquire("s", urgency, Instant::now()).ok().map(|(permit, _)| permit);
        attempt.permit.is_some()
    }

    pub fn leave(&mut self, taken_until: Duration) {
        self.is_leaving = true;
        self.budget.leave();
        self.taken_until = taken_until;
    }

    pub fn is_frozen(&self, now: Duration) -> bool {
        now < self.frozen_until
    }

    /// Whether callers connect to it, and it serves them.
    pub fn takes_callers(&self, now: Duration) -> bool {
        self.is_up && self.has_configuration && now < self.taken_until && !self.is_frozen(now)
    }
}

fn name(vm: usize) -> String {
    format!("e-{vm}")
}

fn server(index: usize) -> Arc<Server> {
    Arc::new(Server::new(BackendServer {
        id: format!("i-{index}"),
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], index as u16 + 1).into(),
        data_centre: "z".to_owned(),
        slots: 12,
        is_draining: false,
        started_ms: 1,
        cold_left_ms: 0,
    }))
}

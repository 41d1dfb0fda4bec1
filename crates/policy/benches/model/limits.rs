//! A workspace's limits over a subset whose members exchange loans over a lossy network.

use std::collections::VecDeque;
use std::time::Duration;

use flamingowheel_policy::key::EntryKey;
use flamingowheel_policy::limits::{Limits, Loan, LoanRequest, SplitConfig, WorkspaceLimits};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(10);
const LIMITS: Limits = Limits { requests_per_s: 200.0, tokens_per_s: 1e9, in_flight: 10_000 };

/// Load and network of a simulated fleet whose entries share one workspace's limit.
pub struct LimitsConfig {
    pub seed: u64,
    pub members: u64,
    /// Load offered to all entries together, relative to the limit.
    pub load: f64,
    /// Number of entries that get the whole load at a time; they change every 20 s.
    pub busy_members: u64,
    /// Share of messages that are lost.
    pub message_loss: f64,
    /// Longest delay of a message; each is delayed by a random part of it.
    pub message_delay: Duration,
}

pub struct LimitsFigures {
    /// Admitted requests, relative to the smaller of limit and demand.
    pub used: f64,
    /// Largest excess over `limit * window` in any window, relative to one second of the limit.
    pub overshoot_s: f64,
    /// Messages per second of all members.
    pub messages_per_s: f64,
}

enum Message {
    LoanRequest(LoanRequest),
    Loan(Loan),
}

type Sent = (Duration, EntryKey, EntryKey, Message);

pub fn run(config: &LimitsConfig) -> LimitsFigures {
    let keys: Vec<EntryKey> = (0..config.members).map(EntryKey).collect();
    let mut members: Vec<WorkspaceLimits> = Vec::new();
    for key in &keys {
        let split = SplitConfig::default();
        let mut member = WorkspaceLimits::new(split, LIMITS, *key, Duration::ZERO);
        member.set_members(&keys, Duration::ZERO);
        members.push(member);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
    let mut messages: VecDeque<Sent> = VecDeque::new();
    let (mut now, end) = (Duration::ZERO, Duration::from_secs(200));
    let (mut admitted, mut sent, mut excess, mut worst) = (0.0, 0.0, 0.0f64, 0.0f64);
    let rate_per_s = LIMITS.requests_per_s * config.load / config.busy_members as f64;
    while now < end {
        now += STEP;
        excess = (excess - LIMITS.requests_per_s * STEP.as_secs_f64()).max(0.0);
        let first_busy = now.as_secs() / 20 * config.busy_members;
        for n in 0..config.busy_members {
            let member = &mut members[((first_busy + n) % config.members) as usize];
            let offered = (rate_per_s * STEP.as_secs_f64() + rng.random::<f64>()) as u32;
            for _ in 0..offered {
                if member.try_admit(1.0, now).is_ok() {
                    member.finish(1.0, 1.0, now);
                    admitted += 1.0;
                    excess += 1.0;
                }
            }
        }
        worst = worst.max(excess);
        let mut send = |message: Sent| {
            sent += 1.0;
            let delay = config.message_delay.mul_f64(rng.random());
            let is_lost = rng.random::<f64>() < config.message_loss;
            (!is_lost).then_some((message.0 + delay, message.1, message.2, message.3))
        };
        for (member, key) in members.iter_mut().zip(&keys) {
            if let Some((lender, request)) = member.next_loan_request(now) {
                messages.extend(send((now, *key, lender, Message::LoanRequest(request))));
            }
        }
        for _ in 0..messages.len() {
            let Some((at, from, to, message)) = messages.pop_front() else { break };
            let member = &mut members[to.0 as usize];
            match message {
                _ if at > now => messages.push_back((at, from, to, message)),
                Message::Loan(loan) => member.on_loan(from, &loan, now),
                Message::LoanRequest(request) => {
                    let loan = member.lend(from, &request, now);
                    messages.extend(send((now, to, from, Message::Loan(loan))));
                }
            }
        }
    }
    let seconds = end.as_secs_f64();
    LimitsFigures {
        used: admitted / (LIMITS.requests_per_s * config.load.min(1.0) * seconds),
        overshoot_s: worst / LIMITS.requests_per_s,
        messages_per_s: sent / seconds,
    }
}

//! Limits split over a subset whose members exchange loans over a lossy network.

use std::collections::VecDeque;
use std::time::Duration;

use flamingowheel_policy::key::EntryKey;
use flamingowheel_policy::limits::{
    LimitRefusal, Limits, Loan, LoanRequest, SplitConfig, WorkspaceLimits,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MEMBERS: u64 = 8;
const STEP: Duration = Duration::from_millis(10);
const LIMITS: Limits = Limits { requests_per_s: 200.0, tokens_per_s: 1e9, in_flight: 10_000 };

enum Message {
    LoanRequest(LoanRequest),
    Loan(Loan),
}

struct Subset {
    rng: ChaCha8Rng,
    members: Vec<WorkspaceLimits>,
    messages: VecDeque<(Duration, EntryKey, EntryKey, Message)>,
    /// Share of messages that are lost.
    message_loss: f64,
    /// Longest delay of a message; each is delayed by a random part of it.
    message_delay: Duration,
    now: Duration,
}

impl Subset {
    fn new(seed: u64, limits: Limits, message_loss: f64, message_delay: Duration) -> Self {
        let keys: Vec<EntryKey> = (0..MEMBERS).map(EntryKey).collect();
        let member = |key: &EntryKey| {
            let config = SplitConfig::default();
            let mut member = WorkspaceLimits::new(config, limits, *key, Duration::ZERO);
            member.set_members(&keys, Duration::ZERO);
            member
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            members: keys.iter().map(member).collect(),
            messages: VecDeque::new(),
            message_loss,
            message_delay,
            now: Duration::ZERO,
        }
    }

    /// Offers requests at each member's rate for one step; returns the number admitted.
    fn step(&mut self, rates_per_s: &[f64]) -> u32 {
        self.now += STEP;
        let mut admitted = 0;
        for (index, rate_per_s) in rates_per_s.iter().enumerate() {
            let offered = rate_per_s * STEP.as_secs_f64() + self.rng.random::<f64>();
            for _ in 0..offered as u32 {
                if self.members[index].try_admit(1.0, self.now).is_ok() {
                    admitted += 1;
                    self.members[index].finish(1.0, 1.0, self.now);
                }
            }
            if let Some((lender, request)) = self.members[index].next_loan_request(self.now) {
                self.send(EntryKey(index as u64), lender, Message::LoanRequest(request));
            }
        }
        self.deliver();
        admitted
    }

    fn send(&mut self, from: EntryKey, to: EntryKey, message: Message) {
        if self.rng.random::<f64>() >= self.message_loss {
            let delay = self.message_delay.mul_f64(self.rng.random());
            self.messages.push_back((self.now + delay, from, to, message));
        }
    }

    fn deliver(&mut self) {
        for _ in 0..self.messages.len() {
            let Some((at, from, to, message)) = self.messages.pop_front() else { return };
            let member = &mut self.members[to.0 as usize];
            match message {
                _ if at > self.now => self.messages.push_back((at, from, to, message)),
                Message::Loan(loan) => member.on_loan(from, &loan, self.now),
                Message::LoanRequest(request) => {
                    let loan = member.lend(from, &request, self.now);
                    self.send(to, from, Message::Loan(loan));
                }
            }
        }
    }
}

/// Largest number admitted above `limit * window` in any window of the run.
fn worst_excess(admitted: &[u32], rate_per_s: f64) -> f64 {
    let (mut excess, mut worst) = (0.0f64, 0.0f64);
    for count in admitted {
        excess = (excess - rate_per_s * STEP.as_secs_f64()).max(0.0) + f64::from(*count);
        worst = worst.max(excess);
    }
    worst
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    // Demand moves from entry to entry while loans are lost and delayed. If two entries used the
    // same share, the workspace would exceed its limits at the expense of all others.
    #[test]
    fn try_admit_shifting_demand_and_lost_loans_within_bound(
        seed in any::<u64>(), loss in 0.0..0.5, delay_ms in 0u64..6_000,
    ) {
        let mut subset = Subset::new(seed, LIMITS, loss, Duration::from_millis(delay_ms));
        let mut admitted = Vec::new();
        for phase in 0..10 {
            let rates: Vec<f64> =
                (0..MEMBERS).map(|n| if (n + phase) % 4 == 0 { 300.0 } else { 5.0 }).collect();
            admitted.extend((0..300).map(|_| subset.step(&rates)));
        }
        let bound = LIMITS.requests_per_s * SplitConfig::default().burst.as_secs_f64();
        let worst = worst_excess(&admitted, LIMITS.requests_per_s);
        prop_assert!(worst <= bound + MEMBERS as f64 + 1.0, "{worst}");
    }
}

// All callers use one of the eight entries. Without loans they would get an eighth of the limit.
#[test]
fn next_loan_request_demand_on_one_entry_most_of_limit_usable() {
    let mut subset = Subset::new(1, LIMITS, 0.0, Duration::from_millis(2));
    let mut rates = [0.0; MEMBERS as usize];
    rates[0] = 400.0;
    let _warm_up: u32 = (0..1_000).map(|_| subset.step(&rates)).sum();
    let admitted: u32 = (0..2_000).map(|_| subset.step(&rates)).sum();
    let used = f64::from(admitted) / (LIMITS.requests_per_s * 20.0);
    // Each of the seven peers keeps a tenth of its share.
    assert!(used >= 0.88, "{used}");
}

#[test]
fn try_admit_entry_outside_subset_borrows_first() {
    let mut outsider =
        WorkspaceLimits::new(SplitConfig::default(), LIMITS, EntryKey(99), Duration::ZERO);
    outsider.set_members(&[EntryKey(0)], Duration::ZERO);
    let mut member = Subset::new(1, LIMITS, 0.0, Duration::ZERO).members.remove(0);
    let now = Duration::from_secs(1);
    assert_eq!(outsider.try_admit(1.0, now), Err(LimitRefusal::NoShare));
    let (lender, request) = outsider.next_loan_request(now).unwrap();
    let loan = member.lend(EntryKey(99), &request, now);
    outsider.on_loan(lender, &loan, now);
    let later = now + Duration::from_millis(500);
    assert_eq!(outsider.try_admit(1.0, later), Ok(()));
    let repeated = member.lend(EntryKey(99), &request, later);
    assert_eq!(repeated.share, 0.0);
}

#[test]
fn try_admit_in_flight_and_tokens_limited() {
    let limits = Limits { requests_per_s: 1e6, tokens_per_s: 1_000.0, in_flight: 16 };
    let mut member = Subset::new(1, limits, 0.0, Duration::ZERO).members.remove(0);
    let now = Duration::from_secs(5);
    assert_eq!(member.try_admit(1.0, now), Ok(()));
    assert_eq!(member.try_admit(1.0, now), Ok(()));
    assert_eq!(member.try_admit(1.0, now), Err(LimitRefusal::InFlight));
    member.finish(1.0, 500.0, now);
    let refusal = member.try_admit(1.0, now).unwrap_err();
    assert!(matches!(refusal, LimitRefusal::Tokens { retry_after } if retry_after.as_secs() >= 2));
}

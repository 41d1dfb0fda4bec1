//! The sum of all members' rates stays within the weight store's rate at every moment.

use flamingowheel_backing::fake::{FakeKeyValue, FakeWeightStore};
use flamingowheel_backing::orders::ExpertMap;
use flamingowheel_backing::weights::WeightStore;
use flamingowheel_group::budget::{Allocation, Budget, Pacer, SHARE_TTL, Share, StoreLimits};
use flamingowheel_group::session::{LoadLimiter, WeightSizes};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, advance, sleep};
use tokio_util::sync::CancellationToken;

const RATE_BYTES_PER_S: f64 = 1e9;
const MAX_MEMBERS: usize = 20;
const SECOND: Duration = Duration::from_secs(1);

fn allocation(members: &[usize]) -> Allocation {
    Allocation {
        rate_bytes_per_s: RATE_BYTES_PER_S,
        max_members: MAX_MEMBERS,
        members: members.iter().map(|member| member.to_string()).collect(),
    }
}

fn share(member: usize) -> Share {
    Share::new(&member.to_string(), allocation(&[]).minimum_bytes_per_s())
}

/// A small pseudorandom generator, so that every run is the same.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963);
        (self.0 >> 33) % bound
    }
}

/// Members start and end, lose the key-value service for minutes, and read slowly. If the sum of
/// their rates exceeded the store's rate, the store would refuse loads and map switches would hang.
#[tokio::test(start_paused = true)]
async fn share_sum_within_rate() {
    let mut highest: f64 = 0.0;
    for seed in 0..20 {
        let mut random = Random(seed);
        let mut shares: Vec<Share> = (0..MAX_MEMBERS).map(share).collect();
        let mut cut_off_s = [0; MAX_MEMBERS];
        let mut reads: Vec<Option<(Instant, u64, Allocation)>> = vec![None; MAX_MEMBERS];
        let (mut current, mut revision) = (allocation(&[0, 1]), 1);
        let mut written_at = Instant::now();
        for _ in 0..1200 {
            advance(SECOND).await;
            let now = Instant::now();
            if Allocation::may_be_replaced(written_at, now) && random.below(20) == 0 {
                let members: Vec<usize> =
                    (0..MAX_MEMBERS).filter(|_| random.below(3) == 0).collect();
                (current, revision, written_at) = (allocation(&members), revision + 1, now);
            }
            for member in 0..MAX_MEMBERS {
                // A read that began earlier ends now; the allocation may have been replaced
                // meanwhile.
                if let Some((read_at, found, allocation)) = reads[member].take() {
                    shares[member].apply(&allocation, found, read_at, now);
                }
                if cut_off_s[member] > 0 {
                    cut_off_s[member] -= 1;
                } else if random.below(200) == 0 {
                    cut_off_s[member] = random.below(200);
                } else if random.below(15) == 0 {
                    reads[member] = Some((now, revision, current.clone()));
                }
            }
            let sum: f64 = shares.iter().map(|share| share.rate_bytes_per_s(now)).sum();
            assert!(sum <= RATE_BYTES_PER_S * 1.000_001, "seed {seed}: {sum}");
            highest = highest.max(sum);
        }
    }
    assert!(highest > RATE_BYTES_PER_S * 0.8, "the rate is hardly used: {highest}");
}

/// During a long outage of the key-value service a member can't confirm its share, and must fall
/// back to the reserved minimum.
#[tokio::test(start_paused = true)]
async fn share_service_down() {
    let mut share = share(0);
    let allocated = allocation(&[0, 1]);
    let start = Instant::now();
    share.apply(&allocated, 1, start, start);
    assert_eq!(share.rate_bytes_per_s(start), allocated.minimum_bytes_per_s());
    advance(SHARE_TTL - SECOND).await;
    share.apply(&allocated, 1, Instant::now(), Instant::now());
    advance(SECOND).await;
    assert_eq!(share.rate_bytes_per_s(Instant::now()), allocated.share_bytes_per_s());
    advance(SHARE_TTL).await;
    assert_eq!(share.rate_bytes_per_s(Instant::now()), allocated.minimum_bytes_per_s());
}

/// An answer of the key-value service arrives after a newer one and must be ignored.
#[tokio::test(start_paused = true)]
async fn share_older_revision_ignored() {
    let mut share = share(0);
    let now = Instant::now();
    share.apply(&allocation(&[1]), 2, now, now);
    share.apply(&allocation(&[0]), 1, now, now);
    advance(SHARE_TTL - SECOND).await;
    let minimum = allocation(&[]).minimum_bytes_per_s();
    assert_eq!(share.rate_bytes_per_s(Instant::now()), minimum);
}

#[tokio::test(start_paused = true)]
async fn try_acquire_keeps_rate() {
    let start = Instant::now();
    let mut pacer = Pacer::new(start);
    assert_eq!(pacer.try_acquire(1000, 500.0, start), Duration::ZERO);
    assert_eq!(pacer.try_acquire(1000, 500.0, start), SECOND * 2);
    advance(SECOND * 10).await;
    assert_eq!(pacer.try_acquire(1, 500.0, Instant::now()), Duration::ZERO);
}

/// The rate grows while loads wait. If they were scheduled at the rate of their request, the last
/// one would wait as long as before.
#[tokio::test(start_paused = true)]
async fn try_acquire_rate_changes_while_waiting() {
    let mut pacer = Pacer::new(Instant::now());
    assert_eq!(pacer.try_acquire(1000, 10.0, Instant::now()), Duration::ZERO);
    assert_eq!(pacer.try_acquire(1, 10.0, Instant::now()), SECOND * 100);
    advance(SECOND * 10).await;
    // The first ten seconds count at the old rate.
    assert_eq!(pacer.try_acquire(1, 100.0, Instant::now()), SECOND * 9);
    advance(SECOND * 9).await;
    assert_eq!(pacer.try_acquire(1, 100.0, Instant::now()), Duration::ZERO);
}

/// The members change twice while some read the record rarely and another is cut off right after it
/// was added. If the second change came too soon, the members that read rarely would miss the first
/// one, and the sum of the rates would exceed the store's rate.
#[tokio::test(start_paused = true)]
async fn may_be_replaced_change_between_missed() {
    let (two, three) = (allocation(&[0, 1]), allocation(&[0, 1, 2]));
    let mut shares: Vec<Share> = (0..3).map(share).collect();
    let settled = Instant::now();
    for share in &mut shares {
        share.apply(&two, 1, settled, settled);
    }
    advance(SHARE_TTL - SECOND).await;
    for share in &mut shares {
        share.apply(&two, 1, Instant::now(), Instant::now());
    }
    advance(SECOND).await;
    let written_at = Instant::now();
    let mut current = (&three, 2);
    for second in 0..300 {
        let now = Instant::now();
        if current.1 == 2 && Allocation::may_be_replaced(written_at, now) {
            current = (&two, 3);
        }
        if second % 57 == 56 {
            shares[0].apply(current.0, current.1, now, now);
            shares[1].apply(current.0, current.1, now, now);
        }
        if second < 55 && current.1 == 2 {
            shares[2].apply(current.0, current.1, now, now);
        }
        let sum: f64 = shares.iter().map(|share| share.rate_bytes_per_s(now)).sum();
        assert!(sum <= RATE_BYTES_PER_S * 1.000_001, "second {second}: {sum}");
        advance(SECOND).await;
    }
}

const LIMITS: StoreLimits =
    StoreLimits { rate_bytes_per_s: RATE_BYTES_PER_S, max_members: MAX_MEMBERS };

/// Starts a member; cancelling the token ends it like a crash.
fn start(kv: &FakeKeyValue, member: usize) -> (Arc<Budget>, CancellationToken) {
    let budget = Arc::new(Budget::new(Arc::new(kv.clone()), &member.to_string(), LIMITS));
    let (running, stop) = (Arc::clone(&budget), CancellationToken::new());
    let token = stop.clone();
    tokio::spawn(async move { running.run(token).await });
    (budget, stop)
}

/// Members start, one dies, and the key-value service goes down for minutes. The members must
/// converge to equal shares, never exceed the store's rate, and fall back to the minimum during the
/// outage.
#[tokio::test(start_paused = true)]
async fn run_members_share_the_rate() {
    let kv = FakeKeyValue::new();
    let mut members = Vec::new();
    let mut rates = Vec::new();
    for second in 0..2400 {
        match second {
            0 | 10 | 300 => members.push(start(&kv, members.len())),
            900 => members[0].1.cancel(),
            1500 => kv.set_down(true),
            1800 => kv.set_down(false),
            _ => {}
        }
        sleep(SECOND).await;
        let sum: f64 = members.iter().map(|(budget, _)| budget.rate_bytes_per_s()).sum();
        assert!(sum <= RATE_BYTES_PER_S * 1.000_001, "second {second}: {sum}");
        if [880, 1480, 1700, 2300].contains(&second) {
            rates.push(members[1].0.rate_bytes_per_s() / RATE_BYTES_PER_S);
        }
    }
    assert_eq!(rates, [0.3, 0.45, 0.005, 0.45]);
}

/// A map switch loads weights on all ranks of a group; loads at the same time would exceed the
/// rate. They must run one after another, and experts that a rank holds already must not be
/// counted.
#[tokio::test(start_paused = true)]
async fn acquire_for_map_one_rank_after_another() {
    let budget = Arc::new(Budget::new(Arc::new(FakeKeyValue::new()), "0", LIMITS));
    let minimum = budget.rate_bytes_per_s();
    let loads = LoadLimiter {
        budget,
        sizes: WeightSizes { expert_bytes: minimum as u64, ..WeightSizes::default() },
    };
    let map = |experts: [u16; 4]| ExpertMap {
        layers: vec![experts.chunks(2).map(<[u16]>::to_vec).collect()],
    };
    let (loaded, next) = (map([0, 1, 2, 3]), map([0, 2, 1, 3]));
    let start = Instant::now();
    loads.acquire_for_map(0, Some(&loaded), &next).await;
    assert_eq!(start.elapsed(), Duration::ZERO);
    loads.acquire_for_map(1, None, &next).await;
    assert_eq!(start.elapsed(), SECOND, "rank 0 loads one expert");
    loads.acquire_for_map(0, Some(&loaded), &loaded).await;
    assert_eq!(start.elapsed(), SECOND * 3, "rank 1 holds nothing and loads two");
}

/// Three processes have their groups load a version at once, and the key-value service goes down in
/// the middle. If they read faster than the store's rate, it would refuse reads and the groups
/// would be stopped for longer.
#[tokio::test(start_paused = true)]
async fn acquire_fake_store_refuses_nothing() {
    const LOAD_BYTES: u64 = 1_000_000_000;
    const LOADS: u64 = 640;
    let kv = FakeKeyValue::new();
    // The burst allows one read in progress per process.
    let store = FakeWeightStore::new(RATE_BYTES_PER_S as u64, 3 * LOAD_BYTES);
    let members: Vec<_> = (0..3).map(|member| start(&kv, member)).collect();
    sleep(SECOND * 300).await;
    let (began, before) = (Instant::now(), store.bytes_read());
    for (budget, _) in &members {
        for load in 0..LOADS {
            let (budget, store) = (Arc::clone(budget), store.clone());
            tokio::spawn(async move {
                budget.acquire(LOAD_BYTES).await;
                assert_eq!(store.read("notes", LOAD_BYTES).await, Ok(()), "load {load}");
            });
        }
    }
    let used = |store: &FakeWeightStore| {
        (store.bytes_read() - before) as f64 / began.elapsed().as_secs_f64() / RATE_BYTES_PER_S
    };
    sleep(SECOND * 600).await;
    let in_service = used(&store);
    kv.set_down(true);
    sleep(SECOND * 600).await;
    assert_eq!(store.refused_reads(), 0);
    let read_bytes = store.bytes_read();
    sleep(SECOND * 600).await;
    let while_down = (store.bytes_read() - read_bytes) as f64 / 600.0 / RATE_BYTES_PER_S;
    kv.set_down(false);
    sleep(SECOND * 2400).await;
    assert_eq!((store.refused_reads(), store.bytes_read()), (0, 3 * LOADS * LOAD_BYTES));
    // Nine tenths of the rate are allocated; the minimum of each member is 1/200.
    assert_eq!(format!("{in_service:.3} {while_down:.4}"), "0.900 0.0150");
}

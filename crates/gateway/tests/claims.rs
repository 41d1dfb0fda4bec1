//! Claims to retries in the key-value store, from one process to the next.

use flamingowheel_backing::fake::kv::FakeKeyValue;
use flamingowheel_backing::kv::KeyValue;
use flamingowheel_gateway::budget::{Allowance, RetryBudget};
use flamingowheel_gateway::claims::{CLAIMS_PREFIX, ClaimKeeper};
use flamingowheel_policy::claim::StoredClaim;
use flamingowheel_policy::quota::Urgency;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

const WINDOW: Duration = Duration::from_secs(10);
const ALLOWANCE: Allowance = Allowance { ratio: 0.0, slack: 20.0, window: WINDOW };

/// Time in which a claim is written.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// A process that is listed alone.
struct Process {
    budget: Arc<RetryBudget>,
    keeper: JoinHandle<()>,
}

impl Process {
    async fn start(store: &FakeKeyValue) -> Self {
        let budget = Arc::new(RetryBudget::new(ALLOWANCE, "a"));
        let keeper = ClaimKeeper::new(store.clone(), "a", Arc::clone(&budget));
        let keeper = tokio::spawn(keeper.run());
        sleep(SETTLE_TIME).await;
        Self { budget, keeper }
    }

    /// Retries as often as it may. Returns how often.
    fn retry(&self) -> usize {
        let now = Instant::now();
        self.budget.observe_entries(["a"], Some(Duration::ZERO), now);
        (0..).take_while(|_| self.budget.try_acquire("s", Urgency::Begun, now).is_ok()).count()
    }
}

async fn stored(store: &FakeKeyValue) -> Option<StoredClaim> {
    let snapshot = store.range(CLAIMS_PREFIX).await.unwrap();
    snapshot.entries.first().map(|entry| serde_json::from_slice(&entry.value).unwrap())
}

// Guards against processes that begin with a full share after others of their VM were killed.
#[tokio::test(start_paused = true)]
async fn run_killed_again_within_part() {
    let store = FakeKeyValue::default();
    let mut retries = 0;
    for _ in 0..4 {
        let process = Process::start(&store).await;
        sleep(Duration::from_secs(2)).await;
        retries += process.retry();
        process.keeper.abort();
    }
    assert!(retries > 0 && retries as f64 <= ALLOWANCE.slack, "{retries}");
}

#[tokio::test(start_paused = true)]
async fn run_retries_denied_claim_raised() {
    let store = FakeKeyValue::default();
    let process = Process::start(&store).await;
    sleep(WINDOW * 2).await;
    let before = process.retry();
    sleep(Duration::from_secs(1)).await;
    assert_eq!(stored(&store).await.map(|claim| claim.claimed), Some(1.0));
    assert!(process.retry() > before);
}

#[tokio::test(start_paused = true)]
async fn run_no_retries_claim_lowered() {
    let store = FakeKeyValue::default();
    let _process = Process::start(&store).await;
    sleep(WINDOW * 2).await;
    assert_eq!(stored(&store).await.map(|claim| claim.claimed), Some(0.25));
}

// Guards against a successor that waits although its predecessor has spent little.
#[tokio::test(start_paused = true)]
async fn run_predecessor_left_rest_claimed() {
    let store = FakeKeyValue::default();
    let process = Process::start(&store).await;
    sleep(WINDOW * 2).await;
    let spent = process.retry();
    process.budget.leave();
    sleep(Duration::from_secs(1)).await;
    process.keeper.abort();
    let successor = Process::start(&store).await;
    let rest = successor.retry();
    assert!(rest as f64 >= ALLOWANCE.slack / 2.0 && (spent + rest) as f64 <= ALLOWANCE.slack);
}

// Guards against a claim that is given up for a window because one write failed.
#[tokio::test(start_paused = true)]
async fn run_write_failed_claim_kept() {
    let store = FakeKeyValue::default();
    let process = Process::start(&store).await;
    sleep(WINDOW * 2).await;
    process.retry();
    store.set_down(true);
    sleep(Duration::from_secs(1)).await;
    store.set_down(false);
    sleep(WINDOW + Duration::from_secs(1)).await;
    assert!(process.retry() > 0);
}

// Guards against a process that spends what it could not claim.
#[tokio::test(start_paused = true)]
async fn run_store_away_nothing_claimed() {
    let store = FakeKeyValue::default();
    store.set_down(true);
    let process = Process::start(&store).await;
    assert_eq!(process.retry(), 0);
    store.set_down(false);
    sleep(Duration::from_secs(2)).await;
    assert!(process.retry() > 0);
}

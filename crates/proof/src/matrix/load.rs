//! Runs the cells of a model load: an order to serve another version, through an agent's gate.
//!
//! A coordinator sends the order under the fencing number of the record that it wrote. Once it has
//! an answer or times out, another coordinator takes over and orders a third version until that is
//! served; from then on the engine must serve nothing else.

use super::control::{LATE, call_fault, inject_key_value_fault};
use super::run::{OUTAGE_TIME, Observed, PAIR_TIME};
use super::{Fault, Outcome};
use crate::backend::Lifecycle;
use crate::group::GroupViolation;
use crate::group::fleet::{Fleet, Link};
use flamingowheel_backing::fake::{EngineSettings, OrderFault};
use flamingowheel_backing::orders::OrderTarget;
use flamingowheel_group::gate::EngineKind;
use flamingowheel_group::message::{RankError, RankRequest, RankState};
use flamingowheel_group::ranks::Ranks;
use flamingowheel_group::record::{GroupRecord, RecordStore, StoredRecord};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout};

/// The rank that receives the order.
const RANK: usize = 0;
const MESSAGE_TIME: Duration = Duration::from_millis(5);
/// Time to load the weights.
const LOAD_TIME: Duration = Duration::from_secs(2);
/// Time after which the load is in progress.
const LOADING_AFTER: Duration = Duration::from_millis(500);
/// Timeout of an order.
const ORDER_LIMIT: Duration = Duration::from_secs(5);
/// Interval of the reads of a rank's state while an answer is awaited.
const READ_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit after the last fault for a new order to be executed.
const RECOVERY_LIMIT: Duration = Duration::from_secs(30);
/// Duration and interval of the final checks of the engine's version.
const FINAL_CHECKS: (Duration, Duration) = (Duration::from_secs(60), Duration::from_millis(100));

const FIRST_VERSION: &str = "1";
const SECOND_VERSION: &str = "2";
const LAST_VERSION: &str = "3";

type Answer = Result<RankState, RankError>;

/// A coordinator with an order in flight.
struct OrderingCoordinator {
    lifecycle: Lifecycle,
    running: AbortHandle,
    answer: oneshot::Receiver<Answer>,
}

struct Scenario {
    fleet: Fleet,
    records: RecordStore,
    first: OrderingCoordinator,
}

/// Loads a model and injects the faults one after the other.
pub(super) async fn load(kind: EngineKind, faults: &[Fault]) -> Result<Observed, GroupViolation> {
    let scenario = Scenario::start(kind, faults).await?;
    sleep(LOADING_AFTER).await;
    for fault in faults {
        scenario.inject(*fault);
        sleep(PAIR_TIME).await;
    }
    // The order may still be in flight; the coordinator that takes over does not wait for it.
    sleep(ORDER_LIMIT).await;
    let taking_over = scenario.take_over().await;
    sleep(OUTAGE_TIME - ORDER_LIMIT).await;
    scenario.repair();
    let last = taking_over.await.unwrap_or(Err(RankError::NoAnswer));
    if let Err(last) = last {
        return Err(GroupViolation::OrderNotExecuted { last: last.to_string() });
    }
    scenario.check_version_stays().await?;
    Ok(Observed { first: scenario.outcome(), resend: Some(Outcome::Complete) })
}

impl Scenario {
    async fn start(kind: EngineKind, faults: &[Fault]) -> Result<Self, GroupViolation> {
        let settings = EngineSettings { weight_load_time: LOAD_TIME, ..EngineSettings::default() };
        let fleet = Fleet::without_coordinators(kind, None, MESSAGE_TIME, settings);
        let records = fleet.records();
        let record = GroupRecord::first(Default::default(), crate::group::fleet::RANKS);
        let _ = records.create(record).await;
        let served = until_served(fleet.link(), records.clone(), FIRST_VERSION).await;
        served.map_err(|last| GroupViolation::OrderNotExecuted { last: last.to_string() })?;
        let stored = take_over_record(&records).await;
        // An engine continues a load whose caller is gone, so the order takes effect late.
        if faults.iter().any(|fault| matches!(fault, Fault::AgentKilled | Fault::ConnectionSilent))
        {
            fleet.engine(RANK).inject_order_fault(OrderFault::Delayed(LATE));
        }
        for fault in faults.iter().filter_map(|fault| call_fault(*fault)) {
            fleet.inject_fault(fault);
        }
        let first = OrderingCoordinator::start(fleet.link(), stored);
        Ok(Self { fleet, records, first })
    }

    fn inject(&self, fault: Fault) {
        let engine = self.fleet.engine(RANK);
        match fault {
            Fault::AgentKilled => self.fleet.replace_agent(RANK),
            Fault::AgentPaused => self.fleet.pause_agent(RANK, true),
            Fault::ConnectionSilent => self.fleet.silence(),
            Fault::BackendCrashed => engine.crash(),
            Fault::RankStalled => engine.set_frozen(true),
            Fault::VmReplaced => {
                self.fleet.replace_agent(RANK);
                engine.crash();
            }
            Fault::CoordinatorKilled => self.first.running.abort(),
            Fault::CoordinatorPaused => self.first.lifecycle.set_paused(true),
            _ => inject_key_value_fault(&self.fleet.kv, fault),
        }
    }

    async fn take_over(&self) -> tokio::task::JoinHandle<Answer> {
        let (link, records) = (self.fleet.link(), self.records.clone());
        tokio::spawn(until_served(link, records, LAST_VERSION))
    }

    fn repair(&self) {
        self.fleet.repair();
        self.first.lifecycle.set_paused(false);
    }

    /// Checks that the newest executed order stays in effect, whatever else is in flight. A crashed
    /// engine restarts without a version.
    async fn check_version_stays(&self) -> Result<(), GroupViolation> {
        let (time, interval) = FINAL_CHECKS;
        let end = Instant::now() + time;
        while Instant::now() < end {
            let found = self.fleet.engine(RANK).peek_state().version;
            if found != LAST_VERSION {
                return Err(GroupViolation::OtherVersion {
                    found,
                    expected: LAST_VERSION.to_owned(),
                });
            }
            sleep(interval).await;
        }
        Ok(())
    }

    fn outcome(mut self) -> Outcome {
        match self.first.answer.try_recv() {
            Ok(Ok(_)) => Outcome::Complete,
            Ok(Err(RankError::EngineSilent | RankError::NoAnswer)) => Outcome::Unknown,
            Ok(Err(_)) => Outcome::NotRun,
            Err(_) => Outcome::Broken,
        }
    }
}

impl OrderingCoordinator {
    fn start(link: Link, stored: StoredRecord) -> Self {
        let lifecycle = Lifecycle::default();
        let (sender, answer) = oneshot::channel();
        let work = async move {
            let first = order(&link, &stored, SECOND_VERSION).await;
            let unknown = matches!(first, Err(RankError::NoAnswer | RankError::EngineSilent));
            let _ = sender.send(first);
            if unknown {
                // The coordinator does not know yet that it was replaced, and retries.
                let _ = order(&link, &stored, SECOND_VERSION).await;
            }
        };
        let running = tokio::spawn(lifecycle.clone().run(work)).abort_handle();
        Self { lifecycle, running, answer }
    }
}

/// Rewrites the record, as a coordinator does when it takes over.
async fn take_over_record(records: &RecordStore) -> StoredRecord {
    loop {
        if let Ok(stored) = records.read().await
            && let Ok(stored) = records.replace(&stored, stored.record.clone()).await
        {
            return stored;
        }
        sleep(READ_INTERVAL).await;
    }
}

/// Takes over and orders a version until the rank serves it; returns the last answer.
async fn until_served(link: Link, records: RecordStore, version: &'static str) -> Answer {
    let end = Instant::now() + OUTAGE_TIME + RECOVERY_LIMIT;
    let stored = take_over_record(&records).await;
    loop {
        let answer = order(&link, &stored, version).await;
        if answer.is_ok() || Instant::now() > end {
            return answer;
        }
        sleep(READ_INTERVAL).await;
    }
}

/// Sends one order after a read that gives the agent's incarnation. Reads continue while the answer
/// is awaited, as a coordinator's do.
async fn order(link: &Link, stored: &StoredRecord, version: &str) -> Answer {
    let read = || RankRequest {
        incarnation: None,
        fence: stored.fence(),
        target: None,
        requires_version: None,
        open: None,
    };
    let call = |request| async move {
        let answer = timeout(ORDER_LIMIT, link.call(RANK, request)).await;
        answer.unwrap_or(Err(RankError::NoAnswer))
    };
    let incarnation = Some(call(read()).await?.incarnation);
    let target = OrderTarget::Serve {
        model: "callbox-7b".to_owned(),
        version: version.to_owned(),
        adapters: Vec::new(),
        role: "both".to_owned(),
    };
    let request = RankRequest { incarnation, target: Some(target), ..read() };
    let reading = async {
        loop {
            sleep(READ_INTERVAL).await;
            let _ = link.call(RANK, read()).await;
        }
    };
    tokio::select! {
        answer = call(request) => answer,
        () = reading => Err(RankError::NoAnswer),
    }
}

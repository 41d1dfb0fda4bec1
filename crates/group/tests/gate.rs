//! Orders that an agent's gate passes to its engine or refuses.

use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::backend::BackendError;
use flamingowheel_backing::fake::{
    EngineSettings, FakeEngine, FakeKeyValue, FencePolicy, OrderFault,
};
use flamingowheel_backing::orders::{
    EngineOrders, EngineState, ExpertMap, Fence, Order, OrderError, OrderTarget,
};
use flamingowheel_group::gate::{EngineKind, Gate};
use flamingowheel_group::message::{RankError, RankRequest, RankState};
use flamingowheel_group::record::{GroupRecord, RecordError, RecordStore};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

const INCARNATION: u64 = 7;

fn engine(kind: EngineKind) -> FakeEngine {
    let fence_policy = match kind {
        EngineKind::ChecksFence => FencePolicy::Refuses,
        EngineKind::IgnoresFence => FencePolicy::Ignores,
    };
    let weight_load_time = Duration::from_millis(500);
    let settings = EngineSettings { fence_policy, weight_load_time, ..EngineSettings::default() };
    FakeEngine::new(1, settings)
}

async fn open(engine: &FakeEngine, kind: EngineKind, kv: &FakeKeyValue) -> Gate<FakeEngine> {
    let records = RecordStore::new(Arc::new(kv.clone()), "g1");
    Gate::open(engine.clone(), kind, INCARNATION, &records).await.unwrap()
}

fn order(fence: u64, target: OrderTarget) -> RankRequest {
    RankRequest {
        incarnation: Some(INCARNATION),
        fence: Fence(fence),
        target: Some(target),
        requires_version: None,
        open: None,
    }
}

fn serve(version: &str) -> OrderTarget {
    OrderTarget::Serve {
        model: "notes".to_owned(),
        version: version.to_owned(),
        adapters: Vec::new(),
        role: "both".to_owned(),
    }
}

fn version(result: Result<RankState, RankError>) -> Result<String, RankError> {
    result.map(|state| state.engine.version)
}

/// A coordinator that was replaced still sends an order. An engine that checks no fencing numbers
/// would carry it out, and its callers would get answers of another model version.
#[tokio::test(start_paused = true)]
async fn handle_old_number_refused() {
    for kind in [EngineKind::ChecksFence, EngineKind::IgnoresFence] {
        let (engine, kv) = (engine(kind), FakeKeyValue::new());
        let gate = open(&engine, kind, &kv).await;
        assert_eq!(version(gate.handle(&order(5, serve("2"))).await), Ok("2".to_owned()));
        let stale = RankError::Stale { given: Fence(4), lowest: Fence(5) };
        assert_eq!(gate.handle(&order(4, serve("1"))).await, Err(stale));
        assert_eq!(engine.peek_state().version, "2");
    }
}

/// An order passes the check on receipt, but a newer coordinator sends a higher number while the
/// order waits behind another. It must not be sent to the engine.
#[tokio::test(start_paused = true)]
async fn handle_number_outdated_while_waiting() {
    let kind = EngineKind::IgnoresFence;
    let (engine, kv) = (engine(kind), FakeKeyValue::new());
    let gate = Arc::new(open(&engine, kind, &kv).await);
    let send = |request: RankRequest| {
        let gate = Arc::clone(&gate);
        tokio::spawn(async move { gate.handle(&request).await })
    };
    let load = send(order(4, OrderTarget::StageMap { map: ExpertMap::default() }));
    sleep(Duration::from_millis(10)).await;
    let waiting = send(order(4, serve("1")));
    sleep(Duration::from_millis(10)).await;
    let newer = send(order(5, OrderTarget::Resume));
    assert!(load.await.unwrap().is_ok());
    let stale = RankError::Stale { given: Fence(4), lowest: Fence(5) };
    assert_eq!(waiting.await.unwrap(), Err(stale));
    assert!(newer.await.unwrap().is_ok());
    assert_eq!(engine.peek_state().version, "");
}

/// An agent dies between two orders, and the new process gets a late order of a coordinator that
/// was replaced long ago.
#[tokio::test(start_paused = true)]
async fn open_reads_lowest_number_from_record() {
    let kind = EngineKind::IgnoresFence;
    let (engine, kv) = (engine(kind), FakeKeyValue::new());
    let records = RecordStore::new(Arc::new(kv.clone()), "g1");
    let first = records.create(GroupRecord::first(ExpertMap::default(), 1)).await.unwrap();
    let second = records.replace(&first, first.record.settled()).await.unwrap();
    let gate = open(&engine, kind, &kv).await;
    let late = gate.handle(&order(first.revision.0, serve("1"))).await;
    assert!(matches!(late, Err(RankError::Stale { .. })), "{late:?}");
    assert!(gate.handle(&order(second.revision.0, serve("2"))).await.is_ok());
}

/// The key-value service is down when an agent starts, so it can't read the lowest acceptable
/// number. The gate must not open.
#[tokio::test(start_paused = true)]
async fn open_service_down() {
    let (engine, kv) = (engine(EngineKind::ChecksFence), FakeKeyValue::new());
    kv.set_down(true);
    let records = RecordStore::new(Arc::new(kv.clone()), "g1");
    let opened = Gate::open(engine, EngineKind::ChecksFence, INCARNATION, &records).await;
    assert!(matches!(opened, Err(RecordError::NotWritten(_))));
}

/// An order was on its way to an agent process that has died since. The next process must refuse
/// it, since the order is based on the rank's earlier state.
#[tokio::test(start_paused = true)]
async fn handle_order_for_earlier_agent() {
    let kind = EngineKind::ChecksFence;
    let (engine, kv) = (engine(kind), FakeKeyValue::new());
    let gate = open(&engine, kind, &kv).await;
    let request = RankRequest { incarnation: Some(6), ..order(5, serve("2")) };
    let refused = Err(RankError::WrongIncarnation { incarnation: INCARNATION });
    assert_eq!(gate.handle(&request).await, refused);
    assert_eq!(engine.peek_state().version, "");
}

/// An engine crashes and restarts with no map just before an order to resume. It must not step.
#[tokio::test(start_paused = true)]
async fn handle_resume_requires_version() {
    let kind = EngineKind::ChecksFence;
    let (engine, kv) = (engine(kind), FakeKeyValue::new());
    let gate = open(&engine, kind, &kv).await;
    gate.handle(&order(5, OrderTarget::Hold { after_step: 0 })).await.unwrap();
    let resume = RankRequest { requires_version: Some(3), ..order(5, OrderTarget::Resume) };
    assert_eq!(gate.handle(&resume).await, Err(RankError::WrongVersion { version: 0 }));
    assert_eq!(engine.peek_state().held_after_step, Some(0));
}

/// An order is delayed by a minute in the engine. A different order sent meanwhile would be undone
/// by the late one, so it must be refused until the late order has taken effect.
#[tokio::test(start_paused = true)]
async fn handle_order_late_in_engine_that_ignores_numbers() {
    let kind = EngineKind::IgnoresFence;
    let (engine, kv) = (engine(kind), FakeKeyValue::new());
    let gate = open(&engine, kind, &kv).await;
    engine.inject_order_fault(OrderFault::Delayed(Duration::from_secs(60)));
    assert_eq!(gate.handle(&order(5, serve("1"))).await, Err(RankError::EngineSilent));
    assert_eq!(gate.handle(&order(6, serve("2"))).await, Err(RankError::Unresolved));
    sleep(Duration::from_secs(60)).await;
    assert_eq!(version(gate.handle(&order(6, serve("2"))).await), Ok("2".to_owned()));
    sleep(Duration::from_secs(60)).await;
    assert_eq!(engine.peek_state().version, "2");
}

/// The call is cancelled while the order is with the engine. The gate must still treat the order as
/// one that may take effect.
#[tokio::test(start_paused = true)]
async fn handle_cancelled_midway() {
    let kind = EngineKind::IgnoresFence;
    let (engine, kv) = (engine(kind), FakeKeyValue::new());
    let gate = open(&engine, kind, &kv).await;
    let request = order(5, serve("1"));
    let limit = Duration::from_millis(100);
    assert!(tokio::time::timeout(limit, gate.handle(&request)).await.is_err());
    assert_eq!(gate.handle(&order(6, serve("2"))).await, Err(RankError::Unresolved));
}

/// A load's answer is lost on the way to the coordinator, which repeats the order. The engine must
/// not load the weights twice.
#[tokio::test(start_paused = true)]
async fn handle_same_load_twice() {
    let kind = EngineKind::ChecksFence;
    let (engine, kv) = (engine(kind), FakeKeyValue::new());
    let gate = open(&engine, kind, &kv).await;
    let load = order(5, OrderTarget::StageMap { map: ExpertMap::default() });
    for _ in 0..2 {
        gate.handle(&load).await.unwrap();
    }
    assert_eq!(engine.peek_state().counters["orders"], 1);
    engine.restart();
    gate.handle(&load).await.unwrap();
    assert_eq!(engine.peek_state().counters["orders"], 1, "a new process has loaded nothing");
}

/// An agent dies with a load in the queue of an engine that checks no fencing numbers. If the next
/// agent sent another load at once, the old one would take effect after it, and callers would get
/// answers of a version that was replaced.
#[tokio::test(start_paused = true)]
async fn handle_load_of_dead_agent_pending() {
    let kind = EngineKind::IgnoresFence;
    let (engine, kv) = (engine(kind), FakeKeyValue::new());
    engine.inject_order_fault(OrderFault::Delayed(Duration::from_secs(20)));
    let predecessor = open(&engine, kind, &kv).await;
    let request = order(5, serve("1"));
    let limit = Duration::from_millis(100);
    assert!(tokio::time::timeout(limit, predecessor.handle(&request)).await.is_err());
    drop(predecessor);
    let successor = open(&engine, kind, &kv).await;
    assert_eq!(successor.handle(&order(6, serve("2"))).await, Err(RankError::Unresolved));
    sleep(Duration::from_secs(30)).await;
    assert_eq!(version(successor.handle(&order(6, serve("2"))).await), Ok("2".to_owned()));
}

/// The key-value service is down when a load is ordered. If the load were sent without being
/// stored, the next agent could not read it.
#[tokio::test(start_paused = true)]
async fn handle_load_not_stored() {
    let kind = EngineKind::IgnoresFence;
    let (engine, kv) = (engine(kind), FakeKeyValue::new());
    let gate = open(&engine, kind, &kv).await;
    kv.set_down(true);
    assert_eq!(gate.handle(&order(5, serve("1"))).await, Err(RankError::NotStored));
    kv.set_down(false);
    assert_eq!(version(gate.handle(&order(5, serve("1"))).await), Ok("1".to_owned()));
}

/// An engine that refuses every order.
struct Refusing(FakeEngine);

impl EngineOrders for Refusing {
    fn send_order<'a>(&'a self, _order: &'a Order) -> BoxFuture<'a, Result<(), OrderError>> {
        let reason = "no room for the weights".to_owned();
        Box::pin(std::future::ready(Err(OrderError::NotPossible { reason })))
    }

    fn state(&self) -> BoxFuture<'_, Result<EngineState, BackendError>> {
        self.0.state()
    }
}

/// An engine refuses a load and the agent dies later. The next agent must not wait for that load.
#[tokio::test(start_paused = true)]
async fn open_refused_load_not_pending() {
    let kind = EngineKind::IgnoresFence;
    let (engine, kv) = (engine(kind), FakeKeyValue::new());
    let records = RecordStore::new(Arc::new(kv.clone()), "g1");
    let refusing = Refusing(engine.clone());
    let gate = Gate::open(refusing, kind, INCARNATION, &records).await.unwrap();
    let refused = gate.handle(&order(5, serve("1"))).await;
    assert!(matches!(refused, Err(RankError::NotPossible { .. })), "{refused:?}");
    let successor = open(&engine, kind, &kv).await;
    assert_eq!(version(successor.handle(&order(6, serve("2"))).await), Ok("2".to_owned()));
}

/// Engines of a fleet restart a few thousand times a day, each time with a load. If stored loads
/// were not removed, every new agent would read more and more of them.
#[tokio::test(start_paused = true)]
async fn handle_pending_loads_removed() {
    let kind = EngineKind::IgnoresFence;
    let (engine, kv) = (engine(kind), FakeKeyValue::new());
    let gate = open(&engine, kind, &kv).await;
    for fence in 1..5 {
        gate.handle(&order(fence, serve("1"))).await.unwrap();
        engine.restart();
    }
    engine.inject_order_fault(OrderFault::AnswerLost);
    assert!(gate.handle(&order(6, serve("2"))).await.is_err());
    assert_eq!(kv.peek("groups/g1/loads/").entries.len(), 1, "it may still take effect");
    gate.handle(&RankRequest { target: None, ..order(6, serve("2")) }).await.unwrap();
    assert!(kv.peek("groups/g1/loads/").entries.is_empty(), "its effect was seen");
}

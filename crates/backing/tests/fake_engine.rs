//! The engine, group, service and VM list fakes, with a paused clock.

use bytes::Bytes;
use flamingowheel_backing::backend::{
    BackendAnswer, BackendCall, BackendError, BackendServer, BodyPiece, Priority,
};
use flamingowheel_backing::fake::engine::map_digest;
use flamingowheel_backing::fake::text::whole_stream;
use flamingowheel_backing::fake::{
    EngineSettings, FakeEngine, FakeService, FakeVmList, FencePolicy, OrderFault, RankGroup,
};
use flamingowheel_backing::orders::{
    EngineOrders, ExpertMap, Fence, Order, OrderError, OrderTarget,
};
use flamingowheel_backing::vm::{Vm, VmList, VmState};
use std::time::Duration;

fn call(id: &str, body: &str) -> BackendCall {
    BackendCall {
        id: id.to_owned(),
        method: http::Method::POST,
        path: "/v1/chat/completions".to_owned(),
        content_type: None,
        body: Bytes::from(body.to_owned()),
        priority: Priority(4),
        resume_after_events: 0,
    }
}

async fn read(mut answer: BackendAnswer) -> (Vec<Bytes>, Option<Result<(), BackendError>>) {
    let mut events = Vec::new();
    while let Some(piece) = answer.body.recv().await {
        match piece {
            Ok(BodyPiece::Data(event)) => events.push(event),
            Ok(BodyPiece::End) => return (events, Some(Ok(()))),
            Err(error) => return (events, Some(Err(error))),
        }
    }
    (events, None)
}

fn order(fence: u64, target: OrderTarget) -> Order {
    Order { fence: Fence(fence), target }
}

fn map(expert: u16) -> ExpertMap {
    ExpertMap { layers: vec![vec![vec![expert]]] }
}

#[tokio::test(start_paused = true)]
async fn call_streams_complete_answer() {
    let engine = FakeEngine::new(1, EngineSettings::default());
    let (events, end) = read(engine.call(call("a", "lamp 7 out")).await.unwrap()).await;
    assert_eq!(events, whole_stream(b"lamp 7 out", 8));
    assert_eq!(end, Some(Ok(())));
    assert_eq!(engine.runs_of_body(b"lamp 7 out").finished, 1);
}

#[tokio::test(start_paused = true)]
async fn call_resumes_after_events() {
    let engine = FakeEngine::new(1, EngineSettings::default());
    let resumed = BackendCall { resume_after_events: 5, ..call("a", "x") };
    let (events, _) = read(engine.call(resumed).await.unwrap()).await;
    assert_eq!(events, whole_stream(b"x", 8)[5..]);
}

// A request crashes the engine. The other requests of its batch must be lost too, and the restarted
// process must have a new id.
#[tokio::test(start_paused = true)]
async fn call_crash_loses_batch() {
    let settings =
        EngineSettings { restart_after: Some(Duration::from_secs(2)), ..EngineSettings::default() };
    let engine = FakeEngine::new(1, settings);
    engine.crash_on("poison");
    let before = engine.load().await.unwrap();
    let other_request = engine.call(call("a", "innocent")).await.unwrap();
    tokio::time::sleep(Duration::from_millis(15)).await;
    let poison = engine.call(call("b", "some poison")).await.unwrap();
    assert_eq!(read(poison).await.1, Some(Err(BackendError::Lost)));
    assert_eq!(read(other_request).await.1, Some(Err(BackendError::Lost)));
    assert_eq!(engine.load().await, Err(BackendError::Refused));
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after = engine.load().await.unwrap();
    assert_ne!(after.process_id, before.process_id);
    assert_eq!(after.uptime_ms, 1000);
    assert_eq!((after.running, engine.crashes()), (0, 1));
}

// The engine stops answering without closing its connections. Callers must get a timeout instead of
// waiting forever.
#[tokio::test(start_paused = true)]
async fn call_frozen_engine_silent() {
    let engine = FakeEngine::new(1, EngineSettings::default());
    let answer = engine.call(call("a", "x")).await.unwrap();
    tokio::time::sleep(Duration::from_millis(25)).await;
    engine.set_frozen(true);
    let silent = BackendError::Silent { limit_ms: 3000 };
    assert_eq!(read(answer).await.1, Some(Err(silent.clone())));
    assert_eq!(engine.load().await, Err(silent));
    engine.set_frozen(false);
    assert!(engine.load().await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn call_waits_by_priority() {
    let settings = EngineSettings { places: 1, ..EngineSettings::default() };
    let engine = FakeEngine::new(1, settings);
    let first = engine.call(call("a", "first")).await.unwrap();
    tokio::time::sleep(Duration::from_millis(1)).await;
    let low = BackendCall { priority: Priority(9), ..call("b", "low") };
    let low = engine.call(low).await.unwrap();
    tokio::time::sleep(Duration::from_millis(1)).await;
    let high = BackendCall { priority: Priority(0), ..call("c", "high") };
    let high = engine.call(high).await.unwrap();
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(engine.load().await.unwrap().waiting, 2);
    read(first).await;
    read(high).await;
    assert_eq!(engine.runs_of_body(b"low").finished, 0);
    read(low).await;
    assert_eq!(engine.runs_of_body(b"low").finished, 1);
}

#[tokio::test(start_paused = true)]
async fn cancel_stops_call() {
    let engine = FakeEngine::new(1, EngineSettings::default());
    let answer = engine.call(call("a", "x")).await.unwrap();
    tokio::time::sleep(Duration::from_millis(25)).await;
    engine.cancel("a").await.unwrap();
    assert_eq!(read(answer).await.1, None);
    assert_eq!(engine.runs_of_call("a").cancelled, 1);
}

#[tokio::test(start_paused = true)]
async fn cache_events_late_and_with_gaps() {
    let settings =
        EngineSettings { cache_event_lag: Duration::from_secs(2), ..EngineSettings::default() };
    let engine = FakeEngine::new(1, settings);
    engine.lose_cache_events(1);
    read(engine.call(call("a", &"x".repeat(600))).await.unwrap()).await;
    assert!(engine.cache_events(0).await.unwrap().is_empty());
    tokio::time::sleep(Duration::from_secs(2)).await;
    let numbers: Vec<u64> =
        engine.cache_events(0).await.unwrap().iter().map(|event| event.number).collect();
    assert_eq!(numbers, [2]);
}

#[tokio::test(start_paused = true)]
async fn send_order_old_fence_by_policy() {
    for (policy, refused) in [(FencePolicy::Refuses, true), (FencePolicy::Ignores, false)] {
        let settings = EngineSettings { fence_policy: policy, ..EngineSettings::default() };
        let engine = FakeEngine::new(1, settings);
        engine.send_order(&order(5, OrderTarget::Resume)).await.unwrap();
        let late = engine.send_order(&order(4, OrderTarget::Hold { after_step: 9 })).await;
        assert_eq!(matches!(late, Err(OrderError::Stale { .. })), refused);
        let highest = engine.state().await.unwrap().highest_fence;
        assert_eq!(highest, refused.then_some(Fence(5)));
    }
}

// An order is lost, or its answer is, or the order takes effect a minute late.
#[tokio::test(start_paused = true)]
async fn send_order_lost_or_delayed() {
    let engine = FakeEngine::new(1, EngineSettings::default());
    engine.inject_order_fault(OrderFault::RequestLost);
    engine.inject_order_fault(OrderFault::AnswerLost);
    engine.inject_order_fault(OrderFault::Delayed(Duration::from_secs(60)));
    let held = |step| order(1, OrderTarget::Hold { after_step: step });
    assert!(engine.send_order(&held(1)).await.is_err());
    assert_eq!(engine.peek_state().held_after_step, None);
    assert!(engine.send_order(&held(2)).await.is_err());
    assert_eq!(engine.peek_state().held_after_step, Some(2));
    assert!(engine.send_order(&held(3)).await.is_err());
    assert_eq!(engine.peek_state().held_after_step, Some(2));
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(engine.peek_state().held_after_step, Some(3));
}

// A delayed order came on a connection to a process that has crashed since. It must not take effect
// in the restarted process.
#[tokio::test(start_paused = true)]
async fn send_order_delayed_lost_in_crash() {
    let engine = FakeEngine::new(1, EngineSettings::default());
    engine.inject_order_fault(OrderFault::Delayed(Duration::from_secs(60)));
    assert!(engine.send_order(&order(1, OrderTarget::Hold { after_step: 3 })).await.is_err());
    engine.crash();
    engine.restart();
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(engine.peek_state().held_after_step, None);
}

async fn switch(engine: &FakeEngine, version: u64, map: ExpertMap) {
    engine.send_order(&order(version, OrderTarget::StageMap { map: map.clone() })).await.unwrap();
    let target = OrderTarget::SwitchMap { map_version: version, map };
    engine.send_order(&order(version, target)).await.unwrap();
}

fn group(count: u64) -> RankGroup {
    RankGroup::new(
        (0..count).map(|rank| FakeEngine::new(rank, EngineSettings::default())).collect(),
    )
}

#[tokio::test(start_paused = true)]
async fn try_step_correct_switch_no_mismatch() {
    let group = group(4);
    assert!(group.try_step());
    for rank in group.ranks() {
        rank.send_order(&order(1, OrderTarget::Hold { after_step: 1 })).await.unwrap();
    }
    assert!(!group.try_step());
    for rank in group.ranks() {
        switch(rank, 1, map(1)).await;
    }
    for rank in group.ranks() {
        rank.send_order(&order(1, OrderTarget::Resume)).await.unwrap();
    }
    assert!(group.try_step());
    assert_eq!((group.map_mismatches().len(), group.stalled_steps()), (0, 1));
}

// One rank resumes with the old map. Tests of map switches rely on this check, so it must report
// the mismatch.
#[tokio::test(start_paused = true)]
async fn try_step_map_mismatch_reported() {
    let group = group(2);
    for rank in group.ranks() {
        rank.send_order(&order(1, OrderTarget::Hold { after_step: 0 })).await.unwrap();
    }
    switch(&group.ranks()[0], 1, map(1)).await;
    for rank in group.ranks() {
        rank.send_order(&order(1, OrderTarget::Resume)).await.unwrap();
    }
    assert!(group.try_step());
    assert_eq!(group.map_mismatches()[0].step, 1);
    assert_eq!(group.map_mismatches()[0].maps[0], (1, map_digest(&map(1))));
}

// Both ranks report the same map version, but the contents of their maps differ.
#[tokio::test(start_paused = true)]
async fn try_step_same_version_other_contents_reported() {
    let group = group(2);
    for (expert, rank) in (0..).zip(group.ranks()) {
        rank.send_order(&order(1, OrderTarget::Hold { after_step: 0 })).await.unwrap();
        switch(rank, 1, map(expert)).await;
        rank.send_order(&order(1, OrderTarget::Resume)).await.unwrap();
    }
    assert!(group.try_step());
    assert_eq!(group.map_mismatches().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn try_step_any_rank_not_ready_stalls() {
    let group = group(2);
    group.ranks()[1].set_frozen(true);
    assert!(!group.try_step());
    group.ranks()[1].set_frozen(false);
    group.ranks()[0].crash();
    assert!(!group.try_step());
    group.ranks()[0].restart();
    assert!(group.try_step());
}

// The service crashes after executing a call and before answering it, so the caller can't tell
// whether it ran.
#[tokio::test(start_paused = true)]
async fn service_crash_after_effect() {
    let service = FakeService::new(1);
    service.crash_after_effect(1);
    assert_eq!(service.call(call("a", "pay 5")).await.unwrap_err(), BackendError::Lost);
    assert_eq!(service.executions(b"pay 5"), 1);
    let (body, end) = read(service.call(call("a", "pay 5")).await.unwrap()).await;
    assert_eq!((body, end), (vec![FakeService::answer(b"pay 5", 2)], Some(Ok(()))));
}

// A slow service executes a call after its caller timed out.
#[tokio::test(start_paused = true)]
async fn service_slow_takes_effect_later() {
    let service = FakeService::new(1);
    service.set_delay(Duration::from_secs(10));
    let error = service.call(call("a", "pay 5")).await.unwrap_err();
    assert_eq!(error, BackendError::Silent { limit_ms: 3000 });
    assert_eq!(service.executions(b"pay 5"), 0);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(service.executions(b"pay 5"), 1);
}

#[tokio::test(start_paused = true)]
async fn vm_list_lags() {
    let vm = Vm {
        name: "runner-1".to_owned(),
        ip: "127.0.0.1".parse().unwrap(),
        data_centre: "a".to_owned(),
        state: VmState::Live,
    };
    let list = FakeVmList::new(vec![vm]);
    list.set_lag(Duration::from_secs(30));
    list.set_leaving("runner-1");
    assert_eq!(list.list().await.unwrap()[0].state, VmState::Live);
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(list.list().await.unwrap()[0].state, VmState::Leaving);
}

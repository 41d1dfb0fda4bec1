//! Writes of the group's record with lost or late answers.

use flamingowheel_backing::fake::{FakeKeyValue, LostAnswer};
use flamingowheel_backing::orders::ExpertMap;
use flamingowheel_group::record::{GroupRecord, Phase, RecordError, RecordStore, StoredRecord};
use std::sync::Arc;
use std::time::Duration;

async fn store(kv: &FakeKeyValue) -> (RecordStore, StoredRecord) {
    let records = RecordStore::new(Arc::new(kv.clone()), "g1");
    let first = records.create(GroupRecord::first(ExpertMap::default(), 2)).await.unwrap();
    (records, first)
}

/// The answer to a write is lost. If a write that took effect counted as failed, this coordinator
/// would roll a change back that all others read as committed.
#[tokio::test(start_paused = true)]
async fn replace_answer_lost() {
    for lost in [LostAnswer::AfterEffect, LostAnswer::BeforeEffect] {
        let kv = FakeKeyValue::new();
        let (records, first) = store(&kv).await;
        kv.lose_answers(1, lost);
        let second = records.replace(&first, first.record.settled()).await.unwrap();
        assert_eq!(records.read().await.unwrap(), second, "{lost:?}");
        assert!(second.revision > first.revision);
    }
}

/// Two coordinators write at the same time: the later write must fail with a conflict.
#[tokio::test(start_paused = true)]
async fn replace_conflict() {
    let kv = FakeKeyValue::new();
    let (records, first) = store(&kv).await;
    let second = records.replace(&first, first.record.settled()).await.unwrap();
    let late = records.replace(&first, first.record.pending(ExpertMap::default())).await;
    assert_eq!(late, Err(RecordError::Conflict));
    kv.lose_answers(1, LostAnswer::BeforeEffect);
    let late = records.replace(&first, first.record.pending(ExpertMap::default())).await;
    assert_eq!(late, Err(RecordError::Conflict));
    assert_eq!(records.read().await.unwrap(), second);
}

/// The service always answers later than its clients' timeout, so the outcome of the write is
/// unknown.
#[tokio::test(start_paused = true)]
async fn replace_outcome_unknown() {
    let kv = FakeKeyValue::new();
    let (records, first) = store(&kv).await;
    kv.set_delay(Duration::from_secs(5));
    let written = records.replace(&first, first.record.settled()).await;
    assert!(matches!(written, Err(RecordError::Unknown(_))), "{written:?}");
}

/// The service refuses the connection, so the write certainly did not take effect and the old
/// record stays valid.
#[tokio::test(start_paused = true)]
async fn replace_service_down() {
    let kv = FakeKeyValue::new();
    let (records, first) = store(&kv).await;
    kv.set_down(true);
    let written = records.replace(&first, first.record.settled()).await;
    assert!(matches!(written, Err(RecordError::NotWritten(_))), "{written:?}");
}

/// A change is rolled back and another begins. If both maps had the same version, a rank that still
/// uses the first would be taken for one that uses the second.
#[tokio::test(start_paused = true)]
async fn pending_version_never_used_twice() {
    let record = GroupRecord::first(ExpertMap::default(), 2);
    let dropped = record.pending(ExpertMap::default());
    let again = dropped.settled().pending(ExpertMap::default());
    let version = |record: &GroupRecord| match &record.phase {
        Phase::Pending { next } => next.version,
        _ => 0,
    };
    assert!(version(&again) > version(&dropped));
    assert_eq!(dropped.settled().in_force, record.in_force);
}

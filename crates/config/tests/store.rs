//! Changes written through the key-value service, with and without faults of the service.

use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::fake::{FakeKeyValue, LostAnswer};
use flamingowheel_backing::kv::{
    KeyValue, KeyValueError, LeaseId, MAX_VALUE_BYTES, Operation, Revision, Snapshot, Transaction,
    TransactionAnswer, Watch,
};
use flamingowheel_config::api::ChangeState;
use flamingowheel_config::apply::{Applied, ApplyError, ApplyRequest};
use flamingowheel_config::bucket::{CONFIG_PREFIX, FOLD_THRESHOLD, HEAD_KEY, LOG_SLOTS};
use flamingowheel_config::change::{Change, ChangeId, Origin};
use flamingowheel_config::document::parse;
use flamingowheel_config::effective::{ConfigRevision, EffectiveConfig};
use flamingowheel_config::replica::Replica;
use flamingowheel_config::store::{Store, StoreError};
use flamingowheel_config::token::TokenHash;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use uuid::Uuid;

const TEMPLATE: &str = "kind: template\nname: callbox\n";

type Fault = fn(&FakeKeyValue);

/// A key-value service that injects a fault before the next write.
struct FaultyKeyValue {
    kv: FakeKeyValue,
    fault: Mutex<Option<Fault>>,
}

impl KeyValue for FaultyKeyValue {
    fn transact(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'_, Result<TransactionAnswer, KeyValueError>> {
        let writes = |operation: &Operation| matches!(operation, Operation::Put { .. });
        if transaction.on_success.iter().any(writes)
            && let Some(inject) = self.fault.lock().unwrap().take()
        {
            inject(&self.kv);
        }
        self.kv.transact(transaction)
    }

    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Snapshot, KeyValueError>> {
        self.kv.range(prefix)
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, KeyValueError>> {
        self.kv.grant_lease(ttl)
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        self.kv.keep_alive(lease)
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        self.kv.revoke_lease(lease)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
    ) -> BoxFuture<'a, Result<Watch, KeyValueError>> {
        self.kv.watch(prefix, after)
    }
}

struct Operator {
    store: Store,
    replica: Replica,
}

impl Operator {
    fn new(kv: &FakeKeyValue) -> Self {
        Self { store: Store::new(Arc::new(kv.clone())), replica: Replica::default() }
    }

    /// An operator with the same replica, whose first write triggers `fault`.
    fn with_fault(&self, kv: &FakeKeyValue, fault: Fault) -> Self {
        let kv = FaultyKeyValue { kv: kv.clone(), fault: Mutex::new(Some(fault)) };
        Self { store: Store::new(Arc::new(kv)), replica: self.replica.clone() }
    }

    async fn apply(&mut self, text: &str) -> Result<Applied, ApplyError> {
        let seen = self.replica.revision();
        self.apply_with(text, seen, Uuid::new_v4()).await
    }

    async fn apply_with(
        &mut self,
        text: &str,
        seen: ConfigRevision,
        uuid: Uuid,
    ) -> Result<Applied, ApplyError> {
        let origin = Origin { operator: "ana".to_owned(), at_unix_ms: 1, comment: String::new() };
        let edits = parse(text).unwrap();
        let request = ApplyRequest { uuid, origin, edits, seen };
        self.store.apply(&mut self.replica, &request).await
    }

    async fn apply_accepted(&mut self, text: &str) -> Arc<Change> {
        match self.apply(text).await.unwrap() {
            Applied::Accepted(change) => change,
            Applied::Unchanged => panic!("the change made no difference"),
        }
    }
}

/// Loses the next answer and stops the service 100 ms later.
fn lose_answer_then_stop(kv: &FakeKeyValue, lost: LostAnswer) {
    kv.lose_answers(1, lost);
    let kv = kv.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        kv.set_down(true);
    });
}

fn workspace(name: &str, priority: u8) -> String {
    let hash = TokenHash::of(name.as_bytes());
    format!(
        "kind: workspace\nname: {name}\ntemplate: callbox\ntoken_sha256: [{hash}]\n\
         overrides: {{ priority: {priority} }}\n"
    )
}

fn priority(replica: &Replica, name: &str) -> Option<u8> {
    let effective = EffectiveConfig::new(replica.documents());
    effective.workspace(name).map(|workspace| workspace.parameters.priority)
}

#[tokio::test(start_paused = true)]
async fn apply_accepted_is_loaded_by_a_new_process() {
    let kv = FakeKeyValue::new();
    let mut operator = Operator::new(&kv);
    operator.apply_accepted(TEMPLATE).await;
    operator.apply_accepted(&workspace("bibb", 3)).await;
    let fresh = operator.store.load().await.unwrap();
    assert_eq!(fresh.documents(), operator.replica.documents());
    assert_eq!(fresh.history().count(), 2);
    assert_eq!(operator.apply(TEMPLATE).await, Ok(Applied::Unchanged));
}

#[tokio::test(start_paused = true)]
async fn apply_answer_lost_after_effect() {
    // The write takes effect but its answer is lost. If that counted as a failure, the operator
    // would be told "not accepted" while the fleet already applies the change.
    let kv = FakeKeyValue::new();
    let mut operator = Operator::new(&kv);
    operator.apply_accepted(TEMPLATE).await;
    let mut faulty = operator.with_fault(&kv, |kv| kv.lose_answers(2, LostAnswer::AfterEffect));
    let change = faulty.apply_accepted(&workspace("bibb", 3)).await;
    assert_eq!(change.revision(), ConfigRevision(2));
    assert_eq!(operator.store.head().await.unwrap().head.change, Some(change.id));
}

#[tokio::test(start_paused = true)]
async fn apply_write_takes_effect_after_the_timeout() {
    // The service is slower than the writer's timeout, so the write takes effect after the writer
    // gave up on it. The outcome must be "accepted" or "unknown", never "not accepted".
    let kv = FakeKeyValue::new();
    let mut operator = Operator::new(&kv);
    operator.apply_accepted(TEMPLATE).await;
    let mut faulty = operator.with_fault(&kv, |kv| kv.set_delay(Duration::from_millis(1_200)));
    let outcome = faulty.apply(&workspace("bibb", 3)).await;
    kv.set_delay(Duration::ZERO);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let head = operator.store.head().await.unwrap().head;
    match outcome {
        Ok(Applied::Accepted(change)) => assert_eq!(head.change, Some(change.id)),
        Err(ApplyError::Unknown { id, .. }) => {
            let state = operator.store.change_state(id).await.unwrap();
            assert_eq!(state, ChangeState::Accepted { revision: id.revision });
        }
        other => panic!("{other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn apply_outage_after_the_write_is_unknown_until_queried() {
    // The service stops right after the write was sent and stays down, so the outcome is unknown.
    // A later query by the change's id must return the final state, and the same state again.
    let faults: [(LostAnswer, Fault); 2] = [
        (LostAnswer::AfterEffect, |kv| lose_answer_then_stop(kv, LostAnswer::AfterEffect)),
        (LostAnswer::BeforeEffect, |kv| lose_answer_then_stop(kv, LostAnswer::BeforeEffect)),
    ];
    for (lost, fault) in faults {
        let kv = FakeKeyValue::new();
        let mut operator = Operator::new(&kv);
        operator.apply_accepted(TEMPLATE).await;
        let outcome = operator.with_fault(&kv, fault).apply(&workspace("bibb", 3)).await;
        let Err(ApplyError::Unknown { id, .. }) = outcome else { panic!("{lost:?} {outcome:?}") };
        kv.set_down(false);
        let expected = match lost {
            LostAnswer::AfterEffect => ChangeState::Accepted { revision: id.revision },
            LostAnswer::BeforeEffect => ChangeState::NotAccepted,
        };
        for _ in 0..2 {
            assert_eq!(operator.store.change_state(id).await, Ok(expected));
        }
        let fresh = operator.store.load().await.unwrap();
        let found = priority(&fresh, "bibb").is_some();
        assert_eq!(found, lost == LostAnswer::AfterEffect);
    }
}

#[tokio::test(start_paused = true)]
async fn change_state_voids_a_delayed_write() {
    // A copy of the write is delayed by the network and arrives after a query for the change's
    // state returned "not accepted". It must have no effect.
    let kv = FakeKeyValue::new();
    let mut operator = Operator::new(&kv);
    operator.apply_accepted(TEMPLATE).await;
    let mut late = operator.with_fault(&kv, |kv| kv.set_delay(Duration::from_secs(60)));
    let outcome = late.apply(&workspace("bibb", 3)).await;
    let Err(ApplyError::Unknown { id, .. }) = outcome else { panic!("{outcome:?}") };
    kv.set_delay(Duration::ZERO);
    assert_eq!(late.store.change_state(id).await, Ok(ChangeState::NotAccepted));
    tokio::time::sleep(Duration::from_secs(120)).await;
    assert_eq!(late.store.change_state(id).await, Ok(ChangeState::NotAccepted));
    assert_eq!(priority(&late.store.load().await.unwrap(), "bibb"), None);
}

#[tokio::test(start_paused = true)]
async fn apply_voided_while_it_is_retried() {
    // The tool queries the outcome while the entry still retries the write, and is told "not
    // accepted". The entry's retry must not get the change accepted after that.
    let kv = FakeKeyValue::new();
    let mut operator = Operator::new(&kv);
    operator.apply_accepted(TEMPLATE).await;
    let (uuid, seen) = (Uuid::new_v4(), operator.replica.revision());
    let mut faulty = operator.with_fault(&kv, |kv| kv.lose_answers(1, LostAnswer::BeforeEffect));
    let text = workspace("bibb", 3);
    let applying = faulty.apply_with(&text, seen, uuid);
    let querying = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let id = ChangeId { revision: seen.next(), uuid };
        operator.store.change_state(id).await
    };
    let (applied, state) = tokio::join!(applying, querying);
    assert_eq!(state, Ok(ChangeState::NotAccepted));
    assert_eq!(applied, Err(ApplyError::Voided));
    assert_eq!(priority(&operator.store.load().await.unwrap(), "bibb"), None);
}

#[tokio::test(start_paused = true)]
async fn apply_concurrent_edits_conflict() {
    // Two operators read the same revision and change the same workspace through different
    // entries. Without the check the later change would silently overwrite the earlier one.
    let kv = FakeKeyValue::new();
    let mut ana = Operator::new(&kv);
    ana.apply_accepted(&format!("{TEMPLATE}---\n{}", workspace("bibb", 3))).await;
    let mut ben = Operator::new(&kv);
    ben.replica = ana.store.load().await.unwrap();
    let first = ana.apply_accepted(&workspace("bibb", 4)).await;
    let Err(ApplyError::Conflict(conflicts)) = ben.apply(&workspace("bibb", 5)).await else {
        panic!("no conflict")
    };
    assert_eq!((conflicts[0].name.as_str(), conflicts[0].change), ("bibb", Some(first.id)));
    let differs = conflicts[0].differs.clone().unwrap().fields;
    assert_eq!(differs[0].field, "overrides.priority");
    assert_eq!((&differs[0].before, &differs[0].after), (&Some(4.into()), &Some(5.into())));
    // The refused attempt brought ben's replica up to date, so a second attempt is accepted.
    // Changes to other workspaces don't conflict.
    ana.apply_accepted(&workspace("jones", 1)).await;
    assert!(matches!(ben.apply(&workspace("bibb", 5)).await, Ok(Applied::Accepted(_))));
}

#[tokio::test(start_paused = true)]
async fn apply_concurrent_removal_of_the_template() {
    // One operator removes a template while another creates its first workspace. The workspace must
    // be refused, or it would be without a template.
    let kv = FakeKeyValue::new();
    let mut ana = Operator::new(&kv);
    ana.apply_accepted(TEMPLATE).await;
    let mut ben = Operator::new(&kv);
    ben.replica = ana.store.load().await.unwrap();
    ana.apply_accepted("kind: remove\ntemplate: callbox\n").await;
    let refused = ben.apply(&workspace("bibb", 5)).await;
    assert!(matches!(refused, Err(ApplyError::Invalid(_))), "{refused:?}");
}

#[tokio::test(start_paused = true)]
async fn apply_concurrent_changes_are_all_accepted() {
    let kv = FakeKeyValue::new();
    Operator::new(&kv).apply_accepted(TEMPLATE).await;
    kv.set_delay(Duration::from_millis(3));
    let tasks: Vec<_> = (0..8)
        .map(|number| {
            let kv = kv.clone();
            tokio::spawn(async move {
                Operator::new(&kv)
                    .apply_accepted(&workspace(&format!("w{number}"), 1))
                    .await
                    .revision()
            })
        })
        .collect();
    let mut revisions = Vec::new();
    for task in tasks {
        revisions.push(task.await.unwrap().0);
    }
    revisions.sort_unstable();
    assert_eq!(revisions, (2..=9).collect::<Vec<_>>());
}

#[tokio::test(start_paused = true)]
async fn apply_retried_request_is_accepted_once() {
    // The operator's connection breaks before the answer, and the tool sends the same request to
    // another entry. In between another change wrote the workspace. The retry must not revert it.
    let kv = FakeKeyValue::new();
    let mut ana = Operator::new(&kv);
    ana.apply_accepted(TEMPLATE).await;
    let (seen, uuid) = (ana.replica.revision(), Uuid::new_v4());
    let first = ana.apply_with(&workspace("bibb", 3), seen, uuid).await.unwrap();
    ana.apply_accepted(&workspace("bibb", 4)).await;
    let mut other = Operator::new(&kv);
    assert_eq!(other.apply_with(&workspace("bibb", 3), seen, uuid).await, Ok(first));
    assert_eq!(priority(&other.replica, "bibb"), Some(4));
}

#[tokio::test(start_paused = true)]
async fn fold_loses_nothing_when_slots_are_reused() {
    // The log is a ring. If a slot were reused before its change is folded into the buckets, every
    // process that starts later would miss an accepted change.
    let kv = FakeKeyValue::new();
    let mut operator = Operator::new(&kv);
    operator.apply_accepted(TEMPLATE).await;
    for number in 0..(2 * LOG_SLOTS + 100) {
        let name = format!("w{}", number % 90);
        if number % 7 == 3 && operator.replica.documents().workspaces.contains_key(&name) {
            operator.apply_accepted(&format!("kind: remove\nworkspace: {name}\n")).await;
        } else if priority(&operator.replica, &name) != Some((number / 90 % 10) as u8) {
            operator.apply_accepted(&workspace(&name, (number / 90 % 10) as u8)).await;
        }
        if number % 50 == 0 {
            let fresh = operator.store.load().await.unwrap();
            assert_eq!(fresh.documents(), operator.replica.documents());
        }
        operator.store.fold_if_due(&mut operator.replica).await.unwrap();
    }
    let current = operator.store.head().await.unwrap();
    assert!(
        current.head.revision.0 > 2 * LOG_SLOTS
            && current.head.revision.0 - current.head.folded.0 <= FOLD_THRESHOLD
    );
    let largest = kv.peek(CONFIG_PREFIX).entries.iter().map(|entry| entry.value.len()).max();
    assert!(largest.unwrap() <= MAX_VALUE_BYTES);
    assert_eq!(operator.store.load().await.unwrap().documents(), operator.replica.documents());
}

#[tokio::test(start_paused = true)]
async fn fold_missed_does_not_block_changes() {
    // The processes that accept changes stop before they fold, so the ring fills up. A change that
    // finds the ring full must fold the log first.
    let kv = FakeKeyValue::new();
    let mut operator = Operator::new(&kv);
    operator.apply_accepted(TEMPLATE).await;
    for number in 0..LOG_SLOTS + 3 {
        operator.apply_accepted(&workspace("bibb", (number % 2) as u8)).await;
    }
    assert_eq!(operator.store.load().await.unwrap().documents(), operator.replica.documents());
}

#[tokio::test(start_paused = true)]
async fn fold_paused_process_reverts_nothing() {
    // A process is paused while folding and resumes after others folded further. Its bucket is
    // older than the stored one; writing it would revert accepted changes.
    let kv = FakeKeyValue::new();
    let mut paused = Operator::new(&kv);
    paused.apply_accepted(TEMPLATE).await;
    paused.store.fold(&mut paused.replica).await.unwrap();
    paused.apply_accepted(&workspace("bibb", 1)).await;
    let mut faulty = paused.with_fault(&kv, |kv| kv.set_delay(Duration::from_secs(60)));
    assert!(faulty.store.fold(&mut faulty.replica).await.is_err());
    kv.set_delay(Duration::ZERO);
    let mut other = Operator::new(&kv);
    other.replica = other.store.load().await.unwrap();
    other.apply_accepted(&workspace("bibb", 7)).await;
    // Fill the ring, so that only the bucket still holds the change of `bibb`.
    for number in 0..LOG_SLOTS {
        other.apply_accepted(&workspace("jones", (number % 2) as u8)).await;
        other.store.fold_if_due(&mut other.replica).await.unwrap();
    }
    tokio::time::sleep(Duration::from_secs(120)).await;
    assert_eq!(priority(&other.store.load().await.unwrap(), "bibb"), Some(7));
}

#[tokio::test(start_paused = true)]
async fn apply_oversized_change() {
    let kv = FakeKeyValue::new();
    let mut operator = Operator::new(&kv);
    operator.apply_accepted(TEMPLATE).await;
    let adapters = (0..2_500).map(|number| format!("adapter-with-a-long-name-{number:036}"));
    let adapters = adapters.collect::<Vec<_>>().join(", ");
    // Each template fits into a change, but all templates share one bucket.
    for number in 0..8 {
        let text = format!(
            "kind: template\nname: t{number}\nparameters: {{ models: {{ m: {{ adapters: [{adapters}] }} }} }}\n"
        );
        match operator.apply(&text).await {
            Ok(Applied::Accepted(_)) => {}
            Err(ApplyError::TooLarge(_)) if number > 2 => return,
            other => panic!("{number}: {other:?}"),
        }
    }
    panic!("a bucket beyond the service's limit was accepted");
}

#[tokio::test(start_paused = true)]
async fn apply_service_restored_from_an_old_backup() {
    // The service loses accepted changes. A process that followed it would revert them, and one
    // that wrote to it would create a second, diverging history.
    let kv = FakeKeyValue::new();
    let mut operator = Operator::new(&kv);
    operator.apply_accepted(TEMPLATE).await;
    operator.apply_accepted(&workspace("bibb", 3)).await;
    let delete = Operation::Delete { key: HEAD_KEY.to_owned() };
    let transaction = Transaction { on_success: vec![delete], ..Transaction::default() };
    kv.transact(transaction).await.unwrap();
    let refused = operator.apply(&workspace("bibb", 4)).await;
    assert!(
        matches!(refused, Err(ApplyError::Store(StoreError::ServiceBehind { .. }))),
        "{refused:?}"
    );
    assert_eq!(priority(&operator.replica, "bibb"), Some(3));
}

//! Random changes by several operators under random faults of the key-value service. A process that
//! loads the configuration afterwards must find exactly what was reported to the operators.

use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_backing::kv::{
    KeyValue, KeyValueError, LeaseId, Operation, Revision, Snapshot, Transaction,
    TransactionAnswer, Watch,
};
use flamingowheel_config::api::ChangeState;
use flamingowheel_config::apply::{Applied, ApplyError, ApplyRequest};
use flamingowheel_config::change::{ChangeId, Origin};
use flamingowheel_config::document::{Edit, parse};
use flamingowheel_config::effective::ConfigRevision;
use flamingowheel_config::replica::Replica;
use flamingowheel_config::store::Store;
use flamingowheel_config::template::Limits;
use flamingowheel_config::token::TokenHash;
use flamingowheel_config::workspace::{Overrides, Workspace};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;
use uuid::Uuid;

const OPERATORS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    /// Operators change these workspaces concurrently, one each.
    Apply(Vec<u8>),
    /// The process of this operator folds the log.
    Fold(usize),
    /// The next writes are subject to these faults, one each.
    InjectFaults(Vec<WriteFault>),
    /// The service is down after the first time, for the second, both in milliseconds.
    Outage(u64, u64),
    /// The states of all changes with an unknown outcome are queried.
    QueryUnknown,
}

/// A fault of one write. In each case the sender gets a timeout instead of an answer.
#[derive(Clone, Copy, Debug)]
enum WriteFault {
    /// The write takes effect.
    AnswerLost,
    /// The write never arrives.
    WriteLost,
    /// The write arrives after this time, in milliseconds.
    Delayed(u64),
}

/// A key-value service that injects faults into writes.
struct FaultyKeyValue {
    kv: FakeKeyValue,
    faults: Mutex<VecDeque<WriteFault>>,
}

impl FaultyKeyValue {
    fn next_fault(&self, transaction: &Transaction) -> Option<WriteFault> {
        let writes = |operation: &Operation| matches!(operation, Operation::Put { .. });
        let is_write = transaction.on_success.iter().any(writes);
        if is_write { self.faults.lock().unwrap().pop_front() } else { None }
    }
}

impl KeyValue for FaultyKeyValue {
    fn transact(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'_, Result<TransactionAnswer, KeyValueError>> {
        const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
        Box::pin(async move {
            match self.next_fault(&transaction) {
                None => return self.kv.transact(transaction).await,
                Some(WriteFault::AnswerLost) => {
                    let _ = self.kv.transact(transaction).await;
                }
                Some(WriteFault::WriteLost) => {}
                Some(WriteFault::Delayed(delay_ms)) => {
                    let kv = self.kv.clone();
                    tokio::spawn(async move {
                        sleep(Duration::from_millis(delay_ms)).await;
                        let _ = kv.transact(transaction).await;
                    });
                }
            }
            sleep(ANSWER_TIMEOUT).await;
            Err(KeyValueError::NoAnswer { limit_ms: 500 })
        })
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

fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        Just(WriteFault::AnswerLost),
        Just(WriteFault::WriteLost),
        (1..60_000_u64).prop_map(WriteFault::Delayed),
    ];
    prop_oneof![
        6 => prop::collection::vec(0..4_u8, 1..=OPERATORS).prop_map(Step::Apply),
        1 => (0..OPERATORS).prop_map(Step::Fold),
        3 => prop::collection::vec(fault, 1..20).prop_map(Step::InjectFaults),
        2 => (0..200_u64, 1..12_000_u64).prop_map(|(after, duration)| Step::Outage(after, duration)),
        3 => Just(Step::QueryUnknown),
    ]
}

/// The outcomes that were reported to operators. Each change is given by the number of the
/// workspace and its value.
#[derive(Default)]
struct ReportedOutcomes {
    accepted: BTreeMap<ConfigRevision, (u8, u32)>,
    unknown: Vec<(ChangeId, u8, u32)>,
    not_accepted: Vec<ChangeId>,
}

impl ReportedOutcomes {
    fn record_accepted(&mut self, revision: ConfigRevision, name: u8, value: u32) {
        let earlier = self.accepted.insert(revision, (name, value));
        assert!(
            earlier.is_none_or(|earlier| earlier == (name, value)),
            "{revision:?} reported for two changes"
        );
    }

    /// Queries the states of the changes whose outcomes are unknown.
    async fn resolve_unknown(&mut self, store: &Store) {
        let mut unresolved = Vec::new();
        for (id, name, value) in std::mem::take(&mut self.unknown) {
            match store.change_state(id).await {
                Ok(ChangeState::Accepted { revision }) => {
                    self.record_accepted(revision, name, value)
                }
                Ok(ChangeState::NotAccepted) => self.not_accepted.push(id),
                Ok(ChangeState::Unknown) | Err(_) => unresolved.push((id, name, value)),
            }
        }
        self.unknown = unresolved;
    }
}

fn edit(name: u8, value: u32) -> Edit {
    let name = format!("w{name}");
    let limits = Limits { in_flight: Some(value), ..Limits::default() };
    Edit::PutWorkspace(Workspace {
        token_sha256: vec![TokenHash::of(name.as_bytes())],
        name,
        template: "callbox".to_owned(),
        overrides: Overrides { limits: Some(limits), ..Overrides::default() },
    })
}

async fn apply(
    store: Store,
    mut replica: Replica,
    edits: Vec<Edit>,
) -> (Replica, Result<Applied, ApplyError>) {
    let origin = Origin { operator: "ana".to_owned(), at_unix_ms: 0, comment: String::new() };
    let seen = replica.revision();
    let request = ApplyRequest { uuid: Uuid::new_v4(), origin, edits, seen };
    let applied = store.apply(&mut replica, &request).await;
    (replica, applied)
}

/// A key-value service, the operators' replicas, and the outcomes reported to them.
struct Run {
    kv: FakeKeyValue,
    faulty: Arc<FaultyKeyValue>,
    store: Store,
    replicas: Vec<Replica>,
    reported: ReportedOutcomes,
    /// The last value that was written; each change writes a new one.
    last_value: u32,
}

impl Run {
    async fn start() -> Self {
        let kv = FakeKeyValue::new();
        let faulty = Arc::new(FaultyKeyValue { kv: kv.clone(), faults: Mutex::default() });
        let store = Store::new(Arc::clone(&faulty) as Arc<dyn KeyValue>);
        let template = parse("kind: template\nname: callbox\n").unwrap();
        let (first, applied) = apply(store.clone(), Replica::default(), template).await;
        applied.unwrap();
        Self {
            kv,
            faulty,
            store,
            replicas: vec![first; OPERATORS],
            reported: ReportedOutcomes::default(),
            last_value: 0,
        }
    }

    async fn step(&mut self, step: Step) {
        match step {
            Step::Apply(names) => self.apply(names).await,
            Step::Fold(number) => {
                // A fold that fails half-way must have no effect on the documents.
                let _ = self.store.fold(&mut self.replicas[number]).await;
            }
            Step::InjectFaults(faults) => self.faulty.faults.lock().unwrap().extend(faults),
            Step::Outage(after_ms, duration_ms) => {
                let kv = self.kv.clone();
                tokio::spawn(async move {
                    sleep(Duration::from_millis(after_ms)).await;
                    kv.set_down(true);
                    sleep(Duration::from_millis(duration_ms)).await;
                    kv.set_down(false);
                });
            }
            Step::QueryUnknown => self.reported.resolve_unknown(&self.store).await,
        }
    }

    async fn apply(&mut self, names: Vec<u8>) {
        let mut tasks = Vec::new();
        for (number, name) in names.into_iter().enumerate() {
            self.last_value += 1;
            let edits = vec![edit(name, self.last_value)];
            let applying = apply(self.store.clone(), self.replicas[number].clone(), edits);
            tasks.push((number, name, self.last_value, tokio::spawn(applying)));
        }
        for (number, name, value, task) in tasks {
            let (replica, applied) = task.await.unwrap();
            assert!(replica.revision() >= self.replicas[number].revision());
            self.replicas[number].replace_if_newer(replica);
            match applied {
                Ok(Applied::Accepted(change)) => {
                    self.reported.record_accepted(change.revision(), name, value)
                }
                Ok(Applied::Unchanged) => panic!("a new value was reported as unchanged"),
                Err(ApplyError::Unknown { id, .. }) => {
                    self.reported.unknown.push((id, name, value))
                }
                Err(_) => {}
            }
        }
    }

    /// Ends all faults, resolves unknown outcomes and compares.
    async fn finish(mut self) {
        sleep(Duration::from_secs(30)).await;
        self.kv.set_down(false);
        self.faulty.faults.lock().unwrap().clear();
        self.reported.resolve_unknown(&self.store).await;
        assert!(self.reported.unknown.is_empty(), "{:?}", self.reported.unknown);
        // All delayed writes arrive.
        sleep(Duration::from_secs(60)).await;
        for id in &self.reported.not_accepted {
            assert_eq!(self.store.change_state(*id).await, Ok(ChangeState::NotAccepted));
        }
        self.compare().await;
    }

    async fn compare(&self) {
        let accepted = self.reported.accepted.values();
        let expected: BTreeMap<_, _> =
            accepted.map(|(name, value)| (format!("w{name}"), Some(*value))).collect();
        let fresh = self.store.load().await.unwrap();
        let found = fresh.documents().workspaces.iter().map(|(name, stored)| {
            let limits = stored.document.overrides.limits.as_ref();
            (name.clone(), limits.and_then(|limits| limits.in_flight))
        });
        assert_eq!(found.collect::<BTreeMap<_, _>>(), expected);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Under any combination and order of faults, no operator may be told a wrong outcome.
    #[test]
    fn apply_reports_true_outcomes(steps in prop::collection::vec(step(), 1..24)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(async {
            let mut run = Run::start().await;
            for step in steps {
                run.step(step).await;
            }
            run.finish().await;
        });
    }
}

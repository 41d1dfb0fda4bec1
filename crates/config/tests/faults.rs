//! Random changes by several operators under random faults of the key-value service, against a
//! simple oracle: what was told to the operators is what a fresh process finds.

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
    /// Operators change these workspaces at the same moment.
    Apply(Vec<u8>),
    Fold(usize),
    /// The next writes meet these faults, one each.
    Strike(Vec<WriteFault>),
    /// The service goes away after the first time, for the second, in milliseconds.
    Outage(u64, u64),
    /// Somebody asks for the outcome of a change while it is still open.
    Ask,
}

/// What happens to one write. Its sender is told each time that no answer came.
#[derive(Clone, Copy, Debug)]
enum WriteFault {
    /// It takes effect.
    AnswerLost,
    /// It never arrives.
    Lost,
    /// It arrives after this time, in milliseconds.
    Late(u64),
}

/// A key-value service whose writes meet faults.
struct StruckWrites {
    kv: FakeKeyValue,
    faults: Mutex<VecDeque<WriteFault>>,
}

impl StruckWrites {
    fn next_fault(&self, transaction: &Transaction) -> Option<WriteFault> {
        let writes = |operation: &Operation| matches!(operation, Operation::Put { .. });
        let is_write = transaction.on_success.iter().any(writes);
        if is_write { self.faults.lock().unwrap().pop_front() } else { None }
    }
}

impl KeyValue for StruckWrites {
    fn transact(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'_, Result<TransactionAnswer, KeyValueError>> {
        const ANSWER_LIMIT: Duration = Duration::from_millis(500);
        Box::pin(async move {
            match self.next_fault(&transaction) {
                None => return self.kv.transact(transaction).await,
                Some(WriteFault::AnswerLost) => {
                    let _ = self.kv.transact(transaction).await;
                }
                Some(WriteFault::Lost) => {}
                Some(WriteFault::Late(late_ms)) => {
                    let kv = self.kv.clone();
                    tokio::spawn(async move {
                        sleep(Duration::from_millis(late_ms)).await;
                        let _ = kv.transact(transaction).await;
                    });
                }
            }
            sleep(ANSWER_LIMIT).await;
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
        Just(WriteFault::Lost),
        (1..60_000_u64).prop_map(WriteFault::Late),
    ];
    prop_oneof![
        6 => prop::collection::vec(0..4_u8, 1..=OPERATORS).prop_map(Step::Apply),
        1 => (0..OPERATORS).prop_map(Step::Fold),
        3 => prop::collection::vec(fault, 1..20).prop_map(Step::Strike),
        2 => (0..200_u64, 1..12_000_u64).prop_map(|(after, long)| Step::Outage(after, long)),
        3 => Just(Step::Ask),
    ]
}

/// What operators were told.
#[derive(Default)]
struct Told {
    accepted: BTreeMap<ConfigRevision, (u8, u32)>,
    unknown: Vec<(ChangeId, u8, u32)>,
    not_accepted: Vec<ChangeId>,
}

impl Told {
    fn accept(&mut self, revision: ConfigRevision, name: u8, value: u32) {
        let earlier = self.accepted.insert(revision, (name, value));
        assert!(earlier.is_none_or(|earlier| earlier == (name, value)), "{revision:?} given twice");
    }

    async fn resolve(&mut self, store: &Store) {
        let mut left = Vec::new();
        for (id, name, value) in std::mem::take(&mut self.unknown) {
            match store.change_state(id).await {
                Ok(ChangeState::Accepted { revision }) => self.accept(revision, name, value),
                Ok(ChangeState::NotAccepted) => self.not_accepted.push(id),
                Ok(ChangeState::Unknown) | Err(_) => left.push((id, name, value)),
            }
        }
        self.unknown = left;
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

/// A service, the operators' replicas of it, and what they were told.
struct Run {
    kv: FakeKeyValue,
    struck: Arc<StruckWrites>,
    store: Store,
    replicas: Vec<Replica>,
    told: Told,
    value: u32,
}

impl Run {
    async fn start() -> Self {
        let kv = FakeKeyValue::new();
        let struck = Arc::new(StruckWrites { kv: kv.clone(), faults: Mutex::default() });
        let store = Store::new(Arc::clone(&struck) as Arc<dyn KeyValue>);
        let template = parse("kind: template\nname: callbox\n").unwrap();
        let (first, applied) = apply(store.clone(), Replica::default(), template).await;
        applied.unwrap();
        Self {
            kv,
            struck,
            store,
            replicas: vec![first; OPERATORS],
            told: Told::default(),
            value: 0,
        }
    }

    async fn step(&mut self, step: Step) {
        match step {
            Step::Apply(names) => self.apply(names).await,
            Step::Fold(number) => {
                // It may fail half-way; that must not matter.
                let _ = self.store.fold(&mut self.replicas[number]).await;
            }
            Step::Strike(faults) => self.struck.faults.lock().unwrap().extend(faults),
            Step::Outage(after_ms, long_ms) => {
                let kv = self.kv.clone();
                tokio::spawn(async move {
                    sleep(Duration::from_millis(after_ms)).await;
                    kv.set_down(true);
                    sleep(Duration::from_millis(long_ms)).await;
                    kv.set_down(false);
                });
            }
            Step::Ask => self.told.resolve(&self.store).await,
        }
    }

    async fn apply(&mut self, names: Vec<u8>) {
        let mut tasks = Vec::new();
        for (number, name) in names.into_iter().enumerate() {
            self.value += 1;
            let edits = vec![edit(name, self.value)];
            let applying = apply(self.store.clone(), self.replicas[number].clone(), edits);
            tasks.push((number, name, self.value, tokio::spawn(applying)));
        }
        for (number, name, value, task) in tasks {
            let (replica, applied) = task.await.unwrap();
            assert!(replica.revision() >= self.replicas[number].revision());
            self.replicas[number].replace_if_newer(replica);
            match applied {
                Ok(Applied::Accepted(change)) => self.told.accept(change.revision(), name, value),
                Ok(Applied::Unchanged) => panic!("each value is new"),
                Err(ApplyError::Unknown { id, .. }) => self.told.unknown.push((id, name, value)),
                Err(_) => {}
            }
        }
    }

    /// Ends all faults, then compares.
    async fn settle(mut self) {
        sleep(Duration::from_secs(30)).await;
        self.kv.set_down(false);
        self.struck.faults.lock().unwrap().clear();
        self.told.resolve(&self.store).await;
        assert!(self.told.unknown.is_empty(), "{:?}", self.told.unknown);
        // Whatever is still on its way arrives.
        sleep(Duration::from_secs(60)).await;
        for id in &self.told.not_accepted {
            assert_eq!(self.store.change_state(*id).await, Ok(ChangeState::NotAccepted));
        }
        self.compare().await;
    }

    async fn compare(&self) {
        let told = self.told.accepted.values();
        let expected: BTreeMap<_, _> =
            told.map(|(name, value)| (format!("w{name}"), Some(*value))).collect();
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

    // Whatever fails, and in whatever order, an operator is never told something that is not so.
    #[test]
    fn apply_tells_the_truth(steps in prop::collection::vec(step(), 1..24)) {
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
            run.settle().await;
        });
    }
}

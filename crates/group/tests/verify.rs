//! Verification of ranks: a confirmed order does not prove the rank's state afterwards.

use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_backing::kv::KeyValue;
use flamingowheel_backing::orders::{EngineState, ExpertMap, Fence, OrderTarget};
use flamingowheel_group::align::{Alignment, align};
use flamingowheel_group::intake::IntakeState;
use flamingowheel_group::lease::{Lease, Leases};
use flamingowheel_group::message::{RankError, RankRequest, RankState};
use flamingowheel_group::ranks::Ranks;
use flamingowheel_group::record::{GroupRecord, Phase, RecordStore};
use flamingowheel_group::session::{GroupError, Session, Timing};
use flamingowheel_group::switch::Switch;
use std::sync::{Arc, Mutex};

/// Ranks that are held and confirm every order. If `loses_map` is set, the last one loses its map
/// right after confirming it.
#[derive(Default)]
struct FakeRanks {
    loses_map: bool,
    resumed_under: Mutex<Fence>,
}

const RANKS: usize = 2;

impl Ranks for FakeRanks {
    fn count(&self) -> usize {
        RANKS
    }

    fn call(
        &self,
        rank: usize,
        request: RankRequest,
    ) -> BoxFuture<'_, Result<RankState, RankError>> {
        if request.target == Some(OrderTarget::Resume) {
            *self.resumed_under.lock().unwrap() = request.fence;
        }
        let ordered = matches!(request.target, Some(OrderTarget::SwitchMap { .. }));
        let has_lost_map = self.loses_map && rank == RANKS - 1 && !ordered;
        let engine = EngineState {
            map_version: u64::from(!has_lost_map),
            held_after_step: Some(0),
            ..EngineState::default()
        };
        Box::pin(async move {
            Ok(RankState {
                incarnation: 1,
                engine,
                unresolved: false,
                work: IntakeState::default(),
            })
        })
    }
}

fn session<'a, Transport>(
    ranks: &'a Transport,
    records: &'a RecordStore,
    lease: &'a Lease,
    timing: &'a Timing,
) -> Session<'a, Transport> {
    Session { ranks, records, lease, timing, load_limiter: None, may_load: true }
}

async fn read_back(ranks: FakeRanks) -> Result<(), GroupError> {
    let kv: Arc<dyn KeyValue> = Arc::new(FakeKeyValue::new());
    let records = RecordStore::new(Arc::clone(&kv), "g1");
    let stored = records.create(GroupRecord::first(ExpertMap::default(), RANKS)).await.unwrap();
    let timing = Timing::default();
    let lease =
        Leases::new(Arc::clone(&kv), timing.lease_ttl).acquire("g1").await.unwrap().unwrap();
    let session = session(&ranks, &records, &lease, &timing);
    let held = Switch::recover(&session, stored).await.unwrap();
    let switched = held.switch().await.unwrap();
    switched.read_back().await.map(drop).map_err(|failure| failure.error)
}

/// An engine confirms the switch and crashes right after. A coordinator that relied on the answer
/// would resume the group while one rank has no map.
#[tokio::test(start_paused = true)]
async fn read_back_rank_lost_map() {
    assert_eq!(read_back(FakeRanks::default()).await, Ok(()));
    let error = RankError::WrongVersion { version: 0 };
    let expected = GroupError::Rank { rank: RANKS - 1, error };
    assert_eq!(
        read_back(FakeRanks { loses_map: true, ..FakeRanks::default() }).await,
        Err(expected)
    );
}

type Call<'a> = BoxFuture<'a, Result<RankState, RankError>>;

/// Ranks whose answers are computed by a function.
struct RanksFn<Answer>(Answer);

impl<Answer> Ranks for RanksFn<Answer>
where
    Answer: Fn(usize, &RankRequest) -> Result<RankState, RankError> + Send + Sync + 'static,
{
    fn count(&self) -> usize {
        RANKS
    }

    fn call(&self, rank: usize, request: RankRequest) -> Call<'_> {
        let answer = (self.0)(rank, &request);
        Box::pin(async move { answer })
    }
}

/// One rank can't be reached, and another has lost its map and is not held. Unless the latter is
/// held, the group would run a step with two maps when the first comes back.
#[tokio::test(start_paused = true)]
async fn align_stops_rank_without_map() {
    let kv: Arc<dyn KeyValue> = Arc::new(FakeKeyValue::new());
    let records = RecordStore::new(Arc::clone(&kv), "g1");
    let stored = records.create(GroupRecord::first(ExpertMap::default(), RANKS)).await.unwrap();
    let timing = Timing::default();
    let lease =
        Leases::new(Arc::clone(&kv), timing.lease_ttl).acquire("g1").await.unwrap().unwrap();
    let held = Arc::new(Mutex::new(false));
    let holding = Arc::clone(&held);
    // The first rank does not answer and the second steps without a map.
    let ranks = RanksFn(move |rank, request: &RankRequest| {
        if rank == 0 {
            return Err(RankError::NoAnswer);
        }
        let mut held = holding.lock().unwrap();
        *held |= request.target == Some(OrderTarget::Hold { after_step: 5 });
        let held_after_step = held.then_some(5);
        let engine = EngineState { step: 5, held_after_step, ..EngineState::default() };
        Ok(RankState { incarnation: 1, engine, unresolved: false, work: IntakeState::default() })
    });
    let session = session(&ranks, &records, &lease, &timing);
    let (_, result) = align(&session, stored).await;
    assert!(matches!(result, Ok(Alignment::Waiting { held: true, .. })), "{result:?}");
    assert!(*held.lock().unwrap());
}

async fn reopened_ranks(phase: Phase) -> Vec<usize> {
    let kv: Arc<dyn KeyValue> = Arc::new(FakeKeyValue::new());
    let records = RecordStore::new(Arc::clone(&kv), "g1");
    let first = GroupRecord::first(ExpertMap::default(), RANKS);
    let stored = records.create(GroupRecord { phase, ..first }).await.unwrap();
    let timing = Timing::default();
    let lease =
        Leases::new(Arc::clone(&kv), timing.lease_ttl).acquire("g1").await.unwrap().unwrap();
    let opened = Arc::new(Mutex::new(Vec::new()));
    let recorded = Arc::clone(&opened);
    // All ranks step with the map in force; the first does not answer, the others are closed.
    let ranks = RanksFn(move |rank, request: &RankRequest| {
        if rank == 0 {
            return Err(RankError::NoAnswer);
        }
        if request.open == Some(true) {
            recorded.lock().unwrap().push(rank);
        }
        let engine = EngineState { map_version: 1, ..EngineState::default() };
        let work = IntakeState { is_open: false, in_progress: 0 };
        Ok(RankState { incarnation: 1, engine, unresolved: false, work })
    });
    let (_, result) = align(&session(&ranks, &records, &lease, &timing), stored).await;
    assert!(matches!(result, Ok(Alignment::Waiting { held: false, .. })), "{result:?}");
    opened.lock().unwrap().clone()
}

/// An agent is permanently lost right after its group has changed its version. The group continues
/// to step, so the other agents must admit requests again; during the change they must not.
#[tokio::test(start_paused = true)]
async fn align_reopens_others_after_change() {
    assert_eq!(reopened_ranks(Phase::Settled).await, [1]);
    assert!(reopened_ranks(Phase::Rolling).await.is_empty());
}

/// A coordinator died while it held ranks for a new map. Its successor rolls the change back, in
/// the record first: ranks resume under that write's fencing number, so that a late order of the
/// change can't hold them again.
#[tokio::test(start_paused = true)]
async fn align_rolls_back_uncommitted_change() {
    let kv: Arc<dyn KeyValue> = Arc::new(FakeKeyValue::new());
    let records = RecordStore::new(Arc::clone(&kv), "g1");
    let first = records.create(GroupRecord::first(ExpertMap::default(), RANKS)).await.unwrap();
    let pending = first.record.pending(ExpertMap::default());
    let stored = records.replace(&first, pending).await.unwrap();
    let pending_fence = stored.fence();
    let timing = Timing::default();
    let lease =
        Leases::new(Arc::clone(&kv), timing.lease_ttl).acquire("g1").await.unwrap().unwrap();
    let ranks = FakeRanks::default();
    let session = session(&ranks, &records, &lease, &timing);
    let (stored, result) = align(&session, stored).await;
    assert!(matches!(result, Ok(Alignment::Running)), "{result:?}");
    assert_eq!(stored.record.phase, Phase::Settled);
    assert!(*ranks.resumed_under.lock().unwrap() > pending_fence);
    assert_eq!(records.read().await.unwrap(), stored);
    assert_eq!(stored.record.in_force.version, 1);
}

/// Two processes acquire the same group: the second succeeds only after the first has released it.
#[tokio::test(start_paused = true)]
async fn acquire_held_by_another() {
    let kv: Arc<dyn KeyValue> = Arc::new(FakeKeyValue::new());
    let ttl = Timing::default().lease_ttl;
    let first = Leases::new(Arc::clone(&kv), ttl).acquire("g1").await.unwrap().unwrap();
    assert!(Leases::new(Arc::clone(&kv), ttl).acquire("g1").await.unwrap().is_none());
    first.release().await;
    assert!(Leases::new(Arc::clone(&kv), ttl).acquire("g1").await.unwrap().is_some());
}

/// A process is paused until its lease expires. When it resumes, it must not commit the change that
/// it was working on.
#[tokio::test(start_paused = true)]
async fn may_change_after_pause() {
    let kv: Arc<dyn KeyValue> = Arc::new(FakeKeyValue::new());
    let ttl = Timing::default().lease_ttl;
    let lease = Leases::new(Arc::clone(&kv), ttl).acquire("g1").await.unwrap().unwrap();
    assert!(lease.may_change() && lease.may_align());
    tokio::time::advance(ttl).await;
    assert!(!lease.may_change() && !lease.may_align());
}

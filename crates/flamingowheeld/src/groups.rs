//! Coordinates rank groups from the entries.
//!
//! An entry keeps links to all ranks of the groups it coordinates, besides those of its cells.
//! Each group is the duty of the entry that ranks first for it; the lease in the key-value
//! service decides where entries disagree for a while.

use crate::models;
use crate::placement::{Observer, even_map};
use axum::extract::State;
use axum::routing::get;
use axum::{Json, Router};
use bytes::Bytes;
use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::kv::KeyValue;
use flamingowheel_backing::orders::{ExpertMap, Fence};
use flamingowheel_config::effective::EffectiveConfig;
use flamingowheel_control::node::Node;
use flamingowheel_entry::agents::{Agent, Agents, Connected};
use flamingowheel_group::coordinator::Coordinator;
use flamingowheel_group::lease::Leases;
use flamingowheel_group::message::{RankError, RankRequest, RankState};
use flamingowheel_group::ranks::Ranks;
use flamingowheel_group::record::{RecordError, RecordStore, StoredRecord};
use flamingowheel_group::session::{LoadLimiter, Timing};
use flamingowheel_group::status::{Activity, GroupStatus};
use flamingowheel_observe::event::{Event, Subject};
use flamingowheel_observe::reason::SwitchStep;
use flamingowheel_observe::recorder::SubjectRecorder;
use flamingowheel_policy::key::EntryKey;
use flamingowheel_policy::rebalance::Params;
use flamingowheel_protocol::message::{ExpertShape, Serves};
use flamingowheel_protocol::peer::MemberState;
use futures_util::future::join_all;
use std::collections::{BTreeMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Path of the groups' status on the operators' port.
pub const GROUPS_PATH: &str = "/v1/groups";

/// Time between two looks at which groups are this entry's duty.
const DUTY_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_secs(10);

/// How long a rank may take to tell its state for a plan.
const READ_LIMIT: Duration = Duration::from_secs(1);

type Statuses = Arc<Mutex<BTreeMap<String, watch::Receiver<GroupStatus>>>>;

/// The groups that this entry coordinates.
pub struct Groups {
    kv: Arc<dyn KeyValue>,
    leases: Leases,
    agents: Arc<Agents>,
    node: Node,
    duties: BTreeMap<String, CancellationToken>,
    statuses: Statuses,
    loads: Option<LoadLimiter>,
}

/// One group as its agents describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Group {
    name: String,
    model: String,
    shape: ExpertShape,
}

impl Groups {
    /// None yet.
    pub fn new(kv: Arc<dyn KeyValue>, agents: Arc<Agents>, node: Node) -> Self {
        let leases = Leases::new(Arc::clone(&kv), Timing::default().lease_ttl);
        let (duties, statuses) = Default::default();
        Self { kv, leases, agents, node, duties, statuses, loads: None }
    }

    /// Keeps loads of weights within this process's share of the weight store's rate.
    pub fn with_loads(self, loads: Option<LoadLimiter>) -> Self {
        Self { loads, ..self }
    }

    /// The route that tells the status of the groups that this entry coordinates.
    pub fn router(&self) -> Router {
        Router::new().route(GROUPS_PATH, get(give_status)).with_state(Arc::clone(&self.statuses))
    }

    /// Takes up and gives up duties for ever.
    pub async fn run(mut self) {
        loop {
            let groups = self.own_groups();
            self.agents.pin_groups(groups.iter().map(|group| group.name.clone()).collect());
            self.give_up(&groups);
            for group in groups {
                if !self.duties.contains_key(&group.name) {
                    self.take_up(group);
                }
            }
            sleep(DUTY_INTERVAL).await;
        }
    }

    fn own_groups(&self) -> Vec<Group> {
        let members = self.node.members();
        let live = members.iter().filter(|member| member.state == MemberState::Live);
        let entries: Vec<EntryKey> =
            live.map(|member| EntryKey::from_name(&member.record.name)).collect();
        let own = EntryKey::from_name(&self.node.own_record().name);
        let listed = self.node.agents();
        let connected = self.agents.connected();
        let met = connected.iter().map(|(_, c)| (&c.profile.serves, c.profile.experts));
        let known = listed.iter().map(|agent| (&agent.serves, agent.experts)).chain(met);
        let mut seen = HashSet::new();
        let first = known.filter(|(serves, experts)| match serves {
            Serves::Model { group, .. } => experts.is_some() && seen.insert(group),
            Serves::Service { .. } => false,
        });
        let mut groups: Vec<Group> =
            first.filter_map(|(serves, experts)| group_of(serves, experts)).collect();
        groups.sort_by(|a, b| a.name.cmp(&b.name));
        groups.dedup_by(|a, b| a.name == b.name);
        groups.retain(|group| first_for(&group.name, &entries) == Some(own));
        groups
    }

    fn give_up(&mut self, groups: &[Group]) {
        self.duties.retain(|name, stop| {
            let keep = groups.iter().any(|group| group.name == *name);
            if !keep {
                stop.cancel();
            }
            keep
        });
        let mut statuses = self.statuses.lock().unwrap_or_else(PoisonError::into_inner);
        statuses.retain(|name, _| self.duties.contains_key(name));
    }

    fn take_up(&mut self, group: Group) {
        let ranks = LinkRanks { agents: Arc::clone(&self.agents), group: group.clone() };
        let records = RecordStore::new(Arc::clone(&self.kv), &group.name);
        let (desired, receiver) = watch::channel(None);
        let coordinator = Coordinator::new(
            Arc::clone(&self.kv),
            &group.name,
            ranks.clone(),
            Timing::default(),
            receiver,
        )
        .with_leases(self.leases.clone())
        .with_rollout(
            Arc::clone(&self.kv),
            &group.model,
            models::wanted(self.node.effective(), &group.model),
        )
        .with_load_limiter(self.loads.clone());
        let stop = CancellationToken::new();
        let status = coordinator.status();
        let mut statuses = self.statuses.lock().unwrap_or_else(PoisonError::into_inner);
        statuses.insert(group.name.clone(), status);
        drop(statuses);
        let planner = Planner {
            group: group.clone(),
            ranks,
            desired,
            status: coordinator.status(),
            record: coordinator.record(),
            effective: self.node.effective(),
        };
        let about =
            self.node.recorder().with_subject(Subject::default().group(group.name.as_str()));
        let teller = tell(about, group.name.clone(), records.clone(), coordinator.status());
        self.duties.insert(group.name.clone(), stop.clone());
        tokio::spawn(async move {
            let first = first_map(&records, group.shape).await;
            planner.desired.send_replace(Some(first));
            tokio::select! {
                () = coordinator.run(stop) => {}
                () = planner.run() => {}
                () = teller => {}
            }
        });
    }
}

/// The map to begin with: the one in force, and an even one only for a group that has none. An
/// entry that takes a group over would otherwise undo what was rebalanced before.
async fn first_map(records: &RecordStore, shape: ExpertShape) -> ExpertMap {
    loop {
        match records.read().await {
            Ok(stored) => return stored.record.in_force.map,
            Err(RecordError::Missing) => return even_map(shape),
            Err(error) => tracing::warn!(%error, "group's record not read"),
        }
        sleep(DUTY_INTERVAL).await;
    }
}

/// Records what becomes of a group, until its coordinator is gone.
async fn tell(
    about: SubjectRecorder,
    group: String,
    records: RecordStore,
    mut status: watch::Receiver<GroupStatus>,
) {
    let mut before = GroupStatus::default();
    while status.changed().await.is_ok() {
        let now = status.borrow_and_update().clone();
        if leads(&now) && !leads(&before) {
            about.record(lease_won(&group, &records).await);
        }
        for event in changes(&group, &before, &now) {
            about.record(event);
        }
        before = now;
    }
}

fn leads(status: &GroupStatus) -> bool {
    status.activity != Activity::Following
}

/// The number is that of the record as it stands; 0 if it can't be read just now.
async fn lease_won(group: &str, records: &RecordStore) -> Event {
    let stored = records.read().await;
    let fencing_number = stored.map_or(0, |stored| stored.fence().0);
    Event::LeaseWon { lease: group.into(), fencing_number }
}

fn changes(group: &str, before: &GroupStatus, now: &GroupStatus) -> Vec<Event> {
    let mut events = Vec::new();
    if leads(before) && !leads(now) {
        events.push(Event::LeaseLost { lease: group.into() });
    }
    let map_revision = now.map_version;
    if now.activity == Activity::Staging && before.activity != Activity::Staging {
        events.push(Event::Switch { step: SwitchStep::Staged, map_revision });
    }
    if now.activity == Activity::Running && map_revision > before.map_version {
        events.push(Event::Switch { step: SwitchStep::Resumed, map_revision });
    }
    let known = |rank| before.out_of_service.iter().any(|other| other.rank == rank);
    for out in now.out_of_service.iter().filter(|out| !known(out.rank)) {
        let backend_server = format!("{group} rank {}", out.rank).into();
        events.push(Event::RankUnverified { backend_server, map_revision });
    }
    events
}

async fn give_status(State(statuses): State<Statuses>) -> Json<BTreeMap<String, GroupStatus>> {
    let statuses = statuses.lock().unwrap_or_else(PoisonError::into_inner);
    let current = |(name, status): (&String, &watch::Receiver<GroupStatus>)| {
        (name.clone(), status.borrow().clone())
    };
    Json(statuses.iter().map(current).collect())
}

fn group_of(serves: &Serves, experts: Option<ExpertShape>) -> Option<Group> {
    let Serves::Model { model, group, .. } = serves else { return None };
    let shape = experts?;
    Some(Group { name: group.clone(), model: model.clone(), shape })
}

/// The entry that ranks first for a group, by rendezvous hashing.
fn first_for(group: &str, entries: &[EntryKey]) -> Option<EntryKey> {
    entries.iter().copied().max_by_key(|entry| xxh3_64_with_seed(group.as_bytes(), entry.0))
}

/// Reaches the ranks of a group over the connections to their agents.
#[derive(Clone)]
struct LinkRanks {
    agents: Arc<Agents>,
    group: Group,
}

impl LinkRanks {
    fn agent(&self, rank: usize) -> Option<Arc<Agent>> {
        let connected = self.agents.connected();
        let found = connected.into_iter().find(|(_, connected)| self.is_rank(connected, rank));
        found.map(|(agent, _)| agent)
    }

    fn is_rank(&self, connected: &Connected, wanted: usize) -> bool {
        match &connected.profile.serves {
            Serves::Model { group, rank, .. } => {
                *group == self.group.name && usize::from(*rank) == wanted
            }
            Serves::Service { .. } => false,
        }
    }

    async fn ask(&self, rank: usize, request: RankRequest) -> Result<RankState, RankError> {
        let agent = self.agent(rank).ok_or(RankError::NoAnswer)?;
        let mut body = Vec::new();
        // Writing plain values into memory can't fail.
        let _ = ciborium::into_writer(&request, &mut body);
        let answer = agent.send_order(Bytes::from(body)).await.ok_or(RankError::NoAnswer)?;
        ciborium::from_reader(&answer[..]).map_err(|_| RankError::NoAnswer)?
    }
}

impl Ranks for LinkRanks {
    fn count(&self) -> usize {
        usize::from(self.group.shape.ranks)
    }

    fn call(
        &self,
        rank: usize,
        request: RankRequest,
    ) -> BoxFuture<'_, Result<RankState, RankError>> {
        Box::pin(self.ask(rank, request))
    }
}

/// Plans a group's map from what its engines count.
struct Planner {
    group: Group,
    ranks: LinkRanks,
    desired: watch::Sender<Option<ExpertMap>>,
    status: watch::Receiver<GroupStatus>,
    record: watch::Receiver<Option<StoredRecord>>,
    effective: watch::Receiver<Arc<EffectiveConfig>>,
}

impl Planner {
    async fn run(self) {
        let mut observer = Observer::new(self.group.shape);
        loop {
            sleep(PLAN_INTERVAL).await;
            self.plan(&mut observer).await;
        }
    }

    async fn plan(&self, observer: &mut Observer) {
        let Some(stored) = self.settled() else { return };
        let Some(states) = self.read(stored.fence()).await else { return };
        observer.observe(&states);
        // A switch that began meanwhile would be undone by a plan made from the map before it.
        if self.settled().as_ref() != Some(&stored) {
            return;
        }
        let current = &stored.record.in_force.map;
        let wanted = observer.better_map(current, &self.params());
        self.desired.send_replace(Some(wanted.unwrap_or_else(|| current.clone())));
    }

    /// The record, if this process coordinates the group and no switch is under way.
    fn settled(&self) -> Option<StoredRecord> {
        let running = self.status.borrow().activity == Activity::Running;
        self.record.borrow().clone().filter(|_| running)
    }

    /// All ranks' states, or none: a plan from half the loads would move experts for nothing.
    async fn read(&self, fence: Fence) -> Option<Vec<RankState>> {
        let read = |rank| timeout(READ_LIMIT, self.ranks.call(rank, RankRequest::read(fence)));
        let states = join_all((0..self.ranks.count()).map(read)).await;
        states.into_iter().map(|state| state.ok()?.ok()).collect()
    }

    /// Weights of the first template that offers the group's model.
    fn params(&self) -> Params {
        let effective = self.effective.borrow();
        let serves = effective
            .workspaces()
            .filter(|workspace| workspace.parameters.models.contains_key(&self.group.model))
            .min_by(|a, b| a.template.cmp(&b.template));
        serves.map_or_else(Params::skew_weighted, |workspace| {
            let weights = &workspace.rebalancing;
            Params::from_weights(weights.skew_weight, weights.move_weight)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use flamingowheel_backing::fake::FakeKeyValue;
    use flamingowheel_group::record::GroupRecord;

    const SHAPE: ExpertShape = ExpertShape { ranks: 2, layers: 1, experts: 4, slots: 2 };

    // The entry that coordinated a group is replaced; another takes the group over. Going back to
    // the even map would cost the group two switches, and be slow until it is rebalanced again.
    #[tokio::test(start_paused = true)]
    async fn first_map_keeps_the_one_in_force() {
        let records = RecordStore::new(Arc::new(FakeKeyValue::new()), "notes-a");
        assert_eq!(first_map(&records, SHAPE).await, even_map(SHAPE));
        let rebalanced = ExpertMap { layers: vec![vec![vec![0, 3], vec![1, 2]]] };
        records.create(GroupRecord::first(rebalanced.clone(), 2)).await.unwrap();
        assert_eq!(first_map(&records, SHAPE).await, rebalanced);
    }

    // The key-value service is down when the group is taken over.
    #[tokio::test(start_paused = true)]
    async fn first_map_waits_for_the_service() {
        let kv = FakeKeyValue::new();
        let records = RecordStore::new(Arc::new(kv.clone()), "notes-a");
        kv.set_down(true);
        let waiting = tokio::spawn(async move { first_map(&records, SHAPE).await });
        sleep(Duration::from_secs(60)).await;
        assert!(!waiting.is_finished());
        kv.set_down(false);
        assert_eq!(waiting.await.unwrap(), even_map(SHAPE));
    }
}

//! Coordinates rank groups from the entries.
//!
//! Each group is assigned to one live entry by rendezvous hashing. While entries disagree about the
//! assignment, the lease in the key-value service decides. An entry keeps links to all ranks of the
//! groups that it coordinates, in addition to those of its cells.

use crate::models;
use crate::placement::{LoadObserver, even_map};
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

/// Time between two checks of which groups are assigned to this entry.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two plans of a group's expert map.
const PLAN_INTERVAL: Duration = Duration::from_secs(10);

/// Longest time to wait for a rank's state for a plan.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

type Statuses = Arc<Mutex<BTreeMap<String, watch::Receiver<GroupStatus>>>>;

/// The groups that this entry coordinates.
pub struct Groups {
    kv: Arc<dyn KeyValue>,
    leases: Leases,
    agents: Arc<Agents>,
    node: Node,
    stop_tokens: BTreeMap<String, CancellationToken>,
    statuses: Statuses,
    load_limiter: Option<LoadLimiter>,
}

/// One group as its agents describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Group {
    name: String,
    model: String,
    shape: ExpertShape,
}

impl Groups {
    /// Coordinates no groups until [`Groups::run`] is called.
    pub fn new(kv: Arc<dyn KeyValue>, agents: Arc<Agents>, node: Node) -> Self {
        let leases = Leases::new(Arc::clone(&kv), Timing::default().lease_ttl);
        let (stop_tokens, statuses) = Default::default();
        Self { kv, leases, agents, node, stop_tokens, statuses, load_limiter: None }
    }

    /// Sets the limiter of weight loads; with `None` loads are not limited.
    pub fn with_load_limiter(self, load_limiter: Option<LoadLimiter>) -> Self {
        Self { load_limiter, ..self }
    }

    /// The route [`GROUPS_PATH`], which returns the status of the groups that this entry
    /// coordinates.
    pub fn router(&self) -> Router {
        Router::new().route(GROUPS_PATH, get(get_status)).with_state(Arc::clone(&self.statuses))
    }

    /// Starts and stops coordinators as groups are assigned and withdrawn; never returns.
    pub async fn run(mut self) {
        loop {
            let groups = self.assigned_groups();
            self.agents.pin_groups(groups.iter().map(|group| group.name.clone()).collect());
            self.stop_withdrawn(&groups);
            for group in groups {
                if !self.stop_tokens.contains_key(&group.name) {
                    self.start_coordinator(group);
                }
            }
            sleep(ASSIGNMENT_INTERVAL).await;
        }
    }

    fn assigned_groups(&self) -> Vec<Group> {
        let members = self.node.members();
        let live = members.iter().filter(|member| member.state == MemberState::Live);
        let entries: Vec<EntryKey> =
            live.map(|member| EntryKey::from_name(&member.record.name)).collect();
        let own_key = EntryKey::from_name(&self.node.own_record().name);
        let listed = self.node.agents();
        let connected = self.agents.connected();
        let linked = connected.iter().map(|(_, c)| (&c.profile.serves, c.profile.experts));
        let profiles = listed.iter().map(|agent| (&agent.serves, agent.experts)).chain(linked);
        let mut seen = HashSet::new();
        let first_of_group = profiles.filter(|(serves, experts)| match serves {
            Serves::Model { group, .. } => experts.is_some() && seen.insert(group),
            Serves::Service { .. } => false,
        });
        let mut groups: Vec<Group> =
            first_of_group.filter_map(|(serves, experts)| group_of(serves, experts)).collect();
        groups.sort_by(|a, b| a.name.cmp(&b.name));
        groups.dedup_by(|a, b| a.name == b.name);
        groups.retain(|group| assigned_entry(&group.name, &entries) == Some(own_key));
        groups
    }

    fn stop_withdrawn(&mut self, groups: &[Group]) {
        self.stop_tokens.retain(|name, stop| {
            let keep = groups.iter().any(|group| group.name == *name);
            if !keep {
                stop.cancel();
            }
            keep
        });
        let mut statuses = self.statuses.lock().unwrap_or_else(PoisonError::into_inner);
        statuses.retain(|name, _| self.stop_tokens.contains_key(name));
    }

    fn start_coordinator(&mut self, group: Group) {
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
            models::desired_serving(self.node.effective(), &group.model),
        )
        .with_load_limiter(self.load_limiter.clone());
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
        let recorder =
            self.node.recorder().with_subject(Subject::default().group(group.name.as_str()));
        let event_recorder =
            record_changes(recorder, group.name.clone(), records.clone(), coordinator.status());
        self.stop_tokens.insert(group.name.clone(), stop.clone());
        tokio::spawn(async move {
            let initial = initial_map(&records, group.shape).await;
            planner.desired.send_replace(Some(initial));
            tokio::select! {
                () = coordinator.run(stop) => {}
                () = planner.run() => {}
                () = event_recorder => {}
            }
        });
    }
}

/// The desired map to begin with: the group's map in force, or an even map for a new group. An
/// entry that takes over a group and began with the even map would undo earlier rebalancing.
async fn initial_map(records: &RecordStore, shape: ExpertShape) -> ExpertMap {
    loop {
        match records.read().await {
            Ok(stored) => return stored.record.in_force.map,
            Err(RecordError::Missing) => return even_map(shape),
            Err(error) => tracing::warn!(%error, "group's record not read; trying again"),
        }
        sleep(ASSIGNMENT_INTERVAL).await;
    }
}

/// Records events for changes of a group's status, until its coordinator is dropped.
async fn record_changes(
    recorder: SubjectRecorder,
    group: String,
    records: RecordStore,
    mut status: watch::Receiver<GroupStatus>,
) {
    let mut before = GroupStatus::default();
    while status.changed().await.is_ok() {
        let now = status.borrow_and_update().clone();
        if is_coordinator(&now) && !is_coordinator(&before) {
            recorder.record(lease_won(&group, &records).await);
        }
        for event in status_events(&group, &before, &now) {
            recorder.record(event);
        }
        before = now;
    }
}

fn is_coordinator(status: &GroupStatus) -> bool {
    status.activity != Activity::Following
}

/// The event for an acquired lease. Its fencing number is that of the current record, or 0 if the
/// record can't be read.
async fn lease_won(group: &str, records: &RecordStore) -> Event {
    let stored = records.read().await;
    let fencing_number = stored.map_or(0, |stored| stored.fence().0);
    Event::LeaseWon { lease: group.into(), fencing_number }
}

fn status_events(group: &str, before: &GroupStatus, now: &GroupStatus) -> Vec<Event> {
    let mut events = Vec::new();
    if is_coordinator(before) && !is_coordinator(now) {
        events.push(Event::LeaseLost { lease: group.into() });
    }
    let map_revision = now.map_version;
    if now.activity == Activity::Staging && before.activity != Activity::Staging {
        events.push(Event::Switch { step: SwitchStep::Staged, map_revision });
    }
    if now.activity == Activity::Running && map_revision > before.map_version {
        events.push(Event::Switch { step: SwitchStep::Resumed, map_revision });
    }
    let was_out_of_service = |rank| before.out_of_service.iter().any(|other| other.rank == rank);
    for out in now.out_of_service.iter().filter(|out| !was_out_of_service(out.rank)) {
        let backend_server = format!("{group} rank {}", out.rank).into();
        events.push(Event::RankUnverified { backend_server, map_revision });
    }
    events
}

async fn get_status(State(statuses): State<Statuses>) -> Json<BTreeMap<String, GroupStatus>> {
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

/// The entry that a group is assigned to, by rendezvous hashing.
fn assigned_entry(group: &str, entries: &[EntryKey]) -> Option<EntryKey> {
    entries.iter().copied().max_by_key(|entry| xxh3_64_with_seed(group.as_bytes(), entry.0))
}

/// Sends requests to a group's ranks over the links to their agents.
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

    fn is_rank(&self, connected: &Connected, rank: usize) -> bool {
        match &connected.profile.serves {
            Serves::Model { group, rank: served, .. } => {
                *group == self.group.name && usize::from(*served) == rank
            }
            Serves::Service { .. } => false,
        }
    }

    async fn send_request(
        &self,
        rank: usize,
        request: RankRequest,
    ) -> Result<RankState, RankError> {
        let agent = self.agent(rank).ok_or(RankError::NoAnswer)?;
        let mut body = Vec::new();
        // Serialising plain values into memory can't fail.
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
        Box::pin(self.send_request(rank, request))
    }
}

/// Plans a group's expert map from its engines' counters.
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
        let mut observer = LoadObserver::new(self.group.shape);
        loop {
            sleep(PLAN_INTERVAL).await;
            self.plan(&mut observer).await;
        }
    }

    async fn plan(&self, observer: &mut LoadObserver) {
        let Some(stored) = self.running_record() else { return };
        let Some(states) = self.read_states(stored.fence()).await else { return };
        observer.observe(&states);
        // A plan made from the earlier map would undo a switch that has begun since.
        if self.running_record().as_ref() != Some(&stored) {
            return;
        }
        let current = &stored.record.in_force.map;
        let better = observer.better_map(current, &self.params());
        self.desired.send_replace(Some(better.unwrap_or_else(|| current.clone())));
    }

    /// The record, if this process coordinates the group and no switch is under way.
    fn running_record(&self) -> Option<StoredRecord> {
        let running = self.status.borrow().activity == Activity::Running;
        self.record.borrow().clone().filter(|_| running)
    }

    /// The states of all ranks, or `None` if one is missing: a plan from partial loads would move
    /// experts needlessly.
    async fn read_states(&self, fence: Fence) -> Option<Vec<RankState>> {
        let read = |rank| timeout(READ_TIMEOUT, self.ranks.call(rank, RankRequest::read(fence)));
        let states = join_all((0..self.ranks.count()).map(read)).await;
        states.into_iter().map(|state| state.ok()?.ok()).collect()
    }

    /// Rebalancing weights of the first template, by name, that offers the group's model.
    fn params(&self) -> Params {
        let effective = self.effective.borrow();
        let offering = effective
            .workspaces()
            .filter(|workspace| workspace.parameters.models.contains_key(&self.group.model))
            .min_by(|a, b| a.template.cmp(&b.template));
        offering.map_or_else(Params::skew_weighted, |workspace| {
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

    // Another entry takes over a group. Going back to the even map would cost the group two
    // switches and make it slow until it is rebalanced again.
    #[tokio::test(start_paused = true)]
    async fn initial_map_is_the_one_in_force() {
        let records = RecordStore::new(Arc::new(FakeKeyValue::new()), "notes-a");
        assert_eq!(initial_map(&records, SHAPE).await, even_map(SHAPE));
        let rebalanced = ExpertMap { layers: vec![vec![vec![0, 3], vec![1, 2]]] };
        records.create(GroupRecord::first(rebalanced.clone(), 2)).await.unwrap();
        assert_eq!(initial_map(&records, SHAPE).await, rebalanced);
    }

    // The key-value service is down when the group is taken over. An even map would replace the
    // map in force, which can't be read.
    #[tokio::test(start_paused = true)]
    async fn initial_map_waits_for_the_service() {
        let kv = FakeKeyValue::new();
        let records = RecordStore::new(Arc::new(kv.clone()), "notes-a");
        kv.set_down(true);
        let waiting = tokio::spawn(async move { initial_map(&records, SHAPE).await });
        sleep(Duration::from_secs(60)).await;
        assert!(!waiting.is_finished());
        kv.set_down(false);
        assert_eq!(waiting.await.unwrap(), even_map(SHAPE));
    }
}

//! Keeps the expert map of one group balanced; runs in the agent of rank 0.

mod ending;

use crate::collect::Assignment;
use crate::engines::{Engine, Engines};
use crate::group::Group;
use crate::lookup::{GroupPublisher, Lookup, LookupResult};
use crate::outcome::outcome;
use crate::peers::{PeerConnector, PeerUpdate};
use crate::phase::{ArmingTimes, DIRECT_ARM_DELAY, HoldRequest, Phase};
use crate::remote::RemotePollers;
use crate::switch::{Holding, Switch, next_version};
use flamingowheel_backing::kv::KeyValue;
use flamingowheel_policy::experts::Step;
use flamingowheel_protocol::ranks::{RankState, RankTarget, RankUpdate};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{broadcast, mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

/// Interval at which a map switch in progress is advanced: a fraction of a pass.
const TICK: Duration = Duration::from_millis(10);

/// Length of the windows over which demand is estimated.
const WINDOW: Duration = Duration::from_millis(100);

/// Interval between status updates on the group to entries.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

/// Time to copy experts before a switch is given up: 2 copies of 0.15 s, and one repeated order in
/// case the first has no effect.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Minimum time between observing a hold and the report that shows that its issuer is still
/// running. A VM that stops right after it sent the order can't be armed, and the group would wait
/// until it is back, which can take 4 s.
const ISSUER_LIVENESS_DELAY: Duration = Duration::from_millis(15);

/// Time for that report of the issuer to arrive: several network round trips and polls.
const ISSUER_LIVENESS_TIMEOUT: Duration = Duration::from_millis(80);

/// Time for a requested hold to take effect. Engines leave some orders unanswered.
const HOLD_TIMEOUT: Duration = Duration::from_millis(600);

/// Minimum interval between lookups of the backend servers while ranks are missing.
const LOOKUP_INTERVAL: Duration = Duration::from_secs(2);

/// Range of the random part of a map version. Otherwise two successive coordinators of a group
/// could use the same version for different maps, and a rank with the older map would count as
/// prepared.
const VERSION_SPREAD: u64 = 1 << 20;

/// The coordinator of one group. It does nothing until the local engine reports that it is rank 0.
#[derive(Debug)]
pub struct Coordinator<K, E>
where
    E: Engines,
{
    /// Finds the engines of the group.
    pub lookup: Lookup<K>,
    /// Publishes the group's record to entries.
    pub publisher: GroupPublisher<K>,
    /// The engines of the group.
    pub engines: E,
    /// Client of the engine on this VM.
    pub local_engine: E::Engine,
    /// Address of the engine on this VM.
    pub local_address: SocketAddr,
    /// Target state of all ranks.
    pub targets: watch::Sender<RankTarget>,
    /// Updates from the poller of the engine on this VM.
    pub local_updates: broadcast::Receiver<RankUpdate>,
    /// Receives the group's status at regular intervals.
    pub status: broadcast::Sender<RankUpdate>,
    /// Opens connections to the other ranks' agents; its group is set before each use.
    pub peers: PeerConnector,
    /// Which agents send choices to which others.
    pub assignment: watch::Sender<Arc<Assignment>>,
    /// Bandwidth of the VM's link, in bytes per second.
    pub link_bytes_per_s: u64,
    /// Pollers for ranks without a live agent.
    pub remote_pollers: RemotePollers<E>,
    /// Updates from the other ranks' agents and from the remote pollers.
    pub peer_updates: mpsc::Receiver<PeerUpdate>,
    /// Version of the map that was planned last; 0 before the first.
    pub last_version: u64,
    /// The switch that was planned last.
    pub planned: Option<PlannedSwitch>,
    /// Cancelled when the process is to end: no switch begins any more.
    pub leaving: CancellationToken,
}

/// When a switch was planned, and how many experts each rank copies at most.
#[derive(Clone, Copy, Debug)]
pub struct PlannedSwitch {
    version: u64,
    copies: usize,
    planned_at: Instant,
}

impl<K, E> Coordinator<K, E>
where
    K: KeyValue + Clone + Send + Sync + 'static,
    E: Engines,
{
    /// Coordinates until `leaving` is cancelled and no hold of the group is left: a hold does not
    /// expire, and the group would stand still.
    pub async fn run(mut self) {
        let mut group: Option<Group> = None;
        let mut phase = Phase::Idle;
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut windows = interval(WINDOW);
        windows.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut statuses = interval(STATUS_INTERVAL);
        statuses.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let leaving = self.leaving.clone();
        while group.is_some() && phase.may_hold_group() || !leaving.is_cancelled() {
            let is_active = !matches!(phase, Phase::Idle);
            let is_due = tokio::select! {
                update = self.local_updates.recv() => match update {
                    Ok(update) => self.apply_local_update(&mut group, update),
                    Err(broadcast::error::RecvError::Lagged(missed)) => {
                        tracing::debug!(missed, "updates of the local engine missed");
                        false
                    }
                    Err(broadcast::error::RecvError::Closed) => return,
                },
                Some(peer_update) = self.peer_updates.recv() => {
                    let is_state_update = matches!(peer_update.update, RankUpdate::State(_));
                    if let Some(group) = &mut group {
                        group.apply_update(peer_update);
                    }
                    is_state_update
                }
                Some(found) = self.lookup.next() => {
                    if let Some(group) = &mut group {
                        self.apply_lookup(group, found);
                    }
                    false
                }
                () = leaving.cancelled(), if !leaving.is_cancelled() => false,
                _ = ticks.tick(), if is_active => true,
                _ = statuses.tick() => {
                    if let Some(group) = &group {
                        // Fails only while no entry is connected.
                        let _ = self.status.send(RankUpdate::Group(group.status()));
                    }
                    false
                }
                _ = windows.tick() => {
                    if let Some(group) = &mut group {
                        phase = self.end_window(phase, group);
                    }
                    true
                }
            };
            let Some(group) = group.as_mut().filter(|_| is_active && is_due) else {
                continue;
            };
            phase = self.advance(phase, group).await;
            if matches!(phase, Phase::Idle) {
                phase = self.plan(group);
            }
        }
    }

    /// Applies an update of the local engine. Returns whether more than its progress has changed.
    fn apply_local_update(&self, group: &mut Option<Group>, update: RankUpdate) -> bool {
        let is_state_update = matches!(update, RankUpdate::State(_));
        if let RankUpdate::State(state) = &update {
            if state.rank != 0 {
                *group = None;
                return true;
            }
            let is_same = group.as_ref().is_some_and(|group| group.name == state.group);
            if !is_same {
                tracing::info!(group = state.group, "coordinating");
                *group = Some(Group::new(state));
            }
        }
        if let Some(group) = group {
            group.apply_update(PeerUpdate {
                engine: self.local_address,
                data_centre: None,
                update,
            });
        }
        is_state_update
    }

    /// Adds the finished window to the demand and does the periodic work.
    fn end_window(&mut self, phase: Phase, group: &mut Group) -> Phase {
        let has_shifted = group.close_window();
        self.start_lookup(group);
        self.publish_record(group);
        self.update_assignment(group);
        self.remote_pollers.poll(&group.engines_without_agent(self.local_address));
        match phase {
            Phase::Idle => self.plan(group),
            phase if has_shifted => self.replace_outdated(phase, group),
            phase => phase,
        }
    }

    /// Looks up the engines' parameters and addresses while any are missing.
    fn start_lookup(&mut self, group: &mut Group) {
        let now = Instant::now();
        let is_complete = group.parameters.is_some() && group.fresh_states(now).is_some();
        let is_early = group.listed_at.is_some_and(|at| now - at < LOOKUP_INTERVAL);
        if is_complete || is_early {
            return;
        }
        group.listed_at = Some(now);
        self.lookup.start(group.parameters.is_none());
    }

    fn apply_lookup(&self, group: &mut Group, found: LookupResult) {
        if let Some(parameters) = found.parameters {
            group.parameters = Some(parameters);
        }
        let peers = PeerConnector { group: group.name.clone(), ..self.peers.clone() };
        let stop = group.stop.clone();
        peers.connect_to(&found.engines, self.local_address.ip(), &mut group.connected, &stop);
        group.listed = found.engines;
    }

    /// Publishes to entries which engines form the group and how slow each one is.
    fn publish_record(&mut self, group: &mut Group) {
        if group.ranks.len() == group.size {
            self.publisher.publish(&group.name, group.record());
        }
    }

    /// Distributes a new assignment when the set of reachable agents has changed.
    fn update_assignment(&self, group: &Group) {
        let assignment =
            group.assignment(self.local_address, self.peers.port, self.link_bytes_per_s);
        self.assignment.send_if_modified(|current| {
            let has_changed = **current != assignment;
            if has_changed {
                tracing::info!(
                    group = group.name,
                    sources = assignment.sources(),
                    most_members = assignment.max_members(),
                    "choices assigned"
                );
                *current = Arc::new(assignment);
            }
            has_changed
        });
    }

    /// Replaces a switch that ranks are still preparing if it was planned for demand that has since
    /// shifted. Finishing it would delay a better one by half a second. A switch that still helps
    /// is finished: with long passes the windows differ a lot, and a switch dropped at each shift
    /// would never complete.
    fn replace_outdated(&mut self, phase: Phase, group: &Group) -> Phase {
        let Phase::Preparing(switch, since) = phase else {
            return phase;
        };
        let better = group.replacement_step(&switch.map);
        let Some((step, states)) = better.zip(group.fresh_states(Instant::now())) else {
            return Phase::Preparing(switch, since);
        };
        tracing::info!(version = switch.version, "switch given up: demand shifted");
        self.begin_switch(group, &states, step)
    }

    /// Starts a switch if the map should change, or resumes one that an earlier coordinator left.
    fn plan(&mut self, group: &Group) -> Phase {
        if self.leaving.is_cancelled() {
            return Phase::Idle;
        }
        let Some(first) = group.ranks.get(&0).filter(|rank| rank.engine == self.local_address)
        else {
            return Phase::Idle;
        };
        if let Some(outcome) = outcome(&first.state) {
            return self.resume(outcome, group);
        }
        let fresh = group.fresh_states(Instant::now());
        let Some(states) = fresh.filter(|_| group.has_started_named_passes()) else {
            return Phase::Idle;
        };
        match group.next_step(&states) {
            Some(step) => self.begin_switch(group, &states, step),
            None => Phase::Idle,
        }
    }

    /// Starts a switch: all ranks prepare the map of a step.
    fn begin_switch(&mut self, group: &Group, states: &[RankState], step: Step) -> Phase {
        let spread = rand::random_range(1..VERSION_SPREAD);
        let version = next_version(states, self.last_version, spread);
        self.last_version = version;
        let planned_at = Instant::now();
        self.planned = Some(PlannedSwitch { version, copies: step.copies, planned_at });
        tracing::info!(
            group = group.name,
            epoch = group.epoch,
            version,
            copies = step.copies,
            skew_before = step.skew_before,
            skew_after = step.skew_after,
            "map planned"
        );
        let engines = group.ranks.values().map(|rank| rank.engine).collect();
        let switch = Switch::new(group.epoch, version, step.map, engines);
        self.targets.send_replace(switch.target());
        Phase::Preparing(switch, planned_at)
    }

    async fn advance(&mut self, phase: Phase, group: &mut Group) -> Phase {
        let states = group.states();
        if phase.epoch().is_some_and(|epoch| epoch != group.epoch) {
            tracing::info!(
                group = group.name,
                epoch = group.epoch,
                "switch void: group formed again"
            );
            self.targets.send_replace(RankTarget::Idle);
            return Phase::Idle;
        }
        match phase {
            Phase::Idle => Phase::Idle,
            Phase::Preparing(switch, since) => {
                match switch.advance(&states, group.passes_ahead()) {
                    Ok(holding) if states.len() == group.size => self.request_hold(holding, group),
                    Ok(_) => Phase::Idle,
                    Err(switch) if since.elapsed() > PREPARE_TIMEOUT => {
                        tracing::warn!(
                            version = switch.version,
                            "switch given up: not prepared in time"
                        );
                        self.targets.send_replace(RankTarget::Idle);
                        Phase::Idle
                    }
                    Err(switch) => Phase::Preparing(switch, since),
                }
            }
            Phase::Holding(switch, request) => self.advance_hold(switch, request, group).await,
            Phase::Deciding(switch, requested_at) => self.decide(switch, requested_at).await,
            Phase::Fencing(switch, map) => self.fence(switch, map).await,
            Phase::Arming(switch, times) => match switch.advance(&states, group.size) {
                Ok(releasing) => {
                    if let Some(requested_at) = times.requested_at {
                        group.record_arming_time(requested_at.elapsed());
                    }
                    self.release(releasing).await
                }
                Err(switch) if Instant::now() >= times.arm_directly_at => {
                    self.arm_directly(&switch, group).await;
                    let arm_directly_at = Instant::now() + DIRECT_ARM_DELAY;
                    Phase::Arming(switch, ArmingTimes { arm_directly_at, ..times })
                }
                Err(switch) => Phase::Arming(switch, times),
            },
            Phase::Releasing(switch) => self.release(switch).await,
            Phase::Released(switch) => {
                let has_begun = states.iter().all(|s| s.pass >= switch.pass());
                if switch.is_done(&states) || (has_begun && switch.map.is_empty()) {
                    tracing::info!(group = group.name, version = switch.version, "map in use");
                    group.record_switch(switch.version, &switch.map);
                    if let Some(planned) = self.planned.filter(|p| p.version == switch.version) {
                        group.record_switch_time(planned.planned_at.elapsed(), planned.copies);
                    }
                    self.targets.send_replace(RankTarget::Idle);
                    return Phase::Idle;
                }
                Phase::Released(switch)
            }
        }
    }

    /// Requests the hold from another rank's agent.
    fn request_hold(&mut self, switch: Switch<Holding>, group: &mut Group) -> Phase {
        let issuer = group.hold_issuer();
        if let Some(target) = switch.target(issuer) {
            self.targets.send_replace(target);
        }
        group.record_named_pass(switch.pass());
        Phase::Holding(switch, HoldRequest { issuer, requested_at: Instant::now(), held_at: None })
    }

    async fn advance_hold(
        &mut self,
        switch: Switch<Holding>,
        mut request: HoldRequest,
        group: &mut Group,
    ) -> Phase {
        let now = Instant::now();
        let pass = switch.pass();
        let Ok(report) = self.local_engine.report().await else {
            return Phase::Holding(switch, request);
        };
        if report.map_version == switch.version {
            // Another agent finished the switch while this process was frozen.
            self.targets.send_replace(RankTarget::Idle);
            return Phase::Idle;
        }
        if report.armed == Some((switch.version, pass)) {
            // Another agent goes on with the switch.
            return self.arm_all(switch.held().committed(), Some(request.requested_at));
        }
        let states: Vec<RankState> = group.states();
        if report.held_pass == Some(pass) {
            let held_at = *request.held_at.get_or_insert(now);
            let is_alive = group.ranks.get(&request.issuer).is_some_and(|rank| {
                rank.state.gave_hold == Some(pass)
                    && rank.seen_at >= held_at + ISSUER_LIVENESS_DELAY
            });
            if is_alive {
                return self.decide(switch.held(), Some(request.requested_at)).await;
            }
            if now - held_at > ISSUER_LIVENESS_TIMEOUT {
                tracing::warn!(
                    pass,
                    by = request.issuer,
                    "switch given up: nothing heard from the hold's giver"
                );
                self.targets.send_replace(RankTarget::Idle);
                let deciding = switch.held();
                return match self.give_up(deciding.clone(), group) {
                    Phase::Idle => Phase::Deciding(deciding, Some(request.requested_at)),
                    phase => phase,
                };
            }
            return Phase::Holding(switch, request);
        }
        if report.pass >= pass {
            return self
                .request_hold(switch.postpone(&states, report.pass, group.passes_ahead()), group);
        }
        if now - request.requested_at > HOLD_TIMEOUT {
            tracing::warn!(pass, by = request.issuer, "switch given up: hold had no effect");
            self.targets.send_replace(RankTarget::Idle);
            return Phase::Idle;
        }
        Phase::Holding(switch, request)
    }
}

//! Keeps the expert map of one group even; runs beside rank 0.

use crate::collect::Assignment;
use crate::group::Group;
use crate::lookup::{GroupPublisher, Lookup, LookupResult};
use crate::peers::{PeerConnector, PeerUpdate};
use crate::remote::RemotePollers;
use crate::switch::{
    Arming, Holding, Preparing, Released, Releasing, Switch, UnfinishedSwitch, find_unfinished,
    is_armed, next_version,
};
use flamingowheel_backing::kv::KeyValue;
use flamingowheel_fleet::engine::MapOrder;
use flamingowheel_platform::EngineClient;
use flamingowheel_policy::experts::Step;
use flamingowheel_protocol::ranks::{RankState, RankTarget, RankUpdate};
use futures_util::future::join_all;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{broadcast, mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Time between looks at a change under way: a fraction of a pass.
const TICK: Duration = Duration::from_millis(10);

/// Time between readings of demand; the windows in which it is learnt.
const WINDOW: Duration = Duration::from_millis(100);

/// Time between two words on how the group stands, to entries.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

/// Time for copies before a change is given up: 2 copies of 0.15 s, and an order that is carried
/// out only when it is given again.
const PREPARE_LIMIT: Duration = Duration::from_millis(1_500);

/// Time after which ranks whose agents don't show them armed are armed from here.
const DIRECT_AFTER: Duration = Duration::from_millis(300);

/// Age of a hold at which its giver must have been heard from. A VM that stops as it gives the
/// order can't be armed, and the group would wait for it as long as it is away: 4 s were seen.
const HOLDER_PROOF: Duration = Duration::from_millis(15);

/// Time to hear from the agent that gave the hold, after the hold was seen: several ways and polls.
const HOLDER_LIMIT: Duration = Duration::from_millis(80);

/// Time for a hold to show after it was asked for. Engines leave some orders unanswered.
const ASK_LIMIT: Duration = Duration::from_millis(600);

/// Pause between readings of the list of backend servers while ranks are missing.
const LIST_PAUSE: Duration = Duration::from_secs(2);

/// Range of the random part of a version. Two coordinators of one group, one after the other,
/// would otherwise give one version to two maps: a rank that holds the older one would pass for
/// prepared.
const VERSION_SPREAD: u64 = 1 << 20;

/// What the coordinator works with.
#[derive(Debug)]
pub struct Coordinator<K> {
    /// Finds the engines of the group.
    pub lookup: Lookup<K>,
    /// Tells entries of the group.
    pub publisher: GroupPublisher<K>,
    /// The rank's own engine.
    pub local_engine: EngineClient,
    /// The rank's own engine's address.
    pub local_address: SocketAddr,
    /// What all ranks are to be brought to.
    pub targets: watch::Sender<RankTarget>,
    /// Updates of the rank's own engine.
    pub local_updates: broadcast::Receiver<RankUpdate>,
    /// Where the group's status goes.
    pub status: broadcast::Sender<RankUpdate>,
    /// Connections to the other ranks' agents; the group is filled in.
    pub peers: PeerConnector,
    /// Who tells choices to whom.
    pub assignment: watch::Sender<Arc<Assignment>>,
    /// What the VM's link carries, in bytes a second.
    pub link_bytes_per_s: u64,
    /// Ranks that are seen to from here.
    pub remote_pollers: RemotePollers,
    /// Updates of the other ranks.
    pub peer_updates: mpsc::Receiver<PeerUpdate>,
    /// The version planned last.
    pub last_version: u64,
    /// Holds that were asked for and nothing was armed for, by epoch and pass.
    pub requested_holds: HashSet<(u64, u64)>,
}

#[derive(Debug, Default)]
enum Phase {
    #[default]
    Watching,
    Preparing(Switch<Preparing>, Instant),
    Holding(Switch<Holding>, Holder),
    Arming(Switch<Arming>, Armer),
    Releasing(Switch<Releasing>),
    Released(Switch<Released>),
}

/// When the hold was asked for, if it was from here, and when ranks are armed from here.
#[derive(Clone, Copy, Debug)]
struct Armer {
    asked_at: Option<Instant>,
    direct_at: Instant,
}

/// The agent that was asked for a hold.
#[derive(Clone, Copy, Debug)]
struct Holder {
    by: usize,
    asked_at: Instant,
    held_at: Option<Instant>,
}

impl<K> Coordinator<K>
where
    K: KeyValue + Clone + Send + Sync + 'static,
{
    /// Coordinates until dropped.
    pub async fn run(mut self) {
        let mut group: Option<Group> = None;
        let mut phase = Phase::Watching;
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut windows = interval(WINDOW);
        windows.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut statuses = interval(STATUS_INTERVAL);
        statuses.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let is_active = !matches!(phase, Phase::Watching);
            let is_due = tokio::select! {
                update = self.local_updates.recv() => match update {
                    Ok(update) => self.take_own(&mut group, update),
                    Err(broadcast::error::RecvError::Lagged(missed)) => {
                        tracing::debug!(missed, "updates of the own engine missed");
                        false
                    }
                    Err(broadcast::error::RecvError::Closed) => return,
                },
                Some(told) = self.peer_updates.recv() => {
                    let is_news = matches!(told.update, RankUpdate::State(_));
                    if let Some(group) = &mut group {
                        group.apply_update(told);
                    }
                    is_news
                }
                Some(found) = self.lookup.next() => {
                    if let Some(group) = &mut group {
                        self.take_found(group, found);
                    }
                    false
                }
                _ = ticks.tick(), if is_active => true,
                _ = statuses.tick() => {
                    if let Some(group) = &group {
                        // Nobody listens while no entry is connected.
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
            let Some(known) = group.as_mut().filter(|_| is_active && is_due) else {
                continue;
            };
            phase = self.advance(phase, known).await;
            if matches!(phase, Phase::Watching) {
                phase = self.watch(known);
            }
        }
    }

    /// Takes in what the own engine's poller tells. Returns whether more than progress has changed.
    fn take_own(&self, group: &mut Option<Group>, update: RankUpdate) -> bool {
        let is_news = matches!(update, RankUpdate::State(_));
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
        is_news
    }

    /// Learns from the window that ends, and sees to what has to be done from time to time.
    fn end_window(&mut self, phase: Phase, group: &mut Group) -> Phase {
        let has_shifted = group.close_window();
        self.find_ranks(group);
        self.announce(group);
        self.assign(group);
        self.remote_pollers.poll(&group.engines_without_agent(self.local_address));
        match phase {
            Phase::Watching => self.watch(group),
            phase if has_shifted => self.drop_outdated(phase, group),
            phase => phase,
        }
    }

    /// Has the engines' parameters and addresses read while ranks are missing.
    fn find_ranks(&mut self, group: &mut Group) {
        let now = Instant::now();
        let is_complete = group.parameters.is_some() && group.fresh_states(now).is_some();
        let is_early = group.listed_at.is_some_and(|at| now - at < LIST_PAUSE);
        if is_complete || is_early {
            return;
        }
        group.listed_at = Some(now);
        self.lookup.start(group.parameters.is_none());
    }

    fn take_found(&self, group: &mut Group, found: LookupResult) {
        if let Some(parameters) = found.parameters {
            group.parameters = Some(parameters);
        }
        let peers = PeerConnector { group: group.name.clone(), ..self.peers.clone() };
        let stop = group.stop.clone();
        peers.connect_to(&found.engines, self.local_address.ip(), &mut group.connected, &stop);
        group.listed = found.engines;
    }

    /// Tells entries which engines form the group, and which of them are slow.
    fn announce(&mut self, group: &mut Group) {
        if group.ranks.len() == group.size {
            self.publisher.publish(&group.name, group.record());
        }
    }

    /// Tells agents whose choices to sum up, when others are heard than before.
    fn assign(&self, group: &Group) {
        let assignment =
            group.assignment(self.local_address, self.peers.port, self.link_bytes_per_s);
        self.assignment.send_if_modified(|told| {
            let is_other = **told != assignment;
            if is_other {
                tracing::info!(
                    group = group.name,
                    sources = assignment.sources(),
                    most_members = assignment.max_members(),
                    "choices assigned"
                );
                *told = Arc::new(assignment);
            }
            is_other
        });
    }

    /// Gives up a change that ranks are still preparing, if it was made for a demand that has gone.
    /// Finished, it would keep a better one waiting for half a second. One that still helps is
    /// finished: in long passes windows differ much, and a change dropped at each would never end.
    fn drop_outdated(&mut self, phase: Phase, group: &Group) -> Phase {
        let Phase::Preparing(switch, since) = phase else {
            return phase;
        };
        let better = group.replacement_step(&switch.map);
        let Some((step, states)) = better.zip(group.fresh_states(Instant::now())) else {
            return Phase::Preparing(switch, since);
        };
        tracing::info!(version = switch.version, "change given up: demand shifted");
        self.begin(group, &states, step)
    }

    /// Decides whether to change the map, and takes up what an earlier coordinator left.
    fn watch(&mut self, group: &Group) -> Phase {
        let now = Instant::now();
        if let Some(stray) = self.stray_hold(group) {
            tracing::info!(group = group.name, pass = stray, "late hold lifted");
            return Phase::Releasing(Switch::abandoned(group.epoch, stray));
        }
        let Some(states) = group.fresh_states(now) else {
            return Phase::Watching;
        };
        if let Some(left) = find_unfinished(&states) {
            tracing::info!(group = group.name, epoch = group.epoch, ?left, "change taken up");
            return into_phase(left, now);
        }
        match group.next_step(&states) {
            Some(step) => self.begin(group, &states, step),
            None => Phase::Watching,
        }
    }

    /// Has all ranks prepare the map of a step.
    fn begin(&mut self, group: &Group, states: &[RankState], step: Step) -> Phase {
        let spread = rand::random_range(1..VERSION_SPREAD);
        let version = next_version(states, self.last_version, spread);
        self.last_version = version;
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
        Phase::Preparing(switch, Instant::now())
    }

    /// A hold that this coordinator asked for, and that took effect only after it had given the
    /// change up. Nothing was armed for it, so it can be lifted whoever else is away.
    fn stray_hold(&self, group: &Group) -> Option<u64> {
        let pass = group.ranks.get(&0)?.state.held_pass?;
        let is_unarmed = self.requested_holds.contains(&(group.epoch, pass));
        is_unarmed.then_some(pass)
    }

    async fn advance(&mut self, phase: Phase, group: &mut Group) -> Phase {
        let states = group.states();
        if phase.epoch().is_some_and(|epoch| epoch != group.epoch) {
            tracing::info!(
                group = group.name,
                epoch = group.epoch,
                "change void: group formed again"
            );
            self.targets.send_replace(RankTarget::Idle);
            return Phase::Watching;
        }
        match phase {
            Phase::Watching => Phase::Watching,
            Phase::Preparing(switch, since) => {
                match switch.advance(&states, group.passes_ahead()) {
                    Ok(holding) if states.len() == group.size => self.ask_for_hold(holding, group),
                    Ok(_) => Phase::Watching,
                    Err(switch) if since.elapsed() > PREPARE_LIMIT => {
                        tracing::warn!(
                            version = switch.version,
                            "change given up: not prepared in time"
                        );
                        self.targets.send_replace(RankTarget::Idle);
                        Phase::Watching
                    }
                    Err(switch) => Phase::Preparing(switch, since),
                }
            }
            Phase::Holding(switch, holder) => self.hold(switch, holder, group).await,
            Phase::Arming(switch, armer) => match switch.advance(&states) {
                Ok(releasing) => {
                    if let Some(asked_at) = armer.asked_at {
                        group.record_arming_time(asked_at.elapsed());
                    }
                    self.release(releasing).await
                }
                Err(switch) if Instant::now() >= armer.direct_at => {
                    self.arm_directly(&switch, group).await;
                    let direct_at = Instant::now() + DIRECT_AFTER;
                    Phase::Arming(switch, Armer { direct_at, ..armer })
                }
                Err(switch) => Phase::Arming(switch, armer),
            },
            Phase::Releasing(switch) => self.release(switch).await,
            Phase::Released(switch) => {
                let has_begun = states.iter().all(|s| s.pass >= switch.pass());
                if switch.is_done(&states) || (has_begun && switch.map.is_empty()) {
                    tracing::info!(group = group.name, version = switch.version, "map in use");
                    group.record_switch(switch.version, &switch.map);
                    self.targets.send_replace(RankTarget::Idle);
                    return Phase::Watching;
                }
                Phase::Released(switch)
            }
        }
    }

    /// Asks another rank's agent for the hold.
    fn ask_for_hold(&mut self, switch: Switch<Holding>, group: &Group) -> Phase {
        let by = group.hold_issuer();
        if let Some(target) = switch.target(by) {
            self.targets.send_replace(target);
        }
        self.requested_holds.retain(|(epoch, _)| *epoch == switch.epoch);
        self.requested_holds.insert((switch.epoch, switch.pass()));
        Phase::Holding(switch, Holder { by, asked_at: Instant::now(), held_at: None })
    }

    async fn hold(&mut self, switch: Switch<Holding>, mut holder: Holder, group: &Group) -> Phase {
        let now = Instant::now();
        let pass = switch.pass();
        let Ok(report) = self.local_engine.report().await else {
            return Phase::Holding(switch, holder);
        };
        if report.map_version == switch.version {
            // Somebody else finished the change while this process was frozen.
            self.targets.send_replace(RankTarget::Idle);
            return Phase::Watching;
        }
        let states: Vec<RankState> = group.states();
        if report.held_pass == Some(pass) {
            let held_at = *holder.held_at.get_or_insert(now);
            let is_alive = group.ranks.get(&holder.by).is_some_and(|rank| {
                rank.state.gave_hold == Some(pass) && rank.seen_at >= held_at + HOLDER_PROOF
            });
            if is_alive {
                self.requested_holds.remove(&(switch.epoch, pass));
                let arming = switch.held();
                self.targets.send_replace(arming.target());
                let asked_at = Some(holder.asked_at);
                return Phase::Arming(arming, Armer { asked_at, direct_at: now + DIRECT_AFTER });
            }
            if now - held_at > HOLDER_LIMIT {
                tracing::warn!(pass, by = holder.by, "hold lifted: nothing heard from its giver");
                self.targets.send_replace(RankTarget::Idle);
                return self.release(switch.abandon()).await;
            }
            return Phase::Holding(switch, holder);
        }
        if report.pass >= pass {
            return self
                .ask_for_hold(switch.postpone(&states, report.pass, group.passes_ahead()), group);
        }
        if now - holder.asked_at > ASK_LIMIT {
            tracing::warn!(pass, by = holder.by, "change given up: no hold");
            self.targets.send_replace(RankTarget::Idle);
            return Phase::Watching;
        }
        Phase::Holding(switch, holder)
    }

    async fn release(&self, switch: Switch<Releasing>) -> Phase {
        let pass = switch.pass();
        let answer = self.local_engine.send_order(switch.epoch, &MapOrder::Release { pass }).await;
        let report = self.local_engine.report().await;
        tracing::info!(pass, ?answer, "release");
        match report {
            Ok(report) if report.held_pass.is_some() => Phase::Releasing(switch),
            Ok(_) if switch.is_abandoned() => Phase::Watching,
            Ok(_) => Phase::Released(switch.released()),
            Err(_) => Phase::Releasing(switch),
        }
    }

    /// Arms ranks whose agents don't: theirs may have died while the whole group waits.
    async fn arm_directly(&self, switch: &Switch<Arming>, group: &Group) {
        let RankTarget::Armed { epoch, version, pass, .. } = switch.target() else {
            return;
        };
        let missing = group.ranks.values().filter(|r| !is_armed(&r.state, version, pass));
        let arm = |engine: SocketAddr| async move {
            match EngineClient::new(engine, DIRECT_AFTER.as_millis() as u64) {
                Ok(client) => {
                    let answer = client.send_order(epoch, &MapOrder::Arm { version, pass }).await;
                    tracing::info!(%engine, version, pass, ?answer, "armed from rank 0");
                }
                Err(error) => tracing::warn!(%engine, %error, "engine's address can't be used"),
            }
        };
        join_all(missing.map(|rank| arm(rank.engine))).await;
    }
}

impl Phase {
    fn epoch(&self) -> Option<u64> {
        match self {
            Self::Watching => None,
            Self::Preparing(switch, _) => Some(switch.epoch),
            Self::Holding(switch, _) => Some(switch.epoch),
            Self::Arming(switch, _) => Some(switch.epoch),
            Self::Releasing(switch) => Some(switch.epoch),
            Self::Released(switch) => Some(switch.epoch),
        }
    }
}

fn into_phase(left: UnfinishedSwitch, now: Instant) -> Phase {
    match left {
        UnfinishedSwitch::Armed { epoch, version, pass } => {
            let armer = Armer { asked_at: None, direct_at: now + DIRECT_AFTER };
            Phase::Arming(Switch::resume(epoch, version, pass), armer)
        }
        UnfinishedSwitch::Held { epoch, pass } => Phase::Releasing(Switch::abandoned(epoch, pass)),
    }
}

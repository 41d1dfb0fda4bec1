//! How the coordinator ends a switch whose pass is held.

use super::{Coordinator, VERSION_SPREAD};
use crate::engine::rank_state;
use crate::engines::{Engine, Engines};
use crate::group::Group;
use crate::outcome::{Outcome, outcome};
use crate::phase::{ArmingTimes, DIRECT_ARM_DELAY, Phase};
use crate::switch::{Arming, Deciding, Fencing, Releasing, Switch, is_armed, next_fence_version};
use flamingowheel_backing::kv::KeyValue;
use flamingowheel_fleet::engine::{MapOrder, OrderAnswer};
use flamingowheel_platform::engine::EngineError;
use flamingowheel_protocol::ranks::{Map, RankState, RankTarget};
use futures_util::future::join_all;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;

impl<K, E> Coordinator<K, E>
where
    K: KeyValue + Clone + Send + Sync + 'static,
    E: Engines,
{
    /// Goes on with a switch that an earlier coordinator left, or whose hold took effect late.
    pub(super) fn resume(&mut self, outcome: Outcome, group: &Group) -> Phase {
        let (epoch, now) = (group.epoch, Instant::now());
        let phase = match outcome {
            Outcome::Committed { version, pass } => {
                self.arm_all(Switch::<Arming>::resume(epoch, version, pass, group.engines()), None)
            }
            Outcome::Abandoned { pass } => Phase::Releasing(Switch::abandoned(epoch, pass)),
            Outcome::Open { version, pass } => {
                let switch = Switch::<Deciding>::resume(epoch, version, pass, group.engines());
                let is_prepared = |rank: &RankState| rank.prepared_version == Some(version);
                let states = group.fresh_states(now);
                if states.is_some_and(|states| states.iter().all(is_prepared)) {
                    Phase::Deciding(switch, None)
                } else {
                    self.give_up(switch, group)
                }
            }
        };
        if !matches!(phase, Phase::Idle) {
            tracing::info!(group = group.name, epoch, ?outcome, "resuming a switch");
        }
        phase
    }

    /// Starts to give a held switch up; does nothing while the map in use is not known.
    pub(super) fn give_up(&mut self, switch: Switch<Deciding>, group: &Group) -> Phase {
        let states = group.states();
        let Some(map) = group.map_in_use(&states) else {
            return Phase::Idle;
        };
        let spread = rand::random_range(1..VERSION_SPREAD);
        self.last_version = next_fence_version(&states, self.last_version, spread);
        Phase::Fencing(switch.fence(self.last_version), Arc::new(map))
    }

    /// Has all agents arm their ranks for a switch that is committed.
    pub(super) fn arm_all(
        &mut self,
        switch: Switch<Arming>,
        requested_at: Option<Instant>,
    ) -> Phase {
        self.targets.send_replace(switch.target());
        let arm_directly_at = Instant::now() + DIRECT_ARM_DELAY;
        Phase::Arming(switch, ArmingTimes { requested_at, arm_directly_at })
    }

    /// Commits a switch whose pass is held: rank 0 is armed before any other rank.
    pub(super) async fn decide(
        &mut self,
        switch: Switch<Deciding>,
        requested_at: Option<Instant>,
    ) -> Phase {
        let (version, pass) = (switch.version, switch.pass());
        let order = MapOrder::Arm { version, pass };
        let answer = self.local_engine.send_order(switch.epoch, &order).await;
        match self.read_outcome().await {
            Ok(Some(Outcome::Committed { .. })) => self.arm_all(switch.committed(), requested_at),
            Ok(Some(Outcome::Abandoned { pass })) => {
                Phase::Releasing(Switch::abandoned(switch.epoch, pass))
            }
            Ok(None) => Phase::Idle,
            Ok(Some(Outcome::Open { .. })) | Err(_) => {
                tracing::debug!(version, pass, ?answer, "rank 0 is not armed yet");
                Phase::Deciding(switch, requested_at)
            }
        }
    }

    /// Gives up a switch whose pass is held: rank 0 prepares the map in use under a version that
    /// no rank is ever armed with.
    pub(super) async fn fence(&mut self, switch: Switch<Fencing>, map: Arc<Map>) -> Phase {
        let (version, pass) = (switch.fence_version(), switch.pass());
        let order = MapOrder::Prepare { version, map: Arc::clone(&map) };
        let answer = self.local_engine.send_order(switch.epoch, &order).await;
        tracing::info!(version, pass, ?answer, "rank 0 fenced");
        match self.read_outcome().await {
            Ok(Some(Outcome::Committed { .. })) => self.arm_all(switch.resumed().committed(), None),
            Ok(Some(Outcome::Abandoned { .. })) => self.release(switch.fenced()).await,
            Ok(Some(Outcome::Open { .. })) if answer == OrderAnswer::Conflict => {
                Phase::Deciding(switch.resumed(), None)
            }
            Ok(Some(Outcome::Open { .. })) | Err(_) => Phase::Fencing(switch, map),
            Ok(None) => Phase::Idle,
        }
    }

    /// Reads from the local engine, which is rank 0, how a switch ends.
    async fn read_outcome(&self) -> Result<Option<Outcome>, EngineError> {
        let report = self.local_engine.report().await?;
        Ok(rank_state(&report).and_then(|state| outcome(&state)))
    }

    pub(super) async fn release(&self, switch: Switch<Releasing>) -> Phase {
        let pass = switch.pass();
        let answer = self.local_engine.send_order(switch.epoch, &MapOrder::Release { pass }).await;
        let report = self.local_engine.report().await;
        tracing::info!(pass, ?answer, "release sent");
        match report {
            Ok(report) if report.held_pass == Some(pass) => Phase::Releasing(switch),
            Ok(_) if switch.is_abandoned() => Phase::Idle,
            Ok(_) => Phase::Released(switch.released()),
            Err(_) => Phase::Releasing(switch),
        }
    }

    /// Arms the ranks that are not armed yet: their agents may have failed, and the whole group
    /// waits.
    pub(super) async fn arm_directly(&self, switch: &Switch<Arming>, group: &Group) {
        let RankTarget::Armed { epoch, version, pass, .. } = switch.target() else {
            return;
        };
        let missing = group.ranks.values().filter(|r| !is_armed(&r.state, version, pass));
        let arm = |engine: SocketAddr| async move {
            match self.engines.engine(engine, DIRECT_ARM_DELAY.as_millis() as u64) {
                Ok(client) => {
                    let answer = client.send_order(epoch, &MapOrder::Arm { version, pass }).await;
                    tracing::info!(%engine, version, pass, ?answer, "armed from rank 0");
                }
                Err(error) => tracing::warn!(%engine, %error, "invalid engine address"),
            }
        };
        join_all(missing.map(|rank| arm(rank.engine))).await;
    }
}

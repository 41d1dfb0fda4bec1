//! Finishes a map switch whose coordinator failed or froze while the group was held.
//!
//! A held group starts no pass until it is released, and its callers' streams stall. Any agent can
//! finish the switch by the same decision as the coordinator ([`crate::outcome`]): it arms the ranks
//! that are not armed, rank 0 first, and releases the pass once all are. It uses only what can't
//! become untrue, so reports may be old, and several agents may act at the same time.

use crate::engine::rank_state;
use crate::engines::{Engine, Engines};
use crate::outcome::{Outcome, outcome};
use crate::switch::is_armed;
use flamingowheel_fleet::engine::MapOrder;
use flamingowheel_protocol::ranks::RankState;
use futures_util::{StreamExt, stream};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// How long the group may stall before rank 0 checks for a hold: longer than the longest pass,
/// which takes some 250 ms with a full batch and a skew of 3.
const BASE_STALL_TIMEOUT: Duration = Duration::from_millis(350);

/// Added per rank, so that usually only one agent acts.
const STALL_TIMEOUT_PER_RANK: Duration = Duration::from_millis(60);

/// Timeout of calls to other ranks' engines.
const ENGINE_TIMEOUT_MS: u64 = 150;

/// Rounds of arming and reading back. More than one, since engines leave some orders unanswered, and
/// their reports are some hundred milliseconds old.
const MAX_ROUNDS: usize = 16;

/// Calls to engines at the same time. Their answers are held in memory.
const MAX_CALLS: usize = 16;

/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(40);

/// How long the group must stall before the agent of rank `rank` checks for a hold.
pub fn stall_timeout(rank: usize) -> Duration {
    BASE_STALL_TIMEOUT + STALL_TIMEOUT_PER_RANK * u32::try_from(rank).unwrap_or(u32::MAX)
}

/// The pass that a group has not started, and the engines of the group.
#[derive(Clone, Debug)]
pub struct StalledPass {
    /// The group's epoch.
    pub epoch: u64,
    /// The pass.
    pub pass: u64,
    /// Addresses of the engines, by rank.
    pub engines: Arc<Vec<SocketAddr>>,
}

/// Finishes the switch for which a pass is held, if it is held. Ends with that pass.
pub async fn finish_switch<E>(engines: E, stalled: StalledPass)
where
    E: Engines,
{
    let clients = stalled.engines.iter().map(|address| engines.engine(*address, ENGINE_TIMEOUT_MS));
    let clients: Vec<E::Engine> = match clients.collect() {
        Ok(clients) => clients,
        Err(error) => {
            tracing::warn!(%error, "invalid engine address");
            return;
        }
    };
    if clients.is_empty() {
        return;
    }
    let StalledPass { epoch, pass, .. } = stalled;
    let armed = vec![false; clients.len()];
    let mut rescue = Rescue { epoch, pass, clients, armed };
    for _ in 0..MAX_ROUNDS {
        if rescue.advance().await == Progress::Over {
            return;
        }
        sleep(ROUND_PAUSE).await;
    }
    tracing::info!(epoch, pass, "the hold was not released in time");
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Continues,
    Over,
}

struct Rescue<E> {
    epoch: u64,
    pass: u64,
    clients: Vec<E>,
    /// Which ranks were read as armed. A switch that is committed is so with one version.
    armed: Vec<bool>,
}

impl<E> Rescue<E>
where
    E: Engine,
{
    async fn advance(&mut self) -> Progress {
        // Calls between VMs are billed, and without a hold there is nothing to finish.
        let Some(first) = self.read(0).await else {
            return Progress::Continues;
        };
        if first.held_pass != Some(self.pass) {
            return Progress::Over;
        }
        match outcome(&first) {
            Some(Outcome::Committed { version, pass }) if pass == self.pass => {
                self.arm_others(version).await;
                if self.armed.iter().all(|is_armed| *is_armed) {
                    self.release().await;
                }
            }
            Some(Outcome::Open { version, .. }) => {
                if self.is_prepared(version).await {
                    self.arm(0, version).await;
                }
            }
            Some(Outcome::Abandoned { .. }) => self.release().await,
            Some(Outcome::Committed { .. }) | None => return Progress::Over,
        }
        Progress::Continues
    }

    /// Whether all other ranks have prepared a version.
    async fn is_prepared(&self, version: u64) -> bool {
        let others = self.read_all((1..self.clients.len()).collect()).await;
        let mut versions = others.iter().map(|state| state.as_ref()?.prepared_version);
        versions.all(|prepared| prepared == Some(version))
    }

    /// Reads the ranks that are not known to be armed, and arms those that are not. Rank 0 is.
    async fn arm_others(&mut self, version: u64) {
        self.armed[0] = true;
        let unknown: Vec<usize> = (0..self.armed.len()).filter(|rank| !self.armed[*rank]).collect();
        let states = self.read_all(unknown.clone()).await;
        for (rank, state) in unknown.iter().zip(states) {
            self.armed[*rank] = state.is_some_and(|state| is_armed(&state, version, self.pass));
        }
        let unarmed = unknown.into_iter().filter(|rank| !self.armed[*rank]);
        let arming = stream::iter(unarmed).map(|rank| self.arm(rank, version));
        arming.buffer_unordered(MAX_CALLS).for_each(|()| std::future::ready(())).await;
    }

    async fn arm(&self, rank: usize, version: u64) {
        let (epoch, pass) = (self.epoch, self.pass);
        let answer = self.clients[rank].send_order(epoch, &MapOrder::Arm { version, pass }).await;
        tracing::info!(rank, version, pass, ?answer, "armed by another rank");
    }

    async fn release(&self) {
        let (epoch, pass) = (self.epoch, self.pass);
        let answer = self.clients[0].send_order(epoch, &MapOrder::Release { pass }).await;
        tracing::info!(epoch, pass, ?answer, "released by another rank");
    }

    /// Reads the states of ranks, in their order.
    async fn read_all(&self, ranks: Vec<usize>) -> Vec<Option<RankState>> {
        stream::iter(ranks).map(|rank| self.read(rank)).buffered(MAX_CALLS).collect().await
    }

    /// Reads a rank's state in the rescue's epoch.
    async fn read(&self, rank: usize) -> Option<RankState> {
        let report = match self.clients[rank].report().await {
            Ok(report) => report,
            Err(error) => {
                tracing::info!(rank, %error, "can't read the rank's report");
                return None;
            }
        };
        rank_state(&report).filter(|state| state.epoch == self.epoch && state.rank == rank)
    }
}

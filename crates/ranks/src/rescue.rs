//! Finishes a map switch whose coordinator failed or froze while the group was held.
//!
//! A held group starts no pass until it is released, and its callers' streams stall. Any agent can
//! finish the switch: it arms the ranks that are not armed, reads all ranks back and only then
//! releases the pass. Doing so is idempotent, so two agents may do it concurrently.

use crate::engine::rank_state;
use crate::engines::{Engine, Engines};
use crate::switch::{UnfinishedSwitch, find_unfinished, is_armed};
use flamingowheel_fleet::engine::MapOrder;
use flamingowheel_protocol::ranks::RankState;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long the group may stall before rank 0 checks for a hold: longer than the longest pass,
/// which takes some 250 ms with a full batch and a skew of 3.
const BASE_STALL_TIMEOUT: Duration = Duration::from_millis(350);

/// Added per rank, so that usually only one agent acts.
const STALL_TIMEOUT_PER_RANK: Duration = Duration::from_millis(60);

/// Timeout of calls to other ranks' engines.
const ENGINE_TIMEOUT_MS: u64 = 150;

/// Rounds of arming and reading back. More than one, since engines leave some orders unanswered.
const MAX_ROUNDS: usize = 6;

/// How long the group must stall before the agent of rank `rank` checks for a hold.
pub fn stall_timeout(rank: usize) -> Duration {
    BASE_STALL_TIMEOUT + STALL_TIMEOUT_PER_RANK * u32::try_from(rank).unwrap_or(u32::MAX)
}

/// Finishes the switch for which a group is held, if it is held. `addresses` are those of all
/// its engines, by rank.
pub async fn finish_switch<E>(engines: E, addresses: Arc<Vec<SocketAddr>>)
where
    E: Engines,
{
    let Ok(clients) = addresses
        .iter()
        .map(|address| engines.engine(*address, ENGINE_TIMEOUT_MS))
        .collect::<Result<Vec<_>, _>>()
    else {
        return;
    };
    let Some(held_engine) = clients.first() else {
        return;
    };
    // Calls between VMs are billed, and without a hold there is nothing to finish.
    let is_held = match held_engine.report().await {
        Ok(report) => report.held_pass.is_some(),
        Err(error) => {
            tracing::info!(%error, "can't read the report of rank 0");
            false
        }
    };
    if !is_held {
        return;
    }
    for _ in 0..MAX_ROUNDS {
        let Some(states) = read_all(&clients).await else {
            tracing::info!("can't read the reports of all ranks");
            continue;
        };
        let (epoch, pass) = match find_unfinished(&states) {
            Some(UnfinishedSwitch::Armed { epoch, version, pass }) => {
                let unarmed: Vec<usize> = (0..states.len())
                    .filter(|rank| !is_armed(&states[*rank], version, pass))
                    .collect();
                for rank in &unarmed {
                    let answer =
                        clients[*rank].send_order(epoch, &MapOrder::Arm { version, pass }).await;
                    tracing::info!(rank, version, pass, ?answer, "armed by another rank");
                }
                if !unarmed.is_empty() {
                    continue;
                }
                (epoch, pass)
            }
            Some(UnfinishedSwitch::Held { epoch, pass }) => (epoch, pass),
            None => return,
        };
        let answer = held_engine.send_order(epoch, &MapOrder::Release { pass }).await;
        tracing::info!(epoch, pass, ?answer, "released by another rank");
    }
}

/// Reads the states of all ranks, by rank; `None` unless all answer and have the same epoch.
async fn read_all<E>(clients: &[E]) -> Option<Vec<RankState>>
where
    E: Engine,
{
    let mut states = Vec::with_capacity(clients.len());
    for client in clients {
        let report = client.report().await.ok()?;
        states.push(rank_state(&report)?);
    }
    let epoch = states.first()?.epoch;
    let is_consistent =
        states.iter().enumerate().all(|(rank, s)| s.rank == rank && s.epoch == epoch);
    is_consistent.then_some(states)
}

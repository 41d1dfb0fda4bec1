//! Finishes a change of map whose coordinator died or froze while it held the group.
//!
//! A held group does no pass until somebody lets it go, and its callers' streams stand still. Any
//! agent can finish the change: it arms the ranks that lack it, reads every rank back, and only
//! then lets the pass begin. Two that do so at once do the same.

use crate::engine::rank_state;
use crate::switch::{UnfinishedSwitch, find_unfinished, is_armed};
use flamingowheel_fleet::engine::MapOrder;
use flamingowheel_platform::EngineClient;
use flamingowheel_protocol::ranks::RankState;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long the group may stand still before the first rank looks for a hold: longer than the
/// longest pass, some 250 ms with a full batch and a skew of 3.
const BASE_PATIENCE: Duration = Duration::from_millis(350);

/// Added for each rank, so that usually one alone acts.
const RANK_PATIENCE: Duration = Duration::from_millis(60);

/// Longest wait for an engine's answer, in milliseconds.
const ENGINE_LIMIT_MS: u64 = 150;

/// Rounds of arming and reading back. Engines leave some orders unanswered.
const ROUNDS: usize = 6;

/// How long rank `rank` waits before it looks for a hold.
pub fn stall_timeout(rank: usize) -> Duration {
    BASE_PATIENCE + RANK_PATIENCE * u32::try_from(rank).unwrap_or(u32::MAX)
}

/// Finishes the change of the group with these engines, if one holds it.
pub async fn finish_switch(engines: Arc<Vec<SocketAddr>>) {
    let Ok(clients) = engines
        .iter()
        .map(|engine| EngineClient::new(*engine, ENGINE_LIMIT_MS))
        .collect::<Result<Vec<_>, _>>()
    else {
        return;
    };
    let Some(holder) = clients.first() else {
        return;
    };
    // Reads from afar are paid for: without a hold there is nothing to finish.
    let is_held = match holder.report().await {
        Ok(report) => report.held_pass.is_some(),
        Err(error) => {
            tracing::info!(%error, "no report from rank 0");
            false
        }
    };
    if !is_held {
        return;
    }
    for _ in 0..ROUNDS {
        let Some(states) = read_all(&clients).await else {
            tracing::info!("not all ranks can be read");
            continue;
        };
        let (epoch, pass) = match find_unfinished(&states) {
            Some(UnfinishedSwitch::Armed { epoch, version, pass }) => {
                let lacking: Vec<usize> = (0..states.len())
                    .filter(|rank| !is_armed(&states[*rank], version, pass))
                    .collect();
                for rank in &lacking {
                    let answer =
                        clients[*rank].send_order(epoch, &MapOrder::Arm { version, pass }).await;
                    tracing::info!(rank, version, pass, ?answer, "armed by another rank");
                }
                if !lacking.is_empty() {
                    continue;
                }
                (epoch, pass)
            }
            Some(UnfinishedSwitch::Held { epoch, pass }) => (epoch, pass),
            None => return,
        };
        let answer = holder.send_order(epoch, &MapOrder::Release { pass }).await;
        tracing::info!(epoch, pass, ?answer, "released by another rank");
    }
}

/// The states of all ranks, by rank; `None` unless all answer and are of one epoch.
async fn read_all(clients: &[EngineClient]) -> Option<Vec<RankState>> {
    let mut states = Vec::with_capacity(clients.len());
    for client in clients {
        let report = client.report().await.ok()?;
        states.push(rank_state(&report)?);
    }
    let epoch = states.first()?.epoch;
    let is_whole = states.iter().enumerate().all(|(rank, s)| s.rank == rank && s.epoch == epoch);
    is_whole.then_some(states)
}

//! How the engine receives and applies orders.

use super::{FakeEngine, FencePolicy, OrderFault, State, silent};
use crate::backend::BackendError;
use crate::fake::lock;
use crate::orders::{ExpertMap, Fence, Order, OrderError, OrderTarget};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Digest that the engine reports for a staged map.
pub fn map_digest(map: &ExpertMap) -> u64 {
    let mut hasher = DefaultHasher::new();
    map.hash(&mut hasher);
    hasher.finish()
}

pub(super) async fn receive(engine: &FakeEngine, order: &Order) -> Result<(), OrderError> {
    engine.wait_until_responsive().await?;
    let fault = lock(&engine.shared.state).order_faults.pop_front();
    match fault {
        None => carry_out(engine, order).await,
        Some(OrderFault::RequestLost) => Err(BackendError::Lost.into()),
        Some(OrderFault::AnswerLost) => {
            let _ = carry_out(engine, order).await;
            Err(BackendError::Lost.into())
        }
        Some(OrderFault::Delayed(delay)) => {
            let process = engine.process()?;
            let (engine, order) = (engine.clone(), order.clone());
            let timeout = engine.settings().silence_timeout;
            tokio::spawn(async move {
                // The order came on a connection to this process and is lost if the process dies.
                tokio::select! {
                    biased;
                    () = process.ended.cancelled() => {}
                    () = tokio::time::sleep(delay) => drop(carry_out(&engine, &order).await),
                }
            });
            tokio::time::sleep(timeout).await;
            Err(silent(timeout).into())
        }
    }
}

async fn carry_out(engine: &FakeEngine, order: &Order) -> Result<(), OrderError> {
    let policy = engine.settings().fence_policy;
    check_fence(&mut lock(&engine.shared.state), policy, order.fence)?;
    if needs_weights(&order.target) {
        let process = engine.process()?;
        tokio::select! {
            biased;
            () = process.ended.cancelled() => return Err(BackendError::Lost.into()),
            () = tokio::time::sleep(engine.settings().weight_load_time) => {}
        }
    }
    let mut state = lock(&engine.shared.state);
    // A newer order may have arrived while the weights were loaded.
    check_fence(&mut state, policy, order.fence)?;
    apply(&mut state, &order.target, engine.settings().needs_staging)
}

fn needs_weights(target: &OrderTarget) -> bool {
    matches!(target, OrderTarget::Serve { .. } | OrderTarget::StageMap { .. })
}

fn check_fence(state: &mut State, policy: FencePolicy, given: Fence) -> Result<(), OrderError> {
    if policy == FencePolicy::Ignores {
        return Ok(());
    }
    match state.reported.highest_fence {
        Some(highest) if given < highest => Err(OrderError::Stale { given, highest }),
        _ => {
            state.reported.highest_fence = Some(given);
            Ok(())
        }
    }
}

fn apply(state: &mut State, target: &OrderTarget, needs_staging: bool) -> Result<(), OrderError> {
    let reported = &mut state.reported;
    *reported.counters.entry("orders".to_owned()).or_default() += 1;
    match target {
        OrderTarget::Serve { model, version, adapters, role } => {
            reported.model = model.clone();
            reported.version = version.clone();
            reported.adapters = adapters.clone();
            reported.role = role.clone();
        }
        OrderTarget::StageMap { map } => reported.staged_map_digest = Some(map_digest(map)),
        OrderTarget::Hold { after_step } => {
            if *after_step < reported.step {
                return Err(not_possible("step already run"));
            }
            reported.held_after_step = Some(*after_step);
        }
        OrderTarget::SwitchMap { map_version, map } => {
            if reported.held_after_step.is_none_or(|step| step > reported.step) {
                return Err(not_possible("not held"));
            }
            let in_use = reported.map_version == *map_version && state.map == *map;
            let staged = reported.staged_map_digest == Some(map_digest(map));
            if needs_staging && !in_use && !staged {
                return Err(not_possible("map not staged"));
            }
            reported.map_version = *map_version;
            state.map = map.clone();
        }
        OrderTarget::Resume => reported.held_after_step = None,
    }
    Ok(())
}

fn not_possible(reason: &str) -> OrderError {
    OrderError::NotPossible { reason: reason.to_owned() }
}

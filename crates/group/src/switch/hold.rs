//! Holds all ranks of a group at the same step boundary.

use super::{Held, Staged, Switch, Transition};
use crate::message::RankState;
use crate::ranks::Ranks;
use crate::session::{GroupError, RankOrder, Session};
use flamingowheel_backing::orders::{Fence, OrderTarget};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Steps between the latest step read and the boundary, so that orders arrive before the boundary.
const MARGIN_STEPS: u64 = 2;

/// Upper bound on the margin. The margin doubles each time an order fails, mostly because a rank
/// had passed the boundary; with a fixed one, a group whose ranks step faster than messages travel
/// would never stop.
const MAX_MARGIN_STEPS: u64 = 256;

/// Pause between two reads of ranks that are to be held.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Consecutive reads without a step after which a group counts as stalled.
const STALLED_POLLS: u32 = 10;

impl<'a, Transport> Switch<'a, Transport, Staged>
where
    Transport: Ranks,
{
    /// Holds all ranks after the same step.
    pub async fn hold(self) -> Transition<'a, Transport, Held> {
        let result = hold_all(self.session, self.stored.fence()).await.map(drop);
        self.then(result, |state| Held { next: state.next })
    }
}

/// Holds all ranks and confirms that they have stopped. Returns their states.
///
/// Ranks step together, so once one rank has accepted a boundary, none can pass it. If a rank is
/// already stopped (it has restarted, or an earlier switch was interrupted), the others can't reach
/// a later boundary and are held at their present step.
pub async fn hold_all<Transport>(
    session: &Session<'_, Transport>,
    fence: Fence,
) -> Result<Vec<RankState>, GroupError>
where
    Transport: Ranks,
{
    let deadline = Instant::now() + session.timing.rank_timeout;
    let mut moving: Option<Vec<bool>> = None;
    let mut last_steps = Vec::new();
    let mut stalled_polls = 0;
    let mut margin_steps = MARGIN_STEPS;
    loop {
        let states = session.read_all_or_fail(fence).await?;
        let moving =
            moving.get_or_insert_with(|| states.iter().map(|state| !state.is_stopped()).collect());
        if states.iter().all(RankState::is_stopped) {
            return check_same_step(states, moving);
        }
        let steps: Vec<u64> = states.iter().map(|state| state.engine.step).collect();
        stalled_polls = if steps == last_steps { stalled_polls + 1 } else { 0 };
        last_steps = steps;
        let is_stalled = stalled_polls >= STALLED_POLLS;
        let result =
            send_hold_orders(session, fence, hold_orders(&states, is_stalled, margin_steps)).await;
        if Instant::now() >= deadline || matches!(result, Err(GroupError::Superseded)) {
            result?;
            return Err(GroupError::UnevenSteps);
        }
        // A rank refuses a boundary that it has already passed; the next round sets a later one.
        if result.is_err() {
            margin_steps = (margin_steps * 2).min(MAX_MARGIN_STEPS);
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn send_hold_orders<Transport>(
    session: &Session<'_, Transport>,
    fence: Fence,
    orders: Vec<RankOrder>,
) -> Result<(), GroupError>
where
    Transport: Ranks,
{
    // The boundary is ordered from the first rank alone, and from the others once that one has
    // accepted it: ranks given different boundaries at the same time could stop at different steps.
    let mut orders = orders.into_iter();
    let first = orders.next().into_iter().collect();
    session.send_orders(fence, first, session.timing.call_timeout).await?;
    session.send_orders(fence, orders.collect(), session.timing.call_timeout).await
}

fn hold_orders(states: &[RankState], is_stalled: bool, margin_steps: u64) -> Vec<RankOrder> {
    let blocked = is_stalled || states.iter().any(RankState::is_stopped);
    let accepted = states.iter().filter_map(|state| state.engine.held_after_step).max();
    let latest = states.iter().map(|state| state.engine.step).max().unwrap_or(0);
    // A boundary that a rank has accepted is kept, or the group would never reach it.
    let boundary = accepted.unwrap_or(latest + margin_steps);
    let target = |state: &RankState| if blocked { state.engine.step } else { boundary };
    let unheld = states.iter().enumerate().filter(|(_, state)| {
        !state.is_stopped() && state.engine.held_after_step != Some(target(state))
    });
    unheld
        .map(|(rank, state)| RankOrder::new(rank, OrderTarget::Hold { after_step: target(state) }))
        .collect()
}

/// Checks that ranks that were stepping have stopped at the same step. Ranks that were stopped
/// before may be restarted engines, whose step counter was reset.
fn check_same_step(states: Vec<RankState>, moving: &[bool]) -> Result<Vec<RankState>, GroupError> {
    let stepping = states.iter().zip(moving).filter(|(_, moving)| **moving);
    let mut steps = stepping.map(|(state, _)| state.engine.step);
    let first = steps.next();
    if steps.any(|step| Some(step) != first) {
        return Err(GroupError::UnevenSteps);
    }
    Ok(states)
}

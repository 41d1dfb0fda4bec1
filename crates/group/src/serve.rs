//! Brings ranks to the model version and adapters of the group's record.

use crate::intake::IntakeState;
use crate::message::{RankError, RankState};
use crate::ranks::Ranks;
use crate::record::{GroupRecord, Serving, StoredRecord};
use crate::session::{GroupError, RankOrder, Session};
use crate::switch::hold_all;
use flamingowheel_backing::orders::{EngineState, OrderTarget};
use futures_util::future::join_all;
use std::collections::BTreeSet;

/// Version and adapters of one model that operators accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredServing {
    /// Model version; `None` keeps the version that is served.
    pub version: Option<String>,
    /// Adapters that requests of some workspace may name.
    pub adapters: BTreeSet<String>,
}

/// The model version and adapters to write into the group's record; `None` if it needs no change.
/// `reported_version` is the one that all ranks report; it is used until operators have named one.
///
/// An adapter that is no longer listed stays loaded until the next version: unloading it would
/// require waiting for the requests that use it.
///
/// ```
/// use flamingowheel_group::record::GroupRecord;
/// use flamingowheel_group::serve::{DesiredServing, next_serving};
/// let record = GroupRecord::without_map(1);
/// let desired = DesiredServing { version: Some("7".to_owned()), ..DesiredServing::default() };
/// assert_eq!(next_serving("notes", &desired, &record, None).unwrap().version, "7");
/// assert_eq!(next_serving("notes", &DesiredServing::default(), &record, Some("6")), None);
/// ```
pub fn next_serving(
    model: &str,
    desired: &DesiredServing,
    record: &GroupRecord,
    reported_version: Option<&str>,
) -> Option<Serving> {
    let current = record.serving.as_ref();
    if current.is_none() && *desired == DesiredServing::default() {
        return None;
    }
    let default_version = current.map(|current| current.version.as_str()).or(reported_version);
    let version = desired.version.as_deref().or(default_version)?.to_owned();
    let mut adapters = desired.adapters.clone();
    if let Some(current) = current.filter(|current| current.version == version) {
        adapters.extend(current.adapters.iter().cloned());
    }
    let next = Serving { model: model.to_owned(), version, adapters };
    (current != Some(&next)).then_some(next)
}

/// The version that all ranks report, if they agree on one.
pub(crate) fn reported_version(states: &[RankState]) -> Option<&str> {
    let version = states.first()?.engine.version.as_str();
    let agree = states.iter().all(|state| state.engine.version == version);
    (agree && !version.is_empty()).then_some(version)
}

pub(crate) fn is_same_set(one: &[String], other: &[String]) -> bool {
    one.iter().collect::<BTreeSet<_>>() == other.iter().collect::<BTreeSet<_>>()
}

fn has_version(engine: &EngineState, serving: &Serving) -> bool {
    engine.model == serving.model && engine.version == serving.version
}

fn serves(engine: &EngineState, serving: &Serving) -> bool {
    has_version(engine, serving)
        && serving.adapters.iter().all(|adapter| engine.adapters.contains(adapter))
}

/// The target that makes an engine serve `serving`. The engine keeps its role and, while the
/// version stays the same, adapters that it holds in addition.
fn target(engine: &EngineState, serving: &Serving) -> OrderTarget {
    let mut adapters = serving.adapters.clone();
    if has_version(engine, serving) {
        adapters.extend(engine.adapters.iter().cloned());
    }
    OrderTarget::Serve {
        model: serving.model.clone(),
        version: serving.version.clone(),
        adapters: adapters.into_iter().collect(),
        role: engine.role.clone(),
    }
}

/// Progress of the ranks towards the model version and adapters in the group's record.
pub(crate) enum Progress {
    /// All ranks serve them; holds the ranks' states.
    Served(Vec<(usize, RankState)>),
    /// Ranks that have to change their version still have requests in progress.
    Draining(Vec<(usize, IntakeState)>),
}

/// Ranks that don't serve the model version and adapters in the group's record.
pub(crate) fn behind(states: &[(usize, RankState)], record: &GroupRecord) -> Vec<usize> {
    let Some(serving) = &record.serving else { return Vec::new() };
    let is_behind = |(_, state): &&(usize, RankState)| !serves(&state.engine, serving);
    states.iter().filter(is_behind).map(|(rank, _)| *rank).collect()
}

/// Takes the next step to make the ranks serve the model version and adapters in the group's
/// record.
///
/// Ranks that have to change their version first stop admitting requests, and the group continues
/// to step until their requests have ended. Then all ranks are held, so that no step runs with two
/// versions, and stay held until all have been read back.
pub(crate) async fn advance<Transport>(
    session: &Session<'_, Transport>,
    stored: &StoredRecord,
    states: Vec<(usize, RankState)>,
) -> Result<Progress, GroupError>
where
    Transport: Ranks,
{
    let ranks = behind(&states, &stored.record);
    let Some(serving) = stored.record.serving.as_ref().filter(|_| !ranks.is_empty()) else {
        return Ok(Progress::Served(states));
    };
    let changing: Vec<&(usize, RankState)> =
        states.iter().filter(|(_, state)| !has_version(&state.engine, serving)).collect();
    if !changing.is_empty() {
        let busy = drain(session, stored, &changing).await;
        if !busy.is_empty() {
            return Ok(Progress::Draining(busy));
        }
        if session.ranks.count() > 1 {
            hold_all(session, stored.fence()).await?;
        }
    }
    if let Some((rank, state)) = states.iter().find(|(rank, _)| ranks.contains(rank))
        && !session.may_load
    {
        let version = state.engine.version.clone();
        return Err(GroupError::Rank { rank: *rank, error: RankError::WrongModel { version } });
    }
    let loads = states
        .iter()
        .filter(|(rank, _)| ranks.contains(rank))
        .map(|(rank, state)| load(session, stored, *rank, &state.engine, serving));
    join_all(loads).await.into_iter().collect::<Result<Vec<()>, GroupError>>()?;
    // The answer to an order does not prove the engine's present state: it may have crashed since.
    let states = session.read_all_or_fail(stored.fence()).await?;
    let states: Vec<(usize, RankState)> = states.into_iter().enumerate().collect();
    match behind(&states, &stored.record).first() {
        None => Ok(Progress::Served(states)),
        Some(rank) => {
            let version = states[*rank].1.engine.version.clone();
            Err(GroupError::Rank { rank: *rank, error: RankError::WrongModel { version } })
        }
    }
}

/// Closes the ranks' intakes and returns the ranks that still have requests. Ranks that were
/// started held and have no map don't count: they have run no step, and their requests can't end
/// before the group is resumed.
async fn drain<Transport>(
    session: &Session<'_, Transport>,
    stored: &StoredRecord,
    changing: &[&(usize, RankState)],
) -> Vec<(usize, IntakeState)>
where
    Transport: Ranks,
{
    let open = changing.iter().filter(|(_, state)| state.work.is_open);
    let open: Vec<usize> = open.map(|(rank, _)| *rank).collect();
    session.set_open(stored.fence(), &open, false).await;
    let is_busy = |state: &RankState| !state.is_fresh() && !state.work.is_drained();
    let busy = changing.iter().filter(|(_, state)| is_busy(state));
    busy.map(|(rank, state)| (*rank, state.work)).collect()
}

/// Makes a rank load the version or adapters that it is missing, once the weight store's rate
/// allows it.
async fn load<Transport>(
    session: &Session<'_, Transport>,
    stored: &StoredRecord,
    rank: usize,
    engine: &EngineState,
    serving: &Serving,
) -> Result<(), GroupError>
where
    Transport: Ranks,
{
    let changes_version = !has_version(engine, serving);
    let is_missing = |adapter: &&String| changes_version || !engine.adapters.contains(adapter);
    let adapters = serving.adapters.iter().filter(is_missing).count();
    if let Some(loads) = session.load_limiter {
        loads.acquire_for_model(changes_version, adapters).await;
    }
    let order = RankOrder::new(rank, target(engine, serving));
    session.send_orders(stored.fence(), vec![order], session.timing.stage_timeout).await
}

/// Reopens the intakes of ranks that were closed for a change.
pub(crate) async fn reopen<Transport>(
    session: &Session<'_, Transport>,
    stored: &StoredRecord,
    states: &[(usize, RankState)],
) where
    Transport: Ranks,
{
    let closed = states.iter().filter(|(_, state)| !state.work.is_open);
    let closed: Vec<usize> = closed.map(|(rank, _)| *rank).collect();
    if !closed.is_empty() {
        session.set_open(stored.fence(), &closed, true).await;
    }
}

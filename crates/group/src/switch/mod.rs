//! The switch of a group to another map, as a typestate: begin → stage → hold → commit → switch →
//! read back → resume. Each state is entered only through the one before, so that no rank can be
//! told to step with a map that the others are not known to use.

mod commit;
mod hold;
pub(crate) mod resume;
mod stage;
mod verify;

pub use hold::hold_all;

use crate::message::RankState;
use crate::ranks::Ranks;
use crate::record::{GroupRecord, Phase, RankEntry, RecordError, StoredRecord, VersionedMap};
use crate::session::{GroupError, Session};
use flamingowheel_backing::orders::ExpertMap;

/// A switch in the state `State`.
pub struct Switch<'a, Members, State> {
    session: &'a Session<'a, Members>,
    stored: StoredRecord,
    state: State,
}

/// The record says that ranks load the next map.
pub struct Begun {
    next: VersionedMap,
}

/// All ranks hold the weights of the next map.
pub struct Staged {
    next: VersionedMap,
}

/// All ranks have stopped at the same step.
pub struct Held {
    next: VersionedMap,
}

/// The new map is in force, all ranks stand still, and from here the switch only goes forward.
pub struct Committed;

/// All ranks were told to use the map in force.
pub struct Switched;

/// All ranks were read back: they use the map in force.
pub struct Verified;

/// A switch that did not get through, with the record as last known.
#[derive(Debug)]
pub struct Failure {
    /// What went wrong.
    pub error: GroupError,
    /// The record on which to go on: rolled back if pending, forward if committed.
    pub stored: StoredRecord,
}

/// The next state, or why it was not reached.
pub type Transition<'a, Members, State> = Result<Switch<'a, Members, State>, Box<Failure>>;

impl<'a, Members> Switch<'a, Members, Begun>
where
    Members: Ranks,
{
    /// Writes into the record that `map` is to come.
    pub async fn begin(
        session: &'a Session<'a, Members>,
        stored: StoredRecord,
        map: ExpertMap,
    ) -> Transition<'a, Members, Begun> {
        let states = match session.read_all_or_fail(stored.fence()).await {
            Ok(states) => states,
            Err(error) => return Err(Box::new(Failure { error, stored })),
        };
        let entry = |state: &RankState| RankEntry { incarnation: state.incarnation };
        let ranks = states.iter().map(entry).collect();
        let record = GroupRecord { ranks, ..stored.record.pending(map) };
        let Phase::Pending { next } = record.phase.clone() else {
            let error = GroupError::Record(RecordError::Malformed);
            return Err(Box::new(Failure { error, stored }));
        };
        match session.records.replace(&stored, record).await {
            Ok(stored) => Ok(Switch { session, stored, state: Begun { next } }),
            Err(error) => Err(Box::new(Failure { error: error.into(), stored })),
        }
    }
}

impl<'a, Members, State> Switch<'a, Members, State> {
    /// Goes on to `state` if `result` is good.
    fn then<Next, Enter>(
        self,
        result: Result<(), GroupError>,
        enter: Enter,
    ) -> Transition<'a, Members, Next>
    where
        Enter: FnOnce(State) -> Next,
    {
        match result {
            Ok(()) => {
                Ok(Switch { session: self.session, stored: self.stored, state: enter(self.state) })
            }
            Err(error) => Err(Box::new(Failure { error, stored: self.stored })),
        }
    }
}

//! Switch of a group to another expert map, as a typestate: begin → stage → hold → commit → switch
//! → read back → resume. Each state can be entered only from the one before it, so that no rank is
//! ordered to step with a map before all ranks have been read back as using it.

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

/// A map switch in the state `State`.
pub struct Switch<'a, Transport, State> {
    session: &'a Session<'a, Transport>,
    stored: StoredRecord,
    state: State,
}

/// The record names the next map as pending; ranks are still to load it.
pub struct Begun {
    next: VersionedMap,
}

/// All ranks have loaded the weights of the next map.
pub struct Staged {
    next: VersionedMap,
}

/// All ranks are held after the same step.
pub struct Held {
    next: VersionedMap,
}

/// The new map is in force and all ranks are held. From here the switch can only be completed, not
/// rolled back.
pub struct Committed;

/// All ranks have confirmed the order to use the map in force.
pub struct Switched;

/// All ranks have been read back and use the map in force.
pub struct Verified;

/// A failed switch.
#[derive(Debug)]
pub struct Failure {
    /// Error that ended the switch.
    pub error: GroupError,
    /// The latest record: a pending change is to be rolled back, a committed one completed.
    pub stored: StoredRecord,
}

/// The switch in its next state, or the failure that ended it.
pub type Transition<'a, Transport, State> = Result<Switch<'a, Transport, State>, Box<Failure>>;

impl<'a, Transport> Switch<'a, Transport, Begun>
where
    Transport: Ranks,
{
    /// Writes `map` into the record as pending.
    pub async fn begin(
        session: &'a Session<'a, Transport>,
        stored: StoredRecord,
        map: ExpertMap,
    ) -> Transition<'a, Transport, Begun> {
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

impl<'a, Transport, State> Switch<'a, Transport, State> {
    /// Enters the next state if `result` is `Ok`.
    fn then<Next, Enter>(
        self,
        result: Result<(), GroupError>,
        enter: Enter,
    ) -> Transition<'a, Transport, Next>
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

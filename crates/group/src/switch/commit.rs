//! Puts the next map in force.

use super::{Committed, Failure, Held, Switch, Transition};
use crate::ranks::Ranks;
use crate::session::GroupError;

impl<'a, Transport> Switch<'a, Transport, Held>
where
    Transport: Ranks,
{
    /// Writes into the record that the next map is in force. From then on every coordinator
    /// completes the switch instead of rolling it back.
    pub async fn commit(self) -> Transition<'a, Transport, Committed> {
        if !self.session.lease.may_change() {
            return self.then(Err(GroupError::LeaseExpired), |_| Committed);
        }
        let record = self.stored.record.committed(&self.state.next);
        match self.session.records.replace(&self.stored, record).await {
            Ok(stored) => Ok(Switch { session: self.session, stored, state: Committed }),
            Err(error) => Err(Box::new(Failure { error: error.into(), stored: self.stored })),
        }
    }
}

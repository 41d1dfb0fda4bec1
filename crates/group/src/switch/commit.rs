//! Puts the next map in force.

use super::{Committed, Failure, Held, Switch, Transition};
use crate::ranks::Ranks;
use crate::session::GroupError;

impl<'a, Members> Switch<'a, Members, Held>
where
    Members: Ranks,
{
    /// Writes into the record that the next map is in force. From then on every coordinator
    /// completes the switch instead of rolling it back.
    pub async fn commit(self) -> Transition<'a, Members, Committed> {
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

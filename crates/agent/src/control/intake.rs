//! Taking no new work while the group changes its version.

use super::Control;
use flamingowheel_protocol::id::ExecutionKey;
use flamingowheel_protocol::message::Refusal;

impl Control {
    /// Closed, it goes on with what runs, and says of what waits that it did not run: another group
    /// of the model can take that at once. Entries are told like of a backend server that is down,
    /// so that they send nothing here meanwhile.
    pub(super) fn set_open(&mut self, open: bool) {
        let closed = !open;
        if std::mem::replace(&mut self.closed, closed) == closed {
            return;
        }
        if closed {
            self.hand_back();
        }
        self.broadcast(&self.heartbeat());
    }

    fn hand_back(&mut self) {
        let waiting: Vec<ExecutionKey> = self.pending.keys().copied().collect();
        for key in waiting {
            self.admission.cancel(key);
            self.give_up(key, Refusal::BackendDown);
        }
    }
}

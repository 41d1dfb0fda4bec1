//! Closes admission while the group changes its model version.

use super::Control;
use flamingowheel_protocol::id::ExecutionKey;
use flamingowheel_protocol::message::Refusal;

impl Control {
    /// Opens or closes admission. When closed, running requests continue, and queued ones are
    /// refused as "not run", so that another group of the model can run them at once. Heartbeats
    /// then report the backend server as down, so that entries send no requests here.
    pub(super) fn set_open(&mut self, open: bool) {
        let closed = !open;
        if std::mem::replace(&mut self.closed, closed) == closed {
            return;
        }
        if closed {
            self.refuse_all_pending();
        }
        self.broadcast(&self.heartbeat());
    }

    fn refuse_all_pending(&mut self) {
        let waiting: Vec<ExecutionKey> = self.pending.keys().copied().collect();
        for key in waiting {
            self.admission.cancel(key);
            self.refuse_pending(key, Refusal::BackendDown);
        }
    }
}

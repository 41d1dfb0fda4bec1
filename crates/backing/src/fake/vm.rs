//! An in-memory VM list with a lag that the test sets.

use super::lock;
use crate::BoxFuture;
use crate::vm::{Vm, VmList, VmListError, VmState};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

#[derive(Debug, Default)]
struct State {
    /// The successive lists and when each took effect, oldest first.
    history: VecDeque<(Instant, Vec<Vm>)>,
    lag: Duration,
    down: bool,
    calls: u64,
}

/// In-memory VM list; clones share one list.
///
/// ```
/// use flamingowheel_backing::fake::FakeVmList;
/// use flamingowheel_backing::vm::VmList;
/// # #[tokio::main(flavor = "current_thread", start_paused = true)] async fn main() {
/// let list = FakeVmList::new(Vec::new());
/// assert!(list.list().await.unwrap().is_empty());
/// # }
/// ```
#[derive(Clone, Debug, Default)]
pub struct FakeVmList {
    state: Arc<Mutex<State>>,
}

impl FakeVmList {
    /// Creates a list that shows `vms` from the start, whatever the lag.
    pub fn new(vms: Vec<Vm>) -> Self {
        let this = Self::default();
        this.set(vms);
        this
    }

    /// Sets the actual VMs; the list shows them once the lag has passed.
    pub fn set(&self, vms: Vec<Vm>) {
        lock(&self.state).history.push_back((Instant::now(), vms));
    }

    /// Marks a VM as leaving.
    pub fn set_leaving(&self, name: &str) {
        self.update(|vms| {
            vms.iter_mut().filter(|vm| vm.name == name).for_each(|vm| vm.state = VmState::Leaving);
        });
    }

    /// Removes a VM; the list shows that once the lag has passed.
    pub fn remove(&self, name: &str) {
        self.update(|vms| vms.retain(|vm| vm.name != name));
    }

    /// Adds a VM; the list shows it once the lag has passed.
    pub fn add(&self, vm: Vm) {
        self.update(|vms| vms.push(vm));
    }

    /// Sets by how much the list lags behind.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }

    /// Makes the list unreachable or reachable again.
    pub fn set_down(&self, down: bool) {
        lock(&self.state).down = down;
    }

    /// Number of reads so far.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }

    fn update<F>(&self, update: F)
    where
        F: FnOnce(&mut Vec<Vm>),
    {
        let mut vms =
            lock(&self.state).history.back().map(|(_, vms)| vms.clone()).unwrap_or_default();
        update(&mut vms);
        self.set(vms);
    }
}

impl VmList for FakeVmList {
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>, VmListError>> {
        Box::pin(async move {
            let mut state = lock(&self.state);
            state.calls += 1;
            if state.down {
                return Err(VmListError::Unreachable);
            }
            let now = Instant::now();
            while state
                .history
                .get(1)
                .is_some_and(|(effective_at, _)| *effective_at + state.lag <= now)
            {
                state.history.pop_front();
            }
            Ok(state.history.front().map(|(_, vms)| vms.clone()).unwrap_or_default())
        })
    }
}

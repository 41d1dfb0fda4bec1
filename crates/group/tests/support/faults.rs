//! Faults, injected now or at a chosen message.

use super::{OUTAGE, RESTART, World, is_acting};
use flamingowheel_backing::fake::{LostAnswer, OrderFault};
use flamingowheel_backing::kv::LeaseId;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::sleep;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    LoseRequest,
    LoseAnswer,
    Duplicate,
    Delay(Duration),
    KillAgent,
    PauseAgent,
    CrashEngine,
    FreezeEngine,
    LoseOrder(OrderFault),
    ServiceDown,
    ServiceSlow,
    LoseServiceAnswers(LostAnswer),
    PauseCoordinator,
    KillCoordinator,
    /// A planned stop.
    StopCoordinator,
    ExpireLease,
}

impl World {
    /// Injects a fault now.
    pub fn inject_now(self: &Arc<Self>, rank: usize, fault: Fault) {
        self.inject(rank, fault);
    }

    /// Injects `fault` at the `message`-th message from now.
    pub fn schedule(&self, message: u64, fault: Fault) {
        let at = self.messages.load(Ordering::SeqCst) + message;
        self.schedule.lock().unwrap().push((at, fault));
    }

    /// Whether all scheduled faults have been injected.
    pub fn all_injected(&self) -> bool {
        self.schedule.lock().unwrap().is_empty()
    }

    pub(super) fn inject(self: &Arc<Self>, rank: usize, fault: Fault) {
        match fault {
            Fault::KillAgent => self.kill_agent(rank),
            Fault::PauseAgent => {
                self.slots[rank].paused.send_replace(true);
                self.after_outage(move |world| {
                    world.slots[rank].paused.send_replace(false);
                });
            }
            Fault::CrashEngine => self.engine(rank).crash(),
            Fault::FreezeEngine => {
                self.engine(rank).set_frozen(true);
                self.after_outage(move |world| world.engine(rank).set_frozen(false));
            }
            Fault::LoseOrder(lost) => self.engine(rank).inject_order_fault(lost),
            Fault::ServiceDown => {
                self.kv.set_down(true);
                self.after_outage(|world| world.kv.set_down(false));
            }
            Fault::ServiceSlow => {
                self.kv.set_delay(Duration::from_millis(800));
                self.after_outage(|world| world.kv.set_delay(Duration::ZERO));
            }
            Fault::LoseServiceAnswers(lost) => self.kv.lose_answers(1, lost),
            Fault::PauseCoordinator => {
                let all = self.processes.lock().unwrap();
                let index = all.iter().position(is_acting);
                drop(all);
                let Some(index) = index else { return };
                self.pause(index, true);
                let world = Arc::clone(self);
                // Long enough for the lease to expire and another process to take over.
                let pause = OUTAGE * 3;
                tokio::spawn(async move {
                    sleep(pause).await;
                    world.pause(index, false);
                });
            }
            Fault::KillCoordinator => {
                let all = self.processes.lock().unwrap();
                if let Some(process) = all.iter().find(|process| is_acting(process)) {
                    process.abort_handle.abort();
                }
            }
            Fault::StopCoordinator => {
                let all = self.processes.lock().unwrap();
                if let Some(process) = all.iter().find(|process| is_acting(process)) {
                    process.stop.cancel();
                }
            }
            Fault::ExpireLease => (1..100).for_each(|id| self.kv.expire_lease(LeaseId(id))),
            _ => {}
        }
    }

    fn pause(&self, index: usize, paused: bool) {
        if let Some(process) = self.processes.lock().unwrap().get(index) {
            process.paused.send_replace(paused);
        }
    }

    fn kill_agent(self: &Arc<Self>, rank: usize) {
        *self.slots[rank].gate.lock().unwrap() = None;
        self.slots[rank].calls.lock().unwrap().drain(..).for_each(|call| call.abort());
        let world = Arc::clone(self);
        tokio::spawn(async move {
            sleep(RESTART).await;
            world.start_agent(rank).await;
        });
    }

    fn after_outage<F>(self: &Arc<Self>, action: F)
    where
        F: FnOnce(&World) + Send + 'static,
    {
        let world = Arc::clone(self);
        tokio::spawn(async move {
            sleep(OUTAGE).await;
            action(&world);
        });
    }

    pub(super) fn due_fault(&self) -> Option<Fault> {
        let number = self.messages.fetch_add(1, Ordering::SeqCst);
        let mut schedule = self.schedule.lock().unwrap();
        let index = schedule.iter().position(|(at, _)| *at <= number)?;
        Some(schedule.remove(index).1)
    }
}

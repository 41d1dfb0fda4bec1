//! What happens to the simulated fleet.

use super::case::Trouble;
use super::{Event, Fleet};
use rand::RngExt;
use std::time::Duration;

/// Time for which callers go on connecting to an entry that leaves, and until its process ends.
const DIRECTORY_TTL: Duration = Duration::from_secs(2);
const DRAIN_TIME: Duration = Duration::from_millis(4_500);

/// Time from the end of a process until its successor runs.
const RESTART_TIME: Duration = Duration::from_millis(500);

/// Time between steps.
const STEP: Duration = Duration::from_millis(400);

impl Fleet {
    /// Does a step of the case's trouble, and schedules the next one.
    pub(super) fn trouble(&mut self, step: u32) {
        let vms = self.newest.len();
        let first = step as usize;
        match self.case.trouble {
            Trouble::RestartsByOne | Trouble::Upgraded => {
                self.restart_some(first, 1, Duration::from_secs(2), step)
            }
            Trouble::RestartsByThree | Trouble::RestartsOverlapping => {
                self.restart_some(first * 3, 3, STEP, step);
            }
            Trouble::RestartsAtOnce => (0..vms).for_each(|vm| self.restart(vm)),
            Trouble::ThirdRestarts => (0..vms).step_by(3).for_each(|vm| self.restart(vm)),
            Trouble::KilledOnce => self.kill_all(RESTART_TIME),
            Trouble::KilledEachTwoSeconds => {
                self.kill_all(RESTART_TIME);
                if step < 3 {
                    self.at(self.now + Duration::from_secs(2), Event::Trouble(step + 1));
                }
            }
            Trouble::VmsDead => {
                (0..vms).step_by(3).for_each(|vm| self.kill(vm, Duration::from_secs(5)));
            }
            Trouble::KilledWithoutStore => {
                self.store_away_until = self.now + Duration::from_secs(8);
                self.listed.clear();
                self.kill_all(RESTART_TIME);
            }
            Trouble::StoreAway => {
                self.store_away_until = self.now + Duration::from_secs(15);
                self.listed.clear();
            }
            Trouble::DataCentreCutOff => self.cut_off.extend((0..vms).step_by(3)),
            Trouble::ThirdAdded => (0..vms / 3).for_each(|_| self.add()),
            Trouble::ThirdRemoved => {
                (0..vms).step_by(3).for_each(|vm| _ = self.remove(vm));
            }
            Trouble::Frozen => {
                let until = self.now + Duration::from_secs(4);
                for vm in (0..vms).step_by(3) {
                    self.entries[self.newest[vm]].frozen_until = until;
                }
                self.at(until + Duration::from_secs(3), Event::Trouble(step));
            }
            _ => {}
        }
    }

    /// Restarts `count` VMs from `first` on, and the next ones after `pause`.
    fn restart_some(&mut self, first: usize, count: usize, pause: Duration, step: u32) {
        let vms = self.newest.len();
        (first..vms.min(first + count)).for_each(|vm| self.restart(vm));
        if first + count < vms {
            self.at(self.now + pause, Event::Trouble(step + 1));
        }
    }

    /// Has a process leave, drain and end, and its successor start.
    fn restart(&mut self, vm: usize) {
        let ends_at = self.remove(vm);
        let starts_at = if self.case.trouble == Trouble::RestartsOverlapping {
            self.now + RESTART_TIME
        } else {
            ends_at + RESTART_TIME
        };
        self.at(starts_at, Event::Start(vm));
    }

    /// Has a process leave and drain. Returns when it ends.
    fn remove(&mut self, vm: usize) -> Duration {
        let entry = self.newest[vm];
        self.listed.remove(&vm);
        self.entries[entry].leave(self.now + DIRECTORY_TTL);
        let ends_at = self.now + DRAIN_TIME.mul_f64(self.rng.random_range(0.7..1.3));
        self.at(ends_at, Event::End(entry));
        ends_at
    }

    fn add(&mut self) {
        self.newest.push(0);
        self.start(self.newest.len() - 1);
    }

    fn kill_all(&mut self, pause: Duration) {
        (0..self.newest.len()).for_each(|vm| self.kill(vm, pause));
    }

    fn kill(&mut self, vm: usize, pause: Duration) {
        self.entries[self.newest[vm]].is_up = false;
        self.at(self.now + pause, Event::Start(vm));
    }
}

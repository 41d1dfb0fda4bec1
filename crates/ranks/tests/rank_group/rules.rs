//! Rules on the orders of a group that hold for every delay of an order.

use flamingowheel_fleet::engine::MapOrder;
use std::collections::HashSet;

/// Checks passes and orders.
#[derive(Debug, Default)]
pub struct Rules {
    /// Passes, by epoch, that were released before all ranks were armed for them.
    abandoned: HashSet<(u64, u64)>,
    /// Passes for which a rank was armed.
    armed: HashSet<(u64, u64)>,
    violations: Vec<String>,
    newest_version: u64,
    switches: usize,
}

impl Rules {
    /// Records an order. A release counts unless its pass has begun or all ranks are armed for it.
    pub fn sent(
        &mut self,
        epoch: u64,
        rank: usize,
        order: &MapOrder,
        begun: u64,
        has_all_armed: bool,
    ) {
        match order {
            MapOrder::Release { pass } if *pass > begun && !has_all_armed => {
                self.abandoned.insert((epoch, *pass));
                if self.armed.contains(&(epoch, *pass)) {
                    self.report(format!("pass {pass}: released while some ranks are armed"));
                }
            }
            // Rank 0 refuses an order to arm it once the switch was given up.
            MapOrder::Arm { pass, .. } if rank != 0 && self.abandoned.contains(&(epoch, *pass)) => {
                self.report(format!("pass {pass}: rank {rank} is armed after a release"));
            }
            _ => {}
        }
    }

    /// Records that a rank was armed.
    pub fn armed(&mut self, epoch: u64, pass: u64) {
        self.armed.insert((epoch, pass));
        if self.abandoned.contains(&(epoch, pass)) {
            self.report(format!("pass {pass}: armed after a release"));
        }
    }

    /// Records that a pass begins with these versions of the map, by rank.
    pub fn pass_begins(&mut self, pass: u64, versions: &[u64]) {
        if versions.iter().any(|version| *version != versions[0]) {
            self.report(format!("pass {pass} begins with the maps {versions:?}"));
        }
        self.switches += usize::from(versions[0] != self.newest_version);
        self.newest_version = versions[0];
    }

    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Number of times that the group began to use another map.
    pub fn switches(&self) -> usize {
        self.switches
    }

    /// Number of passes that were released before all ranks were armed for them.
    pub fn abandoned(&self) -> usize {
        self.abandoned.len()
    }

    fn report(&mut self, violation: String) {
        self.violations.push(violation);
    }
}

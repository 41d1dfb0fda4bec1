//! The cases of the simulated fleet, and what a run shows.

use std::time::Duration;

/// What happens to the fleet, from [`TROUBLE_AT`] on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// Entries restart one by one, three at a time, or all within a second.
    RestartsByOne,
    RestartsByThree,
    RestartsAtOnce,
    /// As by one, from the version before to the present one.
    Upgraded,
    /// A third of them restarts at once.
    ThirdRestarts,
    /// As by three, each successor ready while its predecessor drains.
    RestartsOverlapping,
    /// All entries are killed, once or four times two seconds apart.
    KilledOnce,
    KilledEachTwoSeconds,
    /// A third of the VMs is dead for 5 s.
    VmsDead,
    /// All are killed while the store is away for 8 s; leases run out meanwhile.
    KilledWithoutStore,
    /// The store is away for 15 s; leases run out meanwhile.
    StoreAway,
    /// A third of the entries has a list with half of the others.
    ListsShort,
    /// A third of the entries is cut off from the store and the others, and goes on serving.
    DataCentreCutOff,
    /// A third of the entries is added, or leaves for good.
    ThirdAdded,
    ThirdRemoved,
    /// All requests come to one third of the entries, then to the next.
    TrafficMoves,
    /// Bursts of three seconds with six of silence between them.
    Bursts,
    /// A third of the entries gets a tenth of the others' requests.
    FewRequests,
    /// A third of the entries stands still for 4 s, again and again.
    Frozen,
    /// Links of a third of the entries take 5 s, every other seven seconds.
    SlowLinks,
}

/// All of them.
pub const TROUBLES: [Trouble; 21] = [
    Trouble::None,
    Trouble::RestartsByOne,
    Trouble::RestartsByThree,
    Trouble::RestartsAtOnce,
    Trouble::Upgraded,
    Trouble::ThirdRestarts,
    Trouble::RestartsOverlapping,
    Trouble::KilledOnce,
    Trouble::KilledEachTwoSeconds,
    Trouble::VmsDead,
    Trouble::KilledWithoutStore,
    Trouble::StoreAway,
    Trouble::ListsShort,
    Trouble::DataCentreCutOff,
    Trouble::ThirdAdded,
    Trouble::ThirdRemoved,
    Trouble::TrafficMoves,
    Trouble::Bursts,
    Trouble::FewRequests,
    Trouble::Frozen,
    Trouble::SlowLinks,
];

/// When the trouble begins.
pub const TROUBLE_AT: Duration = Duration::from_secs(30);

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub entries: usize,
    /// Requests a second and entry.
    pub rate_per_s: f64,
    /// Retries in each window besides a share of the requests.
    pub slack: f64,
    /// Share of the backend servers that refuse everything.
    pub sick_share: f64,
    pub trouble: Trouble,
    pub run_time: Duration,
}

impl Case {
    pub fn new(entries: usize, sick_share: f64, trouble: Trouble) -> Self {
        Self {
            entries,
            rate_per_s: 14.0,
            slack: if entries >= 380 { 95.0 } else { 13.0 * entries as f64 },
            sick_share,
            trouble,
            run_time: Duration::from_secs(60),
        }
    }
}

/// What a run showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Arrivals beyond the first of each request, by allowed, in the worst window.
    pub worst: f64,
    /// When that window began, its arrivals beyond the first, and those allowed.
    pub worst_at_s: f64,
    pub arrivals: usize,
    pub allowed: f64,
    /// The same, mean of the windows from [`TROUBLE_AT`] on.
    pub mean: f64,
    /// Requests whose first send failed, and those of them that were served.
    pub failed_first: usize,
    pub rescued: usize,
    /// Longest time between two retries of one process, from [`TROUBLE_AT`] on.
    pub longest_gap: Duration,
}

impl Report {
    pub fn rescued_share(&self) -> f64 {
        self.rescued as f64 / self.failed_first.max(1) as f64
    }
}

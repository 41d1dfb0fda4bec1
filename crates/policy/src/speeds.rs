//! Shares of servers that are slower than others, and of servers in other data centres.
//!
//! Load: servers of one service that take several times as long as the others for a while. By cost
//! alone such a server gets nothing, its observed time stays as it is, and it never gets work again.
//! So it gets the share that its speed allows: one that takes five times as long gets a fifth.

use std::time::Duration;

/// Ratio to the typical time from which a server counts as slow. Smaller differences are ignored: by
/// cost alone a server that is a tenth slower than the others gets nothing while they have room, and
/// its recovery would not be seen.
const SLOW_RATIO: f64 = 1.2;

/// Time in which half of a slow server's excess is forgotten without a new answer. An entry with few
/// requests would otherwise avoid it for good.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Factor of the cost of a server in another data centre. One further request at a nearer server
/// outweighs it.
const FAR_FACTOR: f64 = 1.25;

/// What is usual among the servers of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Typical {
    /// The lower median of the servers' times to an answer, in milliseconds.
    pub time_ms: f64,
    /// Number of servers.
    pub servers: usize,
}

impl Typical {
    /// The typical time of `servers` servers, given the known ones' times; `None` if fewer than two
    /// are known.
    ///
    /// ```
    /// use flamingowheel_policy::speeds::Typical;
    /// assert_eq!(Typical::new(vec![100.0, 20.0, 21.0, 19.0], 5).unwrap().time_ms, 20.0);
    /// assert_eq!(Typical::new(vec![100.0], 5), None);
    /// ```
    pub fn new(mut known_ms: Vec<f64>, servers: usize) -> Option<Self> {
        if known_ms.len() < 2 {
            return None;
        }
        let middle = (known_ms.len() - 1) / 2;
        let (_, median_ms, _) = known_ms.select_nth_unstable_by(middle, f64::total_cmp);
        Some(Self { time_ms: median_ms.max(1.0), servers })
    }

    /// Expected time to a server's answer, given the observed one and its age. That of a slow server
    /// returns to the typical one with age; a small difference from the typical one is ignored.
    ///
    /// ```
    /// use flamingowheel_policy::speeds::Typical;
    /// use std::time::Duration;
    /// let typical = Typical { time_ms: 20.0, servers: 5 };
    /// assert_eq!(typical.expected_ms(100.0, Duration::from_secs(10)), 60.0);
    /// assert_eq!(typical.expected_ms(22.0, Duration::ZERO), 20.0);
    /// ```
    pub fn expected_ms(&self, observed_ms: f64, age: Duration) -> f64 {
        if observed_ms < self.time_ms / SLOW_RATIO {
            return observed_ms;
        }
        if observed_ms < self.time_ms * SLOW_RATIO {
            return self.time_ms;
        }
        let left = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.time_ms + (observed_ms - self.time_ms) * left
    }

    /// Whether a request goes to a slow server before the others, given a random number between 0
    /// and 1. Of all requests its fair part goes there, divided by how much longer it takes.
    ///
    /// ```
    /// use flamingowheel_policy::speeds::Typical;
    /// let typical = Typical { time_ms: 20.0, servers: 5 };
    /// assert!(typical.is_due(100.0, 0.039));
    /// assert!(!typical.is_due(100.0, 0.041));
    /// assert!(!typical.is_due(22.0, 0.0));
    /// ```
    pub fn is_due(&self, expected_ms: f64, draw: f64) -> bool {
        let is_slow = expected_ms >= SLOW_RATIO * self.time_ms;
        is_slow && draw < self.time_ms / expected_ms / self.servers.max(1) as f64
    }
}

/// Factor of a server's cost by whether it is in another data centre than the entry.
///
/// ```
/// use flamingowheel_policy::speeds::distance_factor;
/// assert!(distance_factor(true) > distance_factor(false));
/// ```
pub fn distance_factor(is_far: bool) -> f64 {
    if is_far { FAR_FACTOR } else { 1.0 }
}

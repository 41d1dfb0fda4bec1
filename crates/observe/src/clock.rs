//! Hybrid logical clock: causal order over processes whose wall clocks disagree.
//!
//! A [`Stamp`] packs 48 bits of wall-clock milliseconds and 16 bits of logical counter into one
//! integer. Each local event takes a larger stamp than any stamp seen before it, so an effect is
//! never stamped before its cause, while stamps stay close to the wall clock.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use tokio::time::Instant;

const LOGICAL_BITS: u32 = 16;
const LOGICAL_MASK: u64 = (1 << LOGICAL_BITS) - 1;

/// How far a remote stamp may be ahead of the local wall clock before it is ignored.
pub const DEFAULT_MAX_DRIFT_MS: u64 = 2_000;

/// A point in hybrid logical time.
///
/// ```
/// use flamingowheel_observe::clock::Stamp;
///
/// let stamp = Stamp::new(1_000, 3);
/// assert_eq!(stamp.to_string(), "1000.3");
/// assert_eq!("1000.3".parse::<Stamp>(), Ok(stamp));
/// assert!(stamp < Stamp::new(1_001, 0));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp(u64);

impl Stamp {
    /// Builds a stamp from wall-clock milliseconds and a logical counter.
    pub fn new(wall_ms: u64, logical: u16) -> Self {
        Self((wall_ms << LOGICAL_BITS) | u64::from(logical))
    }

    /// The stamp as one integer, for messages between processes.
    pub fn packed(self) -> u64 {
        self.0
    }

    /// Converts from the integer of [`Stamp::packed`].
    ///
    /// ```
    /// use flamingowheel_observe::clock::Stamp;
    /// let stamp = Stamp::new(7, 1);
    /// assert_eq!(Stamp::from_packed(stamp.packed()), stamp);
    /// ```
    pub fn from_packed(packed: u64) -> Self {
        Self(packed)
    }

    /// Milliseconds since the Unix epoch.
    ///
    /// ```
    /// use flamingowheel_observe::clock::Stamp;
    ///
    /// assert_eq!(Stamp::new(1_000, 3).wall_ms(), 1_000);
    /// ```
    pub fn wall_ms(self) -> u64 {
        self.0 >> LOGICAL_BITS
    }

    /// Counter that orders stamps of the same millisecond.
    pub fn logical(self) -> u16 {
        (self.0 & LOGICAL_MASK) as u16
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall_ms(), self.logical())
    }
}

/// A text that is not of the form `milliseconds.counter`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a stamp reads milliseconds.counter")]
pub struct InvalidStamp;

impl FromStr for Stamp {
    type Err = InvalidStamp;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (wall_ms, logical) = text.split_once('.').ok_or(InvalidStamp)?;
        let wall_ms: u64 = wall_ms.parse().map_err(|_| InvalidStamp)?;
        if wall_ms >> (u64::BITS - LOGICAL_BITS) != 0 {
            return Err(InvalidStamp);
        }
        Ok(Self::new(wall_ms, logical.parse().map_err(|_| InvalidStamp)?))
    }
}

impl Serialize for Stamp {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        // JSON readers often keep numbers as doubles, which can't hold all 64 bits.
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            serializer.serialize_u64(self.0)
        }
    }
}

impl<'de> Deserialize<'de> for Stamp {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        // is_human_readable is not reliable here: tagged enums buffer their content and lose it.
        deserializer.deserialize_any(StampVisitor)
    }
}

struct StampVisitor;

impl Visitor<'_> for StampVisitor {
    type Value = Stamp;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a stamp, packed or as milliseconds.counter")
    }

    fn visit_u64<E>(self, packed: u64) -> Result<Stamp, E>
    where
        E: de::Error,
    {
        Ok(Stamp(packed))
    }

    fn visit_str<E>(self, text: &str) -> Result<Stamp, E>
    where
        E: de::Error,
    {
        text.parse().map_err(E::custom)
    }
}

/// Source of wall-clock time.
pub trait WallClock: Send + Sync {
    /// Milliseconds since the Unix epoch.
    fn now_ms(&self) -> u64;
}

/// The operating system's wall clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl WallClock for SystemClock {
    fn now_ms(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
    }
}

/// Wall clock that follows the runtime's clock from a fixed start, so that tests can pause it.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeClock {
    start_ms: u64,
    start: Instant,
}

impl RuntimeClock {
    /// A clock that reads `start_ms` now.
    ///
    /// ```
    /// use flamingowheel_observe::clock::{RuntimeClock, WallClock};
    ///
    /// assert!(RuntimeClock::starting_at(1_000).now_ms() >= 1_000);
    /// ```
    pub fn starting_at(start_ms: u64) -> Self {
        Self { start_ms, start: Instant::now() }
    }
}

impl WallClock for RuntimeClock {
    fn now_ms(&self) -> u64 {
        self.start_ms + self.start.elapsed().as_millis() as u64
    }
}

/// Wall clock that only changes when it is set, for tests.
#[derive(Clone, Debug, Default)]
pub struct ManualClock(Arc<AtomicU64>);

impl ManualClock {
    /// Sets the time; all clones read it.
    pub fn set_ms(&self, now_ms: u64) {
        self.0.store(now_ms, Ordering::SeqCst);
    }
}

impl WallClock for ManualClock {
    fn now_ms(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }
}

/// A remote stamp is ahead of the local wall clock by more than the drift bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("remote clock is {ahead_ms} ms ahead")]
pub struct DriftExceeded {
    /// How far ahead of the local wall clock the stamp is.
    pub ahead_ms: u64,
}

/// A process's hybrid logical clock; shared by reference between threads.
///
/// ```
/// use flamingowheel_observe::clock::{HybridClock, ManualClock};
///
/// let wall = ManualClock::default();
/// wall.set_ms(1_000);
/// let clock = HybridClock::new(wall);
/// let sent = clock.now();
/// assert!(clock.now() > sent);
/// ```
pub struct HybridClock {
    last: AtomicU64,
    max_drift_ms: u64,
    wall: Box<dyn WallClock>,
}

impl HybridClock {
    /// A clock over `wall` with the default drift bound.
    pub fn new<W>(wall: W) -> Self
    where
        W: WallClock + 'static,
    {
        Self { last: AtomicU64::new(0), max_drift_ms: DEFAULT_MAX_DRIFT_MS, wall: Box::new(wall) }
    }

    /// Replaces the drift bound.
    pub fn with_max_drift_ms(mut self, max_drift_ms: u64) -> Self {
        self.max_drift_ms = max_drift_ms;
        self
    }

    /// Stamps a local event or a message about to be sent.
    pub fn now(&self) -> Stamp {
        self.advance(0)
    }

    /// Advances the clock by the stamp of a received message; later local stamps are larger.
    ///
    /// A stamp beyond the drift bound is ignored: a process whose wall clock runs far ahead would
    /// otherwise advance the clocks of all processes it talks to, and through them of all others,
    /// and the timeline would show minutes that never passed. The caller records the error as an
    /// event and in a metric. Events caused by that process may then sort before their cause.
    ///
    /// ```
    /// use flamingowheel_observe::clock::{HybridClock, ManualClock, Stamp};
    ///
    /// let clock = HybridClock::new(ManualClock::default());
    /// let remote = Stamp::new(5, 0);
    /// assert!(clock.observe(remote).is_ok_and(|local| local > remote));
    /// assert!(clock.observe(Stamp::new(60_000, 0)).is_err());
    /// ```
    pub fn observe(&self, remote: Stamp) -> Result<Stamp, DriftExceeded> {
        let ahead_ms = remote.wall_ms().saturating_sub(self.wall.now_ms());
        if ahead_ms > self.max_drift_ms {
            return Err(DriftExceeded { ahead_ms });
        }
        Ok(self.advance(remote.0))
    }

    /// The underlying wall clock's time, in milliseconds since the Unix epoch.
    pub fn wall_ms(&self) -> u64 {
        self.wall.now_ms()
    }

    fn advance(&self, observed: u64) -> Stamp {
        let wall = Stamp::new(self.wall.now_ms(), 0).0;
        let next = |last: u64| wall.max(last.max(observed) + 1);
        let mut last = self.last.load(Ordering::Relaxed);
        loop {
            // A full counter carries into the milliseconds, so the order holds.
            let candidate = next(last);
            match self.last.compare_exchange_weak(
                last,
                candidate,
                Ordering::AcqRel,
                Ordering::Relaxed,
            ) {
                Ok(_) => return Stamp(candidate),
                Err(current) => last = current,
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn clock_at(now_ms: u64) -> (HybridClock, ManualClock) {
        let wall = ManualClock::default();
        wall.set_ms(now_ms);
        (HybridClock::new(wall.clone()), wall)
    }

    #[test]
    fn now_increases_when_wall_clock_stops_or_goes_back() {
        let (clock, wall) = clock_at(1_000);
        let first = clock.now();
        let second = clock.now();
        wall.set_ms(400);
        let third = clock.now();
        assert!(first < second && second < third);
        assert_eq!(third.wall_ms(), 1_000);
    }

    #[test]
    fn now_counter_full_carries_into_milliseconds() {
        let (clock, _wall) = clock_at(1_000);
        for _ in 0..=u32::from(u16::MAX) {
            clock.now();
        }
        assert_eq!(clock.now(), Stamp::new(1_001, 0));
    }

    #[test]
    fn observe_remote_ahead_orders_effect_after_cause() {
        let (clock, _wall) = clock_at(1_000);
        let cause = Stamp::new(1_500, 7);
        clock.observe(cause).expect("within the bound");
        assert!(clock.now() > cause);
    }

    #[test]
    fn observe_beyond_drift_ignored() {
        let (clock, _wall) = clock_at(1_000);
        let remote = Stamp::new(1_000 + DEFAULT_MAX_DRIFT_MS + 1, 0);
        assert_eq!(
            clock.observe(remote),
            Err(DriftExceeded { ahead_ms: DEFAULT_MAX_DRIFT_MS + 1 })
        );
        assert_eq!(clock.now().wall_ms(), 1_000);
    }

    #[test]
    fn stamp_out_of_range_text_refused() {
        assert_eq!("999999999999999999.0".parse::<Stamp>(), Err(InvalidStamp));
        assert_eq!("12".parse::<Stamp>(), Err(InvalidStamp));
    }

    #[test]
    fn stamp_json_round_trip() {
        let stamp = Stamp::new(1_790_000_000_000, 65_535);
        let json = serde_json::to_string(&stamp).expect("serialises");
        assert_eq!(json, "\"1790000000000.65535\"");
        assert_eq!(serde_json::from_str::<Stamp>(&json).expect("parses"), stamp);
    }
}

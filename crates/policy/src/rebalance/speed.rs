//! Speeds of a group's ranks, from what they did and how long they were busy with it.

/// Samples that must agree before a rank counts as slow, or as recovered: a single one may come
/// from a report that was cut short or counted twice.
const AGREEING: usize = 2;

/// Smallest lag behind the other ranks that counts.
const MIN_LAG: f64 = 0.15;

/// Standard deviations of the samples that a lag must exceed.
const DEVIATIONS: f64 = 4.0;

/// Part of that lag by which the speed of a rank that is known to be slow may be off.
const SLOW_STEP: f64 = 3.0;

/// Median distance of two normal numbers in standard deviations.
const MEDIAN_DISTANCE: f64 = 0.954;

/// Intervals whose distances tell the noise.
const NOISE_INTERVALS: usize = 3;

/// Intervals without a sample after which nothing is known of a rank any more.
const FORGET_AFTER: u32 = 6;

/// Slowest speed that is believed.
const MIN_SPEED: f64 = 0.1;

/// What a rank did between two reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// Tokens its experts worked on.
    pub tokens: f64,
    /// Time it was busy with them, without waiting for others.
    pub busy_us: f64,
}

#[derive(Clone, Debug)]
struct Rank {
    speed: f64,
    /// The latest samples, newest last.
    samples: Vec<f64>,
    missed: u32,
}

impl Rank {
    fn new() -> Self {
        Self { speed: 1.0, samples: Vec::new(), missed: 0 }
    }

    /// Takes in a sample; tells its distance from the one before.
    fn observe(&mut self, sample: f64) -> Option<f64> {
        self.missed = 0;
        let before = self.samples.last().copied();
        self.samples.push(sample);
        if self.samples.len() > AGREEING {
            self.samples.remove(0);
        }
        before.map(|before| (sample - before).abs())
    }

    fn miss(&mut self) {
        self.missed += 1;
        if self.missed >= FORGET_AFTER {
            *self = Self::new();
        }
    }

    fn judge(&mut self, lag: f64) {
        if self.samples.len() < AGREEING {
            return;
        }
        let all = |test: &dyn Fn(f64) -> bool| self.samples.iter().all(|sample| test(*sample));
        let mean = self.samples.iter().sum::<f64>() / self.samples.len() as f64;
        let speed = self.speed;
        let step = if speed < 1.0 { lag / SLOW_STEP } else { lag };
        // Between the two bounds a rank stays what it was: one that is just at a bound would
        // otherwise have its experts moved to and fro.
        if speed < 1.0 && all(&|sample| sample > 1.0 - lag / 2.0) {
            self.speed = 1.0;
        } else if all(&|sample| sample < speed - step) || all(&|sample| sample > speed + step) {
            self.speed = mean.clamp(MIN_SPEED, 1.0);
        }
    }
}

/// The speeds of a group's ranks relative to the group's median, 1 unless a rank lags behind for
/// sure.
///
/// ```
/// use flamingowheel_policy::rebalance::{RankSpeeds, Work};
/// let mut speeds = RankSpeeds::new(3);
/// let work = |busy_us| Some(Work { tokens: 100.0, busy_us });
/// (0..4).for_each(|_| speeds.observe(&[work(200.0), work(100.0), work(100.0)]));
/// assert_eq!(speeds.speeds(), [0.5, 1.0, 1.0]);
/// ```
#[derive(Clone, Debug)]
pub struct RankSpeeds {
    ranks: Vec<Rank>,
    /// Distances between successive samples, by interval, newest last.
    distances: Vec<Vec<f64>>,
}

impl RankSpeeds {
    /// All ranks count as 1 until they report.
    pub fn new(ranks: usize) -> Self {
        Self { ranks: vec![Rank::new(); ranks], distances: Vec::new() }
    }

    /// Takes in what each rank did in an interval; `None` for one that did not report.
    pub fn observe(&mut self, work: &[Option<Work>]) {
        let rates: Vec<Option<f64>> = work.iter().map(|work| rate((*work)?)).collect();
        let Some(usual) = median(rates.iter().flatten().copied().collect()) else { return };
        let mut distances = Vec::new();
        for (rank, rate) in self.ranks.iter_mut().zip(&rates) {
            match rate {
                Some(rate) => distances.extend(rank.observe(rate / usual)),
                None => rank.miss(),
            }
        }
        self.distances.push(distances);
        if self.distances.len() > NOISE_INTERVALS {
            self.distances.remove(0);
        }
        let lag = self.lag();
        self.ranks.iter_mut().for_each(|rank| rank.judge(lag));
    }

    /// The speed of each rank.
    pub fn speeds(&self) -> Vec<f64> {
        self.ranks.iter().map(|rank| rank.speed).collect()
    }

    /// The lag that noise does not explain. A rank that is slow for good has steady samples, so
    /// its slowness is not taken for noise.
    fn lag(&self) -> f64 {
        let distances = self.distances.iter().flatten().copied().collect();
        let deviation = median(distances).unwrap_or(0.0) / MEDIAN_DISTANCE;
        (DEVIATIONS * deviation).max(MIN_LAG)
    }
}

fn rate(work: Work) -> Option<f64> {
    let rate = work.tokens / work.busy_us;
    (rate.is_finite() && rate > 0.0).then_some(rate)
}

/// The upper median, so that of two ranks the faster one is the measure.
fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

//! Speeds of a group's ranks, from the tokens they processed and the time they were busy.

/// Samples that must agree before a rank counts as slow or as recovered. A single one may come from
/// a report that was truncated or counted twice.
const AGREEING_SAMPLES: usize = 2;

/// Smallest lag behind the median rate that counts as slow.
const MIN_LAG: f64 = 0.15;

/// Number of standard deviations of the samples that a lag must exceed.
const LAG_DEVIATIONS: f64 = 4.0;

/// Divisor of the lag for a rank already known to be slow, whose speed is adjusted in smaller
/// steps.
const SLOW_STEP_DIVISOR: f64 = 3.0;

/// Median distance between two normal samples, in standard deviations.
const MEDIAN_DISTANCE: f64 = 0.954;

/// Number of intervals from whose distances the noise is estimated.
const NOISE_INTERVALS: usize = 3;

/// Consecutive intervals without a sample after which a rank's state is reset.
const MAX_MISSED_INTERVALS: u32 = 6;

/// Lower bound of the estimated speed.
const MIN_SPEED: f64 = 0.1;

/// Work of a rank between two reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// Tokens that its experts processed.
    pub tokens: f64,
    /// Time that it was busy with them, excluding waits for other ranks.
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

    /// Records a sample and returns its distance from the previous one.
    fn observe(&mut self, sample: f64) -> Option<f64> {
        self.missed = 0;
        let before = self.samples.last().copied();
        self.samples.push(sample);
        if self.samples.len() > AGREEING_SAMPLES {
            self.samples.remove(0);
        }
        before.map(|before| (sample - before).abs())
    }

    fn record_missed(&mut self) {
        self.missed += 1;
        if self.missed >= MAX_MISSED_INTERVALS {
            *self = Self::new();
        }
    }

    fn update_speed(&mut self, lag: f64) {
        if self.samples.len() < AGREEING_SAMPLES {
            return;
        }
        let all = |test: &dyn Fn(f64) -> bool| self.samples.iter().all(|sample| test(*sample));
        let mean = self.samples.iter().sum::<f64>() / self.samples.len() as f64;
        let speed = self.speed;
        let step = if speed < 1.0 { lag / SLOW_STEP_DIVISOR } else { lag };
        // Hysteresis: between the two bounds a rank keeps its speed. Otherwise the experts of a
        // rank close to a bound would be moved back and forth.
        if speed < 1.0 && all(&|sample| sample > 1.0 - lag / 2.0) {
            self.speed = 1.0;
        } else if all(&|sample| sample < speed - step) || all(&|sample| sample > speed + step) {
            self.speed = mean.clamp(MIN_SPEED, 1.0);
        }
    }
}

/// Speeds of a group's ranks relative to the group's median. A rank's speed is 1 unless it lags
/// behind significantly.
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
    /// Starts with a speed of 1 for all ranks.
    pub fn new(ranks: usize) -> Self {
        Self { ranks: vec![Rank::new(); ranks], distances: Vec::new() }
    }

    /// Records the work of each rank in an interval; `None` for a rank that did not report.
    pub fn observe(&mut self, work: &[Option<Work>]) {
        let rates: Vec<Option<f64>> = work.iter().map(|work| rate((*work)?)).collect();
        let Some(median_rate) = median(rates.iter().flatten().copied().collect()) else { return };
        let mut distances = Vec::new();
        for (rank, rate) in self.ranks.iter_mut().zip(&rates) {
            match rate {
                Some(rate) => distances.extend(rank.observe(rate / median_rate)),
                None => rank.record_missed(),
            }
        }
        self.distances.push(distances);
        if self.distances.len() > NOISE_INTERVALS {
            self.distances.remove(0);
        }
        let lag = self.lag();
        self.ranks.iter_mut().for_each(|rank| rank.update_speed(lag));
    }

    /// The speed of each rank relative to the median, at most 1.
    pub fn speeds(&self) -> Vec<f64> {
        self.ranks.iter().map(|rank| rank.speed).collect()
    }

    /// The smallest lag that noise does not explain. The samples of a permanently slow rank are
    /// steady, so its slowness doesn't count as noise.
    fn lag(&self) -> f64 {
        let distances = self.distances.iter().flatten().copied().collect();
        let deviation = median(distances).unwrap_or(0.0) / MEDIAN_DISTANCE;
        (LAG_DEVIATIONS * deviation).max(MIN_LAG)
    }
}

fn rate(work: Work) -> Option<f64> {
    let rate = work.tokens / work.busy_us;
    (rate.is_finite() && rate > 0.0).then_some(rate)
}

/// The upper median, so that of two ranks the faster one is the reference.
fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

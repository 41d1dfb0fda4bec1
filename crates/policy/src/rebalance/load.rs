//! Decayed loads of the experts of one layer, and forecasts of them.

/// Ratio of an observation's weight in the fast mean to its weight in the slow mean.
const SLOW_DECAY_RATIO: f64 = 2.8;

/// Part of the squared trends that is attributed to noise, as a multiple of the value expected from
/// noise alone. Trends that are only noise would move experts needlessly, and back in the next
/// plan.
const NOISE_MARGIN: f64 = 1.5;

/// Number of observations above which the error of the forecast is tracked rather than that of the
/// mean.
const MIN_FORECAST_OBSERVATIONS: u32 = 4;

/// Smallest weight of one observation in a mean.
const MIN_SHARE: f64 = 1e-3;

/// A fast and a slow exponentially decayed mean of each expert's load. Both lag behind a drifting
/// load, the slow one more; their difference indicates the drift.
#[derive(Clone, Debug, PartialEq)]
pub struct DecayedLoads {
    fast_share: f64,
    slow_share: f64,
    /// Number of steps observed, saturating.
    observed: u32,
    fast: Vec<f64>,
    slow: Vec<f64>,
    /// Decayed mean of the squared forecast error of each load.
    errors: Vec<f64>,
}

impl DecayedLoads {
    /// Starts with a first observation; each later one has the weight `share` in the fast mean.
    ///
    /// ```
    /// use flamingowheel_policy::rebalance::DecayedLoads;
    /// let mut loads = DecayedLoads::new(0.5, &[1.0, 3.0]);
    /// loads.observe(&[3.0, 3.0]);
    /// assert_eq!(loads.means(), [2.0, 3.0]);
    /// ```
    pub fn new(share: f64, first: &[f64]) -> Self {
        Self {
            fast_share: share.clamp(MIN_SHARE, 1.0),
            slow_share: share.clamp(MIN_SHARE, 1.0) / SLOW_DECAY_RATIO,
            observed: 1,
            fast: first.to_vec(),
            slow: first.to_vec(),
            errors: vec![0.0; first.len()],
        }
    }

    /// Records the loads of one more step.
    pub fn observe(&mut self, loads: &[f64]) {
        // The first observations have equal weights. Otherwise the slow mean would retain the noise
        // of the first one, which would look like drift for many steps and cause needless moves.
        self.observe_errors(loads);
        self.observed = self.observed.saturating_add(1);
        let even_share = 1.0 / f64::from(self.observed);
        let fast_share = self.fast_share.max(even_share);
        let slow_share = self.slow_share.max(even_share);
        for (expert, &load) in loads.iter().enumerate() {
            self.fast[expert] += fast_share * (load - self.fast[expert]);
            self.slow[expert] += slow_share * (load - self.slow[expert]);
        }
    }

    fn observe_errors(&mut self, loads: &[f64]) {
        let can_forecast = self.observed > MIN_FORECAST_OBSERVATIONS;
        let expected = if can_forecast { self.forecast(1.0) } else { self.fast.clone() };
        let share = self.slow_share.max(1.0 / f64::from(self.observed));
        for ((error, load), expected) in self.errors.iter_mut().zip(loads).zip(&expected) {
            *error += share * ((load - expected).powi(2) - *error);
        }
    }

    /// The fast decayed mean of each expert's load.
    pub fn means(&self) -> &[f64] {
        &self.fast
    }

    /// The expected loads `ahead_steps` after the last observation, or before it if negative,
    /// extrapolated linearly from both means. The slope is reduced by the part that noise explains.
    ///
    /// ```
    /// use flamingowheel_policy::rebalance::DecayedLoads;
    /// let mut loads = DecayedLoads::new(0.3, &[100.0, 100.0]);
    /// (1..40).for_each(|step| loads.observe(&[100.0 + 5.0 * step as f64, 100.0]));
    /// assert!(loads.forecast(10.0)[0] > loads.means()[0] + 20.0);
    /// assert_eq!(loads.forecast(10.0)[1], 100.0);
    /// ```
    pub fn forecast(&self, ahead_steps: f64) -> Vec<f64> {
        let fast_lag_steps = lag_steps(self.fast_share);
        let slow_lag_steps = lag_steps(self.slow_share);
        let steps = (fast_lag_steps + ahead_steps) / (slow_lag_steps - fast_lag_steps);
        let extrapolation = steps * self.signal_part();
        let pairs = self.fast.iter().zip(&self.slow);
        pairs.map(|(fast, slow)| (fast + (fast - slow) * extrapolation).max(0.0)).collect()
    }

    /// Part of the trends that noise does not explain, from 0 to 1, over all experts. Noise alone
    /// makes the means differ by a known part of the loads' variance.
    fn signal_part(&self) -> f64 {
        let share = difference_variance(self.fast_share, self.slow_share);
        let pairs = self.fast.iter().zip(&self.slow).zip(&self.errors);
        let noise_ratio = |((fast, slow), error): ((&f64, &f64), &f64)| {
            (fast - slow).powi(2) / (share * error).max(f64::MIN_POSITIVE)
        };
        let mean = pairs.map(noise_ratio).sum::<f64>() / self.fast.len().max(1) as f64;
        if mean > NOISE_MARGIN { 1.0 - NOISE_MARGIN / mean } else { 0.0 }
    }
}

/// Variance of the difference between two decayed means of the same noise of variance 1.
fn difference_variance(fast_share: f64, slow_share: f64) -> f64 {
    let variance = |share: f64| share / (2.0 - share);
    let common = 1.0 - (1.0 - fast_share) * (1.0 - slow_share);
    variance(fast_share) + variance(slow_share) - 2.0 * fast_share * slow_share / common
}

/// Steps by which a mean lags behind a load that changes linearly.
fn lag_steps(share: f64) -> f64 {
    (1.0 - share) / share
}

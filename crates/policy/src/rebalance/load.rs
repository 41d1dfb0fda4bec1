//! Decayed loads of the experts of one layer, and where they are heading.

/// How much slower the second mean decays than the first.
const SLOWER: f64 = 2.8;

/// Part of the trends that is put down to noise, as a multiple of what noise alone would make of
/// them. Trends of noise move experts for nothing, and back at the next plan.
const DOUBT: f64 = 1.5;

/// Observations from which a forecast can be held against the next load.
const FORECAST_FROM: u32 = 4;

/// Smallest part of a mean that one observation may weigh.
const MIN_SHARE: f64 = 1e-3;

/// Exponentially decayed means of each expert's load, a fast and a slow one. Both lag behind a
/// drifting load, the slow one more; their difference tells the drift.
#[derive(Clone, Debug, PartialEq)]
pub struct DecayedLoads {
    fast_share: f64,
    slow_share: f64,
    /// Steps observed, as long as that number matters.
    observed: u32,
    fast: Vec<f64>,
    slow: Vec<f64>,
    /// Decayed squares of how far each load was from its forecast.
    errors: Vec<f64>,
}

impl DecayedLoads {
    /// Starts from a first observation; each later one weighs `share` of the fast mean.
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
            slow_share: share.clamp(MIN_SHARE, 1.0) / SLOWER,
            observed: 1,
            fast: first.to_vec(),
            slow: first.to_vec(),
            errors: vec![0.0; first.len()],
        }
    }

    /// Takes in the loads of one more step.
    pub fn observe(&mut self, loads: &[f64]) {
        // The first observations count alike. Else the slow mean would hold on to the noise of the
        // very first one, which would look like drift for many steps and cause needless moves.
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
        let known = self.observed > FORECAST_FROM;
        let expected = if known { self.forecast(1.0) } else { self.fast.clone() };
        let share = self.slow_share.max(1.0 / f64::from(self.observed));
        for ((error, load), expected) in self.errors.iter_mut().zip(loads).zip(&expected) {
            *error += share * ((load - expected).powi(2) - *error);
        }
    }

    /// The fast means.
    pub fn means(&self) -> &[f64] {
        &self.fast
    }

    /// The loads expected so many steps after the last one observed, or before it if negative, on
    /// a line through both means; flat as far as noise explains the slope.
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
        let reach = steps * self.trust();
        let pairs = self.fast.iter().zip(&self.slow);
        pairs.map(|(fast, slow)| (fast + (fast - slow) * reach).max(0.0)).collect()
    }

    /// Part of the trends that noise does not explain, from all experts together: noise makes the
    /// means differ by a known part of the loads' own variance.
    fn trust(&self) -> f64 {
        let share = difference_variance(self.fast_share, self.slow_share);
        let pairs = self.fast.iter().zip(&self.slow).zip(&self.errors);
        let by_noise = |((fast, slow), error): ((&f64, &f64), &f64)| {
            (fast - slow).powi(2) / (share * error).max(f64::MIN_POSITIVE)
        };
        let mean = pairs.map(by_noise).sum::<f64>() / self.fast.len().max(1) as f64;
        if mean > DOUBT { 1.0 - DOUBT / mean } else { 0.0 }
    }
}

/// Variance of the difference of two decayed means of the same noise of variance 1.
fn difference_variance(fast_share: f64, slow_share: f64) -> f64 {
    let own = |share: f64| share / (2.0 - share);
    let common = 1.0 - (1.0 - fast_share) * (1.0 - slow_share);
    own(fast_share) + own(slow_share) - 2.0 * fast_share * slow_share / common
}

/// Steps by which a mean lags behind a load that changes evenly.
fn lag_steps(share: f64) -> f64 {
    (1.0 - share) / share
}

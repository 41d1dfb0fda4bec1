//! What a template's operator can weigh.

use serde::{Deserialize, Serialize};

/// Weights and bounds of the rebalancer. The two presets are starting points for templates.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Params {
    /// Cost of one step that takes twice the time of a balanced one.
    pub skew_weight: f64,
    /// Cost of loading the weights of one expert on one rank.
    pub move_weight: f64,
    /// Steps over which a better placement is expected to pay back. Loads are forecast for now and
    /// for the horizon's end and traced back a little further; a placement must be good for all.
    pub horizon_steps: f64,
    /// Nothing moves unless the whole plan saves at least this much predicted skew. Set above
    /// what noise in the loads makes appear.
    pub min_gain: f64,
    /// Most expert weights loaded by one plan over all layers.
    pub max_moves: usize,
}

impl Params {
    /// For services where a slow step hurts more than loading experts does.
    ///
    /// ```
    /// use flamingowheel_policy::rebalance::Params;
    /// assert!(Params::skew_weighted().min_gain_per_move() < Params::move_weighted().min_gain_per_move());
    /// ```
    pub fn skew_weighted() -> Self {
        Self {
            skew_weight: 1.0,
            move_weight: 0.1,
            horizon_steps: 24.0,
            min_gain: 0.08,
            max_moves: 128,
        }
    }

    /// For services whose long batches suffer from each expert that is loaded.
    pub fn move_weighted() -> Self {
        Self { move_weight: 0.17, min_gain: 0.175, ..Self::skew_weighted() }
    }

    /// What a template's two weights stand for: `min_gain` goes with their ratio, from that of the
    /// one preset to that of the other.
    ///
    /// ```
    /// use flamingowheel_policy::rebalance::Params;
    /// let preset = Params::move_weighted();
    /// assert_eq!(Params::from_weights(preset.skew_weight, preset.move_weight), preset);
    /// ```
    pub fn from_weights(skew_weight: f64, move_weight: f64) -> Self {
        let (eager, sparing) = (Self::skew_weighted(), Self::move_weighted());
        let range = sparing.move_weight - eager.move_weight;
        let part = ((move_weight / skew_weight - eager.move_weight) / range).clamp(0.0, 1.0);
        let min_gain = eager.min_gain * (1.0 - part) + sparing.min_gain * part;
        Self { skew_weight, move_weight, min_gain, ..eager }
    }

    /// Predicted skew that one move must save at least.
    pub fn min_gain_per_move(&self) -> f64 {
        self.move_weight / (self.skew_weight * self.horizon_steps)
    }
}

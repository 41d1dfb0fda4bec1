//! Rebalancing parameters that operators set in templates.

use serde::{Deserialize, Serialize};

/// Cost weights and limits of the rebalancer. The two presets are starting points for templates.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Params {
    /// Cost of one step at a skew of 2, twice the time of a balanced step.
    pub skew_weight: f64,
    /// Cost of loading one expert's weights on one rank.
    pub move_weight: f64,
    /// Number of steps over which a better placement must compensate for its moves. Loads are
    /// forecast for the present and the end of the horizon and extrapolated into the past a little
    /// further; a placement must suit all three.
    pub horizon_steps: f64,
    /// Smallest predicted reduction of a layer's skew for which experts are moved. Must be above
    /// the apparent gain that noise in the loads causes.
    pub min_gain: f64,
    /// Most expert weights that one plan loads, over all layers.
    pub max_moves: usize,
}

impl Params {
    /// Preset for services where slow steps cost more than loading experts.
    ///
    /// ```
    /// use flamingowheel_policy::rebalance::Params;
    /// let (skew, moves) = (Params::skew_weighted(), Params::move_weighted());
    /// assert!(skew.min_gain_per_move() < moves.min_gain_per_move());
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

    /// Preset for services with long batches, which each loaded expert slows down.
    pub fn move_weighted() -> Self {
        Self { move_weight: 0.17, min_gain: 0.175, ..Self::skew_weighted() }
    }

    /// Parameters for a template's two weights. `min_gain` is interpolated between the two presets
    /// by the ratio of the weights.
    ///
    /// ```
    /// use flamingowheel_policy::rebalance::Params;
    /// let preset = Params::move_weighted();
    /// assert_eq!(Params::from_weights(preset.skew_weight, preset.move_weight), preset);
    /// ```
    pub fn from_weights(skew_weight: f64, move_weight: f64) -> Self {
        let (skew_preset, move_preset) = (Self::skew_weighted(), Self::move_weighted());
        let range = move_preset.move_weight - skew_preset.move_weight;
        let part = ((move_weight / skew_weight - skew_preset.move_weight) / range).clamp(0.0, 1.0);
        let min_gain = skew_preset.min_gain * (1.0 - part) + move_preset.min_gain * part;
        Self { skew_weight, move_weight, min_gain, ..skew_preset }
    }

    /// Smallest reduction of the predicted skew that justifies one move.
    pub fn min_gain_per_move(&self) -> f64 {
        self.move_weight / (self.skew_weight * self.horizon_steps)
    }
}

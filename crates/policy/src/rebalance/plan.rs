//! Plans for all layers of a group within one budget of moves.

use super::load::DecayedLoads;
use super::params::Params;
use super::placement::{Move, Placement, PlacementError, align, moves_between};
use super::score::Score;
use super::search::probe;

/// How far loads are extrapolated into the past, in horizons. Past popularity recurs: a placement
/// that also suits the past hours needs no moves when it does.
const LOOK_BACK_HORIZONS: f64 = 1.45;

/// Number of layers per plan, those with the highest potential gain first, that are searched
/// thoroughly. Such a search takes as long as a dozen probes, and the time of a plan for many
/// layers has to be short.
const THOROUGH_LAYERS: usize = 1;

/// Input of a plan. All slices by layer have the same length.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Current placement, by layer.
    pub current: &'a [Placement],
    /// Decayed loads of the experts, by layer.
    pub loads: &'a [DecayedLoads],
    /// Relative speed of each rank; a rank at half speed gets half the load.
    pub speeds: &'a [f64],
    /// Cost weights and limits.
    pub params: &'a Params,
}

/// Why a plan request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// Placements and loads are for different numbers of layers.
    #[error("placements for {placements} layers, but loads for {loads}")]
    Layers {
        /// Number of layers with a placement.
        placements: usize,
        /// Number of layers with loads.
        loads: usize,
    },
    /// The number of ranks of a layer differs from the number of speeds.
    #[error("layer {layer} is placed on {ranks} ranks, but there are {speeds} speeds")]
    Ranks {
        /// Index of the layer.
        layer: usize,
        /// Number of ranks in the layer's placement.
        ranks: usize,
        /// Number of speeds in the request.
        speeds: usize,
    },
    /// A load is negative or not a number, or a speed is not above zero.
    #[error("loads must be finite and not negative, speeds above zero")]
    InvalidNumber,
    /// The current placement of a layer is invalid.
    #[error("layer {layer}: {error}")]
    Placement {
        /// Index of the layer.
        layer: usize,
        /// Why the placement is invalid.
        error: PlacementError,
    },
}

/// Planned change of one layer.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerPlan {
    /// Index of the layer.
    pub layer: usize,
    /// Weights to load.
    pub moves: Vec<Move>,
    /// Placement after the moves.
    pub target: Placement,
    /// Predicted reduction of the skew by the moves.
    pub gain: f64,
}

/// Changes whose gain justifies their moves. Layers without an entry keep their placement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The changed layers, by increasing index.
    pub layers: Vec<LayerPlan>,
}

impl Plan {
    /// Number of expert weights that have to be loaded.
    pub fn move_count(&self) -> usize {
        self.layers.iter().map(|layer| layer.moves.len()).sum()
    }
}

/// Plans moves that save more predicted skew over the horizon than they cost. The result is
/// deterministic.
///
/// ```
/// use flamingowheel_policy::rebalance::{DecayedLoads, Params, Placement, Request, plan};
/// let current = [Placement { ranks: vec![vec![0, 1], vec![2, 3]] }];
/// let loads = [DecayedLoads::new(0.3, &[4.0, 4.0, 1.0, 1.0])];
/// let params = Params::skew_weighted();
/// let speeds = [1.0, 1.0];
/// let request = Request { current: &current, loads: &loads, speeds: &speeds, params: &params };
/// assert_eq!(plan(&request).unwrap().move_count(), 2);
/// ```
pub fn plan(request: &Request<'_>) -> Result<Plan, RequestError> {
    check(request)?;
    let mut moves_left = request.params.max_moves;
    let mut layers = Vec::new();
    for (layer, score) in layers_by_potential_gain(request) {
        if moves_left == 0 {
            break;
        }
        let thorough = layers.len() < THOROUGH_LAYERS;
        let Some(planned) = plan_layer(layer, score, request, moves_left, thorough) else {
            continue;
        };
        moves_left -= planned.moves.len();
        layers.push(planned);
    }
    layers.sort_by_key(|layer| layer.layer);
    Ok(Plan { layers })
}

/// Layers whose distance from a perfectly even split is at least `min_gain`, largest distance
/// first. So a small budget goes to the layers with the slowest steps, and layers that can't gain
/// enough are not searched, since no placement is better than an even split.
fn layers_by_potential_gain(request: &Request<'_>) -> Vec<(usize, Score)> {
    let mut layers = Vec::new();
    for (layer, (current, loads)) in request.current.iter().zip(request.loads).enumerate() {
        let score = forecast_score(current, loads, request);
        let potential_gain = score.predicted() - score.floor();
        if potential_gain >= request.params.min_gain {
            layers.push((potential_gain, layer, score));
        }
    }
    layers.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    layers.into_iter().map(|(_, layer, score)| (layer, score)).collect()
}

fn forecast_score(current: &Placement, loads: &DecayedLoads, request: &Request<'_>) -> Score {
    let horizon_steps = request.params.horizon_steps;
    let forecasts = [-horizon_steps * LOOK_BACK_HORIZONS, 0.0, horizon_steps];
    let [past, near, far] = forecasts.map(|ahead_steps| loads.forecast(ahead_steps));
    Score::new(current, [&past, &near, &far], request.speeds)
}

fn plan_layer(
    layer: usize,
    score: Score,
    request: &Request<'_>,
    max_moves: usize,
    thorough: bool,
) -> Option<LayerPlan> {
    let probe = probe(score, request.params, max_moves)?;
    let found = if thorough { probe.refine() } else { probe.result() };
    let current = &request.current[layer];
    let target = align(current, &found.target);
    Some(LayerPlan { layer, moves: moves_between(current, &target), target, gain: found.gain })
}

fn check(request: &Request<'_>) -> Result<(), RequestError> {
    let (placements, loads) = (request.current.len(), request.loads.len());
    if placements != loads {
        return Err(RequestError::Layers { placements, loads });
    }
    let speeds = request.speeds.len();
    let valid_load = |load: &f64| load.is_finite() && *load >= 0.0;
    let valid_speed = |speed: &f64| speed.is_finite() && *speed > 0.0;
    if !request.loads.iter().flat_map(DecayedLoads::means).all(valid_load)
        || !request.speeds.iter().all(valid_speed)
    {
        return Err(RequestError::InvalidNumber);
    }
    for (layer, current) in request.current.iter().enumerate() {
        let ranks = current.ranks.len();
        if ranks != speeds {
            return Err(RequestError::Ranks { layer, ranks, speeds });
        }
        let checked = current.check(request.loads[layer].means().len());
        checked.map_err(|error| RequestError::Placement { layer, error })?;
    }
    Ok(())
}

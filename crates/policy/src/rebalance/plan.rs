//! Plans for all layers of a group within one budget of moves.

use super::load::DecayedLoads;
use super::params::Params;
use super::placement::{Move, Placement, PlacementError, align, moves_between};
use super::score::Score;
use super::search::probe;

/// How far the loads are traced back, in horizons. What is popular comes back: a placement that is
/// good for the last hours too needs no moves when they do.
const LOOK_BACK: f64 = 1.45;

/// Layers, those in most need first, that are searched thoroughly in one plan. Such a search takes
/// as long as a dozen probes; a plan for many layers has to end soon.
const THOROUGH_LAYERS: usize = 1;

/// What a plan is made from. All slices run over the same layers.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The placement in use, by layer.
    pub current: &'a [Placement],
    /// Decayed load of each expert, by layer.
    pub loads: &'a [DecayedLoads],
    /// Speed of each rank; one at half speed takes half the load.
    pub speeds: &'a [f64],
    /// Weights and bounds.
    pub params: &'a Params,
}

/// Why no plan can be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// Placement and loads are of different layers.
    #[error("{placements} layers placed, loads of {loads}")]
    Layers {
        /// Layers with a placement.
        placements: usize,
        /// Layers with loads.
        loads: usize,
    },
    /// A layer is placed on another number of ranks than there are speeds.
    #[error("layer {layer} stands on {ranks} ranks, speeds of {speeds}")]
    Ranks {
        /// The layer.
        layer: usize,
        /// Ranks it is placed on.
        ranks: usize,
        /// Speeds given.
        speeds: usize,
    },
    /// A load is negative or not a number, or a speed is not above zero.
    #[error("loads must be finite and not negative, speeds above zero")]
    InvalidNumber,
    /// The placement in use is not valid.
    #[error("layer {layer}: {error}")]
    Placement {
        /// The layer.
        layer: usize,
        /// What is wrong.
        error: PlacementError,
    },
}

/// The change of one layer.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerPlan {
    /// The layer.
    pub layer: usize,
    /// The weights to load.
    pub moves: Vec<Move>,
    /// The placement after the moves.
    pub target: Placement,
    /// Predicted skew saved by them.
    pub gain: f64,
}

/// Changes that are worth their moves; layers not named stay as they are.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The layers that change, in order.
    pub layers: Vec<LayerPlan>,
}

impl Plan {
    /// Expert weights that have to be loaded.
    pub fn move_count(&self) -> usize {
        self.layers.iter().map(|layer| layer.moves.len()).sum()
    }
}

/// Plans moves that save more predicted skew over the horizon than they cost. The same request
/// always gives the same plan.
///
/// ```
/// use flamingowheel_policy::rebalance::{DecayedLoads, Params, Placement, Request, plan};
/// let current = [Placement { ranks: vec![vec![0, 1], vec![2, 3]] }];
/// let loads = [DecayedLoads::new(0.3, &[4.0, 4.0, 1.0, 1.0])];
/// let params = Params::skew_weighted();
/// let request = Request { current: &current, loads: &loads, speeds: &[1.0, 1.0], params: &params };
/// assert_eq!(plan(&request).unwrap().move_count(), 2);
/// ```
pub fn plan(request: &Request<'_>) -> Result<Plan, RequestError> {
    check(request)?;
    let mut left = request.params.max_moves;
    let mut layers = Vec::new();
    for (layer, score) in by_need(request) {
        if left == 0 {
            break;
        }
        let thorough = layers.len() < THOROUGH_LAYERS;
        let Some(planned) = plan_layer(layer, score, request, left, thorough) else { continue };
        left -= planned.moves.len();
        layers.push(planned);
    }
    layers.sort_by_key(|layer| layer.layer);
    Ok(Plan { layers })
}

/// Layers that could save enough, those that could save most first: when the budget is small it
/// goes where steps are slowest, and the search is spared where nothing can come of it, as no
/// placement beats a perfectly even split.
fn by_need(request: &Request<'_>) -> Vec<(usize, Score)> {
    let mut layers = Vec::new();
    for (layer, (current, loads)) in request.current.iter().zip(request.loads).enumerate() {
        let score = forecast_score(current, loads, request);
        let could_save = score.predicted() - score.floor();
        if could_save >= request.params.min_gain {
            layers.push((could_save, layer, score));
        }
    }
    layers.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    layers.into_iter().map(|(_, layer, score)| (layer, score)).collect()
}

fn forecast_score(current: &Placement, loads: &DecayedLoads, request: &Request<'_>) -> Score {
    let horizon_steps = request.params.horizon_steps;
    let forecasts = [-horizon_steps * LOOK_BACK, 0.0, horizon_steps];
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
    let found = if thorough { probe.search_on() } else { probe.found() };
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

//! Turns the rebalancer's plan into the group's next map.

use flamingowheel_backing::orders::ExpertMap;
use flamingowheel_policy::rebalance::{
    DecayedLoads, Params, Placement, Request, RequestError, plan,
};

/// The map that the rebalancer finds worth switching to, if any. `loads` has one entry per layer,
/// `speeds` one per rank.
///
/// ```
/// use flamingowheel_group::proposal::propose;
/// use flamingowheel_backing::orders::ExpertMap;
/// use flamingowheel_policy::rebalance::{DecayedLoads, Params};
/// let in_force = ExpertMap { layers: vec![vec![vec![0, 1], vec![2, 3]]] };
/// let even = [DecayedLoads::new(0.3, &[1.0; 4])];
/// let params = Params::skew_weighted();
/// assert_eq!(propose(&in_force, &even, &[1.0, 1.0], &params).unwrap(), None);
/// let uneven = [DecayedLoads::new(0.3, &[4.0, 4.0, 1.0, 1.0])];
/// assert!(propose(&in_force, &uneven, &[1.0, 1.0], &params).unwrap().is_some());
/// ```
pub fn propose(
    in_force: &ExpertMap,
    loads: &[DecayedLoads],
    speeds: &[f64],
    params: &Params,
) -> Result<Option<ExpertMap>, RequestError> {
    let layers = in_force.layers.iter();
    let current: Vec<Placement> = layers.map(|ranks| Placement { ranks: ranks.clone() }).collect();
    let planned = plan(&Request { current: &current, loads, speeds, params })?;
    if planned.layers.is_empty() {
        return Ok(None);
    }
    let mut next = in_force.clone();
    for layer in planned.layers {
        next.layers[layer.layer] = layer.target.ranks;
    }
    Ok(Some(next))
}

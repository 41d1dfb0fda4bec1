//! Full greedy repack: replicas by load, then longest processing time first.

use super::placement::{Expert, Placement};

/// Places all experts without regard to the current placement. Spare slots go one by one to the
/// expert with the largest load per replica, then the replicas, largest first, to the rank that
/// would finish first. Used for the initial placement of a group and as the baseline of the
/// benchmark.
///
/// ```
/// use flamingowheel_policy::rebalance::repack;
/// let placement = repack(&[4.0, 1.0, 1.0], &[1.0, 1.0], 2);
/// assert!(placement.ranks.iter().all(|rank| rank.contains(&0)));
/// ```
pub fn repack(loads: &[f64], speeds: &[f64], slots_per_rank: usize) -> Placement {
    let replicas = replicas_by_load(loads, speeds.len(), slots_per_rank);
    let mut items = Vec::new();
    for (expert, &count) in replicas.iter().enumerate() {
        let share = loads[expert] / count as f64;
        items.extend(std::iter::repeat_n((share, expert as Expert), count));
    }
    items.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    let mut ranks: Vec<Vec<Expert>> = vec![Vec::with_capacity(slots_per_rank); speeds.len()];
    let mut rank_loads = vec![0.0; speeds.len()];
    for (share, expert) in items {
        let Some(rank) =
            first_to_finish(&ranks, &rank_loads, speeds, (share, expert), slots_per_rank)
        else {
            break;
        };
        ranks[rank].push(expert);
        rank_loads[rank] += share;
    }
    Placement { ranks }
}

fn replicas_by_load(loads: &[f64], ranks: usize, slots_per_rank: usize) -> Vec<usize> {
    let mut replicas = vec![1; loads.len()];
    let spare = (ranks * slots_per_rank).saturating_sub(loads.len());
    for _ in 0..spare {
        let share = |expert: usize| loads[expert] / replicas[expert] as f64;
        let expandable = (0..loads.len()).filter(|&expert| replicas[expert] < ranks);
        let Some(heaviest) =
            expandable.max_by(|&a, &b| share(a).total_cmp(&share(b)).then(b.cmp(&a)))
        else {
            break;
        };
        replicas[heaviest] += 1;
    }
    replicas
}

/// The rank with a free slot that finishes first with the replica. A rank that already holds the
/// expert is chosen only if no other has a free slot.
fn first_to_finish(
    ranks: &[Vec<Expert>],
    rank_loads: &[f64],
    speeds: &[f64],
    (share, expert): (f64, Expert),
    slots_per_rank: usize,
) -> Option<usize> {
    let finish = |rank: usize| (rank_loads[rank] + share) / speeds[rank];
    let free = (0..ranks.len()).filter(|&rank| ranks[rank].len() < slots_per_rank);
    free.min_by(|&a, &b| {
        let holds = ranks[a].contains(&expert).cmp(&ranks[b].contains(&expert));
        holds.then(finish(a).total_cmp(&finish(b))).then(a.cmp(&b))
    })
}

//! Where the experts of one layer stand, and the moves between two such placements.

use serde::{Deserialize, Serialize};

/// Index of an expert within its layer.
pub type Expert = u16;

/// Index of a rank within its group.
pub type Rank = u16;

/// The experts of one layer by rank and slot. Every slot holds an expert; an expert that stands on
/// several ranks has its load split evenly over them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Placement {
    /// `ranks[rank][slot]` is the expert in that slot.
    pub ranks: Vec<Vec<Expert>>,
}

/// One expert's weights loaded into a slot in place of another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Move {
    /// The rank that loads the weights.
    pub rank: Rank,
    /// The slot on that rank.
    pub slot: u16,
    /// The expert that leaves the slot.
    pub drop: Expert,
    /// The expert that is loaded.
    pub load: Expert,
}

/// Why a placement can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlacementError {
    /// An expert has no replica, so its tokens could not be served.
    #[error("expert {expert} stands on no rank")]
    Missing {
        /// The expert.
        expert: Expert,
    },
    /// A slot names an expert that the layer does not have.
    #[error("expert {expert} is not one of the layer's {experts}")]
    Unknown {
        /// The expert named.
        expert: Expert,
        /// Experts of the layer.
        experts: usize,
    },
    /// There are no ranks.
    #[error("the placement has no ranks")]
    Empty,
}

impl Placement {
    /// Number of slots over all ranks.
    ///
    /// ```
    /// use flamingowheel_policy::rebalance::Placement;
    /// let placement = Placement { ranks: vec![vec![0, 1], vec![1, 2]] };
    /// assert_eq!(placement.slots(), 4);
    /// ```
    pub fn slots(&self) -> usize {
        self.ranks.iter().map(Vec::len).sum()
    }

    /// Checks that each of the layer's experts has a replica and no other is named.
    ///
    /// ```
    /// use flamingowheel_policy::rebalance::Placement;
    /// let placement = Placement { ranks: vec![vec![0, 1], vec![1, 2]] };
    /// assert!(placement.check(3).is_ok());
    /// assert!(placement.check(4).is_err());
    /// ```
    pub fn check(&self, experts: usize) -> Result<(), PlacementError> {
        if self.ranks.is_empty() {
            return Err(PlacementError::Empty);
        }
        let mut seen = vec![false; experts];
        for &expert in self.ranks.iter().flatten() {
            let Some(flag) = seen.get_mut(usize::from(expert)) else {
                return Err(PlacementError::Unknown { expert, experts });
            };
            *flag = true;
        }
        match seen.iter().position(|flag| !flag) {
            Some(missing) => Err(PlacementError::Missing { expert: missing as Expert }),
            None => Ok(()),
        }
    }

    /// The placement after `moves`.
    ///
    /// ```
    /// use flamingowheel_policy::rebalance::{Move, Placement};
    /// let placement = Placement { ranks: vec![vec![0, 1], vec![1, 2]] };
    /// let moved = placement.after(&[Move { rank: 0, slot: 1, drop: 1, load: 2 }]);
    /// assert_eq!(moved.ranks, [[0, 2], [1, 2]]);
    /// ```
    pub fn after(&self, moves: &[Move]) -> Self {
        let mut after = self.clone();
        for step in moves {
            after.ranks[usize::from(step.rank)][usize::from(step.slot)] = step.load;
        }
        after
    }
}

/// Gives `target` the slot order of `current` where a rank keeps an expert, so that only what a
/// rank does not yet hold counts as a move.
pub(super) fn align(current: &Placement, target: &Placement) -> Placement {
    let ranks = current.ranks.iter().zip(&target.ranks).map(|(old, new)| align_rank(old, new));
    Placement { ranks: ranks.collect() }
}

fn align_rank(old: &[Expert], new: &[Expert]) -> Vec<Expert> {
    let mut rest = new.to_vec();
    let mut kept = Vec::with_capacity(old.len());
    for expert in old {
        let found = rest.iter().position(|other| other == expert);
        kept.push(found.map(|index| rest.remove(index)));
    }
    let mut fill = rest.into_iter();
    kept.into_iter()
        .zip(old)
        .map(|(slot, &old)| slot.or_else(|| fill.next()).unwrap_or(old))
        .collect()
}

/// The moves that lead from `current` to `target`; both have the same ranks and slots. An expert
/// that stays on its rank is no move, whatever slot `target` names for it.
///
/// ```
/// use flamingowheel_policy::rebalance::{Placement, moves_between};
/// let current = Placement { ranks: vec![vec![0, 1], vec![2, 3]] };
/// let target = Placement { ranks: vec![vec![1, 2], vec![0, 3]] };
/// assert_eq!(moves_between(&current, &target).len(), 2);
/// ```
pub fn moves_between(current: &Placement, target: &Placement) -> Vec<Move> {
    let aligned = align(current, target);
    let mut moves = Vec::new();
    for (rank, (old, new)) in current.ranks.iter().zip(&aligned.ranks).enumerate() {
        for (slot, (&drop, &load)) in old.iter().zip(new).enumerate() {
            if drop != load {
                moves.push(Move { rank: rank as Rank, slot: slot as u16, drop, load });
            }
        }
    }
    moves
}

//! Placements of one layer's experts, and the moves between two placements.

use serde::{Deserialize, Serialize};

/// Index of an expert within its layer.
pub type Expert = u16;

/// Index of a rank within its group.
pub type Rank = u16;

/// The experts of one layer by rank and slot. Every slot holds an expert. The load of an expert
/// with several replicas is split evenly over them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Placement {
    /// `ranks[rank][slot]` is the expert in that slot.
    pub ranks: Vec<Vec<Expert>>,
}

/// Replacement of one expert in a slot by another one, whose weights have to be loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Move {
    /// Rank that loads the weights.
    pub rank: Rank,
    /// Slot on that rank.
    pub slot: u16,
    /// Expert that is removed from the slot.
    pub drop: Expert,
    /// Expert whose weights are loaded.
    pub load: Expert,
}

/// Why a placement is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlacementError {
    /// An expert has no replica, so its tokens could not be served.
    #[error("expert {expert} is not placed on any rank")]
    Missing {
        /// Index of the expert within the layer.
        expert: Expert,
    },
    /// A slot holds an expert that the layer does not have.
    #[error("expert {expert} does not exist in a layer of {experts} experts")]
    Unknown {
        /// Index of the expert in the placement.
        expert: Expert,
        /// Number of experts in the layer.
        experts: usize,
    },
    /// The placement has no ranks.
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

    /// Checks that each of the layer's experts has a replica and that there are no other experts.
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
        for replacement in moves {
            after.ranks[usize::from(replacement.rank)][usize::from(replacement.slot)] =
                replacement.load;
        }
        after
    }
}

/// Reorders the slots of `target` so that experts that stay on their rank keep their slot, and only
/// experts that are new to a rank count as moves.
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

/// The moves from `current` to `target`, which must have the same ranks and slots. An expert that
/// stays on its rank is not a move, whatever its slot in `target`.
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

//! The differences between two expert maps, packed for transmission.

use crate::packed::Packed;
use flamingowheel_policy::experts::Map;
use serde::{Deserialize, Serialize};

/// The experts that one rank holds in one set of layers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ExpertList {
    set: u16,
    rank: u16,
    experts: Vec<u16>,
}

/// Packs the expert lists in which `new` differs from `old`; `None` for maps of different shapes.
///
/// ```
/// use flamingowheel_protocol::lists::{apply_changes, pack_changes};
/// let old = vec![vec![vec![0, 2], vec![1]]];
/// let new = vec![vec![vec![0, 2], vec![1, 2]]];
/// let changes = pack_changes(&old, &new).unwrap();
/// assert_eq!(apply_changes(&old, &changes), Some(new));
/// ```
pub fn pack_changes(old: &Map, new: &Map) -> Option<Packed> {
    let has_same_shape =
        old.len() == new.len() && old.iter().zip(new).all(|(a, b)| a.len() == b.len());
    if !has_same_shape {
        return None;
    }
    let mut changes = Vec::new();
    for (set, (old, new)) in old.iter().zip(new).enumerate() {
        let changed = old.iter().zip(new).enumerate().filter(|(_, (old, new))| old != new);
        for (rank, (_, experts)) in changed {
            let (set, rank) = (u16::try_from(set).ok()?, u16::try_from(rank).ok()?);
            changes.push(ExpertList { set, rank, experts: experts.clone() });
        }
    }
    Packed::pack(&changes)
}

/// Applies packed changes to `old`; `None` if they can't be decoded or don't fit its shape.
pub fn apply_changes(old: &Map, changes: &Packed) -> Option<Map> {
    let changes: Vec<ExpertList> = changes.unpack()?;
    let mut map = old.clone();
    for ExpertList { set, rank, experts } in changes {
        *map.get_mut(usize::from(set))?.get_mut(usize::from(rank))? = experts;
    }
    Some(map)
}

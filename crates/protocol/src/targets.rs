//! How a group's coordinator tells targets to the other ranks' agents on one connection.
//!
//! A map of 32 ranks takes 4 KB and a step changes a few lists of it. Told whole to 31 agents, it
//! keeps a VM's link of 8 Mbit/s busy for 130 ms, in which the group goes on with the old map. So a
//! connection tells a map once and then what changed.

use crate::ranks::{Map, RankTarget};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The experts of one rank in one set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replaced {
    /// The set.
    pub set: u16,
    /// The rank.
    pub rank: u16,
    /// What it holds now.
    pub experts: Vec<u16>,
}

/// A target on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetMessage {
    /// The target itself.
    Whole(RankTarget),
    /// [`RankTarget::Prepared`] with the map and engines told last, but for these lists.
    Changed {
        /// The group's epoch.
        epoch: u64,
        /// The map's version.
        version: u64,
        /// What differs from the map told last.
        replaced: Vec<Replaced>,
    },
    /// [`RankTarget::Armed`] with the engines told last.
    Armed {
        /// The group's epoch.
        epoch: u64,
        /// The map's version.
        version: u64,
        /// The first pass that uses it.
        pass: u64,
    },
}

#[derive(Clone, Debug, Default)]
struct Told {
    map: Option<Arc<Map>>,
    engines: Arc<Vec<SocketAddr>>,
}

/// The sender's end of a connection.
#[derive(Clone, Debug, Default)]
pub struct TargetEncoder(Told);

impl TargetEncoder {
    /// What to send for a target.
    ///
    /// ```
    /// use flamingowheel_protocol::ranks::RankTarget;
    /// use flamingowheel_protocol::targets::{TargetDecoder, TargetEncoder};
    /// let message = TargetEncoder::default().encode(&RankTarget::Idle);
    /// assert_eq!(TargetDecoder::default().decode(message), Some(RankTarget::Idle));
    /// ```
    pub fn encode(&mut self, target: &RankTarget) -> TargetMessage {
        match target {
            RankTarget::Prepared { epoch, version, map, engines } => {
                let known = self.0.map.replace(Arc::clone(map));
                let has_engines = self.0.engines == *engines;
                self.0.engines = Arc::clone(engines);
                let replaced = known.filter(|_| has_engines).and_then(|old| replaced(&old, map));
                match replaced {
                    Some(replaced) => {
                        TargetMessage::Changed { epoch: *epoch, version: *version, replaced }
                    }
                    None => TargetMessage::Whole(target.clone()),
                }
            }
            RankTarget::Armed { epoch, version, pass, engines } if self.0.engines == *engines => {
                TargetMessage::Armed { epoch: *epoch, version: *version, pass: *pass }
            }
            _ => TargetMessage::Whole(target.clone()),
        }
    }
}

/// The receiver's end of a connection.
#[derive(Clone, Debug, Default)]
pub struct TargetDecoder(Told);

impl TargetDecoder {
    /// The target that a message tells; `None` if it rests on a map that was never told.
    pub fn decode(&mut self, message: TargetMessage) -> Option<RankTarget> {
        match message {
            TargetMessage::Whole(target) => {
                if let RankTarget::Prepared { map, engines, .. } = &target {
                    self.0 = Told { map: Some(Arc::clone(map)), engines: Arc::clone(engines) };
                }
                Some(target)
            }
            TargetMessage::Changed { epoch, version, replaced } => {
                let mut map = Map::clone(self.0.map.as_ref()?);
                for Replaced { set, rank, experts } in replaced {
                    *map.get_mut(usize::from(set))?.get_mut(usize::from(rank))? = experts;
                }
                let map = Arc::new(map);
                self.0.map = Some(Arc::clone(&map));
                let engines = Arc::clone(&self.0.engines);
                Some(RankTarget::Prepared { epoch, version, map, engines })
            }
            TargetMessage::Armed { epoch, version, pass } => {
                let engines = Arc::clone(&self.0.engines);
                Some(RankTarget::Armed { epoch, version, pass, engines })
            }
        }
    }
}

/// The lists that differ; `None` for maps of different shapes.
fn replaced(old: &Map, new: &Map) -> Option<Vec<Replaced>> {
    let is_alike = old.len() == new.len() && old.iter().zip(new).all(|(a, b)| a.len() == b.len());
    if !is_alike {
        return None;
    }
    let mut replaced = Vec::new();
    for (set, (old, new)) in old.iter().zip(new).enumerate() {
        let changed = old.iter().zip(new).enumerate().filter(|(_, (old, new))| old != new);
        for (rank, (_, experts)) in changed {
            let (set, rank) = (u16::try_from(set).ok()?, u16::try_from(rank).ok()?);
            replaced.push(Replaced { set, rank, experts: experts.clone() });
        }
    }
    Some(replaced)
}

//! How a group's coordinator tells targets to the other ranks' agents on one connection.
//!
//! A map of 96 ranks takes 10 KB and a step changes some lists of it. Told whole to 95 agents, it
//! would keep a VM's link of 6 Mbit/s busy for a second, in which the group goes on with the old
//! map. So a connection tells what changed since the map told last, or since the map that every group
//! begins with; and what is the same for all connections is encoded once.

use crate::lists::{apply_changes, pack_changes};
use crate::packed::Packed;
use crate::ranks::{Map, RankTarget};
use flamingowheel_policy::experts::Shape;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Most sets, experts or ranks that a first map is made for.
const MAX_COUNT: u16 = 4_096;

/// The map that changes are told against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Base {
    /// The one told last on this connection.
    Told,
    /// The one that a group begins with.
    First {
        /// Sets of layers.
        sets: u16,
        /// Experts in a set.
        experts: u16,
        /// Ranks of the group.
        ranks: u16,
    },
}

/// A map on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MapMessage {
    /// The map itself.
    Whole(Packed),
    /// The lists by which it differs from another.
    Changed(Base, Packed),
}

/// A target on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetMessage {
    /// [`RankTarget::Idle`].
    Idle,
    /// [`RankTarget::Prepared`].
    Prepared {
        /// The group's epoch.
        epoch: u64,
        /// The map's version.
        version: u64,
        /// The map.
        map: MapMessage,
        /// The engines by rank, unless they are those told last.
        engines: Option<Packed>,
    },
    /// [`RankTarget::Held`].
    Held {
        /// The group's epoch.
        epoch: u64,
        /// The pass.
        pass: u64,
        /// The rank whose agent gives the order.
        by: usize,
        /// The engine that is held.
        engine: SocketAddr,
    },
    /// [`RankTarget::Armed`].
    Armed {
        /// The group's epoch.
        epoch: u64,
        /// The map's version.
        version: u64,
        /// The first pass that uses it.
        pass: u64,
        /// The engines by rank, unless they are those told last.
        engines: Option<Packed>,
    },
}

#[derive(Clone, Debug, Default)]
struct Told {
    map: Option<Arc<Map>>,
    engines: Arc<Vec<SocketAddr>>,
}

/// Encodings that the connections of one coordinator share.
#[derive(Debug, Default)]
pub struct EncodingCache(Mutex<Encoded>);

#[derive(Debug, Default)]
struct Encoded {
    map: Option<(Option<Arc<Map>>, Arc<Map>, MapMessage)>,
    engines: Option<(Arc<Vec<SocketAddr>>, Packed)>,
}

impl EncodingCache {
    fn map(&self, told: Option<&Arc<Map>>, map: &Arc<Map>) -> Option<MapMessage> {
        let mut encoded = self.lock();
        let cached = encoded
            .map
            .as_ref()
            .filter(|(old, new, _)| Arc::ptr_eq(new, map) && is_same(old.as_ref(), told));
        if let Some((_, _, message)) = cached {
            return Some(message.clone());
        }
        let message = encode_map(told.map(Arc::as_ref), map)?;
        encoded.map = Some((told.cloned(), Arc::clone(map), message.clone()));
        Some(message)
    }

    fn engines(&self, engines: &Arc<Vec<SocketAddr>>) -> Option<Packed> {
        let mut encoded = self.lock();
        let cached = encoded.engines.as_ref().filter(|(cached, _)| cached == engines);
        if let Some((_, packed)) = cached {
            return Some(packed.clone());
        }
        let packed = Packed::pack(&**engines)?;
        encoded.engines = Some((Arc::clone(engines), packed.clone()));
        Some(packed)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Encoded> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_same(a: Option<&Arc<Map>>, b: Option<&Arc<Map>>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => Arc::ptr_eq(a, b),
        (None, None) => true,
        _ => false,
    }
}

/// The sender's end of a connection.
#[derive(Clone, Debug, Default)]
pub struct TargetEncoder {
    told: Told,
    cache: Arc<EncodingCache>,
}

impl TargetEncoder {
    /// An encoder for a new connection.
    pub fn new(cache: Arc<EncodingCache>) -> Self {
        Self { told: Told::default(), cache }
    }

    /// What to send for a target; `None` if it can't be encoded.
    ///
    /// ```
    /// use flamingowheel_protocol::ranks::RankTarget;
    /// use flamingowheel_protocol::targets::{TargetDecoder, TargetEncoder};
    /// let message = TargetEncoder::default().encode(&RankTarget::Idle).unwrap();
    /// assert_eq!(TargetDecoder::default().decode(message), Some(RankTarget::Idle));
    /// ```
    pub fn encode(&mut self, target: &RankTarget) -> Option<TargetMessage> {
        let message = match target {
            RankTarget::Idle => TargetMessage::Idle,
            RankTarget::Prepared { epoch, version, map, engines } => {
                let message = self.cache.map(self.told.map.as_ref(), map)?;
                self.told.map = Some(Arc::clone(map));
                let (epoch, version) = (*epoch, *version);
                let engines = self.engines(engines)?;
                TargetMessage::Prepared { epoch, version, map: message, engines }
            }
            RankTarget::Held { epoch, pass, by, engine } => {
                TargetMessage::Held { epoch: *epoch, pass: *pass, by: *by, engine: *engine }
            }
            RankTarget::Armed { epoch, version, pass, engines } => {
                let (epoch, version, pass) = (*epoch, *version, *pass);
                TargetMessage::Armed { epoch, version, pass, engines: self.engines(engines)? }
            }
        };
        Some(message)
    }

    /// The engines, unless they were told before.
    fn engines(&mut self, engines: &Arc<Vec<SocketAddr>>) -> Option<Option<Packed>> {
        if self.told.engines == *engines {
            return Some(None);
        }
        let packed = self.cache.engines(engines)?;
        self.told.engines = Arc::clone(engines);
        Some(Some(packed))
    }
}

/// The receiver's end of a connection.
#[derive(Clone, Debug, Default)]
pub struct TargetDecoder(Told);

impl TargetDecoder {
    /// The target that a message tells; `None` if it can't be read or rests on a map that was never
    /// told.
    pub fn decode(&mut self, message: TargetMessage) -> Option<RankTarget> {
        match message {
            TargetMessage::Idle => Some(RankTarget::Idle),
            TargetMessage::Prepared { epoch, version, map, engines } => {
                let map = Arc::new(self.decode_map(&map)?);
                self.0.map = Some(Arc::clone(&map));
                let engines = self.engines(engines)?;
                Some(RankTarget::Prepared { epoch, version, map, engines })
            }
            TargetMessage::Held { epoch, pass, by, engine } => {
                Some(RankTarget::Held { epoch, pass, by, engine })
            }
            TargetMessage::Armed { epoch, version, pass, engines } => {
                let engines = self.engines(engines)?;
                Some(RankTarget::Armed { epoch, version, pass, engines })
            }
        }
    }

    fn decode_map(&self, message: &MapMessage) -> Option<Map> {
        match message {
            MapMessage::Whole(map) => map.unpack(),
            MapMessage::Changed(Base::Told, changes) => {
                apply_changes(self.0.map.as_ref()?, changes)
            }
            MapMessage::Changed(Base::First { sets, experts, ranks }, changes) => {
                if [sets, experts, ranks].into_iter().any(|count| *count > MAX_COUNT) {
                    return None;
                }
                apply_changes(&first_map(*sets, *experts, *ranks), changes)
            }
        }
    }

    fn engines(&mut self, told: Option<Packed>) -> Option<Arc<Vec<SocketAddr>>> {
        if let Some(packed) = told {
            self.0.engines = Arc::new(packed.unpack()?);
        }
        Some(Arc::clone(&self.0.engines))
    }
}

fn encode_map(told: Option<&Map>, map: &Map) -> Option<MapMessage> {
    if let Some(changes) = told.and_then(|told| pack_changes(told, map)) {
        return Some(MapMessage::Changed(Base::Told, changes));
    }
    let whole = Packed::pack(map)?;
    let message = match changes_from_first(map) {
        Some((base, changes)) if changes.size_bytes() < whole.size_bytes() => {
            MapMessage::Changed(base, changes)
        }
        _ => MapMessage::Whole(whole),
    };
    Some(message)
}

fn changes_from_first(map: &Map) -> Option<(Base, Packed)> {
    let experts = map.iter().flatten().flatten().max()? + 1;
    let (sets, ranks) = (u16::try_from(map.len()).ok()?, u16::try_from(map.first()?.len()).ok()?);
    let changes = pack_changes(&first_map(sets, experts, ranks), map)?;
    Some((Base::First { sets, experts, ranks }, changes))
}

fn first_map(sets: u16, experts: u16, ranks: u16) -> Map {
    let (sets, experts, ranks) = (usize::from(sets), usize::from(experts), usize::from(ranks));
    Shape { sets, experts, ranks, replicas_per_rank: experts }.first_map()
}

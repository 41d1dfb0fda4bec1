//! Encodes the targets that a group's coordinator sends to the other ranks' agents, per connection.
//!
//! A map of 96 ranks takes 10 KB, and each change affects only some of its lists. Sent whole to 95
//! agents, it would occupy a VM's link of 6 Mbit/s for a second, while the group continues with the
//! old map. So a connection carries only the differences from the map last sent on it, or from the
//! map that every group starts with, and the encoding is shared between connections whose base is
//! the same.

use crate::lists::{apply_changes, pack_changes};
use crate::packed::Packed;
use crate::ranks::{Map, RankTarget};
use flamingowheel_policy::experts::Shape;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Largest number of sets, experts or ranks for which an initial map is built; bounds the memory
/// that a malformed message can claim.
const MAX_COUNT: u16 = 4_096;

/// The map that a difference refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Base {
    /// The map last sent on this connection.
    #[serde(rename = "Told")]
    LastSent,
    /// The map that a group starts with.
    First {
        /// Sets of layers.
        sets: u16,
        /// Experts in a set.
        experts: u16,
        /// Ranks of the group.
        ranks: u16,
    },
}

/// An encoded map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MapMessage {
    /// The whole map.
    Whole(Packed),
    /// The expert lists in which it differs from a base.
    Changed(Base, Packed),
}

/// An encoded [`RankTarget`].
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
        /// The map, as a whole or as changes.
        map: MapMessage,
        /// The engine addresses by rank; `None` if they equal those last sent.
        engines: Option<Packed>,
    },
    /// [`RankTarget::Held`].
    Held {
        /// The group's epoch.
        epoch: u64,
        /// The pass that must not start before the hold is released.
        pass: u64,
        /// The rank whose agent holds the engine.
        by: usize,
        /// Address of the held engine.
        engine: SocketAddr,
    },
    /// [`RankTarget::Armed`].
    Armed {
        /// The group's epoch.
        epoch: u64,
        /// The map's version.
        version: u64,
        /// The first pass that uses the map.
        pass: u64,
        /// The engine addresses by rank; `None` if they equal those last sent.
        engines: Option<Packed>,
    },
}

/// The values last sent or received on a connection, which later messages refer to.
#[derive(Clone, Debug, Default)]
struct ConnectionState {
    map: Option<Arc<Map>>,
    engines: Arc<Vec<SocketAddr>>,
}

/// Encodings shared by the connections of one coordinator.
#[derive(Debug, Default)]
pub struct EncodingCache(Mutex<Encoded>);

#[derive(Debug, Default)]
struct Encoded {
    map: Option<(Option<Arc<Map>>, Arc<Map>, MapMessage)>,
    engines: Option<(Arc<Vec<SocketAddr>>, Packed)>,
}

impl EncodingCache {
    fn map(&self, base: Option<&Arc<Map>>, map: &Arc<Map>) -> Option<MapMessage> {
        let mut encoded = self.lock();
        let cached = encoded
            .map
            .as_ref()
            .filter(|(old, new, _)| Arc::ptr_eq(new, map) && is_same_map(old.as_ref(), base));
        if let Some((_, _, message)) = cached {
            return Some(message.clone());
        }
        let message = encode_map(base.map(Arc::as_ref), map)?;
        encoded.map = Some((base.cloned(), Arc::clone(map), message.clone()));
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

fn is_same_map(a: Option<&Arc<Map>>, b: Option<&Arc<Map>>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => Arc::ptr_eq(a, b),
        (None, None) => true,
        _ => false,
    }
}

/// Encodes the targets of one connection.
#[derive(Clone, Debug, Default)]
pub struct TargetEncoder {
    state: ConnectionState,
    cache: Arc<EncodingCache>,
}

impl TargetEncoder {
    /// Creates an encoder for a new connection.
    pub fn new(cache: Arc<EncodingCache>) -> Self {
        Self { state: ConnectionState::default(), cache }
    }

    /// Encodes a target; `None` if it can't be encoded.
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
                let message = self.cache.map(self.state.map.as_ref(), map)?;
                self.state.map = Some(Arc::clone(map));
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

    /// The packed engine addresses; the inner `None` if they equal those last sent.
    fn engines(&mut self, engines: &Arc<Vec<SocketAddr>>) -> Option<Option<Packed>> {
        if self.state.engines == *engines {
            return Some(None);
        }
        let packed = self.cache.engines(engines)?;
        self.state.engines = Arc::clone(engines);
        Some(Some(packed))
    }
}

/// Decodes the targets of one connection.
#[derive(Clone, Debug, Default)]
pub struct TargetDecoder(ConnectionState);

impl TargetDecoder {
    /// Decodes a target; `None` if it is malformed or refers to a map that was never received.
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
            MapMessage::Changed(Base::LastSent, changes) => {
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

    fn engines(&mut self, received: Option<Packed>) -> Option<Arc<Vec<SocketAddr>>> {
        if let Some(packed) = received {
            self.0.engines = Arc::new(packed.unpack()?);
        }
        Some(Arc::clone(&self.0.engines))
    }
}

fn encode_map(base: Option<&Map>, map: &Map) -> Option<MapMessage> {
    if let Some(changes) = base.and_then(|base| pack_changes(base, map)) {
        return Some(MapMessage::Changed(Base::LastSent, changes));
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

//! Encoding of targets and expert counts between the agents of a group.

use flamingowheel_protocol::ranks::{ExpertCounts, Map, RankTarget};
use flamingowheel_protocol::targets::{TargetDecoder, TargetEncoder, TargetMessage};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::Arc;

const SETS: usize = 12;
const RANKS: usize = 32;

/// A map of random lists: regular ones would compress to almost nothing.
fn map() -> Map {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut experts = || (0..5).map(|_| rng.random_range(0..128)).collect();
    (0..SETS).map(|_| (0..RANKS).map(|_| experts()).collect()).collect()
}

fn engines() -> Arc<Vec<SocketAddr>> {
    Arc::new((0..RANKS).map(|r| SocketAddr::from(([10, 0, 0, 1], 1_000 + r as u16))).collect())
}

fn prepared(version: u64, map: Map) -> RankTarget {
    RankTarget::Prepared { epoch: 1, version, map: Arc::new(map), engines: engines() }
}

fn size_bytes(message: &TargetMessage) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).unwrap();
    bytes.len()
}

#[test]
fn decode_series() {
    let mut changed = map();
    changed[3][7] = vec![1, 2, 3];
    let targets = [
        prepared(5, map()),
        RankTarget::Armed { epoch: 1, version: 5, pass: 9, engines: engines() },
        RankTarget::Idle,
        prepared(6, changed),
        prepared(7, map()),
    ];
    let (mut encoder, mut decoder) = (TargetEncoder::default(), TargetDecoder::default());
    for target in targets {
        assert_eq!(decoder.decode(encoder.encode(&target).unwrap()), Some(target));
    }
}

/// An agent restarts and its connection is new. If it accepted changes to a map that it never
/// received, it would prepare a different map from the other ranks.
#[test]
fn decode_change_without_map() {
    let mut encoder = TargetEncoder::default();
    encoder.encode(&prepared(5, map()));
    let message = encoder.encode(&prepared(6, map())).unwrap();
    assert_eq!(TargetDecoder::default().decode(message), None);
}

/// A change of a large group's map goes to 31 agents over a link of 8 Mbit/s. Whole maps would
/// occupy it for longer than a pass, and all passes meanwhile would use the old map.
#[test]
fn encode_change_small() {
    let mut encoder = TargetEncoder::default();
    let whole = size_bytes(&encoder.encode(&prepared(5, map())).unwrap());
    let mut next = map();
    (0..RANKS).for_each(|rank| next[rank % SETS][rank][0] = 127);
    let change = size_bytes(&encoder.encode(&prepared(6, next)).unwrap());
    assert!(change * 3 < whole, "{change} of {whole} bytes");
}

#[test]
fn unpack_small_counts_exact() {
    let counts = [0, 1, 17, 255];
    assert_eq!(ExpertCounts::pack(&counts).unpack(), Some(counts.to_vec()));
}

/// Counts of a busy window exceed a byte. The planner needs only their ratios, so rounding is
/// allowed.
#[test]
fn unpack_large_counts_close() {
    let counts = [0, 400, 10_000, 90_000];
    for (count, unpacked) in counts.into_iter().zip(ExpertCounts::pack(&counts).unpack().unwrap()) {
        assert!(count.abs_diff(unpacked) <= 90_000 / 255, "{count} became {unpacked}");
    }
}

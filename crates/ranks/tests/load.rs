//! Bandwidth that the control traffic of large groups uses on the agents' links, from message
//! sizes.

use flamingowheel_policy::experts::Shape;
use flamingowheel_protocol::codec::encode;
use flamingowheel_protocol::ranks::{
    AgentRequest, ExpertCounts, Progress, RankTarget, RankUpdate, Subscription,
};
use flamingowheel_protocol::targets::{EncodingCache, TargetEncoder};
use flamingowheel_ranks::collect::{Assignment, ExpertCountSum, max_direct_agents};
use flamingowheel_ranks::engine::{COUNTS_INTERVAL, PROGRESS_INTERVAL};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::Arc;

/// Smallest link bandwidth of an agent, in bytes per second.
const LINK_BYTES_PER_S: u64 = 750_000;

/// Share of the link that control traffic may use in each direction.
const MAX_SHARE: f64 = 0.4;

/// Overhead of frame and packet headers per message, in bytes.
const HEADER_BYTES: usize = 60;

const PORT: u16 = 7_000;
const DATA_CENTRES: usize = 5;

/// Group sizes: ranks, sets, experts, replicas per rank.
const SIZES: [(usize, usize, usize, usize); 5] =
    [(12, 16, 96, 11), (24, 16, 96, 5), (32, 16, 128, 5), (96, 16, 192, 3), (128, 16, 192, 3)];

fn agent(rank: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, rank as u8], PORT))
}

fn assignment(ranks: usize, counts: usize) -> Assignment {
    let agents =
        (1..ranks).map(|rank| (format!("dc-{}", rank % DATA_CENTRES).into(), rank, agent(rank)));
    Assignment::distribute(agents.collect(), max_direct_agents(counts, LINK_BYTES_PER_S))
}

/// One rank's choices in a window of a busy group, in which some experts are chosen more than ten
/// times as often as others.
fn choices(counts: usize, rng: &mut ChaCha8Rng) -> ExpertCounts {
    let count = |_| {
        let mean: f64 = 4.0 / rng.random_range(0.05_f64..1.0);
        (mean * rng.random_range(0.5..1.5)) as u32
    };
    ExpertCounts::pack(&(0..counts).map(count).collect::<Vec<u32>>())
}

fn size_bytes(update: &RankUpdate) -> f64 {
    (encode(0, std::slice::from_ref(update)).unwrap().len() + HEADER_BYTES) as f64
}

fn assert_within_link(bytes_per_s: f64, what: &str, ranks: usize) {
    let max = LINK_BYTES_PER_S as f64 * MAX_SHARE;
    assert!(
        bytes_per_s < max,
        "{what}, {ranks} ranks: {bytes_per_s:.0} of {max:.0} bytes per second"
    );
}

/// Counts of 95 ranks, sent to one agent ten times a second, need four times the bandwidth of its
/// link. Connections then time out, the states of all ranks are never fresh at once, and the group
/// keeps its first map permanently.
#[test]
fn distribute_counts_within_links() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let windows_per_s = 1.0 / COUNTS_INTERVAL.as_secs_f64();
    let updates_per_s = 1.0 / PROGRESS_INTERVAL.as_secs_f64();
    let progress = Progress { pass: 90_000, running: 6, waiting: 2, pace: 1.25 };
    let progress_bytes = size_bytes(&RankUpdate::Progress(progress));
    for (ranks, sets, experts, _) in SIZES {
        let counts = sets * experts;
        let assignment = assignment(ranks, counts);
        let own_bytes = size_bytes(&RankUpdate::Choices(choices(counts, &mut rng)));
        let mut sum = ExpertCountSum::default();
        (0..=assignment.max_members()).for_each(|_| sum.add(&choices(counts, &mut rng)));
        let sum_bytes = size_bytes(&RankUpdate::Sum(sum.take().unwrap()));
        let has_collectors = assignment.max_members() > 0;
        let source_bytes = if has_collectors { sum_bytes } else { own_bytes };

        let progress_bytes_per_s = ranks as f64 * progress_bytes * updates_per_s;
        let to_coordinator =
            progress_bytes_per_s + assignment.sources() as f64 * source_bytes * windows_per_s;
        assert_within_link(to_coordinator, "coordinator", ranks);
        let members = assignment.max_members() as f64;
        let to_collector = members * (own_bytes * windows_per_s + progress_bytes * updates_per_s);
        assert_within_link(to_collector, "collector", ranks);
    }
}

/// Sending the complete map of 96 ranks to 95 agents takes two seconds on the coordinator's link,
/// while demand shifts every three seconds. A step must reach all agents within a quarter of a
/// second.
#[test]
fn encode_step_reaches_all_in_time() {
    const MAX_S: f64 = 0.25;
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for (ranks, sets, experts, replicas_per_rank) in SIZES {
        let shape = Shape { sets, experts, ranks, replicas_per_rank };
        let engines: Vec<SocketAddr> = (0..ranks).map(agent).collect();
        let engines = Arc::new(engines);
        let cache = Arc::new(EncodingCache::default());
        let mut encoders = vec![TargetEncoder::new(cache); ranks - 1];
        let mut map = shape.first_map();
        for version in 1..4 {
            // Each rank gets two new experts.
            for copy in 0..2 * ranks {
                let list = &mut map[rng.random_range(0..sets)][copy % ranks];
                list[0] = rng.random_range(0..experts as u16);
            }
            let target = RankTarget::Prepared {
                epoch: 1,
                version,
                map: Arc::new(map.clone()),
                engines: Arc::clone(&engines),
            };
            let bytes: usize = encoders
                .iter_mut()
                .map(|encoder| AgentRequest::Target(encoder.encode(&target).unwrap()))
                .map(|request| encode(0, &[request]).unwrap().len() + HEADER_BYTES)
                .sum();
            let taken_s = bytes as f64 / LINK_BYTES_PER_S as f64;
            assert!(taken_s < MAX_S, "{ranks} ranks, version {version}: {taken_s:.3} s");
        }
    }
}

/// A collector fails. The choices of its members must reach the coordinator through another one;
/// otherwise they are missing from the demand while it is away.
#[test]
fn distribute_collector_gone() {
    let agents = |without: Option<SocketAddr>| -> Vec<(Arc<str>, usize, SocketAddr)> {
        let all =
            (1..96).map(|rank| (format!("dc-{}", rank % DATA_CENTRES).into(), rank, agent(rank)));
        all.filter(|(_, _, address)| Some(*address) != without).collect()
    };
    let before = Assignment::distribute(agents(None), 10);
    let gone = (1..96)
        .map(agent)
        .find(|a| before.for_agent(*a).subscription == Subscription::Sums)
        .unwrap();
    let after = Assignment::distribute(agents(Some(gone)), 10);
    let is_covered = |address: SocketAddr| {
        let collects = |a: &usize| after.for_agent(agent(*a)).members.contains(&address);
        after.for_agent(address).subscription == Subscription::Sums || (1..96).any(|a| collects(&a))
    };
    assert!(before.for_agent(gone).members.iter().all(|member| is_covered(*member)));
    assert_eq!(after.for_agent(gone).subscription, Subscription::State);
}

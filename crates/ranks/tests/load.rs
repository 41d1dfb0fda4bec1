//! What the control of a wide group costs the links of its agents, by the messages that they send.

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

/// The narrowest link of an agent, in bytes a second.
const LINK_BYTES_PER_S: u64 = 750_000;

/// Part of it that control may take in either direction.
const MOST_SHARE: f64 = 0.4;

/// What each message takes besides: frame and packet headers, in bytes.
const HEADER_BYTES: usize = 60;

const PORT: u16 = 7_000;
const DATA_CENTRES: usize = 5;

/// Sizes of groups: ranks, sets, experts, replicas a rank.
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

/// One rank's choices in a window of a busy group: some experts are liked ten times as much as others.
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
    let most = LINK_BYTES_PER_S as f64 * MOST_SHARE;
    assert!(
        bytes_per_s < most,
        "{what}, {ranks} ranks: {bytes_per_s:.0} of {most:.0} bytes a second"
    );
}

/// Counts of 95 ranks, told to one agent ten times a second, were four times what its link carries. No
/// connection lived, no state was fresh for all ranks, and the group kept its first map for good.
#[test]
fn distribute_counts_within_links() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let windows_per_s = 1.0 / COUNTS_INTERVAL.as_secs_f64();
    let words_per_s = 1.0 / PROGRESS_INTERVAL.as_secs_f64();
    let progress = Progress { pass: 90_000, running: 6, waiting: 2, pace: 1.25 };
    let word_bytes = size_bytes(&RankUpdate::Progress(progress));
    for (ranks, sets, experts, _) in SIZES {
        let counts = sets * experts;
        let assignment = assignment(ranks, counts);
        let own_bytes = size_bytes(&RankUpdate::Choices(choices(counts, &mut rng)));
        let mut sum = ExpertCountSum::default();
        (0..=assignment.max_members()).for_each(|_| sum.add(&choices(counts, &mut rng)));
        let sum_bytes = size_bytes(&RankUpdate::Sum(sum.take().unwrap()));
        let has_collectors = assignment.max_members() > 0;
        let source_bytes = if has_collectors { sum_bytes } else { own_bytes };

        let words = ranks as f64 * word_bytes * words_per_s;
        let to_coordinator = words + assignment.sources() as f64 * source_bytes * windows_per_s;
        assert_within_link(to_coordinator, "coordinator", ranks);
        let members = assignment.max_members() as f64;
        let to_collector = members * (own_bytes * windows_per_s + word_bytes * words_per_s);
        assert_within_link(to_collector, "collector", ranks);
    }
}

/// A map of 96 ranks, told whole to 95 agents, takes two seconds of the coordinator's link, and demand
/// shifts every three. A quarter of a second is what a step may take to reach all of them.
#[test]
fn encode_step_reaches_all_in_time() {
    const MOST_S: f64 = 0.25;
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for (ranks, sets, experts, replicas_per_rank) in SIZES {
        let shape = Shape { sets, experts, ranks, replicas_per_rank };
        let engines: Vec<SocketAddr> = (0..ranks).map(agent).collect();
        let engines = Arc::new(engines);
        let cache = Arc::new(EncodingCache::default());
        let mut encoders = vec![TargetEncoder::new(cache); ranks - 1];
        let mut map = shape.first_map();
        for version in 1..4 {
            // Two experts are new to each rank.
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
            assert!(taken_s < MOST_S, "{ranks} ranks, version {version}: {taken_s:.3} s");
        }
    }
}

/// The agent that summed up the choices of others has died. Its members' choices must reach the
/// coordinator by another one, or demand is learnt without them for as long as it is away.
#[test]
fn distribute_collector_gone() {
    let agents = |without: Option<SocketAddr>| -> Vec<(Arc<str>, usize, SocketAddr)> {
        let all =
            (1..96).map(|rank| (format!("dc-{}", rank % DATA_CENTRES).into(), rank, agent(rank)));
        all.filter(|(_, _, address)| Some(*address) != without).collect()
    };
    let before = Assignment::distribute(agents(None), 10);
    let gone =
        (1..96).map(agent).find(|a| before.for_agent(*a).telling == Subscription::Sums).unwrap();
    let after = Assignment::distribute(agents(Some(gone)), 10);
    let told_by = |address: SocketAddr| {
        let collects = |a: &usize| after.for_agent(agent(*a)).members.contains(&address);
        after.for_agent(address).telling == Subscription::Sums || (1..96).any(|a| collects(&a))
    };
    assert!(before.for_agent(gone).members.iter().all(|member| told_by(*member)));
    assert_eq!(after.for_agent(gone).telling, Subscription::State);
}

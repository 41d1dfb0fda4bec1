//! A group of which a third of the ranks may take no requests, while demand stays as it is.

use flamingowheel_policy::room::Room;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, VecDeque};

const OPEN_RANKS: usize = 42;
const SLOTS: u32 = 10;
const ENTRIES: usize = 40;
const PLACES: usize = OPEN_RANKS * SLOTS as usize;

/// Times for which requests run once they have places, in milliseconds, and their mean.
const RUN_MS: std::ops::Range<u64> = 1_200..2_400;
const MEAN_RUN_MS: f64 = 1_800.0;

/// Age of what entries hear of the group, in milliseconds.
const REPORT_AGE_MS: u64 = 250;

/// Longest wait for a place with which a stream's first event still comes in time, in milliseconds.
const WAIT_GOAL_MS: u64 = 300;

const DAY_MS: u64 = 30_000;
const WARM_UP_MS: u64 = 5_000;

/// How the requests of a day fared.
#[derive(Debug)]
struct Outcome {
    /// Share of the requests that ran which waited no longer than the goal.
    in_time: f64,
    /// Share of the places that were in use.
    used: f64,
    /// Share of the requests that were refused.
    refused: f64,
}

/// Plays a day with `demand` times the requests that the open ranks can run.
fn play(demand: f64, room: Option<Room>, reports: bool, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let arrivals_per_ms = demand * PLACES as f64 / MEAN_RUN_MS;
    let mut own = [0_u32; ENTRIES];
    let mut waiting: VecDeque<(u64, usize)> = VecDeque::new();
    let mut ends: HashMap<u64, Vec<usize>> = HashMap::new();
    let (mut running, mut used, mut ran, mut in_time) = (0, 0, 0, 0);
    let (mut asked, mut refused) = (0_u32, 0_u32);
    let mut reports_sent: VecDeque<u32> = VecDeque::new();
    for now in 0..DAY_MS {
        for entry in ends.remove(&now).into_iter().flatten() {
            own[entry] -= 1;
            running -= 1;
        }
        let mut expected = arrivals_per_ms;
        while expected > 0.0 {
            if rng.random_bool(expected.min(1.0)) {
                let entry = rng.random_range(0..ENTRIES);
                let report = reports_sent.front().copied().filter(|_| reports);
                let crowding =
                    room.map_or(0.0, |room| room.crowding(own[entry], report, rng.random()));
                asked += 1;
                refused += u32::from(crowding > 1.0);
                if crowding <= 1.0 {
                    own[entry] += 1;
                    waiting.push_back((now, entry));
                }
            }
            expected -= 1.0;
        }
        while running < PLACES
            && let Some((since, entry)) = waiting.pop_front()
        {
            running += 1;
            ends.entry(now + rng.random_range(RUN_MS)).or_default().push(entry);
            if now >= WARM_UP_MS {
                ran += 1;
                in_time += u64::from(now - since <= WAIT_GOAL_MS);
            }
        }
        if now >= WARM_UP_MS {
            used += running;
        }
        reports_sent.push_back((running + waiting.len()) as u32);
        if reports_sent.len() as u64 > REPORT_AGE_MS {
            reports_sent.pop_front();
        }
    }
    let places = (PLACES as u64 * (DAY_MS - WARM_UP_MS)) as f64;
    Outcome {
        in_time: in_time as f64 / f64::from(ran),
        used: used as f64 / places,
        refused: f64::from(refused) / f64::from(asked),
    }
}

/// Guards against requests that all come late because the ranks that are left queue what they can't
/// run, and against room that is left empty to avoid that.
#[test]
fn crowding_third_closed_in_time_and_used() {
    let room = Room::new(OPEN_RANKS, SLOTS, ENTRIES);
    for (demand, seed) in [(1.1, 1), (1.4, 2), (2.5, 3)] {
        let with_room = play(demand, Some(room), true, seed);
        assert!(with_room.in_time >= 0.9, "demand {demand}: {with_room:?}");
        assert!(with_room.used >= 0.95, "demand {demand}: {with_room:?}");
        let without = play(demand, None, true, seed);
        assert!(without.in_time < 0.5, "demand {demand}: {without:?}");
    }
}

/// Guards against refusals while the ranks that are left can run all requests.
#[test]
fn crowding_third_closed_low_demand() {
    let room = Room::new(OPEN_RANKS, SLOTS, ENTRIES);
    let with_room = play(0.7, Some(room), true, 4);
    assert!(with_room.refused <= 0.01 && with_room.in_time >= 0.99, "{with_room:?}");
}

/// Guards against entries that rely on reports which have ceased.
#[test]
fn crowding_without_reports_in_time() {
    let room = Room::new(OPEN_RANKS, SLOTS, ENTRIES);
    let alone = play(1.4, Some(room), false, 5);
    assert!(alone.in_time >= 0.9 && alone.used >= 0.8, "{alone:?}");
}

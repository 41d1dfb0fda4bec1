//! Shares of callers that entries of unequal machines get.

use flamingowheel_policy::directory::{Caller, Candidate, choose};
use flamingowheel_policy::key::{DataCentreKey, EntryKey};
use std::collections::HashSet;

const MOST: usize = 64;
const CALLERS: u64 = 8_000;
const SIZES: [f64; 2] = [125.0, 42.5];

fn fleet(count: u64, data_centres: u64, sizes: [f64; 2]) -> Vec<Candidate> {
    let entry = |number: u64| Candidate {
        key: EntryKey::from_name(&format!("entry-{number}")),
        data_centre: DataCentreKey(number % data_centres),
        size: Some(sizes[(number / data_centres % 2) as usize]),
        speed: 1.0,
        room: 1.0,
    };
    (0..count).map(entry).collect()
}

fn caller(number: u64, data_centres: u64) -> Caller {
    let key = EntryKey::from_name(&format!("caller-{number}")).0;
    Caller { key, data_centre: Some(DataCentreKey(number % data_centres)) }
}

/// Callers that each entry gets, in callers.
fn shares(fleet: &[Candidate], data_centres: u64) -> Vec<f64> {
    let mut shares = vec![0.0; fleet.len()];
    for number in 0..CALLERS {
        let answer = choose(fleet, &caller(number, data_centres), MOST);
        answer.iter().for_each(|&named| shares[named] += 1.0 / answer.len() as f64);
    }
    shares
}

fn worst_over_mean(fleet: &[Candidate], shares: &[f64]) -> f64 {
    let able = |entry: &Candidate| entry.size.unwrap() * entry.speed * entry.room;
    let capacity: f64 = fleet.iter().map(able).sum();
    let loads = fleet.iter().zip(shares).map(|(entry, share)| share / able(entry));
    loads.fold(0.0, f64::max) * capacity / CALLERS as f64
}

#[test]
fn choose_alike_all_named_near_first() {
    let fleet = fleet(9, 3, [1.0, 1.0]);
    assert_eq!(choose(&fleet, &caller(1, 3), MOST), [1, 4, 7, 0, 2, 3, 5, 6, 8]);
}

#[test]
fn choose_two_sizes_shares_follow_sizes() {
    for (count, data_centres) in [(6, 3), (42, 3), (74, 3), (380, 5)] {
        let fleet = fleet(count, data_centres, SIZES);
        let shares = shares(&fleet, data_centres);
        let worst = worst_over_mean(&fleet, &shares);
        assert!(worst <= 1.15, "{count} entries: {worst}");
        assert!(shares.iter().all(|&share| share > 0.0), "{count} entries");
    }
}

/// Guards against entries beyond an answer's size that no answer names.
#[test]
fn choose_more_alike_than_named_all_used() {
    for (count, data_centres) in [(74, 3), (380, 5)] {
        let fleet = fleet(count, data_centres, [1.0, 1.0]);
        let shares = shares(&fleet, data_centres);
        assert!(shares.iter().all(|&share| share > 0.0), "{count} entries");
    }
}

#[test]
fn choose_two_sizes_near_first_while_able() {
    for (count, data_centres) in [(42, 3), (74, 3), (380, 5)] {
        let fleet = fleet(count, data_centres, SIZES);
        let is_near = |answer: &[usize], asker: &Caller| {
            let near =
                answer.iter().filter(|&&named| Some(fleet[named].data_centre) == asker.data_centre);
            near.count() as f64 / answer.len() as f64
        };
        let askers = (0..2_000).map(|number| caller(number, data_centres));
        let near = askers.map(|asker| is_near(&choose(&fleet, &asker, MOST), &asker));
        let share = near.sum::<f64>() / 2_000.0;
        assert!(share >= 0.9, "{count} entries: {share}");
    }
}

/// Guards against callers left without an address when a data centre is lost.
#[test]
fn choose_any_data_centre_lost_spares_left() {
    for (count, data_centres) in [(6, 3), (42, 3), (74, 3), (380, 5)] {
        let fleet = fleet(count, data_centres, SIZES);
        for number in 0..2_000 {
            let answer = choose(&fleet, &caller(number, data_centres), MOST);
            let named: HashSet<_> = answer.iter().map(|&named| fleet[named].data_centre).collect();
            assert!(named.len() >= 2, "{count} entries: {answer:?}");
        }
    }
}

/// Guards against all callers moving when one entry's load changes.
#[test]
fn choose_one_slow_few_addresses_change() {
    let before = fleet(74, 3, SIZES);
    let mut after = before.clone();
    after[3].speed = 0.25;
    let mut changed = 0;
    for number in 0..2_000 {
        let asker = caller(number, 3);
        let answer: HashSet<_> = choose(&before, &asker, MOST).into_iter().collect();
        let next: HashSet<_> = choose(&after, &asker, MOST).into_iter().collect();
        changed += answer.symmetric_difference(&next).count();
    }
    assert!(changed <= 2_000, "{changed}");
}

/// Guards against callers who stay near when all entries there have turned slow.
#[test]
fn choose_data_centre_slow_callers_leave() {
    let mut fleet = fleet(380, 5, SIZES);
    fleet.iter_mut().step_by(5).for_each(|entry| entry.speed = 0.25);
    let shares = shares(&fleet, 5);
    let worst = worst_over_mean(&fleet, &shares);
    assert!(worst <= 1.3, "{worst}");
}

/// Guards against entries of an earlier version that are overrun, or never named.
#[test]
fn choose_sizes_unknown_mean_share() {
    let mut fleet = fleet(42, 3, SIZES);
    fleet.iter_mut().step_by(4).for_each(|entry| entry.size = None);
    let mean = CALLERS as f64 / 42.0;
    let shares = shares(&fleet, 3);
    let unknown = shares.iter().step_by(4);
    assert!(unknown.clone().all(|&share| share > 0.7 * mean && share < 1.5 * mean));
}

/// Guards against shares that depend on who was listed before.
#[test]
fn choose_third_lost_shares_follow_sizes() {
    let mut fleet = fleet(74, 3, SIZES);
    let mut number = 0;
    fleet.retain(|_| {
        number += 1;
        number % 7 > 1
    });
    let worst = worst_over_mean(&fleet, &shares(&fleet, 3));
    assert!(worst <= 1.3, "{worst}");
}

#[test]
fn choose_few_entries_no_panic() {
    for count in 0..12 {
        for sizes in [SIZES, [1.0, 1_000.0]] {
            let fleet = fleet(count, 3, sizes);
            for number in 0..200 {
                let answer = choose(&fleet, &caller(number, 4), MOST);
                let distinct: HashSet<_> = answer.iter().collect();
                assert_eq!(distinct.len(), answer.len());
                assert!(answer.len() >= usize::try_from(count).unwrap().min(2));
            }
        }
    }
}

//! The limit of cold servers in any second, against entries that ask and send as often as they can.

use flamingowheel_policy::cold::{
    COLD_PERMIT_VALIDITY, ColdAllowance, ColdMeter, MAX_LIST_AGE, Standing, Tenure,
};
use flamingowheel_policy::key::ServerKey;
use flamingowheel_policy::permits::{Verdict, meter_of};
use flamingowheel_policy::warmth::Warmth;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(5);

fn server() -> ServerKey {
    ServerKey::from_name("s")
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Largest number of moments within any second.
fn most_in_second(moments: &[Duration]) -> usize {
    let in_second =
        |end: &Duration| moments.iter().filter(|at| **at <= *end && *end - **at < s(1)).count();
    moments.iter().map(in_second).max().unwrap_or(0)
}

/// Permits are kept for any part of their validity before they are used, so that requests come
/// together.
#[test]
fn acquire_any_use_of_permits_kept() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let rate_per_s = rng.random_range(1.0..60.0);
        let allowance = ColdAllowance::new(rate_per_s, 1.5, rng.random_range(0.0..8.0));
        let mut meter = ColdMeter::default();
        let (mut now, mut sent) = (s(10), Vec::new());
        let mut batch_until = now;
        while now < s(20) {
            now += STEP;
            if now >= batch_until {
                batch_until = now + COLD_PERMIT_VALIDITY.mul_f64(rng.random::<f64>());
            }
            let verdict = meter.acquire(server(), allowance, Standing::Sole, now);
            if verdict == Verdict::Granted {
                sent.push(batch_until.min(now + COLD_PERMIT_VALIDITY));
            }
        }
        let most = most_in_second(&sent);
        assert!(most <= allowance.most as usize, "seed {seed}: {most} of {}", allowance.most);
    }
}

/// A process that starts again and again as the meter, without memory of its grants.
fn grants_of_restarting_meter(is_always_sole: bool) -> Vec<Duration> {
    let allowance = ColdAllowance::new(26.0, 1.5, 5.0);
    let (mut now, mut grants) = (s(10), Vec::new());
    while now < s(14) {
        let (mut meter, mut tenure) = (ColdMeter::default(), Tenure::new("a", now));
        meter.record_cold(server(), s(3), now);
        tenure.observe(["a", "b"], now);
        for _ in 0..3 {
            now += STEP;
            let standing = match is_always_sole {
                true => Standing::Sole,
                false => tenure.standing(server(), Duration::ZERO, now),
            };
            if meter.acquire(server(), allowance, standing, now) == Verdict::Granted {
                grants.push(now);
            }
        }
    }
    grants
}

/// A meter is killed in series, and each start has a permit at once.
#[test]
fn standing_meter_restarts_nothing_granted() {
    assert_eq!(grants_of_restarting_meter(false), []);
    let planted = most_in_second(&grants_of_restarting_meter(true));
    assert!(planted > 44, "a meter that forgets at its start is convicted, {planted}");
}

/// An entry joins and takes a server over. The one before learns it only when its list gets too old,
/// and both grant as fast as they may.
#[test]
fn standing_entry_joins_sum_kept() {
    let allowance = ColdAllowance::new(26.0, 1.5, 5.0);
    let joined =
        ["a", "b", "c", "d"].into_iter().find(|new| meter_of(server(), ["e", new]) == Some(*new));
    let new = joined.unwrap();
    let (mut meters, mut sent) = ([ColdMeter::default(), ColdMeter::default()], Vec::new());
    let mut tenures = [Tenure::new("e", Duration::ZERO), Tenure::new(new, s(10))];
    let mut now = Duration::ZERO;
    while now < s(20) {
        now += STEP;
        let is_news = now >= s(10);
        tenures[0].observe(["e"], now);
        if is_news {
            tenures[1].observe(["e", new], now);
        }
        let ages = [now.saturating_sub(s(10)), Duration::ZERO];
        for (index, meter) in meters.iter_mut().enumerate().take(1 + usize::from(is_news)) {
            let standing = tenures[index].standing(server(), ages[index], now);
            let verdict = meter.acquire(server(), allowance, standing, now);
            if verdict == Verdict::Granted {
                sent.push(now + COLD_PERMIT_VALIDITY * u32::from(index == 0));
            }
        }
    }
    sent.sort_unstable();
    assert!(most_in_second(&sent) <= 44);
    let later = sent.iter().filter(|at| **at > s(10) + MAX_LIST_AGE + s(3)).count();
    assert!(later as f64 >= 0.9 * 26.0 * 5.0, "the new meter grants in the end, {later}");
}

/// Other entries join and leave all the time. A meter that stays the same goes on.
#[test]
fn standing_others_change_still_sole() {
    let own = meter_of(server(), ["a", "b", "c"]).unwrap();
    let others: Vec<&str> = ["a", "b", "c"].into_iter().filter(|name| *name != own).collect();
    let mut tenure = Tenure::new(own, Duration::ZERO);
    for round in 0..100 {
        let now = ms(200) * round;
        let other = others[round as usize % 2];
        tenure.observe([own, other], now);
        let is_settled = now >= MAX_LIST_AGE + s(1) + COLD_PERMIT_VALIDITY;
        let standing = tenure.standing(server(), Duration::ZERO, now);
        assert_eq!(standing == Standing::Sole, is_settled);
    }
}

/// A server may come back cold from a darkness that its listing does not show. Until it answers, each
/// entry's requests are few.
#[test]
fn take_not_answered_lately_few() {
    let mut warmth = Warmth::default();
    warmth.set_allowance(Some(ColdAllowance::new(26.0, 1.5, 5.0)), 6);
    let sent = (0..100).filter(|_| warmth.take(s(9))).count();
    assert_eq!(sent, 2);
    assert!(warmth.can_ask(s(9)));
    warmth.record_answered(s(9));
    assert!((0..100).all(|_| warmth.take(s(9))), "an answering server is not held back");
    warmth.record_unreachable();
    assert!(!warmth.take(s(9)));
}

/// A listing that is older than an answer says that the server is cold for a shorter time.
#[test]
fn record_cold_shorter_ignored() {
    let mut warmth = Warmth::default();
    warmth.set_allowance(Some(ColdAllowance::new(26.0, 1.5, 5.0)), 6);
    assert!(warmth.record_cold(s(3), s(1)));
    assert!(!warmth.record_cold(s(1), s(1)));
    assert_eq!(warmth.left(s(1)), s(3));
    assert!(!warmth.is_cold(s(4)));
}

/// A permit that comes too late must not be used.
#[test]
fn answer_late_permit_unused() {
    let mut warmth = Warmth::default();
    warmth.set_allowance(Some(ColdAllowance::new(26.0, 1.5, 5.0)), 6);
    warmth.record_cold(s(3), s(1));
    assert!(warmth.begin_ask(s(1)));
    let late = s(1) + COLD_PERMIT_VALIDITY;
    warmth.answer(s(1), Verdict::Granted, late);
    assert!(!warmth.take(late));
}

/// A deployment whose services name no cold rate has no limit and asks for nothing.
#[test]
fn take_no_allowance_unlimited() {
    let mut warmth = Warmth::default();
    warmth.record_cold(s(3), s(1));
    assert!((0..1_000).all(|_| warmth.take(s(1))));
    assert!(!warmth.can_ask(s(1)));
    assert_eq!(warmth.share(s(1)), 1.0);
}

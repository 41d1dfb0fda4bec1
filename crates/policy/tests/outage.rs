//! Callers that were refused during an outage and come back.

use flamingowheel_policy::outage::retry_after_ms;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ARRIVALS_PER_S: usize = 260;
const OUTAGE_MS: usize = 2_000;
const DEADLINE_MS: f64 = 8_000.0;
const BIN_MS: usize = 250;

/// All processes were restarted, and callers were refused for two seconds. A group with an uneven
/// map can't take them in addition to the usual callers; later it has room for as many again.
#[test]
fn retry_after_ms_outage_of_all_processes() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut returns = [0_usize; 20];
    for caller in 0..ARRIVALS_PER_S * OUTAGE_MS / 1_000 {
        let arrived_ms = caller * 1_000 / ARRIVALS_PER_S;
        let returned_ms = arrived_ms + retry_after_ms(DEADLINE_MS, rng.random()) as usize;
        returns[returned_ms / BIN_MS] += 1;
    }
    let usual = ARRIVALS_PER_S * BIN_MS / 1_000;
    let after_outage = &returns[OUTAGE_MS / BIN_MS..];
    assert!(after_outage.iter().all(|returned| *returned <= usual * 5 / 4), "{after_outage:?}");
}

/// A caller with little time left honours only a short delay. A longer one would not be followed.
#[test]
fn retry_after_ms_short_deadline() {
    for draw in [0.0, 0.5, 1.0] {
        assert!(retry_after_ms(600.0, draw) <= 200);
    }
}

//! When callers should retry that were refused because no server takes requests.

/// Share of their remaining time up to which callers follow a requested delay.
const HONOURED_SHARE: f64 = 1.0 / 3.0;

/// Time in which a service usually recovers, in milliseconds.
const RECOVERY_MS: f64 = 1_000.0;

/// Delay in milliseconds after which a caller with `left_ms` milliseconds until its deadline should
/// retry.
///
/// All callers of an outage are late, and those that retry as soon as the service is back delay
/// callers that are not. `draw`, a random number between 0 and 1, spreads them over the time up to
/// the longest delay that callers follow.
///
/// ```
/// use flamingowheel_policy::outage::retry_after_ms;
/// assert_eq!(retry_after_ms(6_000.0, 0.0), 1_000);
/// assert_eq!(retry_after_ms(6_000.0, 0.5), 1_500);
/// assert_eq!(retry_after_ms(1_200.0, 0.5), 400);
/// ```
pub fn retry_after_ms(left_ms: f64, draw: f64) -> u64 {
    let most_ms = left_ms * HONOURED_SHARE;
    let least_ms = RECOVERY_MS.min(most_ms);
    (least_ms + draw * (most_ms - least_ms)) as u64
}

/// Shortest delay while servers are only held back, in milliseconds.
const MIN_HELD_RETRY_MS: f64 = 100.0;

/// Largest random extension of such a delay, as a share of it.
const HELD_SPREAD: f64 = 0.5;

/// Delay in milliseconds after which a caller with `left_ms` milliseconds until its deadline should
/// retry, if the first server takes requests again in `wait_ms` milliseconds. `draw`, a random
/// number between 0 and 1, spreads the callers that are refused at the same time.
///
/// ```
/// use flamingowheel_policy::outage::held_retry_after_ms;
/// assert_eq!(held_retry_after_ms(400.0, 6_000.0, 0.0), 400);
/// assert_eq!(held_retry_after_ms(400.0, 6_000.0, 1.0), 600);
/// assert_eq!(held_retry_after_ms(9_000.0, 6_000.0, 0.5), 2_000);
/// ```
pub fn held_retry_after_ms(wait_ms: f64, left_ms: f64, draw: f64) -> u64 {
    let delay_ms = wait_ms.max(MIN_HELD_RETRY_MS) * (1.0 + HELD_SPREAD * draw);
    delay_ms.min(left_ms * HONOURED_SHARE) as u64
}

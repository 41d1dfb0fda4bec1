//! When callers should retry that were refused during an outage.

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

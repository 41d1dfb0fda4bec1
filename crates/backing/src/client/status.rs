//! Which statuses an answer may have.

/// Whether a status is one of a final answer. The HTTP library takes any three digits from 100 to
/// 999, and hands status 101 on as an answer, although nobody asked for another protocol.
///
/// ```
/// use flamingowheel_backing::client::status::is_final;
/// assert!(is_final(200) && is_final(504));
/// assert!(!is_final(0) && !is_final(101) && !is_final(600));
/// ```
pub fn is_final(status: u16) -> bool {
    (200..600).contains(&status)
}

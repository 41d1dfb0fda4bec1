//! Mutations: known-wrong variants that show that the checks detect faults.
//!
//! Each changes the messages of a process as if its code lacked one safeguard. The production code
//! has no switch for them.

/// A safeguard that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// An agent answers "not run" for work that it has not received, and writes no tombstone.
    TombstoneSkipped,
    /// All incarnations of an agent have the same number, so messages for one are accepted by the
    /// next.
    IncarnationIgnored,
    /// Non-idempotent work is retried although its outcome is unknown.
    NonIdempotentRetried,
    /// A truncated stream counts as complete.
    TruncatedStreamAccepted,
    /// A process adopts the configuration of a peer that has an older revision.
    OlderRevisionAdopted,
    /// An agent checks an order's fencing number when the order arrives, but not again before it is
    /// written.
    FenceAtReceiptOnly,
}

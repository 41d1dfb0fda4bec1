//! Known-wrong variants, so that it can be seen that the checks find faults.
//!
//! Each makes the messages of a process look as if its code lacked one safeguard. No product code
//! has a switch for them.

/// A safeguard that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// An agent says "not run" of what it never saw, and writes no tombstone.
    TombstoneSkipped,
    /// Nothing tells one life of an agent from the next, so what was meant for one runs in the
    /// other.
    IncarnationIgnored,
    /// Non-idempotent work whose fate is unknown is sent again.
    NonIdempotentRetried,
    /// A stream that broke off counts as whole.
    TruncatedStreamAccepted,
    /// A process takes its configuration from a peer that is behind it.
    OlderPeerTaken,
    /// An agent checks an order's fencing number when the order comes, but not again before it is
    /// written.
    FenceAtReceiptOnly,
}

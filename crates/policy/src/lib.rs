//! Skeleton.

pub mod rebalance;

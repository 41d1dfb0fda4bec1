//! Skeleton.

fn main() {}

//! Runs the real code of entries and agents against fakes, under a paused clock, with faults at
//! every step, and compares what callers were told with what ran.
//!
//! [`world`] holds a small fleet in one thread: real entries and agents, an in-memory network
//! between them, fakes behind them. [`oracle`] knows only what callers asked, what they were told
//! and what the backend servers carried out. [`machine`] drives the world at random, and [`matrix`]
//! brings about every fault at every step. [`configuration`] and [`group`] do the same for the
//! operators' configuration and for map switches. [`fuzz`] is what these share. [`mutation`] names known-wrong variants.

pub mod backend;
pub mod caller;
pub mod configuration;
pub mod entry;
pub mod fuzz;
pub mod group;
pub mod machine;
pub mod matrix;
pub mod mutation;
pub mod network;
pub mod oracle;
pub mod relay;
pub mod servers;
pub mod world;

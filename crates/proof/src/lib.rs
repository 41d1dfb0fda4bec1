//! Fault-injection tests: run the real code of entries and agents against fakes, under a paused
//! clock, and compare the outcomes that callers get with what the backend servers executed.
//!
//! [`world`] holds a small fleet in one thread: real entries and agents, an in-memory network
//! between them, and fakes of all other services. [`oracle`] compares the callers' outcomes with
//! what the backend servers executed. [`machine`] drives the world with random steps, and
//! [`matrix`] injects every fault at every step. [`configuration`] and [`group`] do the same for
//! the operators' configuration and for map switches. [`fuzz`] runs the random steps of all three.
//! [`mutation`] lists known-wrong variants that the checks must detect.

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

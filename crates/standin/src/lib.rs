//! Small HTTP servers over the in-memory fakes, so that tests and the demo run against real
//! connections. Each serves on a listener until its cancellation token is cancelled. Faults of the
//! service are injected through its fake, faults of its connections through [`Connections`].

pub mod endless;
pub mod engine;
pub mod fast;
pub mod host;
pub mod kv;
pub mod platform;
pub mod service;
pub mod vms;
pub mod weights;

pub use host::Connections;

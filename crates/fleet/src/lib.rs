//! What a deployment says of itself, in the project's own types: the settings of a process, the
//! operators' configuration, the backend servers and the state of the model engines.
//!
//! The `platform` package decodes the platform's messages into these types; all decisions are
//! made on them.

pub mod configuration;
pub mod engine;
pub mod server;
pub mod settings;

pub use configuration::{
    Configuration, EngineParameters, Limits, RetryPolicy, Route, Service, Split,
};
pub use engine::{EngineReport, ExpertCounts, ExpertMap, GroupMembership, GroupState, MapOrder};
pub use server::{BackendServer, ServerId};
pub use settings::ProcessSettings;

//! Platform-independent types of a deployment: process settings, the operators' configuration,
//! backend servers and the state of model engines.
//!
//! The `platform` package decodes the platform's messages into these types; all decisions are
//! based on them.

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

//! The process that callers connect to. It lists the entries that a workspace should use, accepts
//! requests, sends each to an agent and returns one of three outcomes: complete, not run or unknown.

pub mod addresses;
pub mod agents;
pub mod archive;
pub mod attempt;
pub mod claims;
pub mod config;
pub mod connector;
pub mod dispatch;
pub mod events;
pub mod http;
pub mod limits;
pub mod links;
pub mod outcome;
pub mod request;
pub mod router;
pub mod state;
pub mod stream;
mod supervisor;

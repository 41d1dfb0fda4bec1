//! The process that callers talk to: answers the address question, takes requests, chooses an
//! agent, and tells each caller one of three outcomes.

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

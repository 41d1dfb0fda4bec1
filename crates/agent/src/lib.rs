//! The agent: a process beside a backend server, through which all requests to that server pass.
//!
//! It admits or refuses requests, records what ran, cancels requests, replays streams and reports
//! its load. One control task owns the state and makes all decisions ([`control`]); other tasks
//! move the bytes of answers ([`execution`]).

pub mod archive;
pub mod cache;
pub mod config;
pub mod control;
pub mod execution;
pub mod load;
pub mod records;
pub mod runner;
pub mod serve;
pub mod stored;

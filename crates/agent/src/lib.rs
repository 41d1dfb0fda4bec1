//! The process in the slot of a backend server VM: the only way to its backend server.
//!
//! It admits or refuses work, remembers what ran, cancels, replays streams and tells its load.
//! All decisions are made by one control task that owns the state ([`control`]); the bytes of
//! answers are moved by other tasks ([`execution`]).

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

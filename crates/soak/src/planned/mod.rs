//! Runs in which only planned work happens: stops, reloads of settings and configurations. No
//! request that an entry has read may remain without a whole answer or a proper refusal.

pub mod ahead;
pub mod callers;
pub mod check;
pub mod connection;
pub mod events;
pub mod habits;
pub mod logs;
pub mod report;
pub mod run;

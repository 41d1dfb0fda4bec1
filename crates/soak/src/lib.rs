//! A randomized fault-injection soak test. It runs the real daemon as separate processes on one
//! machine, connected to stand-ins through proxies that inject connection faults, and stops,
//! pauses, kills and restarts the processes by signals. Throughout, the daemon's guarantees are
//! checked from what callers and backend servers observe.

pub mod callers;
pub mod changes;
pub mod cli;
pub mod cold;
pub mod crashes;
pub mod evacuations;
pub mod faults;
pub mod fleet;
pub mod planned;
pub mod process;
pub mod proxy;
pub mod report;
pub mod retries;
pub mod run;
pub mod signals;

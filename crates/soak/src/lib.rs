//! A randomized fault soak: the real daemon as separate processes on one machine, before stand-ins,
//! behind proxies that harm connections, under signals that stop, pause, kill and restart it. From
//! what callers and backend servers see it is checked that promises hold all the while.

pub mod callers;
pub mod cli;
pub mod faults;
pub mod fleet;
pub mod process;
pub mod proxy;
pub mod report;
pub mod run;

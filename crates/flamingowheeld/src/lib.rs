//! Assembles entry and agent processes from their settings, and runs a demo fleet on loopback.

pub mod agent;

pub mod demo;
pub mod discovery;
pub mod entry;
pub mod groups;
pub mod keys;
pub mod listen;
pub mod loans;
pub mod membership;
pub mod models;
pub mod operators;
pub mod orders;
pub mod placement;
pub mod threads;

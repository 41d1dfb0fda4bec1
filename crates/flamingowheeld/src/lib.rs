//! The daemon's parts: each role assembled from its settings, and a demo of the whole on loopback.

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

//! The entry of a platform deployment: accepts callers' requests, forwards each to a backend server
//! and relays the answer.
//!
//! The control thread reads the key-value store, directly or through other entries, and publishes
//! immutable [`view::View`]s. The traffic threads serve requests and read the newest view without a
//! lock.

pub mod balance;
pub mod breaker;
pub mod budget;
pub mod capacity;
pub mod claims;
mod cold;
pub mod connection;
pub mod directory;
pub mod ends;
pub mod evacuation;
pub mod events;
pub mod exchange;
pub mod feed;
pub mod forward;
pub mod front;
pub mod group;
pub mod held;
pub mod homes;
pub mod idle;
pub mod info;
pub mod listings;
pub mod losses;
pub mod member;
pub mod metrics;
pub mod open;
pub mod permits;
pub mod priority;
pub mod process;
pub mod publish;
pub mod refusal;
pub mod relay;
pub mod selection;
pub mod server;
pub mod signals;
pub mod silence;
pub mod suspects;
pub mod view;
pub mod warmth;

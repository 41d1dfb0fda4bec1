//! The entry on a platform: takes callers' requests, sends each to a backend server, and passes
//! the answer back.
//!
//! One thread holds the control state: it learns what the key-value store says and publishes immutable
//! [`view::View`]s. The other threads take requests and read the newest view without a lock.

pub mod balance;
pub mod budget;
pub mod connection;
pub mod events;
pub mod exchange;
pub mod feed;
pub mod forward;
pub mod front;
pub mod gate;
pub mod group;
pub mod info;
pub mod member;
pub mod metrics;
pub mod process;
pub mod publish;
pub mod refusal;
pub mod relay;
pub mod server;
pub mod silence;
pub mod view;

//! A rank group with the real agents, without sockets: engines, links and the store are in memory.

mod agents;
mod engines;
mod rules;
mod trouble;

pub use agents::Agents;
pub use engines::{Fleet, SHAPE, SecondHold, address};
pub use trouble::{Fate, Trouble};

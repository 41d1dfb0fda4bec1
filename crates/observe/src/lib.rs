//! What a process did and how it fares: events with hybrid logical time, logs and metrics.

pub mod api;
pub mod clock;
mod describe;
pub mod event;
pub mod http;
pub mod kv;
pub mod logs;
pub mod metrics;
pub mod output;
pub mod reason;
pub mod recorder;
mod repeats;
pub mod ring;
pub mod text;
pub mod timeline;

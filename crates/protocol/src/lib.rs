//! The protocol between flamingowheel's own processes: identities, messages, codec, tickets and
//! authenticated connections.

pub mod archive;
pub mod auth;
pub mod codec;
pub mod id;
pub mod link;
pub mod lists;
pub mod message;
pub mod packed;
pub mod peer;
pub mod permits;
pub mod ranks;
pub mod suspects;
pub mod targets;
pub mod ticket;
pub mod websocket;

//! Settings of the daemon, and the operators' configuration: templates, workspaces and how they
//! are stored.
//!
//! [`settings`] is what one process is told by its own file. Everything else is what the whole
//! fleet agrees on: operators write [`document`]s, [`validate`] checks them, [`store`] appends
//! them to the log in the key-value service, and [`effective`] is what traffic looks up.

pub mod api;
pub mod apply;
pub mod bucket;
pub mod change;
pub mod desired;
pub mod document;
pub mod effective;
pub mod fold;
pub mod problem;
pub mod replica;
pub mod secret;
pub mod settings;
pub mod store;
pub mod template;
pub mod token;
pub mod validate;
pub mod workspace;
mod yaml;

//! Settings of the daemon, and the fleet-wide configuration that operators write: templates,
//! workspaces and their storage.
//!
//! [`settings`] are read by each process from its own file. Everything else is shared by the
//! fleet: operators write [`document`]s, [`validate`] checks them, [`store`] appends them to the
//! log in the key-value service, and requests are resolved through [`effective`].

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

//! The tool as an operator sees it.

mod commands;
mod contract;
mod handbook;
mod links;
mod reference;
mod session;
mod settings;
mod usage;

//! The tool as an operator sees it.

mod commands;
mod handbook;
mod session;
mod usage;

//! The tool as an operator sees it.

mod commands;
mod session;
mod usage;

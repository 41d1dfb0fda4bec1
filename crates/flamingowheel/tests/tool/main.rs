//! The tool as an operator sees it.

mod commands;
mod handbook;
mod reference;
mod session;
mod usage;

//! Tests of the tool's command line, output and documentation.

mod answers;
mod commands;
mod contract;
mod handbook;
mod links;
mod reference;
mod session;
mod settings;
mod usage;

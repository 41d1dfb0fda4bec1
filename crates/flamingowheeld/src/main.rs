//! The `flamingowheeld` daemon: runs an entry, an agent or the demo.

#![allow(clippy::print_stdout, clippy::print_stderr, reason = "a command-line program")]

mod cli;
mod exit;
mod run;

use crate::cli::{Command, HELP};
use crate::exit::Exit;
use std::process::ExitCode;

fn main() -> ExitCode {
    let command = match cli::parse(pico_args::Arguments::from_env()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("flamingowheeld: {error}\nTry --help.");
            return Exit::Usage.into();
        }
    };
    let result = match command {
        Command::Help => {
            print!("{HELP}");
            return Exit::Success.into();
        }
        Command::Version => {
            println!("flamingowheeld {}", env!("CARGO_PKG_VERSION"));
            return Exit::Success.into();
        }
        Command::Run(file) => run::role(&file),
        Command::Platform => run::on_platform(),
        Command::Check(file) => run::check(&file),
        Command::Demo { once, lose_agent } => run::demo(once, lose_agent),
    };
    match result {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("flamingowheeld: {error:#}");
            run::exit_for(&error).into()
        }
    }
}

//! The operators' command-line tool.

use std::io::Write;
use std::process;

use eyre::WrapErr;
use flamingowheel::cli::Invocation;
use flamingowheel::config::{Config, Environment};
use flamingowheel::error::Error;
use flamingowheel::{Output, cli, commands, exit::ExitCode, help};

fn main() -> process::ExitCode {
    let exit = match run() {
        Ok(output) => print(&output),
        Err(report) => {
            let _ = writeln!(std::io::stderr(), "flamingowheel: {}", error_text(&report));
            report.downcast_ref::<Error>().map_or(ExitCode::Failed, Error::exit_code)
        }
    };
    exit.into()
}

/// Formats an error with its causes. Most errors already contain the text of their cause, which is
/// then not repeated.
fn error_text(report: &eyre::Report) -> String {
    let mut text = report.to_string();
    for cause in report.chain().skip(1).map(ToString::to_string) {
        if !text.contains(&cause) {
            text = format!("{text}: {cause}");
        }
    }
    text
}

fn run() -> eyre::Result<Output> {
    let arguments = std::env::args_os().skip(1).collect();
    let typed = match cli::parse(arguments).map_err(Error::from)? {
        Invocation::Help(topic) => return Ok(Output::success(help::text(topic))),
        Invocation::Version => return Ok(Output::success(help::version())),
        Invocation::Run(typed) => typed,
    };
    let config = Config::new(*typed, &Environment::from_process()).map_err(Error::from)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("can't start the runtime")?;
    Ok(runtime.block_on(commands::run(&config))?)
}

fn print(output: &Output) -> ExitCode {
    match std::io::stdout().write_all(output.text.as_bytes()) {
        Ok(()) => output.exit,
        Err(_) => ExitCode::Failed,
    }
}

//! Command-line parsing.

use pico_args::Arguments;
use std::ffi::OsString;
use std::path::PathBuf;

/// The text of `--help`.
pub const HELP: &str = "\
flamingowheeld: load balancer for expert-parallel model groups

Usage:
  flamingowheeld --settings FILE   run the role that the settings name
  flamingowheeld --check FILE      check the settings and end
  flamingowheeld --platform        run on the platform whose settings file the environment
                                   names: as entry, or as agent beside a backend server
  flamingowheeld --demo            run a small fleet with stand-ins on loopback
  flamingowheeld --demo --once     the same, try its promises once, and end
  flamingowheeld --demo --lose-agent
                                   the demo; the agent of the first work order dies while it runs

Options:
  -h, --help       show this
  -V, --version    show the version

Signals:
  SIGTERM, SIGINT  leave: take no new work, let everything in progress end
  a second one     stop accepting callers at once; work in progress still ends
  a third one      end at once, cutting off what is in progress

Exit codes:
  0 ended as asked    1 failure          2 usage
  3 settings refused  4 address in use   5 the demo failed
";

/// Action selected by the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Run the entry or agent that a settings file describes.
    Run(PathBuf),
    /// Run with the platform settings file that the environment names.
    Platform,
    /// Validate a settings file without running anything.
    Check(PathBuf),
    /// Run a demo fleet on loopback.
    Demo {
        /// Run the demo's checks once and exit.
        once: bool,
        /// Kill the agent of the first work order while the order runs.
        lose_agent: bool,
    },
}

/// Why the command line was rejected.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// An option lacks its value, or the value can't be parsed.
    #[error("{0}")]
    Option(#[from] pico_args::Error),
    /// An argument that is no option of the daemon.
    #[error("unknown argument {0:?}")]
    Unknown(OsString),
    /// No command was given, or options that exclude each other.
    #[error("name exactly one of --settings, --check, --platform and --demo")]
    NotExactlyOne,
}

/// Parses the arguments into a command.
pub fn parse(mut arguments: Arguments) -> Result<Command, UsageError> {
    if arguments.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if arguments.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let run: Option<PathBuf> = arguments.opt_value_from_str("--settings")?;
    let check: Option<PathBuf> = arguments.opt_value_from_str("--check")?;
    let platform = arguments.contains("--platform");
    let demo = arguments.contains("--demo");
    let once = arguments.contains("--once");
    let lose_agent = arguments.contains("--lose-agent");
    if let Some(unknown) = arguments.finish().into_iter().next() {
        return Err(UsageError::Unknown(unknown));
    }
    if platform {
        let is_only_option = run.is_none() && check.is_none() && !demo && !once && !lose_agent;
        return if is_only_option { Ok(Command::Platform) } else { Err(UsageError::NotExactlyOne) };
    }
    match (run, check, demo) {
        (Some(file), None, false) if !once && !lose_agent => Ok(Command::Run(file)),
        (None, Some(file), false) if !once && !lose_agent => Ok(Command::Check(file)),
        (None, None, true) if !(once && lose_agent) => Ok(Command::Demo { once, lose_agent }),
        _ => Err(UsageError::NotExactlyOne),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse_args(arguments: &[&str]) -> Result<Command, UsageError> {
        parse(Arguments::from_vec(arguments.iter().map(OsString::from).collect()))
    }

    #[test]
    fn parse_known_commands() {
        let demo = |once, lose_agent| Command::Demo { once, lose_agent };
        assert_eq!(parse_args(&["--demo", "--once"]).unwrap(), demo(true, false));
        assert_eq!(parse_args(&["--demo", "--lose-agent"]).unwrap(), demo(false, true));
        assert_eq!(parse_args(&["--platform"]).unwrap(), Command::Platform);
        assert_eq!(parse_args(&["--settings", "a"]).unwrap(), Command::Run("a".into()));
    }

    #[test]
    fn parse_contradictions_refused() {
        assert!(matches!(parse_args(&[]), Err(UsageError::NotExactlyOne)));
        assert!(matches!(parse_args(&["--demo", "--check", "a"]), Err(UsageError::NotExactlyOne)));
        assert!(matches!(
            parse_args(&["--check", "a", "--lose-agent"]),
            Err(UsageError::NotExactlyOne)
        ));
        assert!(matches!(parse_args(&["--platform", "--demo"]), Err(UsageError::NotExactlyOne)));
        assert!(matches!(parse_args(&["--dmeo"]), Err(UsageError::Unknown(_))));
    }
}

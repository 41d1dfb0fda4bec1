//! The command line.

use std::path::PathBuf;

/// Help text.
pub const USAGE: &str = "\
Usage: flamingowheel-soak --program PATH [--seed N] [--seeds N] [--seconds N] [--entries N]
                          [--servers N] [--callers N] [--planned]

Runs the daemon at PATH as separate processes under random faults and checks its promises.
  --seed N      the first seed (1)
  --seeds N     seeds to run, one after the other (1)
  --seconds N   time under faults, for each seed (20)
  --entries N   entry processes (4)
  --servers N   backend servers (6)
  --callers N   callers (12)
  --planned     only planned work: stops, reloads of settings, configurations";

/// Parsed command line options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// First seed.
    pub seed: u64,
    /// Number of consecutive seeds to run, one after the other.
    pub seeds: u64,
    /// Time under faults for each seed, in seconds.
    pub seconds: u64,
    /// Number of entry processes, above 0.
    pub entries: usize,
    /// Number of backend servers, above 0.
    pub servers: usize,
    /// Number of concurrent callers, above 0.
    pub callers: usize,
    /// Whether only planned work happens, in place of random faults.
    pub is_planned: bool,
}

/// Why a command line was rejected.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// The value of an option can't be parsed, or a required option is missing.
    #[error(transparent)]
    Arguments(#[from] pico_args::Error),
    /// Arguments that match no option.
    #[error("unknown: {0:?}")]
    Unknown(Vec<std::ffi::OsString>),
    /// A fleet without entries, backend servers or callers.
    #[error("--entries, --servers and --callers take a number above 0")]
    Empty,
}

/// Reads the command line.
pub fn parse(mut arguments: pico_args::Arguments) -> Result<Options, UsageError> {
    let options = Options {
        is_planned: arguments.contains("--planned"),
        program: arguments.value_from_str("--program")?,
        seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
        seeds: arguments.opt_value_from_str("--seeds")?.unwrap_or(1),
        seconds: arguments.opt_value_from_str("--seconds")?.unwrap_or(20),
        entries: arguments.opt_value_from_str("--entries")?.unwrap_or(4),
        servers: arguments.opt_value_from_str("--servers")?.unwrap_or(6),
        callers: arguments.opt_value_from_str("--callers")?.unwrap_or(12),
    };
    let rest = arguments.finish();
    if !rest.is_empty() {
        return Err(UsageError::Unknown(rest));
    }
    if options.entries == 0 || options.servers == 0 || options.callers == 0 {
        return Err(UsageError::Empty);
    }
    Ok(options)
}

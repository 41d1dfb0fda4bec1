//! Command line of the benchmarks: `--seed N`. The `--bench` flag that cargo passes is ignored.

use std::process::ExitCode;

/// Parses the arguments; prints an error and returns the exit code if they are invalid.
pub fn seed() -> Result<u64, ExitCode> {
    let mut args = pico_args::Arguments::from_env();
    let _ = args.contains("--bench");
    let seed = args.opt_value_from_str("--seed");
    let rest = args.finish();
    match seed {
        Ok(seed) if rest.is_empty() => Ok(seed.unwrap_or(1)),
        Ok(_) => Err(usage_error(&format!("unknown arguments: {rest:?}"))),
        Err(error) => Err(usage_error(&error.to_string())),
    }
}

fn usage_error(problem: &str) -> ExitCode {
    eprintln!("{problem}\nusage: cargo bench --bench NAME -- [--seed N]");
    ExitCode::from(2)
}

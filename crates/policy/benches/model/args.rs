//! The benches' command line: `--seed N`; cargo's own `--bench` is ignored.

use std::process::ExitCode;

/// Parses the arguments, or prints what is wrong and gives the exit code.
pub fn seed() -> Result<u64, ExitCode> {
    let mut args = pico_args::Arguments::from_env();
    let _ = args.contains("--bench");
    let seed = args.opt_value_from_str("--seed");
    let rest = args.finish();
    match seed {
        Ok(seed) if rest.is_empty() => Ok(seed.unwrap_or(1)),
        Ok(_) => Err(refuse(&format!("unknown arguments: {rest:?}"))),
        Err(error) => Err(refuse(&error.to_string())),
    }
}

fn refuse(problem: &str) -> ExitCode {
    eprintln!("{problem}\nusage: cargo bench --bench NAME -- [--seed N]");
    ExitCode::from(2)
}

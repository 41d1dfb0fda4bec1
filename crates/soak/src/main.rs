//! The command line program of the soak test.

#![allow(clippy::print_stdout, clippy::print_stderr, reason = "the report is the output")]

use eyre::Result;
use flamingowheel_soak::cli::{self, Options};
use flamingowheel_soak::{planned, run};
use std::path::Path;
use std::process::ExitCode;

fn main() -> Result<ExitCode> {
    let options = match cli::parse(pico_args::Arguments::from_env()) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("{error}\n\n{}", cli::USAGE);
            return Ok(ExitCode::from(2));
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let mut failed = 0;
    for seed in options.seed..options.seed + options.seeds {
        let name = format!("flamingowheel-soak-{}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let (report, is_sound) = runtime.block_on(run_seed(&options, seed, &folder))?;
        println!("seed {seed}: {report}");
        if is_sound {
            std::fs::remove_dir_all(&folder)?;
            continue;
        }
        failed += 1;
        println!("  logs, settings and the list of faults: {}", folder.display());
    }
    println!("{} seeds, {failed} with a promise broken", options.seeds);
    Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// The report of a seed, and whether no promise was broken.
async fn run_seed(options: &Options, seed: u64, folder: &Path) -> Result<(String, bool)> {
    if options.is_planned {
        let tally = planned::run::run_seed(options, seed, folder).await?;
        return Ok((tally.to_string(), tally.violations.is_empty()));
    }
    let tally = run::run_seed(options, seed, folder).await?;
    Ok((tally.to_string(), tally.violations.is_empty()))
}

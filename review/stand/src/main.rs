//! Runs a case of the review: starts the project's program as separate processes before stand-ins,
//! plays the disruption, and judges what callers and runners saw.

mod engines;
mod http;
mod json;
mod mixed_maps;
mod revoked_key;
mod runner;
mod store;

use std::process::ExitCode;

/// How a case ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let name = std::env::args().nth(1).unwrap_or_default();
    let is_disrupted = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = match name.as_str() {
        "revoked-key" => revoked_key::run(is_disrupted),
        "mixed-maps" => mixed_maps::run(is_disrupted),
        _ => Err(format!("unknown case {name:?}").into()),
    };
    let verdict = result.unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        Verdict::NotRun
    });
    println!("{verdict:?}");
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}

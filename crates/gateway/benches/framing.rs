//! Whether callers are told the truth about answers that break off anywhere, with the entry's own code
//! between real sockets, and what the check of an answer's end costs.
//!
//!     cargo bench -p flamingowheel-gateway --bench framing -- [--seed N] [--answers N]

#![allow(clippy::print_stdout, reason = "the report is the output")]

#[allow(dead_code, missing_docs, unreachable_pub, reason = "shared with the tests")]
#[path = "../tests/framing/mod.rs"]
mod framing;

use flamingowheel_standin::platform::raw::{Answer, Ending};
use framing::cells::{ENDINGS, Lane, Outcome, Truth};
use std::time::Duration;

/// Requests in progress at once.
const LANES: u64 = 32;

/// Outcomes of wrong answers that are printed in full.
const MAX_SHOWN: usize = 5;

fn main() -> Result<(), pico_args::Error> {
    let mut arguments = pico_args::Arguments::from_env();
    let seed = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let answers = arguments.opt_value_from_str("--answers")?.unwrap_or(100_000);
    let runtime = tokio::runtime::Runtime::new().map_err(|_| pico_args::Error::MissingArgument)?;
    runtime.block_on(run(seed, answers));
    Ok(())
}

async fn run(seed: u64, answers: u64) {
    let mut lanes = Vec::new();
    for name in 0..LANES {
        lanes.push(tokio::spawn(async move {
            let mut lane = Lane::start(seed, name).await;
            let mut outcomes = Vec::new();
            for _ in 0..answers.div_ceil(LANES) {
                outcomes.push(lane.next().await);
            }
            outcomes
        }));
    }
    let mut outcomes: Vec<Outcome> = Vec::new();
    for lane in lanes {
        outcomes.extend(lane.await.unwrap_or_default());
    }
    print_report(&outcomes);
}

fn print_report(outcomes: &[Outcome]) {
    println!("answers = {}", outcomes.len());
    let share = |wanted: &dyn Fn(&Outcome) -> bool| {
        outcomes.iter().filter(|outcome| wanted(outcome)).count() as f64 / outcomes.len() as f64
    };
    for ending in ENDINGS {
        let name = format!("{ending:?}").to_lowercase();
        println!("share.{name} = {:.3}", share(&|outcome| outcome.cell.answer.ending == ending));
    }
    println!("share.server_ended = {:.3}", share(&|outcome| outcome.cell.answer.ends_server));
    let outlives = |outcome: &Outcome| !outcome.cell.answer.listener_delay.is_zero();
    println!("share.listener_outlives = {:.3}", share(&outlives));
    for truth in [Truth::Whole, Truth::Broken, Truth::Hidden] {
        let name = format!("{truth:?}").to_lowercase();
        println!("share.{name} = {:.3}", share(&|outcome| outcome.truth == truth));
    }
    let false_whole: Vec<_> = outcomes.iter().filter(|outcome| outcome.is_false_whole()).collect();
    let false_alarm: Vec<_> = outcomes.iter().filter(|outcome| outcome.is_false_alarm()).collect();
    println!("broken.looks_complete = {}", false_whole.len());
    let hidden_whole = outcomes.iter().filter(|outcome| outcome.is_part_taken_for_whole()).count();
    println!("hidden.part_looks_complete = {hidden_whole}");
    println!("whole.reported_broken_or_asked_again = {}", false_alarm.len());
    for outcome in false_whole.iter().chain(&false_alarm).take(MAX_SHOWN) {
        println!("wrong: {outcome:?}");
    }
    print_resumed(outcomes, "resumable", resumable_broken);
    // The route allows two servers: none is left if the first send was lost with an old connection.
    print_resumed(outcomes, "resumable.first_send", |outcome| {
        resumable_broken(outcome) && !outcome.is_after_dead_connection
    });
    print_end_times(outcomes, "framed", false);
    print_end_times(outcomes, "ends_with_connection", true);
}

/// How many of the chosen broken streams went on elsewhere, each event once.
fn print_resumed<F>(outcomes: &[Outcome], name: &str, is_chosen: F)
where
    F: Fn(&Outcome) -> bool,
{
    let broken: Vec<_> = outcomes.iter().filter(|outcome| is_chosen(outcome)).collect();
    let went_on = broken.iter().filter(|outcome| outcome.is_right()).count();
    println!("{name}.broken = {}", broken.len());
    println!("{name}.went_on = {:.4}", went_on as f64 / broken.len() as f64);
}

/// Times from the end of a server's whole answer to that of the caller's.
fn print_end_times(outcomes: &[Outcome], name: &str, ends_with_connection: bool) {
    let is_counted = |outcome: &&Outcome| {
        let answer = &outcome.cell.answer;
        let is_prompt = answer.end_delay.is_zero() || !ends_with_connection;
        outcome.truth == Truth::Whole
            && is_prompt
            && answer.framing.ends_with_connection() == ends_with_connection
    };
    let times = outcomes.iter().filter(is_counted).filter_map(|outcome| outcome.end_after);
    let mut times_ms: Vec<f64> = times.map(|after: Duration| after.as_secs_f64() * 1e3).collect();
    times_ms.sort_by(f64::total_cmp);
    let at = |share: f64| times_ms[((times_ms.len() - 1) as f64 * share) as usize];
    println!("whole.{name}.end_ms.middle = {:.2}", at(0.5));
    println!("whole.{name}.end_ms.p99 = {:.2}", at(0.99));
    println!("whole.{name}.end_ms.most = {:.2}", at(1.0));
}

/// Whether a stream broke off before its deadline that could go on at the other server.
fn resumable_broken(outcome: &Outcome) -> bool {
    let Answer { ending, .. } = outcome.cell.answer;
    let has_ended = !matches!(ending, Ending::Kept | Ending::Silent | Ending::Garbage);
    outcome.truth == Truth::Broken && outcome.cell.path == "/stream/x" && has_ended
}

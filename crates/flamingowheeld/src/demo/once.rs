//! Runs the demo's checks once and prints whether they passed.

#![allow(clippy::print_stdout, reason = "the demo prints its results")]

use crate::demo::caller::{Caller, Reply};
use crate::demo::{DemoError, Fleet, MODEL, SERVICE, TOKEN, WORKSPACE};
use bytes::Bytes;
use flamingowheel_entry::addresses::AddressAnswer;
use http::Method;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The model version that the last check configures.
const VERSION: &str = "2026-12";

/// An engine that does not serve the new version after this time counts as failed.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

const ORDER: &[u8] = b"repair callbox 17";

/// Runs the checks and prints their results; returns whether all passed.
pub async fn run(fleet: &Fleet) -> Result<bool, DemoError> {
    let caller = Caller::new(TOKEN);
    let (first, second) = (fleet.entries[0].callers, fleet.entries[1].callers);
    let addresses = fetch_addresses(&caller, first).await?;
    let streamed = stream(&caller, addresses.first().copied().unwrap_or(first)).await?;
    let ran_once = submit_twice(fleet, &caller, first, second).await?;
    let changed = change_version(fleet).await?;
    let all_passed = !addresses.is_empty() && streamed && ran_once && changed;
    println!("{}", if all_passed { "all as promised" } else { "NOT as promised" });
    Ok(all_passed)
}

async fn fetch_addresses(caller: &Caller, entry: SocketAddr) -> Result<Vec<SocketAddr>, DemoError> {
    let path = format!("/v1/entries?workspace={WORKSPACE}");
    let reply = caller.call(Method::GET, entry, &path, &[], Bytes::new()).await?;
    println!("which addresses? {} {}", reply.status, reply.text());
    let answer: Option<AddressAnswer> = serde_json::from_slice(&reply.body).ok();
    let addresses = answer.map(|answer| answer.addresses).unwrap_or_default();
    Ok(addresses.into_iter().map(|address| address.address).collect())
}

async fn stream(caller: &Caller, entry: SocketAddr) -> Result<bool, DemoError> {
    let body = format!(
        "{{\"model\":\"{MODEL}\",\"stream\":true,\"max_tokens\":5,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"summarise the fault log\"}}]}}"
    );
    let expected = flamingowheel_backing::fake::text::whole_stream(body.as_bytes(), 0).concat();
    let path = "/v1/chat/completions";
    let reply = caller.call(Method::POST, entry, path, &[], body.into()).await?;
    show("stream", &reply);
    // The body is complete: reading it would have failed otherwise.
    Ok(reply.status.is_success() && reply.body == expected)
}

/// Submits the same order with the same key through two entries; checks for one run and equal
/// answers.
async fn submit_twice(
    fleet: &Fleet,
    caller: &Caller,
    first: SocketAddr,
    second: SocketAddr,
) -> Result<bool, DemoError> {
    let path = format!("/v1/services/{SERVICE}/orders");
    let key = [("idempotency-key", "callbox-17-2026-12-02")];
    let body = Bytes::from_static(ORDER);
    let first_reply = caller.call(Method::POST, first, &path, &key, body.clone()).await?;
    show("work order, first entry", &first_reply);
    let second_reply = caller.call(Method::POST, second, &path, &key, body).await?;
    show("work order again, second entry", &second_reply);
    let runs: u32 = fleet.standins.services.iter().map(|service| service.executions(ORDER)).sum();
    println!("the work order ran {runs} time(s)");
    let complete = first_reply.outcome() == "complete" && second_reply.outcome() == "complete";
    Ok(complete && runs == 1 && first_reply.body == second_reply.body)
}

/// Configures another version of the model; checks that every engine serves it in time.
async fn change_version(fleet: &Fleet) -> Result<bool, DemoError> {
    let began = Instant::now();
    fleet.apply(&format!("{{version: '{VERSION}'}}")).await?;
    let engines = &fleet.standins.engines;
    let all_serve = || engines.iter().all(|engine| engine.peek_state().version == VERSION);
    while !all_serve() && began.elapsed() < CHANGE_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let count = engines.iter().filter(|engine| engine.peek_state().version == VERSION).count();
    println!(
        "version {VERSION} of {MODEL} accepted: {count} of {} engines serve it",
        engines.len()
    );
    Ok(all_serve())
}

fn show(what: &str, reply: &Reply) {
    println!("{what}: {} outcome={}", reply.status, reply.outcome());
    for line in reply.text().lines().filter(|line| !line.is_empty()) {
        println!("  {line}");
    }
}

//! Tries the demo's promises once and tells whether they hold.

#![allow(clippy::print_stdout, reason = "what the demo shows")]

use crate::demo::caller::{Caller, Reply};
use crate::demo::{DemoError, Fleet, MODEL, SERVICE, TOKEN, WORKSPACE};
use bytes::Bytes;
use flamingowheel_entry::addresses::AddressAnswer;
use http::Method;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The version that is named in the end.
const VERSION: &str = "2026-12";

/// Engines that don't serve it by then never will.
const CHANGE_LIMIT: Duration = Duration::from_secs(60);

const ORDER: &[u8] = b"repair callbox 17";

/// Shows every step; `false` if one did not show what is promised.
pub async fn run(fleet: &Fleet) -> Result<bool, DemoError> {
    let caller = Caller::new(TOKEN);
    let (first, second) = (fleet.entries[0].callers, fleet.entries[1].callers);
    let addresses = ask_addresses(&caller, first).await?;
    let streamed = stream(&caller, addresses.first().copied().unwrap_or(first)).await?;
    let ran_once = file_twice(fleet, &caller, first, second).await?;
    let changed = change_version(fleet).await?;
    let all = !addresses.is_empty() && streamed && ran_once && changed;
    println!("{}", if all { "all as promised" } else { "NOT as promised" });
    Ok(all)
}

async fn ask_addresses(caller: &Caller, entry: SocketAddr) -> Result<Vec<SocketAddr>, DemoError> {
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
    // The end of the body was seen, or reading it would have failed.
    Ok(reply.status.is_success() && reply.body == expected)
}

/// The same order with the same key, through two entries: one run, two equal answers.
async fn file_twice(
    fleet: &Fleet,
    caller: &Caller,
    first: SocketAddr,
    second: SocketAddr,
) -> Result<bool, DemoError> {
    let path = format!("/v1/services/{SERVICE}/orders");
    let key = [("idempotency-key", "callbox-17-2026-12-02")];
    let body = Bytes::from_static(ORDER);
    let one = caller.call(Method::POST, first, &path, &key, body.clone()).await?;
    show("work order, first entry", &one);
    let two = caller.call(Method::POST, second, &path, &key, body).await?;
    show("work order again, second entry", &two);
    let runs: u32 = fleet.standins.services.iter().map(|service| service.executions(ORDER)).sum();
    println!("the work order ran {runs} time(s)");
    let complete = one.outcome() == "complete" && two.outcome() == "complete";
    Ok(complete && runs == 1 && one.body == two.body)
}

/// An operator names another version of the model; every engine serves it soon after.
async fn change_version(fleet: &Fleet) -> Result<bool, DemoError> {
    let asked_at = Instant::now();
    fleet.apply(&format!("{{version: '{VERSION}'}}")).await?;
    let engines = &fleet.standins.engines;
    let serve = || engines.iter().all(|engine| engine.peek_state().version == VERSION);
    while !serve() && asked_at.elapsed() < CHANGE_LIMIT {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let count = engines.iter().filter(|engine| engine.peek_state().version == VERSION).count();
    println!(
        "version {VERSION} of {MODEL} accepted: {count} of {} engines serve it",
        engines.len()
    );
    Ok(serve())
}

fn show(what: &str, reply: &Reply) {
    println!("{what}: {} outcome={}", reply.status, reply.outcome());
    for line in reply.text().lines().filter(|line| !line.is_empty()) {
        println!("  {line}");
    }
}

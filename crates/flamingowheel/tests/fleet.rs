//! The tool against the demo's fleet: finding out what happened from the time line alone.

use std::net::SocketAddr;

use bytes::Bytes;
use flamingowheel::cli::{Invocation, parse};
use flamingowheel::commands;
use flamingowheel::config::{Config, Environment};
use flamingowheel_daemon::demo::caller::{Caller, Reply};
use flamingowheel_daemon::demo::{Fleet, OPERATORS_TOKEN, SERVICE, TOKEN};
use flamingowheel_entry::http::REQUEST_HEADER;
use http::Method;

const ORDER: &[u8] = b"repair callbox 17";

/// Prints what an operator sees for a command line.
async fn typing(line: &str, entry: SocketAddr) -> String {
    let environment = Environment::default()
        .with("FLAMINGOWHEEL_ENTRIES", &entry.to_string())
        .with("FLAMINGOWHEEL_TOKEN", OPERATORS_TOKEN);
    let arguments = line.split_whitespace().map(Into::into).collect();
    let Ok(Invocation::Run(typed)) = parse(arguments) else { panic!("{line}") };
    let config = Config::new(*typed, &environment).expect("a configuration");
    commands::run(&config).await.expect("an answer").text
}

async fn file_order(entry: SocketAddr) -> Reply {
    let path = format!("/v1/services/{SERVICE}/orders");
    let order = Bytes::from_static(ORDER);
    Caller::new(TOKEN).call(Method::POST, entry, &path, &[], order).await.expect("an answer")
}

// A service carries a work order out and crashes before it answers. The caller is told that nobody
// can know whether it ran. The operator, who has only the request's id, must find out from the
// time line which backend server had it, what befell that one, and why it was not sent elsewhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn timeline_service_crashed_tells_what_became_of_the_order() {
    let fleet = Fleet::start().await.expect("a fleet");
    let services = &fleet.standins.services;
    services.iter().for_each(|service| service.crash_after_effect(1));
    let entry = &fleet.entries[0];

    let reply = file_order(entry.callers).await;
    assert_eq!(reply.outcome(), "unknown");
    assert_eq!(services.iter().map(|service| service.executions(ORDER)).sum::<u32>(), 1);
    let request = reply.headers[REQUEST_HEADER].to_str().expect("an id");
    let shown = typing(&format!("timeline --request {request}"), entry.operators).await;
    for line in
        ["attempt 1 dispatched to orders-", "no attempt after 1: not idempotent", "UNKNOWN: "]
    {
        assert!(shown.contains(line), "{line}\n{shown}");
    }
    assert!(!shown.contains("NOT REACHED"), "{shown}");
    fleet.leave().await;
}

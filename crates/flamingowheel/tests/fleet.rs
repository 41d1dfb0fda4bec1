//! The tool against the demo's fleet: finding out what happened from the time line alone.

use std::net::SocketAddr;

use bytes::Bytes;
use flamingowheel::Output;
use flamingowheel::cli::{Invocation, parse};
use flamingowheel::commands;
use flamingowheel::config::{Config, Environment};
use flamingowheel::error::Error;
use flamingowheel::exit::ExitCode;
use flamingowheel_daemon::demo::caller::{Caller, Reply};
use flamingowheel_daemon::demo::{Fleet, OPERATORS_TOKEN, SERVICE, TOKEN};
use flamingowheel_entry::http::{REQUEST_HEADER, TICKET_HEADER};
use http::Method;

const ORDER: &[u8] = b"repair callbox 17";

/// What an operator gets for a command line.
async fn run(line: &str, entry: SocketAddr) -> Result<Output, Error> {
    let environment = Environment::default()
        .with("FLAMINGOWHEEL_ENTRIES", &entry.to_string())
        .with("FLAMINGOWHEEL_TOKEN", OPERATORS_TOKEN)
        .with("FLAMINGOWHEEL_OPERATOR", "maria");
    let arguments = line.split_whitespace().map(Into::into).collect();
    let Ok(Invocation::Run(typed)) = parse(arguments) else { panic!("{line}") };
    let config = Config::new(*typed, &environment).expect("a configuration");
    commands::run(&config).await
}

async fn typing(line: &str, entry: SocketAddr) -> String {
    run(line, entry).await.expect("an answer").text
}

async fn file_order(entry: SocketAddr, headers: &[(&str, &str)]) -> Reply {
    let path = format!("/v1/services/{SERVICE}/orders");
    let order = Bytes::from_static(ORDER);
    Caller::new(TOKEN).call(Method::POST, entry, &path, headers, order).await.expect("an answer")
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

    let reply = file_order(entry.callers, &[]).await;
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

// The key-value service is down. Work orders without a key of the caller's own go on and run once;
// those with one are refused before anything is sent; a change is not accepted, and the operator
// is not left in doubt about that.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fleet_key_value_down_does_what_the_page_says() {
    let fleet = Fleet::start().await.expect("a fleet");
    let entry = &fleet.entries[0];
    fleet.standins.key_value.set_down(true);

    let reply = file_order(entry.callers, &[]).await;
    assert_eq!(reply.outcome(), "complete", "{}", reply.text());
    let ticket = reply.headers[TICKET_HEADER].to_str().expect("a ticket");
    let again = file_order(fleet.entries[1].callers, &[(TICKET_HEADER, ticket)]).await;
    assert_eq!(again.body, reply.body);
    let keyed = file_order(entry.callers, &[("idempotency-key", "box-18")]).await;
    assert_eq!(keyed.outcome(), "not-run");
    assert!(keyed.text().contains("key_not_checked"), "{}", keyed.text());
    let runs = fleet.standins.services.iter().map(|service| service.executions(ORDER));
    assert_eq!(runs.sum::<u32>(), 1);

    let line = "apply -f tests/documents/change.yaml --seen 1";
    let refused = run(line, entry.operators).await.expect_err("not accepted");
    assert_eq!(refused.exit_code(), ExitCode::Refused, "{refused}");
    fleet.standins.key_value.set_down(false);
    let accepted = run(line, entry.operators).await.expect("accepted");
    assert_eq!(accepted.exit, ExitCode::Success);
    fleet.leave().await;
}

//! Checks the HTTP reference page against the routes, headers and error codes in the code.

use std::collections::BTreeSet;

use flamingowheel::routes;
use flamingowheel_config::api::ErrorCode;
use flamingowheel_daemon::groups::GROUPS_PATH;
use flamingowheel_entry::http as callers;
use flamingowheel_observe::api::{EVENTS_PATH, METRICS_PATH};

const PAGE: &str = include_str!("../../../../docs/operations/http.md");
const CALLERS: &str = include_str!("../../../entry/src/http/mod.rs");
const OPERATORS: &str = include_str!("../../../control/src/operators.rs");
const ANSWERS: &str = include_str!("../../../entry/src/http/answer.rs");

/// The section between two headings.
fn section(from: &str, to: &str) -> &'static str {
    let (_, rest) = PAGE.split_once(from).expect("the heading");
    rest.split_once(to).map_or(rest, |(section, _)| section)
}

/// Cells of table rows, without backquotes.
fn rows(section: &str) -> impl Iterator<Item = Vec<&str>> {
    let lines = section.lines().filter_map(|line| line.strip_prefix("| "));
    lines.map(|line| line.split(" | ").map(|cell| cell.trim_matches(['`', ' ', '|'])).collect())
}

fn paths(section: &str) -> BTreeSet<&str> {
    rows(section)
        .filter_map(|row| row.get(1).copied())
        .filter(|cell| cell.starts_with('/'))
        .collect()
}

/// Values of the public constants whose names have this ending, read from the source so that a new
/// constant can't be missed.
fn constants(ending: &str) -> BTreeSet<&'static str> {
    let declared = CALLERS.split("pub const ").skip(1);
    declared
        .filter_map(|rest| rest.split_once(": &str = \""))
        .filter(|(name, _)| name.ends_with(ending))
        .filter_map(|(_, rest)| rest.split('"').next())
        .collect()
}

#[test]
fn reference_lists_callers_routes() {
    let routes = constants("_PATH");
    assert!(routes.contains(callers::ENTRIES_PATH) && routes.len() > 4, "{routes:?}");
    assert_eq!(paths(section("## For callers", "### ")), routes);
}

/// Reads the routes from the source, where they are written as `.route("PATH", …)`.
fn operators_routes() -> BTreeSet<&'static str> {
    let routes = OPERATORS.split(".route(\"").skip(1);
    let mut paths: BTreeSet<&str> = routes.filter_map(|rest| rest.split('"').next()).collect();
    paths.extend([METRICS_PATH, EVENTS_PATH, GROUPS_PATH]);
    paths
}

#[test]
fn reference_lists_operators_routes() {
    let routes = operators_routes();
    assert!(routes.len() > 8, "{routes:?}");
    assert_eq!(paths(section("## For operators", "### ")), routes);
}

// If the tool used a path that differs from the entries', the answer would be 404 and the operator
// would conclude that a template does not exist.
#[test]
fn reference_tool_requests_known_routes() {
    let known = operators_routes();
    let requested = [
        routes::APPLY,
        routes::DIFF,
        routes::TEMPLATES,
        routes::WORKSPACES,
        routes::HISTORY,
        routes::STATUS,
        routes::GROUPS,
    ];
    assert!(requested.iter().all(|path| known.contains(path)), "{known:?}");
    assert!(known.contains(&*format!("{}/{{id}}", routes::CHANGES)));
    assert_eq!(routes::ENTRIES, callers::ENTRIES_PATH);
}

#[test]
fn reference_lists_operators_error_codes() {
    let unknown = serde_json::from_str::<ErrorCode>("\"?\"").expect_err("no such code");
    let text = unknown.to_string();
    let codes: BTreeSet<&str> = text.split('`').skip(3).step_by(2).collect();
    let listed: Vec<(String, u16)> = rows(section("### Errors", "\n## "))
        .filter_map(|row| Some((row[1].to_owned(), row[0].parse().ok()?)))
        .collect();
    assert_eq!(listed.iter().map(|(code, _)| code.as_str()).collect::<BTreeSet<_>>(), codes);
    for (code, status) in listed {
        let known: ErrorCode = serde_json::from_value(code.clone().into()).expect("a code");
        assert_eq!(known.status(), status, "{code}");
    }
}

#[test]
fn reference_lists_headers() {
    let header_names = |section| -> BTreeSet<&str> {
        let names = rows(section).map(|row| row[0]);
        names.filter(|name| name.contains('-') && !name.contains("--")).collect()
    };
    let headers = constants("_HEADER");
    assert!(headers.contains(callers::OUTCOME_HEADER) && headers.len() > 5, "{headers:?}");
    let answer_headers = header_names(section("### What became of a request", "An answer without"));
    let request_headers = header_names(section("### What a request may say", "### "));
    assert_eq!(&answer_headers | &request_headers, headers);
    assert!(answer_headers.contains(callers::OUTCOME_HEADER), "{answer_headers:?}");
    assert!(request_headers.contains(callers::IDEMPOTENCY_KEY_HEADER), "{request_headers:?}");
}

/// Reads the error codes from the source, where each is the second of a pair with the status.
fn codes_in_code() -> BTreeSet<&'static str> {
    let (_, described) = ANSWERS.split_once("fn describe_not_run").expect("the table of codes");
    let (described, _) = described.split_once("fn retry_after_ms").expect("its end");
    described.split('"').skip(1).step_by(2).collect()
}

#[test]
fn reference_lists_error_codes() {
    let codes = codes_in_code();
    assert!(codes.len() > 10, "{codes:?}");
    let table = section("| status | code |", "### ");
    let code_rows = rows(table).filter(|row| row[0].parse::<u16>().is_ok());
    let code_rows: Vec<_> = code_rows.map(|row| (row[1], row[2])).collect();
    let listed: BTreeSet<&str> = code_rows.iter().map(|(code, _)| *code).collect();
    assert_eq!(listed, codes);
    // A code may belong to two outcomes, but must not be listed twice for one.
    assert_eq!(code_rows.iter().collect::<BTreeSet<_>>().len(), code_rows.len());
}

//! Tests of commands against fake entries.

use crate::session::{ClosedPort, FakeEntry, Reply, run_line};
use serde_json::{Value, json};

const APPLY: &str = "apply -f tests/documents/change.yaml";
const CHANGE: &str = "8-67e55044-10b1-426f-9247-bb680e5fe0c8";
const AGAIN: &str = "67e55044-10b1-426f-9247-bb680e5fe0c8";

fn status() -> Value {
    let process = |name: &str, role: &str, state: &str, heard_ms_ago: u64| {
        json!({
            "name": name, "role": role, "vm": format!("vm-{name}"), "data_centre": "ga-a",
            "state": state, "revision": 7, "heard_ms_ago": heard_ms_ago,
        })
    };
    json!({
        "process": "entry-1", "revision": 7, "source": "key_value",
        "key_value_answered_ms_ago": 120,
        "processes": [
            process("entry-1", "entry", "live", 0),
            process("agent-1", "agent", "leaving", 310),
            process("agent-2", "agent", "silent", 60_250),
        ],
    })
}

fn applied(everywhere: bool) -> Value {
    let behind = json!([{ "process": "agent-2", "revision": 7 }]);
    json!({
        "outcome": "accepted", "change": CHANGE, "revision": 8,
        "diff": [{
            "kind": "workspace", "name": "bibb-county", "action": "changed",
            "fields": [{ "field": "template", "before": "desk", "after": "callbox" }],
        }],
        "in_force": {
            "everywhere": everywhere, "waited_ms": 900, "processes": ["entry-1", "agent-1"],
            "behind": if everywhere { json!([]) } else { behind }, "silent": ["agent-3"],
        },
    })
}

#[tokio::test]
async fn status_shows_silent_processes() {
    let entry = FakeEntry::default().answers("/v1/status", status());
    insta::assert_snapshot!(run_line("status", &[entry.listen().await]).await);
}

// A rank that could not be verified after a switch keeps its group held; the operator must see which
// rank it is.
#[tokio::test]
async fn status_names_rank_out_of_service() {
    let group = |activity: &str, out_of_service: Value| json!({ "activity": activity, "map_version": 4, "out_of_service": out_of_service });
    let silent = json!([{ "rank": 3, "reason": { "error": "unresolved" } }]);
    let groups =
        json!({ "runners-a": group("running", json!([])), "runners-b": group("held", silent) });
    let entry = FakeEntry::default().answers("/v1/groups", groups);
    let address = entry.listen().await;
    let mut status = status();
    status["processes"][0]["operators_address"] = json!(address);
    let entry = entry.answers("/v1/status", status);
    insta::assert_snapshot!(run_line("status", &[address]).await);
    assert_eq!(entry.requests().len(), 2);
}

// During a change of model version one group still completes requests of the old version and the next
// group waits for it. Without the names an operator can't tell a slow change from a stalled one.
#[tokio::test]
async fn status_names_ranks_behind() {
    let group = |activity: &str, waits_for: Value| {
        json!({
            "activity": activity, "map_version": 4, "out_of_service": [], "waits_for": waits_for,
            "serving": { "model": "runners", "version": "2026-12", "adapters": [] },
            "behind": [0, 3]
        })
    };
    let groups = json!({
        "runners-a": group("draining", Value::Null),
        "runners-b": group("running", json!("runners-a"))
    });
    let entry = FakeEntry::default().answers("/v1/groups", groups);
    let address = entry.listen().await;
    let mut status = status();
    status["processes"][0]["operators_address"] = json!(address);
    entry.answers("/v1/status", status);
    insta::assert_snapshot!(run_line("status", &[address]).await);
}

#[tokio::test]
async fn apply_accepted_shows_diff_and_processes() {
    let path = "/v1/config/apply";
    let entry = FakeEntry::default().answers("/v1/status", status()).answers(path, applied(true));
    let line = format!("{APPLY} --wait 11s --again {AGAIN} --comment new-template");
    insta::assert_snapshot!(run_line(&line, &[entry.listen().await]).await);
    insta::assert_snapshot!(entry.requests().join("\n"));
}

// A process has not applied the change within `--wait`. A script must be able to distinguish this
// from a change that is in force.
#[tokio::test]
async fn apply_not_in_force_in_time_has_its_own_exit() {
    let entry = FakeEntry::default().answers("/v1/config/apply", applied(false));
    let line = format!("{APPLY} --wait 2 --seen 7");
    insta::assert_snapshot!(run_line(&line, &[entry.listen().await]).await);
}

// Two operators change the same workspace; the second must see what the first changed.
#[tokio::test]
async fn apply_conflict_shows_what_differs() {
    let conflict = json!({
        "code": "conflict", "message": "others changed the same documents",
        "conflicts": [{
            "kind": "workspace", "name": "bibb-county", "seen": 6, "change": CHANGE,
            "origin": { "operator": "nikos", "at_unix_ms": 1_796_256_000_000u64 },
            "differs": {
                "kind": "workspace", "name": "bibb-county", "action": "changed",
                "fields": [{ "field": "template", "before": "desk", "after": "callbox" }],
            },
        }],
    });
    let entry = FakeEntry::default().replies("/v1/config/apply", Reply::Json(409, conflict));
    insta::assert_snapshot!(run_line(&format!("{APPLY} --seen 6"), &[entry.listen().await]).await);
}

#[tokio::test]
async fn apply_invalid_documents_lists_every_problem() {
    let problem = |field: &str, reason: Value| {
        json!({
            "document": 1, "kind": "workspace", "name": "bibb-county", "field": field,
            "reason": reason,
        })
    };
    let refusal = json!({
        "code": "invalid_documents", "message": "2 problems in the documents",
        "problems": [
            problem("template", json!({ "reason": "not_found", "value": "callbox" })),
            problem("token_sha256", json!({ "reason": "empty" })),
        ],
    });
    let entry = FakeEntry::default().replies("/v1/config/apply", Reply::Json(422, refusal));
    insta::assert_snapshot!(run_line(&format!("{APPLY} --seen 6"), &[entry.listen().await]).await);
}

// The entry receives the change and the connection breaks before the answer. No other entry can be
// reached, so the outcome is unknown and must not be reported as a failure.
#[tokio::test]
async fn apply_answer_lost_is_unknown() {
    let entry = FakeEntry::default().replies("/v1/config/apply", Reply::Disconnect);
    let closed = ClosedPort::new();
    let entries = [entry.listen().await, closed.address()];
    let shown = run_line(&format!("{APPLY} --seen 7 --again {AGAIN}"), &entries).await;
    assert!(shown.ends_with("[exit 6 UnknownOutcome]"), "{shown}");
    assert!(shown.contains(&format!("--again {AGAIN} --seen 7")), "{shown}");
}

// The first entry receives a change and its connection breaks. The second must receive the same
// change with the same id, so that it is accepted at most once.
#[tokio::test]
async fn apply_answer_lost_next_entry_gets_same_change() {
    let disconnecting = FakeEntry::default().replies("/v1/config/apply", Reply::Disconnect);
    let answering = FakeEntry::default().answers("/v1/config/apply", applied(true));
    let entries = [disconnecting.listen().await, answering.listen().await];
    let shown = run_line(&format!("{APPLY} --seen 7"), &entries).await;
    assert!(shown.ends_with("[exit 0 Success]"), "{shown}");
    assert_eq!(disconnecting.requests(), answering.requests());
}

// The answer is malformed, or comes from an intermediary. The change may have been accepted
// nevertheless, and a script that takes exit code 1 for "not done" would apply another one.
#[tokio::test]
async fn apply_answer_not_readable_is_unknown() {
    for reply in [Reply::Json(200, json!({})), Reply::Json(502, json!("bad gateway"))] {
        let entry = FakeEntry::default().replies("/v1/config/apply", reply);
        let shown = run_line(&format!("{APPLY} --seen 7"), &[entry.listen().await]).await;
        assert!(shown.ends_with("[exit 6 UnknownOutcome]"), "{shown}");
    }
}

// An entry receives the change and never answers while its connection stays open, as after an
// intermediary lost track of it. The tool must stop waiting at its timeout and report the outcome as
// unknown.
#[tokio::test]
async fn apply_entry_silent_is_unknown() {
    let entry = FakeEntry::default().replies("/v1/config/apply", Reply::Silent);
    let line = format!("{APPLY} --seen 7 --timeout 50ms");
    let shown = run_line(&line, &[entry.listen().await]).await;
    assert!(shown.contains("gave no answer: timed out after 50 ms"), "{shown}");
    assert!(shown.ends_with("[exit 6 UnknownOutcome]"), "{shown}");
}

#[tokio::test]
async fn apply_answer_lost_in_dry_run_is_no_unknown_outcome() {
    let entry = FakeEntry::default().replies("/v1/config/apply", Reply::Disconnect);
    let line = format!("{APPLY} --seen 7 --dry-run");
    let shown = run_line(&line, &[entry.listen().await]).await;
    assert!(shown.ends_with("[exit 3 Unreachable]"), "{shown}");
}

#[tokio::test]
async fn status_first_entry_unreachable_asks_the_next() {
    let entry = FakeEntry::default().answers("/v1/status", status());
    let closed = ClosedPort::new();
    let entries = [closed.address(), entry.listen().await];
    let shown = run_line("status", &entries).await;
    assert!(shown.ends_with("[exit 0 Success]"), "{shown}");
}

#[tokio::test]
async fn status_no_entry_reached_is_unreachable() {
    let closed = ClosedPort::new();
    insta::assert_snapshot!(run_line("status", &[closed.address()]).await);
}

#[tokio::test]
async fn change_unknown_has_its_own_exit() {
    let answer = json!({ "change": CHANGE, "state": { "state": "unknown" } });
    let entry = FakeEntry::default().answers(&format!("/v1/config/changes/{CHANGE}"), answer);
    let line = format!("change {CHANGE}");
    insta::assert_snapshot!(run_line(&line, &[entry.listen().await]).await);
}

#[tokio::test]
async fn get_workspaces_reads_all_pages() {
    let workspace = |name: &str| {
        json!({
            "revision": 3,
            "document": { "name": name, "template": "callbox", "token_sha256": [] },
        })
    };
    let path = "/v1/config/workspaces";
    let first = json!({ "revision": 7, "workspaces": [workspace("bibb")], "next": "bibb" });
    let second = json!({ "revision": 7, "workspaces": [workspace("jones")] });
    let entry = FakeEntry::default()
        .answers(path, first)
        .answers(&format!("{path}?limit=1000&after=bibb"), second);
    insta::assert_snapshot!(run_line("get workspaces", &[entry.listen().await]).await);
}

#[tokio::test]
async fn get_workspace_prints_a_document_to_apply() {
    let answer = json!({
        "revision": 7,
        "workspace": {
            "revision": 3,
            "document": {
                "name": "bibb", "template": "callbox", "token_sha256": [],
                "overrides": { "priority": 9 },
            },
        },
        "effective": { "priority": 9 },
    });
    let entry = FakeEntry::default().answers("/v1/config/workspaces/bibb", answer);
    let shown = run_line("get workspaces bibb", &[entry.listen().await]).await;
    insta::assert_snapshot!(shown);
    let printed: String = shown
        .lines()
        .skip(1)
        .take_while(|line| !line.starts_with('['))
        .fold(String::new(), |text, line| text + line + "\n");
    assert_eq!(flamingowheel_config::document::parse(&printed).map(|edits| edits.len()), Ok(1));
}

#[tokio::test]
async fn history_shows_operator_and_comment() {
    let change = json!({
        "id": CHANGE,
        "origin": { "operator": "maria", "at_unix_ms": 1_796_256_000_000u64, "comment": "night" },
        "edits": ["workspace bibb-county"],
    });
    let entry = FakeEntry::default().answers("/v1/config/history", json!({ "changes": [change] }));
    insta::assert_snapshot!(run_line("history", &[entry.listen().await]).await);
}

#[tokio::test]
async fn entries_lists_addresses_in_order() {
    let answer = json!({
        "addresses": [
            { "address": "10.0.0.7:80", "data_centre": "ga-a" },
            { "address": "10.0.9.1:80", "data_centre": "ga-c" },
        ],
        "keep_s": 20,
    });
    let entry = FakeEntry::default().answers("/v1/entries", answer);
    let entries = [entry.listen().await];
    insta::assert_snapshot!(run_line("entries --workspace bibb-county", &entries).await);
}

// One agent can't be reached and one has no known address. The timeline must show the events of the
// others and name the processes that are missing.
#[tokio::test]
async fn timeline_names_processes_not_reached() {
    let closed = ClosedPort::new();
    let unreachable = closed.address();
    let mut status = status();
    status["processes"][1]["operators_address"] = json!(unreachable);
    let events = json!({
        "process": { "name": "entry-1", "vm": "vm-1", "data_centre": "ga-a" },
        "now": "1796256000100.0", "overwritten": 0,
        "events": [{
            "stamp": "1796256000000.0", "sequence": 1, "process": "entry-1",
            "workspace": "bibb", "event": "connection_closed", "peer": "agent-1",
        }],
    });
    let entry = FakeEntry::default().answers("/v1/status", status).answers("/v1/events", events);
    let entries = [entry.listen().await, unreachable];
    insta::assert_snapshot!(run_line("timeline --workspace bibb", &entries).await);
}

// If no entry can list the processes, as may happen during a failure, the addresses that the operator
// named must still be queried.
#[tokio::test]
async fn timeline_without_process_list_asks_named_entries() {
    let events = json!({
        "process": { "name": "entry-1", "vm": "vm-1", "data_centre": "ga-a" },
        "now": "1796256000100.0", "overwritten": 0, "events": [],
    });
    let entry = FakeEntry::default().answers("/v1/events", events);
    let shown = run_line("timeline --since 5m", &[entry.listen().await]).await;
    assert!(shown.contains("0 events from 1 process"), "{shown}");
    assert!(shown.contains("NOT REACHED the list of processes: [entry 1] answered 404"), "{shown}");
    assert!(shown.ends_with("[exit 0 Success]"), "{shown}");
}

#[tokio::test]
async fn timeline_no_process_reached_is_unreachable() {
    let closed = ClosedPort::new();
    let shown = run_line("timeline --since 5m", &[closed.address()]).await;
    assert!(shown.ends_with("[exit 3 Unreachable]"), "{shown}");
}

#[tokio::test]
async fn token_wrong_is_refused() {
    let entry = FakeEntry::default();
    let entries = [entry.listen().await];
    let shown = run_line("status --token-file tests/documents/wrong-token", &entries).await;
    assert!(shown.contains("refused the operators' token"), "{shown}");
    assert!(shown.ends_with("[exit 4 Refused]"), "{shown}");
}

#[tokio::test]
async fn token_malformed_is_not_sent() {
    let entry = FakeEntry::default();
    let line = "status --token-file tests/documents/change.yaml";
    let shown = run_line(line, &[entry.listen().await]).await;
    assert!(shown.contains("operators' token is empty, too long or"), "{shown}");
    assert!(entry.requests().is_empty());
}

//! The operators' HTTP API of a fleet of entries, with injected faults.

mod common;

use axum::Router;
use axum::body::Body;
use axum::http::{Request, StatusCode};
use common::{Entry, Fleet, TEMPLATE, template, workspace};
use flamingowheel_backing::fake::LostAnswer;
use flamingowheel_config::api::{
    ApiError, ApplyAnswer, ApplyOutcome, ChangeAnswer, ChangeState, DiffAnswer, ErrorCode,
    HistoryAnswer, ProcessState, ProcessStatus, StatusAnswer, TemplateAnswer, WorkspaceAnswer,
    WorkspacesAnswer,
};
use flamingowheel_control::operators::{OperatorsApi, OtherProcesses, router};
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;
use tower::ServiceExt;

struct NoAgents;

impl OtherProcesses for NoAgents {
    fn list(&self) -> Vec<ProcessStatus> {
        Vec::new()
    }
}

fn routes(entry: &Entry) -> Router {
    router(OperatorsApi {
        node: entry.node.clone(),
        store: entry.store.clone(),
        peers: Arc::clone(&entry.peers),
        agents: Arc::new(NoAgents),
    })
}

async fn send<T>(entry: &Entry, method: &str, path: &str, body: &str) -> (StatusCode, T)
where
    T: DeserializeOwned,
{
    let request = Request::builder().method(method).uri(path);
    let request = request.body(Body::from(body.to_owned())).unwrap();
    let answer = routes(entry).oneshot(request).await.unwrap();
    let status = answer.status();
    let bytes = answer.into_body().collect().await.unwrap().to_bytes();
    let text = String::from_utf8_lossy(&bytes);
    (status, serde_json::from_slice(&bytes).unwrap_or_else(|error| panic!("{error}: {text}")))
}

async fn get<T>(entry: &Entry, path: &str) -> T
where
    T: DeserializeOwned,
{
    let (status, answer) = send(entry, "GET", path, "").await;
    assert_eq!(status, StatusCode::OK, "{path}");
    answer
}

async fn apply(entry: &Entry, query: &str, body: &str) -> ApplyAnswer {
    let (status, answer) = send(entry, "POST", &format!("/v1/config/apply?{query}"), body).await;
    assert_eq!(status, StatusCode::OK);
    answer
}

async fn refused(entry: &Entry, query: &str, body: &str) -> ApiError {
    let path = format!("/v1/config/apply?{query}");
    let (status, error): (_, ApiError) = send(entry, "POST", &path, body).await;
    assert_eq!(status.as_u16(), error.code.status());
    error
}

#[tokio::test(start_paused = true)]
async fn apply_waits_until_in_force_everywhere() {
    let fleet = Fleet::start(12, 3).await;
    let text = format!("{TEMPLATE}{}", workspace("bibb"));
    let answer = apply(fleet.entry(2), "operator=ana&comment=first&wait_ms=11000", &text).await;
    assert_eq!(answer.outcome, ApplyOutcome::Accepted);
    let in_force = answer.in_force.unwrap();
    assert!(in_force.everywhere && in_force.silent.is_empty());
    assert_eq!(in_force.processes.len(), 12);
    assert!(in_force.waited_ms < 2_000);
}

#[tokio::test(start_paused = true)]
async fn apply_names_processes_without_the_change() {
    // One entry is partitioned. The operator must not be told "everywhere" without that entry being
    // listed as silent.
    let fleet = Fleet::start(6, 1).await;
    fleet.network.cut(fleet.entry(4).address);
    let answer = apply(fleet.entry(2), "wait_ms=3000", TEMPLATE).await;
    let in_force = answer.in_force.unwrap();
    assert_eq!(in_force.silent, ["entry-4"]);
    assert_eq!(in_force.processes.len(), 5);
}

#[tokio::test(start_paused = true)]
async fn apply_dry_run_writes_nothing() {
    let fleet = Fleet::start(2, 1).await;
    let answer = apply(fleet.entry(0), "dry_run=true", TEMPLATE).await;
    assert_eq!(answer.outcome, ApplyOutcome::DryRun);
    assert_eq!(answer.diff[0].name, "callbox");
    let history: HistoryAnswer = get(fleet.entry(0), "/v1/config/history").await;
    assert!(history.changes.is_empty());
    let error = refused(fleet.entry(0), "dry_run=true", &workspace("bibb")).await;
    assert_eq!((error.code, error.problems.len()), (ErrorCode::InvalidDocuments, 1));
}

#[tokio::test(start_paused = true)]
async fn apply_conflict_shows_what_differs() {
    // Two operators edit the same template, the second one based on an outdated revision.
    let fleet = Fleet::start(2, 1).await;
    apply(fleet.entry(0), "operator=ana", &template(1)).await;
    apply(fleet.entry(0), "operator=ana", &template(2)).await;
    fleet.until_revision(2, Duration::from_secs(5)).await;
    let error = refused(fleet.entry(1), "operator=ben&seen=1", &template(3)).await;
    assert_eq!(error.code, ErrorCode::Conflict);
    assert_eq!(error.conflicts[0].origin.as_ref().unwrap().operator, "ana");
    let fields = &error.conflicts[0].differs.as_ref().unwrap().fields;
    assert_eq!(fields[0].field, "parameters.priority");
}

#[tokio::test(start_paused = true)]
async fn apply_through_an_entry_that_is_behind() {
    // An entry is partitioned from the others and lacks the last change. The diff in its answer
    // must be against the revision that was accepted, not against its own outdated one.
    let fleet = Fleet::start(6, 1).await;
    apply(fleet.entry(0), "", &template(1)).await;
    fleet.until_revision(1, Duration::from_secs(5)).await;
    let behind = fleet.entries.values().find(|entry| !entry.node.duties().is_watcher).unwrap();
    fleet.network.cut(behind.address);
    let other = fleet.entries.values().find(|entry| entry.address != behind.address).unwrap();
    apply(other, "", &template(2)).await;
    assert_eq!(behind.node.revision().0, 1);
    let answer = apply(behind, "seen=2", &template(3)).await;
    assert_eq!(answer.diff[0].fields[0].before, Some(2.into()));
}

#[tokio::test(start_paused = true)]
async fn apply_during_an_outage_is_refused() {
    let fleet = Fleet::start(2, 1).await;
    fleet.kv.set_down(true);
    let error = refused(fleet.entry(0), "", TEMPLATE).await;
    assert_eq!(error.code, ErrorCode::Unavailable);
}

#[tokio::test(start_paused = true)]
async fn apply_unknown_is_resolved_by_its_id() {
    // The answer to the write is lost and the service goes down right after. The operator gets an
    // unknown outcome with the change's id, and the real outcome by that id once the service is
    // back.
    for (lost, accepted) in [(LostAnswer::AfterEffect, true), (LostAnswer::BeforeEffect, false)] {
        let fleet = Fleet::start(1, 1).await;
        // Starts between two periodic reads of the entry, which would otherwise hit the fault.
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (entry, kv) = (fleet.entry(0), fleet.kv.clone());
        kv.set_delay(Duration::from_millis(40));
        let fault = tokio::spawn(async move {
            // At this point the head is being read; the next call is the write.
            tokio::time::sleep(Duration::from_millis(20)).await;
            kv.lose_answers(1, lost);
            tokio::time::sleep(Duration::from_millis(100)).await;
            kv.set_down(true);
        });
        let error = refused(entry, "", TEMPLATE).await;
        fault.await.unwrap();
        assert_eq!(error.code, ErrorCode::UnknownOutcome, "{error:?}");
        let id = error.change.unwrap();
        let path = format!("/v1/config/changes/{id}");
        let answer: ChangeAnswer = get(entry, &path).await;
        assert_eq!(answer.state, ChangeState::Unknown);
        fleet.kv.set_down(false);
        let answer: ChangeAnswer = get(entry, &path).await;
        let expected = match accepted {
            true => ChangeState::Accepted { revision: id.revision },
            false => ChangeState::NotAccepted,
        };
        assert_eq!(answer.state, expected);
    }
}

#[tokio::test(start_paused = true)]
async fn apply_reports_every_syntax_error() {
    let fleet = Fleet::start(1, 1).await;
    let error = refused(fleet.entry(0), "", "kind: template\n---\nkind: nothing\n").await;
    assert_eq!((error.code, error.syntax.len()), (ErrorCode::InvalidSyntax, 2));
    let large = "#".repeat(300_000);
    assert_eq!(refused(fleet.entry(0), "", &large).await.code, ErrorCode::TooLarge);
    assert_eq!(refused(fleet.entry(0), "dryrun=1", TEMPLATE).await.code, ErrorCode::BadRequest);
}

#[tokio::test(start_paused = true)]
async fn reads_show_what_is_in_force() {
    let fleet = Fleet::start(2, 1).await;
    let entry = fleet.entry(0);
    let names = ["a", "b", "c"];
    let workspaces: String = names.iter().map(|name| workspace(name)).collect();
    let accepted = apply(entry, "operator=ana", &format!("{TEMPLATE}{workspaces}")).await;
    let one: WorkspaceAnswer = get(entry, "/v1/config/workspaces/b").await;
    assert_eq!(one.effective.priority, 5);
    let used: TemplateAnswer = get(entry, "/v1/config/templates/callbox").await;
    assert_eq!(used.workspaces, 3);
    let page: WorkspacesAnswer = get(entry, "/v1/config/workspaces?limit=2").await;
    assert_eq!(page.next.as_deref(), Some("b"));
    let rest: WorkspacesAnswer = get(entry, "/v1/config/workspaces?after=b").await;
    assert_eq!((rest.workspaces.len(), rest.next), (1, None));
    let (_, diff): (_, DiffAnswer) = send(entry, "POST", "/v1/config/diff", &template(9)).await;
    assert_eq!(diff.diff[0].workspaces, Some(3));
    let history: HistoryAnswer = get(entry, "/v1/config/history").await;
    assert_eq!(history.changes[0].edits.len(), 4);
    let id = accepted.change.unwrap();
    for name in [id.to_string(), id.uuid.to_string()] {
        let answer: ChangeAnswer = get(entry, &format!("/v1/config/changes/{name}")).await;
        assert_eq!(answer.state, ChangeState::Accepted { revision: id.revision });
    }
    let (status, error): (_, ApiError) = send(entry, "GET", "/v1/config/workspaces/none", "").await;
    assert_eq!((status, error.code), (StatusCode::NOT_FOUND, ErrorCode::NotFound));
}

#[tokio::test(start_paused = true)]
async fn status_shows_live_leaving_and_silent() {
    let fleet = Fleet::start(6, 2).await;
    apply(fleet.entry(0), "", TEMPLATE).await;
    fleet.until_revision(1, Duration::from_secs(5)).await;
    fleet.entry(3).node.leave();
    fleet.network.cut(fleet.entry(4).address);
    tokio::time::sleep(Duration::from_secs(10)).await;
    let status: StatusAnswer = get(fleet.entry(1), "/v1/status").await;
    let state = |name: &str| status.processes.iter().find(|p| p.name == name).unwrap().state;
    assert_eq!(state("entry-3"), ProcessState::Leaving);
    assert_eq!(state("entry-4"), ProcessState::Silent);
    assert_eq!(state("entry-1"), ProcessState::Live);
    let answering = status.processes.iter().filter(|process| process.name != "entry-4");
    assert!(answering.clone().all(|process| process.revision.0 == 1));
}

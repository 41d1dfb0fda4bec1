//! The operators' HTTP API. The operators' token is checked by the code that mounts the router.

mod answer;

use crate::node::{MemberView, Node};
use crate::revision_poll::RevisionPoll;
use crate::transport::PeerTransport;
use answer::{Failure, Reply};
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::routing::{get, post};
use axum::{Json, Router};
use flamingowheel_config::api::{
    ApplyAnswer, ApplyOutcome, ChangeAnswer, ChangeState, ChangeSummary, DiffAnswer, ErrorCode,
    HistoryAnswer, ProcessRole, ProcessState, ProcessStatus, StatusAnswer, TemplateAnswer,
    TemplatesAnswer, WorkspaceAnswer, WorkspacesAnswer,
};
use flamingowheel_config::apply::{Applied, ApplyError, ApplyRequest, prepare_change};
use flamingowheel_config::change::{Change, ChangeId, DocumentDiff, Origin, diff};
use flamingowheel_config::document::{Edit, MAX_FILE_BYTES, parse};
use flamingowheel_config::effective::ConfigRevision;
use flamingowheel_config::replica::Replica;
use flamingowheel_config::store::Store;
use flamingowheel_observe::event::Event;
use flamingowheel_observe::reason::ConfigSource;
use flamingowheel_protocol::peer::MemberState;
use serde::Deserialize;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use uuid::Uuid;

/// Upper bound on how long an answer waits for a change to be in force.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Workspaces on one page if the query sets no limit.
const DEFAULT_PAGE_SIZE: usize = 500;
/// Upper bound on workspaces on one page.
const MAX_PAGE_SIZE: usize = 2_000;

/// Lists processes other than entries that are known to this entry.
pub trait OtherProcesses: Send + Sync + 'static {
    /// The current status of each process.
    fn list(&self) -> Vec<ProcessStatus>;
}

/// Shared state of the HTTP handlers.
#[derive(Clone)]
pub struct OperatorsApi {
    /// The control state of this process.
    pub node: Node,
    /// The configuration stored in the key-value service.
    pub store: Store,
    /// Sends requests to other entries.
    pub peers: Arc<dyn PeerTransport>,
    /// Lists the agents connected to this entry.
    pub agents: Arc<dyn OtherProcesses>,
}

/// Builds the router with all routes of the operators' API.
pub fn router(operators: OperatorsApi) -> Router {
    Router::new()
        .route("/v1/config/apply", post(apply))
        .route("/v1/config/diff", post(compare))
        .route("/v1/config/templates", get(templates))
        .route("/v1/config/templates/{name}", get(template))
        .route("/v1/config/workspaces", get(workspaces))
        .route("/v1/config/workspaces/{name}", get(workspace))
        .route("/v1/config/history", get(history))
        .route("/v1/config/changes/{id}", get(change))
        .route("/v1/status", get(status))
        .fallback(answer::unknown_path)
        .layer(DefaultBodyLimit::max(MAX_FILE_BYTES + 1))
        .with_state(operators)
}

/// Query of `POST /v1/config/apply`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ApplyQuery {
    /// Random part of the change's id, which makes a repeated request idempotent. Generated if
    /// absent.
    pub change: Option<Uuid>,
    /// The revision that the edits are based on; the one in force at this entry if absent.
    pub seen: Option<ConfigRevision>,
    /// Name of the operator, recorded with the change.
    pub operator: String,
    /// Reason for the change, recorded with it.
    pub comment: String,
    /// Whether the change is only checked and not written.
    pub dry_run: bool,
    /// How long to wait for the change to be in force in every process, in milliseconds, at most
    /// 60 s. The answer does not wait if this is absent.
    pub wait_ms: Option<u64>,
}

async fn apply(
    State(operators): State<OperatorsApi>,
    query: Result<Query<ApplyQuery>, axum::extract::rejection::QueryRejection>,
    body: Result<String, axum::extract::rejection::StringRejection>,
) -> Reply<ApplyAnswer> {
    let Query(query) = query?;
    let edits = parse(&body?)?;
    let request = apply_request(&operators, &query, edits);
    if query.dry_run {
        return operators.dry_run(&request).await;
    }
    let mut answer = operators.accept(request).await?;
    if let Some(wait_ms) = query.wait_ms {
        let limit = Duration::from_millis(wait_ms).min(MAX_WAIT);
        answer.in_force =
            Some(operators.revision_poll().wait_until_in_force(answer.revision, limit).await);
    }
    Ok(Json(answer))
}

fn apply_request(operators: &OperatorsApi, query: &ApplyQuery, edits: Vec<Edit>) -> ApplyRequest {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let origin = Origin {
        operator: query.operator.clone(),
        at_unix_ms: since_epoch.map_or(0, |time| time.as_millis() as u64),
        comment: query.comment.clone(),
    };
    ApplyRequest {
        uuid: query.change.unwrap_or_else(Uuid::now_v7),
        origin,
        edits,
        seen: query.seen.unwrap_or_else(|| operators.node.revision()),
    }
}

impl OperatorsApi {
    fn revision_poll(&self) -> RevisionPoll<'_> {
        RevisionPoll { node: &self.node, peers: &*self.peers }
    }

    /// Checks a change against the newest revision that can be read.
    async fn dry_run(&self, request: &ApplyRequest) -> Reply<ApplyAnswer> {
        let mut replica = self.node.replica();
        // While the service is down, the check is against the revision in force here; the answer
        // has that revision.
        let _ = self.store.catch_up(&mut replica).await;
        prepare_change(&replica, request)?;
        Ok(Json(ApplyAnswer {
            outcome: ApplyOutcome::DryRun,
            change: None,
            revision: replica.revision(),
            diff: diff(replica.documents(), &request.edits),
            in_force: None,
        }))
    }

    /// Applies a change in a task of its own, so that a broken connection of the operator does not
    /// cancel the steps after the write.
    async fn accept(&self, request: ApplyRequest) -> Result<ApplyAnswer, Failure> {
        let this = self.clone();
        let task = tokio::spawn(async move {
            let mut replica = this.node.replica();
            let applied = this.store.apply_with_diff(&mut replica, &request).await;
            this.record_event(request.uuid, &applied);
            this.node.replace_if_newer(replica.clone(), ConfigSource::Accepted);
            let answer = applied.map(|(applied, diff)| apply_answer(applied, &replica, diff));
            this.spawn_fold(replica);
            answer
        });
        // The task fails only if it panics or the process stops.
        let answer = task.await.map_err(|_| Failure::interrupted())?;
        Ok(answer?)
    }

    fn record_event(
        &self,
        change: Uuid,
        applied: &Result<(Applied, Vec<DocumentDiff>), ApplyError>,
    ) {
        let revision = self.node.revision().0;
        let event = match applied {
            Ok((Applied::Accepted(accepted), _)) => {
                Event::ChangeAccepted { change, revision: accepted.revision().0 }
            }
            Err(ApplyError::Conflict(_)) => Event::ChangeConflict { change, revision },
            Err(ApplyError::Unknown { .. }) => Event::ChangeUnknown { change },
            _ => return,
        };
        self.node.recorder().record(event);
    }

    /// Folds the log into the buckets if due. A failure is only logged, since the next change
    /// retries.
    fn spawn_fold(&self, mut replica: Replica) {
        let store = self.store.clone();
        tokio::spawn(async move {
            if let Err(error) = store.fold_if_due(&mut replica).await {
                tracing::warn!(%error, "failed to fold the log, the next change retries");
            }
        });
    }
}

fn apply_answer(applied: Applied, replica: &Replica, diff: Vec<DocumentDiff>) -> ApplyAnswer {
    let (outcome, change, revision) = match &applied {
        Applied::Accepted(change) => (ApplyOutcome::Accepted, Some(change.id), change.revision()),
        Applied::Unchanged => (ApplyOutcome::Unchanged, None, replica.revision()),
    };
    ApplyAnswer { outcome, change, revision, diff, in_force: None }
}

async fn compare(
    State(operators): State<OperatorsApi>,
    body: Result<String, axum::extract::rejection::StringRejection>,
) -> Reply<DiffAnswer> {
    let edits = parse(&body?)?;
    let replica = operators.node.replica();
    let diff = diff(replica.documents(), &edits);
    Ok(Json(DiffAnswer { revision: replica.revision(), diff }))
}

async fn templates(State(operators): State<OperatorsApi>) -> Json<TemplatesAnswer> {
    let replica = operators.node.replica();
    let templates = replica.documents().templates.values().cloned().collect();
    Json(TemplatesAnswer { revision: replica.revision(), templates })
}

async fn template(
    State(operators): State<OperatorsApi>,
    Path(name): Path<String>,
) -> Reply<TemplateAnswer> {
    let replica = operators.node.replica();
    let documents = replica.documents();
    let template = documents.templates.get(&name).ok_or_else(|| Failure::not_found(&name))?;
    let all = documents.workspaces.values();
    let workspaces = all.filter(|stored| stored.document.template == name).count();
    let template = template.clone();
    Ok(Json(TemplateAnswer { revision: replica.revision(), template, workspaces }))
}

/// Query of `GET /v1/config/workspaces`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct WorkspacesQuery {
    after: String,
    limit: Option<usize>,
}

async fn workspaces(
    State(operators): State<OperatorsApi>,
    page: Result<Query<WorkspacesQuery>, axum::extract::rejection::QueryRejection>,
) -> Reply<WorkspacesAnswer> {
    let Query(page) = page?;
    let replica = operators.node.replica();
    let limit = page.limit.unwrap_or(DEFAULT_PAGE_SIZE).clamp(1, MAX_PAGE_SIZE);
    let from = (std::ops::Bound::Excluded(page.after), std::ops::Bound::Unbounded);
    let mut rest = replica.documents().workspaces.range(from);
    let workspaces: Vec<_> = rest.by_ref().take(limit).map(|(_, stored)| stored.clone()).collect();
    let more = rest.next().is_some();
    let last = workspaces.last().map(|stored| stored.document.name.clone());
    let next = last.filter(|_| more);
    Ok(Json(WorkspacesAnswer { revision: replica.revision(), workspaces, next }))
}

async fn workspace(
    State(operators): State<OperatorsApi>,
    Path(name): Path<String>,
) -> Reply<WorkspaceAnswer> {
    let replica = operators.node.replica();
    let documents = replica.documents();
    let workspace = documents.workspaces.get(&name).ok_or_else(|| Failure::not_found(&name))?;
    let template = documents.templates.get(&workspace.document.template);
    let template = template.ok_or_else(|| Failure::not_found(&workspace.document.template))?;
    let effective = workspace.document.overrides.apply_to(&template.document.parameters);
    let workspace = workspace.clone();
    Ok(Json(WorkspaceAnswer { revision: replica.revision(), workspace, effective }))
}

async fn history(State(operators): State<OperatorsApi>) -> Json<HistoryAnswer> {
    let replica = operators.node.replica();
    Json(HistoryAnswer { changes: replica.history().map(|change| summary(change)).collect() })
}

fn summary(change: &Change) -> ChangeSummary {
    let edits = change.edits.iter().map(|edit| {
        let (verb, kind, name) = match edit {
            Edit::PutTemplate(template) => ("put", "template", &template.name),
            Edit::PutWorkspace(workspace) => ("put", "workspace", &workspace.name),
            Edit::RemoveTemplate(name) => ("remove", "template", name),
            Edit::RemoveWorkspace(name) => ("remove", "workspace", name),
        };
        format!("{verb} {kind} {name}")
    });
    ChangeSummary { id: change.id, origin: change.origin.clone(), edits: edits.collect() }
}

/// Looks a change up by its id, or by the random part of it. With the random part only an accepted
/// change can be reported: a change that is not in the log may still be written.
async fn change(
    State(operators): State<OperatorsApi>,
    Path(change): Path<String>,
) -> Reply<ChangeAnswer> {
    let state = match (change.parse::<ChangeId>(), change.parse::<Uuid>()) {
        (Ok(id), _) => operators.store.change_state(id).await.unwrap_or(ChangeState::Unknown),
        (_, Ok(uuid)) => operators.find_change(uuid).await,
        _ => return Err(Failure::new(ErrorCode::BadRequest, "not a change id")),
    };
    Ok(Json(ChangeAnswer { change, state }))
}

impl OperatorsApi {
    async fn find_change(&self, uuid: Uuid) -> ChangeState {
        let mut replica = self.node.replica();
        let _ = self.store.catch_up(&mut replica).await;
        match replica.find(uuid) {
            Some(change) => ChangeState::Accepted { revision: change.revision() },
            None => ChangeState::Unknown,
        }
    }
}

async fn status(State(operators): State<OperatorsApi>) -> Json<StatusAnswer> {
    operators.revision_poll().refresh().await;
    let node = &operators.node;
    let mut processes: Vec<ProcessStatus> =
        node.members().into_iter().filter_map(process_status).collect();
    processes.extend(operators.agents.list());
    Json(StatusAnswer {
        process: node.own_record().name,
        revision: node.revision(),
        source: node.source(),
        key_value_answered_ms_ago: node.key_value_answered_ago().map(|ago| ago.as_millis() as u64),
        processes,
    })
}

fn process_status(view: MemberView) -> Option<ProcessStatus> {
    let state = match view.state {
        MemberState::Live => ProcessState::Live,
        MemberState::Leaving => ProcessState::Leaving,
        MemberState::Silent => ProcessState::Silent,
        MemberState::Gone => return None,
    };
    Some(ProcessStatus {
        name: view.record.name,
        role: ProcessRole::Entry,
        vm: view.record.vm,
        data_centre: view.record.data_centre,
        state,
        revision: view.revision,
        operators_address: Some(view.record.operators),
        heard_ms_ago: view.last_seen_ago.as_millis() as u64,
    })
}

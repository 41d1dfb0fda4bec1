//! The operators' HTTP interface. Whoever mounts it checks the operators' token.

mod answer;

use crate::node::{MemberView, Node};
use crate::roll::RollCall;
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

/// Longest time an answer waits for a change to be in force.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Workspaces on one page unless asked otherwise.
const DEFAULT_PAGE: usize = 500;
/// Most workspaces on one page.
const MAX_PAGE: usize = 2_000;

/// Processes other than entries that this entry knows of.
pub trait OtherProcesses: Send + Sync + 'static {
    /// Their status as of now.
    fn list(&self) -> Vec<ProcessStatus>;
}

/// What the handlers work with.
#[derive(Clone)]
pub struct OperatorsApi {
    /// This process.
    pub node: Node,
    /// The configuration in the key-value service.
    pub store: Store,
    /// The other entries.
    pub peers: Arc<dyn PeerTransport>,
    /// Agents connected to this entry.
    pub agents: Arc<dyn OtherProcesses>,
}

/// All routes.
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
        .fallback(answer::no_such_path)
        .layer(DefaultBodyLimit::max(MAX_FILE_BYTES + 1))
        .with_state(operators)
}

/// Query of `POST /v1/config/apply`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ApplyQuery {
    /// Random part of the change's id, so that the request can be sent again.
    pub change: Option<Uuid>,
    /// The revision the operator looked at; the one in force here if absent.
    pub seen: Option<ConfigRevision>,
    /// Who.
    pub operator: String,
    /// Why.
    pub comment: String,
    /// Check only.
    pub dry_run: bool,
    /// Wait until it is in force everywhere, at most for this long.
    pub wait_ms: Option<u64>,
}

async fn apply(
    State(operators): State<OperatorsApi>,
    query: Result<Query<ApplyQuery>, axum::extract::rejection::QueryRejection>,
    body: Result<String, axum::extract::rejection::StringRejection>,
) -> Reply<ApplyAnswer> {
    let Query(query) = query?;
    let edits = parse(&body?)?;
    let request = request(&operators, &query, edits);
    if query.dry_run {
        return operators.dry_run(&request).await;
    }
    let mut answer = operators.accept(request).await?;
    if let Some(wait_ms) = query.wait_ms {
        let limit = Duration::from_millis(wait_ms).min(MAX_WAIT);
        answer.in_force = Some(operators.roll_call().wait(answer.revision, limit).await);
    }
    Ok(Json(answer))
}

fn request(operators: &OperatorsApi, query: &ApplyQuery, edits: Vec<Edit>) -> ApplyRequest {
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
    fn roll_call(&self) -> RollCall<'_> {
        RollCall { node: &self.node, peers: &*self.peers }
    }

    /// Checks against the newest revision that can be had.
    async fn dry_run(&self, request: &ApplyRequest) -> Reply<ApplyAnswer> {
        let mut replica = self.node.replica();
        // While the service is down the check is against what is in force here, and says so by
        // its revision.
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

    /// Has the change accepted, in a task of its own: an operator's connection that breaks must
    /// not leave a write half followed up.
    async fn accept(&self, request: ApplyRequest) -> Result<ApplyAnswer, Failure> {
        let this = self.clone();
        let task = tokio::spawn(async move {
            let mut replica = this.node.replica();
            let applied = this.store.apply_with_diff(&mut replica, &request).await;
            this.record(request.uuid, &applied);
            this.node.adopt(replica.clone(), ConfigSource::Accepted);
            let answer = applied.map(|(applied, diff)| answer_to(applied, &replica, diff));
            this.fold_later(replica);
            answer
        });
        // The task panics only with the process.
        let answer = task.await.map_err(|_| Failure::interrupted())?;
        Ok(answer?)
    }

    fn record(&self, change: Uuid, applied: &Result<(Applied, Vec<DocumentDiff>), ApplyError>) {
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

    /// Failing to fold harms nothing: the next change tries again.
    fn fold_later(&self, mut replica: Replica) {
        let store = self.store.clone();
        tokio::spawn(async move {
            if let Err(error) = store.fold_if_due(&mut replica).await {
                tracing::warn!(%error, "log not folded; the next change tries again");
            }
        });
    }
}

fn answer_to(applied: Applied, replica: &Replica, diff: Vec<DocumentDiff>) -> ApplyAnswer {
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
    let users = documents.workspaces.values();
    let workspaces = users.filter(|stored| stored.document.template == name).count();
    let template = template.clone();
    Ok(Json(TemplateAnswer { revision: replica.revision(), template, workspaces }))
}

/// Which page of workspaces to give.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Page {
    after: String,
    limit: Option<usize>,
}

async fn workspaces(
    State(operators): State<OperatorsApi>,
    page: Result<Query<Page>, axum::extract::rejection::QueryRejection>,
) -> Reply<WorkspacesAnswer> {
    let Query(page) = page?;
    let replica = operators.node.replica();
    let limit = page.limit.unwrap_or(DEFAULT_PAGE).clamp(1, MAX_PAGE);
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

/// Takes a change's whole id, or its random part alone. With the random part only an acceptance
/// can be told: a change that is not in the log may still be on its way.
async fn change(
    State(operators): State<OperatorsApi>,
    Path(change): Path<String>,
) -> Reply<ChangeAnswer> {
    let state = match (change.parse::<ChangeId>(), change.parse::<Uuid>()) {
        (Ok(id), _) => operators.store.change_state(id).await.unwrap_or(ChangeState::Unknown),
        (_, Ok(uuid)) => operators.find(uuid).await,
        _ => return Err(Failure::new(ErrorCode::BadRequest, "not a change id")),
    };
    Ok(Json(ChangeAnswer { change, state }))
}

impl OperatorsApi {
    async fn find(&self, uuid: Uuid) -> ChangeState {
        let mut replica = self.node.replica();
        let _ = self.store.catch_up(&mut replica).await;
        match replica.find(uuid) {
            Some(change) => ChangeState::Accepted { revision: change.revision() },
            None => ChangeState::Unknown,
        }
    }
}

async fn status(State(operators): State<OperatorsApi>) -> Json<StatusAnswer> {
    operators.roll_call().refresh().await;
    let node = &operators.node;
    let mut processes: Vec<ProcessStatus> =
        node.members().into_iter().filter_map(process).collect();
    processes.extend(operators.agents.list());
    Json(StatusAnswer {
        process: node.own_record().name,
        revision: node.revision(),
        source: node.source(),
        key_value_answered_ms_ago: node.key_value_answered_ago().map(|ago| ago.as_millis() as u64),
        processes,
    })
}

fn process(view: MemberView) -> Option<ProcessStatus> {
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

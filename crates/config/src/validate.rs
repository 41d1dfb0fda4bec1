//! Validation of a change before it is accepted. All problems are reported at once.

use crate::document::{Edit, Kind};
use crate::effective::Documents;
use crate::problem::{Collector, Reason};
use crate::template::{
    Limits, MAX_PRIORITY, Model, Parameters, Rebalancing, Retry, Service, ServiceRoute, Template,
};
use crate::token::TokenHash;
use crate::workspace::{Overrides, Workspace};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};

const MAX_RATE_PER_S: f64 = 1e9;
const MAX_MODELS: f64 = 64.0;
const MAX_TOKENS_PER_WORKSPACE: f64 = 8.0;
const MAX_DEADLINE_MS: f64 = 86_400_000.0;

/// A refused field of a document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[error("document {document} ({kind:?} `{name}`): {field} {reason}")]
pub struct Problem {
    /// Position of the document in the file, from 1.
    pub document: usize,
    /// Whether the document is a template or a workspace.
    pub kind: Kind,
    /// Name of the template or workspace.
    pub name: String,
    /// Path of the field, such as `parameters.limits.in_flight`.
    pub field: String,
    /// Why the field is refused.
    pub reason: Reason,
}

#[derive(Debug)]
struct FieldProblem {
    field: String,
    reason: Reason,
}

type FieldProblems = Collector<FieldProblem>;

/// Validates the edits of a change against the documents in force.
///
/// ```
/// use flamingowheel_config::{document, effective::Documents, validate::validate};
/// let edits = document::parse("kind: remove\nworkspace: nobody\n").unwrap();
/// assert_eq!(validate(&Documents::default(), &edits).unwrap_err().len(), 1);
/// ```
pub fn validate(base: &Documents, edits: &[Edit]) -> Result<(), Vec<Problem>> {
    let mut after = base.clone();
    after.apply(base.revision.next(), edits);
    let context = Context::new(base, &after, edits);
    let mut problems = Vec::new();
    let mut seen = HashSet::new();
    for (index, edit) in edits.iter().enumerate() {
        let mut collector = FieldProblems::new(|field, reason| FieldProblem { field, reason });
        if !seen.insert((edit.kind(), edit.name())) {
            collector.push("name", Reason::Duplicate { value: edit.name().to_owned() });
        }
        context.check(edit, &mut collector);
        problems.extend(collector.problems.into_iter().map(|problem| Problem {
            document: index + 1,
            kind: edit.kind(),
            name: edit.name().to_owned(),
            field: problem.field,
            reason: problem.reason,
        }));
    }
    if problems.is_empty() { Ok(()) } else { Err(problems) }
}

/// The documents before and after the change, with lookup tables for checks across documents.
struct Context<'a> {
    base: &'a Documents,
    after: &'a Documents,
    /// Names of the workspaces that have each token after the change.
    tokens: HashMap<TokenHash, Vec<&'a str>>,
    /// Versions that documents name after the change, by model.
    versions: BTreeMap<&'a str, Vec<NamedVersion<'a>>>,
}

/// A document that names a version of a model.
struct NamedVersion<'a> {
    kind: Kind,
    name: &'a str,
    version: &'a str,
}

/// All versions that documents name, by model. Most workspaces override no models and are skipped.
fn named_versions(documents: &Documents) -> BTreeMap<&str, Vec<NamedVersion<'_>>> {
    let templates = documents.templates.values().map(|stored| {
        let template = &stored.document;
        (Kind::Template, template.name.as_str(), &template.parameters.models)
    });
    let workspaces = documents.workspaces.values().filter_map(|stored| {
        let workspace = &stored.document;
        let models = workspace.overrides.models.as_ref()?;
        Some((Kind::Workspace, workspace.name.as_str(), models))
    });
    let mut versions: BTreeMap<&str, Vec<NamedVersion<'_>>> = BTreeMap::new();
    for (kind, name, models) in templates.chain(workspaces) {
        for (model_name, model) in models {
            let Some(version) = model.version.as_deref() else { continue };
            versions.entry(model_name).or_default().push(NamedVersion { kind, name, version });
        }
    }
    versions
}

impl<'a> Context<'a> {
    /// Only tokens of edited workspaces can be duplicates, so only those are collected.
    fn new(base: &'a Documents, after: &'a Documents, edits: &[Edit]) -> Self {
        let mut tokens: HashMap<TokenHash, Vec<&'a str>> = edits
            .iter()
            .filter_map(|edit| match edit {
                Edit::PutWorkspace(workspace) => Some(workspace),
                _ => None,
            })
            .flat_map(|workspace| workspace.token_sha256.iter().map(|hash| (*hash, Vec::new())))
            .collect();
        for (name, stored) in after.workspaces.iter() {
            for hash in &stored.document.token_sha256 {
                if let Some(holders) = tokens.get_mut(hash) {
                    holders.push(name);
                }
            }
        }
        Self { base, after, tokens, versions: named_versions(after) }
    }

    fn check(&self, edit: &Edit, problems: &mut FieldProblems) {
        match edit {
            Edit::PutTemplate(template) => {
                check_template(template, problems);
                let models = &template.parameters.models;
                self.check_versions("parameters.models", models, problems);
            }
            Edit::PutWorkspace(workspace) => self.check_workspace(workspace, problems),
            Edit::RemoveTemplate(name) => self.check_template_removal(name, problems),
            Edit::RemoveWorkspace(name) => {
                if !self.base.workspaces.contains_key(name) {
                    problems.push("workspace", Reason::NotFound { value: name.clone() });
                }
            }
        }
    }

    fn check_template_removal(&self, name: &str, problems: &mut FieldProblems) {
        if !self.base.templates.contains_key(name) {
            problems.push("template", Reason::NotFound { value: name.to_owned() });
            return;
        }
        let mut users =
            self.after.workspaces.values().filter(|stored| stored.document.template == name);
        if let Some(first) = users.next() {
            let (example, count) = (first.document.name.clone(), 1 + users.count());
            problems.push("template", Reason::InUse { count, example });
        }
    }

    fn check_workspace(&self, workspace: &Workspace, problems: &mut FieldProblems) {
        problems.check_name("name", &workspace.name);
        if !self.after.templates.contains_key(&workspace.template) {
            problems.push("template", Reason::NotFound { value: workspace.template.clone() });
        }
        self.check_tokens(workspace, problems);
        check_overrides(&workspace.overrides, problems);
        if let Some(models) = &workspace.overrides.models {
            self.check_versions("overrides.models", models, problems);
        }
    }

    /// Refuses a second version of a model. All ranks of a group serve one version and a group
    /// serves many workspaces, so one of two accepted versions could never be served.
    fn check_versions(
        &self,
        path: &str,
        models: &BTreeMap<String, Model>,
        problems: &mut FieldProblems,
    ) {
        for (name, model) in models {
            let Some(version) = &model.version else { continue };
            let versions = self.versions.get(name.as_str()).into_iter().flatten();
            let Some(other) = versions.into_iter().find(|other| other.version != *version) else {
                continue;
            };
            let kind = match other.kind {
                Kind::Template => "template",
                Kind::Workspace => "workspace",
            };
            problems.push(
                format!("{path}.{name}.version"),
                Reason::OtherVersion {
                    value: version.clone(),
                    other: other.version.to_owned(),
                    holder: format!("{kind} `{}`", other.name),
                },
            );
        }
    }

    fn check_tokens(&self, workspace: &Workspace, problems: &mut FieldProblems) {
        let count = workspace.token_sha256.len() as f64;
        problems.check_range("token_sha256 (length)", count, 1.0, MAX_TOKENS_PER_WORKSPACE);
        let mut seen = HashSet::new();
        for (index, hash) in workspace.token_sha256.iter().enumerate() {
            let field = format!("token_sha256[{index}]");
            if !seen.insert(hash) {
                problems.push(&field, Reason::Duplicate { value: hash.to_string() });
            }
            let holders = self.tokens.get(hash).into_iter().flatten();
            if let Some(other) = holders.copied().find(|holder| *holder != workspace.name) {
                problems.push(field, Reason::TokenTaken { workspace: other.to_owned() });
            }
        }
    }
}

fn check_template(template: &Template, problems: &mut FieldProblems) {
    let Parameters { models, services, priority, limits, retry, deadline_ms } =
        &template.parameters;
    problems.check_name("name", &template.name);
    problems.check_range("description (length)", template.description.len() as f64, 0.0, 1_000.0);
    check_models("parameters.models", models, problems);
    check_services("parameters.services", services, problems);
    check_priority("parameters.priority", *priority, problems);
    check_limits("parameters.limits", limits, problems);
    check_retry("parameters.retry", retry, problems);
    check_deadline("parameters.deadline_ms", *deadline_ms, problems);
    check_rebalancing(&template.rebalancing, problems);
}

fn check_overrides(overrides: &Overrides, problems: &mut FieldProblems) {
    let Overrides { models, services, priority, limits, retry, deadline_ms } = overrides;
    if let Some(models) = models {
        check_models("overrides.models", models, problems);
    }
    if let Some(services) = services {
        check_services("overrides.services", services, problems);
    }
    if let Some(priority) = priority {
        check_priority("overrides.priority", *priority, problems);
    }
    if let Some(limits) = limits {
        check_limits("overrides.limits", limits, problems);
    }
    if let Some(retry) = retry {
        check_retry("overrides.retry", retry, problems);
    }
    if let Some(deadline_ms) = deadline_ms {
        check_deadline("overrides.deadline_ms", *deadline_ms, problems);
    }
}

fn check_models(path: &str, models: &BTreeMap<String, Model>, problems: &mut FieldProblems) {
    problems.check_range(format!("{path} (length)"), models.len() as f64, 0.0, MAX_MODELS);
    for (name, model) in models {
        problems.check_name(format!("{path}.{name}"), name);
        if let Some(version) = &model.version {
            problems.check_name(format!("{path}.{name}.version"), version);
        }
        let mut seen = HashSet::new();
        for (index, adapter) in model.adapters.iter().enumerate() {
            let field = format!("{path}.{name}.adapters[{index}]");
            problems.check_name(&field, adapter);
            if !seen.insert(adapter) {
                problems.push(field, Reason::Duplicate { value: adapter.clone() });
            }
        }
    }
}

fn check_services(path: &str, services: &BTreeMap<String, Service>, problems: &mut FieldProblems) {
    for (name, service) in services {
        problems.check_name(format!("{path}.{name}"), name);
        if service.routes.is_empty() {
            problems.push(format!("{path}.{name}.routes"), Reason::Empty);
        }
        for (index, route) in service.routes.iter().enumerate() {
            check_route(&format!("{path}.{name}.routes[{index}]"), route, problems);
        }
    }
}

fn check_route(path: &str, route: &ServiceRoute, problems: &mut FieldProblems) {
    if !route.path_prefix.starts_with('/') {
        let value = route.path_prefix.clone();
        problems.push(format!("{path}.path_prefix"), Reason::NotAPath { value });
    }
    if let Some(method) = &route.method
        && (method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()))
    {
        problems.push(format!("{path}.method"), Reason::NotAMethod { value: method.clone() });
    }
}

fn check_priority(path: &str, priority: u8, problems: &mut FieldProblems) {
    problems.check_range(path, f64::from(priority), 0.0, f64::from(MAX_PRIORITY));
}

fn check_limits(path: &str, limits: &Limits, problems: &mut FieldProblems) {
    if let Some(rate) = limits.requests_per_s {
        problems.check_range(format!("{path}.requests_per_s"), rate, 0.0, MAX_RATE_PER_S);
    }
    if let Some(rate) = limits.tokens_per_s {
        problems.check_range(format!("{path}.tokens_per_s"), rate, 0.0, MAX_RATE_PER_S);
    }
}

fn check_retry(path: &str, retry: &Retry, problems: &mut FieldProblems) {
    problems.check_range(format!("{path}.per_100_requests"), retry.per_100_requests, 0.0, 100.0);
    problems.check_range(format!("{path}.burst"), f64::from(retry.burst), 0.0, 10_000.0);
    problems.check_range(format!("{path}.max_tries"), f64::from(retry.max_tries), 1.0, 10.0);
}

fn check_deadline(path: &str, deadline_ms: u64, problems: &mut FieldProblems) {
    problems.check_range(path, deadline_ms as f64, 1.0, MAX_DEADLINE_MS);
}

fn check_rebalancing(rebalancing: &Rebalancing, problems: &mut FieldProblems) {
    problems.check_range("rebalancing.skew_weight", rebalancing.skew_weight, 0.0, 1e6);
    problems.check_range("rebalancing.move_weight", rebalancing.move_weight, 0.0, 1e6);
}

//! The configuration as requests use it: workspaces with their template's parameters resolved.

use crate::document::{Edit, Kind};
use crate::template::{Parameters, Rebalancing, Template};
use crate::token::TokenHash;
use crate::workspace::Workspace;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Revision of the configuration: 0 when empty, increased by 1 by each accepted change.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigRevision(pub u64);

impl ConfigRevision {
    /// The revision that the next accepted change gets.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A document with the revision that last wrote it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stored<T> {
    /// Revision of the change that last wrote the document.
    pub revision: ConfigRevision,
    /// The document as the operator wrote it.
    pub document: T,
}

/// All documents as of one revision. Clones share their maps until one of them is edited
/// (copy-on-write).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Documents {
    /// Revision of the last applied change.
    pub revision: ConfigRevision,
    /// Templates by name.
    pub templates: Arc<BTreeMap<String, Stored<Arc<Template>>>>,
    /// Workspaces by name.
    pub workspaces: Arc<BTreeMap<String, Stored<Arc<Workspace>>>>,
}

impl Documents {
    /// Applies the edits of one change and sets the revision to that of the change.
    pub fn apply(&mut self, revision: ConfigRevision, edits: &[Edit]) {
        for edit in edits {
            self.apply_one(revision, edit);
        }
        self.revision = revision;
    }

    fn apply_one(&mut self, revision: ConfigRevision, edit: &Edit) {
        match edit {
            Edit::PutTemplate(template) => {
                let document = Arc::new(template.clone());
                self.put_template(Stored { revision, document });
            }
            Edit::PutWorkspace(workspace) => {
                let document = Arc::new(workspace.clone());
                self.put_workspace(Stored { revision, document });
            }
            Edit::RemoveTemplate(name) => {
                Arc::make_mut(&mut self.templates).remove(name);
            }
            Edit::RemoveWorkspace(name) => {
                Arc::make_mut(&mut self.workspaces).remove(name);
            }
        }
    }

    /// Inserts a template with its stored revision, replacing the one of the same name.
    pub fn put_template(&mut self, stored: Stored<Arc<Template>>) {
        Arc::make_mut(&mut self.templates).insert(stored.document.name.clone(), stored);
    }

    /// Inserts a workspace with its stored revision, replacing the one of the same name.
    pub fn put_workspace(&mut self, stored: Stored<Arc<Workspace>>) {
        Arc::make_mut(&mut self.workspaces).insert(stored.document.name.clone(), stored);
    }

    /// Revision of the change that last wrote this document; `None` if it does not exist.
    pub fn revision_of(&self, kind: Kind, name: &str) -> Option<ConfigRevision> {
        match kind {
            Kind::Template => self.templates.get(name).map(|stored| stored.revision),
            Kind::Workspace => self.workspaces.get(name).map(|stored| stored.revision),
        }
    }
}

/// A workspace as requests use it. A request keeps the value it started with, so changing or
/// removing a workspace does not affect requests in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveWorkspace {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Name of its template.
    pub template: Arc<str>,
    /// Hashes of the tokens that its callers may use.
    pub token_sha256: Arc<[TokenHash]>,
    /// The template's parameters with the workspace's overrides applied; shared with the
    /// template's other workspaces if nothing is overridden.
    pub parameters: Arc<Parameters>,
    /// The template's weights for rebalancing the experts of the groups that serve the workspace.
    pub rebalancing: Arc<Rebalancing>,
}

impl EffectiveWorkspace {
    /// Whether this token belongs to the workspace. Compares all hashes in constant time, so that
    /// the timing reveals nothing about the stored hashes.
    pub fn accepts_token(&self, token: &[u8]) -> bool {
        let hash = TokenHash::of(token);
        self.token_sha256.iter().fold(false, |found, stored| found | stored.ct_eq(&hash))
    }
}

#[derive(Clone, Debug)]
struct EffectiveTemplate {
    name: Arc<str>,
    parameters: Arc<Parameters>,
    rebalancing: Arc<Rebalancing>,
}

impl EffectiveTemplate {
    fn new(template: &Template) -> Self {
        Self {
            name: template.name.as_str().into(),
            parameters: Arc::new(template.parameters.clone()),
            rebalancing: Arc::new(template.rebalancing.clone()),
        }
    }

    fn resolve(&self, workspace: &Workspace) -> EffectiveWorkspace {
        let overrides = &workspace.overrides;
        let parameters = if overrides.is_empty() {
            Arc::clone(&self.parameters)
        } else {
            Arc::new(overrides.apply_to(&self.parameters))
        };
        EffectiveWorkspace {
            name: workspace.name.as_str().into(),
            template: Arc::clone(&self.name),
            token_sha256: workspace.token_sha256.as_slice().into(),
            parameters,
            rebalancing: Arc::clone(&self.rebalancing),
        }
    }
}

/// All workspaces as of one revision. The value is replaced as a whole, so a change of a template
/// takes effect in all of its workspaces or in none.
#[derive(Clone, Debug, Default)]
pub struct EffectiveConfig {
    revision: ConfigRevision,
    templates: Arc<HashMap<Arc<str>, EffectiveTemplate>>,
    by_name: HashMap<Arc<str>, Arc<EffectiveWorkspace>>,
    by_token: HashMap<TokenHash, Arc<EffectiveWorkspace>>,
}

impl EffectiveConfig {
    /// Resolves all workspaces. A workspace whose template does not exist is left out, so that
    /// requests for it are refused rather than served without limits. Validation refuses such a
    /// workspace.
    ///
    /// ```
    /// use flamingowheel_config::effective::{Documents, EffectiveConfig};
    /// assert!(EffectiveConfig::new(&Documents::default()).workspace("bibb-county").is_none());
    /// ```
    pub fn new(documents: &Documents) -> Self {
        let templates = documents.templates.values();
        let templates = templates.map(|stored| EffectiveTemplate::new(&stored.document));
        let mut effective = Self {
            revision: documents.revision,
            templates: Arc::new(
                templates.map(|template| (Arc::clone(&template.name), template)).collect(),
            ),
            ..Self::default()
        };
        for stored in documents.workspaces.values() {
            if let Some(template) = effective.templates.get(stored.document.template.as_str()) {
                effective.insert(template.resolve(&stored.document));
            }
        }
        effective
    }

    /// Equals [`EffectiveConfig::new`] of `documents`, where `edits` turn the documents that `self`
    /// was built from into `documents`. Almost all changes affect single workspaces, and resolving
    /// all the others again would cost more than the rest of a change.
    pub fn with_edits(&self, documents: &Documents, edits: &[Edit]) -> Self {
        if edits.iter().any(|edit| edit.kind() == Kind::Template) {
            return Self::new(documents);
        }
        let mut next = Self { revision: documents.revision, ..self.clone() };
        for edit in edits {
            next.remove(edit.name());
        }
        for edit in edits {
            next.resolve_workspace(documents, edit.name());
        }
        next
    }

    fn remove(&mut self, name: &str) {
        let Some(workspace) = self.by_name.remove(name) else { return };
        for hash in workspace.token_sha256.iter() {
            self.by_token.remove(hash);
        }
    }

    fn resolve_workspace(&mut self, documents: &Documents, name: &str) {
        let Some(workspace) = documents.workspaces.get(name) else { return };
        if let Some(template) = self.templates.get(workspace.document.template.as_str()) {
            self.insert(template.resolve(&workspace.document));
        }
    }

    fn insert(&mut self, workspace: EffectiveWorkspace) {
        let workspace = Arc::new(workspace);
        for hash in workspace.token_sha256.iter() {
            self.by_token.insert(*hash, Arc::clone(&workspace));
        }
        self.by_name.insert(Arc::clone(&workspace.name), workspace);
    }

    /// The revision of the documents that all workspaces were resolved from.
    pub fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// Looks up a workspace by name.
    pub fn workspace(&self, name: &str) -> Option<&Arc<EffectiveWorkspace>> {
        self.by_name.get(name)
    }

    /// The workspace that this token belongs to. The map is keyed by hash, so the timing of a
    /// lookup can reveal only parts of stored hashes, and callers can't choose a token's hash.
    pub fn workspace_by_token(&self, token: &[u8]) -> Option<&Arc<EffectiveWorkspace>> {
        let workspace = self.by_token.get(&TokenHash::of(token))?;
        workspace.accepts_token(token).then_some(workspace)
    }

    /// All workspaces, in no particular order.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<EffectiveWorkspace>> {
        self.by_name.values()
    }
}

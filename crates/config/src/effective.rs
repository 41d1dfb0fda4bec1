//! What traffic looks up: every workspace with its template's parameters resolved.

use crate::document::{Edit, Kind};
use crate::template::{Parameters, Rebalancing, Template};
use crate::token::TokenHash;
use crate::workspace::Workspace;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Number of a change: the first is 1, and each accepted change has the next.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigRevision(pub u64);

impl ConfigRevision {
    /// The revision of the next change.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A document and the change that wrote it last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stored<T> {
    /// Revision of the last change to it.
    pub revision: ConfigRevision,
    /// The document.
    pub document: T,
}

/// All documents as of one revision. Clones share their tables until one of them is edited.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Documents {
    /// The revision.
    pub revision: ConfigRevision,
    /// Templates by name.
    pub templates: Arc<BTreeMap<String, Stored<Arc<Template>>>>,
    /// Workspaces by name.
    pub workspaces: Arc<BTreeMap<String, Stored<Arc<Workspace>>>>,
}

impl Documents {
    /// Takes the edits of one change and becomes its revision.
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

    /// Takes a stored template as it is.
    pub fn put_template(&mut self, stored: Stored<Arc<Template>>) {
        Arc::make_mut(&mut self.templates).insert(stored.document.name.clone(), stored);
    }

    /// Takes a stored workspace as it is.
    pub fn put_workspace(&mut self, stored: Stored<Arc<Workspace>>) {
        Arc::make_mut(&mut self.workspaces).insert(stored.document.name.clone(), stored);
    }

    /// The change that last wrote the document of this kind and name, if it exists.
    pub fn revision_of(&self, kind: Kind, name: &str) -> Option<ConfigRevision> {
        match kind {
            Kind::Template => self.templates.get(name).map(|stored| stored.revision),
            Kind::Workspace => self.workspaces.get(name).map(|stored| stored.revision),
        }
    }
}

/// A workspace as requests see it. A request keeps the one it began with, so that removing or
/// changing a workspace leaves requests in progress alone.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveWorkspace {
    /// Its name.
    pub name: Arc<str>,
    /// The template it comes from.
    pub template: Arc<str>,
    /// Hashes of its tokens.
    pub token_sha256: Arc<[TokenHash]>,
    /// Its parameters; shared with the template's other workspaces if nothing is overridden.
    pub parameters: Arc<Parameters>,
    /// How experts of the groups that serve it are rebalanced.
    pub rebalancing: Arc<Rebalancing>,
}

impl EffectiveWorkspace {
    /// Whether a caller with this token belongs to the workspace. All hashes are compared, so
    /// that the time tells nothing.
    pub fn accepts_token(&self, token: &[u8]) -> bool {
        let hash = TokenHash::of(token);
        self.token_sha256.iter().fold(false, |found, own| found | own.ct_eq(&hash))
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

/// Every workspace as of one revision; built at once, so that a template's change is seen in all
/// of its workspaces or in none.
#[derive(Clone, Debug, Default)]
pub struct EffectiveConfig {
    revision: ConfigRevision,
    templates: Arc<HashMap<Arc<str>, EffectiveTemplate>>,
    by_name: HashMap<Arc<str>, Arc<EffectiveWorkspace>>,
    by_token: HashMap<TokenHash, Arc<EffectiveWorkspace>>,
}

impl EffectiveConfig {
    /// Resolves all workspaces. One whose template is missing is left out: validation lets none
    /// through, and a request for it is refused rather than served without limits.
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
            templates: Arc::new(templates.map(|own| (Arc::clone(&own.name), own)).collect()),
            ..Self::default()
        };
        for stored in documents.workspaces.values() {
            if let Some(template) = effective.templates.get(stored.document.template.as_str()) {
                effective.insert(template.resolve(&stored.document));
            }
        }
        effective
    }

    /// The same as [`EffectiveConfig::new`] of these documents, given the edits that led to them from
    /// those this was made of. Almost all changes are of single workspaces, and resolving the
    /// others again would cost more than all the rest of a change.
    pub fn with_edits(&self, documents: &Documents, edits: &[Edit]) -> Self {
        if edits.iter().any(|edit| edit.kind() == Kind::Template) {
            return Self::new(documents);
        }
        let mut next = Self { revision: documents.revision, ..self.clone() };
        for edit in edits {
            next.remove(edit.name());
        }
        for edit in edits {
            next.resolve(documents, edit.name());
        }
        next
    }

    fn remove(&mut self, name: &str) {
        let Some(workspace) = self.by_name.remove(name) else { return };
        for hash in workspace.token_sha256.iter() {
            self.by_token.remove(hash);
        }
    }

    fn resolve(&mut self, documents: &Documents, name: &str) {
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

    /// The revision all of it belongs to.
    pub fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// A workspace by name.
    pub fn workspace(&self, name: &str) -> Option<&Arc<EffectiveWorkspace>> {
        self.by_name.get(name)
    }

    /// The workspace whose caller presents this token. The table is keyed by hash: what a caller
    /// can learn from its timing is about hashes it can't choose.
    pub fn workspace_by_token(&self, token: &[u8]) -> Option<&Arc<EffectiveWorkspace>> {
        let workspace = self.by_token.get(&TokenHash::of(token))?;
        workspace.accepts_token(token).then_some(workspace)
    }

    /// All workspaces, in no order.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<EffectiveWorkspace>> {
        self.by_name.values()
    }
}

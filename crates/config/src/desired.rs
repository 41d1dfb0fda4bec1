//! The version and adapters of a model that templates and workspaces configure.

use crate::effective::{EffectiveConfig, EffectiveWorkspace};
use crate::template::Model;
use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

/// The version and adapters that the engines of a model have to serve.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredModel {
    /// The configured version; `None` if no document names one.
    pub version: Option<String>,
    /// All adapters that requests of some workspace may name.
    pub adapters: BTreeSet<String>,
}

/// The desired state of a model; `None` if no workspace may use it.
///
/// Validation accepts only one version per model. Documents stored before that check existed may
/// name two; then the first one is used, ordered by template name and then by workspace name.
///
/// ```
/// use flamingowheel_config::{desired::desired_model, effective::EffectiveConfig};
/// assert_eq!(desired_model(&EffectiveConfig::default(), "notes"), None);
/// ```
pub fn desired_model(effective: &EffectiveConfig, model: &str) -> Option<DesiredModel> {
    // Most workspaces share their template's parameters; each set is read once.
    let mut seen = HashSet::new();
    let mut workspaces: Vec<(&EffectiveWorkspace, &Model)> = effective
        .workspaces()
        .filter(|workspace| seen.insert(Arc::as_ptr(&workspace.parameters)))
        .filter_map(|workspace| Some((&**workspace, workspace.parameters.models.get(model)?)))
        .collect();
    workspaces.sort_by_key(|(workspace, _)| (&workspace.template, &workspace.name));
    let models = || workspaces.iter().map(|(_, model)| *model);
    models().next()?;
    Some(DesiredModel {
        version: models().find_map(|model| model.version.clone()),
        adapters: models().flat_map(|model| model.adapters.iter().cloned()).collect(),
    })
}

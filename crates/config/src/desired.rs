//! What operators want served of a model, over all templates and workspaces.

use crate::effective::{EffectiveConfig, EffectiveWorkspace};
use crate::template::Model;
use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

/// Version and adapters of one model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredModel {
    /// The version that is named; `None` if nobody names one.
    pub version: Option<String>,
    /// Every adapter that some workspace may name.
    pub adapters: BTreeSet<String>,
}

/// What is wanted of a model; `None` if no workspace may ask for it.
///
/// Validation lets no two versions of a model through. Documents that were stored before it did may
/// still name two; then the one of the first template by name counts, and of its first workspace.
///
/// ```
/// use flamingowheel_config::{desired::desired_model, effective::EffectiveConfig};
/// assert_eq!(desired_model(&EffectiveConfig::default(), "notes"), None);
/// ```
pub fn desired_model(effective: &EffectiveConfig, model: &str) -> Option<DesiredModel> {
    // Most workspaces share their template's parameters, so few have to be looked at.
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

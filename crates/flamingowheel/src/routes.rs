//! Paths of the operators' HTTP interface that the tool uses.

/// Applies a change.
pub const APPLY: &str = "/v1/config/apply";
/// Compares documents with the configuration in force.
pub const DIFF: &str = "/v1/config/diff";
/// Lists templates; `/NAME` appended selects one.
pub const TEMPLATES: &str = "/v1/config/templates";
/// Lists workspaces in pages; `/NAME` appended selects one.
pub const WORKSPACES: &str = "/v1/config/workspaces";
/// Lists the most recent changes.
pub const HISTORY: &str = "/v1/config/history";
/// Returns the outcome of a change; `/ID` is appended.
pub const CHANGES: &str = "/v1/config/changes";
/// Lists the fleet's processes.
pub const STATUS: &str = "/v1/status";
/// Lists the rank groups that an entry coordinates.
pub const GROUPS: &str = "/v1/groups";
/// Lists the entry addresses for callers of a workspace.
pub const ENTRIES: &str = "/v1/entries";

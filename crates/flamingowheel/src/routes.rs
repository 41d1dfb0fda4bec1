//! Paths of the operators' interface that the tool asks.

/// Takes a change.
pub const APPLY: &str = "/v1/config/apply";
/// Compares documents with what is in force.
pub const DIFF: &str = "/v1/config/diff";
/// Lists templates; a name may follow.
pub const TEMPLATES: &str = "/v1/config/templates";
/// Lists workspaces by pages; a name may follow.
pub const WORKSPACES: &str = "/v1/config/workspaces";
/// Lists the last changes.
pub const HISTORY: &str = "/v1/config/history";
/// Tells what became of a change; its id follows.
pub const CHANGES: &str = "/v1/config/changes";
/// Lists the fleet's processes.
pub const STATUS: &str = "/v1/status";
/// Lists the rank groups that an entry coordinates.
pub const GROUPS: &str = "/v1/groups";
/// Answers the address question.
pub const ENTRIES: &str = "/v1/entries";

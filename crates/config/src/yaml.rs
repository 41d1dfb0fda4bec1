//! Keeps a panic of the YAML parser from its caller.

use serde::de::Error as _;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Runs the parser and turns a panic into an error.
///
/// The parser panics on some texts that are not YAML, such as an alias without an anchor in a list.
/// An operator would see a call break off without a reason, and a daemon die over its settings.
/// What the parser holds is dropped with it, so nothing half-changed outlives the panic.
pub(crate) fn guard<F, T>(read: F) -> Result<T, serde_yaml_ng::Error>
where
    F: FnOnce() -> Result<T, serde_yaml_ng::Error>,
{
    catch_unwind(AssertUnwindSafe(read)).unwrap_or_else(|_| {
        Err(serde_yaml_ng::Error::custom("not YAML; an alias may lack its anchor"))
    })
}

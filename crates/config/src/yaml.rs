//! Turns panics of the YAML parser into errors.

use serde::de::Error as _;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Runs the parser and turns a panic into an error.
///
/// The parser panics on some texts that are not YAML, such as an alias without an anchor in a list.
/// Uncaught, the panic would abort an operator's call without an error message, or crash a daemon
/// while it reads its settings. The parser's state is dropped when it unwinds, so no inconsistent
/// state survives.
pub(crate) fn catch_panic<F, T>(read: F) -> Result<T, serde_yaml_ng::Error>
where
    F: FnOnce() -> Result<T, serde_yaml_ng::Error>,
{
    catch_unwind(AssertUnwindSafe(read)).unwrap_or_else(|_| {
        Err(serde_yaml_ng::Error::custom("not YAML; an alias may lack its anchor"))
    })
}

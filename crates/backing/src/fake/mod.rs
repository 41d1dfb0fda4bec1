//! In-memory fakes of the platform with faults that tests inject. They use tokio's clock, so a
//! paused clock makes every run deterministic.

pub mod engine;
pub mod group;
pub mod kv;
mod reads;
pub mod service;
mod store;
pub mod text;
pub mod vm;
pub mod weights;

pub use engine::{EngineSettings, FakeEngine, FencePolicy, OrderFault, RunCount};
pub use group::{MapMismatch, RankGroup};
pub use kv::{FakeKeyValue, KeyValueCalls, LostAnswer};
pub use service::FakeService;
pub use vm::FakeVmList;
pub use weights::FakeWeightStore;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning: a panic in another task of a test must not cause a second
/// one that hides the first.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! In-memory fakes of the platform. A test sets their faults by hand; they keep time by tokio's
//! clock, so a paused clock makes every run the same.

pub mod engine;
pub mod group;
pub mod kv;
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

/// Locks a mutex; a panic in a test's other task must not hide the first failure behind a second.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

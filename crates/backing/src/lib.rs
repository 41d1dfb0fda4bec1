//! What the platform offers, as small traits: the key-value service, the VM list, backend servers
//! (model engines and plain services), engine orders and the weight store.
//!
//! Each trait has an HTTP client in [`client`] that speaks the published protocol of the outside
//! system, and an in-memory fake in [`fake`] whose faults a test sets by hand. Users whose systems differ
//! implement the trait.

pub mod backend;
pub mod client;
pub mod fake;
pub mod kv;
pub mod orders;
pub mod vm;
pub mod weights;

use std::future::Future;
use std::pin::Pin;

/// A boxed future, so that the traits of this crate can be used as `dyn Trait`.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

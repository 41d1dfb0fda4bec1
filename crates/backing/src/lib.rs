//! Traits for the platform's services: the key-value service, the VM list, backend servers (model
//! engines and plain services), engine orders and the weight store.
//!
//! Each trait has an HTTP client in [`client`] that speaks the external system's published
//! protocol, and an in-memory fake in [`fake`] with faults that tests inject. To use a different
//! system, implement the trait.

pub mod backend;
pub mod client;
pub mod fake;
pub mod kv;
pub mod listing;
pub mod orders;
pub mod poll;
pub mod vm;
pub mod weights;

use std::future::Future;
use std::pin::Pin;

/// A boxed future, which keeps the traits of this crate usable as `dyn Trait`.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

//! The VM list: which VMs exist and which are about to leave. It lags behind the actual state.

use crate::BoxFuture;
use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// State of a VM in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// Will be removed soon and must get no new work.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The platform's name for the VM; never reused for another.
    pub name: String,
    /// Address at which other VMs reach it.
    pub ip: IpAddr,
    /// The data centre that hosts the VM.
    pub data_centre: String,
    /// Whether the VM may get new work.
    pub state: VmState,
}

/// Why the list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VmListError {
    /// No answer came.
    #[error("VM list unreachable")]
    Unreachable,
    /// The answer is not a VM list.
    #[error("malformed VM list")]
    Malformed,
}

/// The platform's list of VMs.
pub trait VmList: Send + Sync + 'static {
    /// Reads the list.
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>, VmListError>>;
}

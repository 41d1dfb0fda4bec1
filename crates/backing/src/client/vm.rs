//! Client of the VM list.

use super::http::{HttpClient, HttpLimits, Reuse};
use crate::BoxFuture;
use crate::vm::{Vm, VmList, VmListError};
use http::Method;
use http::uri::Authority;
use http_body_util::Full;
use serde_json::value::RawValue;

/// HTTP client of the VM list.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    http: HttpClient,
}

impl HttpVmList {
    /// Creates a client of the list at `authority`.
    ///
    /// ```
    /// use flamingowheel_backing::client::{HttpLimits, HttpVmList};
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// let _list = HttpVmList::new("127.0.0.1:8000".parse().unwrap(), HttpLimits::default());
    /// # });
    /// ```
    pub fn new(authority: Authority, limits: HttpLimits) -> Self {
        Self { http: HttpClient::new(authority, limits) }
    }
}

impl VmList for HttpVmList {
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>, VmListError>> {
        Box::pin(async move {
            let request = self
                .http
                .request(Method::GET, "/v1/vms")
                .body(Full::default())
                .map_err(|_| VmListError::Unreachable)?;
            let answer = self
                .http
                .fetch(request, Reuse::Allowed)
                .await
                .map_err(|_| VmListError::Unreachable)?;
            if !answer.status.is_success() {
                return Err(VmListError::Unreachable);
            }
            parse(&answer.body)
        })
    }
}

/// Reads the list. VMs that can't be read are left out, so that one doesn't hide the others.
fn parse(body: &[u8]) -> Result<Vec<Vm>, VmListError> {
    let listed: Vec<&RawValue> =
        serde_json::from_slice(body).map_err(|_| VmListError::Malformed)?;
    let vm = |text: &&RawValue| {
        let vm = serde_json::from_str(text.get());
        vm.inspect_err(|error| tracing::warn!(%error, "listed VM can't be read")).ok()
    };
    Ok(listed.iter().filter_map(vm).collect())
}

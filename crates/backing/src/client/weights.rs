//! Client of the weight store.

use super::encode_segment;
use super::http::{BufferedResponse, HttpClient, HttpLimits, Reuse};
use crate::BoxFuture;
use crate::weights::{WeightStore, WeightStoreError};
use http::uri::Authority;
use http::{Method, StatusCode};
use http_body_util::Full;

const MS_PER_S: u64 = 1000;
/// Used if the answer has no valid `retry-after` header.
const DEFAULT_RETRY_AFTER_S: u64 = 1;

/// HTTP client of the weight store.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    http: HttpClient,
}

impl HttpWeightStore {
    /// Creates a client of the store at `authority`.
    ///
    /// ```
    /// use flamingowheel_backing::client::{HttpLimits, HttpWeightStore};
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// let _store = HttpWeightStore::new("127.0.0.1:8000".parse().unwrap(), HttpLimits::default());
    /// # });
    /// ```
    pub fn new(authority: Authority, limits: HttpLimits) -> Self {
        Self { http: HttpClient::new(authority, limits) }
    }
}

fn retry_after_ms(answer: &BufferedResponse) -> u64 {
    let header = answer.headers.get(http::header::RETRY_AFTER);
    let seconds = header.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    seconds.unwrap_or(DEFAULT_RETRY_AFTER_S).saturating_mul(MS_PER_S)
}

impl WeightStore for HttpWeightStore {
    fn read<'a>(
        &'a self,
        name: &'a str,
        bytes: u64,
    ) -> BoxFuture<'a, Result<(), WeightStoreError>> {
        Box::pin(async move {
            let path = format!("/v1/weights/{}?bytes={bytes}", encode_segment(name));
            let request = self
                .http
                .request(Method::GET, &path)
                .body(Full::default())
                .map_err(|_| WeightStoreError::Unreachable)?;
            let answer = self
                .http
                .fetch(request, Reuse::Allowed)
                .await
                .map_err(|_| WeightStoreError::Unreachable)?;
            match answer.status {
                StatusCode::TOO_MANY_REQUESTS => {
                    Err(WeightStoreError::Busy { retry_after_ms: retry_after_ms(&answer) })
                }
                status if status.is_success() => Ok(()),
                _ => Err(WeightStoreError::Unreachable),
            }
        })
    }
}

//! Client for orders to an engine.

use super::backend::backend_error;
use super::http::{HttpClient, HttpLimits, Reuse};
use crate::BoxFuture;
use crate::backend::BackendError;
use crate::orders::{EngineOrders, EngineState, Fence, Order, OrderError, OrderTarget};
use bytes::Bytes;
use http::uri::Authority;
use http::{Method, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

/// Body of the engine's answer with status 409.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "error")]
pub enum OrderRefusal {
    /// The engine has seen a newer fencing number.
    Stale {
        /// Fencing number of the refused order.
        given: Fence,
        /// Highest fencing number that the engine has seen.
        highest: Fence,
    },
    /// The order can't be carried out in the engine's present state.
    NotPossible {
        /// The engine's reason.
        reason: String,
    },
}

impl From<OrderRefusal> for OrderError {
    fn from(refusal: OrderRefusal) -> Self {
        match refusal {
            OrderRefusal::Stale { given, highest } => Self::Stale { given, highest },
            OrderRefusal::NotPossible { reason } => Self::NotPossible { reason },
        }
    }
}

/// Timeout of state reads and of orders that load no weights.
const PROMPT_TIMEOUT_MS: u64 = 1_000;

/// HTTP client for orders to an engine.
#[derive(Clone, Debug)]
pub struct HttpOrders {
    /// For orders that load weights.
    loading: HttpClient,
    /// With short timeouts, for all other orders and for state reads.
    prompt: HttpClient,
}

impl HttpOrders {
    /// Creates a client of the engine at `authority`. `head_timeout_ms` must leave enough time to
    /// load weights.
    ///
    /// ```
    /// use flamingowheel_backing::client::{HttpLimits, HttpOrders};
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// let _orders = HttpOrders::new("127.0.0.1:8000".parse().unwrap(), HttpLimits::default());
    /// # });
    /// ```
    pub fn new(authority: Authority, limits: HttpLimits) -> Self {
        let prompt_limits = HttpLimits {
            head_timeout_ms: limits.head_timeout_ms.min(PROMPT_TIMEOUT_MS),
            ..limits.clone()
        };
        Self {
            prompt: HttpClient::new(authority.clone(), prompt_limits),
            loading: HttpClient::new(authority, limits),
        }
    }

    /// Loading weights may take long; any other order that is not answered soon would only delay
    /// the group's coordinator.
    fn client_for(&self, target: &OrderTarget) -> &HttpClient {
        match target {
            OrderTarget::Serve { .. } | OrderTarget::StageMap { .. } => &self.loading,
            OrderTarget::Hold { .. } | OrderTarget::SwitchMap { .. } | OrderTarget::Resume => {
                &self.prompt
            }
        }
    }

    async fn exchange(
        http: &HttpClient,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), BackendError> {
        let request = http
            .request(method, path)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|_| BackendError::Refused)?;
        let answer = http.fetch(request, Reuse::Never).await.map_err(backend_error)?;
        Ok((answer.status, answer.body))
    }

    async fn send(&self, order: &Order) -> Result<(), OrderError> {
        let body = serde_json::to_vec(order).map_err(|_| BackendError::Refused)?;
        let (status, body) =
            Self::exchange(self.client_for(&order.target), Method::POST, "/v1/orders", body.into())
                .await?;
        if status.is_success() {
            return Ok(());
        }
        if status == StatusCode::CONFLICT
            && let Ok(refusal) = serde_json::from_slice::<OrderRefusal>(&body)
        {
            return Err(refusal.into());
        }
        Err(BackendError::Malformed.into())
    }
}

impl EngineOrders for HttpOrders {
    fn send_order<'a>(&'a self, order: &'a Order) -> BoxFuture<'a, Result<(), OrderError>> {
        Box::pin(self.send(order))
    }

    fn state(&self) -> BoxFuture<'_, Result<EngineState, BackendError>> {
        Box::pin(async move {
            let (status, body) =
                Self::exchange(&self.prompt, Method::GET, "/v1/state", Bytes::new()).await?;
            if !status.is_success() {
                return Err(BackendError::Malformed);
            }
            serde_json::from_slice(&body).map_err(|_| BackendError::Malformed)
        })
    }
}

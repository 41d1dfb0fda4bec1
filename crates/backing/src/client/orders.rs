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
    /// A newer number was seen.
    Stale {
        /// The order's number.
        given: Fence,
        /// The highest number seen.
        highest: Fence,
    },
    /// Not in the present state.
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

/// The longest that an order without weights to load, or a question, may take.
const PROMPT_LIMIT_MS: u64 = 1_000;

/// The client.
#[derive(Clone, Debug)]
pub struct HttpOrders {
    /// For orders that load weights.
    loading: HttpClient,
    /// For all others and for questions, which are answered at once or not at all.
    http: HttpClient,
}

impl HttpOrders {
    /// A client of the engine at `authority`; loading weights takes long, so give `head_timeout_ms` room.
    ///
    /// ```
    /// use flamingowheel_backing::client::{HttpLimits, HttpOrders};
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// let _orders = HttpOrders::new("127.0.0.1:8000".parse().unwrap(), HttpLimits::default());
    /// # });
    /// ```
    pub fn new(authority: Authority, limits: HttpLimits) -> Self {
        let prompt = HttpLimits {
            head_timeout_ms: limits.head_timeout_ms.min(PROMPT_LIMIT_MS),
            ..limits.clone()
        };
        Self {
            http: HttpClient::new(authority.clone(), prompt),
            loading: HttpClient::new(authority, limits),
        }
    }

    /// Loading weights takes as long as it takes; anything else that is not answered soon holds
    /// back the group's coordinator for nothing.
    fn client(&self, target: &OrderTarget) -> &HttpClient {
        match target {
            OrderTarget::Serve { .. } | OrderTarget::StageMap { .. } => &self.loading,
            OrderTarget::Hold { .. } | OrderTarget::SwitchMap { .. } | OrderTarget::Resume => {
                &self.http
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
            Self::exchange(self.client(&order.target), Method::POST, "/v1/orders", body.into())
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
                Self::exchange(&self.http, Method::GET, "/v1/state", Bytes::new()).await?;
            if !status.is_success() {
                return Err(BackendError::Malformed);
            }
            serde_json::from_slice(&body).map_err(|_| BackendError::Malformed)
        })
    }
}

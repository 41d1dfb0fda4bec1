//! Records requests that were lost because the connection to their backend server broke.

use crate::ends::{self, BreakCause};
use crate::exchange::Exchange;
use crate::metrics::Metrics;
use crate::server::Server;
use std::fmt::Display;
use std::sync::Arc;
use tokio::task::JoinHandle;

/// Finds out why a connection broke, logs it and counts it.
#[derive(Clone, Debug)]
pub struct LossRecorder {
    metrics: Arc<Metrics>,
}

impl LossRecorder {
    /// Creates a recorder.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self { metrics }
    }

    /// Records that the connection broke while the request was at the server. The task returned goes
    /// on even if the request is given up meanwhile.
    pub fn record<E>(
        &self,
        exchange: &Exchange,
        server: &Arc<Server>,
        error: &E,
    ) -> JoinHandle<BreakCause>
    where
        E: Display,
    {
        let (server, metrics) = (Arc::clone(server), Arc::clone(&self.metrics));
        let (request, fingerprint) = (exchange.head.attempt_id.clone(), exchange.fingerprint);
        let error = error.to_string();
        tokio::spawn(async move {
            let cause = ends::find_cause(&server).await;
            metrics.record_loss(cause.name());
            tracing::info!(
                request,
                %fingerprint,
                server = server.listed.id,
                cause = cause.name(),
                error,
                "request lost with its connection"
            );
            cause
        })
    }
}

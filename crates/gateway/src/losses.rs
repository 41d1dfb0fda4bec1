//! Records requests that were lost because the connection to their backend server broke.

use crate::ends::{self, BreakCause};
use crate::exchange::Exchange;
use crate::metrics::Metrics;
use crate::server::Server;
use crate::suspects::Suspects;
use crate::suspects::archive::ArchiveSender;
use crate::view::Views;
use std::fmt::Display;
use std::sync::Arc;
use tokio::time::Instant;

/// Finds out why a connection broke, logs it and counts it.
#[derive(Clone, Debug)]
pub struct LossRecorder {
    views: Views,
    suspects: Arc<Suspects>,
    archive: ArchiveSender,
    metrics: Arc<Metrics>,
}

impl LossRecorder {
    /// Creates a recorder that reports requests under which servers end to `suspects`, and has those
    /// that are refused written to the store by `archive`.
    pub fn new(
        views: Views,
        suspects: Arc<Suspects>,
        archive: ArchiveSender,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self { views, suspects, archive, metrics }
    }

    /// Records that the connection broke while the request was at the server. Returns once it is
    /// known whether the server has ended; this goes on even if the request is given up meanwhile.
    pub async fn record<E>(&self, exchange: &Exchange, server: &Arc<Server>, error: &E)
    where
        E: Display,
    {
        let (server, recorder) = (Arc::clone(server), self.clone());
        let (request, fingerprint) = (exchange.head.attempt_id.clone(), exchange.fingerprint);
        let error = error.to_string();
        let recording = tokio::spawn(async move {
            let was_taking_work = recorder.is_taking_work(&server);
            let cause = ends::find_cause(&server).await;
            recorder.metrics.record_loss(cause.name());
            if cause == BreakCause::ServerEnded
                && was_taking_work
                && let Some(record) = recorder.suspects.record_end(server.key, fingerprint)
            {
                recorder.archive.write(record);
            }
            tracing::info!(
                request,
                %fingerprint,
                server = server.listed.id,
                cause = cause.name(),
                error,
                "request lost with its connection"
            );
        });
        if let Err(error) = recording.await {
            tracing::error!(%error, "recording of a lost request");
        }
    }

    /// Whether a server takes work. One that does not ends as planned, with requests in progress.
    fn is_taking_work(&self, server: &Server) -> bool {
        let view = self.views.load();
        let mut listed = view.servers_of(&server.listed.service).iter();
        listed.any(|listed| listed.key == server.key) && !server.status(Instant::now()).is_leaving
    }
}

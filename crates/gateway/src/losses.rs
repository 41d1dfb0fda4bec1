//! Decides whether answers that have ended are whole, and records the requests that were lost.

use crate::ends;
use crate::exchange::Exchange;
use crate::metrics::Metrics;
use crate::server::{InFlight, Server};
use crate::silence::EVENT_LIMIT;
use crate::suspects::Suspects;
use crate::suspects::archive::ArchiveSender;
use crate::view::Views;
use flamingowheel_backing::client::liveness::Trust;
use flamingowheel_policy::answers::{
    self, Content, Ending, Evidence, Framing, Judgement, ServerState,
};
use flamingowheel_policy::key::Fingerprint;
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;
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

    /// Decides whether an answer that has ended is whole, and records the loss of one that is not.
    pub async fn judge(
        &self,
        exchange: &Exchange,
        in_flight: &InFlight,
        end: &AnswerEnd<'_>,
    ) -> Evidence {
        let server = in_flight.server();
        self.metrics.record_answer(end.framing, end.ending);
        match answers::judge(end.framing, end.ending, end.content) {
            Judgement::Decided(evidence) => {
                if !evidence.is_whole() && evidence != Evidence::Deadline {
                    let error = end.error.unwrap_or(&evidence.name()).to_string();
                    self.record(Loss::new(exchange, server, end.progress, error)).await;
                }
                evidence
            }
            Judgement::Undecided(answer) => {
                let trust = Trust::after_silence(end.silence);
                let error = "answer ended with its server".to_owned();
                let loss = Loss::new(exchange, server, end.progress, error);
                let state = self.check_end(loss, trust).await;
                let has_stalled = in_flight.group().is_some() && end.silence >= EVENT_LIMIT;
                answer.decide(state, has_stalled)
            }
        }
    }

    /// Records that the connection broke while the request was at the server. Returns once it is
    /// known whether the server has ended; this goes on even if the request is given up meanwhile.
    pub async fn record(&self, loss: Loss) {
        let recorder = self.clone();
        let recording = tokio::spawn(async move {
            let was_taking_work = recorder.is_taking_work(&loss.server);
            let state = ends::find_state(&loss.server, Trust::Thorough).await;
            recorder.record_found(&loss, state, was_taking_work);
        });
        if let Err(error) = recording.await {
            tracing::error!(%error, "recording of a lost request");
        }
    }

    /// Finds out whether the server lives after an answer has ended with its connection. If it has
    /// ended, the request counts as lost. This goes on even if the request is given up meanwhile.
    async fn check_end(&self, loss: Loss, trust: Trust) -> ServerState {
        let recorder = self.clone();
        let checking = tokio::spawn(async move {
            let was_taking_work = recorder.is_taking_work(&loss.server);
            let state = ends::find_state(&loss.server, trust).await;
            if state != ServerState::Lives {
                recorder.record_found(&loss, state, was_taking_work);
            }
            state
        });
        checking.await.unwrap_or_else(|error| {
            tracing::error!(%error, "check of an answer's end");
            ServerState::Unknown
        })
    }

    fn record_found(&self, loss: &Loss, state: ServerState, was_taking_work: bool) {
        let cause = cause_name(state);
        self.metrics.record_loss(cause);
        if state == ServerState::Ended && was_taking_work {
            for (part, id) in &loss.parts {
                self.suspects.name_part(*part, id);
            }
            let refused = self.suspects.record_end(loss.server.key, &loss.subjects);
            refused.into_iter().for_each(|record| self.archive.write(record));
        }
        tracing::info!(
            request = loss.request,
            fingerprint = %loss.fingerprint,
            parts = loss.parts.iter().map(|(_, id)| id.as_str()).collect::<Vec<_>>().join(","),
            server = loss.server.listed.id,
            progress = loss.progress.name(),
            cause,
            error = loss.error,
            "request lost with its connection"
        );
    }

    /// Whether a server takes work. One that does not ends as planned, with requests in progress.
    fn is_taking_work(&self, server: &Server) -> bool {
        let view = self.views.load();
        let mut listed = view.servers_of(&server.listed.service).iter();
        listed.any(|listed| listed.key == server.key) && !server.status(Instant::now()).is_leaving
    }
}

/// How the body of an answer ended.
pub struct AnswerEnd<'a> {
    /// How the answer states the end of its body.
    pub framing: Framing,
    /// How reading it ended.
    pub ending: Ending,
    /// What its bytes show.
    pub content: Content,
    /// Time for which nothing arrived before the end, while it was waited for.
    pub silence: Duration,
    /// The error of the connection, if there was one.
    pub error: Option<&'a (dyn Display + Sync)>,
    /// How far the answer had come.
    pub progress: Progress,
}

/// How far the answer to a request had come when its connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Nothing of it had arrived.
    Sent,
    /// Its head had arrived.
    Head,
    /// A part of its body had arrived.
    Body,
}

impl Progress {
    /// Progress of an answer whose head has arrived, and perhaps a part of its body.
    pub fn of_answer(has_body: bool) -> Self {
        if has_body { Self::Body } else { Self::Head }
    }

    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Head => "head",
            Self::Body => "body",
        }
    }
}

/// A request whose connection to a server ended.
#[derive(Debug)]
pub struct Loss {
    request: String,
    fingerprint: Fingerprint,
    subjects: Vec<Fingerprint>,
    /// The subjects that are parts of its prompt, with their ids.
    parts: Vec<(Fingerprint, String)>,
    server: Arc<Server>,
    progress: Progress,
    error: String,
}

impl Loss {
    /// The loss of a request at a server.
    pub fn new(
        exchange: &Exchange,
        server: &Arc<Server>,
        progress: Progress,
        error: String,
    ) -> Self {
        Self {
            request: exchange.head.attempt_id.clone(),
            fingerprint: exchange.fingerprint,
            subjects: exchange.subjects.clone(),
            parts: exchange.parts().map(|(part, id)| (part, id.to_owned())).collect(),
            server: Arc::clone(server),
            progress,
            error,
        }
    }
}

/// Why a connection broke, as in logs and metrics.
fn cause_name(state: ServerState) -> &'static str {
    match state {
        ServerState::Ended => "server_ended",
        ServerState::Lives => "connection",
        ServerState::Unknown => "unknown",
    }
}

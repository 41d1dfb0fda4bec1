//! A caller's request, checked and resolved against its workspace.

use crate::agents::Target;
use bytes::Bytes;
use flamingowheel_config::effective::EffectiveWorkspace;
use flamingowheel_policy::key::Fingerprint;
use flamingowheel_protocol::id::RequestId;
use std::sync::Arc;
use tokio::time::Instant;

/// A request that may be sent.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its identity.
    pub id: RequestId,
    /// The workspace as it was when the request came.
    pub workspace: Arc<EffectiveWorkspace>,
    /// What must serve it.
    pub target: Target,
    /// The HTTP method at the backend server.
    pub method: String,
    /// Path and query at the backend server.
    pub path: String,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// When it came.
    pub received: Instant,
    /// When the caller gives up waiting for the answer to begin.
    pub deadline: Instant,
    /// Hash of workspace, route and body.
    pub fingerprint: Fingerprint,
}

impl Request {
    /// Stands for a request that another entry had sent, of which only the answer matters here.
    pub fn of_stream(workspace: Arc<EffectiveWorkspace>, id: RequestId, deadline: Instant) -> Self {
        Self {
            id,
            workspace,
            target: Target::Model(String::new()),
            method: String::new(),
            path: String::new(),
            content_type: None,
            body: Bytes::new(),
            idempotent: true,
            received: Instant::now(),
            deadline,
            fingerprint: Fingerprint(0),
        }
    }

    /// The name of the service or model that must serve it.
    pub fn service_name(&self) -> &str {
        match &self.target {
            Target::Model(name) | Target::Service(name) => name,
        }
    }

    /// Milliseconds until the caller gives up.
    pub fn remaining_ms(&self) -> u64 {
        self.deadline.saturating_duration_since(Instant::now()).as_millis() as u64
    }
}

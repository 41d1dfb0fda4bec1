//! A caller's request, checked and resolved against its workspace.

use crate::agents::Target;
use bytes::Bytes;
use flamingowheel_config::effective::EffectiveWorkspace;
use flamingowheel_policy::key::Fingerprint;
use flamingowheel_policy::prefix::{BlockHash, block_hashes};
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
    /// Blocks of the prompt as the engine's prefix cache counts them.
    pub prompt: Vec<BlockHash>,
}

/// Blocks of a prompt that routing looks at. What lies beyond can't change a choice by much, and
/// every block is looked up for every backend server that has those before it.
pub const MAX_PROMPT_BLOCKS: usize = 256;

/// The blocks of a completion's prompt, which is the body from its first byte on.
///
/// Engines hash blocks in ways of their own; this must agree with them in the size, which
/// [`crate::config::EntryConfig::cache_block_bytes`] gives, and in the hash. Where it does not, no
/// block is ever found and requests are routed by load alone.
///
/// ```
/// use flamingowheel_entry::request::{MAX_PROMPT_BLOCKS, prompt_blocks};
/// assert_eq!(prompt_blocks(&[7; 300], 256).len(), 1);
/// assert_eq!(prompt_blocks(&[7; 300], 1).len(), MAX_PROMPT_BLOCKS);
/// ```
pub fn prompt_blocks(body: &[u8], cache_block_bytes: usize) -> Vec<BlockHash> {
    let longest_bytes = MAX_PROMPT_BLOCKS.saturating_mul(cache_block_bytes);
    block_hashes(&body[..body.len().min(longest_bytes)], cache_block_bytes)
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
            prompt: Vec::new(),
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

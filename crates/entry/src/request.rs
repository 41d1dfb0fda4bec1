//! A caller's request after validation against its workspace.

use crate::agents::Target;
use bytes::Bytes;
use flamingowheel_config::effective::EffectiveWorkspace;
use flamingowheel_policy::key::Fingerprint;
use flamingowheel_policy::prefix::{BlockHash, block_hashes};
use flamingowheel_protocol::id::RequestId;
use std::sync::Arc;
use tokio::time::Instant;

/// A validated request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the request in events and attempts.
    pub id: RequestId,
    /// The workspace's configuration when the request was received.
    pub workspace: Arc<EffectiveWorkspace>,
    /// The model or service that the request is for.
    pub target: Target,
    /// The HTTP method to use at the backend server.
    pub method: String,
    /// Path and query to use at the backend server.
    pub path: String,
    /// Media type of the body, if the caller sent one.
    pub content_type: Option<String>,
    /// The body as received from the caller.
    pub body: Bytes,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the request was received, after its body.
    pub received: Instant,
    /// Deadline for the answer to begin.
    pub deadline: Instant,
    /// Hash of workspace, route and body.
    pub fingerprint: Fingerprint,
    /// Hashes of the prompt's blocks as in the engines' prefix caches; empty for services.
    pub prompt: Vec<BlockHash>,
}

/// Blocks of a prompt that routing considers. Later blocks hardly change the choice, and each block
/// costs a lookup for every backend server that has the blocks before it.
pub const MAX_PROMPT_BLOCKS: usize = 256;

/// The blocks of a completion's prompt, which is the body from its first byte on.
///
/// Block size ([`crate::config::EntryConfig::cache_block_bytes`]) and hash function must match those
/// of the engines. Otherwise no block is ever found and requests are routed by load alone.
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
    /// A placeholder for a request that another entry sent and whose stream continues here.
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

    /// The name of the model or service that the request is for.
    pub fn service_name(&self) -> &str {
        match &self.target {
            Target::Model(name) | Target::Service(name) => name,
        }
    }

    /// Milliseconds until the deadline; 0 after it.
    pub fn remaining_ms(&self) -> u64 {
        self.deadline.saturating_duration_since(Instant::now()).as_millis() as u64
    }
}

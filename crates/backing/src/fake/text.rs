//! Answers of fake engines: a text derived from the request's body alone, so that a test can check
//! whether a caller got the complete answer to its own request.

use bytes::Bytes;
use flamingowheel_policy::prefix::{self, BLOCK_SIZE_BYTES};
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The event that ends a complete event stream.
pub const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";
/// Bytes of the body in one block of the prefix cache.
pub const CACHE_BLOCK_BYTES: usize = BLOCK_SIZE_BYTES;

const WORDS: [&str; 16] = [
    "lamp", "relay", "cable", "panel", "road", "mile", "box", "call", "photo", "page", "desk",
    "note", "crew", "fuse", "wire", "sign",
];

/// Parameters of a request, read from its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationRequest {
    /// Number of tokens to generate.
    pub tokens: u64,
    /// Whether the answer is an event stream.
    pub stream: bool,
}

impl GenerationRequest {
    /// Reads `max_tokens` and `stream` of a JSON body; any other body is streamed.
    ///
    /// ```
    /// use flamingowheel_backing::fake::text::GenerationRequest;
    /// let body = br#"{"max_tokens": 7, "stream": true}"#;
    /// let request = GenerationRequest::from_body(body, 3);
    /// assert_eq!(request, GenerationRequest { tokens: 7, stream: true });
    /// let request = GenerationRequest::from_body(b"plain", 3);
    /// assert_eq!(request, GenerationRequest { tokens: 3, stream: true });
    /// ```
    pub fn from_body(body: &[u8], default_tokens: u64) -> Self {
        let Ok(Value::Object(fields)) = serde_json::from_slice(body) else {
            return Self { tokens: default_tokens, stream: true };
        };
        let tokens = fields.get("max_tokens").and_then(Value::as_u64).unwrap_or(default_tokens);
        let stream = fields.get("stream").and_then(Value::as_bool).unwrap_or(false);
        Self { tokens, stream }
    }
}

/// The token with this index of the answer to `body`.
pub fn token(body: &[u8], index: u64) -> String {
    let hash = xxh3_64_with_seed(body, index);
    format!("{}{:04x} ", WORDS[(hash % 16) as usize], (hash >> 16) & 0xffff)
}

/// The event that carries the token with this index.
pub fn token_event(body: &[u8], index: u64) -> Bytes {
    let chunk = json!({
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": token(body, index)}}],
    });
    Bytes::from(format!("data: {chunk}\n\n"))
}

/// All events of a complete streamed answer, including the end marker.
pub fn whole_stream(body: &[u8], default_tokens: u64) -> Vec<Bytes> {
    let tokens = GenerationRequest::from_body(body, default_tokens).tokens;
    let mut events: Vec<Bytes> = (0..tokens).map(|index| token_event(body, index)).collect();
    events.push(Bytes::from_static(DONE_EVENT));
    events
}

/// A complete answer that is not streamed.
pub fn whole_json(body: &[u8], tokens: u64) -> Bytes {
    let content: String = (0..tokens).map(|index| token(body, index)).collect();
    let answer = json!({
        "object": "chat.completion",
        "choices": [{"index": 0, "message": {"role": "assistant", "content": content}}],
    });
    Bytes::from(answer.to_string())
}

/// Hashes of the body's complete prefix blocks; each also covers all bytes before its block.
pub fn block_hashes(body: &[u8]) -> Vec<u64> {
    prefix::block_hashes(body, CACHE_BLOCK_BYTES).into_iter().map(|hash| hash.0).collect()
}

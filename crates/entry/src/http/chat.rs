//! OpenAI-style chat completions.

use crate::agents::Target;
use crate::http::answer::{BYTES_PER_TOKEN, ResponseMeta, refuse_request, respond};
use crate::http::{CHAT_PATH, RESUMABLE_HEADER, intake};
use crate::limits::Permit;
use crate::outcome::{MalformedRequest, NotRun};
use crate::request::{Request, prompt_blocks};
use crate::state::{Admission, EntryState};
use axum::body::Body;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::response::Response;
use flamingowheel_protocol::id::RequestId;
use serde::Deserialize;
use std::sync::Arc;
use tokio::time::Instant;

/// The fields of a completion request that the entry needs; the engine parses the rest.
#[derive(Deserialize)]
struct Completion {
    model: String,
    max_tokens: Option<u32>,
}

/// Tokens to expect of an answer if the request sets no maximum.
const DEFAULT_ANSWER_TOKENS: u32 = 256;

/// Handles a completion request.
pub async fn complete(
    State(state): State<Arc<EntryState>>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let in_progress = state.in_progress.enter();
    let (request, permit) = match read(&state, &headers, body).await {
        Ok(read) => read,
        Err(not_run) => return refuse_request(&state, &headers, not_run),
    };
    let admission = Admission { in_progress, permit };
    let resumable = headers.get(RESUMABLE_HEADER).is_some_and(|value| value == "yes");
    let meta = ResponseMeta { request: request.id, ticket: None, resumable };
    let (result, _) = state.dispatcher.run(request).await;
    respond(result, meta, &state, admission).await
}

async fn read(
    state: &EntryState,
    headers: &HeaderMap,
    body: Body,
) -> Result<(Request, Option<Permit>), NotRun> {
    let workspace = intake::workspace(state, headers)?;
    let deadline = intake::deadline(headers, &workspace)?;
    let body = intake::body(state, body).await?;
    let completion: Completion =
        serde_json::from_slice(&body).map_err(|_| MalformedRequest::Body)?;
    if !workspace.parameters.models.contains_key(&completion.model) {
        return Err(NotRun::UnknownModel);
    }
    let prompt_tokens = body.len() as f64 / BYTES_PER_TOKEN;
    let answer_tokens = completion.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
    let permit = state.admit(&workspace, prompt_tokens, f64::from(answer_tokens)).await?;
    let fingerprint = intake::fingerprint(state, &workspace, CHAT_PATH, &body);
    let prompt = prompt_blocks(&body, state.config.cache_block_bytes);
    let request = Request {
        id: RequestId::fresh(),
        workspace,
        target: Target::Model(completion.model),
        method: "POST".to_owned(),
        path: CHAT_PATH.to_owned(),
        content_type: Some("application/json".to_owned()),
        body,
        idempotent: true,
        received: Instant::now(),
        deadline,
        fingerprint,
        prompt,
    };
    Ok((request, permit))
}

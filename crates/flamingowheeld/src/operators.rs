//! The operators' port: every route behind the operators' token.

use axum::Router;
use axum::extract::{Request, State};
use axum::http::{StatusCode, header};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use flamingowheel_config::secret::Secret;
use sha2::{Digest, Sha256};
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// Puts the token check before all routes of `router`.
pub fn guard(router: Router, token: &Secret) -> Router {
    let wanted: Arc<[u8]> = Sha256::digest(token.expose()).to_vec().into();
    router.layer(middleware::from_fn_with_state(wanted, check))
}

async fn check(State(wanted): State<Arc<[u8]>>, request: Request, next: Next) -> Response {
    let given = request.headers().get(header::AUTHORIZATION);
    let token = given.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let matches = token.is_some_and(|token| {
        let digest = Sha256::digest(token);
        bool::from(digest.as_slice().ct_eq(&wanted))
    });
    if !matches {
        return StatusCode::UNAUTHORIZED.into_response();
    }
    next.run(request).await
}

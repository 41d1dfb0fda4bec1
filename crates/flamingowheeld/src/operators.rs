//! Authentication of the operators' HTTP routes.

use axum::Router;
use axum::extract::{Request, State};
use axum::http::{StatusCode, header};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use flamingowheel_config::secret::Secret;
use sha2::{Digest, Sha256};
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// Requires the operators' token as bearer token on all routes of `router`; other requests are
/// answered with 401.
pub fn require_token(router: Router, token: &Secret) -> Router {
    let expected: Arc<[u8]> = Sha256::digest(token.expose()).to_vec().into();
    router.layer(middleware::from_fn_with_state(expected, check_token))
}

async fn check_token(State(expected): State<Arc<[u8]>>, request: Request, next: Next) -> Response {
    let given = request.headers().get(header::AUTHORIZATION);
    let token = given.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let matches = token.is_some_and(|token| {
        let digest = Sha256::digest(token);
        bool::from(digest.as_slice().ct_eq(&expected))
    });
    if !matches {
        return StatusCode::UNAUTHORIZED.into_response();
    }
    next.run(request).await
}

//! Error answers with stable codes.

use axum::Json;
use axum::extract::rejection::{QueryRejection, StringRejection};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use flamingowheel_config::api::{ApiError, ErrorCode};
use flamingowheel_config::apply::ApplyError;
use flamingowheel_config::document::DocumentError;

/// Result of a handler.
pub(super) type Reply<T> = Result<Json<T>, Failure>;

/// An error answer, boxed since `ApiError` is large and errors are rare.
#[derive(Debug)]
pub(super) struct Failure(Box<ApiError>);

impl Failure {
    pub(super) fn new(code: ErrorCode, message: &str) -> Self {
        Self(Box::new(ApiError::new(code, message)))
    }

    pub(super) fn not_found(name: &str) -> Self {
        Self::new(ErrorCode::NotFound, &format!("`{name}` does not exist"))
    }

    /// The process stops while a change is being applied.
    pub(super) fn interrupted() -> Self {
        Self::new(ErrorCode::UnknownOutcome, "interrupted while the change was made")
    }
}

pub(super) async fn unknown_path() -> Failure {
    Failure::new(ErrorCode::NotFound, "no such path")
}

impl IntoResponse for Failure {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.0.code.status());
        (status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), Json(self.0)).into_response()
    }
}

impl From<QueryRejection> for Failure {
    fn from(rejection: QueryRejection) -> Self {
        Self::new(ErrorCode::BadRequest, &rejection.body_text())
    }
}

impl From<StringRejection> for Failure {
    fn from(rejection: StringRejection) -> Self {
        let code = match rejection.status() {
            StatusCode::PAYLOAD_TOO_LARGE => ErrorCode::TooLarge,
            _ => ErrorCode::BadRequest,
        };
        Self::new(code, &rejection.body_text())
    }
}

impl From<Vec<DocumentError>> for Failure {
    fn from(syntax: Vec<DocumentError>) -> Self {
        let too_large = syntax.iter().any(|error| matches!(error, DocumentError::TooLarge { .. }));
        let code = if too_large { ErrorCode::TooLarge } else { ErrorCode::InvalidSyntax };
        let message = match syntax.len() {
            1 => "1 error in the documents".to_owned(),
            many => format!("{many} errors in the documents"),
        };
        Self(Box::new(ApiError { syntax, ..ApiError::new(code, message) }))
    }
}

impl From<ApplyError> for Failure {
    fn from(error: ApplyError) -> Self {
        let message = error.to_string();
        let code = match &error {
            ApplyError::Invalid(_) => ErrorCode::InvalidDocuments,
            ApplyError::Conflict(_) => ErrorCode::Conflict,
            ApplyError::TooLarge(_) => ErrorCode::TooLarge,
            ApplyError::Store(_) | ApplyError::Contended | ApplyError::Voided => {
                ErrorCode::Unavailable
            }
            ApplyError::Unknown { .. } => ErrorCode::UnknownOutcome,
        };
        let mut answer = ApiError::new(code, message);
        match error {
            ApplyError::Invalid(problems) => answer.problems = problems,
            ApplyError::Conflict(conflicts) => answer.conflicts = conflicts,
            ApplyError::Unknown { id, .. } => answer.change = Some(id),
            _ => {}
        }
        Self(Box::new(answer))
    }
}

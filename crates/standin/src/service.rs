//! Serves a fake plain service. Its routes for calls, cancellation and load are shared with the
//! engine.

use crate::host::{self, Connections};
use axum::body::{Body, Bytes};
use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use flamingowheel_backing::backend::{
    BackendAnswer, BackendCall, BackendError, BackendServer, BodyPiece, Priority,
};
use flamingowheel_backing::client::backend::{PRIORITY_HEADER, REQUEST_ID_HEADER, RESUME_HEADER};
use flamingowheel_backing::fake::FakeService;
use futures_util::stream;
use http::{HeaderMap, Method, StatusCode, Uri, header};
use std::io;
use std::str::FromStr;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Serves the fake until `shutdown`. A path without a route of its own is a call to the service.
pub async fn serve(
    listener: TcpListener,
    fake: FakeService,
    connections: Connections,
    shutdown: CancellationToken,
) -> io::Result<()> {
    tokio::spawn(connections.clone().follow_availability(fake.subscribe_up()));
    let router = routes::<FakeService>().with_state(fake);
    host::serve(listener, router, connections, shutdown).await
}

/// Routes common to all kinds of backend servers.
pub(crate) fn routes<B>() -> Router<B>
where
    B: BackendServer + Clone,
{
    Router::new()
        .route("/v1/load", get(load::<B>))
        .route("/v1/cancel/{id}", post(cancel::<B>))
        .fallback(call::<B>)
}

/// Reproduces a failed call on the connection: no answer, or a body that breaks off. No error
/// status is sent, since a dead or silent process sends none.
pub(crate) async fn failure(error: BackendError) -> Response {
    match error {
        BackendError::Refused | BackendError::Silent { .. } => std::future::pending().await,
        BackendError::Lost | BackendError::Malformed => {
            let broken = stream::iter([Err::<Bytes, _>(error)]);
            Body::from_stream(broken).into_response()
        }
    }
}

async fn load<B>(State(fake): State<B>) -> Response
where
    B: BackendServer + Clone,
{
    match fake.load().await {
        Ok(report) => Json(report).into_response(),
        Err(error) => failure(error).await,
    }
}

async fn cancel<B>(State(fake): State<B>, Path(id): Path<String>) -> Response
where
    B: BackendServer + Clone,
{
    match fake.cancel(&id).await {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(error) => failure(error).await,
    }
}

async fn call<B>(
    State(fake): State<B>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response
where
    B: BackendServer + Clone,
{
    let call = BackendCall {
        id: parse_header(&headers, REQUEST_ID_HEADER),
        method,
        path: uri.path_and_query().map(ToString::to_string).unwrap_or_default(),
        content_type: header_text(&headers, header::CONTENT_TYPE.as_str()).map(str::to_owned),
        body,
        priority: Priority(parse_header(&headers, PRIORITY_HEADER)),
        resume_after_events: parse_header(&headers, RESUME_HEADER),
    };
    match fake.call(call).await {
        Ok(answer) => answer_response(answer),
        Err(error) => failure(error).await,
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn parse_header<T>(headers: &HeaderMap, name: &str) -> T
where
    T: FromStr + Default,
{
    header_text(headers, name).and_then(|text| text.parse().ok()).unwrap_or_default()
}

/// Streams the pieces of an answer. A body that ends without its end marker breaks the connection.
fn answer_response(answer: BackendAnswer) -> Response {
    let pieces = stream::unfold(Some(answer.body), |body| async move {
        let mut body = body?;
        match body.recv().await {
            Some(Ok(BodyPiece::Data(data))) => Some((Ok(data), Some(body))),
            Some(Ok(BodyPiece::End)) => None,
            Some(Err(BackendError::Silent { .. })) => std::future::pending().await,
            Some(Err(error)) => Some((Err(error), None)),
            None => Some((Err(BackendError::Lost), None)),
        }
    });
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = [(header::CONTENT_TYPE, answer.content_type)];
    (status, headers, Body::from_stream(pieces)).into_response()
}

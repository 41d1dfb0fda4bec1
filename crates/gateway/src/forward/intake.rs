//! Finds out what a caller's request asks for.

use super::Gateway;
use crate::exchange::{self, Exchange};
use crate::held::{Held, HeldBytes, HoldError};
use crate::open::OpenRequest;
use crate::refusal::Refusal;
use bytes::{Bytes, BytesMut};
use flamingowheel_fleet::configuration::Route;
use flamingowheel_platform::headers::RequestHead;
use flamingowheel_policy::priority::Rank;
use http::Request;
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;

/// Deadline of requests whose callers give none, in milliseconds after arrival.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Time limit for receiving a caller's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

impl Gateway {
    /// Finds the route, workspace and service of a request, and reads its body.
    pub(super) async fn admit(
        &self,
        request: Request<Incoming>,
        head: RequestHead,
        open: &Arc<OpenRequest>,
    ) -> Result<Exchange, Refusal> {
        let (parts, body) = request.into_parts();
        let view = self.view();
        let Some(configuration) = &view.configuration else {
            return Err(Refusal::no_configuration(self.started_at.elapsed(), rand::random()));
        };
        let host = parts.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
        let host = host.map_or("", |host| host.split(':').next().unwrap_or(host));
        let Some(route) = configuration.route(host, parts.uri.path()) else {
            return Err(Refusal::NoRoute);
        };
        open.set_route(&route.name);
        let workspace = match &configuration.workspaces {
            Some(workspaces) => head.api_key.as_ref().and_then(|key| workspaces.get(key)),
            None => None,
        };
        let is_open = route.is_public || configuration.workspaces.is_none();
        if workspace.is_none() && !is_open {
            return Err(Refusal::UnknownKey);
        }
        let Some(service) = choose_service(route) else {
            return Err(Refusal::NoRoute);
        };
        let max_body_bytes = configuration.limits.max_body_bytes;
        let body = read_body(body, max_body_bytes, &self.held).await?;
        let fingerprint = exchange::fingerprint(
            workspace.map(Arc::as_ref),
            &parts.method,
            host,
            &parts.uri,
            &body,
        );
        open.admit(exchange::kind(route), fingerprint);
        let subjects = exchange::subjects(fingerprint, &service, &head.shared_parts);
        let priority = workspace.and_then(|workspace| workspace.priority);
        let rank = Rank::new(priority, route.priority);
        let level = view.levels.get(&service).and_then(|levels| levels.level(rank));
        let wait_ms = head.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
        let wait_ms = if route.timeout_ms > 0 { wait_ms.min(route.timeout_ms) } else { wait_ms };
        Ok(Exchange {
            arrived: open.arrived,
            deadline: open.arrived + Duration::from_millis(wait_ms),
            version: configuration.version,
            route: Arc::clone(route),
            service,
            workspace: workspace.cloned(),
            rank,
            level,
            head,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            fingerprint,
            subjects,
            open: Arc::clone(open),
        })
    }
}

fn choose_service(route: &Route) -> Option<String> {
    let total: u32 = route.splits.iter().map(|split| split.weight).sum();
    if total == 0 {
        return route.splits.first().map(|split| split.service.clone());
    }
    let mut drawn = rand::random_range(0..total);
    for split in &route.splits {
        if drawn < split.weight {
            return Some(split.service.clone());
        }
        drawn -= split.weight;
    }
    None
}

async fn read_body(
    body: Incoming,
    max_body_bytes: usize,
    held: &Arc<Held>,
) -> Result<Bytes, Refusal> {
    let declared = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
    let declared = declared.filter(|&bytes| bytes <= max_body_bytes);
    let mut kept = held.try_hold(declared.unwrap_or(0)).map_err(refusal)?;
    let reading = collect(Limited::new(body, max_body_bytes), declared, &mut kept);
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(bytes)) => Ok(kept.attach(bytes)),
        Ok(Err(refusal)) => Err(refusal),
        Err(_) => Err(Refusal::BodyLost),
    }
}

/// Reads a body to its end. What goes beyond the declared length is held as it arrives.
async fn collect(
    mut body: Limited<Incoming>,
    declared: Option<usize>,
    kept: &mut HeldBytes,
) -> Result<Bytes, Refusal> {
    let mut collected = BytesMut::with_capacity(declared.unwrap_or(0));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            if error.is::<LengthLimitError>() { Refusal::BodyTooLarge } else { Refusal::BodyLost }
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if declared.is_none() {
            kept.try_grow(data.len()).map_err(refusal)?;
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

fn refusal(error: HoldError) -> Refusal {
    match error {
        HoldError::TooLarge => Refusal::BodyTooLarge,
        HoldError::Full => Refusal::memory_full(rand::random()),
    }
}

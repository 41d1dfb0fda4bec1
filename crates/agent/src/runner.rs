//! Carries one execution's answer from the backend server into its buffer.

use crate::control::Command;
use crate::execution::{Ending, Execution};
use flamingowheel_backing::backend::{
    BackendAnswer, BackendCall, BackendError, BackendServer, BodyPiece, Priority,
};
use flamingowheel_protocol::id::ExecutionKey;
use flamingowheel_protocol::message::{Dispatch, Failure};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// How often one execution's stream is gone on with over a fresh connection.
const MAX_RESUMES: usize = 2;

/// How long the backend server may take until a stream goes on.
const RESUME_LIMIT: Duration = Duration::from_secs(3);

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The whole answer is in the buffer.
    Complete,
    /// It may have run; there is no whole answer.
    Failed(Failure),
    /// The backend server refused the connection, so it did not start. The control task ends the
    /// execution, because it must make sure first that no late copy runs.
    NotStarted,
}

/// Runs a dispatch to its end and tells the control task.
pub async fn run(
    backend: Arc<dyn BackendServer>,
    dispatch: Box<Dispatch>,
    execution: Arc<Execution>,
    commands: mpsc::Sender<Command>,
) {
    let key = dispatch.key;
    let id = call_id(&dispatch);
    let stop = execution.stop_token().clone();
    let end = tokio::select! {
        end = carry(backend.as_ref(), &id, &dispatch, &execution) => end,
        () = stop.cancelled() => {
            let _ = backend.cancel(&id).await;
            RunEnd::Failed(Failure::Cancelled)
        }
    };
    match end {
        RunEnd::Complete => execution.finish(Ending::Complete),
        RunEnd::Failed(failure) => execution.finish(Ending::Failed(failure)),
        RunEnd::NotStarted => {}
    }
    let _ = commands.send(Command::Ended { key, end }).await;
}

/// Carries the answer. A stream that goes silent is gone on with over a fresh connection, from the
/// first event that is missing, if the backend server can do that.
///
/// One that breaks off is not: the backend server may have died of this very request, and sending
/// it again at once would kill the next process too.
async fn carry(
    backend: &dyn BackendServer,
    id: &str,
    dispatch: &Dispatch,
    execution: &Execution,
) -> RunEnd {
    let Some(call) = backend_call(id, dispatch) else {
        return RunEnd::Failed(Failure::Malformed);
    };
    let mut end = match backend.call(call.clone()).await {
        Ok(answer) => pour(answer, execution).await,
        Err(error) if error.proves_not_started() => return RunEnd::NotStarted,
        Err(error) => RunEnd::Failed(failure(&error)),
    };
    for _ in 0..MAX_RESUMES {
        if end != RunEnd::Failed(Failure::BackendSilent) || !execution.may_resume() {
            break;
        }
        let rest = BackendCall { resume_after_events: execution.chunk_count(), ..call.clone() };
        // A backend server that is frozen as a whole answers no call; the caller must hear of it.
        end = match timeout(RESUME_LIMIT, backend.call(rest)).await {
            Ok(Ok(answer)) => pour(answer, execution).await,
            Ok(Err(_)) | Err(_) => break,
        };
    }
    end
}

fn backend_call(id: &str, dispatch: &Dispatch) -> Option<BackendCall> {
    Some(BackendCall {
        id: id.to_owned(),
        method: http::Method::from_bytes(dispatch.method.as_bytes()).ok()?,
        path: dispatch.path.clone(),
        content_type: dispatch.content_type.clone(),
        body: dispatch.body.clone(),
        // Engines take the lower number first.
        priority: Priority(u8::MAX - dispatch.priority),
        resume_after_events: dispatch.resume_after_chunks,
    })
}

async fn pour(mut answer: BackendAnswer, execution: &Execution) -> RunEnd {
    execution.set_head(answer.status, answer.content_type);
    loop {
        match answer.body.recv().await {
            Some(Ok(BodyPiece::Data(data))) => {
                if let Err(failure) = execution.push(data).await {
                    return RunEnd::Failed(failure);
                }
            }
            Some(Ok(BodyPiece::End)) => return RunEnd::Complete,
            Some(Err(error)) => return RunEnd::Failed(failure(&error)),
            None => return RunEnd::Failed(Failure::BackendLost),
        }
    }
}

/// The same for all attempts of a request, so that an engine can resume what an earlier agent
/// process had begun.
fn call_id(dispatch: &Dispatch) -> String {
    match dispatch.key {
        ExecutionKey::Attempt(attempt) => attempt.request.0.to_string(),
        ExecutionKey::Ticket { number, .. } => number.to_string(),
    }
}

fn failure(error: &BackendError) -> Failure {
    match error {
        BackendError::Refused | BackendError::Lost => Failure::BackendLost,
        BackendError::Silent { .. } => Failure::BackendSilent,
        BackendError::Malformed => Failure::Malformed,
    }
}

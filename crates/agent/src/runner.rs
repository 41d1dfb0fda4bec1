//! Runs one execution at the backend server and copies the answer into its buffer.

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

/// Upper bound on the times that the stream of one execution is resumed over a new connection.
const MAX_RESUMES: usize = 2;

/// Timeout for the backend server to accept a call that resumes a stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The complete answer is in the buffer.
    Complete,
    /// The request may have run; there is no complete answer.
    Failed(Failure),
    /// The backend server refused the connection, so the request did not start. The control task
    /// ends the execution, because it must first make sure that no late copy runs.
    NotStarted,
}

/// Runs a dispatch to its end and notifies the control task.
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
        end = call_with_resume(backend.as_ref(), &id, &dispatch, &execution) => end,
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

/// Calls the backend server and copies the answer. A stream that goes silent is resumed over a new
/// connection, from the first missing event, if the backend server supports that.
///
/// A stream whose connection breaks is not resumed: the backend server may have crashed because of
/// this request, and sending it again at once could crash the next process too.
async fn call_with_resume(
    backend: &dyn BackendServer,
    id: &str,
    dispatch: &Dispatch,
    execution: &Execution,
) -> RunEnd {
    let Some(call) = backend_call(id, dispatch) else {
        return RunEnd::Failed(Failure::Malformed);
    };
    let mut end = match backend.call(call.clone()).await {
        Ok(answer) => copy_answer(answer, execution).await,
        Err(error) if error.proves_not_started() => return RunEnd::NotStarted,
        Err(error) => RunEnd::Failed(failure(&error)),
    };
    for _ in 0..MAX_RESUMES {
        if end != RunEnd::Failed(Failure::BackendSilent) || !execution.may_resume() {
            break;
        }
        let resume_call =
            BackendCall { resume_after_events: execution.chunk_count(), ..call.clone() };
        // A backend server that is frozen answers no call; the request must fail nonetheless.
        end = match timeout(RESUME_TIMEOUT, backend.call(resume_call)).await {
            Ok(Ok(answer)) => copy_answer(answer, execution).await,
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
        // Engines run lower numbers first.
        priority: Priority(u8::MAX - dispatch.priority),
        resume_after_events: dispatch.resume_after_chunks,
    })
}

async fn copy_answer(mut answer: BackendAnswer, execution: &Execution) -> RunEnd {
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

/// The id is the same for all attempts of a request, so that an engine can resume one that an
/// earlier agent process began.
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

//! Carries one execution's answer from the backend server into its buffer.

use crate::control::Command;
use crate::execution::{Ending, Execution};
use flamingowheel_platform::backend::{
    BackendAnswer, BackendCall, BackendError, BackendServer, BodyPiece, Priority,
};
use flamingowheel_protocol::id::ExecutionKey;
use flamingowheel_protocol::message::{Dispatch, Failure};
use std::sync::Arc;
use tokio::sync::mpsc;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The whole answer is in the buffer.
    Whole,
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
        RunEnd::Whole => execution.finish(Ending::Whole),
        RunEnd::Failed(failure) => execution.finish(Ending::Failed(failure)),
        RunEnd::NotStarted => {}
    }
    let _ = commands.send(Command::Ended { key, end }).await;
}

async fn carry(
    backend: &dyn BackendServer,
    id: &str,
    dispatch: &Dispatch,
    execution: &Execution,
) -> RunEnd {
    let Ok(method) = http::Method::from_bytes(dispatch.method.as_bytes()) else {
        return RunEnd::Failed(Failure::Malformed);
    };
    let call = BackendCall {
        id: id.to_owned(),
        method,
        path: dispatch.path.clone(),
        content_type: dispatch.content_type.clone(),
        body: dispatch.body.clone(),
        // Engines take the lower number first.
        priority: Priority(u8::MAX - dispatch.priority),
        resume_after_events: dispatch.resume_after_chunks,
    };
    match backend.call(call).await {
        Ok(answer) => pour(answer, execution).await,
        Err(error) if error.proves_not_started() => RunEnd::NotStarted,
        Err(error) => RunEnd::Failed(failure(&error)),
    }
}

async fn pour(mut answer: BackendAnswer, execution: &Execution) -> RunEnd {
    execution.begin(answer.status, answer.content_type);
    loop {
        match answer.body.recv().await {
            Some(Ok(BodyPiece::Data(data))) => {
                if let Err(failure) = execution.push(data).await {
                    return RunEnd::Failed(failure);
                }
            }
            Some(Ok(BodyPiece::End)) => return RunEnd::Whole,
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

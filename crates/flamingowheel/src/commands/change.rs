//! `change`: shows the outcome of a change.

use flamingowheel_config::api::{ChangeAnswer, ChangeState};

use super::render;
use crate::client::Client;
use crate::config::ChangeRef;
use crate::error::Error;
use crate::exit::ExitCode;
use crate::{Output, routes};

/// Shows whether a change was accepted, if that is known.
pub async fn run(client: &Client, change: ChangeRef, json: bool) -> Result<Output, Error> {
    let answer: ChangeAnswer = client.get(&format!("{}/{change}", routes::CHANGES)).await?;
    let exit = match answer.state {
        ChangeState::Unknown => ExitCode::UnknownOutcome,
        ChangeState::Accepted { .. } | ChangeState::NotAccepted => ExitCode::Success,
    };
    Ok(Output { text: render(&answer, json, text)?, exit })
}

fn text(answer: &ChangeAnswer) -> String {
    match answer.state {
        ChangeState::Accepted { revision } => format!("accepted as revision {}\n", revision.0),
        ChangeState::NotAccepted => "not accepted, and never will be\n".to_owned(),
        ChangeState::Unknown => "not yet known; ask again\n".to_owned(),
    }
}

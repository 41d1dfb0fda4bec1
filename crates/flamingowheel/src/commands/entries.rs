//! `entries`: asks the address question.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{render, row, table};
use crate::client::{Client, ClientError};
use crate::error::Error;
use crate::{Output, routes};

#[derive(Serialize)]
struct Question<'a> {
    workspace: &'a str,
}

#[derive(Deserialize, Serialize)]
struct Answer {
    addresses: Vec<Address>,
    keep_s: u64,
}

#[derive(Deserialize, Serialize)]
struct Address {
    address: SocketAddr,
    data_centre: String,
}

/// Asks as a caller of the workspace would.
pub async fn run(client: &Client, workspace: &str, json: bool) -> Result<Output, Error> {
    let query = super::query(&Question { workspace })?;
    let asked = client.get::<Answer>(&format!("{}?{query}", routes::ENTRIES)).await;
    let answer = asked.map_err(|error| match error {
        ClientError::WrongToken { address } => {
            ClientError::WrongWorkspace { address, workspace: workspace.to_owned() }
        }
        error => error,
    })?;
    Ok(Output::success(render(&answer, json, text)?))
}

fn text(answer: &Answer) -> String {
    let mut rows = vec![row(["ADDRESS", "DATA CENTRE"])];
    let addresses = answer.addresses.iter();
    rows.extend(addresses.map(|one| row([&one.address.to_string(), &one.data_centre])));
    format!("{}callers may keep this for {} s\n", table(&rows), answer.keep_s)
}

//! `entries`: shows the entry addresses for callers of a workspace.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{render, row, table};
use crate::client::{Client, ClientError};
use crate::error::Error;
use crate::{Output, routes};

#[derive(Serialize)]
struct EntriesQuery<'a> {
    workspace: &'a str,
}

#[derive(Deserialize, Serialize)]
struct EntriesAnswer {
    addresses: Vec<EntryAddress>,
    keep_s: u64,
}

#[derive(Deserialize, Serialize)]
struct EntryAddress {
    address: SocketAddr,
    data_centre: String,
}

/// Sends the request by which callers of the workspace look up addresses.
pub async fn run(client: &Client, workspace: &str, json: bool) -> Result<Output, Error> {
    let query = super::query(&EntriesQuery { workspace })?;
    let result = client.get::<EntriesAnswer>(&format!("{}?{query}", routes::ENTRIES)).await;
    let answer = result.map_err(|error| match error {
        ClientError::WrongToken { address } => {
            ClientError::WrongWorkspace { address, workspace: workspace.to_owned() }
        }
        error => error,
    })?;
    Ok(Output::success(render(&answer, json, text)?))
}

fn text(answer: &EntriesAnswer) -> String {
    let mut rows = vec![row(["ADDRESS", "DATA CENTRE"])];
    let addresses = answer.addresses.iter();
    rows.extend(addresses.map(|entry| row([&entry.address.to_string(), &entry.data_centre])));
    format!("{}callers may keep this for {} s\n", table(&rows), answer.keep_s)
}

//! The subcommands, one module each.

pub mod apply;
pub mod change;
pub mod diff;
pub mod entries;
pub mod get;
pub mod history;
pub mod status;
pub mod timeline;

use std::fmt::Write;

use serde::Serialize;

use crate::Output;
use crate::client::Client;
use crate::config::{Command, Config};
use crate::error::{Error, RenderError};

/// Runs the configured subcommand.
pub async fn run(config: &Config) -> Result<Output, Error> {
    let client = Client::new(config.entries.clone(), config.token.clone(), config.timeout);
    match &config.command {
        Command::Apply(change) => apply::run(&client, change, config.json).await,
        Command::GetAll(kind) => get::all(&client, *kind, config.json).await,
        Command::GetOne(kind, name) => get::one(&client, *kind, name, config.json).await,
        Command::Diff { documents } => diff::run(&client, documents, config.json).await,
        Command::History => history::run(&client, config.json).await,
        Command::Change(id) => change::run(&client, *id, config.json).await,
        Command::Status => status::run(&client, config.json).await,
        Command::Timeline(query) => timeline::run(&client, query, config.json).await,
        Command::Entries { workspace } => entries::run(&client, workspace, config.json).await,
    }
}

/// Formats an answer as JSON, or with `text`.
fn render<A, T>(answer: &A, json: bool, text: T) -> Result<String, Error>
where
    A: Serialize,
    T: FnOnce(&A) -> String,
{
    if !json {
        return Ok(text(answer));
    }
    let mut formatted = serde_json::to_string_pretty(answer).map_err(RenderError::from)?;
    formatted.push('\n');
    Ok(formatted)
}

/// Encodes a query string.
fn query<Q>(query: &Q) -> Result<String, Error>
where
    Q: Serialize,
{
    Ok(serde_urlencoded::to_string(query).map_err(RenderError::from)?)
}

/// Formats rows in columns, each as wide as its widest cell. The first row is the header.
fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count()).max()
    };
    let widths: Vec<usize> = (0..columns).map(|column| width(column).unwrap_or(0)).collect();
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            let _ = write!(line, "{cell:width$}  ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Builds a row of [`table`].
fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.into_iter().map(str::to_owned).collect()
}

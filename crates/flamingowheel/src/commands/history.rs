//! `history`: shows the last changes.

use std::time::{Duration, UNIX_EPOCH};

use flamingowheel_config::api::HistoryAnswer;

use super::{render, row, table};
use crate::client::Client;
use crate::error::Error;
use crate::{Output, routes};

/// Last millisecond of the year 9999; later times can't be formatted.
const LAST_UTC_MS: u64 = 253_402_300_799_999;

/// Lists the last changes.
pub async fn run(client: &Client, json: bool) -> Result<Output, Error> {
    let answer: HistoryAnswer = client.get(routes::HISTORY).await?;
    Ok(Output::success(render(&answer, json, text)?))
}

fn text(answer: &HistoryAnswer) -> String {
    let mut rows = vec![row(["REVISION", "TIME", "OPERATOR", "EDITS", "COMMENT"])];
    rows.extend(answer.changes.iter().map(|change| {
        let origin = &change.origin;
        let revision = change.id.revision.0.to_string();
        let edits = change.edits.join(", ");
        row([&revision, &utc(origin.at_unix_ms), &origin.operator, &edits, &origin.comment])
    }));
    table(&rows)
}

fn utc(at_unix_ms: u64) -> String {
    let time = UNIX_EPOCH + Duration::from_millis(at_unix_ms.min(LAST_UTC_MS));
    humantime::format_rfc3339_seconds(time).to_string()
}

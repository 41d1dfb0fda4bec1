//! Checks that the operators' pages list the names of all events and metrics, and that the number
//! of metric series is bounded.

use std::collections::BTreeSet;

use flamingowheel_observe::event::Event;
use flamingowheel_observe::metrics::Metrics;

const TIMELINE: &str = include_str!("../../../docs/operations/timeline.md");
const ALARMS: &str = include_str!("../../../docs/operations/alarms.md");
const TIMELINE_SNAPSHOT: &str =
    include_str!("snapshots/timeline__to_text_agent_killed_shows_all_related_events.snap");

/// A label per workspace or request would exceed this immediately.
const MAX_SERIES: usize = 150;

/// Names in back quotes that open a row of a table.
fn table_names(page: &str) -> BTreeSet<String> {
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split_once('`')).map(|(name, _)| name.to_owned()).collect()
}

/// Names of all events, from the error message of the decoder for an unknown one.
fn event_names() -> BTreeSet<String> {
    let unknown = serde_json::from_str::<Event>(r#"{"event":"?"}"#).expect_err("no such event");
    let text = unknown.to_string();
    let (_, names) = text.split_once("expected one of ").expect("a list of names");
    names.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

fn metric_names() -> BTreeSet<String> {
    let text = Metrics::new().and_then(|metrics| metrics.encode()).expect("metrics encode");
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    types.filter_map(|line| line.split_once(' ')).map(|(name, _)| name.to_owned()).collect()
}

#[test]
fn timeline_page_lists_every_event() {
    let names = event_names();
    assert!(names.len() > 40, "{names:?}");
    assert_eq!(table_names(TIMELINE), names);
}

#[test]
fn timeline_page_shows_what_is_printed() {
    let (_, printed) = TIMELINE_SNAPSHOT.rsplit_once("---\n").expect("a snapshot");
    assert!(TIMELINE.contains(printed.trim()), "{printed}");
}

#[test]
fn alarms_page_lists_every_metric() {
    let names = metric_names();
    assert!(names.len() > 15, "{names:?}");
    assert_eq!(table_names(ALARMS), names);
}

// An alarm on a metric that no longer exists never fires, and nothing reports that.
#[test]
fn alarms_page_names_no_other_metric() {
    let names = metric_names();
    let words = ALARMS.split(|c: char| !c.is_ascii_alphanumeric() && c != '_');
    for word in words.filter(|word| word.starts_with("flamingowheel_")) {
        let family = ["_bucket", "_count", "_sum"]
            .iter()
            .find_map(|suffix| word.strip_suffix(suffix))
            .unwrap_or(word);
        assert!(names.contains(family) || names.contains(word), "{word}");
    }
}

#[test]
fn metrics_series_are_bounded() {
    let text = Metrics::new().and_then(|metrics| metrics.encode()).expect("metrics encode");
    let series = text.lines().filter(|line| !line.starts_with('#')).count();
    assert!(series < MAX_SERIES, "{series} series");
}

//! Merges the events of many processes into one timeline.

use std::collections::HashSet;
use std::fmt::Write;
use std::time::{Duration, UNIX_EPOCH};

use serde::Serialize;

use crate::api::{EventQuery, EventsAnswer, ProcessInfo};
use crate::clock::{DEFAULT_MAX_DRIFT_MS, Stamp};
use crate::event::{Event, Name, StampedEvent, Subject};
use crate::text::{count_with_noun, short_id};

/// Most characters in a line of the text form.
pub const COLUMNS: usize = 100;

const TIME_COLUMNS: usize = 10;
const MAX_PROCESS_COLUMNS: usize = 24;
/// The last millisecond of the year 9999.
const LAST_UTC_MS: u64 = 253_402_300_799_999;
const GAP: &str = "  ";
/// Header line of a timeline without events.
const NO_EVENTS: &str = "NOTHING FOUND: either the name is wrong, or it belongs to another fleet, or it \
     is older than what these processes keep (then see their logs)";

/// A process whose events are missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnreachableProcess {
    /// Name of the process, or its address if the name isn't known.
    pub process: Name,
    /// Why its events could not be read.
    pub reason: Name,
}

/// A process whose answer does not contain all events of the queried time span.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct IncompleteAnswer {
    /// Name of the process, unique in the fleet.
    pub process: Name,
    /// Stamp of the oldest event that it still keeps; absent if it keeps none.
    pub oldest: Option<Stamp>,
    /// Events overwritten since its start; 0 if none of them can belong to the time span.
    pub overwritten: u64,
    /// Matching events omitted because of the query's limit.
    pub left_out: u64,
}

/// A process whose clock differs from the others' by more than the default drift bound.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ClockOffset {
    /// Name of the process, unique in the fleet.
    pub process: Name,
    /// How far it is ahead of the median of all processes; negative if behind.
    pub ahead_ms: i64,
}

/// Events of many processes in causal order, and what is missing from them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Timeline {
    /// The query that the processes answered.
    pub query: EventQuery,
    /// Processes that answered.
    pub processes: Vec<ProcessInfo>,
    /// Processes whose events could not be read.
    pub unreachable: Vec<UnreachableProcess>,
    /// Processes whose answers are incomplete.
    pub incomplete: Vec<IncompleteAnswer>,
    /// Processes whose events may be out of order because their clocks are wrong.
    pub clocks_off: Vec<ClockOffset>,
    /// The events, causes before effects.
    pub events: Vec<StampedEvent>,
}

/// Merges processes' answers to `query`.
///
/// ```
/// use flamingowheel_observe::api::EventQuery;
/// use flamingowheel_observe::event::Event;
/// use flamingowheel_observe::recorder::Recorder;
/// use flamingowheel_observe::timeline::merge;
///
/// let recorder = Recorder::for_tests("entry-1");
/// recorder.record(Event::LeaseLost { lease: "runners-a".into() });
/// let query = EventQuery::default();
/// let timeline = merge(query.clone(), vec![recorder.answer(&query)], vec![]);
/// assert!(timeline.to_text().contains("lease runners-a lost"));
/// ```
pub fn merge(
    query: EventQuery,
    mut answers: Vec<EventsAnswer>,
    mut unreachable: Vec<UnreachableProcess>,
) -> Timeline {
    answers.sort_by(|a, b| a.process.name.cmp(&b.process.name));
    let incomplete = answers.iter().filter_map(|answer| incomplete(&query, answer)).collect();
    let clocks_off = find_clock_offsets(&answers);
    let events = merge_events(&answers);
    let processes: Vec<ProcessInfo> = answers.into_iter().map(|answer| answer.process).collect();
    unreachable.extend(unlisted_backend_servers(&events, &processes, &unreachable));
    unreachable.sort_by(|a, b| a.process.cmp(&b.process));
    Timeline { query, processes, unreachable, incomplete, clocks_off, events }
}

fn merge_events(answers: &[EventsAnswer]) -> Vec<StampedEvent> {
    let mut events: Vec<StampedEvent> = answers
        .iter()
        .flat_map(|answer| &answer.events)
        .map(|event| StampedEvent::clone(event))
        .collect();
    events.sort_by(|a, b| a.order_key().cmp(&b.order_key()));
    // A process with two addresses may have been queried twice.
    events.dedup_by(|a, b| a.order_key() == b.order_key());
    events
}

/// Backend servers that were sent attempts and are in neither list.
///
/// A process that is gone is removed from the list of processes after a while. Its events are
/// missing nevertheless, and a timeline that doesn't say so would look complete.
fn unlisted_backend_servers(
    events: &[StampedEvent],
    processes: &[ProcessInfo],
    unreachable: &[UnreachableProcess],
) -> Vec<UnreachableProcess> {
    let listed = processes.iter().map(|process| &process.name);
    let listed: HashSet<&Name> =
        listed.chain(unreachable.iter().map(|process| &process.process)).collect();
    let mut missing: Vec<&Name> = events
        .iter()
        .filter_map(|event| match &event.event {
            Event::Dispatched { backend_server, .. } => Some(backend_server),
            _ => None,
        })
        .filter(|name| !listed.contains(name))
        .collect();
    missing.sort();
    missing.dedup();
    let reason: Name = "got attempts, and is no longer in the list of processes".into();
    let to_unreachable =
        |name: &Name| UnreachableProcess { process: name.clone(), reason: reason.clone() };
    missing.into_iter().map(to_unreachable).collect()
}

fn incomplete(query: &EventQuery, answer: &EventsAnswer) -> Option<IncompleteAnswer> {
    let covers = |since_ms| answer.oldest.is_some_and(|oldest| oldest.wall_ms() < since_ms);
    let covered = query.since_ms.is_some_and(covers);
    let overwritten = if covered { 0 } else { answer.overwritten };
    let left_out = answer.left_out;
    (overwritten > 0 || left_out > 0).then(|| IncompleteAnswer {
        process: answer.process.name.clone(),
        oldest: answer.oldest,
        overwritten,
        left_out,
    })
}

/// Compares the clock readings in the answers with their median. The local clock is no reference,
/// since it may be wrong itself.
fn find_clock_offsets(answers: &[EventsAnswer]) -> Vec<ClockOffset> {
    let mut readings_ms: Vec<u64> = answers.iter().map(|answer| answer.now.wall_ms()).collect();
    readings_ms.sort_unstable();
    let Some(median_ms) = readings_ms.get(readings_ms.len() / 2).copied() else {
        return Vec::new();
    };
    answers
        .iter()
        .map(|answer| ClockOffset {
            process: answer.process.name.clone(),
            ahead_ms: answer.now.wall_ms().cast_signed() - median_ms.cast_signed(),
        })
        .filter(|clock| clock.ahead_ms.unsigned_abs() > DEFAULT_MAX_DRIFT_MS)
        .collect()
}

impl IncompleteAnswer {
    fn lines(&self) -> Vec<String> {
        let name = &self.process;
        let mut lines = Vec::new();
        if self.overwritten > 0 {
            let oldest = self.oldest.map_or_else(|| "none".into(), utc);
            let overwritten = self.overwritten;
            lines.push(format!(
                "INCOMPLETE {name}: keeps events from {oldest} on, {overwritten} older ones are \
                 overwritten"
            ));
        }
        if self.left_out > 0 {
            let left_out = count_with_noun(self.left_out, "older event");
            lines.push(format!("INCOMPLETE {name}: {left_out} left out, ask for a shorter time"));
        }
        lines
    }
}

impl Timeline {
    /// The timeline as text, at most [`COLUMNS`] wide.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for line in self.header() {
            push_wrapped(&mut text, "", "    ", &line);
        }
        let width = self.process_width();
        if !self.events.is_empty() {
            let head = format!("{:>TIME_COLUMNS$}{GAP}{:width$}{GAP}", "seconds", "process");
            push_wrapped(&mut text, &format!("\n{head}"), "", "event");
        }
        let shared = self.shared_subject();
        let start_ms = self.start().map_or(0, Stamp::wall_ms);
        for event in &self.events {
            let time = format!("+{}", seconds(event.stamp.wall_ms() - start_ms));
            let process = shorten(&event.process, width);
            let first = format!("{time:>TIME_COLUMNS$}{GAP}{process:width$}{GAP}");
            let indent = " ".repeat(first.chars().count() + 2);
            push_wrapped(&mut text, &first, &indent, &sentence(event, &shared));
        }
        text
    }

    fn start(&self) -> Option<Stamp> {
        self.events.first().map(|event| event.stamp)
    }

    fn header(&self) -> Vec<String> {
        let mut lines = vec![self.title()];
        lines.extend(self.start().map(|start| format!("begins {}", utc(start))));
        if self.events.is_empty() {
            lines.push(NO_EVENTS.to_owned());
        }
        for process in &self.unreachable {
            lines.push(format!("NOT REACHED {}: {}", process.process, process.reason));
        }
        lines.extend(self.incomplete.iter().flat_map(IncompleteAnswer::lines));
        for clock in &self.clocks_off {
            lines.push(format!(
                "CLOCK OFF {}: {} ms {} the others, its events may stand in the wrong place",
                clock.process,
                clock.ahead_ms.unsigned_abs(),
                if clock.ahead_ms > 0 { "ahead of" } else { "behind" },
            ));
        }
        lines
    }

    fn title(&self) -> String {
        let mut title = format!(
            "{} from {}",
            count_with_noun(self.events.len() as u64, "event"),
            count_with_noun(self.processes.len() as u64, "process")
        );
        let shared = self.shared_subject();
        if let Some(request) = &shared.request {
            let _ = write!(title, ", request {request}");
        }
        if let Some(workspace) = &shared.workspace {
            let _ = write!(title, ", workspace {workspace}");
        }
        if let Some(group) = &shared.group {
            let _ = write!(title, ", group {group}");
        }
        if let Some(since_ms) = self.query.since_ms {
            let _ = write!(title, ", since {}", utc(Stamp::new(since_ms, 0)));
        }
        title
    }

    /// The subject of the query, completed by what all events have in common.
    fn shared_subject(&self) -> Subject {
        let query = &self.query;
        Subject {
            request: query.request.or_else(|| self.common(|subject| subject.request)),
            workspace: query
                .workspace
                .clone()
                .or_else(|| self.common(|subject| subject.workspace.clone())),
            group: query.group.clone().or_else(|| self.common(|subject| subject.group.clone())),
        }
    }

    fn common<P, F>(&self, part: F) -> Option<P>
    where
        P: PartialEq,
        F: Fn(&Subject) -> Option<P>,
    {
        // In the timeline of one request only its own events count, not those that explain it.
        let of_request = self.query.request.is_some();
        let relevant = self.events.iter().filter(|e| !of_request || e.subject.request.is_some());
        let mut parts = relevant.map(|event| part(&event.subject));
        let first = parts.next()??;
        parts.all(|other| other.as_ref() == Some(&first)).then_some(first)
    }

    fn process_width(&self) -> usize {
        let names = self.events.iter().map(|event| event.process.chars().count());
        names.max().unwrap_or(0).clamp("process".len(), MAX_PROCESS_COLUMNS)
    }
}

fn sentence(event: &StampedEvent, shared: &Subject) -> String {
    let mut sentence = event.event.to_string();
    let parts = differing_parts(event, shared);
    if !parts.is_empty() {
        let _ = write!(sentence, " [{}]", parts.join(", "));
    }
    sentence
}

/// The parts of an event's subject that the title doesn't contain.
fn differing_parts(event: &StampedEvent, shared: &Subject) -> Vec<String> {
    let subject = &event.subject;
    let mut parts = Vec::new();
    if let (Some(request), None) = (&subject.request, &shared.request) {
        // The full id appears once, so that it can be used in a query; later it is shortened.
        parts.push(match event.event {
            Event::RequestAccepted { .. } => format!("request {request}"),
            _ => format!("request ..{}", short_id(request)),
        });
    }
    if let (Some(workspace), None) = (&subject.workspace, &shared.workspace) {
        parts.push(format!("workspace {workspace}"));
    }
    if let (Some(group), None) = (&subject.group, &shared.group) {
        parts.push(format!("group {group}"));
    }
    parts
}

/// Appends `first` and the sentence, wrapped; further lines begin with `indent`.
fn push_wrapped(text: &mut String, first: &str, indent: &str, sentence: &str) {
    let mut line = first.to_owned();
    let mut used = first.trim_start_matches('\n').chars().count();
    let mut begun = false;
    for word in split_words(sentence, COLUMNS - used.max(indent.len())) {
        let width = word.chars().count();
        if begun && used + 1 + width > COLUMNS {
            text.push_str(line.trim_end());
            text.push('\n');
            line = indent.to_owned();
            used = indent.len();
        } else if begun {
            line.push(' ');
            used += 1;
        }
        line.push_str(&word);
        used += width;
        begun = true;
    }
    text.push_str(line.trim_end());
    text.push('\n');
}

/// Splits a sentence into words of at most `width` characters.
fn split_words(sentence: &str, width: usize) -> Vec<String> {
    let characters: Vec<char> = printable(sentence).chars().collect();
    characters
        .split(|&c| c == ' ')
        .flat_map(|word| word.chunks(width))
        .map(|part| part.iter().collect())
        .collect()
}

/// Replaces control characters.
///
/// Names and error texts come from other processes. A control character in them would move the
/// terminal's cursor and could hide lines of the timeline.
fn printable(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { '?' } else { c }).collect()
}

/// Shortens a name in its middle; names of a fleet tend to differ at either end.
fn shorten(name: &str, width: usize) -> String {
    let name = printable(name);
    let length = name.chars().count();
    if length <= width {
        return name;
    }
    let head = (width - 2) / 2;
    let tail = width - 2 - head;
    let first: String = name.chars().take(head).collect();
    let last: String = name.chars().skip(length - tail).collect();
    format!("{first}..{last}")
}

fn seconds(elapsed_ms: u64) -> String {
    format!("{}.{:03}", elapsed_ms / 1_000, elapsed_ms % 1_000)
}

fn utc(stamp: Stamp) -> String {
    // Times after the year 9999 come from a wrong clock; humantime panics when formatting them.
    if stamp.wall_ms() > LAST_UTC_MS {
        return format!("{} ms after 1970", stamp.wall_ms());
    }
    let time = UNIX_EPOCH + Duration::from_millis(stamp.wall_ms());
    humantime::format_rfc3339_millis(time).to_string()
}

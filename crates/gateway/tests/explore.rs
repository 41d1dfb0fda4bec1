//! Explores streams of three events that break off at every byte, with every framing, ending and state
//! of the server, and go on at a second server that breaks off as well.

use flamingowheel_gateway::events::EventSplitter;
use flamingowheel_policy::answers::{
    self, Content, Ending, Evidence, Framing, Judgement, ServerState,
};

const EVENTS: u64 = 3;

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Connection];

const STATES: [ServerState; 3] = [ServerState::Lives, ServerState::Ended, ServerState::Unknown];

/// How one server's answer ends: after how many of its bytes, and how.
#[derive(Clone, Copy, Debug)]
struct End {
    framing: Framing,
    bytes: usize,
    ending: Ending,
    state: ServerState,
}

type Decide = fn(End, Content) -> Evidence;

fn decide(end: End, content: Content) -> Evidence {
    match answers::judge(end.framing, end.ending, content) {
        Judgement::Decided(evidence) => evidence,
        Judgement::Undecided(answer) => answer.decide(end.state, false),
    }
}

fn events_after(id: u64, line_end: &str) -> String {
    let event = |id: u64| format!("id: {id}|data: x||").replace('|', line_end);
    (id + 1..=EVENTS).map(event).collect()
}

/// Relays the streams of servers one after the other, each from where the one before broke off.
/// Returns what the caller gets, and the end after which it looks complete, if it does, with the last
/// event before that server's answer.
fn relay(ends: &[End], line_end: &str, decide: Decide) -> (String, Option<(End, u64)>) {
    let (mut splitter, mut relayed) = (EventSplitter::default(), Vec::new());
    for end in ends {
        let after = splitter.last_id().unwrap_or(0);
        let stream = events_after(after, line_end);
        let bytes = end.bytes.min(stream.len());
        for byte in &stream.as_bytes()[..bytes] {
            relayed.extend_from_slice(&splitter.push(&[*byte]).unwrap());
        }
        if decide(*end, splitter.content()).is_whole() {
            relayed.extend_from_slice(splitter.pending());
            return (String::from_utf8(relayed).unwrap(), Some((*end, after)));
        }
        splitter.discard_pending();
    }
    (String::from_utf8(relayed).unwrap(), None)
}

/// All ends of a stream of `length` bytes that its framing allows.
fn ends_of(length: usize) -> Vec<End> {
    let mut ends = Vec::new();
    for framing in FRAMINGS {
        for bytes in 0..=length {
            for ending in [Ending::Regular, Ending::Error, Ending::TimedOut] {
                // With length or chunks, a regular end comes after all bytes, or those of a server that
                // took its part for the whole: such a one ends inside an event.
                for state in STATES {
                    ends.push(End { framing, bytes, ending, state });
                }
            }
        }
    }
    ends
}

/// Whether nothing shows that the answer was cut: a server that lives ended it between two events.
fn is_hidden(end: End, line_end: &str, after: u64) -> bool {
    let stream = events_after(after, line_end);
    let left = EVENTS - after;
    let bytes = end.bytes.min(stream.len());
    let is_between = left == 0 || bytes.is_multiple_of(stream.len() / left as usize);
    let is_shown = end.ending != Ending::Regular
        || (end.framing == Framing::Connection && end.state != ServerState::Lives);
    is_between && !is_shown
}

/// Checks all streams; returns how many there were, and the first that was judged wrongly.
fn explore(decide: Decide) -> (usize, Option<String>) {
    let mut explored = 0;
    for line_end in ["\n", "\r", "\r\n"] {
        let whole = events_after(0, line_end);
        for first in ends_of(whole.len()) {
            for seconds in [None, Some(whole.len()), Some(5), Some(0)] {
                let second = seconds.map(|bytes| End { bytes, ..first });
                let ends: Vec<End> = std::iter::once(first).chain(second).collect();
                let (relayed, judged_whole) = relay(&ends, line_end, decide);
                explored += 1;
                let is_prefix = whole.starts_with(&relayed);
                let is_hidden = |(end, after)| is_hidden(end, line_end, after);
                let is_cut = relayed != whole && judged_whole.is_some_and(|it| !is_hidden(it));
                let is_alarm = judged_whole.is_none() && is_first_whole(first, &whole);
                if !is_prefix || is_cut || is_alarm {
                    return (explored, Some(format!("{ends:?} {relayed:?} {judged_whole:?}")));
                }
            }
        }
    }
    (explored, None)
}

/// Whether all bytes arrived, ended regularly, and the server lives or its end was not what ended them.
fn is_first_whole(end: End, whole: &str) -> bool {
    end.bytes == whole.len()
        && end.ending == Ending::Regular
        && (end.framing != Framing::Connection || end.state == ServerState::Lives)
}

#[test]
fn relay_all_ends() {
    let (explored, wrong) = explore(decide);
    assert!(wrong.is_none(), "{wrong:?}");
    assert!(explored > 10_000, "{explored}");
}

// The exploration must find a decision that takes every regular end for the end of the stream, one that
// asks for the server's state but not for the events, and one that calls everything broken.
#[test]
fn relay_all_ends_finds_broken_decisions() {
    let regular: Decide = |end, _| match end.ending {
        Ending::Regular => Evidence::Framing,
        _ => Evidence::ConnectionError,
    };
    let without_events: Decide = |end, _| decide(end, Content::Opaque);
    let without_state: Decide =
        |end, content| decide(End { state: ServerState::Lives, ..end }, content);
    let nothing_whole: Decide = |_, _| Evidence::ServerUnknown;
    for (name, broken) in [
        ("regular", regular),
        ("without events", without_events),
        ("without state", without_state),
        ("nothing whole", nothing_whole),
    ] {
        assert!(explore(broken).1.is_some(), "{name}");
    }
}

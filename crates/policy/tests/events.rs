//! Ends of events in any form that the format allows, in any pieces.

use flamingowheel_policy::events::EventScanner;
use proptest::prelude::*;

/// Splits a stream that arrives in pieces; returns the events and whether it ends between two.
fn split(pieces: &[&[u8]]) -> (Vec<Vec<u8>>, bool) {
    let (mut scanner, mut events, mut pending) = (EventScanner::default(), Vec::new(), Vec::new());
    for piece in pieces {
        let mut rest = *piece;
        while let Some(end) = scanner.find_end(rest) {
            pending.extend_from_slice(&rest[..end]);
            events.push(std::mem::take(&mut pending));
            rest = &rest[end..];
        }
        pending.extend_from_slice(rest);
    }
    (events, scanner.is_between_events())
}

// Lines may end with CR alone; events whose empty line ends so were held back until the end of the
// stream, and passed for one that was cut.
#[test]
fn find_end_any_line_ending() {
    for end in ["\n", "\r", "\r\n"] {
        let event = |id: u32| format!("id: {id}{end}data: piece{end}{end}").into_bytes();
        let (first, second) = (event(1), event(2));
        let stream = [&first[..], &second].concat();
        assert_eq!(split(&[&stream]), (vec![first.clone(), second.clone()], true), "{end:?}");
        let bytes: Vec<&[u8]> = stream.chunks(1).collect();
        assert_eq!(split(&bytes), (vec![first, second], true), "byte by byte, {end:?}");
    }
    let (events, is_between) = split(&[b"data: a\n\r\ndata: b\r\n\n"]);
    assert_eq!((events.len(), is_between), (2, true), "mixed");
}

// Every cut of a stream with events, comments and several lines of data is inside an event or between
// two; only the ends of whole events and comments are between.
#[test]
fn is_between_events_every_cut() {
    for end in ["\n", "\r", "\r\n"] {
        let parts = ["id: 1|data: a|data: b||", ": comment|", "id: 2|data: c||", ": comment||"];
        let parts: Vec<String> = parts.iter().map(|part| part.replace('|', end)).collect();
        let stream = parts.concat();
        let mut ends = vec![0];
        for part in &parts {
            ends.push(ends[ends.len() - 1] + part.len());
        }
        for cut in 0..=stream.len() {
            let (_, is_between) = split(&[&stream.as_bytes()[..cut]]);
            // A comment is complete with its line, whose CR LF may be cut; what follows a comment's
            // empty line is as good as before it.
            let before_lf = end == "\r\n" && (cut == ends[2] - 1 || cut + 3 == ends[4]);
            let comment_line = cut + end.len() == ends[4];
            let expected = ends.contains(&cut) || before_lf || comment_line;
            assert_eq!(is_between, expected, "{end:?} {:?}", &stream[..cut]);
        }
    }
}

#[test]
fn find_end_cr_held_only_where_lf_follows() {
    let mut scanner = EventScanner::default();
    assert_eq!(scanner.find_end(b"data: a\r\n\r"), None, "the LF belongs to the event");
    assert!(!scanner.is_between_events());
    assert_eq!(scanner.find_end(b"\ndata: b\r\n\r\n"), Some(1));
    let mut scanner = EventScanner::default();
    assert_eq!(scanner.find_end(b"data: a\r\r"), Some(9), "no LF is to come");
}

proptest! {
    // Where events end must not depend on how the network splits the bytes.
    #[test]
    fn find_end_any_pieces(
        lines in proptest::collection::vec("(id: [0-9]|data: x|: c|)(\n|\r|\r\n)", 1..20),
        size in 1_usize..7,
    ) {
        let stream = lines.concat().into_bytes();
        let pieces: Vec<&[u8]> = stream.chunks(size).collect();
        let bytes: Vec<&[u8]> = stream.chunks(1).collect();
        prop_assert_eq!(split(&pieces), split(&bytes));
        prop_assert_eq!(split(&[&stream[..]]), split(&bytes));
    }
}

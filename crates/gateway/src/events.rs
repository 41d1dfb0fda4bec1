//! Splits an event stream into complete events.

use bytes::{Bytes, BytesMut};

/// Largest event that is buffered until its end arrives, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event exceeds the buffer limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event larger than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

/// Buffers bytes and yields complete events, and tracks the id of the last one.
///
/// A backend server can die in the middle of an event. If a part of it had been relayed, it could
/// not be withdrawn, and the stream could not resume at another server.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    scanned_bytes: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes and removes the events that are complete now.
    ///
    /// ```
    /// use flamingowheel_gateway::events::EventSplitter;
    /// let mut splitter = EventSplitter::default();
    /// let complete = splitter.push(b"id: 4\ndata: a\n\nid: 5\nda").unwrap();
    /// assert_eq!(&complete[..], b"id: 4\ndata: a\n\n");
    /// assert_eq!(splitter.last_id(), Some(4));
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLarge> {
        self.pending.extend_from_slice(bytes);
        let start = self.scanned_bytes.saturating_sub(3);
        let end = last_event_end(&self.pending, start);
        let Some(end) = end else {
            self.scanned_bytes = self.pending.len();
            if self.pending.len() > MAX_EVENT_BYTES {
                return Err(EventTooLarge);
            }
            return Ok(Bytes::new());
        };
        let complete = self.pending.split_to(end).freeze();
        self.scanned_bytes = self.pending.len();
        self.last_id = last_event_id(&complete).or(self.last_id);
        Ok(complete)
    }

    /// The id of the last complete event; `None` if events have no ids.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Bytes after the last complete event.
    pub fn pending(&self) -> &[u8] {
        &self.pending
    }

    /// Discards the incomplete event of a server that died.
    pub fn discard_pending(&mut self) {
        self.pending.clear();
        self.scanned_bytes = 0;
    }
}

fn last_event_end(bytes: &[u8], start: usize) -> Option<usize> {
    let mut at = bytes.len();
    while at >= start + 2 {
        if &bytes[at - 2..at] == b"\n\n" || (at >= 4 && &bytes[at - 4..at] == b"\r\n\r\n") {
            return Some(at);
        }
        at -= 1;
    }
    None
}

fn last_event_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let value = lines.into_iter().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

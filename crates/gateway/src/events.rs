//! Splits an event stream into complete events.

use bytes::{Bytes, BytesMut};
use flamingowheel_policy::answers::Content;
use flamingowheel_policy::events::{EventScanner, last_id};

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
    scanner: EventScanner,
    event_count: u64,
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
        let mut last_end = None;
        while let Some(end) = self.scanner.find_end(&bytes[last_end.unwrap_or(0)..]) {
            last_end = Some(last_end.unwrap_or(0) + end);
            self.event_count += 1;
        }
        let buffered = self.pending.len();
        self.pending.extend_from_slice(bytes);
        let Some(last_end) = last_end else {
            if self.pending.len() > MAX_EVENT_BYTES {
                return Err(EventTooLarge);
            }
            return Ok(Bytes::new());
        };
        let complete = self.pending.split_to(buffered + last_end).freeze();
        self.last_id = last_id(&complete).or(self.last_id);
        Ok(complete)
    }

    /// The id of the last complete event; `None` if events have no ids.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the last event with data had no id, so that the stream can't resume after it.
    pub fn has_unnumbered_data(&self) -> bool {
        self.scanner.has_unnumbered_data()
    }

    /// Number of complete events and groups of comments so far.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// What the bytes so far show of the stream's end.
    pub fn content(&self) -> Content {
        if self.scanner.is_between_events() { Content::BetweenEvents } else { Content::InsideEvent }
    }

    /// Bytes after the last complete event.
    pub fn pending(&self) -> &[u8] {
        &self.pending
    }

    /// Discards the incomplete event of a server that died.
    pub fn discard_pending(&mut self) {
        self.pending.clear();
        self.scanner.restart();
    }
}

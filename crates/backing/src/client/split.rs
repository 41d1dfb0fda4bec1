//! Splits a byte stream into complete events or lines, without copying items that lie within one
//! chunk.

use bytes::{Bytes, BytesMut};
use flamingowheel_policy::events::EventScanner;

/// Where items end.
#[derive(Clone, Copy, Debug)]
enum Boundary {
    Event(EventScanner),
    Line,
}

impl Boundary {
    /// Scans bytes that were not scanned yet, up to the end of an item.
    fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        match self {
            Self::Event(scanner) => scanner.find_end(bytes),
            Self::Line => memchr::memchr(b'\n', bytes).map(|found| found + 1),
        }
    }
}

/// An item exceeds the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("item larger than {limit_bytes} bytes")]
pub struct ItemTooLarge {
    /// The limit, in bytes.
    pub limit_bytes: usize,
}

/// Splits chunks into items. Items that lie within a chunk are slices of it; only one that spans
/// chunks is copied, and each byte is scanned a bounded number of times.
#[derive(Debug)]
pub struct Splitter {
    boundary: Boundary,
    chunk: Bytes,
    /// Start of an incomplete item, all of which has been scanned.
    carry: BytesMut,
    limit_bytes: usize,
}

impl Splitter {
    /// Splits an event stream after each blank line.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use flamingowheel_backing::client::split::Splitter;
    /// let mut events = Splitter::events(1024);
    /// events.push(Bytes::from_static(b"data: a\n\ndata: b\n"));
    /// assert_eq!(events.next_item().unwrap().unwrap(), "data: a\n\n");
    /// assert_eq!(events.next_item().unwrap(), None);
    /// events.push(Bytes::from_static(b"\n"));
    /// assert_eq!(events.next_item().unwrap().unwrap(), "data: b\n\n");
    /// ```
    pub fn events(limit_bytes: usize) -> Self {
        Self::new(Boundary::Event(EventScanner::default()), limit_bytes)
    }

    /// Splits after each line feed.
    pub fn lines(limit_bytes: usize) -> Self {
        Self::new(Boundary::Line, limit_bytes)
    }

    fn new(boundary: Boundary, limit_bytes: usize) -> Self {
        Self { boundary, chunk: Bytes::new(), carry: BytesMut::new(), limit_bytes }
    }

    /// Adds a chunk; all items of the previous one must have been read.
    pub fn push(&mut self, chunk: Bytes) {
        debug_assert!(self.chunk.is_empty(), "items of the previous chunk were not read");
        self.chunk = chunk;
    }

    /// Returns the next complete item; `None` if more chunks are needed.
    pub fn next_item(&mut self) -> Result<Option<Bytes>, ItemTooLarge> {
        if self.chunk.is_empty() {
            return Ok(None);
        }
        if self.carry.is_empty() {
            return self.next_slice();
        }
        let room = (self.limit_bytes + 1).saturating_sub(self.carry.len());
        let scanned = room.min(self.chunk.len());
        match self.boundary.find_end(&self.chunk[..scanned]) {
            Some(end) => {
                self.carry.extend_from_slice(&self.chunk.split_to(end));
                Ok(Some(self.carry.split().freeze()))
            }
            None => {
                self.carry.extend_from_slice(&self.chunk.split_to(scanned));
                if self.carry.len() > self.limit_bytes { Err(self.too_large()) } else { Ok(None) }
            }
        }
    }

    fn next_slice(&mut self) -> Result<Option<Bytes>, ItemTooLarge> {
        if let Some(end) = self.boundary.find_end(&self.chunk) {
            return Ok(Some(self.chunk.split_to(end)));
        }
        if self.chunk.len() > self.limit_bytes {
            return Err(self.too_large());
        }
        self.carry.extend_from_slice(&self.chunk);
        self.chunk.clear();
        Ok(None)
    }

    /// Whether the start of an incomplete item is buffered.
    pub fn has_partial_item(&self) -> bool {
        !self.carry.is_empty()
    }

    fn too_large(&self) -> ItemTooLarge {
        ItemTooLarge { limit_bytes: self.limit_bytes }
    }
}

/// Whether an event is the end marker of an OpenAI-style stream.
///
/// ```
/// use flamingowheel_backing::client::split::is_done;
/// assert!(is_done(b"data: [DONE]\n\n"));
/// assert!(!is_done(b"data: {\"content\": \"[DONE]\"}\n\n"));
/// ```
pub fn is_done(event: &[u8]) -> bool {
    let Some(data) = event.strip_prefix(b"data:") else { return false };
    data.trim_ascii() == b"[DONE]"
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn split(chunks: &[&[u8]]) -> Vec<Bytes> {
        let mut splitter = Splitter::events(1024);
        let mut items = Vec::new();
        for chunk in chunks {
            splitter.push(Bytes::copy_from_slice(chunk));
            while let Some(item) = splitter.next_item().unwrap() {
                items.push(item);
            }
        }
        items
    }

    #[test]
    fn next_item_crlf_across_chunks() {
        let items = split(&[b"data: a\r", b"\n\r", b"\ndata: b\n\nda", b"ta: c\n", b"\n"]);
        assert_eq!(items, ["data: a\r\n\r\n", "data: b\n\n", "data: c\n\n"]);
    }

    #[test]
    fn next_item_too_large() {
        let mut splitter = Splitter::events(8);
        splitter.push(Bytes::from_static(b"1234567"));
        assert_eq!(splitter.next_item(), Ok(None));
        splitter.push(Bytes::from_static(b"89"));
        assert_eq!(splitter.next_item(), Err(ItemTooLarge { limit_bytes: 8 }));
    }

    proptest! {
        // The events must not depend on how the network splits the bytes into chunks.
        #[test]
        fn next_item_any_chunk_sizes(chunk_sizes in proptest::collection::vec(1usize..9, 1..40)) {
            let text = b"data: a\n\ndata: bb\r\n\r\ndata: ccc\nid: 1\n\ndata: [DONE]\n\n";
            let mut chunks = Vec::new();
            let mut rest = &text[..];
            for size in chunk_sizes.into_iter().cycle() {
                let (head, tail) = rest.split_at(size.min(rest.len()));
                chunks.push(head);
                rest = tail;
                if rest.is_empty() {
                    break;
                }
            }
            prop_assert_eq!(split(&chunks), split(&[&text[..]]));
        }
    }
}

//! Finds the ends of events in the bytes of an event stream.

/// Scans an event stream piece by piece. Lines end with LF, CR or CR LF; an empty line ends an event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventScanner {
    line: Line,
    /// The last byte was a CR; an LF that follows belongs to it.
    is_after_cr: bool,
    /// The CR of an empty line has arrived in a stream whose lines end with CR LF.
    awaits_lf: bool,
    /// The last line ended with CR LF.
    uses_cr_lf: bool,
    event: Event,
    has_unnumbered_data: bool,
}

/// The current line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    /// A field: the first bytes of the line, the number of which is given.
    Field([u8; LONGEST_FIELD], usize),
}

/// Length of the longest field name that matters, with its colon.
const LONGEST_FIELD: usize = 5;

/// What the lines of the current event hold so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Event {
    has_fields: bool,
    has_data: bool,
    has_id: bool,
}

impl EventScanner {
    /// Scans bytes up to the end of the next event and returns how many these are; `None` if the event
    /// goes on after all of them. The rest has to be scanned by further calls.
    ///
    /// ```
    /// use flamingowheel_policy::events::EventScanner;
    /// let mut scanner = EventScanner::default();
    /// assert_eq!(scanner.find_end(b"data: a\n\ndata: b\n"), Some(9));
    /// assert_eq!(scanner.find_end(b"data: b\n"), None);
    /// assert!(!scanner.is_between_events());
    /// assert_eq!(scanner.find_end(b"\n"), Some(1));
    /// assert!(scanner.is_between_events());
    /// ```
    pub fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        for (at, byte) in bytes.iter().enumerate() {
            let is_lf_of_cr = self.is_after_cr && *byte == b'\n';
            self.is_after_cr = *byte == b'\r';
            if is_lf_of_cr {
                self.uses_cr_lf = true;
                if self.awaits_lf {
                    self.end_event();
                    return Some(at + 1);
                }
                continue;
            }
            if self.awaits_lf {
                // The empty line ended with its CR.
                self.is_after_cr = false;
                self.end_event();
                return Some(at);
            }
            if !matches!(byte, b'\n' | b'\r') {
                self.line.push(*byte, &mut self.event);
                continue;
            }
            if self.line != Line::Empty {
                self.end_line();
            } else if *byte == b'\r' && self.uses_cr_lf {
                self.awaits_lf = true;
            } else {
                self.end_event();
                return Some(at + 1);
            }
        }
        None
    }

    /// Whether no event has begun since the last one ended. Comments are no events.
    pub fn is_between_events(&self) -> bool {
        self.line == Line::Empty && !self.event.has_fields && !self.awaits_lf
    }

    /// Whether the last event with data had no id, so that a stream can't resume after it.
    ///
    /// ```
    /// use flamingowheel_policy::events::EventScanner;
    /// let mut scanner = EventScanner::default();
    /// scanner.find_end(b"data: a\n\n");
    /// assert!(scanner.has_unnumbered_data());
    /// scanner.find_end(b"id: 2\ndata: b\n\n");
    /// assert!(!scanner.has_unnumbered_data());
    /// ```
    pub fn has_unnumbered_data(&self) -> bool {
        self.has_unnumbered_data
    }

    /// Continues with the first byte of another stream that goes on after the last event.
    pub fn restart(&mut self) {
        *self = Self { has_unnumbered_data: self.has_unnumbered_data, ..Self::default() };
    }

    fn end_line(&mut self) {
        self.uses_cr_lf = false;
        if let Line::Field(bytes, count) = std::mem::take(&mut self.line) {
            let is_field = |name: &[u8]| {
                let line = &bytes[..count.min(LONGEST_FIELD)];
                line == name || line.strip_prefix(name).is_some_and(|rest| rest.starts_with(b":"))
            };
            self.event.has_id |= is_field(b"id");
            self.event.has_data |= is_field(b"data");
        }
    }

    fn end_event(&mut self) {
        let Event { has_data, has_id, .. } = std::mem::take(&mut self.event);
        if has_data {
            self.has_unnumbered_data = !has_id;
        }
        self.awaits_lf = false;
    }
}

impl Line {
    fn push(&mut self, byte: u8, event: &mut Event) {
        match self {
            Self::Empty if byte == b':' => *self = Self::Comment,
            Self::Empty => {
                event.has_fields = true;
                let mut bytes = [0; LONGEST_FIELD];
                bytes[0] = byte;
                *self = Self::Field(bytes, 1);
            }
            Self::Comment => {}
            Self::Field(bytes, count) => {
                if let Some(place) = bytes.get_mut(*count) {
                    *place = byte;
                }
                *count += 1;
            }
        }
    }
}

/// The id in the last of some complete events that has one; `None` if it is no number.
///
/// ```
/// use flamingowheel_policy::events::last_id;
/// assert_eq!(last_id(b"id: 3\ndata: a\n\nid:4\rdata: b\r\r"), Some(4));
/// ```
pub fn last_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.rsplit(|byte| matches!(byte, b'\n' | b'\r'));
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

//! Whether a backend server's answer is whole: by its framing, by how reading it ended, by its
//! content and, where these look the same, by whether the server lives.

/// Largest answer that is relayed, in bytes. A server in trouble may send bytes without end.
pub const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// How an answer states the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Framing {
    /// By its length; also answers that have no body.
    Length,
    /// In chunks, the last of which is empty.
    Chunks,
    /// By the end of its connection.
    Connection,
}

impl Framing {
    /// The name in logs and metrics.
    ///
    /// ```
    /// use flamingowheel_policy::answers::Framing;
    /// assert_eq!(Framing::Connection.name(), "connection");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// How reading a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ending {
    /// Where its framing states it: by length, last chunk, or a connection closed in order.
    Regular,
    /// By an error of the connection, before that.
    Error,
    /// By the deadline, before that.
    TimedOut,
}

impl Ending {
    /// The name in logs and metrics.
    ///
    /// ```
    /// use flamingowheel_policy::answers::Ending;
    /// assert_eq!(Ending::TimedOut.name(), "timed_out");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Regular => "regular",
            Self::Error => "error",
            Self::TimedOut => "timed_out",
        }
    }
}

/// What the bytes of an answer show about its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Content {
    /// Nothing: the format states no end.
    Opaque,
    /// An event stream that ended between two events.
    BetweenEvents,
    /// An event stream that ended inside an event.
    InsideEvent,
    /// An event stream of a kind that has an end marker, which did not arrive.
    BeforeEndMarker,
    /// The end marker has arrived.
    EndMarker,
}

/// Whether a server is there after a connection to it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServerState {
    /// It accepts connections.
    Lives,
    /// It refuses connections: its process has ended.
    Ended,
    /// It can't be reached.
    Unknown,
}

/// What shows that an answer is whole, or that it has been broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// Whole: all bytes that the framing states have arrived.
    Framing,
    /// Whole: the end marker has arrived.
    EndMarker,
    /// Whole: the connection closed in order, and the server lives.
    ServerLives,
    /// Broken off: an error of the connection.
    ConnectionError,
    /// Broken off: the deadline.
    Deadline,
    /// Given up: larger than [`MAX_ANSWER_BYTES`].
    TooLarge,
    /// Given up: an event without end, while callers hold as much as the VM's memory allows.
    MemoryFull,
    /// Given up: the server sent nothing while its group went on.
    ServerSilent,
    /// Broken off: inside an event.
    InsideEvent,
    /// Broken off: before the end marker.
    NoEndMarker,
    /// Broken off: the server ended with the connection.
    ServerEnded,
    /// Not known to be whole: the server can't be reached.
    ServerUnknown,
    /// Not known to be whole: the group had stalled before the connection closed.
    GroupStalled,
    /// Given up: the process stops.
    ProcessStops,
}

impl Evidence {
    /// Whether the answer counts as whole.
    pub fn is_whole(self) -> bool {
        matches!(self, Self::Framing | Self::EndMarker | Self::ServerLives)
    }

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Framing => "framing",
            Self::EndMarker => "end_marker",
            Self::ServerLives => "server_lives",
            Self::ConnectionError => "connection_error",
            Self::Deadline => "deadline",
            Self::TooLarge => "too_large",
            Self::MemoryFull => "memory_full",
            Self::ServerSilent => "server_silent",
            Self::InsideEvent => "inside_event",
            Self::NoEndMarker => "no_end_marker",
            Self::ServerEnded => "server_ended",
            Self::ServerUnknown => "server_unknown",
            Self::GroupStalled => "group_stalled",
            Self::ProcessStops => "process_stops",
        }
    }
}

/// What an answer's own bytes and connection tell of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// They decide.
    Decided(Evidence),
    /// They look the same for a whole answer and one that was broken off: the server decides.
    Undecided(Undecided),
}

/// An answer that ended with its connection, about which the state of its server has to be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Undecided(());

/// Judges an answer that has ended.
///
/// ```
/// use flamingowheel_policy::answers::{Content, Ending, Evidence, Framing, Judgement};
/// use flamingowheel_policy::answers::{ServerState, judge};
/// let whole = judge(Framing::Chunks, Ending::Regular, Content::BetweenEvents);
/// assert_eq!(whole, Judgement::Decided(Evidence::Framing));
/// let cut = judge(Framing::Connection, Ending::Regular, Content::InsideEvent);
/// assert_eq!(cut, Judgement::Decided(Evidence::InsideEvent));
/// let Judgement::Undecided(answer) =
///     judge(Framing::Connection, Ending::Regular, Content::BetweenEvents)
/// else {
///     panic!("the server decides");
/// };
/// assert!(answer.decide(ServerState::Lives, false).is_whole());
/// assert!(!answer.decide(ServerState::Ended, false).is_whole());
/// ```
pub fn judge(framing: Framing, ending: Ending, content: Content) -> Judgement {
    Judgement::Decided(match (content, ending, framing) {
        (Content::EndMarker, _, _) => Evidence::EndMarker,
        (_, Ending::TimedOut, _) => Evidence::Deadline,
        (_, Ending::Error, _) => Evidence::ConnectionError,
        (Content::InsideEvent, Ending::Regular, _) => Evidence::InsideEvent,
        (Content::BeforeEndMarker, Ending::Regular, _) => Evidence::NoEndMarker,
        (_, Ending::Regular, Framing::Length | Framing::Chunks) => Evidence::Framing,
        (_, Ending::Regular, Framing::Connection) => return Judgement::Undecided(Undecided(())),
    })
}

impl Undecided {
    /// Decides by the state of the server after the end. `has_stalled` says that nothing arrived
    /// before it for as long as a rank group waits for a lost rank: its other ranks then break off
    /// their work, and live on.
    pub fn decide(self, server: ServerState, has_stalled: bool) -> Evidence {
        match server {
            ServerState::Ended => Evidence::ServerEnded,
            ServerState::Unknown => Evidence::ServerUnknown,
            ServerState::Lives if has_stalled => Evidence::GroupStalled,
            ServerState::Lives => Evidence::ServerLives,
        }
    }
}

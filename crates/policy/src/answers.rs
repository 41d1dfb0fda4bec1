//! How a backend server's answer states the end of its body, and how reading it ended.

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

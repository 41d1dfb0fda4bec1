//! What a caller does with its connections.

/// How a caller behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// Sends the next request at once on the same connection.
    Keeps,
    /// The same after a pause.
    Pauses,
    /// Opens a connection for each request.
    Opens,
    /// Keeps the connection, and reads slowly.
    ReadsSlowly,
    /// The same, and sends the begin of the next request while it reads an answer: the entry's
    /// receive buffer is not empty when it closes the connection after that answer.
    SendsAhead,
}

impl Habit {
    /// The habit of the caller with this number.
    pub fn of_caller(number: usize) -> Self {
        let habits = [
            Self::Keeps,
            Self::Keeps,
            Self::Pauses,
            Self::Opens,
            Self::ReadsSlowly,
            Self::SendsAhead,
        ];
        habits[number % habits.len()]
    }

    /// Whether answers are read slowly.
    pub fn is_slow(self) -> bool {
        matches!(self, Self::ReadsSlowly | Self::SendsAhead)
    }
}

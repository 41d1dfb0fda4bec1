//! Finds out whether a server lives after a connection to it has ended.

use flamingowheel_policy::answers::{
    self, Content, Ending, Evidence, Framing, Judgement, ServerState,
};
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time limit for one connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time between two connection attempts.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Connection attempts, the last of which decides.
const MAX_CHECKS: u32 = 3;

/// How long an accepted connection has to stay open to show that a server lives. A process that ends may
/// close its connections a moment before its listener, and with it those that wait to be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// 0.5 ms: the connection before ended as an answer usually does.
    Prompt,
    /// 10 ms: the server may be about to end.
    Thorough,
}

impl Trust {
    /// Longest time between the last bytes of an answer and the close of its connection that is usual.
    const USUAL_END: Duration = Duration::from_millis(5);

    /// The trust in a server whose connection closed so long after the last bytes.
    ///
    /// ```
    /// use flamingowheel_backing::client::liveness::Trust;
    /// use std::time::Duration;
    /// assert_eq!(Trust::after_silence(Duration::ZERO), Trust::Prompt);
    /// assert_eq!(Trust::after_silence(Duration::from_millis(50)), Trust::Thorough);
    /// ```
    pub fn after_silence(silence: Duration) -> Self {
        if silence <= Self::USUAL_END { Self::Prompt } else { Self::Thorough }
    }

    fn open_time(self) -> Duration {
        match self {
            Self::Prompt => Duration::from_micros(500),
            Self::Thorough => Duration::from_millis(10),
        }
    }
}

/// A connection that was opened to see whether the server accepts it.
pub trait Probe {
    /// Whether the connection is still open.
    fn is_open(&self) -> bool;
}

impl Probe for TcpStream {
    fn is_open(&self) -> bool {
        matches!(self.try_read(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

/// Finds out whether a server lives, and returns an open connection to it for further use.
///
/// Only a connection refused twice in a row shows the end of a server: whatever cuts links or resets
/// connections does not refuse them. One that resets all connections lives, as its listener accepts them.
pub async fn find_state<Connection, Open, Opening>(
    open: Open,
    trust: Trust,
) -> (ServerState, Option<Connection>)
where
    Connection: Probe,
    Open: Fn() -> Opening,
    Opening: Future<Output = io::Result<Connection>>,
{
    let (mut refusals, mut resets) = (0, 0);
    for check in 0..MAX_CHECKS {
        if check > 0 {
            sleep(CHECK_INTERVAL).await;
        }
        match timeout(CONNECT_TIMEOUT, open()).await {
            // The refusal before shows that another start has the address now.
            Ok(Ok(connection)) if refusals > 0 => return (ServerState::Unknown, Some(connection)),
            Ok(Ok(connection)) => {
                sleep(trust.open_time()).await;
                if connection.is_open() {
                    return (ServerState::Lives, Some(connection));
                }
                resets += 1;
            }
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                refusals += 1;
                if refusals > 1 {
                    return (ServerState::Ended, None);
                }
            }
            Ok(Err(error)) => {
                tracing::debug!(%error, "server can't be reached");
                return (ServerState::Unknown, None);
            }
            Err(_) => return (ServerState::Unknown, None),
        }
    }
    let accepts_all = resets == MAX_CHECKS;
    (if accepts_all { ServerState::Lives } else { ServerState::Unknown }, None)
}

/// Decides whether an answer that was read to its end is whole; where only the server can tell, by
/// opening a connection to it. `silence` is the time between the last bytes and the end.
pub async fn judge_end<Connection, Open, Opening>(
    framing: Framing,
    content: Content,
    silence: Duration,
    open: Open,
) -> Evidence
where
    Connection: Probe,
    Open: Fn() -> Opening,
    Opening: Future<Output = io::Result<Connection>>,
{
    match answers::judge(framing, Ending::Regular, content) {
        Judgement::Decided(evidence) => evidence,
        Judgement::Undecided(answer) => {
            let (state, _) = find_state(open, Trust::after_silence(silence)).await;
            answer.decide(state, false)
        }
    }
}

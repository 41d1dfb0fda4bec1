//! How others speak to the control task, and what they see of it.

use crate::cache::CachePoll;
use crate::execution::Execution;
use crate::runner::RunEnd;
use flamingowheel_backing::backend::{BackendError, CacheEvent, LoadReport};
use flamingowheel_protocol::id::{ExecutionKey, Window};
use flamingowheel_protocol::message::{AgentMessage, EntryMessage};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};
use uuid::Uuid;

/// What the control task is told.
#[derive(Debug)]
pub enum Command {
    /// A connection from an entry opened.
    Linked {
        /// Identifies the connection.
        link: u64,
        /// Messages to that entry.
        sender: mpsc::Sender<AgentMessage>,
    },
    /// A connection ended.
    Unlinked {
        /// Identifies the connection.
        link: u64,
    },
    /// A message arrived from an entry.
    Received {
        /// Where answers go.
        sender: mpsc::Sender<AgentMessage>,
        /// The message.
        message: EntryMessage,
    },
    /// An execution ended.
    Ended {
        /// Which.
        key: ExecutionKey,
        /// How.
        end: RunEnd,
    },
    /// The backend server answered a health check, or did not.
    Health(Result<LoadReport, BackendError>),
    /// The engine answered a poll for cache events, or did not.
    CacheEvents(CachePoll, Result<Vec<CacheEvent>, BackendError>),
    /// Take no new work from now on.
    Leave,
    /// Take new work, or none until told otherwise.
    SetOpen(bool),
    /// Somebody wants to know what became of all tickets.
    ListTickets(oneshot::Sender<TicketList>),
}

/// What became of the tickets of this process.
#[derive(Debug, Default)]
pub struct TicketList {
    /// Those with a whole answer.
    pub finished: Vec<(Uuid, Arc<Execution>)>,
    /// Those that began, or may have, and have none.
    pub unanswered: Vec<Uuid>,
    /// The oldest window whose tickets are all listed.
    pub oldest_window: Window,
    /// This process takes tickets, and from now on none that is not listed will begin.
    pub is_final: bool,
}

/// What others may see of the agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AgentStatus {
    /// No new work is taken.
    pub leaving: bool,
    /// No new work is taken until the group has changed its version.
    pub closed: bool,
    /// Requests that run or wait.
    pub in_progress_count: usize,
    /// Leaving, nothing runs or waits, and every answer has been read.
    pub drained: bool,
    /// Requests waiting for a place.
    pub waiting_count: usize,
    /// Records kept.
    pub record_count: usize,
    /// Times the backend server died.
    pub crash_count: u32,
    /// Whether the last health check was answered.
    pub backend_up: bool,
}

/// Handle to a running control task.
#[derive(Clone, Debug)]
pub struct AgentHandle {
    pub(super) commands: mpsc::Sender<Command>,
    pub(super) status: watch::Receiver<AgentStatus>,
}

impl AgentHandle {
    /// Where commands go.
    pub fn commands(&self) -> &mpsc::Sender<Command> {
        &self.commands
    }

    /// The agent's status as of its last change.
    pub fn status(&self) -> AgentStatus {
        self.status.borrow().clone()
    }

    /// Stops taking new work, and waits until the rest is done and read.
    pub async fn drain(&mut self) {
        if self.commands.send(Command::Leave).await.is_err() {
            return;
        }
        let _ = self.status.wait_for(|status| status.drained).await;
    }

    /// What became of all tickets; nothing, and not final, if the control task is gone.
    pub async fn tickets(&self) -> TicketList {
        let (list, tickets) = oneshot::channel();
        let _ = self.commands.send(Command::ListTickets(list)).await;
        tickets.await.unwrap_or_default()
    }
}

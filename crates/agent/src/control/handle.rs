//! Commands to the control task, its status, and a handle for both.

use crate::cache::CachePoll;
use crate::execution::Execution;
use crate::runner::RunEnd;
use flamingowheel_backing::backend::{BackendError, CacheEvent, LoadReport};
use flamingowheel_protocol::id::{ExecutionKey, Window};
use flamingowheel_protocol::message::{AgentMessage, EntryMessage};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};
use uuid::Uuid;

/// A command to the control task.
#[derive(Debug)]
pub enum Command {
    /// A connection from an entry opened.
    Linked {
        /// Number of the connection, unique in this process.
        link: u64,
        /// Queue of messages to that entry.
        sender: mpsc::Sender<AgentMessage>,
    },
    /// A connection ended.
    Unlinked {
        /// Number that the connection was opened with.
        link: u64,
    },
    /// A message arrived from an entry.
    Received {
        /// Queue of messages to that entry.
        sender: mpsc::Sender<AgentMessage>,
        /// Message as decoded from the connection.
        message: EntryMessage,
    },
    /// An execution ended.
    Ended {
        /// Key that the execution is recorded under.
        key: ExecutionKey,
        /// How the run at the backend server ended.
        end: RunEnd,
    },
    /// Result of a health check of the backend server.
    Health(Result<LoadReport, BackendError>),
    /// Result of a poll of the engine's cache events.
    CacheEvents(CachePoll, Result<Vec<CacheEvent>, BackendError>),
    /// Refuse new requests from now on, because the process is about to end.
    Leave,
    /// Admit new requests, or refuse them until admission is opened again.
    SetOpen(bool),
    /// List all tickets of this process.
    ListTickets(oneshot::Sender<TicketList>),
}

/// The tickets of this process.
#[derive(Debug, Default)]
pub struct TicketList {
    /// Tickets with a complete answer.
    pub finished: Vec<(Uuid, Arc<Execution>)>,
    /// Tickets that began, or may have begun, and have no complete answer.
    pub unanswered: Vec<Uuid>,
    /// The oldest window whose tickets are all listed.
    pub oldest_window: Window,
    /// Whether this process serves tickets and none but the listed ones can begin any more.
    pub is_final: bool,
}

/// Status of the agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AgentStatus {
    /// Whether new requests are refused because the process is about to end.
    pub leaving: bool,
    /// Whether new requests are refused until the group has changed its model version.
    pub closed: bool,
    /// Number of requests that run or are queued.
    pub in_progress_count: usize,
    /// Whether the agent is leaving, no request runs or is queued, and every answer has been read.
    pub drained: bool,
    /// Number of requests queued for a place.
    pub waiting_count: usize,
    /// Number of records of attempts and tickets.
    pub record_count: usize,
    /// Crashes of the backend server that were observed while requests ran.
    pub crash_count: u32,
    /// Whether the last health check was answered.
    pub backend_up: bool,
}

/// Sends commands to an agent's control task and reads its status.
#[derive(Clone, Debug)]
pub struct AgentHandle {
    pub(super) commands: mpsc::Sender<Command>,
    pub(super) status: watch::Receiver<AgentStatus>,
}

impl AgentHandle {
    /// Sender of commands to the control task.
    pub fn commands(&self) -> &mpsc::Sender<Command> {
        &self.commands
    }

    /// The agent's present status.
    pub fn status(&self) -> AgentStatus {
        self.status.borrow().clone()
    }

    /// Refuses new requests, and waits until the others have ended and their answers are read.
    pub async fn drain(&mut self) {
        if self.commands.send(Command::Leave).await.is_err() {
            return;
        }
        let _ = self.status.wait_for(|status| status.drained).await;
    }

    /// Lists all tickets. The list is empty and not final if the control task has ended.
    pub async fn tickets(&self) -> TicketList {
        let (list, tickets) = oneshot::channel();
        let _ = self.commands.send(Command::ListTickets(list)).await;
        tickets.await.unwrap_or_default()
    }
}

//! An agent and a connection to it, as an entry has one.

use bytes::Bytes;
use flamingowheel_agent::config::AgentConfig;
use flamingowheel_agent::control::{AgentHandle, Command, Control};
use flamingowheel_backing::backend::BackendServer;
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_protocol::id::{
    AttemptId, ExecutionKey, Fingerprint, Incarnation, RequestId, Window,
};
use flamingowheel_protocol::message::{
    AgentMessage, BackendProfile, Dispatch, EntryMessage, Refusal, Serves,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;
use uuid::Uuid;

/// Timeout of each wait; longer than any message takes in these tests.
const TIMEOUT: Duration = Duration::from_secs(60);

pub struct Session {
    pub agent: AgentHandle,
    pub incarnation: Incarnation,
    sender: mpsc::Sender<AgentMessage>,
    receiver: mpsc::Receiver<AgentMessage>,
}

pub fn config() -> AgentConfig {
    let profile = BackendProfile {
        serves: Serves::Service { service: "orders".to_owned() },
        places: 2,
        can_resume: true,
        experts: None,
    };
    AgentConfig::new("runner-1", "a", profile)
}

impl Session {
    /// Starts an agent and connects to it.
    pub async fn start<B>(backend: B, config: AgentConfig) -> Self
    where
        B: BackendServer,
    {
        let incarnation = config.incarnation;
        let recorder = Recorder::for_tests(&config.name);
        let (control, agent, commands) = Control::new(config, Arc::new(backend), recorder);
        tokio::spawn(control.run(commands));
        let (sender, receiver) = mpsc::channel(1024);
        let link = Command::Linked { link: 1, sender: sender.clone() };
        agent.commands().send(link).await.unwrap();
        Self { agent, incarnation, sender, receiver }
    }

    pub async fn send(&self, message: EntryMessage) {
        let received = Command::Received { sender: self.sender.clone(), message };
        self.agent.commands().send(received).await.unwrap();
    }

    pub async fn dispatch(&self, dispatch: &Dispatch) {
        self.send(EntryMessage::Dispatch(Box::new(dispatch.clone()))).await;
    }

    /// The next message about an attempt.
    pub async fn next(&mut self, attempt: AttemptId) -> AgentMessage {
        loop {
            let message = timeout(TIMEOUT, self.receiver.recv()).await.unwrap().unwrap();
            if message.attempt() == Some(attempt) {
                return message;
            }
        }
    }

    /// Waits for the next message with suspicions; returns their number.
    pub async fn next_suspicions(&mut self) -> usize {
        loop {
            let message = timeout(TIMEOUT, self.receiver.recv()).await.unwrap().unwrap();
            if let AgentMessage::Suspicions(records) = message {
                return records.len();
            }
        }
    }

    /// Waits for the end of an attempt; returns its chunks.
    pub async fn complete(&mut self, attempt: AttemptId) -> Vec<(u64, Bytes)> {
        let mut chunks = Vec::new();
        loop {
            match self.next(attempt).await {
                AgentMessage::Chunk { number, data, .. } => chunks.push((number, data)),
                AgentMessage::End { chunk_count, .. } => {
                    assert_eq!(chunk_count, chunks.len() as u64);
                    return chunks;
                }
                AgentMessage::Accepted { .. } | AgentMessage::Head { .. } => {}
                other => panic!("{other:?}"),
            }
        }
    }

    pub async fn refusal(&mut self, attempt: AttemptId) -> Refusal {
        loop {
            match self.next(attempt).await {
                AgentMessage::Refused { refusal, .. } => return refusal,
                AgentMessage::Accepted { .. } => {}
                other => panic!("{other:?}"),
            }
        }
    }

    /// An idempotent request.
    pub fn request(&self, body: &'static str) -> Dispatch {
        let attempt = AttemptId { request: RequestId::fresh(), number: 1 };
        Dispatch {
            attempt,
            key: ExecutionKey::Attempt(attempt),
            incarnation: self.incarnation,
            window: Window(1),
            workspace: "peachline".to_owned(),
            method: "POST".to_owned(),
            path: "/orders".to_owned(),
            content_type: None,
            body: Bytes::from_static(body.as_bytes()),
            idempotent: true,
            priority: 5,
            remaining_ms: 10_000,
            fingerprint: Fingerprint::of(
                1,
                flamingowheel_policy::key::WorkspaceKey(1),
                "/",
                body.as_bytes(),
            ),
            alone: false,
            last_try: false,
            resume_after_chunks: 0,
        }
    }

    /// A request with a ticket.
    pub fn ticket_request(&self, body: &'static str, number: Uuid) -> Dispatch {
        let key = ExecutionKey::Ticket { number, window: Window(1) };
        Dispatch { key, idempotent: false, ..self.request(body) }
    }
}

/// Message to attach to the attempt of a dispatch.
pub fn attach(dispatch: &Dispatch, from_chunk: u64) -> EntryMessage {
    EntryMessage::Attach {
        attempt: dispatch.attempt,
        key: dispatch.key,
        incarnation: dispatch.incarnation,
        window: dispatch.window,
        from_chunk,
    }
}

pub fn cancel(dispatch: &Dispatch, void_ticket: bool) -> EntryMessage {
    EntryMessage::Cancel {
        attempt: dispatch.attempt,
        key: dispatch.key,
        incarnation: dispatch.incarnation,
        window: dispatch.window,
        void_ticket,
    }
}

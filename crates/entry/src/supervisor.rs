//! Keeps one agent connected, and brings what it says to the router and to its attempts.

use crate::agents::{Agent, Connected, Duty};
use crate::connector::{AgentLink, Connector};
use crate::router::Router;
use flamingowheel_observe::event::Event;
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_policy::key::ServerKey;
use flamingowheel_policy::suspicion::SuspectRecord;
use flamingowheel_protocol::message::{AgentMessage, EntryMessage, Role};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Shortest and longest wait between two tries to connect.
const RECONNECT_WAIT: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(1_000));

/// A connection that ended this long after the last heartbeat had gone silent.
const SILENT_AFTER: Duration = Duration::from_millis(1_500);

/// How long an address that turned out to be no agent is left alone.
const NOT_AN_AGENT_WAIT: Duration = Duration::from_secs(30);

/// Keeps one agent connected.
pub(crate) struct Supervisor {
    pub(crate) agent: Arc<Agent>,
    pub(crate) connector: Arc<dyn Connector>,
    pub(crate) router: Arc<Router>,
    pub(crate) recorder: Recorder,
    pub(crate) stop: CancellationToken,
}

impl Supervisor {
    pub(crate) async fn run(self) {
        let mut wait = RECONNECT_WAIT.0;
        let mut epoch = 0;
        while !self.stop.is_cancelled() {
            match self.connector.connect(self.agent.address()).await {
                Ok(link) => {
                    wait = RECONNECT_WAIT.0;
                    epoch += 1;
                    self.attend(link, epoch).await;
                }
                Err(error) => {
                    tracing::debug!(address = %self.agent.address(), %error, "can't connect");
                    wait = (wait * 2).min(RECONNECT_WAIT.1);
                }
            }
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.stop.cancelled() => {}
            }
        }
    }

    async fn attend(&self, mut link: AgentLink, epoch: u64) {
        let Role::Agent(profile) = &link.peer.role else {
            // Another entry. It stays one until its VM is replaced.
            let retry = tokio::time::sleep(NOT_AN_AGENT_WAIT);
            tokio::select! {
                () = retry => {}
                () = self.stop.cancelled() => {}
            }
            return;
        };
        let server = ServerKey::from_name(&link.peer.name);
        let connected = Connected {
            epoch,
            hello: Arc::new(link.peer.clone()),
            profile: Arc::new(profile.clone()),
            sender: link.sender.clone(),
        };
        // The window of another incarnation means nothing to this one.
        self.agent.window.store(0, Ordering::Relaxed);
        let mut announced = false;
        while let Some(message) = self.next(&mut link).await {
            self.take(server, &message);
            // The first heartbeat tells the window; a dispatch before it would be refused.
            if !announced && matches!(message, AgentMessage::Heartbeat { .. }) {
                announced = true;
                self.agent.announce(connected.clone());
                place(&self.router, &self.agent);
                self.record_opened(&connected);
                let known = self.router.suspicions();
                if !known.is_empty() {
                    self.agent.send(EntryMessage::Suspicions(known));
                }
            }
            match message {
                AgentMessage::CacheEvents(events) => self.router.learn_cache(server, events),
                AgentMessage::OrderAnswer { number, body } => {
                    if let Some(waiting) = self.agent.orders().remove(&number) {
                        let _ = waiting.send(body);
                    }
                }
                message => {
                    if let Some(attempt) = message.attempt() {
                        self.agent.route(attempt, message);
                    }
                }
            }
        }
        self.router.remove(server, &self.agent);
        self.agent.connected.send_replace(None);
        self.agent.tell_lost(epoch);
        self.record_closed(&connected);
    }

    /// The next message; none once the connection ended or is not wanted any more.
    async fn next(&self, link: &mut AgentLink) -> Option<AgentMessage> {
        tokio::select! {
            message = link.receiver.recv() => message,
            () = self.stop.cancelled() => None,
        }
    }

    fn record_opened(&self, connected: &Connected) {
        let peer = connected.hello.name.as_str().into();
        let requests = u32::try_from(self.agent.streams().len()).unwrap_or(u32::MAX);
        self.recorder.record(match connected.epoch {
            1 => Event::ConnectionOpened { peer },
            _ => Event::ConnectionReplaced { peer, requests },
        });
    }

    /// An agent that lives is heard several times a second, so a gap tells a silent connection
    /// from one that was closed.
    fn record_closed(&self, connected: &Connected) {
        let peer = connected.hello.name.as_str().into();
        let silent = self.agent.since_heartbeat();
        self.recorder.record(match silent >= SILENT_AFTER {
            true => Event::ConnectionSilent { peer, silent_ms: silent.as_millis() as u64 },
            false => Event::ConnectionClosed { peer },
        });
    }

    fn take(&self, server: ServerKey, message: &AgentMessage) {
        if let AgentMessage::Heartbeat { window, leaving, backend_up, .. } = message {
            self.agent.on_heartbeat(*window, *leaving);
            self.router.set_accepting(server, *leaving, *backend_up);
        }
        if let Some(hint) = message.load_hint() {
            self.router.learn(server, hint);
        }
        if let AgentMessage::Suspicions(records) = message {
            self.pass_on(records);
        }
    }

    /// Entries carry suspicions from agent to agent. Only news is passed on, so it ends.
    fn pass_on(&self, records: &[SuspectRecord]) {
        let news = self.router.suspect(records);
        if news.is_empty() {
            return;
        }
        for agent in self.router.agents() {
            agent.send(EntryMessage::Suspicions(news.clone()));
        }
    }
}

/// Offers an agent to requests, or takes it out, as its duty says.
pub(crate) fn place(router: &Router, agent: &Arc<Agent>) {
    let Some(connected) = agent.connected() else { return };
    let server = ServerKey::from_name(&connected.hello.name);
    let is_placed = router.agent(server).is_some_and(|known| Arc::ptr_eq(&known, agent));
    match (agent.duty(), is_placed) {
        (Duty::Called, true) => router.remove(server, agent),
        (Duty::Cell | Duty::Guest, false) => {
            router.add(server, &connected.profile.serves, Arc::clone(agent));
            router.set_accepting(server, agent.is_leaving(), true);
        }
        _ => {}
    }
}

//! Keeps one agent connected and passes its messages to the router and the attempts.

use crate::agents::{Agent, Connected, LinkPurpose};
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

/// Shortest and longest delay between two connection attempts.
const RECONNECT_DELAY: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(1_000));

/// A connection that ends this long after the last heartbeat is recorded as silent, not as closed.
const SILENT_AFTER: Duration = Duration::from_millis(1_500);

/// Delay before connecting again to an address that turned out not to be an agent.
const NOT_AN_AGENT_DELAY: Duration = Duration::from_secs(30);

/// Maintains the connection to one agent.
pub(crate) struct Supervisor {
    pub(crate) agent: Arc<Agent>,
    pub(crate) connector: Arc<dyn Connector>,
    pub(crate) router: Arc<Router>,
    pub(crate) recorder: Recorder,
    pub(crate) stop: CancellationToken,
}

impl Supervisor {
    pub(crate) async fn run(self) {
        let mut delay = RECONNECT_DELAY.0;
        let mut epoch = 0;
        while !self.stop.is_cancelled() {
            match self.connector.connect(self.agent.address()).await {
                Ok(link) => {
                    delay = RECONNECT_DELAY.0;
                    epoch += 1;
                    self.serve_connection(link, epoch).await;
                }
                Err(error) => {
                    tracing::debug!(address = %self.agent.address(), %error, "can't connect to agent");
                    delay = (delay * 2).min(RECONNECT_DELAY.1);
                }
            }
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = self.stop.cancelled() => {}
            }
        }
    }

    async fn serve_connection(&self, mut link: AgentLink, epoch: u64) {
        let Role::Agent(profile) = &link.peer.role else {
            // Another entry. An agent can get this address only once the VM is replaced.
            let retry = tokio::time::sleep(NOT_AN_AGENT_DELAY);
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
        // The window of another incarnation doesn't apply to this one.
        self.agent.window.store(0, Ordering::Relaxed);
        let mut is_ready = false;
        while let Some(message) = self.next(&mut link).await {
            self.apply(server, &message);
            // The first heartbeat carries the window; a dispatch before it would be refused.
            if !is_ready && matches!(message, AgentMessage::Heartbeat { .. }) {
                is_ready = true;
                self.agent.set_connected(connected.clone());
                update_routing(&self.router, &self.agent);
                self.record_opened(&connected);
                let suspicions = self.router.suspicions();
                if !suspicions.is_empty() {
                    self.agent.send(EntryMessage::Suspicions(suspicions));
                }
            }
            match message {
                AgentMessage::CacheEvents(events) => self.router.apply_cache_events(server, events),
                AgentMessage::OrderAnswer { number, body } => {
                    if let Some(reply) = self.agent.orders().remove(&number) {
                        let _ = reply.send(body);
                    }
                }
                message => {
                    if let Some(attempt) = message.attempt() {
                        self.agent.deliver(attempt, message);
                    }
                }
            }
        }
        self.router.remove(server, &self.agent);
        self.agent.connected.send_replace(None);
        self.agent.notify_lost(epoch);
        self.record_closed(&connected);
    }

    /// The next message; `None` once the connection has ended or the supervisor was stopped.
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

    /// A live agent sends several heartbeats per second, so the time since the last one tells whether
    /// the connection fell silent or was closed.
    fn record_closed(&self, connected: &Connected) {
        let peer = connected.hello.name.as_str().into();
        let silence = self.agent.since_heartbeat();
        self.recorder.record(match silence >= SILENT_AFTER {
            true => Event::ConnectionSilent { peer, silent_ms: silence.as_millis() as u64 },
            false => Event::ConnectionClosed { peer },
        });
    }

    fn apply(&self, server: ServerKey, message: &AgentMessage) {
        if let AgentMessage::Heartbeat { window, leaving, backend_up, .. } = message {
            self.agent.on_heartbeat(*window, *leaving);
            self.router.set_accepting(server, *leaving, *backend_up);
        }
        if let Some(hint) = message.load_hint() {
            self.router.update_load(server, hint);
        }
        if let AgentMessage::Suspicions(records) = message {
            self.forward_suspicions(records);
        }
    }

    /// Forwards suspicions from one agent to the others. Only changes are forwarded, so that they
    /// don't circulate forever.
    fn forward_suspicions(&self, records: &[SuspectRecord]) {
        let changes = self.router.merge_suspicions(records);
        if changes.is_empty() {
            return;
        }
        for agent in self.router.agents() {
            agent.send(EntryMessage::Suspicions(changes.clone()));
        }
    }
}

/// Adds an agent to the router or removes it, as its link's purpose requires.
pub(crate) fn update_routing(router: &Router, agent: &Arc<Agent>) {
    let Some(connected) = agent.connected() else { return };
    let server = ServerKey::from_name(&connected.hello.name);
    let is_routed = router.agent(server).is_some_and(|current| Arc::ptr_eq(&current, agent));
    match (agent.purpose(), is_routed) {
        (LinkPurpose::Direct, true) => router.remove(server, agent),
        (LinkPurpose::Cell | LinkPurpose::OnDemand, false) => {
            router.add(server, &connected.profile.serves, Arc::clone(agent));
            router.set_accepting(server, agent.is_leaving(), true);
        }
        _ => {}
    }
}

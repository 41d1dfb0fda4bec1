//! Exchanges permits for limited backend servers with the other entries, by datagrams.

use crate::metrics::Metrics;
use crate::server::Server;
use crate::view::Views;
use crate::warmth::EntryTenure;
use flamingowheel_policy::cold::ColdMeter;
use flamingowheel_policy::key::ServerKey;
use flamingowheel_policy::permits::{LimitReport, Meter, Verdict, meter_of};
use flamingowheel_protocol::permits::{MAX_DATAGRAM_BYTES, PermitMessage};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Asks that wait for the exchange; further ones are dropped, and asked again later.
const QUEUED_ASKS: usize = 256;

/// Time between checks for asks without an answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which an answer is no longer expected: its permit would have expired.
const ANSWER_TIMEOUT: Duration = flamingowheel_policy::permits::PERMIT_VALIDITY;

/// Sends of a report that a server has become limited or unlimited, until the meter answers.
const MAX_REPORT_SENDS: u32 = 5;

/// What the traffic threads want of the exchange.
#[derive(Clone, Debug)]
pub struct PermitRequest {
    server: Arc<Server>,
    asked_at: Instant,
    purpose: Purpose,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// A permit for the server is asked for.
    Ask,
    /// The server has become limited or unlimited.
    Report,
    /// A permit for the cold server is asked for.
    AskCold,
    /// The server has become cold.
    ReportCold,
}

impl Purpose {
    fn is_cold(self) -> bool {
        matches!(self, Self::AskCold | Self::ReportCold)
    }

    fn is_report(self) -> bool {
        matches!(self, Self::Report | Self::ReportCold)
    }
}

/// Hands requests of the traffic threads to the exchange.
#[derive(Clone, Debug)]
pub struct PermitSender(mpsc::Sender<PermitRequest>);

impl PermitSender {
    /// Asks for a permit unless an ask is under way, or the meter has none for now.
    pub fn ask(&self, server: &Arc<Server>, now: Instant) {
        if server.begin_ask(now) {
            self.send(server, now, Purpose::Ask);
        }
        if server.begin_cold_ask(now) {
            self.send(server, now, Purpose::AskCold);
        }
    }

    /// Reports to the meter that a server has become cold.
    pub fn report_cold(&self, server: &Arc<Server>, now: Instant) {
        self.send(server, now, Purpose::ReportCold);
    }

    /// Reports to the meter that a server has become limited or unlimited.
    pub fn report(&self, server: &Arc<Server>, now: Instant) {
        self.send(server, now, Purpose::Report);
    }

    fn send(&self, server: &Arc<Server>, asked_at: Instant, purpose: Purpose) {
        let request = PermitRequest { server: Arc::clone(server), asked_at, purpose };
        if self.0.try_send(request).is_err() {
            tracing::debug!("too many asks for permits, one dropped");
        }
    }
}

/// The end of [`PermitSender`]s at the exchange.
pub type PermitRequests = mpsc::Receiver<PermitRequest>;

/// Creates the connection between traffic threads and exchange.
pub fn channel() -> (PermitSender, PermitRequests) {
    let (sender, receiver) = mpsc::channel(QUEUED_ASKS);
    (PermitSender(sender), receiver)
}

/// Asks the meters of limited servers for permits, and is the meter of some servers itself.
#[derive(Debug)]
pub struct PermitExchange {
    vm: String,
    views: Views,
    socket: UdpSocket,
    requests: PermitRequests,
    pub(crate) metrics: Arc<Metrics>,
    meter: Meter,
    pub(crate) cold_meter: ColdMeter,
    pub(crate) tenure: Arc<EntryTenure>,
    /// Asks without an answer, by their numbers.
    pending: HashMap<u64, Pending>,
    next_number: u64,
    pub(crate) origin: Instant,
}

#[derive(Debug)]
struct Pending {
    request: PermitRequest,
    sends: u32,
}

impl PermitExchange {
    /// Creates the exchange of the entry on `vm`. Other entries reach it at `socket`.
    pub fn new(
        vm: String,
        views: Views,
        socket: UdpSocket,
        requests: PermitRequests,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            tenure: Arc::new(EntryTenure::new(&vm)),
            vm,
            views,
            socket,
            requests,
            metrics,
            meter: Meter::default(),
            cold_meter: ColdMeter::default(),
            pending: HashMap::new(),
            // Random, so that answers to the asks of a process before are not taken for answers to
            // those of this one.
            next_number: rand::random(),
            origin: Instant::now(),
        }
    }

    /// Grants permits for cold servers by `tenure`; without it, none.
    pub fn with_tenure(self, tenure: Arc<EntryTenure>) -> Self {
        Self { tenure, ..self }
    }

    /// Runs until the traffic threads have ended.
    pub async fn run(mut self) {
        let mut datagram = [0; MAX_DATAGRAM_BYTES];
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                request = self.requests.recv() => match request {
                    Some(request) => self.begin(request).await,
                    None => return,
                },
                received = self.socket.recv_from(&mut datagram) => match received {
                    Ok((size, from)) => self.receive(&datagram[..size], from).await,
                    // The error of an earlier send, such as to a process that has ended.
                    Err(error) => tracing::debug!(%error, "permit socket"),
                },
                _ = checks.tick(), if !self.pending.is_empty() => self.check().await,
            }
        }
    }

    async fn begin(&mut self, request: PermitRequest) {
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        self.pending.insert(number, Pending { request, sends: 0 });
        self.send_ask(number).await;
    }

    /// Sends an ask to the server's meter, or decides it if this entry is the meter.
    async fn send_ask(&mut self, number: u64) {
        let now = Instant::now();
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        pending.sends += 1;
        let PermitRequest { server, purpose, .. } = pending.request.clone();
        if purpose.is_cold() {
            self.send_cold_ask(number, &server, purpose == Purpose::AskCold).await;
            return;
        }
        let (Some(report), Some(meter)) = (server.limit_report(now), self.meter_of(server.key))
        else {
            self.pending.remove(&number);
            return;
        };
        let wants_permit = purpose == Purpose::Ask;
        match meter {
            Some(address) => {
                let ask = PermitMessage::Ask { number, server: server.key, report, wants_permit };
                self.send(&ask, address).await;
            }
            None => {
                let verdict = self.decide(server.key, report, wants_permit).await;
                self.answer(number, verdict);
            }
        }
    }

    /// Decides an ask as the meter of a server.
    async fn decide(
        &mut self,
        server: ServerKey,
        report: LimitReport,
        wants_permit: bool,
    ) -> Verdict {
        let now = self.origin.elapsed();
        if self.meter.record_report(server, report, now) {
            self.broadcast(server, report).await;
        }
        if wants_permit { self.meter.acquire(server, now) } else { Verdict::Wait(Duration::ZERO) }
    }

    /// Sends a report to all entries and applies it here.
    async fn broadcast(&self, server: ServerKey, report: LimitReport) {
        self.apply_broadcast(server, report);
        self.send_to_others(&PermitMessage::Broadcast { server, report }).await;
    }

    pub(crate) async fn send_to_others(&self, message: &PermitMessage) {
        let view = self.views.load_full();
        let others = view.entries.iter().filter(|(vm, _)| **vm != self.vm);
        for address in others.filter_map(|(_, record)| record.peers) {
            self.send(message, address).await;
        }
    }

    fn apply_broadcast(&self, key: ServerKey, report: LimitReport) {
        if let Some(server) = self.server(key) {
            server.apply_limit_report(report, Instant::now());
        }
    }

    /// The listed server with a key.
    pub(crate) fn server(&self, key: ServerKey) -> Option<Arc<Server>> {
        let view = self.views.load();
        let mut servers = view.servers.values().flatten();
        servers.find(|server| server.key == key).cloned()
    }

    /// The address of a server's meter, `Some(None)` if it is this entry; `None` without one.
    pub(crate) fn meter_of(&self, server: ServerKey) -> Option<Option<SocketAddr>> {
        let view = self.views.load();
        let meter = meter_of(server, view.entries.keys().map(String::as_str))?;
        if meter == self.vm {
            return Some(None);
        }
        view.entries.get(meter)?.peers.map(Some)
    }

    async fn receive(&mut self, datagram: &[u8], from: SocketAddr) {
        match PermitMessage::decode(datagram) {
            Some(PermitMessage::Ask { number, server, report, wants_permit }) => {
                // Of two entries with different lists of entries, only the one that takes itself
                // for the meter grants permits.
                if self.meter_of(server) != Some(None) {
                    return;
                }
                let verdict = self.decide(server, report, wants_permit).await;
                self.send(&PermitMessage::Answer { number, verdict }, from).await;
            }
            Some(PermitMessage::Broadcast { server, report }) => {
                self.apply_broadcast(server, report);
            }
            Some(PermitMessage::Answer { number, verdict }) => self.answer(number, verdict),
            Some(PermitMessage::AskCold { number, server, report, wants_permit }) => {
                if self.meter_of(server) != Some(None) {
                    return;
                }
                let verdict = self.decide_cold(server, report, wants_permit).await;
                self.send(&PermitMessage::Answer { number, verdict }, from).await;
            }
            Some(PermitMessage::BroadcastCold { server, left }) => self.apply_cold(server, left),
            None => tracing::warn!(%from, "malformed datagram"),
        }
    }

    pub(crate) fn forget(&mut self, number: u64) {
        self.pending.remove(&number);
    }

    pub(crate) fn answer(&mut self, number: u64, verdict: Verdict) {
        let Some(pending) = self.pending.remove(&number) else {
            return;
        };
        let PermitRequest { server, asked_at, purpose } = pending.request;
        if purpose.is_report() {
            return;
        }
        if purpose == Purpose::AskCold {
            self.answer_cold(&server, asked_at, verdict);
            return;
        }
        let name = match verdict {
            Verdict::Granted => "granted",
            Verdict::Wait(_) => "wait",
            Verdict::Unlimited => "unlimited",
        };
        self.metrics.record_permit(name);
        server.answer_ask(asked_at, verdict, Instant::now());
    }

    /// Repeats reports that the meter has not answered, and forgets asks without an answer.
    async fn check(&mut self) {
        let now = Instant::now();
        let metrics = &self.metrics;
        self.pending.retain(|_, pending| {
            let is_kept = match pending.request.purpose {
                Purpose::Ask | Purpose::AskCold => now - pending.request.asked_at < ANSWER_TIMEOUT,
                Purpose::Report | Purpose::ReportCold => pending.sends < MAX_REPORT_SENDS,
            };
            if !is_kept {
                let is_cold = pending.request.purpose.is_cold();
                metrics.record_permit(if is_cold { "cold_unanswered" } else { "unanswered" });
            }
            is_kept
        });
        let is_report = |pending: &Pending| pending.request.purpose.is_report();
        let reports: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| is_report(pending))
            .map(|(number, _)| *number)
            .collect();
        for number in reports {
            self.send_ask(number).await;
        }
    }

    pub(crate) async fn send(&self, message: &PermitMessage, to: SocketAddr) {
        let Some(bytes) = message.encode() else {
            return;
        };
        if let Err(error) = self.socket.send_to(&bytes, to).await {
            tracing::debug!(%to, %error, "datagram not sent");
        }
    }
}

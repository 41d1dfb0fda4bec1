//! Permits for cold backend servers, as one more kind of permit of the exchange.

use crate::permits::PermitExchange;
use crate::server::Server;
use flamingowheel_policy::cold::Standing;
use flamingowheel_policy::key::ServerKey;
use flamingowheel_policy::permits::Verdict;
use flamingowheel_protocol::permits::{ColdReport, PermitMessage};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

impl PermitExchange {
    /// Sends an ask to the cold server's meter, or decides it if this entry is the meter.
    pub(crate) async fn send_cold_ask(
        &mut self,
        number: u64,
        server: &Arc<Server>,
        wants_permit: bool,
    ) {
        let report = server.cold_report(Instant::now());
        let (Some(report), Some(meter)) = (report, self.meter_of(server.key)) else {
            self.forget(number);
            return;
        };
        match meter {
            Some(address) => {
                let server = server.key;
                let ask = PermitMessage::AskCold { number, server, report, wants_permit };
                self.send(&ask, address).await;
            }
            None => {
                let verdict = self.decide_cold(server.key, report, wants_permit).await;
                self.answer(number, verdict);
            }
        }
    }

    /// Decides an ask as the meter of a cold server.
    pub(crate) async fn decide_cold(
        &mut self,
        server: ServerKey,
        report: ColdReport,
        wants_permit: bool,
    ) -> Verdict {
        let now = self.origin.elapsed();
        if self.cold_meter.record_cold(server, report.left, now) {
            self.apply_cold(server, report.left);
            let left = report.left;
            self.send_to_others(&PermitMessage::BroadcastCold { server, left }).await;
        }
        if !wants_permit {
            return Verdict::Wait(Duration::ZERO);
        }
        let standing = self.tenure.standing(server, Instant::now());
        let verdict = self.cold_meter.acquire(server, report.allowance, standing, now);
        if verdict != Verdict::Granted {
            self.report_room(server, report, standing);
        }
        verdict
    }

    fn report_room(&mut self, key: ServerKey, report: ColdReport, standing: Standing) {
        let now = self.origin.elapsed();
        let room = self.cold_meter.room_to_report(key, report.allowance, standing, now);
        if let Some((room, server)) = room.zip(self.server(key)) {
            tracing::info!(
                server = server.listed.id,
                granted = room.granted,
                most = room.most,
                standing = standing.name(),
                left_ms = report.left.as_millis() as u64,
                "no permit for a cold server"
            );
        }
    }

    /// Takes over that a server remains cold for `left`.
    pub(crate) fn apply_cold(&self, key: ServerKey, left: Duration) {
        let Some(server) = self.server(key) else {
            return;
        };
        if server.record_cold(left, Instant::now()) {
            self.metrics.record_signal("cold_told");
            let left_ms = left.as_millis() as u64;
            tracing::info!(server = server.listed.id, left_ms, "backend server is cold, told");
        }
    }

    /// Records the meter's answer to an ask.
    pub(crate) fn answer_cold(&self, server: &Server, asked_at: Instant, verdict: Verdict) {
        let name = match verdict {
            Verdict::Granted => "cold_granted",
            Verdict::Wait(_) | Verdict::Unlimited => "cold_wait",
        };
        self.metrics.record_permit(name);
        server.answer_cold_ask(asked_at, verdict, Instant::now());
    }
}

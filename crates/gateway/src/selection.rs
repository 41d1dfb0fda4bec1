//! Chooses a backend server for a request, and waits for a permit if only limited ones are left.

use crate::balance::{self, Choice, Chosen};
use crate::exchange::Exchange;
use crate::group::Admission;
use crate::permits::PermitSender;
use crate::server::Server;
use crate::view::Views;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Longest wait for the answer to an ask for a permit: some round trips between data centres.
const PERMIT_WAIT: Duration = Duration::from_millis(50);

/// The same for a cold server, while another one would take the request.
const COLD_PERMIT_WAIT: Duration = Duration::from_millis(10);

/// Time between checks for such an answer.
const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Chooses servers in the newest view.
#[derive(Clone, Debug)]
pub struct Selector {
    views: Views,
    permits: PermitSender,
}

impl Selector {
    /// Creates a selector that asks for permits through `permits`.
    pub fn new(views: Views, permits: PermitSender) -> Self {
        Self { views, permits }
    }

    /// Chooses a server, and asks for a permit if a limited one would have been better. Waits for the
    /// answer only if no other server takes the request, or briefly for a cold one: another request
    /// of this entry may come too late to use the permit.
    pub async fn choose(
        &self,
        exchange: &Exchange,
        tried: &[Arc<Server>],
        admission: Option<&Admission>,
    ) -> Choice {
        let begun_at = Instant::now();
        let homes = exchange.homes();
        let mut asked = None;
        loop {
            let (view, now) = (self.views.load_full(), Instant::now());
            let Chosen { choice, wanted } =
                balance::choose_at_home(&view, &exchange.service, tried, admission, homes, now);
            let is_held = matches!(choice, Choice::Held(_));
            if let Some(server) = wanted.filter(|_| is_held || asked.is_none()) {
                self.permits.ask(&server, now);
                asked = Some(server);
            }
            let servers = view.servers_of(&exchange.service);
            let (is_awaited, max_wait) = if is_held {
                (servers.iter().any(|server| is_asking(server, now)), PERMIT_WAIT)
            } else {
                (asked.as_ref().is_some_and(|s| s.is_asking_cold(now)), COLD_PERMIT_WAIT)
            };
            if !is_awaited || now >= exchange.deadline.min(begun_at + max_wait) {
                if let Choice::Held(wait) = choice {
                    log_held(exchange, servers, wait, now);
                }
                return balance::prefer_permitted(choice, &view, asked.as_ref(), now);
            }
            sleep(PERMIT_POLL_INTERVAL).await;
        }
    }
}

fn is_asking(server: &Server, now: Instant) -> bool {
    server.is_asking(now) || server.is_asking_cold(now)
}

fn log_held(exchange: &Exchange, servers: &[Arc<Server>], wait: Duration, now: Instant) {
    let cold = servers.iter().filter(|server| !server.cold_left(now).is_zero()).count();
    tracing::info!(
        request = exchange.head.attempt_id,
        service = exchange.service,
        cold,
        servers = servers.len(),
        wait_ms = wait.as_millis() as u64,
        "every server is held"
    );
}

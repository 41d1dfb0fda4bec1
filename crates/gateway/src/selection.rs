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
    /// answer only if no other server takes the request.
    pub async fn choose(
        &self,
        exchange: &Exchange,
        tried: &[Arc<Server>],
        admission: Option<&Admission>,
    ) -> Choice {
        let wait_until = exchange.deadline.min(Instant::now() + PERMIT_WAIT);
        let homes = exchange.homes();
        loop {
            let (view, now) = (self.views.load_full(), Instant::now());
            let Chosen { choice, wanted } =
                balance::choose_at_home(&view, &exchange.service, tried, admission, homes, now);
            if let Some(server) = wanted {
                self.permits.ask(&server, now);
            }
            let is_held = matches!(choice, Choice::Held(_));
            let mut servers = view.servers_of(&exchange.service).iter();
            if !is_held || now >= wait_until || !servers.any(|server| server.is_asking(now)) {
                return choice;
            }
            sleep(PERMIT_POLL_INTERVAL).await;
        }
    }
}

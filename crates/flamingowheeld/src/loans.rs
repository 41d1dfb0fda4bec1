//! Lends and borrows shares of workspaces' limits between entries.

use flamingowheel_control::node::{Lender, Node};
use flamingowheel_control::transport::PeerTransport;
use flamingowheel_entry::limits::OutgoingLoanRequest;
use flamingowheel_entry::state::EntryState;
use flamingowheel_policy::key::EntryKey;
use flamingowheel_policy::limits::{Loan, LoanRequest};
use flamingowheel_protocol::peer::{PeerAnswer, PeerRequest};
use futures_util::future::join_all;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Longest time between two checks for loan requests to send.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A lender that does not answer in this time is skipped until the next request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Lends to other entries from this entry's shares.
pub struct EntryLender(pub Arc<EntryState>);

impl Lender for EntryLender {
    fn lend(&self, workspace: &str, borrower: EntryKey, request: &LoanRequest) -> Loan {
        let no_loan = Loan { number: request.number, share: 0.0 };
        let effective = self.0.effective.load();
        let Some(workspace) = effective.workspace(workspace) else { return no_loan };
        let members = self.0.subset(workspace);
        self.0.limiter.lend(workspace, &members, borrower, request)
    }
}

/// Sends the limiter's loan requests; never returns.
pub async fn request_loans(node: Node, state: Arc<EntryState>, peers: Arc<dyn PeerTransport>) {
    loop {
        state.limiter.wait_for_demand(CHECK_INTERVAL).await;
        let requests = state.limiter.loan_requests();
        join_all(requests.iter().map(|outgoing| request_loan(&node, &state, &*peers, outgoing)))
            .await;
    }
}

async fn request_loan(
    node: &Node,
    state: &EntryState,
    peers: &dyn PeerTransport,
    outgoing: &OutgoingLoanRequest,
) {
    let members = node.members();
    let lender =
        members.iter().find(|member| EntryKey::from_name(&member.record.name) == outgoing.lender);
    let Some(lender) = lender else { return };
    let request = PeerRequest::Loan {
        workspace: outgoing.workspace.to_string(),
        borrower: state.config.name.clone(),
        request: outgoing.request,
    };
    let answer = timeout(ANSWER_TIMEOUT, peers.ask(lender.record.inner, request)).await;
    // Without an answer this entry must assume that nothing was lent. If the lender did lend, the
    // loan expires by itself.
    if let Ok(Ok(PeerAnswer::Loan(loan))) = answer {
        state.limiter.apply_loan(outgoing, &loan);
    }
}

//! Moves shares of workspaces' limits between entries.

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

/// Time between two looks at what is missing.
const INTERVAL: Duration = Duration::from_millis(100);

/// A lender that does not answer in this time is passed over for now.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);

/// Lends from this entry's shares.
pub struct EntryLender(pub Arc<EntryState>);

impl Lender for EntryLender {
    fn lend(&self, workspace: &str, borrower: EntryKey, request: &LoanRequest) -> Loan {
        let nothing = Loan { number: request.number, share: 0.0 };
        let effective = self.0.effective.load();
        let Some(workspace) = effective.workspace(workspace) else { return nothing };
        let members = self.0.subset(workspace);
        self.0.limiter.lend(workspace, &members, borrower, request)
    }
}

/// Asks for loans for ever.
pub async fn borrow(node: Node, state: Arc<EntryState>, peers: Arc<dyn PeerTransport>) {
    loop {
        state.limiter.wait_for_demand(INTERVAL).await;
        let asked = state.limiter.loan_requests();
        join_all(asked.iter().map(|borrowing| ask(&node, &state, &*peers, borrowing))).await;
    }
}

async fn ask(
    node: &Node,
    state: &EntryState,
    peers: &dyn PeerTransport,
    borrowing: &OutgoingLoanRequest,
) {
    let members = node.members();
    let lender =
        members.iter().find(|member| EntryKey::from_name(&member.record.name) == borrowing.lender);
    let Some(lender) = lender else { return };
    let request = PeerRequest::Loan {
        workspace: borrowing.workspace.to_string(),
        borrower: state.config.name.clone(),
        request: borrowing.request,
    };
    let answer = timeout(ANSWER_LIMIT, peers.ask(lender.record.inner, request)).await;
    // Without an answer nothing was lent as far as this side may assume; the lender's loan ends
    // by itself.
    if let Ok(Ok(PeerAnswer::Loan(loan))) = answer {
        state.limiter.apply_loan(borrowing, &loan);
    }
}

//! Answers to peers.

use super::{NewerPeer, Node, Progress};
use flamingowheel_config::bucket::{Bucket, BucketId, WORKSPACE_BUCKETS, encode};
use flamingowheel_config::effective::ConfigRevision;
use flamingowheel_policy::key::EntryKey;
use flamingowheel_policy::limits::{Loan, LoanRequest};
use flamingowheel_protocol::peer::{
    Heartbeat, HeartbeatAnswer, PeerAnswer, PeerRequest, StoredValue,
};
use std::time::Duration;

/// Longest time an answer to a heartbeat is held.
const MAX_HOLD: Duration = Duration::from_secs(10);

impl Node {
    /// Answers a peer. A heartbeat is held until there is news, so that a change travels down in
    /// round trips and not in polling intervals.
    pub async fn answer(&self, request: PeerRequest) -> PeerAnswer {
        match request {
            PeerRequest::Heartbeat(heartbeat) => self.answer_heartbeat(*heartbeat).await,
            PeerRequest::Changes { after } => self.answer_changes(ConfigRevision(after)),
            PeerRequest::Bucket { number } => self.answer_bucket(number),
            PeerRequest::Status => self.answer_status(),
            PeerRequest::Loan { workspace, borrower, request } => {
                PeerAnswer::Loan(self.lend(&workspace, &borrower, &request))
            }
            PeerRequest::BindKey(claim) => PeerAnswer::KeyBound(self.bind_key(claim).await),
        }
    }

    /// Without a lender, as in a process that is just starting, nothing is lent.
    fn lend(&self, workspace: &str, borrower: &str, request: &LoanRequest) -> Loan {
        match self.shared.lender.get() {
            Some(lender) => lender.lend(workspace, EntryKey::from_name(borrower), request),
            None => Loan { number: request.number, share: 0.0 },
        }
    }

    /// Without a binder the answer is empty, and whoever asked binds the key itself.
    async fn bind_key(&self, claim: StoredValue) -> StoredValue {
        match self.shared.binder.get() {
            Some(binder) => binder.bind(claim).await,
            None => StoredValue(Vec::new()),
        }
    }

    async fn answer_heartbeat(&self, heartbeat: Heartbeat) -> PeerAnswer {
        let Heartbeat { from, revision, after, hold_ms, updates: news, agent_digests } = heartbeat;
        self.change(|state| {
            state.reported.insert(from.name.clone(), ConfigRevision(revision));
            state.take(&from.name, news)
        });
        self.note_ahead(&from.name, ConfigRevision(revision));
        let hold = Duration::from_millis(u64::from(hold_ms)).min(MAX_HOLD);
        let mut progress = self.progress();
        let news = |own: &Progress| own.revision.0 > revision || own.version > after;
        // Running out of time only means that there is no news.
        let _ = tokio::time::timeout(hold, progress.wait_for(news)).await;
        let state = self.state();
        let mut news = state.table.updates_after(after);
        let mut agent_parts = Vec::new();
        if !agent_digests.is_empty() {
            agent_parts = state.table.directory().differing_parts(&agent_digests);
            news.agents = state.table.directory().records_in_parts(&agent_parts);
        }
        PeerAnswer::Heartbeat(Box::new(HeartbeatAnswer {
            from: state.sender(),
            revision: state.replica.revision().0,
            service_answered_ms_ago: state
                .service_answered_at
                .map(|at| at.elapsed().as_millis() as u64),
            version: state.table.version(),
            updates: news,
            agent_parts,
        }))
    }

    /// A poller can be ahead of those it polls: it took an operator's change itself, and the
    /// key-value service that would tell the watchers is away. Parents that waited for the service
    /// would lack the change for as long as the outage lasts, though they were told of it.
    fn note_ahead(&self, name: &str, revision: ConfigRevision) {
        if revision > self.revision() {
            self.shared.ahead.send_replace(Some(NewerPeer { name: name.to_owned(), revision }));
        }
    }

    fn answer_changes(&self, after: ConfigRevision) -> PeerAnswer {
        match self.state().replica.changes_after(after) {
            Some(changes) => {
                let stored = changes.iter().map(|change| StoredValue(encode(&**change)));
                PeerAnswer::Changes(stored.collect())
            }
            None => PeerAnswer::NotKept,
        }
    }

    fn answer_bucket(&self, number: u8) -> PeerAnswer {
        let documents = self.state().replica.documents().clone();
        let id = match number.checked_sub(1) {
            None => BucketId::Templates,
            Some(number) => BucketId::Workspaces(number % WORKSPACE_BUCKETS),
        };
        let value = StoredValue(encode(&Bucket::of(id, &documents)));
        PeerAnswer::Bucket { revision: documents.revision.0, value }
    }

    fn answer_status(&self) -> PeerAnswer {
        let state = self.state();
        PeerAnswer::Status {
            record: Box::new(state.table.own_record().clone()),
            revision: state.replica.revision().0,
            digest: state.table.digest(),
        }
    }
}

//! Answers to requests of peers.

use super::{NewerPeer, Node, Progress};
use flamingowheel_config::bucket::{Bucket, BucketId, WORKSPACE_BUCKETS, encode};
use flamingowheel_config::effective::ConfigRevision;
use flamingowheel_policy::key::EntryKey;
use flamingowheel_policy::limits::{Loan, LoanRequest};
use flamingowheel_protocol::peer::{
    Heartbeat, HeartbeatAnswer, PeerAnswer, PeerRequest, StoredValue,
};
use std::time::Duration;

/// Upper bound on how long an answer to a heartbeat is held, whatever the peer asks for.
const MAX_HOLD: Duration = Duration::from_secs(10);

impl Node {
    /// Answers a peer. A heartbeat is held until there is an update, so that a change propagates in
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

    /// Grants nothing if no lender is set, as while the process starts.
    fn lend(&self, workspace: &str, borrower: &str, request: &LoanRequest) -> Loan {
        match self.shared.lender.get() {
            Some(lender) => lender.lend(workspace, EntryKey::from_name(borrower), request),
            None => Loan { number: request.number, share: 0.0 },
        }
    }

    /// Returns an empty answer if no binder is set; the asking entry then binds the key itself.
    async fn bind_key(&self, claim: StoredValue) -> StoredValue {
        match self.shared.binder.get() {
            Some(binder) => binder.bind(claim).await,
            None => StoredValue(Vec::new()),
        }
    }

    async fn answer_heartbeat(&self, heartbeat: Heartbeat) -> PeerAnswer {
        let Heartbeat { from, revision, after, hold_ms, updates, agent_digests } = heartbeat;
        self.update(|state| {
            state.reported.insert(from.name.clone(), ConfigRevision(revision));
            state.merge_updates(&from.name, updates)
        });
        self.notify_if_newer(&from.name, ConfigRevision(revision));
        let hold = Duration::from_millis(u64::from(hold_ms)).min(MAX_HOLD);
        let mut progress = self.progress();
        let has_update = |own: &Progress| own.revision.0 > revision || own.version > after;
        // A timeout only means that there is no update.
        let _ = tokio::time::timeout(hold, progress.wait_for(has_update)).await;
        let state = self.state();
        let mut updates = state.table.updates_after(after);
        let mut agent_parts = Vec::new();
        if !agent_digests.is_empty() {
            agent_parts = state.table.directory().differing_parts(&agent_digests);
            updates.agents = state.table.directory().records_in_parts(&agent_parts);
        }
        PeerAnswer::Heartbeat(Box::new(HeartbeatAnswer {
            from: state.sender(),
            revision: state.replica.revision().0,
            service_answered_ms_ago: state
                .service_answered_at
                .map(|at| at.elapsed().as_millis() as u64),
            version: state.table.version(),
            updates,
            agent_parts,
        }))
    }

    /// Notifies the synchronizer if a peer that polls this process has a newer revision.
    ///
    /// This happens if the peer accepted an operator's change and the key-value service failed
    /// before the watchers received it. Without the notification the polled processes would lack
    /// the change until the service is back.
    fn notify_if_newer(&self, name: &str, revision: ConfigRevision) {
        if revision > self.revision() {
            self.shared
                .newer_peer
                .send_replace(Some(NewerPeer { name: name.to_owned(), revision }));
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

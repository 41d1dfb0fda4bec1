//! Polling every process for the revision it has in force.

use crate::node::{MemberView, Node};
use crate::transport::PeerTransport;
use flamingowheel_config::api::{InForce, LaggingProcess};
use flamingowheel_config::effective::ConfigRevision;
use flamingowheel_protocol::peer::{MemberState, PeerAnswer, PeerRequest};
use futures_util::StreamExt;
use futures_util::stream;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Upper bound on requests in flight.
const MAX_CONCURRENT_REQUESTS: usize = 32;
/// Timeout of a request to one process.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two rounds of requests.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Polls other processes for their revisions, only on an operator's request. If all processes
/// exchanged their revisions all the time, each change would cost a message for every pair of them.
#[derive(Clone, Copy)]
pub(crate) struct RevisionPoll<'a> {
    pub(crate) node: &'a Node,
    pub(crate) peers: &'a dyn PeerTransport,
}

impl RevisionPoll<'_> {
    /// Waits until every other process answers and has `revision` in force, at most for `limit`.
    pub(crate) async fn wait_until_in_force(
        self,
        revision: ConfigRevision,
        limit: Duration,
    ) -> InForce {
        let start = Instant::now();
        let mut done = BTreeSet::from([self.node.own_record().name]);
        loop {
            let members = self.others();
            let missing = members.iter().filter(|member| !done.contains(&member.record.name));
            let answered = self.poll_all(missing.cloned().collect()).await;
            let up_to_date = answered.iter().filter(|(_, current)| *current >= revision);
            done.extend(up_to_date.map(|(name, _)| name.clone()));
            let in_force = summarize(&members, &done, &answered, start.elapsed());
            if in_force.everywhere && in_force.silent.is_empty() || start.elapsed() >= limit {
                return in_force;
            }
            sleep(ROUND_INTERVAL).await;
        }
    }

    /// Polls every process once, so that the node has the current revision of each.
    pub(crate) async fn refresh(self) {
        self.poll_all(self.others()).await;
    }

    fn others(self) -> Vec<MemberView> {
        let own = self.node.own_record().name;
        let others = self.node.members().into_iter();
        others.filter(|m| m.record.name != own && m.state != MemberState::Gone).collect()
    }

    /// Returns name and revision of each process that answers.
    async fn poll_all(self, members: Vec<MemberView>) -> Vec<(String, ConfigRevision)> {
        let polls = members.into_iter().map(|member| self.poll(member));
        let answers = stream::iter(polls).buffer_unordered(MAX_CONCURRENT_REQUESTS);
        answers.filter_map(|answer| async { answer }).collect().await
    }

    async fn poll(self, member: MemberView) -> Option<(String, ConfigRevision)> {
        let answer = self.peers.ask(member.record.inner, PeerRequest::Status);
        let answer = timeout(ANSWER_TIMEOUT, answer).await.ok()?.ok()?;
        let PeerAnswer::Status { record, revision, .. } = answer else { return None };
        // The address may belong to another process by now.
        if record.name != member.record.name {
            return None;
        }
        let revision = ConfigRevision(revision);
        self.node.record_status(*record, revision);
        Some((member.record.name, revision))
    }
}

/// A process that neither answered in this round nor was done before counts as silent, whatever its
/// state in the member table.
fn summarize(
    members: &[MemberView],
    done: &BTreeSet<String>,
    answered: &[(String, ConfigRevision)],
    waited: Duration,
) -> InForce {
    let behind: Vec<LaggingProcess> = answered
        .iter()
        .filter(|(name, _)| !done.contains(name))
        .map(|(name, revision)| LaggingProcess { process: name.clone(), revision: *revision })
        .collect();
    let has_responded =
        |name: &str| done.contains(name) || answered.iter().any(|(other, _)| other == name);
    let names = members.iter().map(|member| member.record.name.clone());
    let silent: Vec<String> = names.filter(|name| !has_responded(name)).collect();
    let waited_ms = waited.as_millis() as u64;
    let processes = done.iter().cloned().collect();
    InForce { everywhere: behind.is_empty(), waited_ms, processes, behind, silent }
}

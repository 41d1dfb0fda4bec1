//! Asking every process what it has in force.

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

/// Processes asked at one time.
const MAX_ASKED_AT_ONCE: usize = 32;
/// How long one process may take to answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);
/// Time between two rounds of questions.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Asks other processes directly, only when somebody wants to know. Were every process's revision
/// told to everybody all the time, each change would cost a message a process and process.
#[derive(Clone, Copy)]
pub(crate) struct RollCall<'a> {
    pub(crate) node: &'a Node,
    pub(crate) peers: &'a dyn PeerTransport,
}

impl RollCall<'_> {
    /// Waits until every process that answers has `revision` in force, at most for `limit`.
    pub(crate) async fn wait(self, revision: ConfigRevision, limit: Duration) -> InForce {
        let start = Instant::now();
        let mut done = BTreeSet::from([self.node.own_record().name]);
        loop {
            let members = self.others();
            let missing = members.iter().filter(|member| !done.contains(&member.record.name));
            let answered = self.ask_all(missing.cloned().collect()).await;
            let have = answered.iter().filter(|(_, has)| *has >= revision);
            done.extend(have.map(|(name, _)| name.clone()));
            let in_force = report(&members, &done, &answered, start.elapsed());
            if in_force.everywhere && in_force.silent.is_empty() || start.elapsed() >= limit {
                return in_force;
            }
            sleep(ROUND_INTERVAL).await;
        }
    }

    /// Asks every process once, so that the node knows what each has in force.
    pub(crate) async fn refresh(self) {
        self.ask_all(self.others()).await;
    }

    fn others(self) -> Vec<MemberView> {
        let own = self.node.own_record().name;
        let others = self.node.members().into_iter();
        others.filter(|m| m.record.name != own && m.state != MemberState::Gone).collect()
    }

    /// Name and revision of those that answer.
    async fn ask_all(self, members: Vec<MemberView>) -> Vec<(String, ConfigRevision)> {
        let asked = members.into_iter().map(|member| self.ask(member));
        let answers = stream::iter(asked).buffer_unordered(MAX_ASKED_AT_ONCE);
        answers.filter_map(|answer| async { answer }).collect().await
    }

    async fn ask(self, member: MemberView) -> Option<(String, ConfigRevision)> {
        let asked = self.peers.ask(member.record.inner, PeerRequest::Status);
        let answer = timeout(ANSWER_LIMIT, asked).await.ok()?.ok()?;
        let PeerAnswer::Status { record, revision, .. } = answer else { return None };
        // Another process may have got the address.
        if record.name != member.record.name {
            return None;
        }
        let revision = ConfigRevision(revision);
        self.node.take_status(*record, revision);
        Some((member.record.name, revision))
    }
}

/// Processes that did not answer in this round count as silent, whatever was believed of them.
fn report(
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
    let known = |name: &str| done.contains(name) || answered.iter().any(|(other, _)| other == name);
    let names = members.iter().map(|member| member.record.name.clone());
    let silent: Vec<String> = names.filter(|name| !known(name)).collect();
    let waited_ms = waited.as_millis() as u64;
    let processes = done.iter().cloned().collect();
    InForce { everywhere: behind.is_empty(), waited_ms, processes, behind, silent }
}

//! Hands callers' idempotency keys to the entries that write them.

use flamingowheel_backing::BoxFuture;
use flamingowheel_control::node::{KeyBinder, Node};
use flamingowheel_control::transport::PeerTransport;
use flamingowheel_entry::claims::{BindReply, Claims, ForwardedClaim, Peers, writer_of};
use flamingowheel_entry::state::EntryState;
use flamingowheel_protocol::peer::{MemberState, PeerAnswer, PeerRequest, StoredValue};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// How long a choice of the writer counts. Looking through all members for each key would cost more
/// than the key.
const CHOICE_TIME: Duration = Duration::from_millis(500);

/// Binds keys for others, with this entry's own.
pub struct EntryBinder(pub Arc<EntryState>);

impl KeyBinder for EntryBinder {
    fn bind(&self, claim: StoredValue) -> BoxFuture<'_, StoredValue> {
        Box::pin(bind_for(&self.0.claims, claim))
    }
}

/// Binds a key for another entry; what can't be read has an empty answer.
pub async fn bind_for(claims: &Claims, claim: StoredValue) -> StoredValue {
    let Ok(handed) = serde_json::from_slice::<ForwardedClaim>(&claim.0) else {
        return StoredValue(Vec::new());
    };
    let settled = claims.bind_for_peer(handed).await;
    // Writing plain values to memory can't fail.
    StoredValue(serde_json::to_vec(&settled).unwrap_or_default())
}

/// The other entries, as claims reach them.
pub struct KeyPeers {
    node: Node,
    transport: Arc<dyn PeerTransport>,
    choice: Mutex<Option<(Instant, Option<String>)>>,
}

impl KeyPeers {
    /// Reaches them over this transport.
    pub fn new(node: Node, transport: Arc<dyn PeerTransport>) -> Self {
        Self { node, transport, choice: Mutex::default() }
    }

    fn choose(&self) -> Option<String> {
        let own = self.node.own_record();
        let members = self.node.members();
        let live = members.iter().filter(|member| {
            member.state == MemberState::Live && member.record.region == own.region
        });
        let writer = writer_of(&own.name, live.map(|member| member.record.name.as_str()));
        (writer != own.name).then(|| writer.to_owned())
    }
}

impl Peers for KeyPeers {
    fn writer(&self) -> Option<String> {
        let mut choice = self.choice.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((at, writer)) = &*choice
            && at.elapsed() < CHOICE_TIME
        {
            return writer.clone();
        }
        let writer = self.choose();
        *choice = Some((Instant::now(), writer.clone()));
        writer
    }

    fn forward<'a>(
        &'a self,
        writer: &'a str,
        handed: &'a ForwardedClaim,
    ) -> BoxFuture<'a, Option<BindReply>> {
        Box::pin(async move {
            let address = self.node.address(writer)?;
            let claim = StoredValue(serde_json::to_vec(handed).ok()?);
            let answer = self.transport.ask(address, PeerRequest::BindKey(claim)).await;
            let Ok(PeerAnswer::KeyBound(settled)) = answer else { return None };
            serde_json::from_slice(&settled.0).ok()
        })
    }
}

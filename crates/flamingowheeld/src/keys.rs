//! Forwards callers' idempotency keys to the entries that write them to the key-value service.

use flamingowheel_backing::BoxFuture;
use flamingowheel_control::node::{KeyBinder, Node};
use flamingowheel_control::transport::PeerTransport;
use flamingowheel_entry::claims::{BindReply, Claims, ForwardedClaim, Peers, writer_of};
use flamingowheel_entry::state::EntryState;
use flamingowheel_protocol::peer::{MemberState, PeerAnswer, PeerRequest, StoredValue};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// How long the chosen writer is cached. Searching all members for each key would cost more than
/// binding the key.
const WRITER_CACHE_TTL: Duration = Duration::from_millis(500);

/// Binds keys that other entries forward, through this entry's claims.
pub struct EntryBinder(pub Arc<EntryState>);

impl KeyBinder for EntryBinder {
    fn bind(&self, claim: StoredValue) -> BoxFuture<'_, StoredValue> {
        Box::pin(bind_for_peer(&self.0.claims, claim))
    }
}

/// Binds a key that another entry forwarded. A claim that can't be decoded gets an empty answer.
pub async fn bind_for_peer(claims: &Claims, claim: StoredValue) -> StoredValue {
    let Ok(forwarded) = serde_json::from_slice::<ForwardedClaim>(&claim.0) else {
        return StoredValue(Vec::new());
    };
    let reply = claims.bind_for_peer(forwarded).await;
    // Serialising plain values into memory can't fail.
    StoredValue(serde_json::to_vec(&reply).unwrap_or_default())
}

/// Forwards claims to other entries and caches which entry is the writer.
pub struct KeyPeers {
    node: Node,
    transport: Arc<dyn PeerTransport>,
    cached_writer: Mutex<Option<(Instant, Option<String>)>>,
}

impl KeyPeers {
    /// Finds entries through `node` and sends to them over `transport`.
    pub fn new(node: Node, transport: Arc<dyn PeerTransport>) -> Self {
        Self { node, transport, cached_writer: Mutex::default() }
    }

    fn choose_writer(&self) -> Option<String> {
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
        let mut cached_writer = self.cached_writer.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((chosen_at, writer)) = &*cached_writer
            && chosen_at.elapsed() < WRITER_CACHE_TTL
        {
            return writer.clone();
        }
        let writer = self.choose_writer();
        *cached_writer = Some((Instant::now(), writer.clone()));
        writer
    }

    fn forward<'a>(
        &'a self,
        writer: &'a str,
        forwarded: &'a ForwardedClaim,
    ) -> BoxFuture<'a, Option<BindReply>> {
        Box::pin(async move {
            let address = self.node.address(writer)?;
            let claim = StoredValue(serde_json::to_vec(forwarded).ok()?);
            let answer = self.transport.ask(address, PeerRequest::BindKey(claim)).await;
            let Ok(PeerAnswer::KeyBound(reply)) = answer else { return None };
            serde_json::from_slice(&reply.0).ok()
        })
    }
}

//! Claims that entries forward to other entries for writing.

use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_entry::claims::{BindReply, Claim, Claims, ForwardedClaim, Peers};
use flamingowheel_entry::config::EntryConfig;
use flamingowheel_protocol::auth::FleetKey;
use std::future::pending;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::time::Instant;

const BIND_TIMEOUT: Duration = Duration::from_secs(5);

/// How the writer handles a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Binds,
    /// It has crashed.
    NoReply,
    /// It binds the key and crashes before it replies.
    BindsWithoutReply,
    /// It can't reach the key-value service.
    Refuses,
}

struct Writer {
    claims: Claims,
    behaviour: Behaviour,
    forwarded_count: AtomicU32,
}

impl Peers for Writer {
    fn writer(&self) -> Option<String> {
        Some("writer".to_owned())
    }

    fn forward<'a>(
        &'a self,
        _: &'a str,
        forwarded: &'a ForwardedClaim,
    ) -> BoxFuture<'a, Option<BindReply>> {
        self.forwarded_count.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            match self.behaviour {
                Behaviour::Binds => Some(self.claims.bind_for_peer(forwarded.clone()).await),
                Behaviour::NoReply => pending().await,
                Behaviour::BindsWithoutReply => {
                    self.claims.bind_for_peer(forwarded.clone()).await;
                    pending().await
                }
                Behaviour::Refuses => Some(BindReply::NotBound),
            }
        })
    }
}

fn claims(kv: &FakeKeyValue) -> Claims {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 8080));
    let config = EntryConfig::new("entry", "a", address, FleetKey::new([7; 32]));
    Claims::start(Arc::new(kv.clone()), &config)
}

fn claims_with_writer(kv: &FakeKeyValue, behaviour: Behaviour) -> (Claims, Arc<Writer>) {
    let (own, forwarded_count) = (claims(kv), AtomicU32::new(0));
    let writer = Arc::new(Writer { claims: claims(kv), behaviour, forwarded_count });
    own.set_peers(Arc::<Writer>::clone(&writer));
    (own, writer)
}

fn claim(ticket: &str) -> Claim {
    Claim::new(ticket.to_owned(), "0".to_owned())
}

async fn bind(claims: &Claims, key: &str, ticket: &str) -> Claim {
    claims.bind("workspace", key, claim(ticket), Instant::now() + BIND_TIMEOUT).await.unwrap()
}

// Guards against callers depending on a failed writer. The writer crashes before the write or between
// the write and its reply, or can't reach the key-value service. The caller's key must still be bound
// to its own ticket quickly, and later claims must not wait for that writer again.
#[tokio::test(start_paused = true)]
async fn bind_writer_fails_own_entry_writes() {
    for behaviour in [Behaviour::NoReply, Behaviour::BindsWithoutReply, Behaviour::Refuses] {
        let kv = FakeKeyValue::new();
        let (own, writer) = claims_with_writer(&kv, behaviour);
        let started = Instant::now();
        assert_eq!(bind(&own, "key", "one").await, claim("one"), "{behaviour:?}");
        assert!(started.elapsed() < Duration::from_millis(1_200), "{behaviour:?}");
        let started = Instant::now();
        bind(&own, "key-2", "two").await;
        assert!(started.elapsed() < Duration::from_millis(100), "{behaviour:?}");
        assert_eq!(writer.forwarded_count.load(Ordering::Relaxed), 1, "{behaviour:?}");
    }
}

// Guards against two tickets for one key. Copies of one call arrive concurrently at an entry and at
// its writer; all must be bound to the same ticket.
#[tokio::test(start_paused = true)]
async fn bind_copies_everywhere_one_ticket() {
    let kv = FakeKeyValue::new();
    kv.set_delay(Duration::from_millis(20));
    let (own, writer) = claims_with_writer(&kv, Behaviour::Binds);
    let (one, two, three) = tokio::join!(
        bind(&own, "key", "one"),
        bind(&own, "key", "two"),
        bind(&writer.claims, "key", "three"),
    );
    assert_eq!(one, two);
    assert_eq!(two, three);
    assert_eq!(kv.peek("").entries.len(), 1);
}

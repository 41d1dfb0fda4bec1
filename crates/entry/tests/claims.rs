//! Callers' keys that entries hand to others to write.

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

const TIME: Duration = Duration::from_secs(5);

/// What the writer does with a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Does {
    Binds,
    /// It is gone.
    Nothing,
    /// It binds the key and dies before it answers.
    BindsUnheard,
    /// It does not reach the key-value service.
    Refuses,
}

struct Writer {
    claims: Claims,
    does: Does,
    asked: AtomicU32,
}

impl Peers for Writer {
    fn writer(&self) -> Option<String> {
        Some("writer".to_owned())
    }

    fn forward<'a>(
        &'a self,
        _: &'a str,
        handed: &'a ForwardedClaim,
    ) -> BoxFuture<'a, Option<BindReply>> {
        self.asked.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            match self.does {
                Does::Binds => Some(self.claims.bind_for_peer(handed.clone()).await),
                Does::Nothing => pending().await,
                Does::BindsUnheard => {
                    self.claims.bind_for_peer(handed.clone()).await;
                    pending().await
                }
                Does::Refuses => Some(BindReply::NotBound),
            }
        })
    }
}

fn claims(kv: &FakeKeyValue) -> Claims {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 8080));
    let config = EntryConfig::new("entry", "a", address, FleetKey::new([7; 32]));
    Claims::start(Arc::new(kv.clone()), &config)
}

fn handing(kv: &FakeKeyValue, does: Does) -> (Claims, Arc<Writer>) {
    let (own, asked) = (claims(kv), AtomicU32::new(0));
    let writer = Arc::new(Writer { claims: claims(kv), does, asked });
    own.set_peers(Arc::<Writer>::clone(&writer));
    (own, writer)
}

fn claim(ticket: &str) -> Claim {
    Claim::new(ticket.to_owned(), "0".to_owned())
}

async fn bind(claims: &Claims, key: &str, ticket: &str) -> Claim {
    claims.bind("workspace", key, claim(ticket), Instant::now() + TIME).await.unwrap()
}

// The writer dies, before the write or between the write and its answer, or is cut off from the
// key-value service. The caller's key must be bound all the same, to its own ticket, and soon; those
// that come after must not wait for the writer again.
#[tokio::test(start_paused = true)]
async fn bind_writer_fails_own_entry_writes() {
    for does in [Does::Nothing, Does::BindsUnheard, Does::Refuses] {
        let kv = FakeKeyValue::new();
        let (own, writer) = handing(&kv, does);
        let began = Instant::now();
        assert_eq!(bind(&own, "key", "one").await, claim("one"), "{does:?}");
        assert!(began.elapsed() < Duration::from_millis(1_200), "{does:?}");
        let began = Instant::now();
        bind(&own, "key-2", "two").await;
        assert!(began.elapsed() < Duration::from_millis(100), "{does:?}");
        assert_eq!(writer.asked.load(Ordering::Relaxed), 1, "{does:?}");
    }
}

// Copies of one call come through one entry and through its writer, some at the same moment. All must
// be told the same ticket.
#[tokio::test(start_paused = true)]
async fn bind_copies_everywhere_one_ticket() {
    let kv = FakeKeyValue::new();
    kv.set_delay(Duration::from_millis(20));
    let (own, writer) = handing(&kv, Does::Binds);
    let (one, two, three) = tokio::join!(
        bind(&own, "key", "one"),
        bind(&own, "key", "two"),
        bind(&writer.claims, "key", "three"),
    );
    assert_eq!(one, two);
    assert_eq!(two, three);
    assert_eq!(kv.peek("").entries.len(), 1);
}

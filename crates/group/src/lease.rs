//! The lease that lets one process coordinate a group.

use bytes::Bytes;
use flamingowheel_platform::kv::{
    Compare, KeyValue, KeyValueError, LeaseId, Operation, Transaction,
};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;
use uuid::Uuid;

/// What the holder may still do.
#[derive(Debug)]
struct Validity {
    until: Instant,
    service_down: bool,
}

/// A lease that this process held when it last heard of it.
///
/// Safety rests on fencing numbers alone. The lease only keeps two coordinators from taking the
/// group from each other in turn.
#[derive(Clone)]
pub struct Lease {
    kv: Arc<dyn KeyValue>,
    id: LeaseId,
    ttl: Duration,
    validity: Arc<Mutex<Validity>>,
}

impl Lease {
    /// Tries to become coordinator of the group; `None` if another process is.
    pub async fn acquire(
        kv: &Arc<dyn KeyValue>,
        group: &str,
        ttl: Duration,
    ) -> Result<Option<Self>, KeyValueError> {
        let key = format!("groups/{group}/coordinator");
        let token = Bytes::from(Uuid::new_v4().to_string());
        // Counted from before the call, so that this process never trusts the lease longer than
        // the service does.
        let asked_at = Instant::now();
        let id = kv.grant_lease(ttl).await?;
        let put = Operation::Put { key: key.clone(), value: token.clone(), lease: Some(id) };
        let transaction = Transaction {
            compares: vec![Compare::Absent { key: key.clone() }],
            on_success: vec![put],
            on_failure: vec![Operation::Get { key }],
        };
        let answer = match kv.transact(transaction.clone()).await {
            Err(error) if error.may_have_taken_effect() => kv.transact(transaction).await?,
            answer => answer?,
        };
        let ours = |entry: &Option<_>| {
            entry.as_ref().is_some_and(|entry: &flamingowheel_platform::kv::KeyValueEntry| {
                entry.value == token
            })
        };
        if !answer.succeeded && !answer.reads.iter().any(ours) {
            // The lease that was granted in vain runs out by itself if this is lost.
            let _ = kv.revoke_lease(id).await;
            return Ok(None);
        }
        let validity = Validity { until: asked_at + ttl, service_down: false };
        let validity = Arc::new(Mutex::new(validity));
        Ok(Some(Self { kv: Arc::clone(kv), id, ttl, validity }))
    }

    /// Renews the lease until it is lost.
    pub async fn keep(&self) {
        loop {
            tokio::time::sleep(self.ttl / 3).await;
            let asked_at = Instant::now();
            let result = self.kv.keep_alive(self.id).await;
            let mut validity = self.validity.lock().unwrap_or_else(PoisonError::into_inner);
            match result {
                Ok(()) => *validity = Validity { until: asked_at + self.ttl, service_down: false },
                Err(KeyValueError::LeaseNotFound) => return,
                Err(_) => validity.service_down = true,
            }
        }
    }

    /// Whether a change of map may be begun or committed.
    ///
    /// A process that was paused may wake after its lease went to another. It would notice only
    /// when its orders are refused; asking the clock first spares the group the detour.
    pub fn may_change(&self) -> bool {
        let validity = self.validity.lock().unwrap_or_else(PoisonError::into_inner);
        Instant::now() < validity.until
    }

    /// Whether ranks may be brought back to the map in force: also after the lease ran out while
    /// the service is down, for then nobody else can take over, and a rank that crashed would
    /// otherwise stop its group for as long as the service is away.
    pub fn may_align(&self) -> bool {
        let validity = self.validity.lock().unwrap_or_else(PoisonError::into_inner);
        Instant::now() < validity.until || validity.service_down
    }

    /// Gives the lease back.
    pub async fn release(self) {
        // If this is lost the lease runs out by itself.
        let _ = self.kv.revoke_lease(self.id).await;
    }
}

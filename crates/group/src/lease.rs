//! The lease under which a process coordinates its groups.
//!
//! A process holds one lease for all its groups, with one key per group bound to it. So the number
//! of renewals does not grow with the number of groups.

use bytes::Bytes;
use flamingowheel_backing::kv::{
    Compare, KeyValue, KeyValueEntry, KeyValueError, LeaseId, Operation, Transaction,
};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};
use uuid::Uuid;

/// A lease is renewed after its time to live divided by this.
const RENEWAL_DIVISOR: u32 = 2;

/// A failed renewal is retried after the time to live divided by this.
const RETRY_DIVISOR: u32 = 6;

/// The process's lease in the key-value service.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    id: LeaseId,
    expires_at: Instant,
    renew_at: Instant,
    service_down: bool,
}

#[derive(Debug, Default)]
struct State {
    held_lease: Option<HeldLease>,
    groups: BTreeSet<String>,
    /// Groups that this process no longer holds but whose key may still exist.
    undeleted: BTreeSet<String>,
}

struct Process {
    kv: Arc<dyn KeyValue>,
    /// Value of all keys of this process.
    token: Bytes,
    ttl: Duration,
    state: Mutex<State>,
    /// Serialises granting the lease and writing and deleting keys. If a deletion overtook a new
    /// acquisition of the same group, two coordinators would both treat the group as theirs, and
    /// would supersede each other again and again.
    key_writes: tokio::sync::Mutex<()>,
    /// Held by the group that renews the lease for all groups.
    renewal: tokio::sync::Mutex<()>,
}

/// The groups that one process holds; clones share them.
#[derive(Clone)]
pub struct Leases {
    process: Arc<Process>,
}

impl Leases {
    /// Leases of a process that holds no group yet. If renewals stop, the process loses its groups
    /// after `ttl`.
    pub fn new(kv: Arc<dyn KeyValue>, ttl: Duration) -> Self {
        let process = Process {
            kv,
            token: Bytes::from(Uuid::new_v4().to_string()),
            ttl,
            state: Mutex::default(),
            key_writes: tokio::sync::Mutex::default(),
            renewal: tokio::sync::Mutex::default(),
        };
        Self { process: Arc::new(process) }
    }

    /// Tries to become the coordinator of the group; `None` if it has another one, in this process
    /// or elsewhere.
    pub async fn acquire(&self, group: &str) -> Result<Option<Lease>, KeyValueError> {
        let process = &self.process;
        let _keys = process.key_writes.lock().await;
        if process.state().groups.contains(group) {
            return Ok(None);
        }
        let id = process.ensure_lease().await?;
        process.state().groups.insert(group.to_owned());
        // If this call is cancelled, dropping the lease marks the key for deletion.
        let mut lease =
            Lease { process: Arc::clone(process), group: group.to_owned(), id, may_have_key: true };
        match process.put_key(group, id).await {
            Ok(true) => {
                process.state().undeleted.remove(group);
                Ok(Some(lease))
            }
            Ok(false) => {
                lease.may_have_key = false;
                Ok(None)
            }
            Err(error) => {
                process.clear_if_lost(id, &error);
                Err(error)
            }
        }
    }
}

impl Process {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the held lease, renewed if that is due, or a new one.
    async fn ensure_lease(&self) -> Result<LeaseId, KeyValueError> {
        let requested_at = Instant::now();
        let held_lease = self.state().held_lease;
        if let Some(held_lease) = held_lease.filter(|held_lease| requested_at < held_lease.renew_at)
        {
            return Ok(held_lease.id);
        }
        if let Some(held_lease) = held_lease {
            match self.renew(held_lease.id).await {
                Err(KeyValueError::LeaseNotFound) => {}
                result => return result.map(|()| held_lease.id),
            }
        }
        let requested_at = Instant::now();
        let id = self.kv.grant_lease(self.ttl).await?;
        self.state().held_lease = Some(self.held_lease(id, requested_at));
        Ok(id)
    }

    /// Times are counted from before the call, so that this process never considers the lease valid
    /// for longer than the service does.
    fn held_lease(&self, id: LeaseId, requested_at: Instant) -> HeldLease {
        let renew_at = requested_at + self.ttl / RENEWAL_DIVISOR;
        HeldLease { id, expires_at: requested_at + self.ttl, renew_at, service_down: false }
    }

    async fn put_key(&self, group: &str, id: LeaseId) -> Result<bool, KeyValueError> {
        let key = coordinator_key(group);
        let put = Operation::Put { key: key.clone(), value: self.token.clone(), lease: Some(id) };
        let transaction = Transaction {
            compares: vec![Compare::Absent { key: key.clone() }],
            on_success: vec![put],
            on_failure: vec![Operation::Get { key }],
        };
        let answer = match self.kv.transact(transaction.clone()).await {
            Err(error) if error.may_have_taken_effect() => self.kv.transact(transaction).await?,
            answer => answer?,
        };
        // A key bound to an earlier lease of this process does not count: it expires soon.
        let ours = |entry: &KeyValueEntry| entry.value == self.token && entry.lease == Some(id);
        Ok(answer.succeeded || answer.reads.iter().flatten().any(ours))
    }

    /// Deletes the key of a released group. Another process could otherwise acquire the group only
    /// after this process's lease expires, which it does not while it holds other groups.
    async fn delete_key(&self, group: &str) -> Result<(), KeyValueError> {
        let key = coordinator_key(group);
        let get = vec![Operation::Get { key: key.clone() }];
        let read = self.kv.transact(Transaction { on_success: get, ..Transaction::default() });
        let entry = read.await?.reads.into_iter().flatten().next();
        let Some(entry) = entry.filter(|entry| entry.value == self.token) else { return Ok(()) };
        // Compares the revision: the key may have expired and been taken by another process.
        let unchanged = Compare::ModRevision { key: key.clone(), revision: entry.mod_revision };
        let delete = Transaction {
            compares: vec![unchanged],
            on_success: vec![Operation::Delete { key }],
            on_failure: Vec::new(),
        };
        self.kv.transact(delete).await.map(drop)
    }

    async fn renew(&self, id: LeaseId) -> Result<(), KeyValueError> {
        let requested_at = Instant::now();
        let result = self.kv.keep_alive(id).await;
        let mut state = self.state();
        let Some(held_lease) = state.held_lease.as_mut().filter(|held_lease| held_lease.id == id)
        else {
            return Err(KeyValueError::LeaseNotFound);
        };
        match result {
            Ok(()) => *held_lease = self.held_lease(id, requested_at),
            Err(KeyValueError::LeaseNotFound) => state.held_lease = None,
            Err(_) => {
                held_lease.service_down = true;
                held_lease.renew_at = Instant::now() + self.ttl / RETRY_DIVISOR;
            }
        }
        result
    }

    fn clear_if_lost(&self, id: LeaseId, error: &KeyValueError) {
        let mut state = self.state();
        let lost = *error == KeyValueError::LeaseNotFound;
        if lost && state.held_lease.is_some_and(|held_lease| held_lease.id == id) {
            state.held_lease = None;
        }
    }

    /// Deletes the keys of released groups, unless an acquisition is in progress.
    async fn delete_released_keys(&self) {
        let Ok(_keys) = self.key_writes.try_lock() else { return };
        let undeleted = self.state().undeleted.clone();
        for group in undeleted {
            if self.delete_key(&group).await.is_ok() {
                self.state().undeleted.remove(&group);
            }
        }
    }
}

fn coordinator_key(group: &str) -> String {
    format!("groups/{group}/coordinator")
}

/// A group acquired under this process's lease. The lease may have been lost since.
///
/// Safety depends on fencing numbers alone. The lease only keeps coordinators from constantly
/// superseding each other.
pub struct Lease {
    process: Arc<Process>,
    group: String,
    id: LeaseId,
    may_have_key: bool,
}

impl Lease {
    /// Keeps the lease renewed until it is lost. Of the calls for several groups one at a time
    /// renews. Renewal runs only inside these calls, so a process that stops coordinating stops
    /// renewing.
    pub async fn keep_alive(&self) {
        while let Some(renew_at) = self.held_lease().map(|held_lease| held_lease.renew_at) {
            sleep_until(renew_at).await;
            let _renewing = self.process.renewal.lock().await;
            let due = |held_lease: &HeldLease| held_lease.renew_at <= Instant::now();
            if self.held_lease().as_ref().is_some_and(due) {
                // A failure is recorded in the shared state, which `may_change` and `may_align`
                // read.
                let _ = self.process.renew(self.id).await;
                self.process.delete_released_keys().await;
            }
        }
    }

    /// Whether a change may be begun or committed: only until the lease expires by this process's
    /// clock.
    ///
    /// A process that was paused may resume after another has taken the group over. Fencing would
    /// refuse its orders; checking the clock first avoids the failed change.
    pub fn may_change(&self) -> bool {
        self.held_lease().is_some_and(|held_lease| Instant::now() < held_lease.expires_at)
    }

    /// Whether ranks may be brought back to the map in force. This is also allowed after the lease
    /// has expired while the key-value service is down: no other process can take over then, and a
    /// crashed rank would otherwise stop its group for the whole outage.
    pub fn may_align(&self) -> bool {
        let may = |held_lease: HeldLease| {
            Instant::now() < held_lease.expires_at || held_lease.service_down
        };
        self.held_lease().is_some_and(may)
    }

    /// Releases the group; the process keeps its other groups.
    pub async fn release(self) {
        let process = Arc::clone(&self.process);
        // If the deletion fails, it is retried when the lease is renewed for another group; if
        // there is none, the key expires with the lease.
        drop(self);
        process.delete_released_keys().await;
    }

    /// The lease under which the group was acquired, unless it has been lost.
    fn held_lease(&self) -> Option<HeldLease> {
        self.process.state().held_lease.filter(|held_lease| held_lease.id == self.id)
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut state = self.process.state();
        state.groups.remove(&self.group);
        if self.may_have_key {
            state.undeleted.insert(std::mem::take(&mut self.group));
        }
    }
}

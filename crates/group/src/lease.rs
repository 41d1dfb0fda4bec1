//! The lease that lets one process coordinate its groups.
//!
//! A process holds one lease for all of them: each group is a key bound to it, so that the service
//! is asked for one renewal however many groups there are.

use bytes::Bytes;
use flamingowheel_backing::kv::{
    Compare, KeyValue, KeyValueEntry, KeyValueError, LeaseId, Operation, Transaction,
};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};
use uuid::Uuid;

/// Part of a lease's time after which it is renewed.
const RENEWAL_PART: u32 = 2;

/// Part of a lease's time after which a renewal that failed is tried again.
const RETRY_PART: u32 = 6;

/// One lease of the service, and what its holder may still do.
#[derive(Clone, Copy, Debug)]
struct Shared {
    id: LeaseId,
    until: Instant,
    renew_at: Instant,
    service_down: bool,
}

#[derive(Debug, Default)]
struct State {
    shared: Option<Shared>,
    held: BTreeSet<String>,
    /// Groups whose key may still be there although nobody here holds them any more.
    leftover: BTreeSet<String>,
}

struct Process {
    kv: Arc<dyn KeyValue>,
    /// Value of all keys of this process.
    token: Bytes,
    ttl: Duration,
    state: Mutex<State>,
    /// Taken to grant the lease and to write or delete keys, one at a time: a deletion that
    /// overtakes a new acquisition of its group would leave two coordinators that each believe to
    /// hold it, taking the group from each other in turn.
    keys: tokio::sync::Mutex<()>,
    /// Taken by the group that renews for all.
    renewal: tokio::sync::Mutex<()>,
}

/// All leases of one process.
#[derive(Clone)]
pub struct Leases {
    process: Arc<Process>,
}

impl Leases {
    /// None held yet; a process whose renewals stop loses its groups after `ttl`.
    pub fn new(kv: Arc<dyn KeyValue>, ttl: Duration) -> Self {
        let process = Process {
            kv,
            token: Bytes::from(Uuid::new_v4().to_string()),
            ttl,
            state: Mutex::default(),
            keys: tokio::sync::Mutex::default(),
            renewal: tokio::sync::Mutex::default(),
        };
        Self { process: Arc::new(process) }
    }

    /// Tries to become coordinator of the group; `None` if another is, in this process or not.
    pub async fn acquire(&self, group: &str) -> Result<Option<Lease>, KeyValueError> {
        let process = &self.process;
        let _keys = process.keys.lock().await;
        if process.state().held.contains(group) {
            return Ok(None);
        }
        let id = process.ensure().await?;
        process.state().held.insert(group.to_owned());
        // If this call is given up midway, dropping the lease sees to the key it may have written.
        let mut lease =
            Lease { process: Arc::clone(process), group: group.to_owned(), id, may_have_key: true };
        match process.put_key(group, id).await {
            Ok(true) => {
                process.state().leftover.remove(group);
                Ok(Some(lease))
            }
            Ok(false) => {
                lease.may_have_key = false;
                Ok(None)
            }
            Err(error) => {
                process.note_lost(id, &error);
                Err(error)
            }
        }
    }
}

impl Process {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The lease that is held, or a new one. One that no group kept renewed is renewed first.
    async fn ensure(&self) -> Result<LeaseId, KeyValueError> {
        let asked_at = Instant::now();
        let shared = self.state().shared;
        if let Some(shared) = shared.filter(|shared| asked_at < shared.renew_at) {
            return Ok(shared.id);
        }
        if let Some(shared) = shared {
            match self.renew(shared.id).await {
                Err(KeyValueError::LeaseNotFound) => {}
                result => return result.map(|()| shared.id),
            }
        }
        let asked_at = Instant::now();
        let id = self.kv.grant_lease(self.ttl).await?;
        self.state().shared = Some(self.shared(id, asked_at));
        Ok(id)
    }

    /// Counted from before the call, so that this process never trusts the lease longer than the
    /// service does.
    fn shared(&self, id: LeaseId, asked_at: Instant) -> Shared {
        let renew_at = asked_at + self.ttl / RENEWAL_PART;
        Shared { id, until: asked_at + self.ttl, renew_at, service_down: false }
    }

    async fn put_key(&self, group: &str, id: LeaseId) -> Result<bool, KeyValueError> {
        let key = key_of(group);
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
        // A key of an earlier lease of this process is not ours to trust: it runs out soon.
        let ours = |entry: &KeyValueEntry| entry.value == self.token && entry.lease == Some(id);
        Ok(answer.succeeded || answer.reads.iter().flatten().any(ours))
    }

    /// Deletes the key of a group that is given up, so that another process need not wait until
    /// this one's lease runs out, which it does not while other groups are held.
    async fn delete_key(&self, group: &str) -> Result<(), KeyValueError> {
        let key = key_of(group);
        let get = vec![Operation::Get { key: key.clone() }];
        let read = self.kv.transact(Transaction { on_success: get, ..Transaction::default() });
        let entry = read.await?.reads.into_iter().flatten().next();
        let Some(entry) = entry.filter(|entry| entry.value == self.token) else { return Ok(()) };
        // Only while it is the key that was read: it may have run out and be another's by now.
        let unchanged = Compare::ModRevision { key: key.clone(), revision: entry.mod_revision };
        let delete = Transaction {
            compares: vec![unchanged],
            on_success: vec![Operation::Delete { key }],
            on_failure: Vec::new(),
        };
        self.kv.transact(delete).await.map(drop)
    }

    async fn renew(&self, id: LeaseId) -> Result<(), KeyValueError> {
        let asked_at = Instant::now();
        let result = self.kv.keep_alive(id).await;
        let mut state = self.state();
        let Some(shared) = state.shared.as_mut().filter(|shared| shared.id == id) else {
            return Err(KeyValueError::LeaseNotFound);
        };
        match result {
            Ok(()) => *shared = self.shared(id, asked_at),
            Err(KeyValueError::LeaseNotFound) => state.shared = None,
            Err(_) => {
                shared.service_down = true;
                shared.renew_at = Instant::now() + self.ttl / RETRY_PART;
            }
        }
        result
    }

    fn note_lost(&self, id: LeaseId, error: &KeyValueError) {
        let mut state = self.state();
        let lost = *error == KeyValueError::LeaseNotFound;
        if lost && state.shared.is_some_and(|shared| shared.id == id) {
            state.shared = None;
        }
    }

    /// Deletes what groups given up have left, unless an acquisition goes on just now.
    async fn clear(&self) {
        let Ok(_keys) = self.keys.try_lock() else { return };
        let leftover = self.state().leftover.clone();
        for group in leftover {
            if self.delete_key(&group).await.is_ok() {
                self.state().leftover.remove(&group);
            }
        }
    }
}

fn key_of(group: &str) -> String {
    format!("groups/{group}/coordinator")
}

/// One group that this process coordinated when it last heard of its lease.
///
/// Safety rests on fencing numbers alone. The lease only keeps two coordinators from taking the
/// group from each other in turn.
pub struct Lease {
    process: Arc<Process>,
    group: String,
    id: LeaseId,
    may_have_key: bool,
}

impl Lease {
    /// Keeps the lease renewed until it is lost. Of all groups' calls one at a time renews, and
    /// none runs on by itself: a process that stops coordinating stops renewing.
    pub async fn keep_alive(&self) {
        while let Some(renew_at) = self.shared().map(|shared| shared.renew_at) {
            sleep_until(renew_at).await;
            let _turn = self.process.renewal.lock().await;
            let due = |shared: &Shared| shared.renew_at <= Instant::now();
            if self.shared().as_ref().is_some_and(due) {
                // A failure is noted in what the process may still do.
                let _ = self.process.renew(self.id).await;
                self.process.clear().await;
            }
        }
    }

    /// Whether a change of map may be begun or committed.
    ///
    /// A process that was paused may wake after its lease went to another. It would notice only
    /// when its orders are refused; asking the clock first spares the group the detour.
    pub fn may_change(&self) -> bool {
        self.shared().is_some_and(|shared| Instant::now() < shared.until)
    }

    /// Whether ranks may be brought back to the map in force: also after the lease ran out while
    /// the service is down, for then nobody else can take over, and a rank that crashed would
    /// otherwise stop its group for as long as the service is away.
    pub fn may_align(&self) -> bool {
        let may = |shared: Shared| Instant::now() < shared.until || shared.service_down;
        self.shared().is_some_and(may)
    }

    /// Gives the group back; the others of this process are kept.
    pub async fn release(self) {
        let process = Arc::clone(&self.process);
        // If the call is lost, a group that is kept tries again when it renews; if none is, the
        // key runs out with the lease.
        drop(self);
        process.clear().await;
    }

    /// The lease under which the group was taken, unless it was lost since.
    fn shared(&self) -> Option<Shared> {
        self.process.state().shared.filter(|shared| shared.id == self.id)
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut state = self.process.state();
        state.held.remove(&self.group);
        if self.may_have_key {
            state.leftover.insert(std::mem::take(&mut self.group));
        }
    }
}

//! The control state of one entry, and its answers to requests of peers.

mod agents;
mod answers;
mod configuration;
mod random;
mod suspicion;

use crate::duties::Duties;
use crate::membership::{Observation, Table};
use flamingowheel_backing::BoxFuture;
use flamingowheel_config::api::ConfigSource;
use flamingowheel_config::effective::{ConfigRevision, EffectiveConfig};
use flamingowheel_config::replica::Replica;
use flamingowheel_observe::event::Event;
use flamingowheel_observe::reason::{ConfigSource as Origin, MemberState as EventState};
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_policy::key::EntryKey;
use flamingowheel_policy::limits::{Loan, LoanRequest};
use flamingowheel_protocol::id::Incarnation;
use flamingowheel_protocol::peer::{
    Heartbeat, HeartbeatAnswer, MemberRecord, MemberState, MembershipUpdate, Sender, StoredValue,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long requests are refused after a pause of the process while the configuration is
/// unconfirmed. After that the process serves with the configuration it has: it is probably
/// partitioned, and its callers may reach no other entry.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);

/// The control state of one entry; clones share it.
#[derive(Clone)]
pub struct Node {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    effective: watch::Sender<Arc<EffectiveConfig>>,
    progress: watch::Sender<Progress>,
    newer_peer: watch::Sender<Option<NewerPeer>>,
    recorder: Recorder,
    lender: OnceLock<Arc<dyn Lender>>,
    binder: OnceLock<Arc<dyn KeyBinder>>,
    vm_list_rotation: AtomicBool,
}

/// Binds idempotency keys on behalf of other entries.
pub trait KeyBinder: Send + Sync + 'static {
    /// Binds one key. The entry crate defines the encoding of claim and answer.
    fn bind(&self, claim: StoredValue) -> BoxFuture<'_, StoredValue>;
}

/// Lends other entries a part of this entry's share of a workspace's limits.
pub trait Lender: Send + Sync + 'static {
    /// Returns the loan granted to `borrower`; its share is 0 if nothing is granted.
    fn lend(&self, workspace: &str, borrower: EntryKey, request: &LoanRequest) -> Loan;
}

struct State {
    table: Table,
    replica: Replica,
    source: ConfigSource,
    /// Time of the last pause of this process, until the configuration is confirmed again.
    unconfirmed_since: Option<Instant>,
    confirmed_at: Option<Instant>,
    /// Whether this process counted as partitioned at the last check: most watched members were
    /// overdue and the key-value service did not answer.
    partitioned: bool,
    /// Members watched at the last check.
    watched: Vec<String>,
    key_value_answered_at: Option<Instant>,
    started_at: Instant,
    /// When the key-value service last answered any process, as far as peers reported it.
    service_answered_at: Option<Instant>,
    cursors: HashMap<String, Cursor>,
    /// The revision in force that each process last reported to this one.
    reported: HashMap<String, ConfigRevision>,
    random: StdRng,
    /// Duties, cached by the version of the member table they were computed from.
    duties: (u64, Arc<Duties>),
}

/// The table versions up to which this process and a peer have exchanged updates.
#[derive(Clone, Copy)]
struct Cursor {
    incarnation: Incarnation,
    peer_version: u64,
    own_version: u64,
}

/// Held heartbeats are answered when one of these advances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Revision of the configuration in force.
    pub revision: ConfigRevision,
    /// Version of the member table.
    pub version: u64,
}

/// A peer that polled this process and has a newer configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewerPeer {
    /// Name of the process.
    pub name: String,
    /// The revision that the peer has in force.
    pub revision: ConfigRevision,
}

/// One member of the table, as shown to operators and other parts of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The newest record of the member.
    pub record: MemberRecord,
    /// State of the record, or `Leaving` if that is `Live` and the VM list marks the VM as leaving.
    pub state: MemberState,
    /// Time since the last message of the member arrived or its record last changed.
    pub last_seen_ago: Duration,
    /// The revision in force that the member last reported to this process.
    pub revision: ConfigRevision,
}

/// What the caller has to do after an answer to a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Followup {
    /// The peer has nothing newer.
    None,
    /// The peer has this newer revision, which has to be fetched.
    Fetch(ConfigRevision),
}

/// State of this process when a heartbeat was sent, needed to apply the answer.
#[derive(Clone, Copy, Debug)]
pub struct SentHeartbeat {
    /// Version of this process's member table, read before the heartbeat was built.
    pub table_version: u64,
    /// When the heartbeat was sent.
    pub sent_at: Instant,
}

impl Node {
    /// Creates the state of an entry that has just started: no peers, no configuration.
    pub fn new(own: MemberRecord, recorder: Recorder) -> Self {
        let random = StdRng::seed_from_u64(own.incarnation.0);
        let state = State {
            random,
            duties: (0, Arc::default()),
            table: Table::new(own, Instant::now()),
            replica: Replica::default(),
            source: ConfigSource::None,
            unconfirmed_since: None,
            confirmed_at: None,
            partitioned: false,
            watched: Vec::new(),
            key_value_answered_at: None,
            started_at: Instant::now(),
            service_answered_at: None,
            cursors: HashMap::new(),
            reported: HashMap::new(),
        };
        let shared = Shared {
            state: Mutex::new(state),
            effective: watch::Sender::new(Arc::default()),
            progress: watch::Sender::default(),
            newer_peer: watch::Sender::default(),
            recorder,
            lender: OnceLock::new(),
            binder: OnceLock::new(),
            vm_list_rotation: AtomicBool::new(false),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Sets the lender that answers peers' loan requests. Later calls have no effect.
    pub fn set_lender(&self, lender: Arc<dyn Lender>) {
        let _ = self.shared.lender.set(lender);
    }

    /// Sets the binder of idempotency keys for other entries. Later calls have no effect.
    pub fn set_key_binder(&self, binder: Arc<dyn KeyBinder>) {
        let _ = self.shared.binder.set(binder);
    }

    /// Subscribes to the configuration in force.
    pub fn effective(&self) -> watch::Receiver<Arc<EffectiveConfig>> {
        self.shared.effective.subscribe()
    }

    /// Subscribes to the revision in force and the version of the member table.
    pub fn progress(&self) -> watch::Receiver<Progress> {
        self.shared.progress.subscribe()
    }

    /// Subscribes to the last peer that polled this process and had a newer configuration.
    pub fn newer_peer(&self) -> watch::Receiver<Option<NewerPeer>> {
        self.shared.newer_peer.subscribe()
    }

    /// The recorder of this process's events.
    pub fn recorder(&self) -> &Recorder {
        &self.shared.recorder
    }

    /// A copy of the documents in force and the newest changes.
    pub fn replica(&self) -> Replica {
        self.state().replica.clone()
    }

    /// Revision of the configuration in force.
    pub fn revision(&self) -> ConfigRevision {
        self.state().replica.revision()
    }

    /// Whether the key-value service or only peers confirmed the configuration.
    pub fn source(&self) -> ConfigSource {
        self.state().source
    }

    /// The record that this process publishes of itself.
    pub fn own_record(&self) -> MemberRecord {
        self.state().table.own_record().clone()
    }

    /// Time since the key-value service last answered this process; `None` if it never did.
    pub fn key_value_answered_ago(&self) -> Option<Duration> {
        self.state().key_value_answered_at.map(|at| at.elapsed())
    }

    /// Whether new requests may be accepted: there is a configuration, and after a pause it was
    /// confirmed as the newest or [`CONFIRM_TIMEOUT`] has passed.
    pub fn may_serve(&self) -> bool {
        let state = self.state();
        let confirmed =
            state.unconfirmed_since.is_none_or(|since| since.elapsed() > CONFIRM_TIMEOUT);
        state.source != ConfigSource::None && confirmed
    }

    /// Every known entry, this one included.
    pub fn members(&self) -> Vec<MemberView> {
        let state = self.state();
        let own = &state.table.own_record().name;
        let view = |member: &crate::membership::Member| MemberView {
            record: member.record.clone(),
            state: state.table.state(member),
            last_seen_ago: match member.record.name == *own {
                true => Duration::ZERO,
                false => member.last_seen_at.elapsed(),
            },
            revision: state.revision_of(&member.record.name),
        };
        state.table.members().map(view).collect()
    }

    /// Publishes to all peers that this entry accepts no new requests.
    pub fn leave(&self) {
        self.update(|state| {
            state.table.leave();
            Vec::new()
        });
    }

    /// To be called after a pause of this process: marks the configuration as unconfirmed, since
    /// it may have been replaced, and gives every member the full timeout before it counts as
    /// silent.
    pub fn invalidate_after_pause(&self) {
        let now = Instant::now();
        self.update(|state| {
            state.table.reset_last_seen(now);
            state.unconfirmed_since = Some(now);
            Vec::new()
        });
    }

    /// Builds a heartbeat with all updates that `peer` has not received yet.
    pub fn heartbeat(&self, peer: Option<&str>, hold: Duration) -> Heartbeat {
        let state = self.state();
        let cursor = peer.and_then(|peer| state.cursors.get(peer));
        let is_first = cursor.is_none_or(|cursor| cursor.peer_version == 0);
        let digests = if is_first { state.table.directory().digests() } else { &[] };
        Heartbeat {
            agent_digests: digests.to_vec(),
            from: state.sender(),
            revision: state.replica.revision().0,
            after: cursor.map_or(0, |cursor| cursor.peer_version),
            hold_ms: hold.as_millis() as u32,
            updates: state.table.updates_after(cursor.map_or(0, |cursor| cursor.own_version)),
        }
    }

    /// Merges the updates in a peer's answer to the heartbeat `sent`. Returns the peer's revision
    /// to fetch if it is newer than the one in force here; an equal one confirms the configuration.
    pub fn apply_heartbeat_answer(&self, answer: HeartbeatAnswer, sent: SentHeartbeat) -> Followup {
        let offered = ConfigRevision(answer.revision);
        let (name, incarnation) = (answer.from.name.clone(), answer.from.incarnation);
        // The age counts from the sending of the heartbeat. From the answer's arrival, each exchange of
        // two peers that poll each other would subtract the travel time, and the age would never grow.
        let answered_ago = answer.service_answered_ms_ago.map(Duration::from_millis);
        let service_answered = answered_ago.map(|ago| ago + sent.sent_at.elapsed());
        self.update(|state| {
            let previous = state.cursors.get(&name);
            let restarted = previous.is_some_and(|cursor| cursor.incarnation != incarnation);
            // A restarted peer has lost all updates and starts its versions again.
            let cursor = match restarted {
                true => Cursor { incarnation, peer_version: 0, own_version: 0 },
                false => Cursor {
                    incarnation,
                    peer_version: answer.version,
                    own_version: sent.table_version,
                },
            };
            state.reported.insert(name.clone(), offered);
            state.cursors.insert(name.clone(), cursor);
            state.merge_updates(&name, answer.updates)
        });
        if offered > self.revision() {
            return Followup::Fetch(offered);
        }
        if offered == self.revision() {
            self.confirm_by_peers(service_answered);
        }
        Followup::None
    }

    /// Records the status that a process reported of itself.
    pub(crate) fn record_status(&self, record: MemberRecord, revision: ConfigRevision) {
        self.update(|state| {
            state.reported.insert(record.name.clone(), revision);
            state.table.merge_direct(record, Instant::now()).into_iter().collect()
        });
    }

    /// Version of the member table. To be read before a heartbeat is built, so that a change in
    /// between is sent again rather than lost.
    pub fn table_version(&self) -> u64 {
        self.state().table.version()
    }

    /// Digest of the member table and the directory; equal for equal contents.
    pub fn digest(&self) -> u64 {
        self.state().table.digest()
    }

    /// Drops processes that have been gone for longer than the retention time.
    pub(crate) fn expire(&self) {
        self.update(|state| {
            state.table.expire(Instant::now());
            let State { table, cursors, reported, .. } = state;
            cursors.retain(|name, _| table.member(name).is_some());
            reported.retain(|name, _| table.member(name).is_some());
            Vec::new()
        });
    }

    /// Updates the member table, wakes held heartbeats and records the resulting events.
    pub(crate) fn update_table<F>(&self, update: F)
    where
        F: FnOnce(&mut Table) -> Vec<Observation>,
    {
        self.update(|state| update(&mut state.table));
    }

    fn update<F>(&self, update: F)
    where
        F: FnOnce(&mut State) -> Vec<Observation>,
    {
        let mut state = self.state();
        let observations = update(&mut state);
        self.publish_progress(&state);
        drop(state);
        observations.into_iter().for_each(|observation| self.record_observation(observation));
    }

    fn record_observation(&self, observation: Observation) {
        match observation {
            Observation::Changed { name, state } => {
                let event = Event::MemberChanged { member: name.into(), state: event_state(state) };
                self.shared.recorder.record(event);
            }
            Observation::NameClaimed => {
                tracing::warn!(
                    "peers have a record of this name with another incarnation; overriding it"
                );
            }
        }
    }

    fn publish_progress(&self, state: &State) {
        let progress =
            Progress { revision: state.replica.revision(), version: state.table.version() };
        self.shared.progress.send_if_modified(|old| std::mem::replace(old, progress) != progress);
    }

    /// The current duties of this process, computed from the member table.
    pub fn duties(&self) -> Arc<Duties> {
        let mut state = self.state();
        let version = state.table.version();
        if state.duties.0 != version {
            state.duties = (version, Arc::new(Duties::new(&state.table)));
        }
        Arc::clone(&state.duties.1)
    }

    /// Whether a member is in this process's data centre.
    pub fn is_in_same_data_centre(&self, name: &str) -> bool {
        let state = self.state();
        let own = &state.table.own_record().data_centre;
        state.table.member(name).is_some_and(|member| member.record.data_centre == *own)
    }

    /// Inner address of a member; `None` if it is not in the table.
    pub fn address(&self, name: &str) -> Option<std::net::SocketAddr> {
        self.state().table.member(name).map(|member| member.record.inner)
    }

    /// A poisoned lock is used as it is: each update is a single assignment, so a panic leaves no
    /// partial value.
    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn revision_of(&self, name: &str) -> ConfigRevision {
        match name == self.table.own_record().name {
            true => self.replica.revision(),
            false => self.reported.get(name).copied().unwrap_or_default(),
        }
    }

    fn confirm(&mut self) {
        self.unconfirmed_since = None;
        self.confirmed_at = Some(Instant::now());
    }

    fn sender(&self) -> Sender {
        let own = self.table.own_record();
        Sender { name: own.name.clone(), incarnation: own.incarnation }
    }

    fn merge_updates(&mut self, from: &str, updates: MembershipUpdate) -> Vec<Observation> {
        let now = Instant::now();
        let observations = self.table.merge(updates, now);
        self.table.mark_seen(from, now);
        observations
    }
}

/// Resolves the workspaces affected by the changes since `before`, or all of them if the replica no
/// longer has every change.
fn resolve(old: &EffectiveConfig, before: ConfigRevision, replica: &Replica) -> EffectiveConfig {
    match replica.changes_after(before) {
        Some(changes) if old.revision() == before => {
            let edits = changes.iter().flat_map(|change| change.edits.iter().cloned());
            old.with_edits(replica.documents(), &edits.collect::<Vec<_>>())
        }
        _ => EffectiveConfig::new(replica.documents()),
    }
}

fn event_state(state: MemberState) -> EventState {
    match state {
        MemberState::Live => EventState::Live,
        MemberState::Leaving => EventState::Leaving,
        MemberState::Silent => EventState::Suspected,
        MemberState::Gone => EventState::Gone,
    }
}

//! The control state of one entry, and its answers to peers.

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
use flamingowheel_observe::reason::{ConfigSource as Origin, MemberState as Seen};
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

/// After a pause, how long requests are refused while nobody confirms the configuration. Beyond
/// it the process serves with what it has: it is cut off, and its callers may have nobody else.
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
    ahead: watch::Sender<Option<NewerPeer>>,
    recorder: Recorder,
    lender: OnceLock<Arc<dyn Lender>>,
    binder: OnceLock<Arc<dyn KeyBinder>>,
    list_in_turn: AtomicBool,
}

/// Binds idempotency keys for other entries.
pub trait KeyBinder: Send + Sync + 'static {
    /// Binds one; claim and answer are in the form of the entry's own package.
    fn bind(&self, claim: StoredValue) -> BoxFuture<'_, StoredValue>;
}

/// Lends other entries a part of this one's share of a workspace's limits.
pub trait Lender: Send + Sync + 'static {
    /// Answers a request for a loan.
    fn lend(&self, workspace: &str, borrower: EntryKey, request: &LoanRequest) -> Loan;
}

struct State {
    table: Table,
    replica: Replica,
    source: ConfigSource,
    /// Set while nobody has confirmed the configuration since a pause.
    unconfirmed_since: Option<Instant>,
    confirmed_at: Option<Instant>,
    /// Hears hardly anybody, as far as was seen at the last look.
    cut_off: bool,
    /// Those watched at the last look.
    watched: Vec<String>,
    key_value_answered_at: Option<Instant>,
    started_at: Instant,
    /// When the key-value service last answered anybody, as far as is known here.
    service_answered_at: Option<Instant>,
    cursors: HashMap<String, Cursor>,
    /// The revision that each process last reported here.
    reported: HashMap<String, ConfigRevision>,
    random: StdRng,
    /// Duties as of a version of the table.
    duties: (u64, Arc<Duties>),
}

/// How far two processes have told each other their news.
#[derive(Clone, Copy)]
struct Cursor {
    incarnation: Incarnation,
    theirs: u64,
    ours: u64,
}

/// What heartbeats are held for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The configuration in force.
    pub revision: ConfigRevision,
    /// Version of the table of members.
    pub version: u64,
}

/// A process that asked this one and has a newer configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewerPeer {
    /// Its name.
    pub name: String,
    /// The revision that it has in force.
    pub revision: ConfigRevision,
}

/// What is shown of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// What it says of itself.
    pub record: MemberRecord,
    /// The state that counts.
    pub state: MemberState,
    /// How long ago it was heard, or anything was heard of it.
    pub last_seen_ago: Duration,
    /// The revision it last reported to this process.
    pub revision: ConfigRevision,
}

/// What an answer to a heartbeat leaves to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Followup {
    /// The peer has nothing newer.
    None,
    /// The peer has this newer revision.
    Fetch(ConfigRevision),
}

/// What a heartbeat was made from.
#[derive(Clone, Copy, Debug)]
pub struct SentHeartbeat {
    /// The own table's version.
    pub table_version: u64,
    /// When.
    pub sent_at: Instant,
}

impl Node {
    /// The state of an entry that has just started.
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
            cut_off: false,
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
            ahead: watch::Sender::default(),
            recorder,
            lender: OnceLock::new(),
            binder: OnceLock::new(),
            list_in_turn: AtomicBool::new(false),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Says who answers requests for loans; only the first counts.
    pub fn set_lender(&self, lender: Arc<dyn Lender>) {
        let _ = self.shared.lender.set(lender);
    }

    /// Says who binds idempotency keys for others; only the first counts.
    pub fn set_key_binder(&self, binder: Arc<dyn KeyBinder>) {
        let _ = self.shared.binder.set(binder);
    }

    /// The configuration in force, now and later.
    pub fn effective(&self) -> watch::Receiver<Arc<EffectiveConfig>> {
        self.shared.effective.subscribe()
    }

    /// Revision and table version, now and later.
    pub fn progress(&self) -> watch::Receiver<Progress> {
        self.shared.progress.subscribe()
    }

    /// The process that asked last and has a newer configuration, now and later.
    pub fn newer_peer(&self) -> watch::Receiver<Option<NewerPeer>> {
        self.shared.ahead.subscribe()
    }

    /// Where events are recorded.
    pub fn recorder(&self) -> &Recorder {
        &self.shared.recorder
    }

    /// The documents and newest changes.
    pub fn replica(&self) -> Replica {
        self.state().replica.clone()
    }

    /// The revision in force.
    pub fn revision(&self) -> ConfigRevision {
        self.state().replica.revision()
    }

    /// Where the configuration came from.
    pub fn source(&self) -> ConfigSource {
        self.state().source
    }

    /// What this process says of itself.
    pub fn own_record(&self) -> MemberRecord {
        self.state().table.own_record().clone()
    }

    /// How long ago the key-value service answered this process.
    pub fn key_value_answered_ago(&self) -> Option<Duration> {
        self.state().key_value_answered_at.map(|at| at.elapsed())
    }

    /// Whether new requests may be taken: there is a configuration, and after a pause somebody
    /// confirmed that it is the newest, or nobody could be asked for [`CONFIRM_TIMEOUT`].
    pub fn may_serve(&self) -> bool {
        let state = self.state();
        let confirmed =
            state.unconfirmed_since.is_none_or(|since| since.elapsed() > CONFIRM_TIMEOUT);
        state.source != ConfigSource::None && confirmed
    }

    /// Every entry known, this one included.
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
            revision: state.reported(&member.record.name),
        };
        state.table.members().map(view).collect()
    }

    /// Says to everybody that this entry takes no new requests.
    pub fn leave(&self) {
        self.change(|state| {
            state.table.leave();
            Vec::new()
        });
    }

    /// This process stood still: it trusts nothing that it believed.
    pub fn invalidate_after_pause(&self) {
        let now = Instant::now();
        self.change(|state| {
            state.table.reset_last_seen(now);
            state.unconfirmed_since = Some(now);
            Vec::new()
        });
    }

    /// What to tell a peer: everything it has not had.
    pub fn heartbeat(&self, peer: Option<&str>, hold: Duration) -> Heartbeat {
        let state = self.state();
        let cursor = peer.and_then(|peer| state.cursors.get(peer));
        let is_first = cursor.is_none_or(|cursor| cursor.theirs == 0);
        let digests = if is_first { state.table.directory().digests() } else { &[] };
        Heartbeat {
            agent_digests: digests.to_vec(),
            from: state.sender(),
            revision: state.replica.revision().0,
            after: cursor.map_or(0, |cursor| cursor.theirs),
            hold_ms: hold.as_millis() as u32,
            updates: state.table.updates_after(cursor.map_or(0, |cursor| cursor.ours)),
        }
    }

    /// Takes a peer's answer to what was asked.
    pub fn apply_heartbeat_answer(
        &self,
        answer: HeartbeatAnswer,
        asked: SentHeartbeat,
    ) -> Followup {
        let offered = ConfigRevision(answer.revision);
        let (name, incarnation) = (answer.from.name.clone(), answer.from.incarnation);
        // Counted from the question. Counted from when the answer arrived, the time would grow by
        // the way between two peers that ask each other, and never get old.
        let answered_ago = answer.service_answered_ms_ago.map(Duration::from_millis);
        let service_answered = answered_ago.map(|ago| ago + asked.sent_at.elapsed());
        self.change(|state| {
            let known = state.cursors.get(&name);
            let restarted = known.is_some_and(|cursor| cursor.incarnation != incarnation);
            // A peer that restarted lost what it was told and counts versions anew.
            let cursor = match restarted {
                true => Cursor { incarnation, theirs: 0, ours: 0 },
                false => Cursor { incarnation, theirs: answer.version, ours: asked.table_version },
            };
            state.reported.insert(name.clone(), offered);
            state.cursors.insert(name.clone(), cursor);
            state.take(&name, answer.updates)
        });
        if offered > self.revision() {
            return Followup::Fetch(offered);
        }
        if offered == self.revision() {
            self.confirm_by_peers(service_answered);
        }
        Followup::None
    }

    /// A process said what it has in force.
    pub(crate) fn take_status(&self, record: MemberRecord, revision: ConfigRevision) {
        self.change(|state| {
            state.reported.insert(record.name.clone(), revision);
            state.table.merge_direct(record, Instant::now()).into_iter().collect()
        });
    }

    /// Table version, to be noted before a heartbeat is made.
    pub fn table_version(&self) -> u64 {
        self.state().table.version()
    }

    /// Digest of the table of members.
    pub fn digest(&self) -> u64 {
        self.state().table.digest()
    }

    /// Drops what is known of processes that have been gone for long.
    pub(crate) fn expire(&self) {
        self.change(|state| {
            state.table.expire(Instant::now());
            let State { table, cursors, reported, .. } = state;
            cursors.retain(|name, _| table.member(name).is_some());
            reported.retain(|name, _| table.member(name).is_some());
            Vec::new()
        });
    }

    /// Changes the table of members, and tells waiting peers and the event log what came of it.
    pub(crate) fn change_table<F>(&self, change: F)
    where
        F: FnOnce(&mut Table) -> Vec<Observation>,
    {
        self.change(|state| change(&mut state.table));
    }

    fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut State) -> Vec<Observation>,
    {
        let mut state = self.state();
        let observations = change(&mut state);
        self.publish(&state);
        drop(state);
        observations.into_iter().for_each(|observation| self.report(observation));
    }

    fn report(&self, observation: Observation) {
        match observation {
            Observation::Changed { name, state } => {
                let event = Event::MemberChanged { member: name.into(), state: seen(state) };
                self.shared.recorder.record(event);
            }
            Observation::NameClaimed => {
                tracing::warn!("another start of a process with this name is known; overriding it");
            }
        }
    }

    fn publish(&self, state: &State) {
        let progress =
            Progress { revision: state.replica.revision(), version: state.table.version() };
        self.shared.progress.send_if_modified(|own| std::mem::replace(own, progress) != progress);
    }

    /// What this process has to do for others, as of now.
    pub fn duties(&self) -> Arc<Duties> {
        let mut state = self.state();
        let version = state.table.version();
        if state.duties.0 != version {
            state.duties = (version, Arc::new(Duties::new(&state.table)));
        }
        Arc::clone(&state.duties.1)
    }

    /// Whether a member stands in this process's data centre.
    pub fn is_in_same_data_centre(&self, name: &str) -> bool {
        let state = self.state();
        let own = &state.table.own_record().data_centre;
        state.table.member(name).is_some_and(|member| member.record.data_centre == *own)
    }

    /// Inner address of a member.
    pub fn address(&self, name: &str) -> Option<std::net::SocketAddr> {
        self.state().table.member(name).map(|member| member.record.inner)
    }

    /// A panic while the lock is held leaves whole values, since each change is one assignment.
    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn reported(&self, name: &str) -> ConfigRevision {
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

    fn take(&mut self, from: &str, news: MembershipUpdate) -> Vec<Observation> {
        let now = Instant::now();
        let observations = self.table.merge(news, now);
        self.table.mark_seen(from, now);
        observations
    }
}

/// Resolves what the changes since `before` touched, or everything if some are not kept.
fn resolve(old: &EffectiveConfig, before: ConfigRevision, replica: &Replica) -> EffectiveConfig {
    match replica.changes_after(before) {
        Some(changes) if old.revision() == before => {
            let edits = changes.iter().flat_map(|change| change.edits.iter().cloned());
            old.with_edits(replica.documents(), &edits.collect::<Vec<_>>())
        }
        _ => EffectiveConfig::new(replica.documents()),
    }
}

fn seen(state: MemberState) -> Seen {
    match state {
        MemberState::Live => Seen::Live,
        MemberState::Leaving => Seen::Leaving,
        MemberState::Silent => Seen::Suspected,
        MemberState::Gone => Seen::Gone,
    }
}

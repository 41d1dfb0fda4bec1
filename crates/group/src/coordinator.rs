//! Coordinator of a group: acquires the lease, recovers the state it finds, and changes the expert
//! map and the model version.

use crate::align::{Alignment, align};
use crate::lease::{Lease, Leases};
use crate::message::RankError;
use crate::ranks::Ranks;
use crate::record::{GroupRecord, RecordError, RecordStore, StoredRecord};
use crate::retry::{Backoff, SwitchRetries};
use crate::rollout::Rollout;
use crate::serve::DesiredServing;
use crate::session::{GroupError, LoadLimiter, Session, Timing};
use crate::status::{Activity, GroupStatus, OutOfService};
use crate::switch::{Failure, Switch};
use flamingowheel_backing::kv::KeyValue;
use flamingowheel_backing::orders::ExpertMap;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// Coordinates one group while this process holds the group's lease. Several processes may run one
/// for the same group; the lease decides which of them acts.
pub struct Coordinator<Transport> {
    leases: Leases,
    group: String,
    records: RecordStore,
    ranks: Transport,
    timing: Timing,
    desired: watch::Receiver<Option<ExpertMap>>,
    status: watch::Sender<GroupStatus>,
    record: watch::Sender<Option<StoredRecord>>,
    load_limiter: Option<LoadLimiter>,
    unverified_since: BTreeMap<usize, Instant>,
    /// Ranks that did not serve the record's model version and adapters at the last poll.
    behind: Vec<usize>,
    switch_retries: SwitchRetries,
    /// Backoff of loads of a version that an engine could not load.
    load_backoff: Backoff,
    rollout: Option<Rollout>,
    /// Whether the group is held for a switch in progress.
    is_switching: watch::Sender<bool>,
}

impl<Transport> Coordinator<Transport>
where
    Transport: Ranks,
{
    /// A coordinator that switches the group to the map in `desired` whenever that changes.
    pub fn new(
        kv: Arc<dyn KeyValue>,
        group: &str,
        ranks: Transport,
        timing: Timing,
        desired: watch::Receiver<Option<ExpertMap>>,
    ) -> Self {
        Self {
            records: RecordStore::new(Arc::clone(&kv), group),
            leases: Leases::new(kv, timing.lease_ttl),
            group: group.to_owned(),
            ranks,
            timing,
            desired,
            status: watch::Sender::default(),
            record: watch::Sender::default(),
            load_limiter: None,
            unverified_since: BTreeMap::new(),
            behind: Vec::new(),
            switch_retries: SwitchRetries::default(),
            load_backoff: Backoff::default(),
            rollout: None,
            is_switching: watch::Sender::default(),
        }
    }

    /// Limits loads of weights to this process's share of the weight store's rate.
    pub fn with_load_limiter(self, load_limiter: Option<LoadLimiter>) -> Self {
        Self { load_limiter, ..self }
    }

    /// Keeps the group at the model version and adapters in `desired`.
    pub fn with_rollout(
        self,
        kv: Arc<dyn KeyValue>,
        model: &str,
        desired: watch::Receiver<Option<DesiredServing>>,
    ) -> Self {
        let rollout = Rollout::new(kv, model, &self.group, desired);
        Self { rollout: Some(rollout), ..self }
    }

    /// Uses the shared lease of a process that coordinates several groups.
    pub fn with_leases(self, leases: Leases) -> Self {
        Self { leases, ..self }
    }

    /// Status for operators, updated at each poll.
    pub fn status(&self) -> watch::Receiver<GroupStatus> {
        self.status.subscribe()
    }

    /// The group's record while this process coordinates, else `None`. Reading it from the
    /// key-value service would give nothing newer.
    pub fn record(&self) -> watch::Receiver<Option<StoredRecord>> {
        self.record.subscribe()
    }

    /// Coordinates the group whenever this process can get the lease, until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            if let Ok(Some(lease)) = self.leases.acquire(&self.group).await {
                self.coordinate(&lease, &stop).await;
                lease.release().await;
            }
            self.status.send_replace(GroupStatus::default());
            self.record.send_replace(None);
            tokio::select! {
                () = stop.cancelled() => {}
                () = sleep(self.timing.poll_interval) => {}
            }
        }
    }

    async fn coordinate(&mut self, lease: &Lease, stop: &CancellationToken) {
        // A switch may have been cancelled when the lease was lost.
        self.is_switching.send_replace(false);
        let mut is_switching = self.is_switching.subscribe();
        let stopped = async {
            stop.cancelled().await;
            // A group that is held would stand still until the next coordinator acts. Fails only
            // if this coordinator is dropped.
            let _ = is_switching.wait_for(|is_switching| !is_switching).await;
        };
        let load_limiter = self.load_limiter.clone();
        // Only the acting coordinator needs a share; it expires when this process stops acting.
        let keep_share = async {
            match &load_limiter {
                Some(load_limiter) => load_limiter.budget.run(CancellationToken::new()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = stopped => {}
            () = keep_share => {}
            () = lease.keep_alive() => tracing::warn!(group = self.group, "lease to coordinate lost"),
            error = self.poll_until_error(lease) => tracing::warn!(group = self.group, %error, "coordination ended"),
        }
    }

    async fn poll_until_error(&mut self, lease: &Lease) -> GroupError {
        let mut stored = None;
        loop {
            let result = match stored.take() {
                Some(record) => self.poll(lease, record).await,
                None => self.claim().await,
            };
            stored = match result {
                Ok(record) => Some(record),
                Err(error) if self.must_stop(lease, &error) => return error,
                // The record may have changed: read and claim it again before anything else.
                Err(_) => None,
            };
            sleep(self.timing.poll_interval).await;
        }
    }

    fn must_stop(&self, lease: &Lease, error: &GroupError) -> bool {
        let superseded = matches!(
            error,
            GroupError::Superseded
                | GroupError::LeaseExpired
                | GroupError::Record(RecordError::Conflict)
        );
        superseded || !lease.may_align()
    }

    /// Rewrites the record unchanged, so that its revision is above all fencing numbers that
    /// earlier coordinators may still use.
    async fn claim(&mut self) -> Result<StoredRecord, GroupError> {
        let stored = match self.records.read().await {
            Ok(stored) => stored,
            Err(RecordError::Missing) => return self.create_record().await,
            Err(error) => return Err(error.into()),
        };
        let record = stored.record.clone();
        Ok(self.records.replace(&stored, record).await?)
    }

    async fn create_record(&mut self) -> Result<StoredRecord, GroupError> {
        let Some(map) = self.desired.borrow().clone() else {
            return Err(RecordError::Missing.into());
        };
        let ranks = self.ranks.count();
        let record = match map.layers.is_empty() {
            true => GroupRecord::without_map(ranks),
            false => GroupRecord::first(map, ranks),
        };
        Ok(self.records.create(record).await?)
    }

    /// Polls and aligns the group, then starts a rollout or a map switch if one is due and the
    /// group runs.
    async fn poll(
        &mut self,
        lease: &Lease,
        stored: StoredRecord,
    ) -> Result<StoredRecord, GroupError> {
        if !lease.may_align() {
            return Err(GroupError::LeaseExpired);
        }
        let timing = self.timing;
        let mut session = Session {
            ranks: &self.ranks,
            records: &self.records,
            lease,
            timing: &timing,
            load_limiter: self.load_limiter.as_ref(),
            may_load: self.load_backoff.is_ready(Instant::now()),
        };
        let revision = stored.revision;
        let stored = match &mut self.rollout {
            Some(rollout) => rollout.retarget(&session, stored).await?,
            None => stored,
        };
        if stored.revision != revision {
            self.load_backoff = Backoff::default();
            session.may_load = true;
        }
        let (stored, result) = align(&session, stored).await;
        match &result {
            Ok(_) => self.load_backoff = Backoff::default(),
            Err(GroupError::Rank { error: RankError::NotPossible { .. }, .. }) => {
                self.load_backoff.record_failure(Instant::now());
            }
            Err(_) => {}
        }
        let running = matches!(result, Ok(Alignment::Running));
        if let Some(rollout) = self.rollout.as_mut().filter(|_| running)
            && let Some(stored) = rollout.begin(&session, &stored).await?
        {
            return Ok(stored);
        }
        if let Some(map) = &*self.desired.borrow_and_update() {
            self.switch_retries.set_desired(map);
        }
        let in_force = &stored.record.in_force.map;
        let due = self.switch_retries.due(in_force, Instant::now()).filter(|_| running).cloned();
        let (Some(map), true) = (due, lease.may_change()) else {
            self.report(&stored, &result);
            return keep_record(stored, result.map(drop));
        };
        self.report_activity(&stored, Activity::Staging, Vec::new());
        match switch_map(&session, stored, map, &self.is_switching).await {
            Ok(stored) => {
                self.report(&stored, &Ok(Alignment::Running));
                Ok(stored)
            }
            Err(failure) => {
                self.switch_retries.record_failure(Instant::now());
                let result = Err(failure.error);
                self.report(&failure.stored, &result);
                keep_record(failure.stored, result.map(drop))
            }
        }
    }

    fn report(&mut self, stored: &StoredRecord, result: &Result<Alignment, GroupError>) {
        let unverified: Vec<(usize, RankError)> = match result {
            Ok(Alignment::Running | Alignment::Draining { .. }) => Vec::new(),
            Ok(Alignment::Waiting { ranks, .. }) => ranks.clone(),
            Err(GroupError::Rank { rank, error }) => vec![(*rank, error.clone())],
            Err(_) => Vec::new(),
        };
        let now = Instant::now();
        self.unverified_since.retain(|rank, _| unverified.iter().any(|(other, _)| other == rank));
        let mut out_of_service = Vec::new();
        for (rank, reason) in unverified {
            let since = *self.unverified_since.entry(rank).or_insert(now);
            if now.duration_since(since) >= self.timing.rank_timeout {
                out_of_service.push(OutOfService { rank, reason });
            }
        }
        let activity = match result {
            Ok(Alignment::Running | Alignment::Waiting { held: false, .. }) => Activity::Running,
            Ok(Alignment::Draining { .. }) => Activity::Draining,
            _ if out_of_service.is_empty() => Activity::Aligning,
            _ => Activity::Held,
        };
        match result {
            Ok(Alignment::Running) => self.behind = Vec::new(),
            Ok(Alignment::Waiting { behind, .. } | Alignment::Draining { behind, .. }) => {
                self.behind.clone_from(behind);
            }
            Err(_) => {}
        }
        self.report_activity(stored, activity, out_of_service);
    }

    fn report_activity(
        &self,
        stored: &StoredRecord,
        activity: Activity,
        out_of_service: Vec<OutOfService>,
    ) {
        let map_version = stored.record.in_force.version;
        if self.record.borrow().as_ref() != Some(stored) {
            self.record.send_replace(Some(stored.clone()));
        }
        let mut status = GroupStatus {
            activity,
            map_version,
            out_of_service,
            serving: stored.record.serving.clone(),
            behind: self.behind.clone(),
            waits_for: None,
        };
        if let Some((next, group)) = self.rollout.as_ref().and_then(Rollout::waiting) {
            status.behind = (0..self.ranks.count()).collect();
            (status.serving, status.waits_for) = (Some(next), Some(group));
        }
        self.status.send_replace(status);
    }
}

/// Keeps the record unless the error means that it may have changed.
fn keep_record(
    stored: StoredRecord,
    result: Result<(), GroupError>,
) -> Result<StoredRecord, GroupError> {
    match result {
        Ok(()) | Err(GroupError::Rank { .. } | GroupError::UnevenSteps) => Ok(stored),
        Err(GroupError::Record(RecordError::NotWritten(_))) => Ok(stored),
        Err(error) => Err(error),
    }
}

async fn switch_map<Transport>(
    session: &Session<'_, Transport>,
    stored: StoredRecord,
    map: ExpertMap,
    is_switching: &watch::Sender<bool>,
) -> Result<StoredRecord, Box<Failure>>
where
    Transport: Ranks,
{
    let begun = Switch::begin(session, stored, map).await?;
    let staged = begun.stage().await?;
    is_switching.send_replace(true);
    let resumed = async {
        let committed = staged.hold().await?.commit().await?;
        committed.switch().await?.read_back().await?.resume().await
    };
    let resumed = resumed.await;
    is_switching.send_replace(false);
    resumed
}

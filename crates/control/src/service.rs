//! Following the configuration in the key-value service, which watchers do for their data centre.

use crate::synchronizer::Synchronizer;
use flamingowheel_backing::kv::{KeyValueEntry, Revision, Watch, WatchEvent};
use flamingowheel_config::bucket::LOG_PREFIX;
use flamingowheel_config::change::Change;
use flamingowheel_config::store::{StoreError, VersionedHead};
use flamingowheel_observe::event::Event;
use flamingowheel_observe::reason::ConfigSource;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// How often a process that is not a watcher checks whether it has become one.
const ROLE_INTERVAL: Duration = Duration::from_secs(1);
/// A process that is not a watcher reads the service if its configuration was not confirmed for
/// this long.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed call of the service.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Watches the log while this process is a watcher, and otherwise reads it only when isolated.
pub(crate) async fn follow(synchronizer: &Synchronizer) {
    loop {
        if synchronizer.node.duties().is_watcher {
            watch_until_end(synchronizer).await;
        } else {
            read_if_isolated(synchronizer).await;
        }
    }
}

async fn read_if_isolated(synchronizer: &Synchronizer) {
    let isolated = synchronizer.node.since_confirmed().is_none_or(|time| time >= ISOLATION_TIMEOUT);
    if isolated && !catch_up_once(synchronizer).await {
        sleep(synchronizer.node.jitter(ISOLATION_TIMEOUT)).await;
    }
    sleep(ROLE_INTERVAL).await;
}

/// Brings the node up to the newest revision in the service. Returns whether the service answered.
pub(crate) async fn catch_up_once(synchronizer: &Synchronizer) -> bool {
    catch_up(synchronizer, ConfigSource::PeriodicRead).await.is_ok()
}

async fn catch_up(
    synchronizer: &Synchronizer,
    source: ConfigSource,
) -> Result<VersionedHead, StoreError> {
    let mut replica = synchronizer.node.replica();
    let caught_up = synchronizer.store.catch_up(&mut replica).await;
    if let Err(error) = &caught_up {
        report_error(synchronizer, error);
    }
    let head = caught_up?;
    synchronizer.node.replace_if_newer(replica, source);
    synchronizer.node.confirm_by_service();
    Ok(head)
}

fn report_error(synchronizer: &Synchronizer, error: &StoreError) {
    match error {
        StoreError::KeyValue(error) => {
            let error = error.to_string().into();
            synchronizer.node.recorder().record(Event::KeyValueDown { error });
        }
        // The service lost accepted changes, or its data is unusable. This process keeps its
        // configuration; an operator has to decide.
        error => {
            tracing::error!(%error, "stored configuration unusable, keeping the one in force")
        }
    }
}

/// Opens a watch and applies its events until it ends or stalls, or this process is no longer a
/// watcher.
async fn watch_until_end(synchronizer: &Synchronizer) {
    let Ok(head) = catch_up(synchronizer, ConfigSource::PeriodicRead).await else {
        return sleep(synchronizer.node.jitter(RETRY_INTERVAL)).await;
    };
    let after = head.mod_revision.unwrap_or(Revision(0));
    let Ok(mut watch) = synchronizer.store.watch_log(after).await else {
        return sleep(synchronizer.node.jitter(RETRY_INTERVAL)).await;
    };
    while synchronizer.node.duties().is_watcher
        && apply_events(synchronizer, &mut watch).await.is_ok()
    {}
}

/// The watch ended or stalled and has to be opened again.
struct WatchEnded;

/// Applies events for one interval, then reads the head of the log.
///
/// A watch can stop delivering events while its connection stays open. This process sees no error,
/// and its data centre would stay on an old configuration. So the head is read periodically; if it
/// is newer than the last event, the watch has stalled and is opened again.
async fn apply_events(synchronizer: &Synchronizer, watch: &mut Watch) -> Result<(), WatchEnded> {
    let until = Instant::now() + synchronizer.node.jitter(synchronizer.timing.head_read_interval);
    loop {
        let event = tokio::select! {
            event = watch.recv() => event.ok_or(WatchEnded)?,
            () = sleep_until(until) => break,
        };
        match event {
            WatchEvent::Put(entry) => apply_change(synchronizer, &entry).await?,
            WatchEvent::Compacted { .. } => return Err(WatchEnded),
            WatchEvent::Delete { .. } | WatchEvent::Progress { .. } => {}
        }
    }
    let before = synchronizer.node.revision();
    // If the read fails, the service is down and the watch has to be opened again anyway.
    catch_up(synchronizer, ConfigSource::PeriodicRead).await.map_err(|_| WatchEnded)?;
    if synchronizer.node.revision() > before {
        tracing::warn!(revision = before.0, "watch stalled, opening a new one");
        return Err(WatchEnded);
    }
    Ok(())
}

/// Applies a change from the watch. If the watch skipped changes, they are read from the service.
/// An event does not confirm the configuration: it may have been queued during a pause of this
/// process.
async fn apply_change(
    synchronizer: &Synchronizer,
    entry: &KeyValueEntry,
) -> Result<(), WatchEnded> {
    debug_assert!(entry.key.starts_with(LOG_PREFIX));
    let change: Change = serde_json::from_slice(&entry.value).map_err(|_| WatchEnded)?;
    if synchronizer.node.advance(vec![Arc::new(change)], ConfigSource::Watch).is_err() {
        catch_up(synchronizer, ConfigSource::PeriodicRead).await.map_err(|_| WatchEnded)?;
    }
    Ok(())
}

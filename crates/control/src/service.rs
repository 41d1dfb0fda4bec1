//! Following the key-value service: watchers do it for their data centre.

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

/// How often a process that is no watcher looks whether it has become one.
const ROLE_INTERVAL: Duration = Duration::from_secs(1);
/// A process whose configuration nobody confirmed for this long reads the service by itself.
const ISOLATION_LIMIT: Duration = Duration::from_secs(10);
/// Pause after a failure of the service.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Follows the service for as long as this process is a watcher.
pub(crate) async fn follow(spread: &Synchronizer) {
    loop {
        if spread.node.duties().is_watcher {
            watch_until_end(spread).await;
        } else {
            read_if_isolated(spread).await;
        }
    }
}

async fn read_if_isolated(spread: &Synchronizer) {
    let isolated = spread.node.since_confirmed().is_none_or(|time| time >= ISOLATION_LIMIT);
    if isolated && !catch_up_once(spread).await {
        sleep(spread.node.jitter(ISOLATION_LIMIT)).await;
    }
    sleep(ROLE_INTERVAL).await;
}

/// Brings the node up to the service; tells whether the service answered.
pub(crate) async fn catch_up_once(spread: &Synchronizer) -> bool {
    catch_up(spread, ConfigSource::PeriodicRead).await.is_ok()
}

async fn catch_up(
    spread: &Synchronizer,
    source: ConfigSource,
) -> Result<VersionedHead, StoreError> {
    let mut replica = spread.node.replica();
    let caught_up = spread.store.catch_up(&mut replica).await;
    if let Err(error) = &caught_up {
        report(spread, error);
    }
    let entry = caught_up?;
    spread.node.adopt(replica, source);
    spread.node.confirm_by_service();
    Ok(entry)
}

fn report(spread: &Synchronizer, error: &StoreError) {
    match error {
        StoreError::KeyValue(error) => {
            let error = error.to_string().into();
            spread.node.recorder().record(Event::KeyValueDown { error });
        }
        // The service lost accepted changes. This process keeps them; only people can decide.
        error => tracing::error!(%error, "the stored configuration can't be followed"),
    }
}

/// Opens a watch and takes what it brings, until it ends, is found deaf, or this process is no
/// longer a watcher.
async fn watch_until_end(spread: &Synchronizer) {
    let Ok(entry) = catch_up(spread, ConfigSource::PeriodicRead).await else {
        return sleep(spread.node.jitter(RETRY_INTERVAL)).await;
    };
    let after = entry.mod_revision.unwrap_or(Revision(0));
    let Ok(mut watch) = spread.store.watch_log(after).await else {
        return sleep(spread.node.jitter(RETRY_INTERVAL)).await;
    };
    while spread.node.duties().is_watcher && take_events(spread, &mut watch).await.is_ok() {}
}

/// The watch has to be opened again.
struct WatchEnded;

/// Takes events for one interval, then reads the head.
///
/// A watch can go silent for good while its connection stays open. Nothing on this side shows
/// that, and the data centre would stay on an old configuration. So the head is read from time
/// to time; if it is ahead of what the watch brought, the watch is deaf and opened again.
async fn take_events(spread: &Synchronizer, watch: &mut Watch) -> Result<(), WatchEnded> {
    let until = Instant::now() + spread.node.jitter(spread.timing.head_read_interval);
    loop {
        let event = tokio::select! {
            event = watch.recv() => event.ok_or(WatchEnded)?,
            () = sleep_until(until) => break,
        };
        match event {
            WatchEvent::Put(entry) => take_change(spread, &entry).await?,
            WatchEvent::Compacted { .. } => return Err(WatchEnded),
            WatchEvent::Delete { .. } | WatchEvent::Progress { .. } => {}
        }
    }
    let before = spread.node.revision();
    // While the service is down the watch is ended or useless either way.
    catch_up(spread, ConfigSource::PeriodicRead).await.map_err(|_| WatchEnded)?;
    if spread.node.revision() > before {
        tracing::warn!(revision = before.0, "watch went deaf; opening another");
        return Err(WatchEnded);
    }
    Ok(())
}

/// Takes the change that the watch brought. If it left some out, they are read. It confirms
/// nothing: it may have been waiting here while this process stood still.
async fn take_change(spread: &Synchronizer, entry: &KeyValueEntry) -> Result<(), WatchEnded> {
    debug_assert!(entry.key.starts_with(LOG_PREFIX));
    let change: Change = serde_json::from_slice(&entry.value).map_err(|_| WatchEnded)?;
    if spread.node.advance(vec![Arc::new(change)], ConfigSource::Watch).is_err() {
        catch_up(spread, ConfigSource::PeriodicRead).await.map_err(|_| WatchEnded)?;
    }
    Ok(())
}

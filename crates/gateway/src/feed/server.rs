//! Serves this entry's copy of the key-value store to other entries.

use crate::feed::groups::{Statuses, statuses_to_send};
use crate::feed::mirror::Mirror;
use crate::feed::{FeedMessage, FeedRequest};
use flamingowheel_protocol::link::Link;
use flamingowheel_protocol::ranks::GroupStatus;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

/// Time between two heads while nothing changes.
const HEAD_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two messages with statuses of groups.
const MIN_STATUSES_INTERVAL: Duration = Duration::from_millis(200);

/// Largest rate of statuses on one connection, in bytes per second. With hundreds of groups they
/// become rare, and entries rely on their own observations.
const MAX_STATUSES_BYTES_PER_S: f64 = 8_000.0;

/// Size of a group's status besides its ranks, in bytes.
const STATUS_OVERHEAD_BYTES: usize = 100;

/// Serves one connected entry until the connection ends.
pub async fn serve(
    mut link: Link<FeedMessage, FeedRequest>,
    mirror: Arc<Mirror>,
    mut statuses: watch::Receiver<Arc<Statuses>>,
) {
    let (mut revisions, mut contacts) = (mirror.revisions(), mirror.contacts());
    let mut heads = interval(HEAD_INTERVAL);
    heads.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sends_statuses = false;
    let mut next_statuses_at = Instant::now();
    loop {
        // A head, unless it is something else.
        let message = tokio::select! {
            request = link.receiver.recv() => match request {
                Some(FeedRequest::Changes { after }) => {
                    Some(FeedMessage::Delta(mirror.delta(after, Instant::now())))
                }
                Some(FeedRequest::Groups(is_wanted)) => {
                    sends_statuses = is_wanted;
                    continue;
                }
                None => return,
            },
            changed = revisions.changed() => {
                if changed.is_err() {
                    return;
                }
                None
            }
            changed = contacts.changed() => {
                if changed.is_err() {
                    return;
                }
                None
            }
            () = sleep_until(next_statuses_at), if sends_statuses => {
                if statuses.has_changed().is_err() {
                    return;
                }
                let recent = statuses_to_send(&statuses.borrow_and_update());
                next_statuses_at = Instant::now() + statuses_interval(&recent);
                if recent.is_empty() {
                    continue;
                }
                Some(FeedMessage::Groups(recent))
            }
            _ = heads.tick() => None,
        };
        let message = message.unwrap_or_else(|| {
            // A head tells of both.
            revisions.mark_unchanged();
            contacts.mark_unchanged();
            heads.reset();
            FeedMessage::Head(mirror.head(Instant::now()))
        });
        if link.sender.send(message).await.is_err() {
            return;
        }
    }
}

/// The time until the next message with statuses, from the size of this one.
fn statuses_interval(statuses: &[GroupStatus]) -> Duration {
    let bytes: usize =
        statuses.iter().map(|status| status.requests.len() + STATUS_OVERHEAD_BYTES).sum();
    MIN_STATUSES_INTERVAL.max(Duration::from_secs_f64(bytes as f64 / MAX_STATUSES_BYTES_PER_S))
}

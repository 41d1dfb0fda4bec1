//! Tells other entries what this one knows of the key-value store.

use crate::feed::groups::{Statuses, told_statuses};
use crate::feed::mirror::Mirror;
use crate::feed::{Asked, Told};
use flamingowheel_protocol::link::Link;
use flamingowheel_protocol::ranks::GroupStatus;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

/// Time between two words on how new the knowledge is, while nothing changes.
const HEAD_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two words on how groups stand, at the least.
const GROUPS_INTERVAL: Duration = Duration::from_millis(200);

/// What such words may take of one connection, in bytes a second. Where there are hundreds of groups they come
/// seldom, and entries go by what they see themselves.
const GROUPS_BYTES_PER_S: f64 = 8_000.0;

/// Size of what is told of a group besides its ranks, in bytes.
const GROUP_BYTES: usize = 100;

/// Serves one connected entry until the connection ends.
pub async fn serve(
    mut link: Link<Told, Asked>,
    mirror: Arc<Mirror>,
    mut statuses: watch::Receiver<Arc<Statuses>>,
) {
    let mut revisions = mirror.revisions();
    let mut heads = interval(HEAD_INTERVAL);
    heads.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tells_groups = false;
    let mut groups_at = Instant::now();
    loop {
        let told = tokio::select! {
            asked = link.receiver.recv() => match asked {
                Some(Asked::Changes { after }) => Told::Delta(mirror.delta(after, Instant::now())),
                Some(Asked::Groups(asked)) => {
                    tells_groups = asked;
                    continue;
                }
                None => return,
            },
            changed = revisions.changed() => {
                if changed.is_err() {
                    return;
                }
                Told::Head(mirror.head(Instant::now()))
            }
            () = sleep_until(groups_at), if tells_groups => {
                if statuses.has_changed().is_err() {
                    return;
                }
                let told = told_statuses(&statuses.borrow_and_update());
                groups_at = Instant::now() + groups_interval(&told);
                if told.is_empty() {
                    continue;
                }
                Told::Groups(told)
            }
            _ = heads.tick() => Told::Head(mirror.head(Instant::now())),
        };
        if link.sender.send(told).await.is_err() {
            return;
        }
    }
}

/// The time until groups are told of again, by what this word on them took.
fn groups_interval(told: &[GroupStatus]) -> Duration {
    let bytes: usize = told.iter().map(|status| status.requests.len() + GROUP_BYTES).sum();
    GROUPS_INTERVAL.max(Duration::from_secs_f64(bytes as f64 / GROUPS_BYTES_PER_S))
}

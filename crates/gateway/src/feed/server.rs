//! Tells other entries what this one knows of the key-value store.

use crate::feed::groups::{Statuses, told_statuses};
use crate::feed::mirror::Mirror;
use crate::feed::{Asked, Told};
use flamingowheel_protocol::link::Link;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Time between two words on how new the knowledge is, while nothing changes.
const HEAD_INTERVAL: Duration = Duration::from_millis(500);

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
            changed = statuses.changed(), if tells_groups => {
                if changed.is_err() {
                    return;
                }
                Told::Groups(told_statuses(&statuses.borrow_and_update()))
            }
            _ = heads.tick() => Told::Head(mirror.head(Instant::now())),
        };
        if link.sender.send(told).await.is_err() {
            return;
        }
    }
}

//! One lease for all groups of a process, under pauses, outages and lost messages.

use flamingowheel_backing::fake::{FakeKeyValue, LostAnswer};
use flamingowheel_backing::kv::LeaseId;
use flamingowheel_group::lease::{Lease, Leases};
use futures_util::future::{join_all, select_all};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

const TTL: Duration = Duration::from_secs(3);
const GROUPS: [&str; 3] = ["g1", "g2", "g3"];

fn process(kv: &FakeKeyValue) -> Leases {
    Leases::new(Arc::new(kv.clone()), TTL)
}

async fn acquire_all(leases: &Leases) -> Vec<Lease> {
    let acquired = join_all(GROUPS.map(|group| leases.acquire(group))).await;
    acquired.into_iter().map(|lease| lease.unwrap().expect("free")).collect()
}

/// Keeps the leases alive for this time and returns whether none was lost.
async fn none_lost(leases: &[Lease], time: Duration) -> bool {
    let all = leases.iter().map(|lease| Box::pin(lease.keep_alive()));
    timeout(time, select_all(all)).await.is_err()
}

/// Guards against one renewal per group: with several groups per entry, the renewals of a large
/// fleet would use up the capacity that the key-value service needs for configuration and requests.
#[tokio::test(start_paused = true)]
async fn keep_alive_renews_once_for_all_groups() {
    let kv = FakeKeyValue::new();
    let held = acquire_all(&process(&kv)).await;
    assert!(none_lost(&held, TTL * 20).await);
    let calls = kv.calls();
    assert_eq!(calls.grant_lease, 1);
    assert!((38..=41).contains(&calls.keep_alive), "{calls:?}");
    assert_eq!(kv.peek("groups/").entries.len(), GROUPS.len());
}

/// An entry is paused until its lease expires and another takes its groups over. When it resumes,
/// it must not change any of them, and releasing them must not delete the other entry's keys.
#[tokio::test(start_paused = true)]
async fn keep_alive_paused_past_lease() {
    let kv = FakeKeyValue::new();
    let (paused, other) = (process(&kv), process(&kv));
    let held = acquire_all(&paused).await;
    assert!(other.acquire("g1").await.unwrap().is_none());
    sleep(TTL * 2).await;
    let taken = acquire_all(&other).await;
    assert!(held.iter().all(|lease| !lease.may_change() && !lease.may_align()));
    join_all(held.iter().map(Lease::keep_alive)).await;
    join_all(held.into_iter().map(Lease::release)).await;
    assert!(paused.acquire("g1").await.unwrap().is_none());
    assert!(none_lost(&taken, TTL * 2).await);
    assert_eq!(kv.peek("groups/").entries.len(), GROUPS.len());
}

/// The key-value service is down for longer than the lease. Maps may not be changed, but crashed
/// ranks may be aligned; once the service is back, all groups are acquired again.
#[tokio::test(start_paused = true)]
async fn keep_alive_service_down_and_back() {
    let kv = FakeKeyValue::new();
    let leases = process(&kv);
    let held = acquire_all(&leases).await;
    kv.set_down(true);
    assert!(none_lost(&held, TTL * 4).await);
    assert!(held.iter().all(|lease| !lease.may_change() && lease.may_align()));
    kv.set_down(false);
    timeout(TTL, join_all(held.iter().map(Lease::keep_alive)))
        .await
        .expect("keep_alive ends when the lease is lost");
    drop(held);
    let held = acquire_all(&leases).await;
    assert!(held.iter().all(Lease::may_change));
    assert!(none_lost(&held, TTL * 4).await);
}

/// The lease is revoked by mistake. Coordination of all groups bound to it must end at once.
#[tokio::test(start_paused = true)]
async fn keep_alive_lease_lost() {
    let kv = FakeKeyValue::new();
    let leases = process(&kv);
    let held = acquire_all(&leases).await;
    (0..9).for_each(|id| kv.expire_lease(LeaseId(id)));
    timeout(TTL / 2, join_all(held.iter().map(Lease::keep_alive)))
        .await
        .expect("keep_alive ends when the lease is lost");
    assert!(held.iter().all(|lease| !lease.may_change() && !lease.may_align()));
    let other = process(&kv);
    assert!(other.acquire("g2").await.unwrap().is_some());
}

/// One group moves to another entry. If its key stayed until the lease expires, which the other
/// groups prevent, no process could ever coordinate the group again.
#[tokio::test(start_paused = true)]
async fn release_one_group_without_the_others() {
    for lost in [None, Some(LostAnswer::BeforeEffect), Some(LostAnswer::AfterEffect)] {
        let kv = FakeKeyValue::new();
        let (leases, other) = (process(&kv), process(&kv));
        let mut held = acquire_all(&leases).await;
        if let Some(lost) = lost {
            kv.lose_write_answers(1, lost);
        }
        held.remove(0).release().await;
        assert!(none_lost(&held, TTL).await, "{lost:?}");
        let taken = other.acquire("g1").await.unwrap().expect("free again");
        assert!(other.acquire("g2").await.unwrap().is_none(), "{lost:?}");
        assert!(leases.acquire("g1").await.unwrap().is_none(), "{lost:?}");
        held.push(taken);
        assert!(none_lost(&held, TTL * 2).await, "{lost:?}");
    }
}

/// The coordinator's task is dropped while it acquires its group. The key must not keep the group
/// from other processes.
#[tokio::test(start_paused = true)]
async fn acquire_dropped_midway() {
    let kv = FakeKeyValue::new();
    let (leases, other) = (process(&kv), process(&kv));
    let held = [leases.acquire("g2").await.unwrap().expect("free")];
    kv.lose_answers(2, LostAnswer::AfterEffect);
    assert!(timeout(TTL / 30, leases.acquire("g1")).await.is_err());
    assert!(none_lost(&held, TTL * 2).await);
    assert!(other.acquire("g1").await.unwrap().is_some());
}

/// Two tasks of one process acquire the same group. They share the process's token, which must not
/// let the second one succeed.
#[tokio::test(start_paused = true)]
async fn acquire_twice_in_one_process() {
    let kv = FakeKeyValue::new();
    let leases = process(&kv);
    let first = leases.acquire("g1").await.unwrap();
    assert!(first.is_some() && leases.acquire("g1").await.unwrap().is_none());
    drop(first);
    assert!(leases.acquire("g1").await.unwrap().is_some());
}

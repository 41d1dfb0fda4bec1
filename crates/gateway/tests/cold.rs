//! Requests that reach cold servers, counted at the servers, with the entries' own code for choosing
//! servers and for permits, under a paused clock.

mod fleet_of_entries;

use fleet_of_entries::{Fleet, Meters, RATE_PER_S, ms, s};

/// Entries of small, usual and large deployments.
const SIZES: [usize; 3] = [6, 42, 380];

/// A data centre comes back whole and cold while all entries have more requests than there is room.
/// The empty servers must get no more than they tolerate, and nearly all of that.
#[tokio::test(start_paused = true)]
async fn begin_data_centre_returns_kept_and_used() {
    for size in SIZES {
        let mut fleet = Fleet::new(size, 1);
        fleet.run(s(3)).await;
        fleet.darken();
        fleet.run(s(4)).await;
        fleet.return_cold();
        fleet.run(s(3)).await;
        fleet.assert_kept();
        let used = fleet.used(ms(500), ms(3_000));
        assert!(used >= 0.9, "{size} entries use {used:.3} of {RATE_PER_S}/s");
    }
}

/// Servers turn cold while they serve, and only their answers tell.
#[tokio::test(start_paused = true)]
async fn begin_turned_cold_told_by_answers() {
    for size in SIZES {
        let mut fleet = Fleet::new(size, 2);
        fleet.news_delay = None;
        fleet.run(s(3)).await;
        fleet.turn_cold();
        fleet.run(s(3)).await;
        fleet.assert_kept_after(ms(300));
    }
}

/// Entries are killed one after the other and started again at once, without memory of what they
/// have granted.
#[tokio::test(start_paused = true)]
async fn begin_entries_killed_in_series_kept() {
    for size in SIZES {
        let mut fleet = Fleet::new(size, 3);
        fleet.run(s(3)).await;
        fleet.turn_cold();
        for round in 0..12 {
            fleet.restart_meter(round);
            fleet.run(ms(250)).await;
        }
        fleet.assert_kept_after(ms(500));
    }
}

/// Entries leave and others join, so that servers get new meters while the old ones, which don't know
/// of it yet, go on granting.
#[tokio::test(start_paused = true)]
async fn begin_entries_leave_and_join_kept() {
    for size in SIZES {
        let mut fleet = Fleet::new(size, 4);
        fleet.run(s(3)).await;
        fleet.turn_cold();
        for round in 0..10 {
            fleet.delist_meter(round / 2, round % 2 == 0);
            fleet.run(ms(300)).await;
        }
        fleet.assert_kept_after(ms(500));
    }
}

/// Meters can't reach the store and the other entries any more, but the servers. The others choose new
/// meters, while the old ones go on for themselves.
#[tokio::test(start_paused = true)]
async fn begin_meters_cut_off_kept() {
    for size in SIZES {
        let mut fleet = Fleet::new(size, 5);
        fleet.run(s(3)).await;
        fleet.cold_for = s(9);
        fleet.turn_cold();
        fleet.run(s(1)).await;
        fleet.cut_off_meters();
        fleet.run(ms(3_500)).await;
        fleet.delist_cut_off();
        fleet.run(s(4)).await;
        fleet.assert_kept_after(ms(500));
    }
}

/// No entry reaches the store. The servers must still get some requests.
#[tokio::test(start_paused = true)]
async fn begin_store_down_kept_and_some_used() {
    for size in SIZES {
        let mut fleet = Fleet::new(size, 6);
        fleet.run(s(3)).await;
        fleet.is_store_down = true;
        fleet.run(s(3)).await;
        fleet.turn_cold();
        fleet.run(s(3)).await;
        fleet.assert_kept_after(ms(500));
        let used = fleet.used(ms(500), ms(3_000));
        assert!(used >= 0.2, "{size} entries use {used:.3} of {RATE_PER_S}/s");
    }
}

/// One in five datagrams is lost.
#[tokio::test(start_paused = true)]
async fn begin_datagrams_lost_kept() {
    let mut fleet = Fleet::new(42, 7);
    fleet.loss = 0.2;
    fleet.run(s(3)).await;
    fleet.turn_cold();
    fleet.run(s(3)).await;
    fleet.assert_kept_after(ms(500));
}

/// Each entry grants itself permits. The check must notice.
#[tokio::test(start_paused = true)]
async fn assert_kept_counted_per_entry_convicted() {
    for size in SIZES {
        let mut fleet = Fleet::new(size, 8);
        fleet.meters = Meters::EachItsOwn;
        fleet.run(s(3)).await;
        fleet.turn_cold();
        fleet.run(s(3)).await;
        assert!(fleet.excess_after(ms(500)) > 0, "{size} entries");
    }
}

/// A meter that is cut off goes on at the full rate. The check must notice.
#[tokio::test(start_paused = true)]
async fn assert_kept_old_list_ignored_convicted() {
    let mut fleet = Fleet::new(6, 10);
    fleet.meters = Meters::AlwaysSole;
    fleet.run(s(3)).await;
    fleet.cold_for = s(9);
    fleet.turn_cold();
    fleet.cut_off_meters();
    fleet.run(ms(3_500)).await;
    fleet.delist_cut_off();
    fleet.run(s(4)).await;
    assert!(fleet.excess_after(ms(500)) > 0);
}

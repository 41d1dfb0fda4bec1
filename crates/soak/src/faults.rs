//! Random faults. Each has a duration of its own, so that they overlap.

use crate::fleet::Fleet;
use crate::proxy::LinkFault;
use crate::{changes, crashes};
use flamingowheel_backing::fake::LostAnswer;
use rand::{Rng, RngExt};
use rustix::process::Signal;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Grace period from the stop signal to the kill, in seconds, as set in the present deployments.
pub const GRACE_S: u64 = 8;

/// Time in which an entry that was started knows the configuration.
const START_TIME: Duration = Duration::from_secs(1);

/// Limits that backend servers name, in requests per second: below the number of entries, and above.
const LIMITS_PER_S: [f64; 4] = [0.0, 0.5, 1.0, 20.0];

/// Rests that backend servers ask for, in milliseconds.
const REST_MS: std::ops::Range<u64> = 700..4_000;

/// Pauses between the kills of a series, in milliseconds.
const SERIES_PAUSE_MS: std::ops::Range<u64> = 50..700;

/// Pauses between the versions of a series, in milliseconds.
const SERIES_GAP_MS: std::ops::Range<u64> = 0..100;

/// Pauses between two sends of a request under which servers end, in milliseconds.
const CRASH_PAUSE_MS: std::ops::Range<u64> = 50..700;

/// Longest time of a series with the requests that check it.
const SERIES_TIME: Duration = Duration::from_secs(5);

/// One fault; entries and backend servers are given by their index in the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// An entry is killed, and started again after the fault's duration.
    Kill(usize),
    /// An entry is paused by `SIGSTOP` and continued.
    Pause(usize),
    /// An entry gets a stop signal, is killed if it outlasts its grace period, and starts again.
    Restart(usize),
    /// All entries are killed and started again, one after the other with this pause in
    /// milliseconds, as often as it fits into the duration.
    KillSeries(u64),
    /// An entry gets the signal to reload its settings.
    Hangup(usize),
    /// An entry's connections to the store have a fault.
    StoreLink(usize, LinkFault),
    /// The connections to a backend server have a fault.
    ServerLink(usize, LinkFault),
    /// The store refuses all calls.
    StoreDown,
    /// The store answers late.
    StoreSlow,
    /// The store applies writes but their answers are lost.
    StoreLosesAnswers,
    /// The store compacts its history up to the newest revision.
    StoreCompacts,
    /// A backend server's record says draining, and later ready again.
    Drain(usize),
    /// The data centre of a backend server is evacuated, and later taken back.
    Evacuate(usize),
    /// A series of versions of the configuration is published, with these pauses in milliseconds.
    Configurations([u64; 3]),
    /// The connections of all entries but one to the store have a fault.
    StoreLinks(usize, LinkFault),
    /// The same, with a series of versions right after it.
    ConfigurationsAmidLoss(usize, LinkFault, [u64; 3]),
    /// An entry that was left out at the start is added.
    Add(usize),
    /// A backend server names a limit, in requests per second.
    Limit(usize, f64),
    /// A backend server is cold.
    Cold(usize),
    /// A backend server refuses all requests and asks for rest of this time, in milliseconds.
    Rest(usize, u64),
    /// A backend server says that it leaves, and starts again.
    Replace(usize),
    /// A backend server answers without length or chunks.
    Unframed(usize),
    /// A request under which servers end is sent again and again: its kind, its number, how many
    /// entries get it at once, and the pause in milliseconds.
    Crash(usize, u64, usize, u64),
}

/// Chooses the next fault at random.
pub fn random_fault<R>(fleet: &Fleet, rng: &mut R) -> Fault
where
    R: Rng,
{
    let entry = rng.random_range(0..fleet.entries.len());
    let server = rng.random_range(0..fleet.servers.len());
    match rng.random_range(0..30) {
        0 => Fault::Kill(entry),
        1 => Fault::Pause(entry),
        2 | 3 => Fault::Restart(entry),
        4 => Fault::Hangup(entry),
        5 => Fault::StoreLink(entry, random_link_fault(rng)),
        6 | 7 => Fault::ServerLink(server, random_link_fault(rng)),
        8 => Fault::StoreDown,
        9 => Fault::StoreSlow,
        10 => Fault::StoreLosesAnswers,
        11 => Fault::StoreCompacts,
        12 => Fault::Drain(server),
        13 | 14 => Fault::Limit(server, LIMITS_PER_S[rng.random_range(0..LIMITS_PER_S.len())]),
        15 | 16 => Fault::Rest(server, rng.random_range(REST_MS)),
        17 => Fault::Replace(server),
        18 => Fault::StoreLinks(entry, random_link_fault(rng)),
        19 => Fault::Add(fleet.entries.len() - 1),
        20 => Fault::Unframed(server),
        21 => Fault::KillSeries(rng.random_range(SERIES_PAUSE_MS)),
        22..=24 => random_crash(fleet, rng),
        25 | 26 => Fault::Evacuate(server),
        27 | 28 => Fault::Cold(server),
        _ => Fault::Configurations(random_gaps_ms(rng)),
    }
}

fn random_crash<R>(fleet: &Fleet, rng: &mut R) -> Fault
where
    R: Rng,
{
    let at_once = if rng.random_bool(0.7) { 1 } else { fleet.entries.len() };
    let kind = rng.random_range(0..crashes::KIND_COUNT);
    Fault::Crash(kind, rng.random(), at_once, rng.random_range(CRASH_PAUSE_MS))
}

fn random_gaps_ms<R>(rng: &mut R) -> [u64; 3]
where
    R: Rng,
{
    std::array::from_fn(|_| rng.random_range(SERIES_GAP_MS))
}

/// Chooses the next fault of a run with changes only, which entries lose the store or are killed
/// amid: with all kinds of faults few entries are in touch for long enough to be checked.
pub fn random_fault_amid_changes<R>(fleet: &Fleet, rng: &mut R) -> Fault
where
    R: Rng,
{
    let entry = rng.random_range(0..fleet.entries.len());
    match rng.random_range(0..12) {
        0 => Fault::Kill(entry),
        1 => Fault::Pause(entry),
        2 => Fault::StoreLink(entry, random_link_fault(rng)),
        3 => Fault::Add(fleet.entries.len() - 1),
        4 | 5 => Fault::Configurations(random_gaps_ms(rng)),
        10 | 11 => Fault::Evacuate(rng.random_range(0..fleet.servers.len())),
        _ => {
            let link_fault = random_link_fault(rng);
            Fault::ConfigurationsAmidLoss(entry, link_fault, random_gaps_ms(rng))
        }
    }
}

fn random_link_fault<R>(rng: &mut R) -> LinkFault
where
    R: Rng,
{
    match rng.random_range(0..5) {
        0 => LinkFault::Delay(rng.random_range(5..200)),
        1 => LinkFault::Silence,
        2 => LinkFault::CutRequests,
        3 => LinkFault::CutAnswers,
        _ => LinkFault::Reset,
    }
}

/// Injects a fault and clears it after `duration`. Faults without an end ignore the duration.
pub async fn inject(fleet: Arc<Fleet>, fault: Fault, duration: Duration) {
    match fault {
        Fault::Kill(entry) => {
            fleet.kill_entry(entry).await;
            sleep(duration).await;
            fleet.start_entry(entry);
        }
        Fault::Pause(entry) => {
            fleet.entries[entry].daemon.signal(Signal::STOP);
            sleep(duration).await;
            fleet.entries[entry].daemon.signal(Signal::CONT);
        }
        Fault::Restart(entry) => {
            fleet.entries[entry].daemon.signal(Signal::TERM);
            let step = Duration::from_millis(100);
            let mut elapsed = Duration::ZERO;
            while fleet.entries[entry].daemon.is_running() && elapsed < Duration::from_secs(GRACE_S)
            {
                sleep(step).await;
                elapsed += step;
            }
            fleet.entries[entry].daemon.signal(Signal::KILL);
            sleep(step).await;
            fleet.start_entry(entry);
        }
        Fault::KillSeries(pause_ms) => {
            let until = Instant::now() + duration;
            for entry in (0..fleet.entries.len()).cycle() {
                if Instant::now() >= until {
                    break;
                }
                fleet.kill_entry(entry).await;
                fleet.start_entry(entry);
                sleep(Duration::from_millis(pause_ms)).await;
            }
        }
        Fault::Hangup(entry) => fleet.entries[entry].daemon.signal(Signal::HUP),
        Fault::StoreLink(entry, link_fault) => {
            fleet.entries[entry].store_proxy.set_fault(link_fault);
            sleep(duration).await;
            fleet.entries[entry].store_proxy.set_fault(LinkFault::None);
        }
        Fault::ServerLink(server, link_fault) => {
            fleet.servers[server].proxy.set_fault(link_fault);
            sleep(duration).await;
            fleet.servers[server].proxy.set_fault(LinkFault::None);
        }
        Fault::StoreDown => {
            fleet.kv.set_down(true);
            sleep(duration).await;
            fleet.kv.set_down(false);
        }
        Fault::StoreSlow => {
            fleet.kv.set_delay(Duration::from_millis(240));
            sleep(duration).await;
            fleet.kv.set_delay(Duration::ZERO);
        }
        Fault::StoreLosesAnswers => fleet.kv.lose_write_answers(3, LostAnswer::AfterEffect),
        Fault::StoreCompacts => {
            let newest = fleet.kv.peek("").revision;
            fleet.kv.compact(newest);
        }
        Fault::Drain(server) => {
            fleet.publish_server(server, true).await;
            sleep(duration).await;
            fleet.publish_server(server, false).await;
        }
        Fault::Evacuate(server) => fleet.evacuate(server, duration).await,
        Fault::Configurations(gaps_ms) => changes::publish_series(&fleet, &gaps_ms).await,
        Fault::StoreLinks(spared, link_fault) => {
            set_store_links(&fleet, spared, link_fault);
            sleep(duration).await;
            set_store_links(&fleet, spared, LinkFault::None);
        }
        Fault::ConfigurationsAmidLoss(spared, link_fault, gaps_ms) => {
            set_store_links(&fleet, spared, link_fault);
            changes::publish_series(&fleet, &gaps_ms).await;
            set_store_links(&fleet, spared, LinkFault::None);
        }
        Fault::Add(entry) => fleet.start_entry(entry),
        Fault::Rest(server, rest_ms) => {
            fleet.rest_server(server, Duration::from_millis(rest_ms), duration).await;
        }
        Fault::Cold(server) => fleet.cool_server(server, duration).await,
        Fault::Replace(server) => fleet.replace_server(server, duration).await,
        Fault::Unframed(server) => fleet.unframe_server(server, duration).await,
        Fault::Crash(kind, number, at_once, pause_ms) => {
            crashes::resend(&fleet, kind, number, at_once, Duration::from_millis(pause_ms)).await;
        }
        Fault::Limit(server, limit_per_s) => {
            fleet.limit_server(server, limit_per_s, duration).await
        }
    }
}

/// Sets the fault of the connections of all entries but one to the store.
fn set_store_links(fleet: &Fleet, spared: usize, link_fault: LinkFault) {
    for (number, entry) in fleet.entries.iter().enumerate() {
        if number != spared {
            entry.store_proxy.set_fault(link_fault);
        }
    }
}

impl Fault {
    /// Which of `entries` entries have this fault, and for how long they are out of order if the
    /// fault lasts `duration`.
    pub fn outage(self, entries: usize, duration: Duration) -> (Vec<usize>, Duration) {
        match self {
            Self::Kill(entry) => (vec![entry], duration + START_TIME),
            Self::Restart(entry) => (vec![entry], Duration::from_secs(GRACE_S) + START_TIME),
            Self::Pause(entry) | Self::StoreLink(entry, _) => (vec![entry], duration),
            Self::StoreLinks(spared, _) | Self::ConfigurationsAmidLoss(spared, ..) => {
                let struck = (0..entries).filter(|entry| *entry != spared).collect();
                (struck, duration.max(SERIES_TIME))
            }
            Self::KillSeries(_) => ((0..entries).collect(), duration + START_TIME),
            Self::Add(entry) => (vec![entry], START_TIME),
            _ => (Vec::new(), Duration::ZERO),
        }
    }

    /// Whether the store has this fault.
    pub fn is_of_store(self) -> bool {
        matches!(
            self,
            Self::StoreDown | Self::StoreSlow | Self::StoreLosesAnswers | Self::StoreCompacts
        )
    }
}

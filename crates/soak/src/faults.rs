//! Faults drawn at random. Each lasts for a while of its own, so that they overlap.

use crate::fleet::Fleet;
use crate::proxy::LinkFault;
use flamingowheel_backing::fake::LostAnswer;
use rand::{Rng, RngExt};
use rustix::process::Signal;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time from the signal to stop to the forced end, in seconds, as the deployments at hand set it.
pub const GRACE_S: u64 = 8;

/// One fault.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// An entry is killed and starts again.
    Kill(usize),
    /// An entry stands still and goes on.
    Pause(usize),
    /// An entry is told to stop, has its grace time, and starts again.
    Restart(usize),
    /// An entry is told that its settings have changed.
    Hangup(usize),
    /// An entry's connections to the store are harmed.
    StoreLink(usize, LinkFault),
    /// The connections to a backend server are harmed.
    ServerLink(usize, LinkFault),
    /// The store refuses all calls.
    StoreDown,
    /// The store answers late.
    StoreSlow,
    /// The store loses answers to writes that it carried out.
    StoreLosesAnswers,
    /// The store forgets its history.
    StoreCompacts,
    /// A backend server reports that it leaves, and comes back.
    Drain(usize),
    /// Operators accept a new version of the configuration.
    Configuration,
}

/// Draws the next fault.
pub fn random_fault<R>(fleet: &Fleet, rng: &mut R) -> Fault
where
    R: Rng,
{
    let entry = rng.random_range(0..fleet.entries.len());
    let server = rng.random_range(0..fleet.servers.len());
    match rng.random_range(0..14) {
        0 => Fault::Kill(entry),
        1 => Fault::Pause(entry),
        2 | 3 => Fault::Restart(entry),
        4 => Fault::Hangup(entry),
        5 => Fault::StoreLink(entry, harm(rng)),
        6 | 7 => Fault::ServerLink(server, harm(rng)),
        8 => Fault::StoreDown,
        9 => Fault::StoreSlow,
        10 => Fault::StoreLosesAnswers,
        11 => Fault::StoreCompacts,
        12 => Fault::Drain(server),
        _ => Fault::Configuration,
    }
}

fn harm<R>(rng: &mut R) -> LinkFault
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

/// Strikes, and mends what it did after `time`.
pub async fn inject(fleet: Arc<Fleet>, fault: Fault, time: Duration) {
    match fault {
        Fault::Kill(entry) => {
            fleet.entries[entry].daemon.signal(Signal::KILL);
            sleep(time).await;
            fleet.start_entry(entry);
        }
        Fault::Pause(entry) => {
            fleet.entries[entry].daemon.signal(Signal::STOP);
            sleep(time).await;
            fleet.entries[entry].daemon.signal(Signal::CONT);
        }
        Fault::Restart(entry) => {
            fleet.entries[entry].daemon.signal(Signal::TERM);
            let step = Duration::from_millis(100);
            let mut waited = Duration::ZERO;
            while fleet.entries[entry].daemon.is_running() && waited < Duration::from_secs(GRACE_S)
            {
                sleep(step).await;
                waited += step;
            }
            fleet.entries[entry].daemon.signal(Signal::KILL);
            sleep(step).await;
            fleet.start_entry(entry);
        }
        Fault::Hangup(entry) => fleet.entries[entry].daemon.signal(Signal::HUP),
        Fault::StoreLink(entry, harm) => {
            fleet.entries[entry].store_proxy.set_fault(harm);
            sleep(time).await;
            fleet.entries[entry].store_proxy.set_fault(LinkFault::None);
        }
        Fault::ServerLink(server, harm) => {
            fleet.servers[server].proxy.set_fault(harm);
            sleep(time).await;
            fleet.servers[server].proxy.set_fault(LinkFault::None);
        }
        Fault::StoreDown => {
            fleet.kv.set_down(true);
            sleep(time).await;
            fleet.kv.set_down(false);
        }
        Fault::StoreSlow => {
            fleet.kv.set_delay(Duration::from_millis(240));
            sleep(time).await;
            fleet.kv.set_delay(Duration::ZERO);
        }
        Fault::StoreLosesAnswers => fleet.kv.lose_write_answers(3, LostAnswer::AfterEffect),
        Fault::StoreCompacts => {
            let newest = fleet.kv.peek("").revision;
            fleet.kv.compact(newest);
        }
        Fault::Drain(server) => {
            fleet.publish_server(server, true).await;
            sleep(time).await;
            fleet.publish_server(server, false).await;
        }
        Fault::Configuration => fleet.publish_configuration().await,
    }
}

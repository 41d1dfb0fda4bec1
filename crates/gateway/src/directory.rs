//! Which entries callers are told of.

use crate::view::{CapacityRecord, EntryRecord, View};
use flamingowheel_policy::directory::{self, Caller, Candidate};
use flamingowheel_policy::key::{DataCentreKey, EntryKey};
use serde::Serialize;
use std::net::{IpAddr, SocketAddr};

/// A caller that asks for entries.
#[derive(Clone, Copy, Debug)]
pub struct Asker<'a> {
    /// Its address. Its port differs with each connection and is not part of it.
    pub address: Option<IpAddr>,
    /// Its data centre, if it names one.
    pub data_centre: Option<&'a str>,
}

impl Asker<'_> {
    /// The caller as the choice knows it.
    fn caller(&self) -> Caller {
        let name = self.address.map(|address| address.to_string()).unwrap_or_default();
        Caller {
            key: EntryKey::from_name(&name).0,
            data_centre: self.data_centre.map(DataCentreKey::from_name),
        }
    }
}

/// Chooses at most `most` of the eligible entries for a caller.
///
/// ```
/// use flamingowheel_gateway::directory::{Asker, choose};
/// use flamingowheel_gateway::view::EntryRecord;
/// let callers = "127.0.0.1:8000".parse().unwrap();
/// let data_centre = "a".to_owned();
/// let record = EntryRecord { callers, data_centre, peers: None, suspects: None, capacity: None };
/// let asker = Asker { address: None, data_centre: Some("a") };
/// assert_eq!(choose([("vm", &record)], asker, 64), [callers]);
/// ```
pub fn choose<'a, I>(eligible: I, asker: Asker<'_>, most: usize) -> Vec<SocketAddr>
where
    I: IntoIterator<Item = (&'a str, &'a EntryRecord)>,
{
    let mut eligible: Vec<_> = eligible.into_iter().collect();
    eligible.sort_by_key(|(_, record)| record.callers);
    let candidates: Vec<Candidate> =
        eligible.iter().map(|(vm, record)| candidate(vm, record)).collect();
    let chosen = directory::choose(&candidates, &asker.caller(), most);
    chosen.into_iter().map(|position| eligible[position].1.callers).collect()
}

fn candidate(vm: &str, record: &EntryRecord) -> Candidate {
    let share = |percent: u8| f64::from(percent.clamp(1, 100)) / 100.0;
    let capacity = record.capacity;
    Candidate {
        key: EntryKey::from_name(vm),
        data_centre: DataCentreKey::from_name(&record.data_centre),
        size: capacity.map(size),
        speed: capacity.map_or(1.0, |capacity| share(capacity.speed_percent)),
        room: capacity.map_or(1.0, |capacity| share(capacity.room_percent)),
    }
}

fn size(capacity: CapacityRecord) -> f64 {
    f64::from(capacity.requests_per_s.max(1))
}

/// Whether the machines of the listed entries differ, so that callers are told of them by what each
/// can take.
pub fn is_uneven<'a, I>(records: I) -> bool
where
    I: IntoIterator<Item = &'a EntryRecord>,
{
    directory::is_uneven(records.into_iter().map(|record| record.capacity.map(size)))
}

/// A listed entry, as operators see it.
#[derive(Debug, Serialize)]
pub struct ListedEntry<'a> {
    vm: &'a str,
    data_centre: &'a str,
    callers: SocketAddr,
    /// `null` if its version announces none.
    capacity: Option<CapacityRecord>,
    /// Whether shares of callers follow capacities.
    is_uneven: bool,
}

/// The listed entries with what their shares of callers follow.
pub fn listed(view: &View) -> Vec<ListedEntry<'_>> {
    let is_uneven = view.is_uneven;
    let mut listed: Vec<_> = view
        .entries
        .iter()
        .map(|(vm, record)| ListedEntry {
            vm,
            data_centre: &record.data_centre,
            callers: record.callers,
            capacity: record.capacity,
            is_uneven,
        })
        .collect();
    listed.sort_by_key(|entry| entry.vm);
    listed
}

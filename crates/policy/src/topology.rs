//! Who watches whom, computed by every process alone from its table.
//!
//! The entries of a data centre stand in an order by the hash of their names. The first
//! [`WATCHERS`] watch the key-value service. Everyone else polls two parents further up, so that
//! one of them may fail. The watchers of a data centre poll those of every other, for news of
//! members. Where two processes' tables differ, a few links are missing or too many for a while;
//! nothing else depends on the order.

use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Entries of a data centre that watch the key-value service.
pub const WATCHERS: usize = 2;
/// Children of one parent, for each of its two ranks as parent.
pub const FANOUT: usize = 4;

/// Entries that follow the key-value service for the whole fleet, where each call to it is paid for:
/// one may be cut off and another stand still.
pub const FOLLOWERS: usize = 3;

/// One entry as the topology sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryRef<'a> {
    /// Its data centre.
    pub data_centre: &'a str,
    /// Its name.
    pub name: &'a str,
}

/// The order of all entries, by data centre.
#[derive(Clone, Debug, Default)]
pub struct Topology<'a> {
    orders: BTreeMap<&'a str, Vec<&'a str>>,
}

impl<'a> Topology<'a> {
    /// Orders the entries.
    ///
    /// ```
    /// use flamingowheel_policy::topology::{EntryRef, Topology};
    /// let names: Vec<String> = (0..9).map(|number| format!("e{number}")).collect();
    /// let places = names.iter().map(|name| EntryRef { data_centre: "macon-1", name });
    /// let topology = Topology::new(places);
    /// assert_eq!(names.iter().filter(|name| topology.is_watcher("macon-1", name)).count(), 2);
    /// ```
    pub fn new<I>(places: I) -> Self
    where
        I: IntoIterator<Item = EntryRef<'a>>,
    {
        let mut orders: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for place in places {
            orders.entry(place.data_centre).or_default().push(place.name);
        }
        for order in orders.values_mut() {
            order.sort_by_key(|name| (xxh3_64(name.as_bytes()), *name));
            order.dedup();
        }
        Self { orders }
    }

    /// Whether this entry watches the key-value service for its data centre.
    pub fn is_watcher(&self, data_centre: &str, name: &str) -> bool {
        self.watchers(data_centre).contains(&name)
    }

    /// Whether this entry reads the VM list: the watchers of one data centre do so for the fleet.
    pub fn reads_vm_list(&self, data_centre: &str, name: &str) -> bool {
        let first = self.orders.keys().min_by_key(|own| (xxh3_64(own.as_bytes()), **own));
        first == Some(&data_centre) && self.is_watcher(data_centre, name)
    }

    /// The entries that this one polls.
    pub fn poll_targets(&self, data_centre: &str, name: &str) -> Vec<&'a str> {
        let order = self.order(data_centre);
        let Some(rank) = order.iter().position(|other| *other == name) else {
            return self.watchers(data_centre).to_vec();
        };
        let mut polled: Vec<&str> =
            parents(rank, order.len()).filter_map(|parent| order.get(parent).copied()).collect();
        if rank < WATCHERS {
            polled.extend(self.remote_watchers(data_centre, rank));
        }
        polled
    }

    /// The watcher of the same rank in every other data centre, or its only one.
    fn remote_watchers(&self, data_centre: &str, rank: usize) -> impl Iterator<Item = &'a str> {
        let others = self.orders.iter().filter(move |(other, _)| **other != data_centre);
        others.filter_map(move |(_, order)| order.get(rank).or(order.first()).copied())
    }

    /// The entries that poll this one, all of which it watches in turn.
    pub fn pollers(&self, data_centre: &str, name: &str) -> Vec<&'a str> {
        let order = self.order(data_centre);
        let Some(rank) = order.iter().position(|other| *other == name) else { return Vec::new() };
        let children = order.iter().enumerate();
        let own = children.filter(|(child, _)| parents(*child, order.len()).any(|p| p == rank));
        let mut pollers: Vec<&str> = own.map(|(_, child)| *child).collect();
        if rank < WATCHERS {
            pollers.extend(self.remote_watchers(data_centre, rank));
        }
        pollers
    }

    /// The entries that follow the key-value service for all others: the first of as many data
    /// centres, and further ones of each where there are few data centres.
    ///
    /// ```
    /// use flamingowheel_policy::topology::{EntryRef, Topology};
    /// let place = |data_centre, name| EntryRef { data_centre, name };
    /// let topology = Topology::new([place("a", "x"), place("a", "y"), place("b", "z")]);
    /// assert_eq!(topology.followers().len(), 3);
    /// ```
    pub fn followers(&self) -> Vec<&'a str> {
        let mut centres: Vec<(&str, &Vec<&str>)> =
            self.orders.iter().map(|(centre, order)| (*centre, order)).collect();
        centres.sort_by_key(|(centre, _)| (xxh3_64(centre.as_bytes()), *centre));
        let longest = centres.iter().map(|(_, order)| order.len()).max().unwrap_or(0);
        let by_rank = (0..longest)
            .flat_map(|rank| centres.iter().filter_map(move |(_, order)| order.get(rank)));
        by_rank.take(FOLLOWERS).copied().collect()
    }

    /// The entries from which one learns what the service says, the nearest first: the first of its data
    /// centre, so that most bytes stay there, and all followers.
    pub fn sources(&self, data_centre: &str, name: &str) -> Vec<&'a str> {
        let followers = self.followers();
        // Followers only watch over each other.
        let head = self.order(data_centre).first().filter(|_| !followers.contains(&name));
        let mut sources: Vec<&str> = Vec::new();
        for source in head.into_iter().chain(&followers) {
            if *source != name && !sources.contains(source) {
                sources.push(source);
            }
        }
        sources
    }

    fn order(&self, data_centre: &str) -> &[&'a str] {
        self.orders.get(data_centre).map_or(&[], Vec::as_slice)
    }

    fn watchers(&self, data_centre: &str) -> &[&'a str] {
        let order = self.order(data_centre);
        &order[..order.len().min(WATCHERS)]
    }
}

/// Ranks of the parents of a rank. The watchers are each other's parent.
fn parents(rank: usize, count: usize) -> impl Iterator<Item = usize> {
    let (first, second) = match rank {
        0 => (1, None),
        1 => (0, None),
        _ => {
            let first = (rank - WATCHERS) / FANOUT;
            (first, Some(first + 1))
        }
    };
    std::iter::once(first).chain(second).filter(move |parent| *parent != rank && *parent < count)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn poll_targets_bounded_and_connected() {
        let names: Vec<String> = (0..380).map(|number| format!("entry-{number}")).collect();
        let centres: Vec<String> = (0..5).map(|number| format!("dc-{number}")).collect();
        let place = |at: usize| EntryRef { data_centre: &centres[at % 5], name: &names[at] };
        let topology = Topology::new((0..380).map(place));
        for at in 0..380 {
            let EntryRef { data_centre, name } = place(at);
            let links = topology.poll_targets(data_centre, name).len()
                + topology.pollers(data_centre, name).len();
            assert!(links <= 2 + 2 * FANOUT + 2 * 4, "{links}");
            assert!(!topology.poll_targets(data_centre, name).contains(&name));
        }
    }

    #[test]
    fn parents_lead_up_to_the_watchers() {
        for rank in WATCHERS..100 {
            assert!(parents(rank, 100).all(|parent| parent < rank), "{rank}");
            assert_eq!(parents(rank, 100).count(), 2, "{rank}");
        }
    }

    /// All entries learn from three, which must not stand in one data centre.
    #[test]
    fn followers_in_several_data_centres() {
        let names: Vec<String> = (0..149).map(|number| format!("entry-{number}")).collect();
        let centres: Vec<String> = (0..5).map(|number| format!("dc-{number}")).collect();
        let place = |at: usize| EntryRef { data_centre: &centres[at % 5], name: &names[at] };
        let topology = Topology::new((0..149).map(place));
        let followers = topology.followers();
        let data_centre = |name: &&str| names.iter().position(|n| n == name).unwrap() % 5;
        let distinct: std::collections::HashSet<usize> =
            followers.iter().map(data_centre).collect();
        assert_eq!((followers.len(), distinct.len()), (FOLLOWERS, FOLLOWERS));
        for at in 0..149 {
            let EntryRef { data_centre, name } = place(at);
            let sources = topology.sources(data_centre, name);
            assert!(sources.len() >= 2 && !sources.contains(&name));
        }
    }

    #[test]
    fn watchers_change_little() {
        let names: Vec<String> = (0..20).map(|number| format!("e{number}")).collect();
        let place = |name| EntryRef { data_centre: "a", name };
        let all = Topology::new(names.iter().map(|name| place(name)));
        for gone in &names {
            let rest = Topology::new(names.iter().filter(|n| *n != gone).map(|name| place(name)));
            let kept = names.iter().filter(|n| *n != gone && all.is_watcher("a", n));
            assert!(kept.clone().all(|n| rest.is_watcher("a", n)), "{gone}");
        }
    }
}

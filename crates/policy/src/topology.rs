//! Which entries poll which others. Every process computes it from its own member table.
//!
//! The entries of a data centre are ordered by the hash of their names. The first [`WATCHERS`]
//! watch the key-value service. Every other entry polls two parents earlier in the order, so that
//! one of them may fail. The watchers of a data centre poll those of every other data centre for
//! membership changes. While the tables of two processes differ, a few links are missing or
//! redundant; nothing else depends on the order.

use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Entries of a data centre that watch the key-value service.
pub const WATCHERS: usize = 2;
/// Children of each entry as a first parent, and again as a second parent.
pub const FANOUT: usize = 4;

/// Entries that watch the key-value service for the whole fleet, where each call to it is billed.
/// Two of them may fail, for example one partitioned and one stopped.
pub const FOLLOWERS: usize = 3;

/// Entries of the first round of a takeover, and the factor by which each further round is larger.
const ROUND_GROWTH: usize = 4;

/// Name and data centre of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryRef<'a> {
    /// Name of its data centre.
    pub data_centre: &'a str,
    /// Name of the entry; its hash determines the order.
    pub name: &'a str,
}

/// All entries in polling order, by data centre.
#[derive(Clone, Debug, Default)]
pub struct Topology<'a> {
    orders: BTreeMap<&'a str, Vec<&'a str>>,
}

impl<'a> Topology<'a> {
    /// Orders the entries by the hash of their names; duplicates are ignored.
    ///
    /// ```
    /// use flamingowheel_policy::topology::{EntryRef, Topology};
    /// let names: Vec<String> = (0..9).map(|number| format!("e{number}")).collect();
    /// let entries = names.iter().map(|name| EntryRef { data_centre: "macon-1", name });
    /// let topology = Topology::new(entries);
    /// assert_eq!(names.iter().filter(|name| topology.is_watcher("macon-1", name)).count(), 2);
    /// ```
    pub fn new<I>(entries: I) -> Self
    where
        I: IntoIterator<Item = EntryRef<'a>>,
    {
        let mut orders: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for entry in entries {
            orders.entry(entry.data_centre).or_default().push(entry.name);
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
        let first = self.orders.keys().min_by_key(|centre| (xxh3_64(centre.as_bytes()), **centre));
        first == Some(&data_centre) && self.is_watcher(data_centre, name)
    }

    /// The entries that this one polls. An entry not in the table polls its data centre's watchers.
    pub fn poll_targets(&self, data_centre: &str, name: &str) -> Vec<&'a str> {
        let order = self.order(data_centre);
        let Some(position) = order.iter().position(|other| *other == name) else {
            return self.watchers(data_centre).to_vec();
        };
        let mut polled: Vec<&str> = parents(position, order.len())
            .filter_map(|parent| order.get(parent).copied())
            .collect();
        if position < WATCHERS {
            polled.extend(self.remote_watchers(data_centre, position));
        }
        polled
    }

    /// The watcher at the same position in every other data centre, or its only one.
    fn remote_watchers(&self, data_centre: &str, position: usize) -> impl Iterator<Item = &'a str> {
        let others = self.orders.iter().filter(move |(other, _)| **other != data_centre);
        others.filter_map(move |(_, order)| order.get(position).or(order.first()).copied())
    }

    /// The entries that poll this one, which monitors them in return.
    pub fn pollers(&self, data_centre: &str, name: &str) -> Vec<&'a str> {
        let order = self.order(data_centre);
        let Some(position) = order.iter().position(|other| *other == name) else {
            return Vec::new();
        };
        let children = order.iter().enumerate();
        let own_children =
            children.filter(|(child, _)| parents(*child, order.len()).any(|p| p == position));
        let mut pollers: Vec<&str> = own_children.map(|(_, child)| *child).collect();
        if position < WATCHERS {
            pollers.extend(self.remote_watchers(data_centre, position));
        }
        pollers
    }

    /// The order in which entries are to watch the key-value service for all others: the first
    /// entries of the data centres, then the second ones, and so on.
    pub fn succession(&self) -> Vec<&'a str> {
        let mut centres: Vec<(&str, &Vec<&str>)> =
            self.orders.iter().map(|(centre, order)| (*centre, order)).collect();
        centres.sort_by_key(|(centre, _)| (xxh3_64(centre.as_bytes()), *centre));
        let longest = centres.iter().map(|(_, order)| order.len()).max().unwrap_or(0);
        let by_position = (0..longest)
            .flat_map(|position| centres.iter().filter_map(move |(_, order)| order.get(position)));
        by_position.copied().collect()
    }

    /// The [`FOLLOWERS`] entries that watch the key-value service for all others: the first entries
    /// of different data centres, and further entries of each if there are fewer data centres than
    /// that.
    ///
    /// ```
    /// use flamingowheel_policy::topology::{EntryRef, Topology};
    /// let entry = |data_centre, name| EntryRef { data_centre, name };
    /// let topology = Topology::new([entry("a", "x"), entry("a", "y"), entry("b", "z")]);
    /// assert_eq!(topology.followers().len(), 3);
    /// ```
    pub fn followers(&self) -> Vec<&'a str> {
        let mut succession = self.succession();
        succession.truncate(FOLLOWERS);
        succession
    }

    /// The entries from which this one receives the service's contents, nearest first: the first
    /// entry of its data centre, so that most traffic stays there, and all followers.
    pub fn sources(&self, data_centre: &str, name: &str) -> Vec<&'a str> {
        let followers = self.followers();
        // Followers use only each other as sources.
        let nearest = self.order(data_centre).first().filter(|_| !followers.contains(&name));
        let mut sources: Vec<&str> = Vec::new();
        for source in nearest.into_iter().chain(&followers) {
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

/// The round in which the entry at a position of the succession takes over once no follower reaches
/// the service. Rounds grow, so that few entries call the service if those before them succeed, and
/// the last entry of any fleet has its turn soon if all before it are cut off.
///
/// ```
/// use flamingowheel_policy::topology::takeover_round;
/// assert_eq!([2, 3, 11, 12, 47, 48, 379].map(takeover_round), [0, 0, 0, 1, 1, 2, 3]);
/// ```
pub fn takeover_round(position: usize) -> u32 {
    let mut round = 0;
    let mut end = FOLLOWERS * ROUND_GROWTH;
    while position >= end {
        end *= ROUND_GROWTH;
        round += 1;
    }
    round
}

/// Positions of the parents of a position. The two watchers are each other's parent.
fn parents(position: usize, count: usize) -> impl Iterator<Item = usize> {
    let (first, second) = match position {
        0 => (1, None),
        1 => (0, None),
        _ => {
            let first = (position - WATCHERS) / FANOUT;
            (first, Some(first + 1))
        }
    };
    std::iter::once(first)
        .chain(second)
        .filter(move |parent| *parent != position && *parent < count)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn poll_targets_bounded_and_connected() {
        let names: Vec<String> = (0..380).map(|number| format!("entry-{number}")).collect();
        let centres: Vec<String> = (0..5).map(|number| format!("dc-{number}")).collect();
        let entry =
            |index: usize| EntryRef { data_centre: &centres[index % 5], name: &names[index] };
        let topology = Topology::new((0..380).map(entry));
        for index in 0..380 {
            let EntryRef { data_centre, name } = entry(index);
            let links = topology.poll_targets(data_centre, name).len()
                + topology.pollers(data_centre, name).len();
            assert!(links <= 2 + 2 * FANOUT + 2 * 4, "{links}");
            assert!(!topology.poll_targets(data_centre, name).contains(&name));
        }
    }

    #[test]
    fn parents_precede_their_children() {
        for position in WATCHERS..100 {
            assert!(parents(position, 100).all(|parent| parent < position), "{position}");
            assert_eq!(parents(position, 100).count(), 2, "{position}");
        }
    }

    /// All entries depend on the followers, so these must be spread over data centres.
    #[test]
    fn followers_in_several_data_centres() {
        let names: Vec<String> = (0..149).map(|number| format!("entry-{number}")).collect();
        let centres: Vec<String> = (0..5).map(|number| format!("dc-{number}")).collect();
        let entry =
            |index: usize| EntryRef { data_centre: &centres[index % 5], name: &names[index] };
        let topology = Topology::new((0..149).map(entry));
        let followers = topology.followers();
        let data_centre = |name: &&str| names.iter().position(|n| n == name).unwrap() % 5;
        let distinct: std::collections::HashSet<usize> =
            followers.iter().map(data_centre).collect();
        assert_eq!((followers.len(), distinct.len()), (FOLLOWERS, FOLLOWERS));
        for index in 0..149 {
            let EntryRef { data_centre, name } = entry(index);
            let sources = topology.sources(data_centre, name);
            assert!(sources.len() >= 2 && !sources.contains(&name));
        }
    }

    #[test]
    fn watchers_change_little() {
        let names: Vec<String> = (0..20).map(|number| format!("e{number}")).collect();
        let entry = |name| EntryRef { data_centre: "a", name };
        let all = Topology::new(names.iter().map(|name| entry(name)));
        for gone in &names {
            let rest = Topology::new(names.iter().filter(|n| *n != gone).map(|name| entry(name)));
            let kept = names.iter().filter(|n| *n != gone && all.is_watcher("a", n));
            assert!(kept.clone().all(|n| rest.is_watcher("a", n)), "{gone}");
        }
    }
}

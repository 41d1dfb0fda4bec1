//! What an entry's sources tell of the store: whether they are up to date, and by which follower.

use crate::feed::isolation::Sources;
use std::time::Duration;

/// Age of a source's copy from which the source no longer counts as up to date. A follower's watch
/// is answered more often than this.
pub const MAX_SOURCE_AGE: Duration = Duration::from_millis(900);

/// Largest number of entries between this one and the store: a follower, the first entry of a data
/// centre, and one more while others take over. Without a bound, entries that are cut off could
/// take each other for a way to the store.
pub const MAX_DISTANCE: u8 = 3;

/// What one source last told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Time since the source's copy was complete; `None` if it never was.
    pub age: Option<Duration>,
    /// Number of entries between the source and the store; `None` if it knows no way.
    pub distance: Option<u8>,
    /// Position in the succession of the follower that the store told so.
    pub follower: usize,
}

impl Contact {
    /// Whether the source is up to date.
    ///
    /// ```
    /// use flamingowheel_gateway::feed::contact::Contact;
    /// use std::time::Duration;
    /// let contact =
    ///     Contact { age: Some(Duration::from_millis(300)), distance: Some(0), follower: 0 };
    /// assert!(contact.is_current());
    /// assert!(!Contact { distance: None, ..contact }.is_current());
    /// ```
    pub fn is_current(&self) -> bool {
        let is_near = self.distance.is_some_and(|distance| distance < MAX_DISTANCE);
        is_near && self.age.is_some_and(|age| age < MAX_SOURCE_AGE)
    }
}

/// What the contacts of an entry at a position of the succession amount to.
///
/// ```
/// use flamingowheel_gateway::feed::contact::{Contact, summarize};
/// use std::time::Duration;
/// let age = Some(Duration::from_millis(300));
/// let sources = summarize([Contact { age, distance: Some(1), follower: 4 }], 3);
/// assert!(sources.has_current && !sources.has_predecessor);
/// ```
pub fn summarize<I>(contacts: I, position: usize) -> Sources
where
    I: IntoIterator<Item = Contact>,
{
    let mut sources = Sources::default();
    for contact in contacts.into_iter().filter(Contact::is_current) {
        sources.has_current = true;
        sources.has_predecessor |= contact.follower < position;
    }
    sources
}

/// Number of entries between the store and one that does not reach it itself.
///
/// ```
/// use flamingowheel_gateway::feed::contact::{Contact, distance};
/// use std::time::Duration;
/// let age = Some(Duration::from_millis(300));
/// assert_eq!(distance([Contact { age, distance: Some(1), follower: 4 }]), Some(2));
/// assert_eq!(distance([]), None);
/// ```
pub fn distance<I>(contacts: I) -> Option<u8>
where
    I: IntoIterator<Item = Contact>,
{
    let current = contacts.into_iter().filter(Contact::is_current);
    current.filter_map(|contact| contact.distance).min().map(|nearest| nearest + 1)
}

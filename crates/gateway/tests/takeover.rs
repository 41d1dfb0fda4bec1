//! All combinations of what can befall the entries of a small fleet at a change, in steps, with the
//! real decisions on who follows the store.

use flamingowheel_gateway::feed::contact::{self, Contact};
use flamingowheel_gateway::feed::isolation::{Isolation, Sources};
use flamingowheel_gateway::feed::reader::TAKEOVER_INTERVAL;
use flamingowheel_policy::topology::{FOLLOWERS, takeover_round};
use std::time::Duration;
use tokio::time::Instant;

/// Entries of the fleet: three followers and two that read from them.
const ENTRIES: usize = 5;

/// Length of a step: a message, a call to the store or a check takes one.
const STEP: Duration = Duration::from_millis(50);

/// Steps within which the change is in force at every entry in touch.
const IN_FORCE_STEPS: u32 = 40;

/// Steps between two answers of the store to a follower.
const ANSWER_STEPS: u32 = 10;

/// Steps after the last answer by which a follower notices that the store is silent.
const SILENT_STEPS: u32 = 17;

/// How an entry reaches the store from the change on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    Normal,
    /// The store refuses its calls.
    Refused,
    /// The store doesn't answer.
    Silent,
}

const REACHES: [Reach; 3] = [Reach::Normal, Reach::Refused, Reach::Silent];

/// One combination.
#[derive(Clone, Copy, Debug)]
struct Case {
    reach: [Reach; ENTRIES],
    /// Entries from which nothing arrives at others any more.
    mute: [bool; ENTRIES],
    /// Steps since the last answer of the store when the change is made.
    phase: u32,
}

/// A decision that is wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Real,
    /// Nobody takes over from the followers.
    NeverTakesOver,
    /// A follower that lost the store doesn't say so, and its copy counts for four times as long.
    OldRules,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    has_change: bool,
    complete_at: Instant,
    /// Position of the follower that told of it.
    follower: usize,
    distance: Option<u8>,
    isolation: Isolation,
    /// Steps for which it has followed the store.
    following: u32,
}

struct Fleet {
    case: Case,
    variant: Variant,
    entries: [Entry; ENTRIES],
    now: Instant,
    step: u32,
}

impl Fleet {
    fn new(case: Case, variant: Variant, now: Instant) -> Self {
        let entry = |position: usize| Entry {
            has_change: false,
            complete_at: now - STEP * case.phase,
            follower: position.min(FOLLOWERS - 1),
            distance: Some(u8::from(position >= FOLLOWERS)),
            isolation: Isolation::Connected,
            following: 0,
        };
        Self { case, variant, entries: std::array::from_fn(entry), now, step: 0 }
    }

    /// Advances by one step, in which each entry sees the others as they were before it.
    fn advance(&mut self) {
        self.step += 1;
        self.now += STEP;
        let before = self.entries;
        for position in 0..ENTRIES {
            self.advance_entry(position, &before);
        }
    }

    fn advance_entry(&mut self, position: usize, before: &[Entry; ENTRIES]) {
        let contacts: Vec<Contact> = self.sources(position, before).collect();
        let now = self.now;
        let mut entry = before[position];
        self.read_sources(position, before, &mut entry);
        let follows = position < FOLLOWERS || entry.isolation.follows();
        entry.following = if follows { entry.following + 1 } else { 0 };
        let reaches = follows && self.call_store(position, &mut entry);
        let sources = contact::summarize(contacts.iter().copied(), position);
        let turn = TAKEOVER_INTERVAL * takeover_round(position);
        entry.isolation = match self.variant {
            Variant::NeverTakesOver => Isolation::Connected,
            _ => entry.isolation.next(now, sources, turn),
        };
        entry.distance = if reaches { Some(0) } else { contact::distance(contacts) };
        self.entries[position] = entry;
    }

    /// Calls the store if it is time to; whether the entry takes it for reachable.
    fn call_store(&self, position: usize, entry: &mut Entry) -> bool {
        let is_first = entry.following == 1;
        let is_due = (self.step + self.case.phase).is_multiple_of(ANSWER_STEPS) || is_first;
        match self.case.reach[position] {
            Reach::Normal => {
                // A waiting poll is answered at once.
                if is_due || !entry.has_change {
                    entry.has_change = true;
                    entry.complete_at = self.now;
                    entry.follower = position;
                }
                true
            }
            Reach::Refused => self.variant == Variant::OldRules,
            Reach::Silent => {
                let noticed = entry.following + self.case.phase >= SILENT_STEPS;
                !noticed || self.variant == Variant::OldRules
            }
        }
    }

    /// Takes the change and the news of it from sources.
    fn read_sources(&self, position: usize, before: &[Entry; ENTRIES], entry: &mut Entry) {
        let heard = (0..ENTRIES).filter(|other| *other != position && self.is_heard(*other));
        for other in heard {
            let source = &before[other];
            // A fetch takes a request and an answer more than the head.
            entry.has_change |= source.has_change && self.step > 2;
            if entry.has_change >= source.has_change && source.complete_at > entry.complete_at {
                entry.complete_at = source.complete_at;
                entry.follower = source.follower;
            }
        }
    }

    fn sources(&self, position: usize, before: &[Entry; ENTRIES]) -> impl Iterator<Item = Contact> {
        let others = (0..ENTRIES).filter(move |other| *other != position);
        let heard = others.filter(|other| self.is_heard(*other));
        heard.map(|other| self.contact(&before[other])).collect::<Vec<_>>().into_iter()
    }

    fn contact(&self, source: &Entry) -> Contact {
        let age = self.now - source.complete_at;
        let age = match self.variant {
            Variant::OldRules => age / 4,
            _ => age,
        };
        Contact { age: Some(age), distance: source.distance, follower: source.follower }
    }

    fn is_heard(&self, other: usize) -> bool {
        !self.case.mute[other]
    }

    /// The entry in touch that lacks the change when it has to be in force, if any.
    fn late_entry(mut self) -> Option<usize> {
        for _ in 0..IN_FORCE_STEPS {
            self.advance();
        }
        (0..ENTRIES).find(|position| {
            self.case.reach[*position] == Reach::Normal && !self.entries[*position].has_change
        })
    }
}

fn cases() -> impl Iterator<Item = Case> {
    let reaches = (0..3_usize.pow(ENTRIES as u32))
        .map(|number| std::array::from_fn(|entry| REACHES[number / 3_usize.pow(entry as u32) % 3]));
    reaches.flat_map(|reach| {
        let mutes =
            (0..1_usize << ENTRIES).map(|bits| std::array::from_fn(|entry| bits >> entry & 1 == 1));
        mutes
            .flat_map(move |mute| [0, 4, ANSWER_STEPS - 1].map(|phase| Case { reach, mute, phase }))
    })
}

/// The first case in which an entry in touch is late.
fn first_late(variant: Variant) -> Option<(Case, usize)> {
    let now = Instant::now() + Duration::from_secs(60);
    cases().find_map(|case| Fleet::new(case, variant, now).late_entry().map(|entry| (case, entry)))
}

/// Guards against a combination of lost entries, links and store that leaves an entry in touch
/// without a change.
#[test]
fn takeover_every_case_in_time() {
    assert_eq!(cases().count(), 243 * 32 * 3);
    let late = first_late(Variant::Real);
    assert!(late.is_none(), "{late:?}");
}

/// Guards against an exploration that can't find a fault.
#[test]
fn takeover_broken_variants_found() {
    for variant in [Variant::NeverTakesOver, Variant::OldRules] {
        assert!(first_late(variant).is_some(), "{variant:?} is not found");
    }
}

/// Guards against entries that take over one after the other and never stop.
#[test]
fn takeover_ends_when_followers_are_back() {
    let case = Case { reach: [Reach::Normal; ENTRIES], mute: [false; ENTRIES], phase: 0 };
    let mut fleet = Fleet::new(case, Variant::Real, Instant::now() + Duration::from_secs(60));
    for entry in &mut fleet.entries[FOLLOWERS..] {
        let lost = Sources::default();
        entry.isolation = Isolation::Connected.next(fleet.now, lost, Duration::ZERO);
        assert!(entry.isolation.follows());
    }
    for _ in 0..IN_FORCE_STEPS * 2 {
        fleet.advance();
    }
    assert!(fleet.entries[FOLLOWERS..].iter().all(|entry| !entry.isolation.follows()));
}

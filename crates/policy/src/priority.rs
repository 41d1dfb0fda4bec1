//! Ranks of urgency, and the level by which a deployment's ranks are passed on.

/// How urgent a request is: the lower, the more urgent. The workspace's priority is compared first,
/// then the route's: workspaces often all have the same one.
///
/// ```
/// use flamingowheel_policy::priority::Rank;
/// assert!(Rank::new(Some(1), 5) < Rank::new(Some(2), 0));
/// assert!(Rank::new(Some(1), 0) < Rank::new(Some(1), 2));
/// assert_eq!(Rank::new(None, 3), Rank::new(Some(3), 3));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    workspace: u32,
    route: u32,
}

impl Rank {
    /// The rank of a request without a workspace.
    pub const fn of_route(route: u32) -> Self {
        Self { workspace: route, route }
    }

    /// The rank of a request; the route's priority stands in for a workspace that has none.
    pub fn new(workspace: Option<u32>, route: u32) -> Self {
        Self { workspace: workspace.unwrap_or(route), route }
    }
}

/// Largest level, the least urgent.
const MAX_LEVEL: usize = 9;

/// The distinct ranks of a service's requests, most urgent first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Levels(Vec<Rank>);

impl Levels {
    /// The ranks that requests can have on routes and from workspaces with these priorities.
    pub fn new(routes: &[u32], workspaces: &[Option<u32>]) -> Self {
        let of_route = |route: u32| workspaces.iter().map(move |own| Rank::new(*own, route));
        let mut ranks: Vec<Rank> = routes.iter().copied().flat_map(of_route).collect();
        ranks.sort_unstable();
        ranks.dedup();
        Self(ranks)
    }

    /// Adds the ranks that requests can have on further routes.
    pub fn with(mut self, routes: &[u32], workspaces: &[Option<u32>]) -> Self {
        self.0.extend(Self::new(routes, workspaces).0);
        self.0.sort_unstable();
        self.0.dedup();
        self
    }

    /// The level of a rank, 0 for the most urgent to 9; `None` if all requests have the same rank.
    ///
    /// ```
    /// use flamingowheel_policy::priority::{Levels, Rank};
    /// let levels = Levels::new(&[0, 2, 1], &[Some(7)]);
    /// assert_eq!(levels.level(Rank::new(Some(7), 1)), Some(1));
    /// assert_eq!(Levels::new(&[3], &[None]).level(Rank::new(None, 3)), None);
    /// ```
    pub fn level(&self, rank: Rank) -> Option<u8> {
        let last = self.0.len().checked_sub(1).filter(|last| *last > 0)?;
        // A rank of another configuration takes the level of the next less urgent one.
        let at = self.0.partition_point(|known| *known < rank).min(last);
        let level = if last > MAX_LEVEL { at * MAX_LEVEL / last } else { at };
        u8::try_from(level).ok()
    }
}

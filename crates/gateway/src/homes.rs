//! Regions in which requests may be processed, and the entries that callers are sent to.

use crate::view::EntryRecord;
use flamingowheel_fleet::Configuration;
use flamingowheel_fleet::configuration::{Route, Workspace};
use std::collections::HashMap;

/// Region of each data centre.
pub type Regions = HashMap<String, String>;

/// The regions in which a request may be processed: those that both its route and its workspace
/// allow.
#[derive(Clone, Copy, Debug, Default)]
pub struct Homes<'a> {
    route: &'a [String],
    workspace: &'a [String],
}

impl<'a> Homes<'a> {
    /// The homes of a request.
    ///
    /// ```
    /// use flamingowheel_fleet::Route;
    /// use flamingowheel_gateway::homes::Homes;
    /// let route = Route { home_regions: vec!["west".to_owned()], ..Route::default() };
    /// assert!(Homes::new(&route, None).admit(Some("west")));
    /// assert!(!Homes::new(&route, None).admit(Some("east")));
    /// ```
    pub fn new(route: &'a Route, workspace: Option<&'a Workspace>) -> Self {
        let workspace = workspace.map_or(&[][..], |workspace| &workspace.home_regions);
        Self { route: &route.home_regions, workspace }
    }

    /// Whether a request may be processed in a region; `None` is an unknown one.
    pub fn admit(&self, region: Option<&str>) -> bool {
        is_admitted(self.route, region) && is_admitted(self.workspace, region)
    }
}

fn is_admitted(homes: &[String], region: Option<&str>) -> bool {
    homes.is_empty() || region.is_some_and(|region| homes.iter().any(|home| home == region))
}

/// The entries that the directory may name to a caller in `own_region`: those at home for all
/// routes of the host, and those of the caller's own region. If there are none, those at home for
/// any of the routes.
///
/// ```
/// use flamingowheel_fleet::Configuration;
/// use flamingowheel_gateway::homes::entries_of_host;
/// use std::collections::HashMap;
/// let (configuration, regions) = (Configuration::default(), HashMap::new());
/// assert!(entries_of_host(Some(&configuration), "h", None, &regions, std::iter::empty()).is_empty());
/// ```
pub fn entries_of_host<'a, I>(
    configuration: Option<&Configuration>,
    host: &str,
    own_region: Option<&str>,
    regions: &Regions,
    entries: I,
) -> Vec<(&'a str, &'a EntryRecord)>
where
    I: Iterator<Item = (&'a str, &'a EntryRecord)>,
{
    let entries: Vec<(&str, &EntryRecord)> = entries.collect();
    let routes = configuration.and_then(|configuration| configuration.routes.get(host));
    let routes = routes.into_iter().flat_map(HashMap::values);
    let homes: Vec<Homes<'_>> = routes
        .filter(|route| !route.home_regions.is_empty())
        .map(|route| Homes::new(route, None))
        .collect();
    if homes.is_empty() {
        return entries;
    }
    let region = |entry: &EntryRecord| regions.get(&entry.data_centre).map(String::as_str);
    let is_near = |entry: &EntryRecord| own_region.is_some() && region(entry) == own_region;
    let is_home = |entry: &EntryRecord| homes.iter().all(|homes| homes.admit(region(entry)));
    let is_named = |(_, entry): &(&str, &EntryRecord)| is_near(entry) || is_home(entry);
    let named: Vec<(&str, &EntryRecord)> = entries.iter().copied().filter(is_named).collect();
    if !named.is_empty() {
        return named;
    }
    let is_home_of_any = |entry: &EntryRecord| homes.iter().any(|homes| homes.admit(region(entry)));
    entries.into_iter().filter(|(_, entry)| is_home_of_any(entry)).collect()
}

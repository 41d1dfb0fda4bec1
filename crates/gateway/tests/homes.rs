//! Regions in which requests are processed, and the entries that the directory names.

use flamingowheel_fleet::configuration::{Route, Workspace};
use flamingowheel_fleet::{BackendServer, Configuration};
use flamingowheel_gateway::balance::{Choice, choose_at_home};
use flamingowheel_gateway::homes::{Homes, Regions, entries_of_host};
use flamingowheel_gateway::server::Server;
use flamingowheel_gateway::view::{EntryRecord, View};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::time::Instant;

/// Data centre and region of the servers and entries.
const PLACES: [(&str, &str); 4] =
    [("w-1", "west"), ("w-2", "west"), ("e-1", "east"), ("n-1", "north")];

fn regions() -> Regions {
    PLACES.iter().map(|(name, region)| ((*name).to_owned(), (*region).to_owned())).collect()
}

fn owned(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn server(index: u8, data_centre: &str) -> Arc<Server> {
    Arc::new(Server::new(BackendServer {
        id: format!("i-{data_centre}"),
        service: "s".to_owned(),
        address: ([10, 0, 0, index], 80).into(),
        data_centre: data_centre.to_owned(),
        slots: 4,
        is_draining: false,
        started_ms: 1,
        cold_left_ms: 0,
    }))
}

fn view() -> View {
    let places = PLACES.iter().zip(1_u8..);
    let servers = places.map(|((data_centre, _), index)| server(index, data_centre)).collect();
    View {
        servers: HashMap::from([("s".to_owned(), servers)]),
        regions: Arc::new(regions()),
        ..View::default()
    }
}

fn route(homes: &[&str]) -> Route {
    Route { home_regions: owned(homes), ..Route::default() }
}

fn workspace(homes: &[&str]) -> Workspace {
    Workspace { name: "w".to_owned(), priority: None, home_regions: owned(homes) }
}

/// Tries one server after the other, as a request with retries does. The data centres it is sent to,
/// sorted, and why it ends.
fn tried(view: &View, homes: Homes<'_>) -> (Vec<String>, Choice) {
    let mut tried: Vec<Arc<Server>> = Vec::new();
    loop {
        let chosen = choose_at_home(view, "s", &tried, None, homes, Instant::now());
        match chosen.choice {
            Choice::Send(server, _) => tried.push(server),
            other => {
                let mut sent: Vec<String> =
                    tried.iter().map(|server| server.listed.data_centre.clone()).collect();
                sent.sort_unstable();
                return (sent, other);
            }
        }
    }
}

/// Guards against retries that leave home, and against one of two lists of homes that is ignored.
#[test]
fn choose_at_home_both_lists_bind() {
    let cases: [(&[&str], &[&str], &[&str]); 6] = [
        (&[], &[], &["e-1", "n-1", "w-1", "w-2"]),
        (&["west"], &[], &["w-1", "w-2"]),
        (&[], &["east", "north"], &["e-1", "n-1"]),
        (&["west", "east"], &["east", "north"], &["e-1"]),
        (&["west"], &["east"], &[]),
        (&["unknown"], &[], &[]),
    ];
    for (of_route, of_workspace, expected) in cases {
        let (route, workspace) = (route(of_route), workspace(of_workspace));
        let (sent, end) = tried(&view(), Homes::new(&route, Some(&workspace)));
        assert_eq!(sent, expected, "{of_route:?} and {of_workspace:?}");
        assert_eq!(matches!(end, Choice::NoHome), expected.is_empty(), "{end:?}");
    }
}

/// Guards against requests that leave home because home is evacuated.
#[test]
fn choose_at_home_evacuated() {
    let (view, route) = (view(), route(&["west"]));
    let homes = Homes::new(&route, None);
    let set_evacuated = |data_centre: &str, is_evacuated| {
        let mut servers = view.servers_of("s").iter();
        let server = servers.find(|server| server.listed.data_centre == data_centre);
        server.unwrap().set_evacuated(is_evacuated);
    };
    set_evacuated("w-1", true);
    assert_eq!(tried(&view, homes).0, ["w-2"]);
    set_evacuated("w-2", true);
    let (sent, end) = tried(&view, homes);
    assert!(sent.is_empty() && matches!(end, Choice::Evacuated), "{sent:?}, {end:?}");
}

/// Guards against a server in a data centre of unknown region that counts as at home.
#[test]
fn choose_at_home_region_unknown() {
    let mut view = view();
    view.regions = Arc::default();
    let route = route(&["west"]);
    assert!(matches!(tried(&view, Homes::new(&route, None)).1, Choice::NoHome));
    assert_eq!(tried(&view, Homes::default()).0.len(), PLACES.len());
}

/// The data centres of the entries that are named to a caller in `own_region`.
fn named(routes: &[(&str, &[&str])], own_region: Option<&str>) -> Vec<String> {
    let mut configuration = Configuration::default();
    let of_host = configuration.routes.entry("h".to_owned()).or_default();
    for (prefix, homes) in routes {
        of_host.insert((*prefix).to_owned(), Arc::new(route(homes)));
    }
    let entries: Vec<EntryRecord> = PLACES
        .iter()
        .zip(1_u8..)
        .map(|((data_centre, _), index)| EntryRecord {
            callers: ([10, 1, 0, index], 80).into(),
            data_centre: (*data_centre).to_owned(),
            peers: None,
            suspects: None,
            capacity: None,
        })
        .collect();
    let entries = entries.iter().map(|entry| ("vm", entry));
    let named = entries_of_host(Some(&configuration), "h", own_region, &regions(), entries);
    named.into_iter().map(|(_, entry)| entry.data_centre.clone()).collect()
}

/// Guards against callers of routes with homes that are sent elsewhere, and against callers without
/// any address.
#[test]
fn entries_of_host_homes_and_own_region() {
    let all = ["w-1", "w-2", "e-1", "n-1"];
    assert_eq!(named(&[("/a/", &[])], Some("east")), all);
    assert_eq!(named(&[("/a/", &["west"])], Some("west")), ["w-1", "w-2"]);
    assert_eq!(named(&[("/a/", &["west"])], Some("east")), ["w-1", "w-2", "e-1"]);
    assert_eq!(named(&[("/a/", &["west"]), ("/b/", &[])], None), ["w-1", "w-2"]);
    let two: [(&str, &[&str]); 2] = [("/a/", &["west", "east"]), ("/b/", &["east", "north"])];
    assert_eq!(named(&two, Some("east")), ["e-1"]);
    assert_eq!(named(&two, Some("north")), ["e-1", "n-1"]);
    let apart: [(&str, &[&str]); 2] = [("/a/", &["west"]), ("/b/", &["north"])];
    assert_eq!(named(&apart, Some("east")), ["e-1"]);
    assert_eq!(named(&apart, None), ["w-1", "w-2", "n-1"]);
    assert!(named(&[("/a/", &["south"])], None).is_empty());
}

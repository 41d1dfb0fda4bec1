//! Which listed backend servers get requests.

use flamingowheel_backing::kv::{KeyValueEntry, Revision, WatchEvent};
use flamingowheel_gateway::budget::RetryBudget;
use flamingowheel_gateway::feed::mirror::Mirror;
use flamingowheel_gateway::metrics::Metrics;
use flamingowheel_gateway::publish::{Outputs, Publisher};
use flamingowheel_gateway::server::Server;
use flamingowheel_gateway::suspects::Suspects;
use flamingowheel_gateway::view::Views;
use flamingowheel_gateway::warmth::{ColdBounds, EntryTenure};
use flamingowheel_platform::{CONFIGURATION_KEY, Stated};
use flamingowheel_policy::quota::Allowance;
use flamingowheel_standin::platform::messages::{record_without_start, routes_configuration};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

const ENGINES: u64 = 32;

/// Longer than the publisher takes to apply a change, shorter than its grace period.
const SETTLE_TIME: Duration = Duration::from_millis(50);

struct Entry {
    mirror: Arc<Mirror>,
    views: Views,
    revision: u64,
}

impl Entry {
    async fn start() -> Self {
        let (mirror, views) = (Arc::new(Mirror::default()), Views::default());
        let (members, _) = watch::channel(Arc::default());
        let (coordinators, _) = watch::channel(Arc::default());
        let (statuses, received) = watch::channel(Arc::default());
        let metrics = Arc::new(Metrics::new().unwrap());
        let suspects = Arc::new(Suspects::new(Arc::clone(&metrics)));
        let window = Duration::from_secs(10);
        let allowance = Allowance { ratio: 0.2, slack: 0.0, window };
        let budget = Arc::new(RetryBudget::new(allowance, "e"));
        let outputs = Outputs {
            members,
            coordinators,
            statuses: received,
            agent_port: 7_000,
            suspects,
            budget,
            metrics,
        };
        let publisher = Publisher::new(Arc::clone(&mirror), Arc::clone(&views), outputs)
            .with_cold(ColdBounds { ratio: 1.5, slack: 5.0 }, Arc::new(EntryTenure::new("e")));
        tokio::spawn(async move {
            // The publisher ends once nobody can send statuses.
            let _statuses = statuses;
            publisher.run().await;
        });
        sleep(SETTLE_TIME).await;
        Self { mirror, views, revision: 0 }
    }

    /// A server writes its listing: at its start, and with a new sequence number at each heartbeat.
    fn list(&mut self, id: &str, service: &str, engine: u64) {
        self.list_cold(id, service, engine, 0);
    }

    /// The same with the time for which it remains cold.
    fn list_cold(&mut self, id: &str, service: &str, engine: u64, cold_left_ms: u64) {
        let seq = self.revision + 1;
        let address = format!("10.0.0.{engine}:80");
        let value = record_without_start(service, &address, seq, cold_left_ms);
        self.put(format!("servers/{id}"), value);
    }

    fn put(&mut self, key: String, value: String) {
        self.revision += 1;
        let revision = Revision(self.revision);
        self.mirror.apply_event(WatchEvent::Put(KeyValueEntry {
            key,
            value: value.into(),
            create_revision: revision,
            mod_revision: revision,
            lease: None,
        }));
        self.mirror.apply_event(WatchEvent::Progress { revision });
    }

    /// A server's listing disappears.
    fn unlist(&mut self, id: &str) {
        self.revision += 1;
        let revision = Revision(self.revision);
        self.mirror.apply_event(WatchEvent::Delete { key: format!("servers/{id}"), revision });
        self.mirror.apply_event(WatchEvent::Progress { revision });
    }

    async fn server(&self, service: &str) -> Arc<Server> {
        sleep(SETTLE_TIME).await;
        Arc::clone(&self.views.load_full().servers_of(service)[0])
    }

    async fn servers_of(&self, service: &str) -> Vec<String> {
        sleep(SETTLE_TIME).await;
        let view = self.views.load_full();
        let servers = view.servers_of(service).iter();
        let mut ids: Vec<String> = servers.map(|server| server.listed.id.clone()).collect();
        ids.sort_unstable();
        ids
    }
}

/// All engines lose power and start again under new ids, while the leases of the old ones run for
/// some seconds more. Requests to the old ids would be refused by the new engines.
#[tokio::test(start_paused = true)]
async fn run_all_engines_restarted() {
    let mut entry = Entry::start().await;
    (0..ENGINES).for_each(|engine| entry.list(&format!("old-{engine}"), "s", engine));
    (0..ENGINES).for_each(|engine| entry.list(&format!("new-{engine}"), "s", engine));
    let servers = entry.servers_of("s").await;
    assert_eq!(servers.len() as u64, ENGINES);
    assert!(servers.iter().all(|id| id.starts_with("new-")), "{servers:?}");
}

/// An engine lives while another record names its address. As long as the engine renews its own
/// record, requests go to it.
#[tokio::test(start_paused = true)]
async fn run_record_renewed() {
    let mut entry = Entry::start().await;
    entry.list("live", "s", 1);
    entry.list("other", "s", 1);
    assert_eq!(entry.servers_of("s").await, ["other"]);
    entry.list("live", "s", 1);
    assert_eq!(entry.servers_of("s").await, ["live"]);
}

/// The address of an engine that has crashed goes to a server of another service.
#[tokio::test(start_paused = true)]
async fn run_address_reused() {
    let mut entry = Entry::start().await;
    entry.list("engine", "s", 1);
    entry.list("application", "t", 1);
    assert!(entry.servers_of("s").await.is_empty());
    assert_eq!(entry.servers_of("t").await, ["application"]);
}

/// The store was away and has no newer record of an engine that runs.
#[tokio::test(start_paused = true)]
async fn run_old_record_kept() {
    let mut entry = Entry::start().await;
    entry.list("old", "s", 1);
    entry.list("new", "s", 2);
    sleep(Duration::from_secs(30)).await;
    assert_eq!(entry.servers_of("s").await, ["new", "old"]);
}

/// The store drops the listing of a limited server for a moment. Its limit must not be forgotten with
/// it: the entry would send there again as if it had never been told.
#[tokio::test(start_paused = true)]
async fn run_listing_absent_limit_kept() {
    let mut entry = Entry::start().await;
    entry.list("a", "s", 1);
    entry.server("s").await.record_limit(&Stated::Value(1.0), Instant::now(), Instant::now());
    entry.unlist("a");
    assert!(entry.servers_of("s").await.is_empty());
    entry.list("a", "s", 1);
    assert!(entry.server("s").await.is_limited());
}

/// Another server starts at the address of a limited one. It has named no limit.
#[tokio::test(start_paused = true)]
async fn run_server_replaced_limit_gone() {
    let mut entry = Entry::start().await;
    entry.list("a", "s", 1);
    entry.server("s").await.record_limit(&Stated::Value(1.0), Instant::now(), Instant::now());
    entry.list("b", "s", 1);
    assert!(!entry.server("s").await.is_limited());
}

/// The store drops the listing of a server for a moment. The rest that it asked for goes on.
#[tokio::test(start_paused = true)]
async fn run_listing_absent_rest_kept() {
    let mut entry = Entry::start().await;
    entry.list("a", "s", 1);
    entry.server("s").await.record_rest(Duration::from_secs(3), 0.0, Instant::now());
    entry.unlist("a");
    assert!(entry.servers_of("s").await.is_empty());
    entry.list("a", "s", 1);
    assert!(!entry.server("s").await.status(Instant::now()).is_admitting);
    sleep(Duration::from_secs(3)).await;
    assert!(entry.server("s").await.status(Instant::now()).is_admitting);
}

/// A server asks for 3 s, and in a later answer for 1 s. The longer rest holds.
#[tokio::test(start_paused = true)]
async fn record_rest_shorter_one_later() {
    let mut entry = Entry::start().await;
    entry.list("a", "s", 1);
    let server = entry.server("s").await;
    server.record_rest(Duration::from_secs(3), 0.0, Instant::now());
    server.record_rest(Duration::from_secs(1), 0.0, Instant::now());
    sleep(Duration::from_secs(2)).await;
    assert!(server.begin(None).is_none());
    sleep(Duration::from_secs(1)).await;
    assert!(server.begin(None).is_some());
}

/// The store drops the listing of a server that has said that it leaves, and a new one starts at its
/// address. Only the old one takes no requests.
#[tokio::test(start_paused = true)]
async fn run_listing_absent_leaving_kept() {
    let mut entry = Entry::start().await;
    entry.list("a", "s", 1);
    assert!(entry.server("s").await.record_leaving());
    entry.unlist("a");
    assert!(entry.servers_of("s").await.is_empty());
    entry.list("a", "s", 1);
    assert!(entry.server("s").await.begin(None).is_none());
    entry.list("b", "s", 1);
    assert!(entry.server("s").await.begin(None).is_some());
}

impl Entry {
    async fn configure(&mut self, value: String) {
        self.revision += 1;
        let revision = Revision(self.revision);
        self.mirror.apply_event(WatchEvent::Put(KeyValueEntry {
            key: CONFIGURATION_KEY.to_owned(),
            value: value.into(),
            create_revision: revision,
            mod_revision: revision,
            lease: None,
        }));
        self.mirror.apply_event(WatchEvent::Progress { revision });
        sleep(SETTLE_TIME).await;
    }

    /// Whether routes `a` and `b` exist, whether keys `k` and `l` are known, and the idle limit.
    fn in_force(&self) -> (bool, bool, bool, bool, u64) {
        let view = self.views.load();
        let configuration = view.configuration.as_ref().unwrap();
        let has_route = |path| configuration.route("h", path).is_some();
        let workspaces = configuration.workspaces.as_ref().unwrap();
        let has_key = |key: &str| workspaces.contains_key(key);
        let idle_ms = configuration.limits.idle_timeout_ms;
        (has_route("/a/x"), has_route("/b/x"), has_key("k"), has_key("l"), idle_ms)
    }
}

/// Guards against a kind of change that does not come into force with its version.
#[tokio::test(start_paused = true)]
async fn publish_each_kind_of_change() {
    let mut entry = Entry::start().await;
    entry.configure(routes_configuration(1, &["a"], &["k", "l"], 9)).await;
    assert_eq!(entry.in_force(), (true, false, true, true, 9));
    entry.configure(routes_configuration(3, &["a", "b"], &["k", "l"], 9)).await;
    assert_eq!(entry.in_force(), (true, true, true, true, 9), "a route is added");
    entry.configure(routes_configuration(4, &["b"], &["k", "l"], 9)).await;
    assert_eq!(entry.in_force(), (false, true, true, true, 9), "a route is dropped");
    entry.configure(routes_configuration(6, &["b"], &["l"], 9)).await;
    assert_eq!(entry.in_force(), (false, true, false, true, 9), "a key is revoked");
    entry.configure(routes_configuration(7, &["b"], &[], 9)).await;
    assert_eq!(entry.in_force(), (false, true, false, false, 9), "all keys are revoked");
    entry.configure(routes_configuration(9, &["b"], &[], 5)).await;
    assert_eq!(entry.in_force(), (false, true, false, false, 5), "the idle limit falls");
}

/// Guards against a configuration that can't be read, or an older one, that is taken or blocks those
/// after it.
#[tokio::test(start_paused = true)]
async fn publish_unreadable_amid_others() {
    let mut entry = Entry::start().await;
    entry.configure(routes_configuration(5, &["a"], &["k"], 9)).await;
    entry.configure("{\"version\":6,\"routes\":[{}]}".to_owned()).await;
    entry.configure(routes_configuration(4, &["b"], &["l"], 9)).await;
    assert_eq!(entry.in_force(), (true, false, true, false, 9));
    entry.configure(routes_configuration(7, &["b"], &["l"], 9)).await;
    assert_eq!(entry.in_force(), (false, true, false, true, 9));
}

/// A server that was listed as warm comes back cold under the same start, and the heartbeat after that
/// has a shorter time. It gets nothing without a permit, but only if its service has a warm-up time.
#[tokio::test(start_paused = true)]
async fn run_listed_cold_needs_permit() {
    let mut entry = Entry::start().await;
    let services = r#"[{"name":"s","coldS":3.0,"coldPerS":26.0},{"name":"t"}]"#;
    let configuration = format!(r#"{{"version":1,"routes":[],"services":{services}}}"#);
    entry.put(CONFIGURATION_KEY.to_owned(), configuration);
    for (id, service, engine) in [("a", "s", 1), ("b", "t", 2)] {
        entry.list(id, service, engine);
        assert!(entry.server(service).await.begin(None).is_some());
        entry.list_cold(id, service, engine, 3_000);
        sleep(SETTLE_TIME).await;
        entry.list_cold(id, service, engine, 100);
    }
    let (cold, other) = (entry.server("s").await, entry.server("t").await);
    assert!(cold.cold_left(Instant::now()) > Duration::from_secs(2));
    assert!(cold.begin(None).is_none());
    assert!(other.begin(None).is_some());
}

//! One odd entry in each list that an entry follows in the key-value store.

use flamingowheel_backing::kv::{KeyValueEntry, Revision, WatchEvent};
use flamingowheel_gateway::balance;
use flamingowheel_gateway::budget::RetryBudget;
use flamingowheel_gateway::directory::{self, Asker};
use flamingowheel_gateway::feed::mirror::Mirror;
use flamingowheel_gateway::metrics::Metrics;
use flamingowheel_gateway::publish::{Outputs, Publisher};
use flamingowheel_gateway::suspects::Suspects;
use flamingowheel_gateway::view::Views;
use flamingowheel_gateway::warmth::{ColdBounds, EntryTenure};
use flamingowheel_platform::CONFIGURATION_KEY;
use flamingowheel_policy::quota::Allowance;
use flamingowheel_standin::platform::messages::record_without_start;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Longer than the publisher takes to apply a change.
const SETTLE_TIME: Duration = Duration::from_millis(5);

/// Depth of nesting at which a recursive reader's stack would end.
const DEPTH: usize = 100_000;

/// Stands in a document for an odd value.
const MARK: &str = "@odd@";

/// JSON that another writer may put in the place of a value.
fn odd_values() -> Vec<String> {
    let nested = ["[".repeat(DEPTH), "]".repeat(DEPTH)].concat();
    let objects = [r#"{"a":"#.repeat(DEPTH), "1".to_owned(), "}".repeat(DEPTH)].concat();
    let plain = [
        "1e400",
        "-1e400",
        "1e308",
        "-1",
        "1.5",
        "4294967295",
        "4294967296",
        "9007199254740993",
        "18446744073709551615",
        "18446744073709551616",
        "0",
        "null",
        "true",
        "\"\"",
        "{}",
        "[]",
        "\"10.0.0.1:70000\"",
        "\"10.0.0.1:-1\"",
        "\"10.0.0.1:0\"",
        "\"255.255.255.255:65535\"",
        "\"[::]:1\"",
        "\"\\u0000\"",
    ];
    plain.iter().map(|text| (*text).to_owned()).chain([nested, objects]).collect()
}

/// The document with a mark in the place of each of its values in turn, and in the place of itself.
fn marked(document: &Value) -> Vec<Value> {
    let mut all = vec![json!(MARK)];
    match document {
        Value::Object(fields) => {
            for (name, value) in fields {
                for value in marked(value) {
                    let mut fields = fields.clone();
                    fields.insert(name.clone(), value);
                    all.push(Value::Object(fields));
                }
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                for item in marked(item) {
                    let mut items = items.clone();
                    items[index] = item;
                    all.push(Value::Array(items));
                }
            }
        }
        _ => {}
    }
    all
}

fn odd_documents(document: &Value) -> Vec<String> {
    let mark = json!(MARK).to_string();
    let texts: Vec<String> = marked(document).iter().map(Value::to_string).collect();
    let of_text = |text: &String| {
        let texts = odd_values().into_iter().map(|odd| text.replace(&mark, &odd));
        texts.collect::<Vec<_>>()
    };
    let cut = document.to_string();
    texts.iter().flat_map(of_text).chain([cut[..cut.len() / 2].to_owned()]).collect()
}

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
        let allowance = Allowance { ratio: 0.2, slack: 0.0, window: Duration::from_secs(10) };
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
        let mut entry = Self { mirror, views, revision: 0 };
        entry.put(CONFIGURATION_KEY, configuration(1).to_string().into_bytes());
        entry.put("flamingowheel/entries/sound", entry_record().to_string().into_bytes());
        entry
    }

    fn put(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        let revision = Revision(self.revision);
        self.mirror.apply_event(WatchEvent::Put(KeyValueEntry {
            key: key.to_owned(),
            value: value.into(),
            create_revision: revision,
            mod_revision: revision,
            lease: None,
        }));
        self.mirror.apply_event(WatchEvent::Progress { revision });
    }

    /// Whether a sound server that is listed now is followed, and requests and callers are still
    /// directed.
    async fn follows(&mut self) -> bool {
        let id = format!("sound-{}", self.revision);
        let address = "10.0.0.9:80";
        let record = record_without_start("s", address, self.revision, 0);
        self.put(&format!("servers/{id}"), record.into_bytes());
        sleep(SETTLE_TIME).await;
        let view = self.views.load_full();
        let servers = view.servers_of("s");
        let is_listed = servers.iter().any(|server| server.listed.id == id);
        drop(balance::choose(&view, "s", &[], None, Instant::now()));
        let asker = Asker { address: None, data_centre: Some("z") };
        let eligible = view.entries.iter().map(|(vm, record)| (vm.as_str(), record));
        let callers = directory::choose(eligible, asker, 64);
        drop(directory::listed(&view));
        is_listed && callers.contains(&"10.0.1.1:80".parse().unwrap())
    }
}

fn entry_record() -> Value {
    json!({
        "callers": "10.0.1.1:80", "data_centre": "z", "peers": "10.0.1.1:81",
        "suspects": "10.0.1.1:82",
        "capacity": {"requests_per_s": 100, "speed_percent": 100, "room_percent": 100},
    })
}

fn configuration(version: u64) -> Value {
    let engine = json!({
        "slots": 12, "kvCapacity": 280_000, "linkMbps": 44_000.0, "stride": 4, "step_ms": 4.55,
        "per_seq_ms": 0.9, "context_per_k": 0.02, "read_per_s": 61_400.0, "pairs_per_m": 0.5,
        "chunk": 512, "usual": {"prompt": 400, "answer": 16}, "sets": 2, "experts": 8,
        "placements": 4, "spare": 2, "expertMb": 440.0, "expertShare": 0.85,
    });
    let service = json!({
        "name": "s", "maxConns": 400, "engine": engine, "coldS": 5.0, "coldPerS": 2.0,
    });
    let route = json!({
        "name": "r", "host": "h", "prefix": "/r/", "routeKind": "streaming", "timeoutMs": 8_000,
        "goalMs": 500, "gapGoalMs": 120, "priority": 1, "split": [{"service": "s", "weight": 1}],
        "maxAttempts": 2, "public": false, "resumable": true, "homeRegions": [],
    });
    let limits = json!({
        "maxHeaderBytes": 1, "maxBodyBytes": 1, "headerTimeoutMs": 1, "idleTimeoutMs": 1,
    });
    json!({
        "version": version, "routes": [route], "services": [service], "limits": limits,
        "tenants": [{"name": "t", "apiKeys": ["k"], "priority": 1, "homeRegions": []}],
    })
}

/// The lists, each with the key and a sound document of an entry.
fn lists() -> Vec<(&'static str, Value)> {
    let server = json!({
        "service": "s", "addr": "10.0.0.7:80", "zone": "z", "version": "1", "slots": 4,
        "state": "ready", "seq": 1, "born": 7, "coldLeftMs": 0,
    });
    let rank = json!({"engine": "10.0.0.9:80", "pace": 1.0, "is_away": false});
    let group = json!({"epoch": 1, "ranks": [rank, rank]});
    let crash = json!({"crash": 1, "cleared": false, "remaining_s": 60});
    let suspect = json!({"fingerprint": "00000000000000000000000000000007", "crashes": [crash]});
    vec![
        ("servers/odd", server),
        ("flamingowheel/entries/odd", entry_record()),
        ("flamingowheel/groups/odd", group),
        ("flamingowheel/suspects/odd", suspect),
        ("op/evacuate/odd", json!({"by": "o"})),
    ]
}

/// Another writer leaves an entry that is nested very deeply, has a number that is too large, or a
/// port that is none. The process must not end, and follow all other entries as before.
#[tokio::test(start_paused = true)]
async fn run_odd_entry_others_followed() {
    for (key, document) in lists() {
        let mut entry = Entry::start().await;
        assert!(entry.follows().await);
        for odd in odd_documents(&document) {
            let shown = odd[..odd.len().min(200)].to_owned();
            entry.put(key, odd.into_bytes());
            assert!(entry.follows().await, "{key}: {shown}");
        }
        entry.put(key, vec![0xff; 64]);
        assert!(entry.follows().await, "{key}: bytes that are no text");
    }
}

/// The same in the configuration.
#[tokio::test(start_paused = true)]
async fn run_odd_configuration_others_followed() {
    for odd in odd_documents(&configuration(2)) {
        let shown = odd[..odd.len().min(200)].to_owned();
        let mut entry = Entry::start().await;
        entry.put(CONFIGURATION_KEY, odd.into_bytes());
        assert!(entry.follows().await, "{shown}");
    }
}

//! Which backend servers get requests while operators evacuate data centres.

mod fleet;

use flamingowheel_fleet::settings::Bounds;
use flamingowheel_gateway::balance::{self, Choice};
use flamingowheel_gateway::server::Server;
use fleet::Fleet;
use fleet::store::Reach;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
const SERVERS_PER_DATA_CENTRE: usize = 3;

/// Time between two requests at an entry.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time between the choice of a server and the send, as for a request that waits for the
/// trial of another one with the same prompt.
const MAX_SEND_DELAY_MS: u64 = 1_600;

const FLEET_SIZES: [usize; 3] = [6, 42, 380];

/// A fault of the store that outlasts an evacuation.
const LONG_FAULT: Duration = Duration::from_secs(6);

/// Time within which entries that hear of the store obey; shorter than the deployments' limit.
const PROMPT_LIMIT: Duration = Duration::from_millis(2_000);

/// Time of the store for an answer when it is slow.
const SLOW_STORE: Reach = Reach::Slow(Duration::from_millis(240));

fn evacuate_limit() -> Duration {
    Duration::from_millis(Bounds::default().evacuate_ms)
}

/// How entries obey an evacuation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Obedience {
    Full,
    FirstSendsOnly,
    UntilStart,
}

#[derive(Clone, Debug)]
struct Arrival {
    vm: String,
    data_centre: String,
    at: Instant,
}

/// An evacuation: acknowledged and taken back.
#[derive(Clone, Debug)]
struct Order {
    data_centre: &'static str,
    from: Instant,
    until: Option<Instant>,
}

struct Pending {
    vm: String,
    server: Arc<Server>,
    due: Instant,
}

/// A fleet whose entries send requests all the time; arrivals are counted at the servers.
struct Play {
    fleet: Fleet,
    obedience: Obedience,
    restarted: HashSet<String>,
    pending: Vec<Pending>,
    arrivals: Vec<Arrival>,
    orders: Vec<Order>,
    requests: u64,
}

impl Play {
    async fn start(entries: usize, obedience: Obedience) -> Self {
        let fleet = Fleet::start(entries, 3).await;
        for number in 0..DATA_CENTRES.len() * SERVERS_PER_DATA_CENTRE {
            let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
            let value = format!(
                r#"{{"service":"s","addr":"10.1.0.{number}:80","zone":"{data_centre}","slots":9,
                "state":"ready","seq":1}}"#
            );
            fleet.write(&format!("servers/i-{number}"), value).await;
        }
        sleep(Duration::from_secs(1)).await;
        Self {
            fleet,
            obedience,
            restarted: HashSet::new(),
            pending: Vec::new(),
            arrivals: Vec::new(),
            orders: Vec::new(),
            requests: 0,
        }
    }

    async fn evacuate(&mut self, data_centre: &'static str) {
        self.fleet.write(&format!("op/evacuate/{data_centre}"), "{}".to_owned()).await;
        self.orders.push(Order { data_centre, from: Instant::now(), until: None });
    }

    async fn take_back(&mut self, data_centre: &'static str) {
        let begun_at = Instant::now();
        self.fleet.delete(&format!("op/evacuate/{data_centre}")).await;
        let mut orders = self.orders.iter_mut().rev();
        let order = orders.find(|order| order.data_centre == data_centre).unwrap();
        order.until = Some(begun_at);
    }

    fn restart(&mut self, vm: &str) {
        self.fleet.kill(vm);
        self.pending.retain(|pending| pending.vm != vm);
        self.fleet.restart(vm);
        self.restarted.insert(vm.to_owned());
    }

    /// Each entry sends requests for a while: first sends, retries, and some that are sent long after
    /// their server was chosen.
    async fn run(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            for vm in self.fleet.vms() {
                self.request(&vm);
            }
            self.send_pending();
            sleep(REQUEST_INTERVAL).await;
        }
    }

    fn request(&mut self, vm: &str) {
        self.requests += 1;
        let view = self.fleet.view(vm);
        let disobeys = self.obedience == Obedience::UntilStart && self.restarted.contains(vm);
        if view.configuration.is_none() {
            return;
        }
        let chosen = balance::choose(&view, "s", &[], None, Instant::now()).choice;
        let Choice::Send(first, _) = chosen else {
            if disobeys {
                self.send_anyway(vm, &view.servers_of("s")[0]);
            }
            return;
        };
        if disobeys {
            view.servers_of("s").iter().for_each(|server| self.send_anyway(vm, server));
        }
        if self.requests.is_multiple_of(4) {
            let due = Instant::now() + Duration::from_millis(self.requests % MAX_SEND_DELAY_MS);
            self.pending.push(Pending { vm: vm.to_owned(), server: first, due });
            return;
        }
        self.send(vm, &first);
        if self.obedience == Obedience::FirstSendsOnly {
            view.servers_of("s").iter().for_each(|server| self.send_anyway(vm, server));
        }
        let retry = balance::choose(&view, "s", &[first], None, Instant::now()).choice;
        if let Choice::Send(second, _) = retry {
            self.send(vm, &second);
        }
    }

    fn send_pending(&mut self) {
        let is_due = |pending: &mut Pending| pending.due <= Instant::now();
        let due: Vec<Pending> = self.pending.extract_if(.., is_due).collect();
        due.iter().for_each(|Pending { vm, server, .. }| self.send(vm, server));
    }

    fn send(&mut self, vm: &str, server: &Arc<Server>) {
        if server.begin(None).is_some() {
            self.send_anyway(vm, server);
        }
    }

    fn send_anyway(&mut self, vm: &str, server: &Server) {
        let (vm, data_centre) = (vm.to_owned(), server.listed.data_centre.clone());
        self.arrivals.push(Arrival { vm, data_centre, at: Instant::now() });
    }

    /// Arrivals at servers of a data centre later than `limit` after its evacuation.
    fn late_arrivals(&self, limit: Duration) -> Vec<&Arrival> {
        let is_late = |arrival: &&Arrival| {
            self.orders.iter().any(|order| {
                order.data_centre == arrival.data_centre
                    && arrival.at > order.from + limit
                    && order.until.is_none_or(|until| arrival.at < until)
            })
        };
        self.arrivals.iter().filter(is_late).collect()
    }

    /// Entries that have sent nothing to a data centre since `from`.
    fn avoiding(&self, data_centre: &str, from: Instant) -> Vec<String> {
        let senders: HashSet<&str> = self
            .arrivals
            .iter()
            .filter(|arrival| arrival.data_centre == data_centre && arrival.at >= from)
            .map(|arrival| arrival.vm.as_str())
            .collect();
        self.fleet.vms().into_iter().filter(|vm| !senders.contains(vm.as_str())).collect()
    }

    fn assert_obeyed(&self, limit: Duration, case: &str) {
        let late = self.late_arrivals(limit);
        assert!(late.is_empty(), "{case}: {} late arrivals, first {:?}", late.len(), late[0]);
        assert!(self.arrivals.len() > 100, "{case}: nothing was sent");
    }

    /// A third of the entries, those that follow the store among them.
    fn third(&self) -> Vec<String> {
        let mut vms = self.fleet.succession();
        vms.truncate(vms.len().div_ceil(3));
        vms
    }
}

/// Guards against sends of any kind to a data centre that is evacuated, and against one that gets
/// nothing after it was taken back.
#[tokio::test(start_paused = true)]
async fn evacuate_without_fault() {
    for entries in FLEET_SIZES {
        let mut play = Play::start(entries, Obedience::Full).await;
        play.evacuate("a").await;
        play.run(Duration::from_secs(1)).await;
        let late = play.late_arrivals(Duration::from_millis(300));
        assert!(late.is_empty(), "{entries}: {late:?}");
        play.take_back("a").await;
        play.run(Duration::from_millis(300)).await;
        let from = Instant::now();
        play.run(Duration::from_secs(3)).await;
        assert!(play.avoiding("a", from).is_empty(), "{entries}: not taken back");
    }
}

/// Guards against entries that hear of an evacuation only from a store that turns them away.
#[tokio::test(start_paused = true)]
async fn evacuate_store_answers_two_thirds() {
    for entries in FLEET_SIZES {
        let mut play = Play::start(entries, Obedience::Full).await;
        play.third().iter().for_each(|vm| play.fleet.set_reach(vm, Reach::Refused));
        play.evacuate("b").await;
        play.run(PROMPT_LIMIT + Duration::from_secs(1)).await;
        play.assert_obeyed(PROMPT_LIMIT, "a third refused");
        play.take_back("b").await;
        play.run(PROMPT_LIMIT).await;
        let from = Instant::now();
        play.run(Duration::from_secs(3)).await;
        assert!(play.avoiding("b", from).is_empty(), "{entries}: not taken back");
    }
}

/// Guards against entries that forget an evacuation because the store is down or slow, or has lost its
/// history.
#[tokio::test(start_paused = true)]
async fn evacuate_store_in_trouble() {
    for reach in [Reach::Refused, Reach::Silent, SLOW_STORE] {
        let mut play = Play::start(42, Obedience::Full).await;
        play.evacuate("c").await;
        play.run(Duration::from_secs(1)).await;
        let vms = play.fleet.vms();
        vms.iter().for_each(|vm| play.fleet.set_reach(vm, reach));
        play.run(LONG_FAULT).await;
        vms.iter().for_each(|vm| play.fleet.set_reach(vm, Reach::Normal));
        play.run(Duration::from_secs(3)).await;
        play.fleet.store.compact(play.fleet.store.peek("").revision);
        play.run(Duration::from_secs(2)).await;
        play.assert_obeyed(PROMPT_LIMIT, &format!("{reach:?}"));
    }
}

/// Guards against an evacuation that a slow store delays beyond the limit.
#[tokio::test(start_paused = true)]
async fn evacuate_while_store_slow() {
    let mut play = Play::start(42, Obedience::Full).await;
    play.fleet.vms().iter().for_each(|vm| play.fleet.set_reach(vm, SLOW_STORE));
    play.run(Duration::from_secs(2)).await;
    play.evacuate("a").await;
    play.run(PROMPT_LIMIT + Duration::from_secs(1)).await;
    play.assert_obeyed(PROMPT_LIMIT, "slow store");
}

/// Kills entries one after the other during an evacuation; each starts again at once.
async fn play_kills(entries: usize, kills: usize, obedience: Obedience) -> Play {
    let mut play = Play::start(entries, obedience).await;
    play.evacuate("a").await;
    play.run(PROMPT_LIMIT).await;
    for vm in play.fleet.succession().into_iter().take(kills) {
        play.restart(&vm);
        play.run(Duration::from_millis(200)).await;
    }
    play.run(Duration::from_secs(3)).await;
    play
}

/// Guards against a process that sends before it knows of an evacuation.
#[tokio::test(start_paused = true)]
async fn evacuate_entries_killed_in_series() {
    for (entries, kills) in [(6, 6), (42, 12), (380, 6)] {
        let play = play_kills(entries, kills, Obedience::Full).await;
        play.assert_obeyed(PROMPT_LIMIT, "kills");
    }
}

/// Guards against one evacuation that replaces another, or ends with it, and against sends while
/// nothing may be sent at all.
#[tokio::test(start_paused = true)]
async fn evacuate_two_then_all() {
    let mut play = Play::start(42, Obedience::Full).await;
    play.evacuate("a").await;
    play.evacuate("b").await;
    play.run(Duration::from_secs(6)).await;
    play.take_back("a").await;
    play.run(Duration::from_secs(6)).await;
    let from = Instant::now();
    play.run(Duration::from_secs(1)).await;
    assert!(play.avoiding("a", from).is_empty(), "not taken back");
    play.evacuate("a").await;
    play.evacuate("c").await;
    play.run(Duration::from_secs(6)).await;
    play.assert_obeyed(evacuate_limit(), "two, then all");
    let is_evacuated = |vm: &String| {
        let chosen = balance::choose(&play.fleet.view(vm), "s", &[], None, Instant::now()).choice;
        matches!(chosen, Choice::Evacuated)
    };
    assert!(play.fleet.vms().iter().all(is_evacuated));
}

/// Guards against a short evacuation whose end is lost or comes before its beginning.
#[tokio::test(start_paused = true)]
async fn evacuate_and_take_back_within_a_second() {
    for gap_ms in [0, 40, 300, 900] {
        let mut play = Play::start(42, Obedience::Full).await;
        for _ in 0..3 {
            play.evacuate("a").await;
            play.run(Duration::from_millis(gap_ms)).await;
            play.take_back("a").await;
            play.run(Duration::from_millis(gap_ms)).await;
        }
        play.run(Duration::from_secs(1)).await;
        let from = Instant::now();
        play.run(Duration::from_secs(2)).await;
        assert!(play.avoiding("a", from).is_empty(), "{gap_ms} ms: not taken back");
        play.evacuate("a").await;
        play.run(Duration::from_secs(6)).await;
        play.assert_obeyed(evacuate_limit(), "short ones before");
    }
}

/// Guards against a check that passes entries which obey on first sends only, or forget an
/// evacuation when they start.
#[tokio::test(start_paused = true)]
async fn late_arrivals_planted_faults() {
    for obedience in [Obedience::FirstSendsOnly, Obedience::UntilStart] {
        let play = play_kills(6, 6, obedience).await;
        assert!(!play.late_arrivals(PROMPT_LIMIT).is_empty(), "{obedience:?} passes");
    }
}

/// Guards against an evacuation that some entries ignore because its value can't be read.
#[tokio::test(start_paused = true)]
async fn evacuate_value_malformed() {
    for value in ["", "[]", "\u{fffd}"] {
        let mut play = Play::start(6, Obedience::Full).await;
        play.fleet.write("op/evacuate/a", value.to_owned()).await;
        play.orders.push(Order { data_centre: "a", from: Instant::now(), until: None });
        play.run(Duration::from_secs(6)).await;
        play.assert_obeyed(evacuate_limit(), value);
    }
}

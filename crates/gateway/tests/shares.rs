//! Shares of slow servers and of servers in other data centres, with the code that chooses servers.

use flamingowheel_fleet::BackendServer;
use flamingowheel_gateway::balance::{self, Choice};
use flamingowheel_gateway::server::{InFlight, Server};
use flamingowheel_gateway::view::View;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, advance};

const SERVERS: usize = 8;
const WORK: Duration = Duration::from_millis(20);
const STEP: Duration = Duration::from_millis(5);

struct Request {
    sent_at: Instant,
    ends_at: Instant,
    in_flight: InFlight,
}

/// An entry before eight servers, with a request every 5 ms.
struct Entry {
    view: View,
    running: Vec<Request>,
}

impl Entry {
    fn new(data_centre_of: impl Fn(usize) -> &'static str) -> Self {
        let server = |number: usize| {
            Arc::new(Server::new(BackendServer {
                id: format!("s-{number}"),
                service: "s".to_owned(),
                address: ([127, 0, 0, 1], 9_000 + number as u16).into(),
                data_centre: data_centre_of(number).to_owned(),
                slots: 6,
                is_draining: false,
                started_ms: 1,
                cold_left_ms: 0,
            }))
        };
        let mut view = View { is_uneven: true, ..View::default() };
        view.servers.insert("s".to_owned(), (0..SERVERS).map(server).collect());
        Self { view, running: Vec::new() }
    }

    /// Sends requests for some time while the first server's work takes `factor` times as long.
    /// Returns each server's share, relative to a fair one.
    async fn run(&mut self, time: Duration, factor: u32) -> Vec<f64> {
        let steps = time.as_millis() / STEP.as_millis();
        let mut sent = vec![0.0; SERVERS];
        for _ in 0..steps {
            advance(STEP).await;
            let now = Instant::now();
            self.finish(now);
            let choice = balance::choose(&self.view, "s", &[], None, now).choice;
            let Choice::Send(server, _) = choice else { panic!("{choice:?}") };
            let servers = self.view.servers_of("s");
            let number = servers.iter().position(|listed| Arc::ptr_eq(listed, &server)).unwrap();
            sent[number] += SERVERS as f64 / steps as f64;
            let work = if number == 0 { WORK * factor } else { WORK };
            let in_flight = server.begin(None).unwrap();
            self.running.push(Request { sent_at: now, ends_at: now + work, in_flight });
        }
        sent
    }

    fn finish(&mut self, now: Instant) {
        for mut request in self.running.extract_if(.., |request| request.ends_at <= now) {
            request.in_flight.record_first_byte(now);
            request.in_flight.server().record_answer(now - request.sent_at, false);
        }
    }
}

/// Guards against a slow server that gets as much as the others, or nothing at all.
#[tokio::test(start_paused = true)]
async fn choose_slow_server_fifth() {
    let mut entry = Entry::new(|_| "a");
    entry.run(Duration::from_secs(5), 5).await;
    let shares = entry.run(Duration::from_secs(60), 5).await;
    assert!((0.15..=0.25).contains(&shares[0]), "{shares:.2?}");
    assert!(shares[1..].iter().all(|share| (0.9..1.4).contains(share)), "{shares:.2?}");
}

/// Guards against a server that was slow once and is avoided for good.
#[tokio::test(start_paused = true)]
async fn choose_recovered_server_fair() {
    let mut entry = Entry::new(|_| "a");
    entry.run(Duration::from_secs(30), 5).await;
    entry.run(Duration::from_secs(5), 1).await;
    let shares = entry.run(Duration::from_secs(10), 1).await;
    assert!((0.7..1.3).contains(&shares[0]), "{shares:.2?}");
}

/// Guards against work that swings back and forth between a slow server and the others.
#[tokio::test(start_paused = true)]
async fn choose_slow_server_steady() {
    let mut entry = Entry::new(|_| "a");
    entry.run(Duration::from_secs(5), 5).await;
    for _ in 0..6 {
        let shares = entry.run(Duration::from_secs(10), 5).await;
        assert!((0.05..0.4).contains(&shares[0]), "{shares:.2?}");
    }
}

/// Guards against bytes between data centres while near servers have room, and against near servers
/// that are filled while far ones are empty.
#[tokio::test(start_paused = true)]
async fn choose_near_server_while_room() {
    let mut entry = Entry::new(|number| if number < 4 { "a" } else { "b" });
    let share = |shares: &[f64]| shares[..4].iter().sum::<f64>() / SERVERS as f64;
    let shares = entry.run(Duration::from_secs(20), 1).await;
    assert!((0.4..0.6).contains(&share(&shares)), "{shares:.2?}");
    entry.view.data_centre = Some("a".into());
    let shares = entry.run(Duration::from_secs(20), 1).await;
    assert!(share(&shares) > 0.75, "{shares:.2?}");
    let held: Vec<_> = (0..4)
        .flat_map(|near| {
            let server = &entry.view.servers_of("s")[near];
            (0..5).map(|_| server.begin(None).unwrap()).collect::<Vec<_>>()
        })
        .collect();
    let shares = entry.run(Duration::from_millis(500), 1).await;
    assert!(share(&shares) < 0.1, "{shares:.2?}");
    drop(held);
}

/// Guards against fleets of alike machines that are served otherwise than before.
#[tokio::test(start_paused = true)]
async fn choose_alike_machines_distance_ignored() {
    let mut entry = Entry::new(|number| if number < 4 { "a" } else { "b" });
    (entry.view.is_uneven, entry.view.data_centre) = (false, Some("a".into()));
    let shares = entry.run(Duration::from_secs(20), 1).await;
    let near = shares[..4].iter().sum::<f64>() / SERVERS as f64;
    assert!((0.4..0.6).contains(&near), "{shares:.2?}");
}

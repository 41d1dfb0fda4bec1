//! Daemons as separate processes that are killed, stopped for a while and told to leave.

mod fleet;

use bytes::{Bytes, BytesMut};
use flamingowheel_backing::fake::text;
use flamingowheel_config::api::ConfigSource;
use flamingowheel_entry::http::{
    LAST_EVENT_HEADER, RESUMABLE_HEADER, STREAM_HEADER, TICKET_HEADER, TIMEOUT_HEADER,
};
use fleet::{Fleet, MODEL, PATIENCE, SERVERS, until};
use http::{Method, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rustix::process::Signal;
use std::time::Duration;
use tokio::time::timeout;

const CHAT_PATH: &str = "/v1/chat/completions";
const ORDER: &str = "repair callbox 17";

fn prompt(tokens: u32) -> Bytes {
    let body = format!(
        "{{\"model\":\"{MODEL}\",\"stream\":true,\"max_tokens\":{tokens},\
         \"messages\":[{{\"role\":\"user\",\"content\":\"summarise the fault log\"}}]}}"
    );
    body.into()
}

async fn open(fleet: &Fleet, entry: u8, body: &Bytes) -> Response<Incoming> {
    let headers = [(RESUMABLE_HEADER, "yes")];
    let address = fleet.entry(entry);
    let opened = fleet.caller.open(Method::POST, address, CHAT_PATH, &headers, body.clone());
    timeout(PATIENCE, opened).await.expect("a head in time").unwrap()
}

/// Reads until `enough` bytes came or the body ended; `Err` tells that it broke off.
async fn read(body: &mut Incoming, read: &mut BytesMut, enough: usize) -> Result<(), hyper::Error> {
    while read.len() < enough {
        match timeout(PATIENCE, body.frame()).await.expect("a byte in time") {
            Some(frame) => read.extend_from_slice(frame?.data_ref().unwrap_or(&Bytes::new())),
            None => return Ok(()),
        }
    }
    Ok(())
}

/// The engine's own events, without what the entry adds, and the last id that is followed by a
/// whole event.
fn events(bytes: &[u8]) -> (String, Option<u64>) {
    let (mut data, mut last) = (String::new(), None);
    let text = String::from_utf8_lossy(bytes);
    let Some((whole, _)) = text.rsplit_once("\n\n") else { return (data, last) };
    for event in whole.split("\n\n") {
        for line in event.lines() {
            if let Some(id) = line.strip_prefix("id:") {
                last = id.trim().parse().ok();
            } else if line.starts_with("data:") {
                data += &format!("{line}\n\n");
            }
        }
    }
    (data, last)
}

fn whole_answer(body: &[u8]) -> String {
    String::from_utf8(text::whole_stream(body, 0).concat()).unwrap()
}

// A dispatcher files a payout under a key. The entry's process is killed while the service works on
// it, so the dispatcher sees a broken connection and files it again through another entry. A second
// run would pay twice.
#[tokio::test(flavor = "multi_thread")]
async fn payout_entry_killed_runs_once() {
    let mut fleet = Fleet::start(1).await;
    for service in &fleet.services {
        service.set_delay(Duration::from_millis(500));
    }
    let key = [("idempotency-key", "payout-17")];
    let (caller, address) = (fleet.caller.clone(), fleet.entry(0));
    let first = tokio::spawn(async move {
        let path = "/v1/services/orders/orders";
        caller.call(Method::POST, address, path, &key, Bytes::from_static(ORDER.as_bytes())).await
    });
    until("it is carried out", async || fleet.executions(ORDER) == 1).await;
    fleet.entries[0].kill();
    assert!(first.await.unwrap().is_err(), "the connection breaks");

    let again = fleet.file(1, ORDER, &key).await;
    assert_eq!(again.outcome(), "complete", "{}", again.text());
    assert_eq!(fleet.executions(ORDER), 1);
}

// An editor's stream runs through an entry whose process is killed. The desk tool asks the other
// entry for the rest. A missing or repeated word would go to print.
#[tokio::test(flavor = "multi_thread")]
async fn stream_entry_killed_goes_on_through_another() {
    let mut fleet = Fleet::start(2).await;
    let body = prompt(100);
    let response = open(&fleet, 0, &body).await;
    let token = response.headers()[STREAM_HEADER].to_str().unwrap().to_owned();
    let (mut stream, mut first) = (response.into_body(), BytesMut::new());
    read(&mut stream, &mut first, 1_000).await.unwrap();
    fleet.entries[0].kill();
    let rest = read(&mut stream, &mut first, usize::MAX).await;
    assert!(rest.is_err(), "a part must not look like a whole answer");

    let (mut data, last) = events(&first);
    let path = format!("/v1/streams/{token}");
    let last = last.unwrap().to_string();
    let headers = [(LAST_EVENT_HEADER, last.as_str())];
    let entry = fleet.entry(1);
    let asked = fleet.caller.call(Method::GET, entry, &path, &headers, Bytes::new());
    let resumed = timeout(PATIENCE, asked).await.unwrap().unwrap();
    data += &events(&resumed.body).0;
    assert_eq!(data, whole_answer(&body));
}

// An agent and an entry are told to leave while a summary streams through both. The technician
// gets all of it, both processes end well, and the next request goes elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn stream_processes_leave_ends_whole() {
    let mut fleet = Fleet::start(3).await;
    let body = prompt(150);
    let response = open(&fleet, 0, &body).await;
    let (mut stream, mut answer) = (response.into_body(), BytesMut::new());
    read(&mut stream, &mut answer, 500).await.unwrap();
    let runs = |number: u8| fleet.engines[usize::from(number)].runs_of_body(&body).started;
    let busy = usize::from((0..SERVERS).find(|number| runs(*number) == 1).unwrap());
    fleet.engine_agents[busy].signal(Signal::TERM);
    fleet.entries[0].signal(Signal::TERM);

    let next = prompt(3);
    let address = fleet.entry(1);
    let other = fleet.caller.call(Method::POST, address, CHAT_PATH, &[], next.clone());
    let other = timeout(PATIENCE, other).await.unwrap().unwrap();
    assert_eq!(other.text(), whole_answer(&next));
    read(&mut stream, &mut answer, usize::MAX).await.unwrap();
    assert_eq!(events(&answer).0, whole_answer(&body));
    assert!(fleet.engine_agents[busy].ended().await.success());
    assert!(fleet.entries[0].ended().await.success());
}

// An agent's process stands still while its service carries a work order out. The dispatcher is
// told that nobody can know yet, not that it did not run. When the process goes on, the same ticket
// gets the answer of that one run.
#[tokio::test(flavor = "multi_thread")]
async fn work_order_agent_stopped_told_unknown_then_answered() {
    let fleet = Fleet::start(4).await;
    for service in &fleet.services {
        service.set_delay(Duration::from_millis(1_000));
    }
    let ticket = fleet.take_ticket(0).await;
    let headers = [(TICKET_HEADER, ticket.as_str()), (TIMEOUT_HEADER, "5000")];
    let filed = fleet.file(0, ORDER, &headers);
    let stopped = async {
        until("it is carried out", async || fleet.executions(ORDER) == 1).await;
        fleet.service_agents.iter().for_each(|agent| agent.signal(Signal::STOP));
    };
    let (reply, ()) = tokio::join!(filed, stopped);
    assert_eq!(reply.outcome(), "unknown", "{}", reply.text());

    fleet.service_agents.iter().for_each(|agent| agent.signal(Signal::CONT));
    let headers = [(TICKET_HEADER, ticket.as_str())];
    until("the stored answer comes", async || {
        let again = fleet.file(1, ORDER, &headers).await;
        again.outcome() == "complete"
    })
    .await;
    assert_eq!(fleet.executions(ORDER), 1);
}

// The key-value service is down when an entry's VM is replaced. The fresh process has nothing but
// its settings. Dispatchers that have its address must be served all the same, and operators must
// see that what it has in force came from another entry only.
#[tokio::test(flavor = "multi_thread")]
async fn entry_replaced_key_value_down_serves_from_peers() {
    let mut fleet = Fleet::start(5).await;
    fleet.key_value.set_down(true);
    fleet.replace_entry(1);
    let status = fleet.ready(1).await;
    assert_eq!(status.source, ConfigSource::PeersOnly);
    assert_eq!(status.revision, fleet.ready(0).await.revision);

    let ticket = fleet.take_ticket(1).await;
    let headers = [(TICKET_HEADER, ticket.as_str())];
    let first = fleet.file(1, ORDER, &headers).await;
    let again = fleet.file(0, ORDER, &headers).await;
    assert_eq!((first.outcome(), again.outcome()), ("complete", "complete"));
    assert_eq!(fleet.executions(ORDER), 1);
}

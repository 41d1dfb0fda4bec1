//! Daemons as separate processes that are killed, suspended and terminated.

mod fleet;

use bytes::{Bytes, BytesMut};
use flamingowheel_backing::fake::text;
use flamingowheel_config::api::ConfigSource;
use flamingowheel_entry::http::{
    LAST_EVENT_HEADER, RESUMABLE_HEADER, STREAM_HEADER, TICKET_HEADER, TIMEOUT_HEADER,
};
use fleet::{Fleet, MODEL, SERVERS, TIMEOUT, wait_until};
use http::{Method, Response, StatusCode};
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
    timeout(TIMEOUT, opened).await.expect("a head in time").unwrap()
}

/// Reads until `buffer` has `enough` bytes or the body has ended; `Err` if the connection failed.
async fn read(
    body: &mut Incoming,
    buffer: &mut BytesMut,
    enough: usize,
) -> Result<(), hyper::Error> {
    while buffer.len() < enough {
        match timeout(TIMEOUT, body.frame()).await.expect("a byte in time") {
            Some(frame) => buffer.extend_from_slice(frame?.data_ref().unwrap_or(&Bytes::new())),
            None => return Ok(()),
        }
    }
    Ok(())
}

/// The `data:` lines of all complete events, without the events that the entry adds, and the id of
/// the last complete event.
fn events(bytes: &[u8]) -> (String, Option<u64>) {
    let (mut data, mut last) = (String::new(), None);
    let text = String::from_utf8_lossy(bytes);
    let Some((complete_events, _)) = text.rsplit_once("\n\n") else { return (data, last) };
    for event in complete_events.split("\n\n") {
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

fn complete_answer(body: &[u8]) -> String {
    String::from_utf8(text::whole_stream(body, 0).concat()).unwrap()
}

// A caller submits a payout with an idempotency key. The entry is killed while the service works on
// it, so the caller sees a broken connection and submits it again through another entry. A second
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
    wait_until("it is carried out", async || fleet.executions(ORDER) == 1).await;
    fleet.entries[0].kill();
    assert!(first.await.unwrap().is_err(), "the connection breaks");

    let again = fleet.submit_order(1, ORDER, &key).await;
    assert_eq!(again.outcome(), "complete", "{}", again.text());
    assert_eq!(fleet.executions(ORDER), 1);
}

// The entry of a stream is killed, and the caller resumes the stream through the other entry. The
// two parts must form the complete answer without missing or repeated events.
#[tokio::test(flavor = "multi_thread")]
async fn stream_entry_killed_resumes_through_another() {
    let mut fleet = Fleet::start(2).await;
    let body = prompt(100);
    let response = open(&fleet, 0, &body).await;
    let token = response.headers()[STREAM_HEADER].to_str().unwrap().to_owned();
    let (mut stream, mut first) = (response.into_body(), BytesMut::new());
    read(&mut stream, &mut first, 1_000).await.unwrap();
    fleet.entries[0].kill();
    let rest = read(&mut stream, &mut first, usize::MAX).await;
    assert!(rest.is_err(), "a truncated answer must not look complete");

    let (mut data, last) = events(&first);
    let path = format!("/v1/streams/{token}");
    let last = last.unwrap().to_string();
    let headers = [(LAST_EVENT_HEADER, last.as_str())];
    let entry = fleet.entry(1);
    let resume_request = fleet.caller.call(Method::GET, entry, &path, &headers, Bytes::new());
    let resumed = timeout(TIMEOUT, resume_request).await.unwrap().unwrap();
    data += &events(&resumed.body).0;
    assert_eq!(data, complete_answer(&body));
}

// An agent and an entry get SIGTERM while a stream runs through both. The stream must complete,
// both processes must exit with success, and the next request must be served by other processes.
#[tokio::test(flavor = "multi_thread")]
async fn stream_processes_leave_completes() {
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
    let other = timeout(TIMEOUT, other).await.unwrap().unwrap();
    assert_eq!(other.text(), complete_answer(&next));
    read(&mut stream, &mut answer, usize::MAX).await.unwrap();
    assert_eq!(events(&answer).0, complete_answer(&body));
    assert!(fleet.engine_agents[busy].wait_for_exit().await.success());
    assert!(fleet.entries[0].wait_for_exit().await.success());
}

// Operators ask an entry and an agent to read their settings again while a stream runs through both.
// Without a handler the signal would end the processes and cut the stream.
#[tokio::test(flavor = "multi_thread")]
async fn stream_hangup_completes() {
    let fleet = Fleet::start(6).await;
    let body = prompt(100);
    let response = open(&fleet, 0, &body).await;
    let (mut stream, mut answer) = (response.into_body(), BytesMut::new());
    read(&mut stream, &mut answer, 500).await.unwrap();
    fleet
        .entries
        .iter()
        .chain(&fleet.engine_agents)
        .for_each(|process| process.signal(Signal::HUP));
    read(&mut stream, &mut answer, usize::MAX).await.unwrap();
    assert_eq!(events(&answer).0, complete_answer(&body));
}

// An operator takes a workspace's token away while a stream and a work order of it are in progress.
// Both were admitted before; they must get their whole answers.
#[tokio::test(flavor = "multi_thread")]
async fn requests_token_withdrawn_complete() {
    let fleet = Fleet::start(7).await;
    fleet.services.iter().for_each(|service| service.set_delay(Duration::from_millis(1_000)));
    let body = prompt(100);
    let (mut stream, mut answer) = (open(&fleet, 0, &body).await.into_body(), BytesMut::new());
    let submission = fleet.submit_order(0, ORDER, &[]);
    let withdrawn = async {
        wait_until("it is carried out", async || fleet.executions(ORDER) == 1).await;
        fleet.withdraw_token().await;
        wait_until("the token is refused", async || {
            fleet.submit_order(0, "too late", &[]).await.status == StatusCode::UNAUTHORIZED
        })
        .await;
    };
    let (reply, ()) = tokio::join!(submission, withdrawn);
    assert_eq!(reply.outcome(), "complete", "{}", reply.text());
    read(&mut stream, &mut answer, usize::MAX).await.unwrap();
    assert_eq!(events(&answer).0, complete_answer(&body));
}

// An entry's time to drain ends while a stream runs. The stream is cut off, and the log must say so
// before the process is gone: otherwise operators see a request that never ended.
#[tokio::test(flavor = "multi_thread")]
async fn stream_cut_off_at_drain_deadline_logged() {
    let mut fleet = Fleet::start(8).await;
    fleet.replace_entry_impatient(0);
    fleet.wait_ready(0).await;
    let body = prompt(2_000);
    let (mut stream, mut answer) = (open(&fleet, 0, &body).await.into_body(), BytesMut::new());
    read(&mut stream, &mut answer, 500).await.unwrap();
    let entry = &mut fleet.entries[0];
    entry.signal(Signal::TERM);
    wait_until("it leaves", async || !entry.logged("leave_began").is_empty()).await;
    // The second signal ends the wait for callers' addresses to expire.
    entry.signal(Signal::TERM);
    assert!(entry.wait_for_exit().await.success());
    let [finished] = &entry.logged("leave_finished")[..] else { panic!("one end of the leave") };
    assert!(finished.contains("\"cut_off\":1"), "{finished}");
    let [ended] = &entry.logged("outcome_unknown")[..] else { panic!("one end of the request") };
    assert!(ended.contains("\"reason\":\"leaving\""), "{ended}");
}

// An agent is suspended while its service executes a work order. The caller must get the outcome
// unknown, not "not run". When the agent continues, the same ticket must get the answer of that one
// run.
#[tokio::test(flavor = "multi_thread")]
async fn work_order_agent_suspended_unknown_then_answered() {
    let fleet = Fleet::start(4).await;
    for service in &fleet.services {
        service.set_delay(Duration::from_millis(1_000));
    }
    let ticket = fleet.request_ticket(0).await;
    let headers = [(TICKET_HEADER, ticket.as_str()), (TIMEOUT_HEADER, "5000")];
    let submission = fleet.submit_order(0, ORDER, &headers);
    let stopped = async {
        wait_until("it is carried out", async || fleet.executions(ORDER) == 1).await;
        fleet.service_agents.iter().for_each(|agent| agent.signal(Signal::STOP));
    };
    let (reply, ()) = tokio::join!(submission, stopped);
    assert_eq!(reply.outcome(), "unknown", "{}", reply.text());

    fleet.service_agents.iter().for_each(|agent| agent.signal(Signal::CONT));
    let headers = [(TICKET_HEADER, ticket.as_str())];
    wait_until("the stored answer comes", async || {
        let again = fleet.submit_order(1, ORDER, &headers).await;
        again.outcome() == "complete"
    })
    .await;
    assert_eq!(fleet.executions(ORDER), 1);
}

// The key-value service is down when an entry is replaced, so the new process has nothing but its
// settings. It must get its configuration from the other entry and serve callers, and its status
// must show that the configuration came from peers only.
#[tokio::test(flavor = "multi_thread")]
async fn entry_replaced_key_value_down_serves_from_peers() {
    let mut fleet = Fleet::start(5).await;
    fleet.key_value.set_down(true);
    fleet.replace_entry(1);
    let status = fleet.wait_ready(1).await;
    assert_eq!(status.source, ConfigSource::PeersOnly);
    assert_eq!(status.revision, fleet.wait_ready(0).await.revision);

    let ticket = fleet.request_ticket(1).await;
    let headers = [(TICKET_HEADER, ticket.as_str())];
    let first = fleet.submit_order(1, ORDER, &headers).await;
    let again = fleet.submit_order(0, ORDER, &headers).await;
    assert_eq!((first.outcome(), again.outcome()), ("complete", "complete"));
    assert_eq!(fleet.executions(ORDER), 1);
}

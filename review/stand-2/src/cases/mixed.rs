//! A runner sends bytes after a complete answer that belong to no request. They arrive where the next
//! answer on the channel is expected, look like an answer, and bear neither id nor proof.

use super::group::wait_until;
use crate::Verdict;
use crate::fleet::{Addresses, ZONE};
use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Number of runners, the first of which is in trouble, and the number of the entry's machine.
const RUNNERS: u8 = 2;
const ENTRY: u8 = 3;

/// Number of requests in all, of callers, and the pause of a caller between two.
const REQUESTS: usize = 800;
const CALLERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(80);

/// Time that a runner works on a request.
const WORK: Duration = Duration::from_millis(15);

/// One answer in so many of the runner in trouble is followed by other bytes.
const EXTRA_INTERVAL: u64 = 33;

/// Time that callers give a request.
const DEADLINE: Duration = Duration::from_millis(600);

/// Bytes that belong to no request.
const OTHER_BYTES: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nother";

/// Plays the case.
pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let addresses = Addresses::find(ENTRY)?;
    let (store, store_address) = Store::start()?;
    store.write("op/config", CONFIGURATION);
    for machine in 1..=RUNNERS {
        let address = addresses.app(machine);
        start_runner(machine, address, record.clone(), has_trouble && machine == 1)?;
        let entry = format!(
            "{{\"service\":\"app\",\"addr\":\"{address}\",\"zone\":\"{ZONE}\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":{machine}}}"
        );
        store.write(&format!("servers/{}", id(machine)), &entry);
    }
    let mut process = addresses.entry(ENTRY, store_address, folder, record)?;
    process.start()?;
    let ready = "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
    let second = Duration::from_secs(1);
    let is_ready = || http::call(addresses.ready(ENTRY), ready, second).answer.status() == 200;
    if !wait_until(Duration::from_secs(10), is_ready) {
        return Ok(Verdict::NotRun("the entry is not ready".to_owned()));
    }
    thread::sleep(second);

    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (address, record) = (addresses.callers(ENTRY), record.clone());
            thread::spawn(move || send_requests(caller, address, &record))
        })
        .collect();
    let (mut served, mut wrong) = (0, 0);
    for caller in callers {
        let counts = caller.join().unwrap_or_default();
        served += counts.0;
        wrong += counts.1;
    }
    record.line(&format!("{served} right successes, {wrong} successes without a proof"));
    if served == 0 {
        return Ok(Verdict::NotRun("no request was served".to_owned()));
    }
    Ok(if wrong > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends the requests of one caller. Returns how many successes were right and how many wrong.
fn send_requests(caller: usize, address: SocketAddr, record: &Record) -> (usize, usize) {
    let (mut served, mut wrong) = (0, 0);
    for number in 0..REQUESTS / CALLERS {
        let attempt = format!("a{caller}-{number}");
        let request = format!(
            "GET /s/x HTTP/1.1\r\nHost: h.example\r\nFlamingowheel-Attempt-Id: {attempt}\r\n\
             Flamingowheel-Deadline-Ms: {}\r\n\r\n",
            DEADLINE.as_millis()
        );
        let outcome = http::call(address, &request, DEADLINE);
        let answer = &outcome.answer;
        let proof = answer.header("flamingowheel-instance-signature");
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let is_success = (200..300).contains(&answer.status()) && outcome.is_whole;
        let is_right = proof.is_some() && body == body_of(&attempt);
        served += usize::from(is_success && is_right);
        wrong += usize::from(is_success && !is_right);
        let status = answer.status();
        record.line(&format!("caller: {attempt} got {status}, proof {proof:?}, body {body:?}"));
        thread::sleep(PAUSE);
    }
    (served, wrong)
}

fn id(machine: u8) -> String {
    format!("i-app{machine}")
}

fn body_of(attempt: &str) -> String {
    format!("status of {attempt}")
}

/// Starts a runner that keeps its channels for 5 s.
fn start_runner(
    machine: u8,
    address: SocketAddr,
    record: Record,
    has_trouble: bool,
) -> io::Result<()> {
    let answers = AtomicU64::new(0);
    // Number of answers on each channel.
    let channels: Mutex<HashMap<SocketAddr, u64>> = Mutex::default();
    let handle = move |request: &Message, stream: &mut TcpStream| {
        if request.path() == "/healthz" {
            return http::answer(stream, 200, "{}");
        }
        if request.header("flamingowheel-expect-instance") != Some(&id(machine)) {
            return http::answer(stream, 421, "{}");
        }
        let attempt = request.header("flamingowheel-attempt-id").unwrap_or("");
        let peer = stream.peer_addr()?;
        let earlier = {
            let mut channels = channels.lock().unwrap();
            let count = channels.entry(peer).or_default();
            std::mem::replace(count, *count + 1)
        };
        let number = answers.fetch_add(1, Ordering::SeqCst) + 1;
        record.line(&format!("runner {machine} runs {attempt}, {earlier} before on the channel"));
        thread::sleep(WORK);
        if has_trouble && earlier > 0 && number % EXTRA_INTERVAL == 0 {
            record.line(&format!("runner {machine} sends other bytes after its last answer"));
            stream.write_all(OTHER_BYTES.as_bytes())?;
            thread::sleep(Duration::from_millis(15));
        }
        let body = body_of(attempt);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nFlamingowheel-Attempt-Id: {attempt}\r\n\
             Flamingowheel-Instance-Signature: app{machine}.{attempt}\r\n\
             Keep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes())?;
        Ok(true)
    };
    http::serve(TcpListener::bind(address)?, handle);
    Ok(())
}

const CONFIGURATION: &str = "{\"version\":3,\"routes\":[{\"name\":\"r-s\",\"host\":\"h.example\",\
    \"prefix\":\"/s/\",\"routeKind\":\"safe\",\"timeoutMs\":600,\"goalMs\":100,\"priority\":2,\
    \"service\":\"app\",\"maxAttempts\":2,\"public\":false}],\"services\":[{\"name\":\"app\",\
    \"healthPath\":\"/healthz\",\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
    \"idleTimeoutMs\":15000}}";

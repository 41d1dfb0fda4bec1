//! A stand-in of a plain service's runner: answers each request once and notes what it ran.

use crate::http::{Answer, Request, serve};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time that a runner works on a request.
const WORK: Duration = Duration::from_millis(15);

/// A request that a runner ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub runner: String,
    pub attempt: String,
    pub tenant: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts a runner with an id. Returns its address.
pub fn start(id: &str, ip: &str, runs: &Runs) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    let (id, runs) = (id.to_owned(), Arc::clone(runs));
    serve(listener, move |request| answer(&id, &runs, &request));
    Ok(address)
}

fn answer(id: &str, runs: &Runs, request: &Request) -> Answer {
    let headers = vec![("Flamingowheel-Instance-Id".to_owned(), id.to_owned())];
    if request.path == "/healthz" {
        return Answer { status: 200, headers, body: Vec::new() };
    }
    if request.header("Flamingowheel-Expect-Instance").is_some_and(|expected| expected != id) {
        return Answer { status: 421, headers, body: Vec::new() };
    }
    let attempt = request.header("Flamingowheel-Attempt-Id").unwrap_or_default().to_owned();
    let tenant = request.header("Flamingowheel-Tenant").unwrap_or("-").to_owned();
    let run = Run { at: Instant::now(), runner: id.to_owned(), attempt: attempt.clone(), tenant };
    runs.lock().expect("no thread panics with the lock").push(run);
    std::thread::sleep(WORK);
    let headers = vec![
        ("Flamingowheel-Attempt-Id".to_owned(), attempt),
        ("Flamingowheel-Instance-Signature".to_owned(), format!("{id}.0.c9f2a4d1")),
    ];
    Answer { status: 200, headers, body: b"status of the box: working\n".to_vec() }
}

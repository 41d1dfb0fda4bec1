//! A small deployment with one group of four runners, an agent beside each, and one entry.

use crate::engine::{Copying, EXPERTS, Group, PLACES, SETS, Trouble};
use crate::fleet::{Addresses, Process, ZONE};
use crate::http::{self, Outcome};
use crate::record::Record;
use crate::store::Store;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Number of ranks; their machines have the numbers from 1.
pub const RANKS: usize = 4;

/// Number of the entry's machine.
const ENTRY: u8 = 5;

/// Large experts: a copy takes 400 ms, as at `further/villacres.toml`.
pub const LARGE_EXPERTS: Copying = Copying { expert_mb: 2_200.0, link_mbps: 44_000.0 };

/// Longest wait for the deployment to be ready.
const START_LIMIT: Duration = Duration::from_secs(10);

/// Time that callers give a request.
pub const DEADLINE: Duration = Duration::from_secs(8);

/// A running deployment.
pub struct Deployment {
    pub group: Group,
    pub agents: Vec<Process>,
    _entry: Process,
    _store: Store,
    callers: SocketAddr,
    record: Record,
}

impl Deployment {
    /// Starts everything and waits until the entry is ready.
    pub fn start(
        folder: &Path,
        record: &Record,
        copying: Copying,
        trouble: Arc<Trouble>,
    ) -> io::Result<Self> {
        let addresses = Addresses::find(ENTRY)?;
        let (store, store_address) = Store::start()?;
        let apps = (1..=RANKS as u8).map(|machine| addresses.app(machine)).collect();
        let group = Group::start(apps, copying, record.clone(), trouble)?;
        store.write("op/config", &configuration(copying));
        for rank in 0..RANKS {
            let key = format!("servers/{}", Group::id(rank));
            store.write(&key, &group.entry(rank, "llm", ZONE));
        }
        let mut entry = addresses.entry(ENTRY, store_address, folder, record)?;
        entry.start()?;
        let mut agents = Vec::new();
        for machine in 1..=RANKS as u8 {
            let mut agent = addresses.agent(machine, "llm", store_address, folder, record)?;
            agent.start()?;
            group.set_agent(usize::from(machine) - 1, agent.pid());
            agents.push(agent);
        }
        let (callers, record) = (addresses.callers(ENTRY), record.clone());
        let deployment = Self { group, agents, _entry: entry, _store: store, callers, record };
        let until = Instant::now() + START_LIMIT;
        while http::call(
            addresses.ready(ENTRY),
            "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n",
            Duration::from_secs(1),
        )
        .answer
        .status()
            != 200
        {
            if Instant::now() > until {
                return Err(io::Error::other("the entry is not ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        // The coordinator connects to the other agents.
        thread::sleep(Duration::from_secs(3));
        Ok(deployment)
    }

    /// Sends requests at the same time, each in a thread, without waiting for them.
    pub fn burst(&self, name: &str, count: usize) -> Vec<thread::JoinHandle<Outcome>> {
        let send = |number: usize| {
            let (callers, record) = (self.callers, self.record.clone());
            let attempt = format!("{name}-{number}");
            thread::spawn(move || {
                record.line(&format!("caller sends {attempt}"));
                let outcome = http::call(callers, &request(&attempt), DEADLINE);
                let (status, took) = (outcome.answer.status(), outcome.took.as_millis());
                let end = if is_served(&outcome) { "whole" } else { "not served" };
                record.line(&format!("caller: {attempt} got {status} after {took} ms, {end}"));
                outcome
            })
        };
        (0..count).map(send).collect()
    }
}

/// Whether a request got its whole stream with a runner's proof.
pub fn is_served(outcome: &Outcome) -> bool {
    let is_signed = outcome.answer.header("flamingowheel-instance-signature").is_some();
    outcome.is_whole && outcome.answer.status() == 200 && is_signed
}

/// Waits until something holds, for at most `limit`.
pub fn wait_until<F>(limit: Duration, holds: F) -> bool
where
    F: Fn() -> bool,
{
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(2));
    }
    false
}

fn request(attempt: &str) -> String {
    let deadline_ms = DEADLINE.as_millis();
    format!(
        "POST /m/x HTTP/1.1\r\nHost: h.example\r\nFlamingowheel-Attempt-Id: {attempt}\r\n\
         Flamingowheel-Model: m\r\nFlamingowheel-Token-Usage: 400,16\r\n\
         Flamingowheel-Prompt-Prefix: 5c1e07a2:40,{:x}:360\r\n\
         Flamingowheel-Deadline-Ms: {deadline_ms}\r\nContent-Length: 2\r\n\r\nhi",
        attempt.bytes().fold(17_u64, |hash, b| hash.wrapping_mul(31).wrapping_add(u64::from(b)))
    )
}

fn configuration(copying: Copying) -> String {
    let Copying { expert_mb, link_mbps } = copying;
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-m\",\"host\":\"h.example\",\"prefix\":\"/m/\",\
         \"routeKind\":\"streaming\",\"timeoutMs\":8000,\"goalMs\":500,\"priority\":1,\
         \"service\":\"llm\",\"maxAttempts\":2,\"public\":false,\"sticky\":true,\
         \"resumable\":true,\"gapGoalMs\":120}}],\"services\":[{{\"name\":\"llm\",\
         \"healthPath\":\"/healthz\",\"maxConns\":408,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":12,\"kvCapacity\":280000,\"kvTokenBytes\":35136,\
         \"linkMbps\":{link_mbps},\"stride\":4,\"models\":[{{\"name\":\"m\"}}],\"step_ms\":4.55,\
         \"per_seq_ms\":0.905,\"context_per_k\":0.0183,\"read_per_s\":61400.0,\
         \"pairs_per_m\":0.525,\"chunk\":512,\"report_lag_ms\":200.0,\"usual\":{{\"prompt\":400,\
         \"answer\":16}},\"sets\":{SETS},\"experts\":{EXPERTS},\"placements\":{PLACES},\
         \"spare\":2,\"expertMb\":{expert_mb},\"expertShare\":0.85,\"form_ms\":600.0}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}"
    )
}

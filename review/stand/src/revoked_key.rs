//! An entry is killed and started again just after a key was taken away, while one follower of the
//! store is a few seconds behind the other.

use crate::Verdict;
use crate::http::{Answer, call, free_ports, serve};
use crate::runner::{self, Runs};
use crate::store::Store;
use std::error::Error;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const ENTRIES: usize = 26;

/// Items of one answer of the store.
const PAGE_ITEMS: usize = 50;

/// How far the follower of the later keys is behind.
const LAG: Duration = Duration::from_secs(3);

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// From the acknowledgement of the change to the kill, and from the kill to the start.
const KILL_AFTER: Duration = Duration::from_millis(200);
const START_AFTER: Duration = Duration::from_millis(500);

/// The bound of configuration and the span after which a started machine is in touch.
const CONFIG_BOUND: Duration = Duration::from_millis(2_000);
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);

const HOST: &str = "ficu95.example";
const REVOKED_KEY: &str = "n2ctnfzs989anu6wsjnb";
const KEPT_KEY: &str = "q7xw04mdrs1kz85tvbye";
const ADDED_KEY: &str = "h3ja86pyc0uf29olgien";

/// The entry that is killed.
const KILLED: usize = 11;

struct Ports {
    front: u16,
    ready: u16,
    directory: u16,
    internal: (u16, u16),
}

struct Fleet {
    program: PathBuf,
    folder: PathBuf,
    ports: Ports,
    store: SocketAddr,
    children: Vec<Option<Child>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn ip(entry: usize) -> String {
    format!("127.77.1.{}", entry + 1)
}

impl Fleet {
    fn start(&mut self, entry: usize) -> std::io::Result<()> {
        let settings = self.folder.join(format!("entry-{entry}.conf"));
        std::fs::write(&settings, self.settings(entry))?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("entry-{entry}.log")))?;
        let child = Command::new(&self.program)
            .arg("--platform")
            .env("FLAMINGOWHEEL_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.children[entry] = Some(child);
        Ok(())
    }

    fn kill(&mut self, entry: usize) {
        if let Some(mut child) = self.children[entry].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn settings(&self, entry: usize) -> String {
        let (ip, zone) = (ip(entry), ["a", "b", "c"][entry % 3]);
        let Ports { front, ready, directory, internal } = &self.ports;
        let (low, high) = internal;
        let store = self.store;
        format!(
            "node=edge-ga-central-{zone}-{entry}\nrole=entry\nmachineClass=edge\n\
             serves=edge,registry\nip={ip}\nzone=ga-central-{zone}\nregion=ga-central\n\
             zones.ga-central-a=ga-central\nzones.ga-central-b=ga-central\n\
             zones.ga-central-c=ga-central\nlisten.front={ip}:{front}\nlisten.ready={ip}:{ready}\n\
             listen.directory={ip}:{directory}\ninternalPortRange={low},{high}\n\
             bootstrap=true\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n\
             limits.maxFds=4200\nlimits.linkMbps=1000.0\ndiscovery=platform\nentry=registry\n\
             heartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,experts\n\
             bounds.stabilityWindowMs=3000\nbounds.ackMs=4000\nbounds.drainMs=2000\n\
             bounds.graceS=8\nbounds.configMs=2000\nbounds.retryBudgetRatio=0.2\n\
             bounds.budgetWindowS=10\nbounds.retryBudgetSlack=88\nbounds.ttl_max_s=5\n\
             platform.addr={store}\nplatform.form=kv\nplatform.writesPerS=400\n\
             platform.readsPerS=2000\nplatform.historyS=20\nplatform.valueBytes=1048576\n\
             platform.ttlMinMs=1000\n"
        )
    }

    fn is_ready(&self, entry: usize) -> bool {
        let Ok(address) = format!("{}:{}", ip(entry), self.ports.ready).parse() else {
            return false;
        };
        let answer = call(address, "GET", "/v1/readyz", &[("Host", "ready")], HEARTBEAT);
        answer.is_some_and(|answer| answer.status == 200)
    }

    fn ask(&self, entry: usize, key: &str, attempt: &str) -> Option<Answer> {
        let address = format!("{}:{}", ip(entry), self.ports.front).parse().ok()?;
        let authorization = format!("Token {key}");
        let headers = [
            ("Host", HOST),
            ("Flamingowheel-Attempt-Id", attempt),
            ("Flamingowheel-Deadline-Ms", "600"),
            ("Authorization", authorization.as_str()),
        ];
        call(address, "GET", "/cufi504/fi50/2f", &headers, Duration::from_secs(2))
    }
}

fn configuration(version: u64, keys: &[(&str, &str)]) -> String {
    let tenants: Vec<String> = keys
        .iter()
        .map(|(tenant, key)| {
            let keys = if key.is_empty() { String::new() } else { format!("\"{key}\"") };
            format!("{{\"name\":\"{tenant}\",\"apiKeys\":[{keys}]}}")
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-fi6y7z5\",\"host\":\"{HOST}\",\
         \"prefix\":\"/cufi504/\",\"routeKind\":\"safe\",\"timeoutMs\":600,\"goalMs\":100,\
         \"priority\":2,\"service\":\"wuno96b\",\"maxAttempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"wuno96b\",\"healthPath\":\"/healthz\",\"maxConns\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{}]}}",
        tenants.join(",")
    )
}

struct Record {
    file: std::fs::File,
    origin: Instant,
}

impl Record {
    fn line(&mut self, text: &str) {
        let _ = writeln!(self.file, "{:9.3} s  {text}", self.origin.elapsed().as_secs_f64());
    }
}

/// Plays the case in the folder of `run.sh`, which is the current one.
pub fn run(is_disrupted: bool) -> Result<Verdict, Box<dyn Error>> {
    let program = std::env::var_os("PROGRAM").map(PathBuf::from).ok_or("PROGRAM is not set")?;
    let folder = std::env::temp_dir().join(format!("review-revoked-key-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let origin = Instant::now();
    let mut record = Record { file: std::fs::File::create(Path::new("record.txt"))?, origin };
    record.line(if is_disrupted { "with the disruption" } else { "without the disruption" });

    let store = Store::new(PAGE_ITEMS);
    let listener = TcpListener::bind(("127.77.0.1", 0))?;
    let store_address = listener.local_addr()?;
    let served = store.clone();
    serve(listener, move |request| served.handle(&request));
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    for runner in 0..3 {
        let id = format!("i-7f3a91c{runner}");
        let address = runner::start(&id, &format!("127.77.2.{}", runner + 1), &runs)?;
        let (store, stop) = (store.clone(), Arc::clone(&stop));
        let zone = ["a", "b", "c"][runner];
        std::thread::spawn(move || {
            for seq in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let value = format!(
                    "{{\"service\":\"wuno96b\",\"addr\":\"{address}\",\"zone\":\"ga-central-{zone}\",\
                     \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\
                     \"born\":1770000000000,\"seq\":{seq}}}"
                );
                store.put(&format!("servers/{id}"), &value);
                sleep(HEARTBEAT);
            }
        });
    }
    let tenants = [("hule930", REVOKED_KEY), ("mobi214", KEPT_KEY)];
    store.put("op/config", &configuration(7, &tenants));

    let ips: Vec<String> = (0..ENTRIES).map(ip).collect();
    let free = free_ports(&ips, 5).ok_or("no free ports")?;
    let ports =
        Ports { front: free[0], ready: free[1], directory: free[2], internal: (free[3], free[4]) };
    let children = (0..ENTRIES).map(|_| None).collect();
    let mut fleet = Fleet { program, folder, ports, store: store_address, children };
    for entry in 0..ENTRIES {
        fleet.start(entry)?;
    }
    let until = Instant::now() + Duration::from_secs(20);
    while !(0..ENTRIES).all(|entry| fleet.is_ready(entry)) {
        if Instant::now() > until {
            return Err("not all entries are ready".into());
        }
        sleep(Duration::from_millis(200));
    }
    record.line(&format!("{ENTRIES} entries are ready"));
    sleep(Duration::from_secs(6));
    let before = store.keys_before("op/config");
    record
        .line(&format!("the store holds {before} keys before op/config, pages have {PAGE_ITEMS}"));
    if before < PAGE_ITEMS {
        return Err("op/config would be on the first page".into());
    }
    for entry in [KILLED, KILLED + 1] {
        let attempt = format!("before-{entry}");
        let answer = fleet.ask(entry, REVOKED_KEY, &attempt);
        let status = answer.as_ref().map(|answer| answer.status);
        record.line(&format!("sent to entry {entry} with the key, {attempt}: {status:?}"));
        if status != Some(200) {
            return Err("a request with the key isn't served before it is taken away".into());
        }
    }

    if is_disrupted {
        store.set_lag(LAG);
        record.line(&format!("stale reads of later keys are {} ms behind", LAG.as_millis()));
        sleep(LAG);
    }
    store.take_stale_reads();
    let changed = [("hule930", ""), ("mobi214", KEPT_KEY), ("raxo551", ADDED_KEY)];
    let acknowledged = store.put("op/config", &configuration(8, &changed));
    let acknowledged_at = Instant::now();
    record.line(&format!(
        "version 8 without the key, and with another one, acknowledged at revision {acknowledged}"
    ));
    if is_disrupted {
        sleep(KILL_AFTER);
        fleet.kill(KILLED);
        record.line(&format!("entry {KILLED} killed"));
        sleep(START_AFTER);
        fleet.start(KILLED)?;
        record.line(&format!("entry {KILLED} started"));
    } else {
        sleep(KILL_AFTER + START_AFTER);
    }
    let in_touch_at = Instant::now() + STABILITY_WINDOW + CONFIG_BOUND;
    sleep(in_touch_at - Instant::now());
    for line in store.take_stale_reads() {
        let _ = writeln!(record.file, "{line}");
    }
    store.set_lag(Duration::ZERO);

    let (mut broken, mut refused) = (0, 0);
    for round in 0..5 {
        for entry in [KILLED, KILLED + 1] {
            let attempt = format!("after-{entry}-{round}");
            let answer = fleet.ask(entry, REVOKED_KEY, &attempt);
            let status = answer.as_ref().map(|answer| answer.status);
            let is_signed = answer
                .is_some_and(|answer| answer.header("Flamingowheel-Instance-Signature").is_some());
            let late_ms = acknowledged_at.elapsed().as_millis();
            let noted = runs.lock().map_err(|_| "runs")?.clone();
            let ran = noted.iter().find(|run| run.attempt == attempt);
            record.line(&format!(
                "sent to entry {entry} with the key, {attempt}, {late_ms} ms after the ack: \
                 {status:?}, signed: {is_signed}, run by {}",
                ran.map_or("none".to_owned(), |run| format!("{} for {}", run.runner, run.tenant))
            ));
            broken += usize::from(ran.is_some());
        }
        for (key, name, entry) in [
            (KEPT_KEY, "kept", KILLED),
            (ADDED_KEY, "added", KILLED),
            (ADDED_KEY, "added", KILLED + 1),
        ] {
            let answer = fleet.ask(entry, key, &format!("{name}-{entry}-{round}"));
            let status = answer.map(|answer| answer.status);
            record.line(&format!("sent to entry {entry} with the key that was {name}: {status:?}"));
            refused += usize::from(name == "added" && status == Some(401));
        }
        sleep(Duration::from_secs(3));
    }
    stop.store(true, Ordering::Relaxed);
    let ready = (0..ENTRIES).filter(|entry| fleet.is_ready(*entry)).count();
    record.line(&format!("{ready} entries are ready at the end"));
    for run in runs.lock().map_err(|_| "runs")?.iter() {
        let at = run.at.duration_since(origin).as_secs_f64();
        let _ = writeln!(
            record.file,
            "{at:9.3} s  ran {} on {} for {}",
            run.attempt, run.runner, run.tenant
        );
    }
    record.line(&format!(
        "{broken} requests ran with the key that was taken away, {refused} were refused with the \
         key that was added"
    ));
    Ok(if broken + refused > 0 { Verdict::Broken } else { Verdict::Held })
}

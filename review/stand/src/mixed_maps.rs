//! Orders to the engines of a group are left unanswered and carried out late, while its expert map
//! follows the demand.

use crate::Verdict;
use crate::engines::{Group, RANKS, find_caller};
use crate::http::{free_ports, serve, serve_connections};
use crate::store::Store;
use std::error::Error;
use std::io::Write;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Groups of 8 ranks, each with its agents.
const GROUPS: usize = 2;

/// Share of the orders that get no answer and are carried out 2 to 12 s later.
const LATE_SHARE: f64 = 0.35;

/// One occurrence of the disruption, and the pause before the next one.
const LATE_SPAN: Duration = Duration::from_millis(5_000);
const PAUSE: Duration = Duration::from_millis(500);

/// The groups are started anew several times, each time with an empty store.
const ROUNDS: usize = 5;
const ROUND: Duration = Duration::from_secs(19);

/// From the start of a round to the first occurrence of the disruption.
const QUIET: Duration = Duration::from_secs(3);

struct Agents {
    folder: PathBuf,
    children: Vec<Child>,
}

impl Drop for Agents {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The services, one a group, and a route to each.
fn configuration() -> String {
    let route = |number| {
        format!(
            "{{\"name\":\"r-{number}\",\"host\":\"ficu95.example\",\"prefix\":\"/lohu{number}/\",\
             \"routeKind\":\"streaming\",\"timeoutMs\":8000,\"goalMs\":500,\"priority\":1,\
             \"service\":\"huvo{number}a\",\"maxAttempts\":2,\"public\":false,\"sticky\":true,\
             \"resumable\":true,\"gapGoalMs\":120}}"
        )
    };
    let service = |number| {
        format!(
            "{{\"name\":\"huvo{number}a\",\"healthPath\":\"/healthz\",\"maxConns\":408,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":12,\"kvCapacity\":280000,\
             \"kvTokenBytes\":35136,\"linkMbps\":92000.0,\"stride\":4,\"models\":[{{\"name\":\"m\"}}],\
             \"step_ms\":4.55,\"per_seq_ms\":0.905,\"context_per_k\":0.0183,\
             \"read_per_s\":61400.0,\"pairs_per_m\":0.525,\"chunk\":512,\"report_lag_ms\":200.0,\
             \"loadsPerS\":0.0,\"loads_at_once\":8,\"usual\":{{\"prompt\":835,\"answer\":97}},\
             \"sets\":6,\"experts\":64,\"placements\":11,\"spare\":4,\"expertMb\":1700.0,\
             \"expertShare\":0.85,\"form_ms\":600.0}}}}"
        )
    };
    let routes: Vec<String> = (0..GROUPS).map(route).collect();
    let services: Vec<String> = (0..GROUPS).map(service).collect();
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Plays the case in the folder of `run.sh`, which is the current one.
pub fn run(is_disrupted: bool) -> Result<Verdict, Box<dyn Error>> {
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1_u64);
    let origin = Instant::now();
    let mut record = std::fs::File::create("record.txt")?;
    writeln!(record, "{}", if is_disrupted { "with the disruption" } else { "without it" })?;
    let mut switches = 0;
    for round in 0..ROUNDS {
        let round_seed = seed * 100 + (round * GROUPS) as u64;
        let (mixed, switched) = play(is_disrupted, round_seed, origin, &mut record)?;
        switches += switched;
        writeln!(
            record,
            "round {round}: {switched} switches, mixed: {}",
            mixed.as_deref().unwrap_or("none")
        )?;
        if mixed.is_some() {
            return Ok(Verdict::Broken);
        }
    }
    if switches == 0 {
        return Err("no group has changed its map".into());
    }
    Ok(Verdict::Held)
}

/// Plays one round. Returns the first pass with mixed maps and the number of switches.
fn play(
    is_disrupted: bool,
    seed: u64,
    origin: Instant,
    record: &mut std::fs::File,
) -> Result<(Option<String>, usize), Box<dyn Error>> {
    let program = std::env::var_os("PROGRAM").map(PathBuf::from).ok_or("PROGRAM is not set")?;
    let folder =
        std::env::temp_dir().join(format!("review-mixed-maps-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let mut agents = Agents { folder, children: Vec::new() };
    let since = |at: Instant| at.duration_since(origin).as_secs_f64();
    let started = Instant::now();

    let store = Store::new(500);
    let listener = TcpListener::bind(("127.78.0.1", 0))?;
    let store_address = listener.local_addr()?;
    let served = store.clone();
    serve(listener, move |request| served.handle(&request));
    store.put("op/config", &configuration());

    let ip = |number: usize, rank: usize| format!("127.78.{}.{}", number + 1, rank + 1);
    let ips: Vec<String> =
        (0..GROUPS).flat_map(|number| (0..RANKS).map(move |rank| ip(number, rank))).collect();
    let port = free_ports(&ips, 1).ok_or("no free port")?[0];
    let mut groups = Vec::new();
    let mut listings = Vec::new();
    let mut starting = Vec::new();
    for number in 0..GROUPS {
        let group = Group::new(&format!("g0-{number}"), seed + number as u64);
        let pids: Arc<Mutex<Vec<u32>>> = Arc::default();
        for rank in 0..RANKS {
            let ip = ip(number, rank);
            let listener = TcpListener::bind((ip.as_str(), 0))?;
            let address = listener.local_addr()?;
            let (engines, known) = (Arc::clone(&group), Arc::clone(&pids));
            serve_connections(listener, move |peer| {
                let pids = known.lock().expect("lock").clone();
                let caller = find_caller(peer, address, &pids);
                let engines = Arc::clone(&engines);
                move |request| engines.handle(rank, caller, &request)
            });
            let zone = ["a", "b", "c"][rank % 3];
            listings.push((
                format!("servers/i-{number}{rank}"),
                format!(
                    "{{\"service\":\"huvo{number}a\",\"addr\":\"{address}\",\
                     \"zone\":\"ga-central-{zone}\",\"version\":\"v1\",\"slots\":12,\
                     \"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"both\",\
                     \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                     \"born\":1770000000000"
                ),
            ));
            let settings = format!(
                "node=side-ga-central-{zone}-{number}{rank}\nrole=agent\nmachineClass=side\n\
                 serves=side\nip={ip}\nzone=ga-central-{zone}\nregion=ga-central\n\
                 zones.ga-central-a=ga-central\nzones.ga-central-b=ga-central\n\
                 zones.ga-central-c=ga-central\ninternalPortRange={port},{port}\nbootstrap=true\n\
                 limits.cpuShare=0.15\nlimits.cores=1\nlimits.memoryMb=128\nlimits.maxFds=2048\n\
                 limits.linkMbps=20.0\ndiscovery=platform\nentry=registry\nheartbeatMs=1200\n\
                 contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,\
                 experts\nbounds.stall_ms=1500\nbounds.fencingEnabled=false\napp={address}\n\
                 service=huvo{number}a\nplatform.addr={store_address}\nplatform.form=kv\n\
                 platform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\n\
                 platform.valueBytes=1048576\nplatform.ttlMinMs=1000\n"
            );
            let file = agents.folder.join(format!("agent-{number}-{rank}.conf"));
            std::fs::write(&file, settings)?;
            starting.push((file, Arc::clone(&pids)));
        }
        groups.push(group);
    }
    let beats = store.clone();
    std::thread::spawn(move || {
        for seq in 0..ROUND.as_secs() {
            for (key, value) in &listings {
                beats.put(key, &format!("{value},\"seq\":{seq}}}"));
            }
            sleep(Duration::from_millis(1_200));
        }
    });
    for (file, pids) in starting {
        let log = std::fs::File::create(file.with_extension("log"))?;
        let child = Command::new(&program)
            .arg("--platform")
            .env("FLAMINGOWHEEL_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        pids.lock().expect("lock").push(child.id());
        agents.children.push(child);
    }
    sleep(QUIET);
    let mut is_late = false;
    let mut changed_at = Instant::now();
    let mut mixed = None;
    while started.elapsed() < ROUND && mixed.is_none() {
        sleep(Duration::from_millis(20));
        let span = if is_late { LATE_SPAN } else { PAUSE };
        if is_disrupted && changed_at.elapsed() >= span {
            (is_late, changed_at) = (!is_late, Instant::now());
            let share = if is_late { LATE_SHARE } else { 0.0 };
            groups.iter().for_each(|group| group.set_late_share(share));
        }
        mixed = groups.iter().find_map(|group| group.mixed());
    }
    let mut lines: Vec<_> = groups.iter().flat_map(|group| group.take_lines()).collect();
    lines.sort_by_key(|(at, _)| *at);
    for (at, line) in lines {
        writeln!(record, "{:9.3} s  {line}", since(at))?;
    }
    let switches = groups.iter().map(|group| group.switches()).sum();
    for (number, group) in groups.iter().enumerate() {
        let (all, unanswered) = group.orders();
        writeln!(record, "group g0-{number}: at last {unanswered} of {all} orders got no answer")?;
    }
    let has_ended = |child: &mut Child| !matches!(child.try_wait(), Ok(None));
    let ended = agents.children.iter_mut().map(has_ended).filter(|ended| *ended).count();
    if ended > 0 {
        return Err(format!("{ended} agents have ended by themselves").into());
    }
    groups.iter().for_each(|group| group.stop());
    Ok((mixed, switches))
}

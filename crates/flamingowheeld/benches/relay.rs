//! Cost of relaying requests through an entry and an agent, compared with direct calls of the
//! engine.
//!
//! One thread runs an entry and two agents; the engines, the platform's stand-ins and the callers
//! run on others. Prints `name=value` lines. CPU time is that of the relaying threads alone.

#![allow(clippy::print_stdout, missing_docs, reason = "a program")]

use flamingowheel_backing::fake::{FakeKeyValue, FakeVmList};
use flamingowheel_backing::vm::{Vm, VmState};
use flamingowheel_config::apply::ApplyRequest;
use flamingowheel_config::change::Origin;
use flamingowheel_config::replica::Replica;
use flamingowheel_config::settings::Settings;
use flamingowheel_config::store::Store;
use flamingowheel_config::token::TokenHash;
use flamingowheel_daemon::agent::{AgentProcess, recorder};
use flamingowheel_daemon::demo::caller::Caller;
use flamingowheel_daemon::entry::EntryProcess;
use flamingowheel_standin::Connections;
use hdrhistogram::Histogram;
use http::Method;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const TOKEN: &str = "relay-bench-token";
const PATH: &str = "/v1/chat/completions";
const LATENCY_REQUESTS: usize = 4_000;
const LOAD_TIME: Duration = Duration::from_secs(3);
const LOAD_CALLERS: usize = 32;
const LONG_CHUNKS: u64 = 2_000;
const LONG_CALLERS: usize = 16;
/// Kernel ticks per second in `/proc/self/task/*/stat`.
const TICKS_PER_S: f64 = 100.0;

fn main() -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let (short, long) = (start_engine(1)?, start_engine(LONG_CHUNKS)?);
    let entry = start_relay(short, long)?;
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let callers = builder.thread_name("callers").worker_threads(4).enable_all().build()?;
    callers.block_on(measure(short, entry))
}

async fn measure(
    direct: SocketAddr,
    entry: SocketAddr,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let caller = Caller::new(TOKEN);
    latency(&caller, direct).await?;
    latency(&caller, entry).await?;
    let direct_latency = latency(&caller, direct).await?;
    let relayed_latency = latency(&caller, entry).await?;
    let added = |quantile: f64| {
        let in_ms = |h: &Histogram<u64>| h.value_at_quantile(quantile) as f64 / 1_000.0;
        in_ms(&relayed_latency) - in_ms(&direct_latency)
    };
    println!("direct_p50_ms={:.3}", direct_latency.value_at_quantile(0.5) as f64 / 1_000.0);
    println!("direct_p99_ms={:.3}", direct_latency.value_at_quantile(0.99) as f64 / 1_000.0);
    println!("added_p50_ms={:.3}", added(0.5));
    println!("added_p99_ms={:.3}", added(0.99));
    let short = load(&caller, entry, "short", LOAD_CALLERS).await?;
    println!("requests_per_s={:.0}", short.requests_per_s());
    println!("cpu_us_per_request={:.1}", short.cpu_s * 1e6 / short.requests as f64);
    println!("requests_per_core_s={:.0}", short.requests as f64 / short.cpu_s);
    let long = load(&caller, entry, "long", LONG_CALLERS).await?;
    let chunks = long.requests as f64 * (LONG_CHUNKS + 1) as f64;
    println!("chunks_per_s={:.0}", chunks / long.wall_s);
    println!("cpu_us_per_chunk={:.2}", long.cpu_s * 1e6 / chunks);
    println!("chunks_per_core_s={:.0}", chunks / long.cpu_s);
    Ok(())
}

async fn latency(
    caller: &Caller,
    address: SocketAddr,
) -> Result<Histogram<u64>, Box<dyn std::error::Error + Send + Sync>> {
    let mut histogram = Histogram::new(3)?;
    for _ in 0..LATENCY_REQUESTS {
        let began = Instant::now();
        call(caller, address, "short").await?;
        histogram.record(began.elapsed().as_micros() as u64)?;
    }
    Ok(histogram)
}

struct Load {
    requests: u64,
    wall_s: f64,
    cpu_s: f64,
}

impl Load {
    fn requests_per_s(&self) -> f64 {
        self.requests as f64 / self.wall_s
    }
}

async fn load(
    caller: &Caller,
    entry: SocketAddr,
    model: &'static str,
    callers: usize,
) -> Result<Load, Box<dyn std::error::Error + Send + Sync>> {
    let (began, cpu_before) = (Instant::now(), relay_cpu_s()?);
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            let caller = caller.clone();
            tokio::spawn(async move {
                let mut done = 0;
                while began.elapsed() < LOAD_TIME && call(&caller, entry, model).await.is_ok() {
                    done += 1;
                }
                done
            })
        })
        .collect();
    let mut requests = 0;
    for task in tasks {
        requests += task.await?;
    }
    let cpu_s = relay_cpu_s()? - cpu_before;
    Ok(Load { requests, wall_s: began.elapsed().as_secs_f64(), cpu_s })
}

async fn call(
    caller: &Caller,
    address: SocketAddr,
    model: &str,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let body = format!("{{\"model\":\"{model}\",\"stream\":true,\"messages\":[]}}");
    let reply = caller.call(Method::POST, address, PATH, &[], body.into()).await?;
    if !reply.status.is_success() {
        return Err(reply.text().into());
    }
    Ok(())
}

/// CPU time of the relaying threads: traffic and control of the entry and the agents.
fn relay_cpu_s() -> Result<f64, Box<dyn std::error::Error + Send + Sync>> {
    let mut ticks = 0;
    for task in std::fs::read_dir("/proc/self/task")? {
        let stat = std::fs::read_to_string(task?.path().join("stat"))?;
        let Some((name, rest)) = stat.split_once(") ") else { continue };
        if !name.ends_with("(relay") && !name.ends_with("(control") {
            continue;
        }
        // utime and stime are fields 14 and 15, counted from 1.
        ticks +=
            rest.split(' ').skip(11).take(2).filter_map(|t| t.parse::<u64>().ok()).sum::<u64>();
    }
    Ok(ticks as f64 / TICKS_PER_S)
}

/// Starts an engine that answers with the given number of chunks on its own thread.
fn start_engine(chunks: u64) -> Result<SocketAddr, Box<dyn std::error::Error + Send + Sync>> {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::Builder::new().name("engine".to_owned()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async move {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            let (connections, stop) = (Connections::default(), CancellationToken::new());
            let _ = flamingowheel_standin::fast::serve(listener, chunks, connections, stop).await;
        });
    })?;
    Ok(receiver.recv()?)
}

/// Runs an entry and an agent for each engine on one thread; returns the entry's address.
fn start_relay(
    short: SocketAddr,
    long: SocketAddr,
) -> Result<SocketAddr, Box<dyn std::error::Error + Send + Sync>> {
    let platform = start_platform()?;
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::Builder::new().name("relay".to_owned()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async move {
            let mut agents = Vec::new();
            for (number, model, engine) in [(2, "short", short), (3, "long", long)] {
                let role = format!(
                    "role: agent\nagent: {{backend_server: \"{engine}\", kind: engine, \
                     model: {model}, group: {model}, rank: 0, ranks: 1, places: 64}}\n"
                );
                let settings = settings(&platform, model, ip(number), &role);
                let recorder = recorder(&settings).unwrap();
                agents.push(AgentProcess::start(&settings, recorder).await.unwrap());
            }
            let settings = settings(&platform, "entry", ip(1), "role: entry\n");
            let recorder = recorder(&settings).unwrap();
            let entry = EntryProcess::start(&settings, recorder).await.unwrap();
            let is_ready = || {
                entry.agents().connected().len() == 2
                    && entry.state().effective.load().workspace("bench").is_some()
            };
            while !is_ready() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            sender.send(entry.callers).unwrap();
            std::future::pending::<()>().await;
        });
    })?;
    Ok(receiver.recv()?)
}

struct Platform {
    key_value: SocketAddr,
    vms: SocketAddr,
    inner_port: u16,
}

fn start_platform() -> Result<Platform, Box<dyn std::error::Error + Send + Sync>> {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::Builder::new().name("platform".to_owned()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async move {
            let bind = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
            let (kv, vms) = (bind().await.unwrap(), bind().await.unwrap());
            let inner_port = bind().await.unwrap().local_addr().unwrap().port();
            let (key_value, vms_address) = (kv.local_addr().unwrap(), vms.local_addr().unwrap());
            let (fake, list) = (FakeKeyValue::new(), FakeVmList::new(vm_list()));
            apply(&fake).await;
            let stop = CancellationToken::new();
            let connections = Connections::default();
            let kv = flamingowheel_standin::kv::serve(kv, fake, connections.clone(), stop.clone());
            let vms = flamingowheel_standin::vms::serve(vms, list, connections, stop);
            sender.send(Platform { key_value, vms: vms_address, inner_port }).unwrap();
            let _ = tokio::join!(kv, vms);
        });
    })?;
    Ok(receiver.recv()?)
}

async fn apply(kv: &FakeKeyValue) {
    let text = format!(
        "kind: template\nname: bench\nparameters: {{models: {{short: {{}}, long: {{}}}}}}\n---\n\
         kind: workspace\nname: bench\ntemplate: bench\ntoken_sha256: [{}]\n",
        TokenHash::of(TOKEN.as_bytes())
    );
    let request = ApplyRequest {
        uuid: uuid::Uuid::now_v7(),
        origin: Origin { operator: "bench".to_owned(), at_unix_ms: 0, comment: String::new() },
        edits: flamingowheel_config::document::parse(&text).unwrap(),
        seen: Default::default(),
    };
    let store = Store::new(Arc::new(kv.clone()));
    store.apply(&mut Replica::default(), &request).await.unwrap();
}

fn vm_list() -> Vec<Vm> {
    let vm = |number| Vm {
        name: format!("vm-{number}"),
        ip: ip(number),
        data_centre: "bench".to_owned(),
        state: VmState::Live,
    };
    (1..=3).map(vm).collect()
}

fn ip(number: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 3, number).into()
}

fn settings(platform: &Platform, name: &str, ip: IpAddr, role: &str) -> Settings {
    let Platform { key_value, vms, inner_port } = platform;
    let text = format!(
        "name: {name}\nvm: vm-{name}\ndata_centre: bench\nregion: bench\n\
         listen: {{callers: \"{ip}:0\", inner: \"{ip}:{inner_port}\", operators: \"{ip}:0\"}}\n\
         key_value: {{addresses: [\"{key_value}\"]}}\nvm_list: {{address: \"{vms}\"}}\n\
         fleet_key: {{inline: bench-fleet-key-of-32-characters}}\n\
         operators_token: {{inline: bench-operators-token}}\n{role}"
    );
    let text = match name {
        "entry" => text,
        _ => text.replace(&format!("callers: \"{ip}:0\", "), ""),
    };
    Settings::parse(&text, Path::new("bench.yaml")).unwrap()
}

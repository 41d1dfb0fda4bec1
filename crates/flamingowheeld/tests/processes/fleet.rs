//! A fleet of real daemon processes on loopback, with stand-ins in the test's process.

use flamingowheel_backing::fake::engine::EngineSettings;
use flamingowheel_backing::fake::{FakeEngine, FakeKeyValue, FakeService, FakeVmList};
use flamingowheel_backing::vm::{Vm, VmState};
use flamingowheel_config::api::{ProcessState, StatusAnswer};
use flamingowheel_config::token::TokenHash;
use flamingowheel_daemon::demo;
use flamingowheel_daemon::demo::caller::{Caller, Reply};
use flamingowheel_entry::http::tickets::IssuedTicket;
use flamingowheel_standin::{Connections, engine, kv, service, vms};
use http::Method;
use rustix::process::{Pid, Signal, kill_process};
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Timeout of every wait; generous, for busy machines.
pub const TIMEOUT: Duration = Duration::from_secs(60);

pub const WORKSPACE: &str = "peachline";
pub const MODEL: &str = "notes";
pub const SERVICE: &str = "orders";
pub const ENTRIES: u8 = 2;
pub const SERVERS: u8 = 2;

const TOKEN: &str = "peachline-token";
const OPERATORS_TOKEN: &str = "operators-token-of-the-test";
const TOKEN_DELAY: Duration = Duration::from_millis(20);

// Below the kernel's range of ephemeral ports.
const INNER_PORT: u16 = 17_400;
const CALLERS_PORT: u16 = 17_401;
const OPERATORS_PORT: u16 = 17_402;

/// One daemon process, with its log; killed when dropped.
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    fn start(settings: &PathBuf) -> Self {
        let log = settings.with_extension("log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_flamingowheeld"));
        command.arg("--settings").arg(settings).stdout(Stdio::null());
        command.stderr(fs::File::create(&log).unwrap());
        Self { child: command.spawn().unwrap(), log }
    }

    /// The lines that the process has logged so far about an event.
    pub fn logged(&self, event: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap();
        let event = format!("\"event\":\"{event}\"");
        log.lines().filter(|line| line.contains(&event)).map(str::to_owned).collect()
    }

    /// Kills the process, which loses all its state.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).unwrap()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        let waiting = async {
            loop {
                match self.child.try_wait().unwrap() {
                    Some(status) => return status,
                    None => sleep(Duration::from_millis(10)).await,
                }
            }
        };
        timeout(TIMEOUT, waiting).await.expect("the process ends")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Two entries, and agents beside two engines and two plain services.
pub struct Fleet {
    pub entries: Vec<Process>,
    /// Agents beside the engines.
    pub engine_agents: Vec<Process>,
    /// Agents beside the services.
    pub service_agents: Vec<Process>,
    pub engines: Vec<FakeEngine>,
    pub services: Vec<FakeService>,
    pub caller: Caller,
    network: u8,
    directory: PathBuf,
    pub key_value: FakeKeyValue,
    key_value_address: SocketAddr,
    vm_list: SocketAddr,
    _stop: DropGuard,
}

impl Fleet {
    /// Starts every process and waits until every entry can serve. `network` must be unique for
    /// each fleet of a test program, as it selects the fleet's IPs.
    pub async fn start(network: u8) -> Self {
        let stop = CancellationToken::new();
        let (key_value, vm_list) = (listener().await, listener().await);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("fleet-{}-{network}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let mut fleet = Self {
            entries: Vec::new(),
            engine_agents: Vec::new(),
            service_agents: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            caller: Caller::new(TOKEN),
            network,
            directory,
            key_value: FakeKeyValue::new(),
            key_value_address: key_value.local_addr().unwrap(),
            vm_list: vm_list.local_addr().unwrap(),
            _stop: stop.clone().drop_guard(),
        };
        let (fake, list) = (fleet.key_value.clone(), FakeVmList::new(fleet.vms()));
        tokio::spawn(kv::serve(key_value, fake, Connections::default(), stop.clone()));
        tokio::spawn(vms::serve(vm_list, list, Connections::default(), stop.clone()));
        let documents = documents(TOKEN);
        demo::apply(fleet.key_value_address, &documents, Default::default()).await.unwrap();
        fleet.start_agents(&stop).await;
        for number in 0..ENTRIES {
            let entry = fleet.start_entry(number);
            fleet.entries.push(entry);
        }
        for number in 0..ENTRIES {
            fleet.wait_ready(number).await;
        }
        fleet
    }

    /// Takes the callers' token away.
    pub async fn withdraw_token(&self) {
        let seen = self.wait_ready(0).await.revision;
        demo::apply(self.key_value_address, &documents("another-token"), seen).await.unwrap();
    }

    async fn start_agents(&mut self, stop: &CancellationToken) {
        for number in 0..SERVERS {
            let settings = EngineSettings { token_delay: TOKEN_DELAY, ..EngineSettings::default() };
            let fake = FakeEngine::new(u64::from(number), settings);
            let socket = listener().await;
            let role = format!(
                "agent: {{backend_server: \"{}\", kind: engine, model: {MODEL}, group: g{number}, \
                 rank: 0, ranks: 1}}",
                socket.local_addr().unwrap()
            );
            let links = Connections::default();
            tokio::spawn(engine::serve(socket, fake.clone(), links, stop.clone()));
            self.engines.push(fake);
            let agent = self.start_process(ENTRIES + number, "agent", &role);
            self.engine_agents.push(agent);
        }
        for number in 0..SERVERS {
            let fake = FakeService::new(u64::from(number));
            let socket = listener().await;
            let role = format!(
                "agent: {{backend_server: \"{}\", kind: service, service: {SERVICE}}}",
                socket.local_addr().unwrap()
            );
            let links = Connections::default();
            tokio::spawn(service::serve(socket, fake.clone(), links, stop.clone()));
            self.services.push(fake);
            let agent = self.start_process(ENTRIES + SERVERS + number, "agent", &role);
            self.service_agents.push(agent);
        }
    }

    fn start_process(&self, number: u8, role: &str, role_settings: &str) -> Process {
        let ip = self.ip(number);
        let callers = match role {
            "entry" => format!("callers: \"{ip}:{CALLERS_PORT}\", "),
            _ => String::new(),
        };
        let peers = (0..ENTRIES).map(|n| format!("\"{}:{INNER_PORT}\"", self.ip(n)));
        let text = format!(
            "name: process-{number}\nvm: vm-{number}\ndata_centre: ga-central-a\n\
             region: ga-central\nrole: {role}\npeers: [{peers}]\n\
             listen: {{{callers}inner: \"{ip}:{INNER_PORT}\", operators: \"{ip}:{OPERATORS_PORT}\"}}\n\
             key_value: {{addresses: [\"{}\"]}}\nvm_list: {{address: \"{}\"}}\n\
             fleet_key: {{inline: a-fleet-key-of-32-characters-long}}\n\
             operators_token: {{inline: {OPERATORS_TOKEN}}}\n{role_settings}\n",
            self.key_value_address,
            self.vm_list,
            peers = peers.collect::<Vec<_>>().join(", "),
        );
        let file = self.directory.join(format!("{number}.yaml"));
        fs::write(&file, text).unwrap();
        Process::start(&file)
    }

    /// The IP is derived from the process id, so that test programs that run at the same time don't
    /// use the same addresses.
    fn ip(&self, number: u8) -> IpAddr {
        let id = std::process::id();
        let (high, low) = ((id >> 8) % 100, id % 256);
        Ipv4Addr::new(127, 100 + high as u8, low as u8, self.network * 16 + number + 1).into()
    }

    fn vms(&self) -> Vec<Vm> {
        let vm = |number| Vm {
            name: format!("vm-{number}"),
            ip: self.ip(number),
            data_centre: "ga-central-a".to_owned(),
            state: VmState::Live,
        };
        (0..ENTRIES + 2 * SERVERS).map(vm).collect()
    }

    fn start_entry(&self, number: u8) -> Process {
        self.start_process(number, "entry", "entry: {address_ttl_s: 1}")
    }

    /// Kills an entry and starts a new process in its place.
    pub fn replace_entry(&mut self, number: u8) {
        self.entries[usize::from(number)].kill();
        self.entries[usize::from(number)] = self.start_entry(number);
    }

    /// Replaces an entry by one that waits for its last requests for a short time only.
    pub fn replace_entry_impatient(&mut self, number: u8) {
        self.entries[usize::from(number)].kill();
        let settings = "drain_deadline_ms: 1\nentry: {address_ttl_s: 1}";
        self.entries[usize::from(number)] = self.start_process(number, "entry", settings);
    }

    /// Waits until an entry has a configuration in force and reports every process as live.
    pub async fn wait_ready(&self, number: u8) -> StatusAnswer {
        let mut found = None;
        wait_until("the entry serves", async || {
            found = self.status(number).await.filter(|status| {
                let live = status.processes.iter().filter(|p| p.state == ProcessState::Live);
                status.revision.0 > 0 && live.count() == usize::from(ENTRIES + 2 * SERVERS)
            });
            found.is_some()
        })
        .await;
        found.unwrap()
    }

    async fn status(&self, number: u8) -> Option<StatusAnswer> {
        let operator = Caller::new(OPERATORS_TOKEN);
        let address = SocketAddr::new(self.ip(number), OPERATORS_PORT);
        let path = "/v1/status";
        let reply = operator.call(Method::GET, address, path, &[], Default::default()).await;
        serde_json::from_slice(&reply.ok()?.body).ok()
    }

    /// Where callers reach an entry.
    pub fn entry(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(number), CALLERS_PORT)
    }

    /// Submits a work order and reads its answer to the end.
    pub async fn submit_order(&self, entry: u8, order: &str, headers: &[(&str, &str)]) -> Reply {
        let path = format!("/v1/services/{SERVICE}/orders");
        let body = order.to_owned().into();
        let sent = self.caller.call(Method::POST, self.entry(entry), &path, headers, body);
        timeout(TIMEOUT, sent).await.expect("an answer in time").unwrap()
    }

    /// Requests a ticket for one work order.
    pub async fn request_ticket(&self, entry: u8) -> String {
        let path = format!("/v1/tickets?service={SERVICE}");
        let address = self.entry(entry);
        let request = self.caller.call(Method::POST, address, &path, &[], Default::default());
        let reply = timeout(TIMEOUT, request).await.expect("an answer in time").unwrap();
        let issued: IssuedTicket = serde_json::from_slice(&reply.body).unwrap();
        issued.ticket
    }

    /// How often a work order was executed.
    pub fn executions(&self, order: &str) -> u32 {
        self.services.iter().map(|service| service.executions(order.as_bytes())).sum()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Polls a condition until it holds; fails with `what` after [`TIMEOUT`].
pub async fn wait_until<Holds>(what: &str, mut holds: Holds)
where
    Holds: AsyncFnMut() -> bool,
{
    let waiting = async {
        while !holds().await {
            sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(timeout(TIMEOUT, waiting).await.is_ok(), "{what}");
}

async fn listener() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap()
}

fn documents(token: &str) -> String {
    format!(
        "kind: template\nname: callbox\nparameters:\n  models:\n    {MODEL}: {{}}\n  services:\n    \
         {SERVICE}:\n      routes:\n        - {{method: POST, path_prefix: /orders, \
         idempotent: false}}\n---\nkind: workspace\nname: {WORKSPACE}\ntemplate: callbox\n\
         token_sha256: [{}]\n",
        TokenHash::of(token.as_bytes())
    )
}

//! Starts the project's programs as the deploy file says, and ends them.

use crate::record::Record;
use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Region and zones of the deployment.
pub const REGION: &str = "r";
pub const ZONE: &str = "r-a";

/// What the settings of all processes share.
const COMMON: &str = "zones.r-a=r\nbootstrap=true\ncountsAsLoss=false\nlimits.cores=1\n\
    limits.diskMb=0\ndiscovery=platform\nentry=registry\nheartbeatMs=1200\n\
    contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,experts\n\
    bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.stabilityWindowMs=3000\nbounds.ackMs=4000\n\
    bounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
    bounds.configMs=2000\nbounds.rollbackSlackMs=250\nbounds.outerMs=5000\n\
    bounds.strictRevoke=false\nbounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\n\
    bounds.budgetWindowS=10\nbounds.retryBudgetSlack=88\nbounds.recoverS=12\nbounds.passMs=120\n\
    bounds.retryAfterS=0\nbounds.stall_ms=1500\nbounds.fencingEnabled=false\n\
    bounds.ttl_max_s=5\nplatform.form=kv\nplatform.writesPerS=400\nplatform.readsPerS=2000\n\
    platform.historyS=20\nplatform.valueBytes=1048576\nplatform.ttlMinMs=1000\n";

/// A process of the project.
pub struct Process {
    name: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Process {
    /// Starts the program of the deploy file with the settings.
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/flamingowheeld")
            .arg("--platform")
            .env("FLAMINGOWHEEL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("{} starts", self.name));
        self.child = Some(child);
        Ok(())
    }

    /// The process's id; 0 while it does not run.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Ends the process with SIGKILL and waits until it is gone.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{} killed", self.name));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Addresses of a deployment on loopback, with the same ports on all machines.
pub struct Addresses {
    network: u8,
    low: u16,
}

/// Ports of an entry beyond the two for processes among themselves.
const CALLERS: u16 = 2;
const READY: u16 = 3;
const DIRECTORY: u16 = 4;
const APP: u16 = 5;

impl Addresses {
    /// Finds ports that are free at `machines` loopback addresses.
    pub fn find(machines: u8) -> io::Result<Self> {
        let network = 64 + (std::process::id() % 128) as u8;
        for attempt in 0..200 {
            let low = 12_000 + ((std::process::id() * 31 + attempt * 97) % 18_000) as u16;
            let found = Self { network, low };
            if (1..=machines).all(|machine| found.is_free(machine)) {
                return Ok(found);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    fn is_free(&self, machine: u8) -> bool {
        (0..=APP).all(|port| {
            let address = self.at(machine, port);
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        })
    }

    fn ip(&self, machine: u8) -> IpAddr {
        Ipv4Addr::new(127, self.network, 0, machine).into()
    }

    fn at(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(machine), self.low + port)
    }

    /// The address of an entry for callers.
    pub fn callers(&self, machine: u8) -> SocketAddr {
        self.at(machine, CALLERS)
    }

    /// The address of an entry for readiness checks.
    pub fn ready(&self, machine: u8) -> SocketAddr {
        self.at(machine, READY)
    }

    /// The address of the runner on a machine.
    pub fn app(&self, machine: u8) -> SocketAddr {
        self.at(machine, APP)
    }

    /// Prepares an entry on a machine.
    pub fn entry(
        &self,
        machine: u8,
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> io::Result<Process> {
        let own = format!(
            "machineClass=edge\nrole=entry\nserves=edge,registry\nlisten.front={}\n\
             listen.ready={}\nlisten.directory={}\nlimits.cpuShare=0.25\nlimits.memoryMb=260\n\
             limits.maxFds=4200\nlimits.linkMbps=1000.0\n",
            self.callers(machine),
            self.ready(machine),
            self.at(machine, DIRECTORY)
        );
        self.process(&format!("entry-{machine}"), machine, store, &own, folder, record)
    }

    /// Prepares the agent beside the runner of `service` on a machine.
    pub fn agent(
        &self,
        machine: u8,
        service: &str,
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> io::Result<Process> {
        let own = format!(
            "machineClass=side\nrole=agent\nserves=side\napp={}\nservice={service}\n\
             limits.cpuShare=0.15\nlimits.memoryMb=128\nlimits.maxFds=2048\nlimits.linkMbps=20.0\n",
            self.app(machine)
        );
        self.process(&format!("agent-{machine}"), machine, store, &own, folder, record)
    }

    fn process(
        &self,
        name: &str,
        machine: u8,
        store: SocketAddr,
        own: &str,
        folder: &Path,
        record: &Record,
    ) -> io::Result<Process> {
        let text = format!(
            "node={name}\nip={}\nzone={ZONE}\nregion={REGION}\ninternalPortRange={},{}\n\
             platform.addr={store}\n{COMMON}{own}",
            self.ip(machine),
            self.low,
            self.low + 1
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let (name, record) = (name.to_owned(), record.clone());
        Ok(Process { name, settings, log, child: None, record })
    }
}

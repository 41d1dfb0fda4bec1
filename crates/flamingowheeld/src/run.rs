//! Runs what the command line asks for.

use crate::exit::Exit;
use eyre::Result;
use flamingowheel_config::settings::{Role, Settings, SettingsError};
use flamingowheel_daemon::agent::{AgentProcess, recorder};
use flamingowheel_daemon::demo;
use flamingowheel_daemon::entry::EntryProcess;
use flamingowheel_daemon::listen::StartError;
use flamingowheel_observe::logs;
use std::path::Path;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Checks a settings file.
pub fn check(file: &Path) -> Result<Exit> {
    Settings::load(file)?;
    println!("{}: accepted", file.display());
    Ok(Exit::Success)
}

/// Runs the role that a settings file names, until told to leave.
pub fn role(file: &Path) -> Result<Exit> {
    let settings = Settings::load(file)?;
    let recorder = recorder(&settings)?;
    logs::init(recorder.process().clone(), settings.log_level.as_str())?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut signals = Signals::new()?;
        let deadline = drain_deadline(&settings);
        match settings.role {
            Role::Entry(_) => {
                let entry = EntryProcess::start(&settings, recorder).await?;
                signals.next().await;
                let hurry = CancellationToken::new();
                let leaving = entry.leave(hurry.clone(), deadline);
                signals.until_done(leaving, &hurry).await
            }
            Role::Agent(_) => {
                let mut agent = AgentProcess::start(&settings, recorder).await?;
                signals.next().await;
                let leaving = agent.leave(deadline);
                signals.until_done(leaving, &CancellationToken::new()).await
            }
        }
    })
}

/// Runs on the platform: as entry where callers connect, as agent beside a backend server.
pub fn on_platform() -> Result<Exit> {
    let settings = flamingowheel_platform::settings::load()?;
    // Without a handler the signal that announces changed settings would end the process.
    let reload = {
        let settings = settings.clone();
        move || reload(&settings)
    };
    logs::init_stdout(&settings.vm, &settings.data_centre)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let exit = runtime.block_on(async {
        let mut signals = Signals::new()?;
        tokio::spawn(on_each_hangup(signal(SignalKind::hangup())?, reload));
        tracing::info!(version = env!("CARGO_PKG_VERSION"), "started");
        if settings.callers.is_some() {
            flamingowheel_gateway::process::run(&settings, signals.next()).await?;
        } else {
            flamingowheel_ranks::process::run(&settings, signals.next()).await?;
        }
        tracing::info!("stopped");
        Ok(Exit::Success)
    });
    // Dropped, the runtime would wait for the traffic threads, which end with their last request: the
    // process would outlive its grace time, be killed, and leave no word of what it cut off.
    runtime.shutdown_background();
    exit
}

async fn on_each_hangup<F>(mut hangup: Signal, reload: F)
where
    F: Fn(),
{
    while hangup.recv().await.is_some() {
        reload();
    }
}

/// Reads the settings again and tells what became of it. Addresses and limits hold from a process's
/// start to its end; the platform restarts a process whose addresses change.
fn reload(in_force: &flamingowheel_fleet::ProcessSettings) {
    match flamingowheel_platform::settings::load() {
        Ok(settings) if settings == *in_force => tracing::info!("settings read again: unchanged"),
        Ok(_) => tracing::warn!("settings read again: changes take hold at the next start"),
        Err(error) => tracing::error!(%error, "settings can't be read; the last ones stay"),
    }
}

/// Runs the demo.
pub fn demo(once: bool, lose_agent: bool) -> Result<Exit> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut fleet = demo::Fleet::start().await?;
        if once {
            let shown = demo::once::run(&fleet).await?;
            fleet.leave().await;
            return Ok(if shown { Exit::Success } else { Exit::DemoFailed });
        }
        print!("{}", fleet.guide());
        let lost = async {
            if lose_agent {
                println!("The agent of the first work order will die while the order runs.\n");
                let name = fleet.lose_agent().await;
                println!("agent {name} died while a work order ran");
            }
            std::future::pending::<()>().await;
        };
        let mut signals = Signals::new()?;
        tokio::select! {
            () = signals.next() => {}
            () = lost => {}
        }
        println!("leaving: streams in progress end first");
        fleet.leave().await;
        Ok(Exit::Success)
    })
}

/// The exit code that tells why a run failed.
pub fn exit_for(error: &eyre::Report) -> Exit {
    if error.downcast_ref::<SettingsError>().is_some()
        || error.downcast_ref::<flamingowheel_platform::SettingsError>().is_some()
    {
        return Exit::Settings;
    }
    match error.downcast_ref::<StartError>() {
        Some(StartError::Bind { .. }) => Exit::Address,
        _ => Exit::Failure,
    }
}

/// None waits for everything, however long.
fn drain_deadline(settings: &Settings) -> Option<Duration> {
    (settings.drain_deadline_ms > 0).then(|| Duration::from_millis(settings.drain_deadline_ms))
}

/// Termination signals.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Waits for the leave. A second signal hurries it, a third ends the process.
    async fn until_done<F>(&mut self, leaving: F, hurry: &CancellationToken) -> Result<Exit>
    where
        F: Future<Output = ()>,
    {
        tokio::pin!(leaving);
        tokio::select! {
            () = &mut leaving => return Ok(Exit::Success),
            () = self.next() => hurry.cancel(),
        }
        tokio::select! {
            () = &mut leaving => Ok(Exit::Success),
            () = self.next() => Ok(Exit::Failure),
        }
    }
}

//! Runs the commands of the command line.

use crate::exit::Exit;
use eyre::Result;
use flamingowheel_config::settings::{Role, Settings, SettingsError};
use flamingowheel_daemon::agent::{AgentProcess, recorder};
use flamingowheel_daemon::demo;
use flamingowheel_daemon::entry::EntryProcess;
use flamingowheel_daemon::listen::StartError;
use flamingowheel_observe::logs;
use flamingowheel_observe::output::NonBlockingOutput;
use std::path::Path;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Longest wait at exit for the reader of the logs; the grace period must not end meanwhile.
const LOG_FLUSH_LIMIT: Duration = Duration::from_millis(100);

/// Validates a settings file.
pub fn check(file: &Path) -> Result<Exit> {
    Settings::load(file)?;
    println!("{}: accepted", file.display());
    Ok(Exit::Success)
}

/// Runs the entry or agent that a settings file describes until a termination signal arrives, then
/// drains it.
pub fn role(file: &Path) -> Result<Exit> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let (mut signals, hangup) = (Signals::new()?, signal(SignalKind::hangup())?);
        let settings = Settings::load(file)?;
        let recorder = recorder(&settings)?;
        logs::init(recorder.process().clone(), settings.log_level.as_str())?;
        let (current, file) = (settings.clone(), file.to_owned());
        tokio::spawn(reload_on_hangup(hangup, current, move || Settings::load(&file)));
        let deadline = drain_deadline(&settings);
        match settings.role {
            Role::Entry(_) => {
                let entry = EntryProcess::start(&settings, recorder).await?;
                signals.next().await;
                let skip_ttl_wait = CancellationToken::new();
                let leaving = entry.leave(skip_ttl_wait.clone(), deadline);
                signals.until_done(leaving, &skip_ttl_wait).await
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

/// Runs with the platform's settings: as entry if they have an address for callers, otherwise as
/// agent beside a backend server.
pub fn on_platform() -> Result<Exit> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut output = None;
    let exit = runtime.block_on(run_on_platform(&mut output));
    // Dropping the runtime would wait for the traffic threads, which end with the last request.
    // The process would exceed its grace time and be killed.
    runtime.shutdown_background();
    if let Err(error) = &exit {
        tracing::error!(error = format!("{error:#}"), "ended by an error");
    }
    if let Some(Err(error)) = output.map(|output| output.flush(LOG_FLUSH_LIMIT)) {
        eprintln!("flamingowheeld: last log lines are missing: {error}");
    }
    exit
}

/// Runs until a termination signal arrives. `output` is set to that of the logs once there is one.
async fn run_on_platform(output: &mut Option<NonBlockingOutput>) -> Result<Exit> {
    let (mut signals, hangup) = (Signals::new()?, signal(SignalKind::hangup())?);
    let settings = flamingowheel_platform::settings::load()?;
    *output = Some(logs::init_stdout(&settings.vm, &settings.data_centre)?);
    let reload = flamingowheel_platform::settings::load;
    tokio::spawn(reload_on_hangup(hangup, settings.clone(), reload));
    tracing::info!(version = env!("CARGO_PKG_VERSION"), "started");
    if settings.callers.is_some() {
        flamingowheel_gateway::process::run(&settings, signals.next()).await?;
    } else {
        flamingowheel_ranks::process::run(&settings, signals.next()).await?;
    }
    tracing::info!("stopped");
    Ok(Exit::Success)
}

/// Reads the settings again at each hangup signal and logs whether they changed. Changes apply at
/// the next start only: addresses and limits are fixed for a process's lifetime.
async fn reload_on_hangup<Loaded, Load, Error>(mut hangup: Signal, current: Loaded, load: Load)
where
    Loaded: PartialEq,
    Load: Fn() -> Result<Loaded, Error>,
    Error: std::fmt::Display,
{
    while hangup.recv().await.is_some() {
        match load() {
            Ok(settings) if settings == current => tracing::info!("settings read again: unchanged"),
            Ok(_) => tracing::warn!("settings read again: changes apply at the next start"),
            Err(error) => {
                tracing::error!(%error, "settings can't be read; the current ones stay in force")
            }
        }
    }
}

/// Runs the demo fleet, or with `once` only its checks.
pub fn demo(once: bool, lose_agent: bool) -> Result<Exit> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut fleet = demo::Fleet::start().await?;
        if once {
            let passed = demo::once::run(&fleet).await?;
            fleet.leave().await;
            return Ok(if passed { Exit::Success } else { Exit::DemoFailed });
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

/// The exit code for an error that ended a run.
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

/// How long a leaving process may drain. A setting of 0 means no limit, `None`.
fn drain_deadline(settings: &Settings) -> Option<Duration> {
    (settings.drain_deadline_ms > 0).then(|| Duration::from_millis(settings.drain_deadline_ms))
}

/// Receives SIGTERM and SIGINT. Created before the settings are read: until then these signals end
/// the process.
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

    /// Waits until `leaving` is done. One more signal cancels `skip_ttl_wait`, the next one ends
    /// the wait.
    async fn until_done<F>(&mut self, leaving: F, skip_ttl_wait: &CancellationToken) -> Result<Exit>
    where
        F: Future<Output = ()>,
    {
        tokio::pin!(leaving);
        tokio::select! {
            () = &mut leaving => return Ok(Exit::Success),
            () = self.next() => skip_ttl_wait.cancel(),
        }
        tokio::select! {
            () = &mut leaving => Ok(Exit::Success),
            () = self.next() => Ok(Exit::Failure),
        }
    }
}

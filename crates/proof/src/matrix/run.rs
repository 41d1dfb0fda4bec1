//! Runs one cell of the matrix.

use crate::caller::CallOutcome;
use crate::configuration::ConfigViolation;
use crate::entry::MODEL;
use crate::fuzz::paused_runtime;
use crate::group::GroupViolation;
use crate::matrix::{Cell, Fault, Outcome, Step, cell, control, load};
use crate::network::{Direction, MessageFault};
use crate::oracle::{Kind, Violation};
use crate::servers::Size;
use crate::world::{RESTART_TIME, World};
use bytes::Bytes;
use flamingowheel_backing::fake::LostAnswer;
use flamingowheel_group::gate::EngineKind;
use std::time::Duration;
use tokio::time::sleep;

/// How long a pause or an outage lasts; longer than every lease and time limit of the request path.
pub(super) const OUTAGE_TIME: Duration = Duration::from_secs(15);
/// Later than every time limit of the request path.
const LATE: Duration = Duration::from_secs(12);
/// How long callers wait for their answer to begin.
const TIMEOUT_MS: u64 = 9_000;
/// Time a service takes for a call; it is carried out half-way.
const SERVICE_TIME: Duration = Duration::from_millis(1_000);
/// Tokens of a completion, 50 ms apart.
const TOKENS: u64 = 40;
/// Time between two faults that meet.
pub(super) const PAIR_TIME: Duration = Duration::from_millis(100);
/// Delay of a slow key-value service.
pub(super) const KEY_VALUE_DELAY: Duration = Duration::from_secs(2);

/// What a run showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observed {
    /// What the call that was hit was told.
    pub first: Outcome,
    /// What a resend through another entry was told, where the caller can send it again.
    pub resend: Option<Outcome>,
}

/// A promise that holds in every cell and was broken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvariantViolation {
    /// About requests.
    #[error(transparent)]
    Request(#[from] Violation),
    /// About the configuration.
    #[error(transparent)]
    Configuration(#[from] ConfigViolation),
    /// About groups.
    #[error(transparent)]
    Group(#[from] GroupViolation),
}

/// How a cell failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CellFailure {
    /// A promise that holds in every cell was broken.
    #[error("{step:?}, {fault:?}: {violation}")]
    InvariantViolated {
        /// The step.
        step: Step,
        /// The fault.
        fault: Fault,
        /// Which promise.
        violation: InvariantViolation,
    },
    /// Callers were told something else than the cell promises.
    #[error("{step:?}, {fault:?}: observed {observed:?}, expected {expected:?}")]
    UnexpectedOutcome {
        /// The step.
        step: Step,
        /// The fault.
        fault: Fault,
        /// What they were told.
        observed: Observed,
        /// What was promised.
        expected: Observed,
    },
}

/// Runs a cell under a paused clock of its own and compares it with its promise.
pub fn check(step: Step, fault: Fault) -> Result<(), CellFailure> {
    let Cell::Runs(expected) = cell(step, fault) else { return Ok(()) };
    let observed = paused_runtime()
        .block_on(run(step, fault))
        .map_err(|violation| CellFailure::InvariantViolated { step, fault, violation })?;
    match observed == expected {
        true => Ok(()),
        false => Err(CellFailure::UnexpectedOutcome { step, fault, observed, expected }),
    }
}

/// Runs two faults that meet under a paused clock of their own.
pub fn check_pair(step: Step, first: Fault, second: Fault) -> Result<(), InvariantViolation> {
    paused_runtime().block_on(run_pair(step, first, second))
}

/// Runs a cell. The oracle's checks hold in every cell; what callers are told is compared with the
/// cell's promise by the caller of this.
pub async fn run(step: Step, fault: Fault) -> Result<Observed, InvariantViolation> {
    match run_elsewhere(step, &[fault]).await {
        Some(observed) => observed,
        None => Ok(run_request(step, fault).await?),
    }
}

/// Runs a step with two faults, the second moments after the first. Only what holds in every cell
/// is checked.
pub async fn run_pair(step: Step, first: Fault, second: Fault) -> Result<(), InvariantViolation> {
    match run_elsewhere(step, &[first, second]).await {
        Some(observed) => observed.map(drop),
        None => Ok(run_request_pair(step, first, second).await?),
    }
}

/// Runs what is not a step of a request.
async fn run_elsewhere(
    step: Step,
    faults: &[Fault],
) -> Option<Result<Observed, InvariantViolation>> {
    let observed = match step {
        Step::ConfigurationWritten | Step::ConfigurationSpreading => {
            return Some(control::change(step, faults).await.map_err(InvariantViolation::from));
        }
        Step::MapStaged | Step::MapHeld | Step::MapSwitched => control::switch(step, faults).await,
        Step::ModelLoaded => load::load(EngineKind::ChecksFence, faults).await,
        Step::ModelLoadedUnfenced => load::load(EngineKind::IgnoresFence, faults).await,
        _ => return None,
    };
    Some(observed.map_err(InvariantViolation::from))
}

async fn run_request_pair(step: Step, first: Fault, second: Fault) -> Result<(), Violation> {
    let mut scene = Scene::set(step, small(step)).await;
    scene.second = Some(second);
    scene.play(step, first).await;
    scene.world.check()?;
    scene.world.settle().await
}

async fn run_request(step: Step, fault: Fault) -> Result<Observed, Violation> {
    let mut scene = Scene::set(step, Size::default()).await;
    scene.play(step, fault).await;
    scene.world.check()?;
    scene.world.settle().await?;
    Ok(scene.observed(step))
}

/// The backend servers that a step needs, so that the many pairs take less time.
fn small(step: Step) -> Size {
    match is_chat(step) {
        true => Size { services: 0, engines: 2 },
        false => Size { services: 2, engines: 0 },
    }
}

fn is_chat(step: Step) -> bool {
    matches!(step, Step::ChatDispatched | Step::ChatStreaming | Step::ChatEnding | Step::LeaveTold)
}

struct Scene {
    step: Step,
    size: Size,
    world: World,
    body: Bytes,
    work: Option<usize>,
    second: Option<Fault>,
}

impl Scene {
    async fn set(step: Step, size: Size) -> Self {
        let world = World::start_sized(None, size).await;
        let body = if is_chat(step) { chat_body() } else { Bytes::from_static(b"work 1") };
        for service in &world.servers.services {
            service.set_delay(SERVICE_TIME);
            service.set_silence_timeout(Duration::from_secs(3));
        }
        Self { step, size, world, body, work: None, second: None }
    }

    async fn play(&mut self, step: Step, fault: Fault) {
        match step {
            Step::ChatDispatched => self.hit_after(Kind::Chat, fault, Duration::ZERO).await,
            Step::ChatStreaming => {
                self.hit_after(Kind::Chat, fault, Duration::from_millis(1_010)).await;
            }
            Step::ChatEnding => {
                self.hit_after(Kind::Chat, fault, Duration::from_millis(1_999)).await;
            }
            Step::StatusRunning => {
                self.hit_after(Kind::Status, fault, Duration::from_millis(200)).await;
            }
            Step::LeaveTold => self.leave(fault).await,
            Step::TicketTaken => self.request_ticket(fault).await,
            Step::TicketDispatched => self.ticketed(fault, Duration::ZERO).await,
            Step::TicketRunning => self.ticketed(fault, Duration::from_millis(200)).await,
            Step::TicketCarriedOut => self.ticketed(fault, Duration::from_millis(700)).await,
            Step::TicketSentAgain => self.ticketed(fault, Duration::from_secs(2)).await,
            Step::TicketVoided => self.void(fault).await,
            Step::KeyBound => self.keyed(fault, Duration::ZERO).await,
            Step::KeyCarriedOut => self.keyed(fault, Duration::from_millis(700)).await,
            Step::KeySentAgain => self.keyed(fault, Duration::from_secs(2)).await,
            Step::AddressAsked => self.ask_addresses(fault).await,
            // Run elsewhere.
            Step::ConfigurationWritten
            | Step::ConfigurationSpreading
            | Step::MapStaged
            | Step::MapHeld
            | Step::MapSwitched
            | Step::ModelLoaded
            | Step::ModelLoadedUnfenced => {}
        }
    }

    /// Asks, and strikes after `time`. A message that goes out at once is struck by a fault that
    /// waits for it.
    async fn hit_after(&mut self, kind: Kind, fault: Fault, time: Duration) {
        let at_once = time.is_zero() && fault.affects_message();
        if at_once {
            self.strike(fault, Direction::ToAgent, None).await;
        }
        let work = self.world.ask(0, kind, self.body.clone(), TIMEOUT_MS);
        self.work = Some(work);
        self.pass(time).await;
        if !at_once {
            self.strike(fault, Direction::ToEntry, None).await;
        }
        sleep(OUTAGE_TIME).await;
    }

    async fn leave(&mut self, fault: Fault) {
        let work = self.world.ask(0, Kind::Chat, self.body.clone(), TIMEOUT_MS);
        self.work = Some(work);
        self.pass(Duration::from_millis(1_000)).await;
        let server = self.world.server_of(&self.body);
        self.world.leave(server.expect("the stream runs")).await;
        self.pass(Duration::from_millis(10)).await;
        self.strike(fault, Direction::ToEntry, server).await;
        sleep(OUTAGE_TIME).await;
    }

    async fn request_ticket(&mut self, fault: Fault) {
        self.strike(fault, Direction::ToAgent, None).await;
        self.work = self.world.ask_with_ticket(0, self.body.clone(), TIMEOUT_MS).await;
        sleep(OUTAGE_TIME).await;
        self.send_again().await;
    }

    async fn ticketed(&mut self, fault: Fault, time: Duration) {
        let at_once = time.is_zero() && fault.affects_message();
        if at_once {
            self.strike(fault, Direction::ToAgent, None).await;
        }
        self.work = self.world.ask_with_ticket(0, self.body.clone(), TIMEOUT_MS).await;
        self.hit_and_send_again(fault, time, at_once).await;
    }

    async fn keyed(&mut self, fault: Fault, time: Duration) {
        let before = time.is_zero();
        if before {
            self.strike(fault, Direction::ToAgent, None).await;
        }
        self.work = Some(self.world.ask_with_key(0, self.body.clone(), TIMEOUT_MS));
        self.hit_and_send_again(fault, time, before).await;
    }

    async fn hit_and_send_again(&mut self, fault: Fault, time: Duration, struck: bool) {
        self.pass(time).await;
        let finished = time > SERVICE_TIME;
        if !struck {
            // A resend is what is on its way once the call is finished.
            let direction = if finished { Direction::ToAgent } else { Direction::ToEntry };
            self.strike(fault, direction, None).await;
        }
        if finished {
            self.submit_again();
            self.pass(OUTAGE_TIME).await;
        } else {
            sleep(OUTAGE_TIME).await;
            self.send_again().await;
        }
    }

    async fn ask_addresses(&mut self, fault: Fault) {
        self.world.ask_addresses(0);
        self.strike(fault, Direction::ToAgent, Some(0)).await;
        sleep(OUTAGE_TIME).await;
        self.world.ask_addresses(1);
        self.pass(RESTART_TIME).await;
        self.work = Some(0);
    }

    async fn void(&mut self, fault: Fault) {
        self.work = self.world.request_ticket(0, self.body.clone()).await;
        let server = self.ticket_server();
        self.strike(fault, Direction::ToAgent, server).await;
        if let Some(work) = self.work {
            self.world.void(0, work, TIMEOUT_MS);
        }
        sleep(OUTAGE_TIME).await;
    }

    fn ticket_server(&self) -> Option<usize> {
        ticket_server(&self.world, self.work?)
    }

    /// The backend server that the work goes to where nothing strikes. Which one it is depends on
    /// the hash of the request; a fault at another would show nothing.
    async fn rehearse(&self) -> Option<usize> {
        let mut world = World::start_sized(None, self.size).await;
        let body = self.body.clone();
        match self.step {
            Step::AddressAsked => return None,
            Step::TicketTaken
            | Step::TicketDispatched
            | Step::TicketRunning
            | Step::TicketCarriedOut
            | Step::TicketSentAgain
            | Step::TicketVoided => {
                let work = world.request_ticket(0, body).await?;
                return ticket_server(&world, work);
            }
            Step::KeyBound | Step::KeyCarriedOut | Step::KeySentAgain => {
                world.ask_with_key(0, body, TIMEOUT_MS);
            }
            Step::StatusRunning => drop(world.ask(0, Kind::Status, body, TIMEOUT_MS)),
            _ => drop(world.ask(0, Kind::Chat, body, TIMEOUT_MS)),
        }
        self.pass(PAIR_TIME).await;
        world.server_of(&self.body)
    }

    /// After everything is mended the caller sends it again, through another entry.
    async fn send_again(&mut self) {
        self.world.repair();
        self.pass(Duration::from_secs(5)).await;
        self.submit_again();
        self.pass(Duration::from_secs(12)).await;
    }

    fn submit_again(&self) {
        if let Some(work) = self.work {
            self.world.resend(1, work, TIMEOUT_MS);
        }
    }

    /// Lets time pass, at least as much as messages take.
    async fn pass(&self, time: Duration) {
        sleep(time.max(Duration::from_millis(1))).await;
    }

    async fn strike(&mut self, fault: Fault, direction: Direction, server: Option<usize>) {
        self.strike_once(fault, direction, server).await;
        if let Some(second) = self.second.take() {
            self.pass(PAIR_TIME).await;
            self.strike_once(second, direction, server).await;
        }
    }

    async fn strike_once(&mut self, fault: Fault, direction: Direction, server: Option<usize>) {
        let known = server.or_else(|| self.world.server_of(&self.body));
        let server = match known {
            None if fault.affects_server() => self.rehearse().await.unwrap_or(0),
            known => known.unwrap_or(0),
        };
        let world = &mut self.world;
        match fault {
            Fault::EntryKilled => world.replace_entry(0),
            Fault::AgentKilled => {
                world.kill_agent(server);
                sleep(RESTART_TIME).await;
                world.start_agent(server);
            }
            Fault::EntryPaused => world.pause_entry(0, true),
            Fault::AgentPaused => world.pause_agent(server, true),
            Fault::MessageLost => world.network.inject_fault(direction, MessageFault::Lost),
            Fault::MessageDelayed => {
                world.network.inject_fault(direction, MessageFault::Delayed(LATE))
            }
            Fault::MessageDuplicated => {
                world.network.inject_fault(direction, MessageFault::Duplicated(RESTART_TIME));
            }
            Fault::MessageReordered => {
                world.network.inject_fault(direction, MessageFault::Reordered)
            }
            Fault::ConnectionSilent => world.network.silence_all(),
            Fault::KeyValueDown => world.kv.set_down(true),
            Fault::KeyValueSlow => world.kv.set_delay(KEY_VALUE_DELAY),
            Fault::KeyValueAnswerLost => world.kv.lose_answers(1, LostAnswer::AfterEffect),
            Fault::BackendCrashed => crash(world, server).await,
            Fault::RankStalled => match world.servers.services.get(server) {
                Some(service) => service.set_frozen(true),
                None => world.servers.engine(server).set_frozen(true),
            },
            Fault::VmReplaced => world.replace_vm(server).await,
            // Groups are not part of this world.
            Fault::CoordinatorKilled | Fault::CoordinatorPaused => {}
        }
    }

    fn observed(&self, step: Step) -> Observed {
        let Some(work) = self.work.and_then(|work| self.world.ledger.get(work)) else {
            return Observed { first: Outcome::NoTicket, resend: None };
        };
        let mut outcomes =
            work.submissions.iter().map(|submission| outcome_of(&submission.outcome));
        let first = outcomes.next().unwrap_or(Outcome::NoTicket);
        let resend = outcomes.next();
        match step {
            // The call that is hit is the second.
            Step::TicketSentAgain | Step::KeySentAgain => {
                Observed { first: resend.unwrap_or(Outcome::NoTicket), resend: None }
            }
            _ => Observed { first, resend },
        }
    }
}

/// The backend server that a ticket names is found by what it says of itself.
fn ticket_server(world: &World, work: usize) -> Option<usize> {
    let ticket = world.ledger.get(work)?.ticket?;
    let name = world.ticket_home(&ticket)?;
    (0..world.servers.count()).find(|server| name == format!("runner-{server}"))
}

async fn crash(world: &mut World, server: usize) {
    let Some(service) = world.servers.services.get(server) else {
        return world.servers.engine(server).crash();
    };
    service.set_down(true);
    sleep(RESTART_TIME).await;
    service.set_down(false);
}

fn chat_body() -> Bytes {
    let body = serde_json::json!({ "model": MODEL, "max_tokens": TOKENS, "stream": true });
    Bytes::from(body.to_string())
}

fn outcome_of(outcome: &CallOutcome) -> Outcome {
    match outcome {
        CallOutcome::Complete(_) => Outcome::Complete,
        CallOutcome::NotRun(_) => Outcome::NotRun,
        CallOutcome::Unknown(_) => Outcome::Unknown,
        CallOutcome::Broken | CallOutcome::Pending => Outcome::Broken,
    }
}

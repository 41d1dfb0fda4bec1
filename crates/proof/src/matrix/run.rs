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

/// Duration of a pause or an outage; longer than every lease and time limit of the request path.
pub(super) const OUTAGE_TIME: Duration = Duration::from_secs(15);
/// Delay of a late message; longer than every time limit of the request path.
const LATE: Duration = Duration::from_secs(12);
/// Timeout for the start of an answer.
const TIMEOUT_MS: u64 = 9_000;
/// Time a service takes for a call; the effect occurs half-way.
const SERVICE_TIME: Duration = Duration::from_millis(1_000);
/// Tokens of a completion, 50 ms apart.
const TOKENS: u64 = 40;
/// Time between the two faults of a pair.
pub(super) const PAIR_TIME: Duration = Duration::from_millis(100);
/// Delay of a slow key-value service.
pub(super) const KEY_VALUE_DELAY: Duration = Duration::from_secs(2);

/// The outcomes of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observed {
    /// Outcome of the call that the fault hit.
    pub first: Outcome,
    /// Outcome of a resend through another entry; `None` if the caller can't resend.
    pub resend: Option<Outcome>,
}

/// A violation of an invariant that holds in every cell.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvariantViolation {
    /// A request broke one: for example, it ran twice or its answer was wrong.
    #[error(transparent)]
    Request(#[from] Violation),
    /// An invariant of the configuration.
    #[error(transparent)]
    Configuration(#[from] ConfigViolation),
    /// An invariant of groups.
    #[error(transparent)]
    Group(#[from] GroupViolation),
}

/// Why a cell of the matrix, one fault at one step, counts as failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CellFailure {
    /// An invariant that holds in every cell was violated.
    #[error("{step:?}, {fault:?}: {violation}")]
    InvariantViolated {
        /// Row of the cell.
        step: Step,
        /// Column of the cell.
        fault: Fault,
        /// The violated invariant.
        violation: InvariantViolation,
    },
    /// The outcomes differ from those that the cell expects.
    #[error("{step:?}, {fault:?}: observed {observed:?}, expected {expected:?}")]
    UnexpectedOutcome {
        /// Row of the cell.
        step: Step,
        /// Column of the cell.
        fault: Fault,
        /// Outcomes of the run.
        observed: Observed,
        /// Outcomes that the cell expects.
        expected: Observed,
    },
}

/// Runs a cell under its own paused clock and compares it with the expected outcomes.
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

/// Runs a pair of faults under its own paused clock.
pub fn check_pair(step: Step, first: Fault, second: Fault) -> Result<(), InvariantViolation> {
    paused_runtime().block_on(run_pair(step, first, second))
}

/// Runs a cell and checks the invariants that hold in every cell; the caller compares the outcomes
/// with the expected ones.
pub async fn run(step: Step, fault: Fault) -> Result<Observed, InvariantViolation> {
    match run_without_requests(step, &[fault]).await {
        Some(observed) => observed,
        None => Ok(run_request(step, fault).await?),
    }
}

/// Runs a step with two faults, the second `PAIR_TIME` after the first. Checks only the invariants
/// that hold in every cell.
pub async fn run_pair(step: Step, first: Fault, second: Fault) -> Result<(), InvariantViolation> {
    match run_without_requests(step, &[first, second]).await {
        Some(observed) => observed.map(drop),
        None => Ok(run_request_pair(step, first, second).await?),
    }
}

/// Runs a step without requests; `None` if the step is one of a request.
async fn run_without_requests(
    step: Step,
    faults: &[Fault],
) -> Option<Result<Observed, InvariantViolation>> {
    let observed = match step {
        Step::ConfigurationWritten | Step::ConfigurationPropagating => {
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
    let mut scenario = Scenario::start(step, minimal_size(step)).await;
    scenario.second = Some(second);
    scenario.run(step, first).await;
    scenario.world.check()?;
    scenario.world.settle().await
}

async fn run_request(step: Step, fault: Fault) -> Result<Observed, Violation> {
    let mut scenario = Scenario::start(step, Size::default()).await;
    scenario.run(step, fault).await;
    scenario.world.check()?;
    scenario.world.settle().await?;
    Ok(scenario.observed(step))
}

/// The backend servers that a step needs; fewer servers make the many pairs faster.
fn minimal_size(step: Step) -> Size {
    match is_chat(step) {
        true => Size { services: 0, engines: 2 },
        false => Size { services: 2, engines: 0 },
    }
}

fn is_chat(step: Step) -> bool {
    matches!(
        step,
        Step::ChatDispatched | Step::ChatStreaming | Step::ChatEnding | Step::AgentLeaving
    )
}

struct Scenario {
    step: Step,
    size: Size,
    world: World,
    body: Bytes,
    work: Option<usize>,
    second: Option<Fault>,
}

impl Scenario {
    async fn start(step: Step, size: Size) -> Self {
        let world = World::start_sized(None, size).await;
        let body = if is_chat(step) { chat_body() } else { Bytes::from_static(b"work 1") };
        for service in &world.servers.services {
            service.set_delay(SERVICE_TIME);
            service.set_silence_timeout(Duration::from_secs(3));
        }
        Self { step, size, world, body, work: None, second: None }
    }

    async fn run(&mut self, step: Step, fault: Fault) {
        match step {
            Step::ChatDispatched => {
                self.request_with_fault(Kind::Chat, fault, Duration::ZERO).await
            }
            Step::ChatStreaming => {
                self.request_with_fault(Kind::Chat, fault, Duration::from_millis(1_010)).await;
            }
            Step::ChatEnding => {
                self.request_with_fault(Kind::Chat, fault, Duration::from_millis(1_999)).await;
            }
            Step::StatusRunning => {
                self.request_with_fault(Kind::Status, fault, Duration::from_millis(200)).await;
            }
            Step::AgentLeaving => self.leave(fault).await,
            Step::TicketIssued => self.request_ticket(fault).await,
            Step::TicketDispatched => self.ticket_with_fault(fault, Duration::ZERO).await,
            Step::TicketRunning => self.ticket_with_fault(fault, Duration::from_millis(200)).await,
            Step::TicketCarriedOut => {
                self.ticket_with_fault(fault, Duration::from_millis(700)).await
            }
            Step::TicketSentAgain => self.ticket_with_fault(fault, Duration::from_secs(2)).await,
            Step::TicketVoided => self.void(fault).await,
            Step::KeyBound => self.key_with_fault(fault, Duration::ZERO).await,
            Step::KeyCarriedOut => self.key_with_fault(fault, Duration::from_millis(700)).await,
            Step::KeySentAgain => self.key_with_fault(fault, Duration::from_secs(2)).await,
            Step::AddressAsked => self.ask_addresses(fault).await,
            // Handled by `run_without_requests`.
            Step::ConfigurationWritten
            | Step::ConfigurationPropagating
            | Step::MapStaged
            | Step::MapHeld
            | Step::MapSwitched
            | Step::ModelLoaded
            | Step::ModelLoadedUnfenced => {}
        }
    }

    /// Sends a request and injects the fault after `time`. A fault of a message that is sent at
    /// once is queued before the request.
    async fn request_with_fault(&mut self, kind: Kind, fault: Fault, time: Duration) {
        let at_once = time.is_zero() && fault.affects_message();
        if at_once {
            self.inject(fault, Direction::ToAgent, None).await;
        }
        let work = self.world.ask(0, kind, self.body.clone(), TIMEOUT_MS);
        self.work = Some(work);
        self.wait(time).await;
        if !at_once {
            self.inject(fault, Direction::ToEntry, None).await;
        }
        sleep(OUTAGE_TIME).await;
    }

    async fn leave(&mut self, fault: Fault) {
        let work = self.world.ask(0, Kind::Chat, self.body.clone(), TIMEOUT_MS);
        self.work = Some(work);
        self.wait(Duration::from_millis(1_000)).await;
        let server = self.world.server_of(&self.body);
        self.world.leave(server.expect("the stream runs")).await;
        self.wait(Duration::from_millis(10)).await;
        self.inject(fault, Direction::ToEntry, server).await;
        sleep(OUTAGE_TIME).await;
    }

    async fn request_ticket(&mut self, fault: Fault) {
        self.inject(fault, Direction::ToAgent, None).await;
        self.work = self.world.ask_with_ticket(0, self.body.clone(), TIMEOUT_MS).await;
        sleep(OUTAGE_TIME).await;
        self.repair_and_resend().await;
    }

    async fn ticket_with_fault(&mut self, fault: Fault, time: Duration) {
        let at_once = time.is_zero() && fault.affects_message();
        if at_once {
            self.inject(fault, Direction::ToAgent, None).await;
        }
        self.work = self.world.ask_with_ticket(0, self.body.clone(), TIMEOUT_MS).await;
        self.inject_and_resend(fault, time, at_once).await;
    }

    async fn key_with_fault(&mut self, fault: Fault, time: Duration) {
        let before = time.is_zero();
        if before {
            self.inject(fault, Direction::ToAgent, None).await;
        }
        self.work = Some(self.world.ask_with_key(0, self.body.clone(), TIMEOUT_MS));
        self.inject_and_resend(fault, time, before).await;
    }

    async fn inject_and_resend(&mut self, fault: Fault, time: Duration, is_injected: bool) {
        self.wait(time).await;
        let finished = time > SERVICE_TIME;
        if !is_injected {
            // Once the call is finished, the message in flight is the resend.
            let direction = if finished { Direction::ToAgent } else { Direction::ToEntry };
            self.inject(fault, direction, None).await;
        }
        if finished {
            self.resend_through_other_entry();
            self.wait(OUTAGE_TIME).await;
        } else {
            sleep(OUTAGE_TIME).await;
            self.repair_and_resend().await;
        }
    }

    async fn ask_addresses(&mut self, fault: Fault) {
        self.world.ask_addresses(0);
        self.inject(fault, Direction::ToAgent, Some(0)).await;
        sleep(OUTAGE_TIME).await;
        self.world.ask_addresses(1);
        self.wait(RESTART_TIME).await;
        self.work = Some(0);
    }

    async fn void(&mut self, fault: Fault) {
        self.work = self.world.request_ticket(0, self.body.clone()).await;
        let server = self.ticket_server();
        self.inject(fault, Direction::ToAgent, server).await;
        if let Some(work) = self.work {
            self.world.void(0, work, TIMEOUT_MS);
        }
        sleep(OUTAGE_TIME).await;
    }

    fn ticket_server(&self) -> Option<usize> {
        ticket_server(&self.world, self.work?)
    }

    /// The backend server that the work goes to without faults. It depends on the hash of the
    /// request; a fault at another server would have no effect on the request.
    async fn predict_server(&self) -> Option<usize> {
        let mut world = World::start_sized(None, self.size).await;
        let body = self.body.clone();
        match self.step {
            Step::AddressAsked => return None,
            Step::TicketIssued
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
        self.wait(PAIR_TIME).await;
        world.server_of(&self.body)
    }

    /// Removes all faults, then resends the work through another entry.
    async fn repair_and_resend(&mut self) {
        self.world.repair();
        self.wait(Duration::from_secs(5)).await;
        self.resend_through_other_entry();
        self.wait(Duration::from_secs(12)).await;
    }

    fn resend_through_other_entry(&self) {
        if let Some(work) = self.work {
            self.world.resend(1, work, TIMEOUT_MS);
        }
    }

    /// Waits for `time`, at least 1 ms so that messages arrive.
    async fn wait(&self, time: Duration) {
        sleep(time.max(Duration::from_millis(1))).await;
    }

    async fn inject(&mut self, fault: Fault, direction: Direction, server: Option<usize>) {
        self.inject_one(fault, direction, server).await;
        if let Some(second) = self.second.take() {
            self.wait(PAIR_TIME).await;
            self.inject_one(second, direction, server).await;
        }
    }

    async fn inject_one(&mut self, fault: Fault, direction: Direction, server: Option<usize>) {
        let known_server = server.or_else(|| self.world.server_of(&self.body));
        let server = match known_server {
            None if fault.affects_server() => self.predict_server().await.unwrap_or(0),
            known_server => known_server.unwrap_or(0),
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
            // This world has no groups.
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
            // The fault hits the second call.
            Step::TicketSentAgain | Step::KeySentAgain => {
                Observed { first: resend.unwrap_or(Outcome::NoTicket), resend: None }
            }
            _ => Observed { first, resend },
        }
    }
}

/// The backend server whose agent the ticket names.
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

//! The fault matrix: every fault at every step, with the expected outcomes and the run that checks
//! them.

mod control;
mod expected;
mod load;
pub mod report;
pub mod run;

pub use expected::{Cell, cell};

/// The operation in progress when a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// A completion was just dispatched.
    ChatDispatched,
    /// Half of a stream has been delivered.
    ChatStreaming,
    /// The end of a stream is about to be sent.
    ChatEnding,
    /// An idempotent service call is running.
    StatusRunning,
    /// A ticket is being requested.
    TicketIssued,
    /// A call under a ticket was just dispatched.
    TicketDispatched,
    /// A call under a ticket is running and has had no effect yet.
    TicketRunning,
    /// A call under a ticket has taken effect and is not yet answered.
    TicketCarriedOut,
    /// A finished call under a ticket is sent again.
    TicketSentAgain,
    /// An unused ticket is voided.
    TicketVoided,
    /// A caller's idempotency key is being bound.
    KeyBound,
    /// A call under a key has taken effect and is not yet answered.
    KeyCarriedOut,
    /// A finished call under a key is sent again.
    KeySentAgain,
    /// An agent is leaving while a stream runs.
    AgentLeaving,
    /// A caller asks which entry addresses to use.
    AddressAsked,
    /// An operator's change is being written.
    ConfigurationWritten,
    /// An accepted change is being propagated to the other entries.
    ConfigurationPropagating,
    /// The weights of a group's new map are being loaded.
    MapStaged,
    /// The group is being stopped for the new map.
    MapHeld,
    /// The ranks are being switched to the new map.
    MapSwitched,
    /// An engine that checks fencing numbers loads another version of its model.
    ModelLoaded,
    /// An engine that ignores fencing numbers loads another version of its model.
    ModelLoadedUnfenced,
}

impl Step {
    /// All steps, in the order of the generated page.
    pub const ALL: [Self; 22] = [
        Self::ChatDispatched,
        Self::ChatStreaming,
        Self::ChatEnding,
        Self::StatusRunning,
        Self::TicketIssued,
        Self::TicketDispatched,
        Self::TicketRunning,
        Self::TicketCarriedOut,
        Self::TicketSentAgain,
        Self::TicketVoided,
        Self::KeyBound,
        Self::KeyCarriedOut,
        Self::KeySentAgain,
        Self::AgentLeaving,
        Self::AddressAsked,
        Self::ConfigurationWritten,
        Self::ConfigurationPropagating,
        Self::MapStaged,
        Self::MapHeld,
        Self::MapSwitched,
        Self::ModelLoaded,
        Self::ModelLoadedUnfenced,
    ];

    /// Heading of the step on the generated page, there with a capital letter.
    pub fn description(self) -> &'static str {
        match self {
            Self::ChatDispatched => "completion dispatched",
            Self::ChatStreaming => "stream half delivered",
            Self::ChatEnding => "stream about to end",
            Self::StatusRunning => "idempotent call running",
            Self::TicketIssued => "ticket being taken",
            Self::TicketDispatched => "ticketed call dispatched",
            Self::TicketRunning => "ticketed call running",
            Self::TicketCarriedOut => "ticketed call carried out, not answered",
            Self::TicketSentAgain => "finished ticketed call sent again",
            Self::TicketVoided => "unused ticket given up",
            Self::KeyBound => "caller's key being bound",
            Self::KeyCarriedOut => "keyed call carried out, not answered",
            Self::KeySentAgain => "finished keyed call sent again",
            Self::AgentLeaving => "agent told to leave, stream running",
            Self::AddressAsked => "address question",
            Self::ConfigurationWritten => "configuration change being written",
            Self::ConfigurationPropagating => "configuration change spreading",
            Self::MapStaged => "map switch, weights being loaded",
            Self::MapHeld => "map switch, group being stopped",
            Self::MapSwitched => "map switch, ranks being switched",
            Self::ModelLoaded => "model load, engine checks fencing numbers",
            Self::ModelLoadedUnfenced => "model load, engine ignores fencing numbers",
        }
    }
}

/// An injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The entry process dies and is replaced.
    EntryKilled,
    /// The agent process dies; another starts a second later.
    AgentKilled,
    /// The entry process is paused for 15 s.
    EntryPaused,
    /// The agent process is paused for 15 s.
    AgentPaused,
    /// The message in flight is lost.
    MessageLost,
    /// The message in flight arrives after every time limit.
    MessageDelayed,
    /// The message in flight arrives twice.
    MessageDuplicated,
    /// The message in flight arrives after the next one.
    MessageReordered,
    /// All open connections go silent permanently.
    ConnectionSilent,
    /// The key-value service is down for 15 s.
    KeyValueDown,
    /// The key-value service answers after its callers' timeout, for 15 s.
    KeyValueSlow,
    /// The next answer of the key-value service is lost after the call took effect.
    KeyValueAnswerLost,
    /// The backend server process dies; another starts.
    BackendCrashed,
    /// The backend server stalls for 15 s.
    RankStalled,
    /// Agent and backend server die together; new ones start a second later.
    VmReplaced,
    /// The group's coordinator dies and is replaced.
    CoordinatorKilled,
    /// The group's coordinator is paused for 15 s, past the end of its lease.
    CoordinatorPaused,
}

impl Fault {
    /// All faults, in the order of the generated page.
    pub const ALL: [Self; 17] = [
        Self::EntryKilled,
        Self::AgentKilled,
        Self::EntryPaused,
        Self::AgentPaused,
        Self::MessageLost,
        Self::MessageDelayed,
        Self::MessageDuplicated,
        Self::MessageReordered,
        Self::ConnectionSilent,
        Self::KeyValueDown,
        Self::KeyValueSlow,
        Self::KeyValueAnswerLost,
        Self::BackendCrashed,
        Self::RankStalled,
        Self::VmReplaced,
        Self::CoordinatorKilled,
        Self::CoordinatorPaused,
    ];

    /// Label of the fault in the tables of the generated page.
    pub fn description(self) -> &'static str {
        match self {
            Self::EntryKilled => "entry killed",
            Self::AgentKilled => "agent killed",
            Self::EntryPaused => "entry paused 15 s",
            Self::AgentPaused => "agent paused 15 s",
            Self::MessageLost => "message lost",
            Self::MessageDelayed => "message late",
            Self::MessageDuplicated => "message duplicated",
            Self::MessageReordered => "message reordered",
            Self::ConnectionSilent => "connections silent",
            Self::KeyValueDown => "key-value service down",
            Self::KeyValueSlow => "key-value service slow",
            Self::KeyValueAnswerLost => "key-value answer lost after effect",
            Self::BackendCrashed => "backend server crashed",
            Self::RankStalled => "backend server stalled 15 s",
            Self::VmReplaced => "VM replaced",
            Self::CoordinatorKilled => "group's coordinator killed",
            Self::CoordinatorPaused => "group's coordinator paused 15 s",
        }
    }

    /// All ordered pairs of different faults that can occur at a step.
    ///
    /// ```
    /// use flamingowheel_proof::matrix::{Fault, Step};
    /// assert_eq!(Fault::pairs(Step::ChatStreaming).len(), 15 * 14);
    /// ```
    pub fn pairs(step: Step) -> Vec<(Self, Self)> {
        let runs = |fault: &Self| matches!(cell(step, *fault), Cell::Runs(_));
        let all = || Self::ALL.into_iter().filter(runs);
        all()
            .flat_map(|first| all().map(move |second| (first, second)))
            .filter(|(first, second)| first != second)
            .collect()
    }

    /// All unordered pairs of faults that can occur at a step; which fault comes first varies.
    ///
    /// ```
    /// use flamingowheel_proof::matrix::{Fault, Step};
    /// assert_eq!(Fault::pairs_once(Step::ChatStreaming).len(), 15 * 14 / 2);
    /// ```
    pub fn pairs_once(step: Step) -> Vec<(Self, Self)> {
        let is_odd = |fault: Self| fault as usize % 2 == 1;
        let is_chosen =
            |first: Self, second: Self| (first < second) != (is_odd(first) ^ is_odd(second));
        Self::pairs(step).into_iter().filter(|(first, second)| is_chosen(*first, *second)).collect()
    }

    /// Whether the fault hits one backend server or its agent.
    pub fn affects_server(self) -> bool {
        matches!(
            self,
            Self::AgentKilled
                | Self::AgentPaused
                | Self::BackendCrashed
                | Self::RankStalled
                | Self::VmReplaced
        )
    }

    /// Whether the fault hits one message.
    pub fn affects_message(self) -> bool {
        matches!(
            self,
            Self::MessageLost
                | Self::MessageDelayed
                | Self::MessageDuplicated
                | Self::MessageReordered
        )
    }
}

/// The outcome that a caller gets, without its details.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The complete answer.
    Complete,
    /// The call did not run.
    NotRun,
    /// Whether the call ran is unknown.
    Unknown,
    /// The connection ended early, visibly to the caller.
    Broken,
    /// No ticket was issued, so no call was made.
    NoTicket,
}

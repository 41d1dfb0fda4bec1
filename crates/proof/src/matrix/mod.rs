//! The fault matrix: every fault at every step, what is promised there, and the run that shows it.

mod control;
mod load;
mod promise;
pub mod report;
pub mod run;

pub use promise::{Cell, cell};

/// What the fleet is doing when a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// A completion was just dispatched.
    ChatDispatched,
    /// Half of a stream has been delivered.
    ChatStreaming,
    /// The end of a stream is about to be sent.
    ChatEnding,
    /// An idempotent service call is being carried out.
    StatusRunning,
    /// A ticket is being taken.
    TicketTaken,
    /// A call under a ticket was just dispatched.
    TicketDispatched,
    /// It is being carried out and has had no effect yet.
    TicketRunning,
    /// It has taken effect and is not yet answered.
    TicketCarriedOut,
    /// It is finished and is sent again.
    TicketSentAgain,
    /// A ticket that was not used is given up.
    TicketVoided,
    /// A caller's own key is being bound.
    KeyBound,
    /// A call under a key has taken effect and is not yet answered.
    KeyCarriedOut,
    /// A finished call under a key is sent again.
    KeySentAgain,
    /// An agent was told to leave while a stream runs.
    LeaveTold,
    /// A caller asks which addresses to use.
    AddressAsked,
    /// An operator's change is being written.
    ConfigurationWritten,
    /// An accepted change is on its way to the other entries.
    ConfigurationSpreading,
    /// The weights of a group's new map are being loaded.
    MapStaged,
    /// The group is being stopped for the new map.
    MapHeld,
    /// The ranks are being told to use it.
    MapSwitched,
    /// An engine that checks fencing numbers loads another version of its model.
    ModelLoaded,
    /// The same with an engine that does not look at the numbers.
    ModelLoadedUnfenced,
}

impl Step {
    /// All steps, in the order of the table.
    pub const ALL: [Self; 22] = [
        Self::ChatDispatched,
        Self::ChatStreaming,
        Self::ChatEnding,
        Self::StatusRunning,
        Self::TicketTaken,
        Self::TicketDispatched,
        Self::TicketRunning,
        Self::TicketCarriedOut,
        Self::TicketSentAgain,
        Self::TicketVoided,
        Self::KeyBound,
        Self::KeyCarriedOut,
        Self::KeySentAgain,
        Self::LeaveTold,
        Self::AddressAsked,
        Self::ConfigurationWritten,
        Self::ConfigurationSpreading,
        Self::MapStaged,
        Self::MapHeld,
        Self::MapSwitched,
        Self::ModelLoaded,
        Self::ModelLoadedUnfenced,
    ];

    /// The step in words.
    pub fn description(self) -> &'static str {
        match self {
            Self::ChatDispatched => "completion dispatched",
            Self::ChatStreaming => "stream half delivered",
            Self::ChatEnding => "stream about to end",
            Self::StatusRunning => "idempotent call running",
            Self::TicketTaken => "ticket being taken",
            Self::TicketDispatched => "ticketed call dispatched",
            Self::TicketRunning => "ticketed call running",
            Self::TicketCarriedOut => "ticketed call carried out, not answered",
            Self::TicketSentAgain => "finished ticketed call sent again",
            Self::TicketVoided => "unused ticket given up",
            Self::KeyBound => "caller's key being bound",
            Self::KeyCarriedOut => "keyed call carried out, not answered",
            Self::KeySentAgain => "finished keyed call sent again",
            Self::LeaveTold => "agent told to leave, stream running",
            Self::AddressAsked => "address question",
            Self::ConfigurationWritten => "configuration change being written",
            Self::ConfigurationSpreading => "configuration change spreading",
            Self::MapStaged => "map switch, weights being loaded",
            Self::MapHeld => "map switch, group being stopped",
            Self::MapSwitched => "map switch, ranks being switched",
            Self::ModelLoaded => "model load, engine checks fencing numbers",
            Self::ModelLoadedUnfenced => "model load, engine ignores fencing numbers",
        }
    }
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The entry process dies; another takes its place.
    EntryKilled,
    /// The agent process dies; another starts a second later.
    AgentKilled,
    /// The entry process stands still for 15 s.
    EntryPaused,
    /// The agent process stands still for 15 s.
    AgentPaused,
    /// The message on its way is lost.
    MessageLost,
    /// It arrives after every time limit.
    MessageDelayed,
    /// It arrives twice.
    MessageDuplicated,
    /// The next message overtakes it.
    MessageReordered,
    /// All open connections go silent for good.
    ConnectionSilent,
    /// The key-value service is down for 15 s.
    KeyValueDown,
    /// It answers after its callers' patience, for 15 s.
    KeyValueSlow,
    /// Its next answer is lost after the call took effect.
    KeyValueAnswerLost,
    /// The backend server's process dies; another starts.
    BackendCrashed,
    /// The backend server stands still for 15 s.
    RankStalled,
    /// Agent and backend server die together; new ones start a second later.
    VmReplaced,
    /// The process that coordinates a group dies; another takes its place.
    CoordinatorKilled,
    /// It stands still for 15 s, past its lease.
    CoordinatorPaused,
}

impl Fault {
    /// All faults, in the order of the table.
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

    /// The fault in words.
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

    /// Every two different faults that can strike at a step, in both orders.
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

    /// Every two faults that can strike at a step, in one of the two orders, now this one, now that.
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

    /// Whether it strikes one backend server or its agent.
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

    /// Whether it strikes one message.
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

/// What a caller is told, without its details.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The whole answer.
    Complete,
    /// Proof that it did not run.
    NotRun,
    /// Nobody can know.
    Unknown,
    /// The connection broke visibly.
    Broken,
    /// No ticket could be had, so nothing was asked.
    NoTicket,
}

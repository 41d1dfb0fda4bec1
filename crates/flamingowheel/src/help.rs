//! Help texts.

/// A subcommand that has a help text of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// `apply`: changes documents.
    Apply,
    /// `get`: shows templates or workspaces.
    Get,
    /// `diff`: shows what documents would change.
    Diff,
    /// `history`: shows the last changes.
    History,
    /// `change`: shows the outcome of a change.
    Change,
    /// `status`: shows the fleet's processes and rank groups.
    Status,
    /// `timeline`: shows the merged events of all processes.
    Timeline,
    /// `entries`: shows the entry addresses for callers of a workspace.
    Entries,
}

impl Topic {
    /// All subcommands.
    pub const ALL: &'static [Self] = &[
        Self::Apply,
        Self::Get,
        Self::Diff,
        Self::History,
        Self::Change,
        Self::Status,
        Self::Timeline,
        Self::Entries,
    ];

    /// Name of the subcommand on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Apply => "apply",
            Self::Get => "get",
            Self::Diff => "diff",
            Self::History => "history",
            Self::Change => "change",
            Self::Status => "status",
            Self::Timeline => "timeline",
            Self::Entries => "entries",
        }
    }

    /// Finds the subcommand of this name.
    ///
    /// ```
    /// use flamingowheel::help::Topic;
    ///
    /// assert_eq!(Topic::from_name("status"), Some(Topic::Status));
    /// ```
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|topic| topic.name() == name)
    }

    fn text(self) -> &'static str {
        match self {
            Self::Apply => APPLY,
            Self::Get => GET,
            Self::Diff => DIFF,
            Self::History => HISTORY,
            Self::Change => CHANGE,
            Self::Status => STATUS,
            Self::Timeline => TIMELINE,
            Self::Entries => ENTRIES,
        }
    }
}

/// Returns the help text of a subcommand, or of the whole tool if `None`.
///
/// ```
/// use flamingowheel::help::text;
///
/// assert!(text(None).contains("usage: flamingowheel"));
/// ```
pub fn text(topic: Option<Topic>) -> String {
    topic.map_or(TOOL, Topic::text).to_owned()
}

/// Returns the output of `--version`.
pub fn version() -> String {
    concat!("flamingowheel ", env!("CARGO_PKG_VERSION"), "\n").to_owned()
}

const TOOL: &str = "\
Operates a fleet of flamingowheeld processes.

usage: flamingowheel [OPTIONS] COMMAND ...

commands:
  apply     change templates and workspaces
  get       show templates or workspaces
  diff      show what a file would change
  history   show the last changes
  change    ask what became of a change
  status    show the fleet's processes and their configuration
  timeline  show what happened, over all processes
  entries   show the addresses that callers of a workspace get

options:
  --entry ADDRESS    operators' address of an entry, IP:PORT; may be repeated, the next is asked
                     when one can't be reached [FLAMINGOWHEEL_ENTRIES, separated by commas]
  --token-file FILE  file with the operators' token [FLAMINGOWHEEL_TOKEN holds the token itself]
  --timeout TIME     how long one entry may take to answer, such as 5s [10s]
  --json             print the answer as JSON
  -h, --help         print help; `flamingowheel COMMAND --help` for one command
  -V, --version      print the version

exit codes:
  0  done
  1  failed, for example an answer that can't be read
  2  wrong command line, file or environment; nothing was sent
  3  no entry could be reached; nothing was changed
  4  refused; nothing was changed
  5  conflict: somebody else changed the same documents first; nothing was changed
  6  unknown: nobody can tell yet whether the change was accepted
  7  accepted, but not in force everywhere in time
";

const APPLY: &str = "\
Changes templates and workspaces as a file of YAML documents says.

usage: flamingowheel apply -f FILE [--dry-run] [--wait TIME] [--seen REVISION] [--again UUID]
                           [--operator NAME] [--comment TEXT]

  -f FILE          the documents
  --dry-run        check the change and show what differs; nothing is written
  --wait TIME      wait until it is in force everywhere, such as 11s; name those that are behind
  --seen REVISION  the revision that `diff` showed; changes made since to the same documents are
                   a conflict [the newest at the start of the command]
  --again UUID     send a change whose outcome is unknown again; it is accepted at most once
  --operator NAME  who makes the change [FLAMINGOWHEEL_OPERATOR, then USER]
  --comment TEXT   why, for the history
";

const GET: &str = "\
Shows templates or workspaces as they are in force.

usage: flamingowheel get templates|workspaces [NAME]

With NAME it prints the document as YAML, ready to be changed and applied.
";

const DIFF: &str = "\
Shows what a file of YAML documents would change, and the revision it was compared against.

usage: flamingowheel diff -f FILE
";

const HISTORY: &str = "\
Shows the last changes, the newest first.

usage: flamingowheel history
";

const CHANGE: &str = "\
Asks what became of a change: accepted, not accepted, or not yet known.

usage: flamingowheel change ID|UUID

With the random part alone, as --again takes it, a change that was not accepted stays unknown.
";

const STATUS: &str = "\
Shows which processes are live, leaving or silent, and which configuration they have; then the rank
groups, with the ranks that are out of service.

usage: flamingowheel status
";

const TIMELINE: &str = "\
Shows what happened, merged over all processes so that causes stand before effects.

usage: flamingowheel timeline (--request ID | --group NAME | --workspace NAME | --since TIME)...

  --request ID      events of one request, and what befell the backend servers it met
  --group NAME      events of one rank group
  --workspace NAME  events of one workspace
  --since TIME      events of the last while, such as 5m

Processes that could not be reached, have overwritten events of the span or have a wrong clock are
named above the events.
";

const ENTRIES: &str = "\
Shows the addresses that callers of a workspace get, in their order.

usage: flamingowheel entries --workspace NAME
";

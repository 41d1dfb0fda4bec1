//! Runs every cell of the fault matrix and checks the generated page.

use flamingowheel_proof::matrix::{Fault, Step, report, run};
use std::path::Path;

fn check(step: Step) {
    assert_none(Fault::ALL.into_iter().filter_map(|fault| single(step, fault)));
}

/// Runs pairs of faults in one order; the page's command runs both orders.
fn check_pairs(step: Step) {
    let pairs = Fault::pairs_once(step).into_iter();
    assert_none(pairs.filter_map(|(first, second)| pair(step, first, second)));
}

fn single(step: Step, fault: Fault) -> Option<String> {
    run::check(step, fault).err().map(|failure| failure.to_string())
}

fn pair(step: Step, first: Fault, second: Fault) -> Option<String> {
    let failure = run::check_pair(step, first, second).err()?;
    Some(format!("{step:?}, {first:?} and {second:?}: {failure}"))
}

fn assert_none<Failures>(failures: Failures)
where
    Failures: Iterator<Item = String>,
{
    let failures: Vec<String> = failures.collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

macro_rules! steps {
    ($($name:ident: $step:ident),+ $(,)?) => {
        $(
            mod $name {
                use super::*;

                #[test]
                fn single_faults() {
                    check(Step::$step);
                }

                #[test]
                fn two_faults() {
                    check_pairs(Step::$step);
                }
            }
        )+

        #[test]
        fn matrix_has_every_step() {
            assert_eq!([$(Step::$step),+], Step::ALL);
        }
    };
}

steps!(
    matrix_chat_dispatched: ChatDispatched,
    matrix_chat_streaming: ChatStreaming,
    matrix_chat_ending: ChatEnding,
    matrix_status_running: StatusRunning,
    matrix_ticket_issued: TicketIssued,
    matrix_ticket_dispatched: TicketDispatched,
    matrix_ticket_running: TicketRunning,
    matrix_ticket_carried_out: TicketCarriedOut,
    matrix_ticket_sent_again: TicketSentAgain,
    matrix_ticket_voided: TicketVoided,
    matrix_key_bound: KeyBound,
    matrix_key_carried_out: KeyCarriedOut,
    matrix_key_sent_again: KeySentAgain,
    matrix_agent_leaving: AgentLeaving,
    matrix_address_asked: AddressAsked,
    matrix_configuration_written: ConfigurationWritten,
    matrix_configuration_propagating: ConfigurationPropagating,
    matrix_map_staged: MapStaged,
    matrix_map_held: MapHeld,
    matrix_map_switched: MapSwitched,
    matrix_model_loaded: ModelLoaded,
    matrix_model_loaded_unfenced: ModelLoadedUnfenced,
);

// Guards against an old model load that takes effect after a newer one: the agent dies while the
// load is in the queue of an engine that checks no fencing numbers, and callers get answers of a
// replaced version.
#[test]
fn model_load_unfenced_agent_killed() {
    let step = Step::ModelLoadedUnfenced;
    let pairs = Fault::pairs(step).into_iter();
    let is_agent_killed = |fault: &Fault| *fault == Fault::AgentKilled;
    let pairs = pairs.filter(|(first, second)| is_agent_killed(first) || is_agent_killed(second));
    let failures = pairs.filter_map(|(first, second)| pair(step, first, second));
    assert_none(single(step, Fault::AgentKilled).into_iter().chain(failures));
}

#[test]
fn page_matches_table() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/FAULTS.md");
    let page = std::fs::read_to_string(path).unwrap();
    assert_eq!(page, report::page(), "regenerate the page with the command in its header");
}

//! Every cell of the fault matrix, and the page that tells of it.

use flamingowheel_proof::matrix::{Fault, Step, report, run};
use std::path::Path;

fn check(step: Step) {
    let failures: Vec<String> = Fault::ALL
        .into_iter()
        .filter_map(|fault| run::check(step, fault).err())
        .map(|failure| failure.to_string())
        .collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

macro_rules! steps {
    ($($name:ident: $step:ident),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                check(Step::$step);
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
    matrix_ticket_taken: TicketTaken,
    matrix_ticket_dispatched: TicketDispatched,
    matrix_ticket_running: TicketRunning,
    matrix_ticket_carried_out: TicketCarriedOut,
    matrix_ticket_sent_again: TicketSentAgain,
    matrix_ticket_voided: TicketVoided,
    matrix_key_bound: KeyBound,
    matrix_key_carried_out: KeyCarriedOut,
    matrix_key_sent_again: KeySentAgain,
    matrix_leave_told: LeaveTold,
    matrix_address_asked: AddressAsked,
    matrix_configuration_written: ConfigurationWritten,
    matrix_configuration_spreading: ConfigurationSpreading,
    matrix_map_staged: MapStaged,
    matrix_map_held: MapHeld,
    matrix_map_switched: MapSwitched,
);

/// Two faults that meet, at the steps that the page names; each call takes a part of the pairs.
fn check_pairs(step: Step, part: usize) {
    assert!(report::PAIR_STEPS.contains(&step));
    let mine = report::pairs().into_iter().enumerate().filter(|(index, _)| index % PARTS == part);
    let failures: Vec<String> = mine
        .filter_map(|(_, (first, second))| {
            let failure = run::check_pair(step, first, second).err()?;
            Some(format!("{first:?} and {second:?}: {failure}"))
        })
        .collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Parts into which the pairs are divided, so that they run side by side.
const PARTS: usize = 2;

#[test]
fn matrix_pairs_chat_streaming_even() {
    check_pairs(Step::ChatStreaming, 0);
}

#[test]
fn matrix_pairs_chat_streaming_odd() {
    check_pairs(Step::ChatStreaming, 1);
}

#[test]
fn matrix_pairs_ticket_dispatched_even() {
    check_pairs(Step::TicketDispatched, 0);
}

#[test]
fn matrix_pairs_ticket_dispatched_odd() {
    check_pairs(Step::TicketDispatched, 1);
}

#[test]
fn page_matches_table() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/FAULTS.md");
    let page = std::fs::read_to_string(path).unwrap();
    assert_eq!(page, report::page(), "run the command that the page names");
}

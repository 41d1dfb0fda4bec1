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
);

#[test]
fn page_matches_table() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/FAULTS.md");
    let page = std::fs::read_to_string(path).unwrap();
    assert_eq!(page, report::page(), "run the command that the page names");
}

//! Tests of the soak test's command line.

use flamingowheel_soak::cli::{Options, UsageError, parse};
use pico_args::Arguments;

fn parse_words(words: &[&str]) -> Result<Options, UsageError> {
    parse(Arguments::from_vec(words.iter().map(Into::into).collect()))
}

#[test]
fn parse_defaults() {
    let options = parse_words(&["--program", "p", "--seed", "9"]).unwrap();
    assert_eq!((options.seed, options.seeds, options.entries), (9, 1, 4));
}

#[test]
fn parse_without_program() {
    assert!(matches!(parse_words(&[]), Err(UsageError::Arguments(_))));
}

#[test]
fn parse_unknown_option() {
    assert!(matches!(parse_words(&["--program", "p", "--sed", "9"]), Err(UsageError::Unknown(_))));
}

#[test]
fn parse_zero_entries() {
    assert!(matches!(parse_words(&["--program", "p", "--entries", "0"]), Err(UsageError::Empty)));
}

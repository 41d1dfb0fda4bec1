//! The soak's command line.

use flamingowheel_soak::cli::{Options, UsageError, parse};
use pico_args::Arguments;

fn typed(words: &[&str]) -> Result<Options, UsageError> {
    parse(Arguments::from_vec(words.iter().map(Into::into).collect()))
}

#[test]
fn parse_defaults() {
    let options = typed(&["--program", "p", "--seed", "9"]).unwrap();
    assert_eq!((options.seed, options.seeds, options.entries), (9, 1, 4));
}

#[test]
fn parse_without_program() {
    assert!(matches!(typed(&[]), Err(UsageError::Arguments(_))));
}

#[test]
fn parse_unknown_word() {
    assert!(matches!(typed(&["--program", "p", "--sed", "9"]), Err(UsageError::Unknown(_))));
}

#[test]
fn parse_nobody_to_serve() {
    assert!(matches!(typed(&["--program", "p", "--entries", "0"]), Err(UsageError::Empty)));
}

//! Hostile input to the decoders must never cause a panic or an endless loop.

mod decoders;

use decoders::{decode_all, samples};
use flamingowheel_config::document;
use flamingowheel_config::settings::Settings;
use flamingowheel_proof::fuzz::config;
use flamingowheel_protocol::auth::FleetKey;
use flamingowheel_protocol::id::{Incarnation, Window};
use flamingowheel_protocol::ticket::{StreamToken, Ticket};
use proptest::prelude::*;
use std::path::Path;

const CASES: u32 = 2_000;
const SEED: u64 = 20261202;
/// A change to valid bytes.
#[derive(Clone, Debug)]
enum Change {
    Set(usize, u8),
    Cut(usize),
    Insert(usize, Vec<u8>),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        4 => (any::<usize>(), any::<u8>()).prop_map(|(at, byte)| Change::Set(at, byte)),
        1 => any::<usize>().prop_map(Change::Cut),
        1 => (any::<usize>(), proptest::collection::vec(any::<u8>(), 1..9))
            .prop_map(|(at, bytes)| Change::Insert(at, bytes)),
    ]
}

fn apply(bytes: &mut Vec<u8>, change: &Change) {
    let length = bytes.len().max(1);
    match change {
        Change::Set(at, byte) => {
            if let Some(place) = bytes.get_mut(at % length) {
                *place = *byte;
            }
        }
        Change::Cut(at) => bytes.truncate(at % length),
        Change::Insert(at, new) => {
            let at = at % length;
            bytes.splice(at..at, new.iter().copied());
        }
    }
}

fn ticket() -> Ticket {
    Ticket {
        agent: "desk-1".to_owned(),
        incarnation: Incarnation(5),
        window: Window(3),
        number: uuid::Uuid::from_u128(9),
        workspace: "bibb-county".to_owned(),
        service: "desk".to_owned(),
    }
}

proptest! {
    #![proptest_config(config(CASES, SEED))]

    #[test]
    fn fuzz_decode_random_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        decode_all(&bytes);
    }

    #[test]
    fn fuzz_decode_changed_batches(
        sample in any::<prop::sample::Index>(), changes in proptest::collection::vec(change(), 1..6),
    ) {
        let mut samples = samples();
        let mut bytes = samples.swap_remove(sample.index(samples.len()));
        changes.iter().for_each(|change| apply(&mut bytes, change));
        decode_all(&bytes);
    }

    #[test]
    fn fuzz_ticket_text(text in "[0-9a-fA-F]{0,300}|.{0,64}") {
        prop_assert!(Ticket::from_text(&text, &FleetKey::new([1; 32])).is_err());
        prop_assert!(StreamToken::from_text(&text, &FleetKey::new([1; 32])).is_err());
    }

    // Guards against accepting a forged ticket, which could name another workspace's work.
    #[test]
    fn fuzz_ticket_changed(changes in proptest::collection::vec(change(), 1..4)) {
        let key = FleetKey::new([1; 32]);
        let original = ticket().to_text(&key);
        let mut bytes = original.clone().into_bytes();
        changes.iter().for_each(|change| apply(&mut bytes, change));
        if let Ok(text) = String::from_utf8(bytes) && !text.eq_ignore_ascii_case(&original) {
            prop_assert!(Ticket::from_text(&text, &key).is_err(), "{}", text);
        }
    }

    #[test]
    fn fuzz_settings_text(text in "([a-z_]{1,12}: ?[\\[\\]{}&*!|>'\"a-z0-9.:, -]{0,24}\n){0,12}") {
        let _ = Settings::parse(&text, Path::new("daemon.yaml"));
        let _ = document::parse(&text);
    }

    #[test]
    fn fuzz_settings_any_text(text in any::<String>()) {
        let _ = Settings::parse(&text, Path::new("daemon.yaml"));
        let _ = document::parse(&text);
    }
}

// Guards against stack exhaustion by deep nesting, which would abort the process without a message.
#[test]
fn fuzz_decode_nesting_bounded() {
    for byte in [0x81, 0x9f, 0xa1, 0xbf, 0xc1, 0xd8] {
        decode_all(&vec![byte; 1_000_000]);
    }
}

// Guards against exhaustion of the parser's stack by deep nesting.
#[test]
fn fuzz_settings_nesting_bounded() {
    for open in ["[", "{a: ", "- ", "? "] {
        let text = open.repeat(5_000);
        assert!(Settings::parse(&text, Path::new("daemon.yaml")).is_err());
        assert!(document::parse(&text).is_err());
    }
}

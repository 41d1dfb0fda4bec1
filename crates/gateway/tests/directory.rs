//! Whom callers are told of, from entries' records.

use flamingowheel_gateway::directory::{Asker, choose, is_uneven};
use flamingowheel_gateway::view::{CapacityRecord, EntryRecord, View};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

fn record(number: u8, requests_per_s: Option<u32>) -> EntryRecord {
    let capacity =
        |requests_per_s| CapacityRecord { requests_per_s, speed_percent: 100, room_percent: 100 };
    EntryRecord {
        callers: SocketAddr::from(([10, 0, 0, number], 8_000)),
        data_centre: format!("d{}", number % 3),
        peers: None,
        suspects: None,
        capacity: requests_per_s.map(capacity),
    }
}

fn asker(number: u8) -> Asker<'static> {
    Asker { address: Some(IpAddr::from([10, 9, 0, number])), data_centre: Some("d1") }
}

fn answers(records: &HashMap<String, EntryRecord>) -> Vec<Vec<SocketAddr>> {
    let eligible = || records.iter().map(|(vm, record)| (vm.as_str(), record));
    (0..200).map(|number| choose(eligible(), asker(number), 64)).collect()
}

/// Guards against records of an earlier version that can't be read.
#[test]
fn decode_record_without_capacity() {
    let value = r#"{"callers":"10.0.0.1:8000","data_centre":"d"}"#;
    let record: EntryRecord = serde_json::from_str(value).unwrap();
    assert_eq!(record.capacity, None);
}

#[test]
fn choose_alike_all_named_near_first() {
    let entry = |number: u8| (format!("e{number}"), record(number, Some(100)));
    let records: HashMap<_, _> = (0..9).map(entry).collect();
    let near = |number| SocketAddr::from((Ipv4Addr::new(10, 0, 0, number), 8_000));
    for answer in answers(&records) {
        assert_eq!(answer, [1, 4, 7, 0, 2, 3, 5, 6, 8].map(near));
    }
}

/// Guards against an entry that gets no callers, or most of them, whatever its record says.
#[test]
fn choose_any_records_all_named() {
    let mut records: HashMap<_, _> =
        (0..30).map(|number| (format!("e{number}"), record(number, Some(100)))).collect();
    records.insert("e1".to_owned(), record(1, None));
    records.insert("e2".to_owned(), record(2, Some(0)));
    records.insert("e3".to_owned(), record(3, Some(u32::MAX)));
    let zero = CapacityRecord { requests_per_s: 50, speed_percent: 0, room_percent: 0 };
    records.insert("e4".to_owned(), EntryRecord { capacity: Some(zero), ..record(4, None) });
    let answers = answers(&records);
    assert!(answers.iter().all(|answer| (3..=30).contains(&answer.len())));
    let named = |number: u8| {
        let address = record(number, None).callers;
        answers.iter().filter(|answer| answer.contains(&address)).count()
    };
    assert!([0, 1, 5].iter().all(|&number| named(number) > 0));
}

#[test]
fn is_uneven_known_sizes_only() {
    let view = |sizes: &[Option<u32>]| View {
        entries: sizes
            .iter()
            .enumerate()
            .map(|(number, &size)| (format!("e{number}"), record(number as u8, size)))
            .collect(),
        ..View::default()
    };
    assert!(!is_uneven(view(&[]).entries.values()));
    assert!(!is_uneven(view(&[None, Some(100), Some(100)]).entries.values()));
    assert!(is_uneven(view(&[Some(100), Some(300)]).entries.values()));
}

//! Bounds the memory that decoders allocate for hostile input. It is the only test of its process,
//! since the kernel counts memory per process.

mod decoders;

use decoders::{decode_all, samples};
use flamingowheel_config::document;
use flamingowheel_config::settings::Settings;
use std::path::Path;

/// Limit for the growth of the process's peak memory during decoding.
const MAX_GROWTH_KB: u64 = 64 * 1024;

/// Peak resident memory of the process, as the kernel counts it.
fn peak_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

// Guards against allocating terabytes for a few bytes that declare a huge length.
fn decode_huge_lengths() {
    // Byte strings, texts, arrays and maps, in parallel.
    std::thread::scope(|scope| {
        for major in [0x5b, 0x7b, 0x9b, 0xbb] {
            scope.spawn(move || decode_huge_lengths_of(major));
        }
    });
}

/// Declares every power of two as the number of elements.
fn decode_huge_lengths_of(major: u8) {
    for power in 0..64 {
        let mut head = vec![major];
        head.extend_from_slice(&(1u64 << power).to_be_bytes());
        // Alone, as the messages of a batch, and inserted at every position of a valid batch.
        decode_all(&head);
        decode_all(&[&[0x82, 0x01][..], &head[..]].concat());
        for sample in samples() {
            for at in 0..sample.len() {
                decode_all(&[&sample[..at], &head[..], &sample[at..]].concat());
            }
        }
    }
}

// Guards against expanding a few lines of YAML whose aliases stand for billions of values.
fn parse_nested_aliases() {
    let mut text = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n".to_owned();
    for level in 1..12 {
        let alias = format!("*a{}, ", level - 1).repeat(10);
        text.push_str(&format!("a{level}: &a{level} [{}]\n", alias.trim_end_matches(", ")));
    }
    assert!(Settings::parse(&text, Path::new("daemon.yaml")).is_err());
    assert!(document::parse(&text).is_err());
}

#[test]
fn fuzz_memory_bounded() {
    let before_kb = peak_kb();
    decode_huge_lengths();
    parse_nested_aliases();
    let growth_kb = peak_kb().saturating_sub(before_kb);
    assert!(growth_kb < MAX_GROWTH_KB, "decoding took {growth_kb} KB");
}

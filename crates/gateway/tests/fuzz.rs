//! Feeds the reader of answers arbitrary bytes and cuts.
//!
//! `FLAMINGOWHEEL_FUZZ_SEED` and `FLAMINGOWHEEL_FUZZ_CASES` replace the seed and the number of cases.

#[allow(dead_code, missing_docs, unreachable_pub, reason = "shared with the bench")]
mod framing;

use flamingowheel_policy::events::EventScanner;
use flamingowheel_standin::platform::raw::{Answer, Call, Ending, Framing, RawServer};
use framing::caller::{Ask, Received, call, parse};
use framing::{Bench, events_after};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

const SEED: u64 = 1;
const CASES: u64 = 400;

/// Cases that run at once.
const LANES: u64 = 8;

/// Most changes to the bytes of an answer.
const MAX_CHANGES: u32 = 4;

fn setting<T>(name: &str, default: T) -> T
where
    T: FromStr,
{
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The bytes of an answer, changed at random places and cut.
fn mutate<R>(rng: &mut R, mut bytes: Vec<u8>) -> Vec<u8>
where
    R: Rng,
{
    for _ in 0..rng.random_range(0..=MAX_CHANGES) {
        let at = rng.random_range(0..bytes.len());
        let to = rng.random_range(at..bytes.len().min(at + 12));
        match rng.random_range(0..5) {
            0 => bytes[at] = rng.random(),
            1 => drop(bytes.drain(at..to)),
            2 => bytes.insert(at, b"0\r\n:; 1a"[rng.random_range(0..8)]),
            3 => bytes.splice(at..at, bytes[at..to].to_vec()).for_each(drop),
            _ => bytes.truncate(at.max(1)),
        }
    }
    bytes
}

/// Whether a caller was told that an answer is complete that its bytes don't show to be whole, from a
/// server that ended with it.
fn is_wrong(sent: &[u8], is_stream: bool, received: &Received) -> bool {
    if received.status != 200 || !received.is_complete {
        return false;
    }
    // Bytes that follow a whole answer belong to no request.
    let is_whole = (0..=sent.len()).any(|end| {
        let shown = parse(&sent[..end], true, false);
        shown.is_complete && shown.body == received.body
    });
    let ends_between_events = || {
        let (mut scanner, mut rest) = (EventScanner::default(), &received.body[..]);
        while let Some(end) = scanner.find_end(rest) {
            rest = &rest[end..];
        }
        scanner.is_between_events()
    };
    !is_whole || (is_stream && !ends_between_events())
}

/// Runs the cases of one lane; returns the first that is wrong.
async fn run_lane(seed: u64, name: u64, cases: u64) -> Option<String> {
    let answer = Arc::new(Mutex::new(Answer::whole(Framing::Length, Vec::new())));
    let given = Arc::clone(&answer);
    let script = move |_: &Call| given.lock().unwrap().clone();
    let bench = Bench::with_servers(vec![RawServer::start(script).await.unwrap()]).await;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (name << 32));
    for case in 0..cases {
        let attempt = format!("{name}-{case}");
        let framing = Framing::ALL[rng.random_range(0..Framing::ALL.len())];
        let whole = Answer::whole(framing, events_after(0).into_bytes());
        let sent = mutate(&mut rng, whole.encode(&attempt));
        let ending = if rng.random() { Ending::Closed } else { Ending::Reset };
        let bytes = Some(sent.clone());
        *answer.lock().unwrap() = Answer { other_bytes: bytes, ending, ends_server: true, ..whole };
        let path = ["/once/x", "/live/x"][rng.random_range(0..2)];
        let received = call(bench.entry.address, Ask::new(path, &attempt)).await;
        if is_wrong(&sent, path == "/live/x", &received) {
            return Some(format!("{path} {} {received:?}", String::from_utf8_lossy(&sent)));
        }
        while bench.servers[0].is_running() {
            sleep(Duration::from_millis(1)).await;
        }
        bench.restart_all(case + 2).await;
    }
    None
}

#[tokio::test(flavor = "multi_thread")]
async fn read_arbitrary_answers() {
    let seed = setting("FLAMINGOWHEEL_FUZZ_SEED", SEED);
    let cases: u64 = setting("FLAMINGOWHEEL_FUZZ_CASES", CASES);
    let lanes = (0..LANES).map(|name| tokio::spawn(run_lane(seed, name, cases / LANES)));
    for lane in lanes.collect::<Vec<_>>() {
        let wrong = lane.await.unwrap();
        assert!(wrong.is_none(), "seed {seed}: {wrong:?}");
    }
}

// The check must find a reader that takes the end of a connection for the end of an answer, and one that
// does not look at events.
#[test]
fn is_wrong_finds_broken_readers() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut found = [0, 0];
    for _ in 0..CASES {
        let whole = Answer::whole(Framing::Connection, events_after(0).into_bytes());
        let sent = mutate(&mut rng, whole.encode("a"));
        found[0] += u32::from(is_wrong(&sent, true, &parse(&sent, true, true)));
        let chunks = Answer::whole(Framing::Chunks, events_after(0).into_bytes()[..30].to_vec());
        let sent = mutate(&mut rng, chunks.encode("a"));
        found[1] += u32::from(is_wrong(&sent, true, &parse(&sent, true, false)));
    }
    assert!(found.iter().all(|found| *found > 0), "{found:?}");
}

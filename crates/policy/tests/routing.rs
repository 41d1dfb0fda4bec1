//! Routing, load tracking, prefix index, retry budget and the agent's admission.

use std::collections::HashSet;
use std::time::Duration;

use flamingowheel_policy::admission::{
    Admission, AdmissionConfig, AdmissionDecision, Offer, Priority,
};
use flamingowheel_policy::key::{Fingerprint, ServerKey};
use flamingowheel_policy::load::{Availability, Load, LoadTracker};
use flamingowheel_policy::prefix::{
    BlockHash, CacheChange, CacheEvent, PrefixConfig, PrefixIndex, block_hashes,
};
use flamingowheel_policy::retry::{
    RetryBudget, RetryConfig, RetryRefusal, RetryRequest, TryOutcome,
};
use flamingowheel_policy::routing::{RouteError, RouteRequest, RoutingConfig, choose};

const NOW: Duration = Duration::from_secs(100);

fn load(running: u16, waiting: u16) -> Load {
    Load { running, waiting, places: 8, service_ms: 2_000 }
}

fn fleet(loads: &[(u16, u16)]) -> (Vec<ServerKey>, LoadTracker) {
    let keys: Vec<ServerKey> = (0..loads.len() as u64).map(ServerKey).collect();
    let mut tracker = LoadTracker::default();
    for (key, (running, waiting)) in keys.iter().zip(loads) {
        tracker.insert(*key);
        tracker.on_current_load(*key, load(*running, *waiting), NOW);
    }
    (keys, tracker)
}

fn request(fingerprint: u128, tried: &[ServerKey]) -> RouteRequest<'_> {
    RouteRequest { fingerprint: Fingerprint(fingerprint), tried }
}

fn route(
    request: &RouteRequest<'_>,
    keys: &[ServerKey],
    tracker: &LoadTracker,
) -> Result<ServerKey, RouteError> {
    let no_cost = |_| Some(Duration::ZERO);
    choose(&RoutingConfig::default(), request, keys, tracker, NOW, no_cost).map(|c| c.server)
}

// A backend server that is leaving, silent or down, or that refused the request, must not be tried:
// the caller would wait in vain, or a shutdown would abort the request.
#[test]
fn choose_leaving_suspect_down_and_tried_excluded() {
    let (keys, mut tracker) = fleet(&[(0, 0), (0, 0), (0, 0), (0, 0), (7, 0)]);
    tracker.set_availability(keys[0], Availability::Leaving);
    tracker.set_availability(keys[1], Availability::Suspect);
    tracker.on_current_load(keys[2], Load { places: 0, ..load(0, 0) }, NOW);
    for fingerprint in 0..100 {
        assert_eq!(route(&request(fingerprint, &keys[3..4]), &keys, &tracker), Ok(keys[4]));
    }
    assert_eq!(route(&request(1, &keys[3..]), &keys, &tracker), Err(RouteError::NoneAvailable));
    assert_eq!(route(&request(1, &keys[1..4]), &keys, &tracker), Err(RouteError::NoTriesLeft));
}

#[test]
fn choose_all_queues_too_long_shed_at_entry() {
    let (keys, tracker) = fleet(&[(8, 40), (8, 30)]);
    let config = RoutingConfig { max_wait: Duration::from_secs(5), ..RoutingConfig::default() };
    let route = |config: &RoutingConfig| {
        choose(config, &request(1, &[]), &keys, &tracker, NOW, |_| Some(Duration::ZERO))
    };
    let error = route(&config).unwrap_err();
    assert!(matches!(error, RouteError::Overloaded { wait } if wait > Duration::from_secs(5)));
    assert!(route(&RoutingConfig { urgent: true, ..config }).is_ok());
}

#[test]
fn choose_adapter_load_against_wait_cheaper_wins() {
    let (keys, tracker) = fleet(&[(8, 1), (0, 0)]);
    let choose_with = |load_cost_ms| {
        let cost = |server| {
            let loaded = server == keys[0];
            Some(if loaded { Duration::ZERO } else { Duration::from_millis(load_cost_ms) })
        };
        let config = RoutingConfig::default();
        choose(&config, &request(1, &[]), &keys, &tracker, NOW, cost).unwrap().server
    };
    assert_eq!(choose_with(100), keys[1]);
    assert_eq!(choose_with(2_000), keys[0]);
}

#[test]
fn choose_same_body_same_server() {
    let (keys, tracker) = fleet(&[(2, 0); 64]);
    let same_body: HashSet<ServerKey> =
        (0..100).map(|_| route(&request(7, &[]), &keys, &tracker).unwrap()).collect();
    assert_eq!(same_body.len(), 1);
    let all: HashSet<ServerKey> =
        (0..1_000).map(|n| route(&request(n, &[]), &keys, &tracker).unwrap()).collect();
    assert!(all.len() > 60);
}

// A late report must not overwrite a newer load from a running stream.
#[test]
fn on_report_older_than_stream_dropped() {
    let (keys, mut tracker) = fleet(&[(8, 2)]);
    tracker.on_report(keys[0], load(0, 0), NOW - Duration::from_secs(1));
    assert!(tracker.estimate(keys[0], NOW).unwrap().occupied > 9.0);
}

#[test]
fn estimate_own_sends_counted_once() {
    let (keys, mut tracker) = fleet(&[(4, 0)]);
    let sent = NOW + Duration::from_millis(1);
    (0..3).for_each(|_| tracker.on_sent(keys[0], sent));
    assert!(tracker.estimate(keys[0], sent).unwrap().occupied > 6.9);
    let later = sent + Duration::from_millis(1);
    tracker.on_current_load(keys[0], load(7, 0), later);
    assert!(tracker.estimate(keys[0], later).unwrap().occupied < 7.1);
}

// Under overload every backend server has a queue, and some run an urgent request beyond their
// places. If chunks carried the two counts as one sum, all urgent requests would go to the same few
// servers and wait sixteen times as long for a first token.
#[test]
fn on_hint_extra_place_in_use_urgent_goes_elsewhere() {
    let (keys, mut tracker) = fleet(&[(0, 0), (0, 0)]);
    tracker.on_hint(keys[0], load(9, 1).hint(), NOW);
    tracker.on_hint(keys[1], load(8, 6).hint(), NOW);
    for fingerprint in 0..20 {
        let config = RoutingConfig { urgent: true, ..RoutingConfig::default() };
        let request = request(fingerprint, &[]);
        let choice = choose(&config, &request, &keys, &tracker, NOW, |_| Some(Duration::ZERO));
        assert_eq!(choice.map(|choice| (choice.server, choice.last_try)), Ok((keys[1], false)));
    }
}

fn offer(id: u32, priority: u8, last_try: bool) -> Offer<u32> {
    let deadline = Duration::from_secs(100);
    Offer { id, priority: Priority(priority), last_try, deadline }
}

fn full_agent() -> Admission<u32> {
    let config = AdmissionConfig { places: 2, max_queue: 2, ..AdmissionConfig::default() };
    let mut agent = Admission::new(config);
    (0..2).for_each(|id| assert_eq!(agent.offer(offer(id, 50, false)), AdmissionDecision::Start));
    agent
}

#[test]
fn offer_queue_full_lowest_priority_shed() {
    let mut agent = full_agent();
    assert!(
        matches!(agent.offer(offer(2, 50, false)), AdmissionDecision::Full(load) if load.running == 2)
    );
    assert_eq!(agent.offer(offer(3, 50, true)), AdmissionDecision::Queued { shed: None });
    assert_eq!(agent.offer(offer(4, 10, true)), AdmissionDecision::Queued { shed: None });
    assert_eq!(agent.offer(offer(5, 90, true)), AdmissionDecision::Queued { shed: Some(4) });
    assert!(matches!(agent.offer(offer(6, 50, true)), AdmissionDecision::Full(_)));
    assert_eq!(agent.finish(Duration::from_secs(1)), Some(5));
    assert_eq!(agent.finish(Duration::from_secs(1)), Some(3));
    assert_eq!(agent.finish(Duration::from_secs(1)), None);
}

#[test]
fn offer_urgent_starts_beyond_places_and_extra_place_freed() {
    let mut agent = full_agent();
    assert_eq!(agent.offer(offer(2, 50, true)), AdmissionDecision::Queued { shed: None });
    assert_eq!(agent.offer(offer(3, 200, false)), AdmissionDecision::Start);
    assert!(matches!(agent.offer(offer(4, 200, false)), AdmissionDecision::Full(_)));
    assert_eq!(agent.finish(Duration::from_secs(1)), None);
    assert_eq!(agent.finish(Duration::from_secs(1)), Some(2));
}

// A suspect that ran together with other requests would abort them if it crashed the server.
#[test]
fn offer_suspect_runs_alone() {
    let mut agent = full_agent();
    let suspect = offer(2, 50, false);
    assert_eq!(agent.offer_alone(suspect), AdmissionDecision::Queued { shed: None });
    assert!(matches!(agent.offer_alone(Offer { id: 9, ..suspect }), AdmissionDecision::Full(_)));
    assert_eq!(agent.offer(offer(3, 200, true)), AdmissionDecision::Queued { shed: None });
    assert_eq!(agent.finish(Duration::from_secs(1)), None);
    assert_eq!(agent.finish(Duration::from_secs(1)), Some(2));
    assert_eq!(agent.start_next(), None);
    assert_eq!(agent.finish(Duration::from_secs(1)), Some(3));
}

#[test]
fn expire_suspect_expired_others_start() {
    let mut agent = full_agent();
    let deadline = Duration::from_secs(1);
    agent.offer_alone(Offer { deadline, ..offer(2, 50, false) });
    agent.offer(offer(3, 50, true));
    assert_eq!(agent.finish(Duration::from_secs(1)), None);
    assert_eq!(agent.expire(deadline), vec![2]);
    assert_eq!(agent.start_next(), Some(3));
}

fn stored(number: u64, blocks: &[BlockHash]) -> CacheEvent {
    CacheEvent { number, change: CacheChange::Stored(blocks.to_vec()) }
}

#[test]
fn on_event_out_of_order_applied_in_order() {
    let prompt = block_hashes(&[7; 64], 16);
    let server = ServerKey(1);
    let mut index = PrefixIndex::new(PrefixConfig::default());
    let removed = CacheEvent { number: 3, change: CacheChange::Removed(prompt[1..].to_vec()) };
    for event in [stored(1, &[]), removed, stored(2, &prompt), stored(2, &prompt)] {
        index.on_event(server, event, NOW);
    }
    assert_eq!(index.covered_blocks(server, &prompt, NOW), 1.0);
    assert!(!index.has_gap(server));
}

// A lost event must not block the index permanently, and the index must lose weight meanwhile.
#[test]
fn on_event_missing_index_decays_until_snapshot() {
    let prompt = block_hashes(&[7; 64], 16);
    let server = ServerKey(1);
    let config = PrefixConfig { max_pending: 4, ..PrefixConfig::default() };
    let mut index = PrefixIndex::new(config);
    index.on_event(server, stored(1, &prompt), NOW);
    (3..8).for_each(|number| index.on_event(server, stored(number, &[]), NOW));
    assert!(index.has_gap(server));
    let later = NOW + Duration::from_secs(20);
    let covered = index.covered_blocks(server, &prompt, later);
    assert!(covered > 1.4 && covered < 1.5, "{covered}");
    let snapshot = CacheEvent { number: 9, change: CacheChange::Snapshot(prompt.clone()) };
    index.on_event(server, snapshot, later);
    assert_eq!(index.covered_blocks(server, &prompt, later), 4.0);
}

#[test]
fn on_event_many_blocks_memory_bounded() {
    let config = PrefixConfig { max_blocks: 100, ..PrefixConfig::default() };
    let mut index = PrefixIndex::new(config);
    for number in 0..1_000 {
        index.on_event(ServerKey(1), stored(number, &[BlockHash(number)]), NOW);
    }
    assert!(index.block_count() <= 100);
    assert_eq!(index.covered_blocks(ServerKey(1), &[BlockHash(999)], NOW), 1.0);
}

// When all tries fail, retries may add at most a tenth to the load.
#[test]
fn try_retry_outage_retries_stay_a_tenth_of_successes() {
    let mut budget = RetryBudget::new(RetryConfig::default());
    let mut request = RetryRequest {
        idempotent: true,
        last_outcome: TryOutcome::Unknown,
        answer_started: false,
        remaining: Duration::from_secs(1),
    };
    (0..1_000).for_each(|_| budget.on_success());
    let retried = (0..1_000).filter(|_| budget.try_retry(&request).is_ok()).count();
    assert_eq!(retried, 10);
    (0..50).for_each(|_| budget.on_success());
    request.idempotent = false;
    assert_eq!(budget.try_retry(&request), Err(RetryRefusal::NotIdempotent));
    request.last_outcome = TryOutcome::NotRun;
    assert_eq!(budget.try_retry(&request), Ok(()));
    request.remaining = Duration::from_millis(1);
    assert_eq!(budget.try_retry(&request), Err(RetryRefusal::TooLate));
}

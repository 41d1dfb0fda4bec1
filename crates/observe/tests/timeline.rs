//! Tests of merging the events of several processes, and of the timeline as text and JSON.

use flamingowheel_observe::api::{EventQuery, EventsAnswer, ProcessInfo};
use flamingowheel_observe::clock::{HybridClock, ManualClock, Stamp};
use flamingowheel_observe::event::{Event, StampedEvent, Subject};
use flamingowheel_observe::metrics::Metrics;
use flamingowheel_observe::reason::{
    Class, RefusalReason, RetryDenial, RouteReason, SwitchStep, UnknownReason,
};
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_observe::timeline::{COLUMNS, UnreachableProcess, merge};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use uuid::Uuid;

const START_MS: u64 = 1_796_256_000_000;

struct Process {
    recorder: Recorder,
    wall: ManualClock,
}

fn process(name: &str, now_ms: u64) -> Process {
    let wall = ManualClock::default();
    wall.set_ms(now_ms);
    let info = ProcessInfo { name: name.into(), vm: "vm".into(), data_centre: "dc-a".into() };
    let metrics = Metrics::new().expect("metrics register");
    let recorder = Recorder::new(info, HybridClock::new(wall.clone()), 64, metrics);
    Process { recorder, wall }
}

impl Process {
    fn sends_to(&self, other: &Self) {
        other.recorder.observe(&self.recorder.process().name, self.recorder.stamp());
    }

    fn answer(&self, query: &EventQuery) -> EventsAnswer {
        self.recorder.answer(query)
    }
}

fn request_id() -> Uuid {
    Uuid::from_u128(0x0193_a000_0000_7000_8000_0000_1234_5678)
}

fn by_request() -> EventQuery {
    EventQuery { request: Some(request_id()), ..EventQuery::default() }
}

fn routed(backend_server: &str, attempt: u32) -> Event {
    Event::Routed {
        backend_server: backend_server.into(),
        attempt,
        reason: RouteReason::LeastWait,
        candidates: 4,
        predicted_wait_ms: 12,
    }
}

fn dispatched(backend_server: &str, attempt: u32) -> Event {
    Event::Dispatched {
        backend_server: backend_server.into(),
        attempt,
        incarnation: Uuid::from_u128(0xabcd),
        remaining_ms: 29_990,
    }
}

// An agent is killed while it runs a request that is not idempotent, so the outcome is unknown.
// The timeline alone must show which backend server ran it, that the agent's events are missing
// and why no further attempt followed.
#[test]
fn to_text_agent_killed_shows_all_related_events() {
    let entry = process("entry-1", START_MS);
    let runner = process("runner-2", START_MS - 700);
    let subject = Subject::request(request_id()).workspace("roadside").group("runners-a");
    let at_entry = entry.recorder.with_subject(subject.clone());
    at_entry.record(Event::RequestAccepted {
        class: Class::High,
        idempotent: false,
        deadline_ms: 30_000,
    });
    at_entry.record(routed("runner-2", 1));
    at_entry.record(dispatched("runner-2", 1));
    entry.sends_to(&runner);
    runner.recorder.record_with_subject(
        &subject,
        Event::Refused {
            backend_server: "runner-2".into(),
            attempt: 1,
            reason: RefusalReason::Full,
        },
    );
    runner.sends_to(&entry);
    entry.wall.set_ms(START_MS + 2);
    at_entry.record(routed("runner-7", 2));
    at_entry.record(dispatched("runner-7", 2));
    entry.wall.set_ms(START_MS + 3_104);
    at_entry.record(Event::RetryDenied { attempt: 2, reason: RetryDenial::NotIdempotent });
    at_entry.record(Event::OutcomeUnknown {
        class: Class::High,
        attempts: 2,
        reason: UnknownReason::AgentLost,
    });

    runner.wall.set_ms(START_MS + 2_404);

    let query = by_request();
    let answers = vec![runner.answer(&query), entry.answer(&query)];
    let lost =
        UnreachableProcess { process: "runner-7".into(), reason: "connection refused".into() };
    let timeline = merge(query, answers, vec![lost]);
    insta::assert_snapshot!(timeline.to_text());
    insta::assert_json_snapshot!(timeline);
}

// The timeline of a workspace must contain the full id of each request, since the timeline of a
// single request can't be queried by the shortened id.
#[test]
fn to_text_workspace_shows_full_request_ids() {
    let entry = process("entry-1", START_MS);
    let request = entry.recorder.with_subject(Subject::request(request_id()).workspace("roadside"));
    request.record(Event::RequestAccepted {
        class: Class::Normal,
        idempotent: true,
        deadline_ms: 120_000,
    });
    request.record(Event::Completed {
        class: Class::Normal,
        attempts: 1,
        chunks: 1,
        duration_ms: 40,
    });
    let other = Subject::request(Uuid::from_u128(9)).workspace("roadside");
    entry.recorder.record_with_subject(&other, routed("runner-2", 1));
    let query = EventQuery { workspace: Some("roadside".into()), ..EventQuery::default() };
    let text = merge(query.clone(), vec![entry.answer(&query)], Vec::new()).to_text();
    assert!(text.contains(&format!("{}]", request_id())), "{text}");
    assert!(text.contains("COMPLETE: 1 chunk in 40 ms, 1 attempt"), "{text}");
}

// A crash that explains a request has no workspace. It must not move the workspace from the title
// to every line.
#[test]
fn to_text_context_keeps_workspace_in_title() {
    let agent = process("runner-2", START_MS);
    let started = Event::Started { attempt: 1, running: 1 };
    let subject = Subject::request(request_id()).workspace("roadside");
    agent.recorder.record_with_subject(&subject, started);
    agent.recorder.record(Event::EngineCrashed { backend_server: "runner-2".into(), running: 1 });
    let text = merge(by_request(), vec![agent.answer(&by_request())], Vec::new()).to_text();
    assert_eq!(text.matches("workspace roadside").count(), 1, "{text}");
    assert!(text.contains("engine of runner-2 crashed"), "{text}");
}

// An agent was killed some time ago and is no longer in the list of processes, so its events were
// not queried. The timeline must name it as missing.
#[test]
fn merge_names_unlisted_agent() {
    let entry = process("entry-1", START_MS);
    entry.recorder.record(dispatched("runner-7", 1));
    let query = EventQuery::default();
    let timeline = merge(query.clone(), vec![entry.answer(&query)], Vec::new());
    assert_eq!(timeline.unreachable.len(), 1);
    assert!(timeline.to_text().contains("NOT REACHED runner-7: got attempts"));
}

// The runner's wall clock is behind the entry's by less than the drift bound. Sorted by wall-clock
// time, its admission would precede the dispatch that caused it.
#[test]
fn merge_clock_behind_keeps_cause_before_effect() {
    let entry = process("entry-1", START_MS);
    let runner = process("agent-2", START_MS - 900);
    entry.recorder.record(dispatched("runner-2", 1));
    entry.sends_to(&runner);
    runner.recorder.record(Event::Admitted { attempt: 1, queued: 0 });
    let query = EventQuery::default();
    let timeline =
        merge(query.clone(), vec![runner.answer(&query), entry.answer(&query)], Vec::new());
    let order: Vec<&str> = timeline.events.iter().map(|event| &*event.process).collect();
    assert_eq!(order, ["entry-1", "agent-2"]);
}

#[test]
fn merge_process_asked_twice_shows_events_once() {
    let entry = process("entry-1", START_MS);
    entry.recorder.record(routed("runner-2", 1));
    let query = EventQuery::default();
    let timeline =
        merge(query.clone(), vec![entry.answer(&query), entry.answer(&query)], Vec::new());
    assert_eq!(timeline.events.len(), 1);
}

// Of three agents in a switch one has overwritten events and one has a clock that is an hour fast.
// Without a note the gap and the wrong order would go unnoticed.
#[test]
fn to_text_names_gaps_and_wrong_clocks() {
    let fast = process("agent-1", START_MS + 3_600_000);
    let busy = process("agent-2", START_MS + 40);
    let healthy = process("agent-3", START_MS + 50);
    let group = Subject::default().group("runners-a");
    for _ in 0..70 {
        let step = Event::Switch { step: SwitchStep::Staged, map_revision: 41 };
        busy.recorder.record_with_subject(&group, step);
    }
    for process in [&fast, &healthy] {
        let step = Event::Switch { step: SwitchStep::Resumed, map_revision: 42 };
        process.recorder.record_with_subject(&group, step);
    }
    let query = EventQuery { group: Some("runners-a".into()), ..EventQuery::default() };
    let answers = [&fast, &busy, &healthy].map(|process| process.answer(&query));
    let mut timeline = merge(query, answers.into(), Vec::new());
    timeline.events.retain(|event| event.process.as_ref() != "agent-2");
    insta::assert_snapshot!(timeline.to_text());
}

// Most text formats end with the year 9999. A clock that reads a later year must not cause a panic.
#[test]
fn to_text_clock_after_year_9999_still_prints() {
    let far_ahead = process("agent-1", 1 << 47);
    far_ahead.recorder.record(routed("runner-1", 1));
    let out_of_range = process("agent-2", (1 << 48) - 1);
    out_of_range.recorder.record(routed("runner-1", 1));
    let query = EventQuery { since_ms: Some(1), ..EventQuery::default() };
    let answers = vec![far_ahead.answer(&query), out_of_range.answer(&query)];
    let text = merge(query, answers, Vec::new()).to_text();
    assert!(text.contains("routed to runner-1"), "{text}");
}

// Control characters in another process's name, printed as is, would move the terminal's cursor or
// forge lines of the timeline.
#[test]
fn to_text_control_characters_in_name_replaced() {
    let forged = process("agent\x1b[2A", START_MS);
    forged.recorder.record(routed("runner\n+0.000", 1));
    let query = EventQuery::default();
    let text = merge(query.clone(), vec![forged.answer(&query)], Vec::new()).to_text();
    assert!(text.contains("agent?[2A") && text.contains("runner?+0.000"), "{text}");
}

const PROCESSES: usize = 4;

/// Vector clock of an event: the exact causal order, against which the order by stamps is checked.
type VectorClock = [u64; PROCESSES];

fn is_before(one: &VectorClock, other: &VectorClock) -> bool {
    one != other && one.iter().zip(other).all(|(one, other)| one <= other)
}

#[derive(Clone, Debug)]
struct Step {
    process: usize,
    receiver: usize,
    clock_moves_ms: i64,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..PROCESSES, 0..PROCESSES, -300..300_i64)
        .prop_map(|(process, receiver, clock_moves_ms)| Step { process, receiver, clock_moves_ms });
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Names and reasons come from other processes and may hold anything.
    #[test]
    fn to_text_any_names_fit_line_width(names in prop::collection::vec("\\PC{0,120}|[\\x00-\\x1f\\x7f ]{0,9}", 1..4)) {
        let events = names.iter().enumerate().map(|(index, name)| {
            StampedEvent {
                stamp: Stamp::new(START_MS, index as u16),
                sequence: 1,
                process: name.as_str().into(),
                subject: Subject::default().workspace(name.as_str()),
                event: Event::KeyValueDown { error: name.as_str().into() },
            }.into()
        }).collect();
        let name = names[0].as_str();
        let process = ProcessInfo { name: name.into(), vm: name.into(), data_centre: name.into() };
        let now = Stamp::new(START_MS, 0);
        let answer = EventsAnswer { process, now, oldest: None, overwritten: 3, left_out: 2, events };
        let lost = UnreachableProcess { process: name.into(), reason: name.into() };
        let text = merge(EventQuery::default(), vec![answer], vec![lost]).to_text();
        for line in text.lines() {
            prop_assert!(line.chars().count() <= COLUMNS, "{line}");
            prop_assert!(!line.chars().any(char::is_control), "{line:?}");
        }
    }
    // Processes record events and send each other messages, while every wall clock jumps forwards
    // and backwards within the drift bound.
    #[test]
    fn merge_any_messages_keep_causes_before_effects(steps in steps()) {
        let processes: Vec<Process> =
            (0..PROCESSES).map(|number| process(&format!("p{number}"), START_MS)).collect();
        let mut clocks = [[0; PROCESSES]; PROCESSES];
        let mut causes = Vec::new();
        for step in &steps {
            let (sender, receiver) = (&processes[step.process], &processes[step.receiver]);
            sender.wall.set_ms(START_MS.checked_add_signed(step.clock_moves_ms).expect("in range"));
            clocks[step.process][step.process] += 1;
            sender.recorder.record(Event::LeaseLost { lease: causes.len().to_string().into() });
            causes.push(clocks[step.process]);
            sender.sends_to(receiver);
            let sent = clocks[step.process];
            let local = clocks[step.receiver];
            clocks[step.receiver] = std::array::from_fn(|number| local[number].max(sent[number]));
        }
        let query = EventQuery::default();
        let answers = processes.iter().map(|process| process.answer(&query)).collect();
        let order: Vec<VectorClock> = merge(query, answers, Vec::new())
            .events
            .iter()
            .filter_map(|event| match &event.event {
                Event::LeaseLost { lease } => Some(causes[lease.parse::<usize>().ok()?]),
                _ => None,
            })
            .collect();
        prop_assert_eq!(order.len(), steps.len());
        for (index, effect) in order.iter().enumerate() {
            prop_assert!(!order[index..].iter().any(|later| is_before(later, effect)));
        }
    }
}

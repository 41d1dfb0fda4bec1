//! Guarantees of an agent to entries, with fake backend servers and a paused clock.

mod session;

use bytes::Bytes;
use flamingowheel_agent::control::Command;
use flamingowheel_backing::fake::text::whole_stream;
use flamingowheel_backing::fake::{EngineSettings, FakeEngine, FakeService};
use flamingowheel_protocol::id::{AttemptId, ExecutionKey, Incarnation};
use flamingowheel_protocol::message::{AgentMessage, Dispatch, EntryMessage, Failure, Refusal};
use session::{Session, attach, cancel, config};
use std::time::Duration;
use tokio::time::sleep;
use uuid::Uuid;

const STREAM: &str = r#"{"stream":true,"max_tokens":20}"#;

fn slow_service() -> FakeService {
    let service = FakeService::new(1);
    service.set_delay(Duration::from_secs(1));
    service
}

// The network delivers a dispatch twice: the first copy is refused because all places are taken,
// and the second arrives when places are free. The caller received "not run", so it must not run.
#[tokio::test(start_paused = true)]
async fn dispatch_refused_late_copy_does_not_run() {
    let service = slow_service();
    let mut config = config();
    config.queue_places = 0;
    let mut session = Session::start(service.clone(), config).await;
    let (first, second, third) = (session.request("a"), session.request("b"), session.request("c"));
    for dispatch in [&first, &second, &third] {
        session.dispatch(dispatch).await;
    }
    assert_eq!(session.refusal(third.attempt).await, Refusal::Full);
    sleep(Duration::from_secs(2)).await;
    session.dispatch(&third).await;
    assert_eq!(session.refusal(third.attempt).await, Refusal::Cancelled);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(service.executions(b"c"), 0);
}

// A cancel message arrives before its dispatch, and the caller receives "not run". The late
// dispatch must be refused.
#[tokio::test(start_paused = true)]
async fn cancel_overtakes_dispatch() {
    let service = FakeService::new(1);
    let mut session = Session::start(service.clone(), config()).await;
    let ticketed = session.ticket_request("repair box 17", Uuid::now_v7());
    session.send(cancel(&ticketed, false)).await;
    assert_eq!(session.refusal(ticketed.attempt).await, Refusal::Cancelled);
    session.dispatch(&ticketed).await;
    assert_eq!(session.refusal(ticketed.attempt).await, Refusal::Cancelled);
    assert_eq!(service.executions(b"repair box 17"), 0);
}

// The connection is lost along with the dispatch, and the entry attaches over a new one. The
// agent's answer "never arrived" must hold even if the dispatch arrives afterwards.
#[tokio::test(start_paused = true)]
async fn attach_dispatch_never_arrived() {
    let service = FakeService::new(1);
    let mut session = Session::start(service.clone(), config()).await;
    let request = session.request("a");
    session.send(attach(&request, 0)).await;
    assert_eq!(session.refusal(request.attempt).await, Refusal::NeverArrived);
    session.dispatch(&request).await;
    assert_eq!(session.refusal(request.attempt).await, Refusal::Cancelled);
    assert_eq!(service.executions(b"a"), 0);
}

// A dispatch to an earlier agent process arrives after a restart. That process may have run it
// already, so this one must not.
#[tokio::test(start_paused = true)]
async fn dispatch_to_earlier_incarnation() {
    let service = FakeService::new(1);
    let mut session = Session::start(service.clone(), config()).await;
    let mut ticketed = session.ticket_request("payout 5", Uuid::now_v7());
    ticketed.incarnation = Incarnation(7);
    session.dispatch(&ticketed).await;
    assert_eq!(session.refusal(ticketed.attempt).await, Refusal::WrongIncarnation);
    assert_eq!(service.executions(b"payout 5"), 0);
}

// A ticket arrives twice at the same time. It must run once, and both attempts must get its answer.
#[tokio::test(start_paused = true)]
async fn ticket_twice_at_once_runs_once() {
    let service = slow_service();
    let mut session = Session::start(service.clone(), config()).await;
    let number = Uuid::now_v7();
    let (first, second) =
        (session.ticket_request("crew", number), session.ticket_request("crew", number));
    session.dispatch(&first).await;
    session.dispatch(&second).await;
    let one = session.complete(first.attempt).await;
    session.dispatch(&session.ticket_request("crew", number)).await;
    let third = session.ticket_request("crew", number);
    session.dispatch(&third).await;
    assert_eq!(session.complete(third.attempt).await, one);
    assert_eq!(service.executions(b"crew"), 1);
}

// A client reuses a ticket with another body by mistake. The second request must not get the answer
// of the first.
#[tokio::test(start_paused = true)]
async fn ticket_other_body_refused() {
    let service = FakeService::new(1);
    let mut session = Session::start(service.clone(), config()).await;
    let number = Uuid::now_v7();
    let (first, other) =
        (session.ticket_request("box 17", number), session.ticket_request("box 18", number));
    session.dispatch(&first).await;
    session.complete(first.attempt).await;
    session.dispatch(&other).await;
    assert_eq!(session.refusal(other.attempt).await, Refusal::TicketMismatch);
    assert_eq!(service.executions(b"box 18"), 0);
}

// A ticket is voided before its dispatch arrives. The dispatch must not run.
#[tokio::test(start_paused = true)]
async fn void_ticket_never_runs() {
    let service = FakeService::new(1);
    let mut session = Session::start(service.clone(), config()).await;
    let number = Uuid::now_v7();
    let voiding = session.ticket_request("takedown", number);
    session.send(cancel(&voiding, true)).await;
    assert_eq!(session.refusal(voiding.attempt).await, Refusal::Cancelled);
    let late = session.ticket_request("takedown", number);
    session.dispatch(&late).await;
    assert_eq!(session.refusal(late.attempt).await, Refusal::Cancelled);
    assert_eq!(service.executions(b"takedown"), 0);
}

// A resend arrives after its ticket's record was dropped. The agent can't determine whether it ran,
// so it must refuse it.
#[tokio::test(start_paused = true)]
async fn ticket_after_retention_refused() {
    let service = FakeService::new(1);
    let mut config = config();
    config.ticket_windows = 6;
    let mut session = Session::start(service.clone(), config).await;
    let number = Uuid::now_v7();
    let first = session.ticket_request("payout 6", number);
    session.dispatch(&first).await;
    session.complete(first.attempt).await;
    session.send(EntryMessage::Release { attempt: first.attempt, key: first.key }).await;
    sleep(Duration::from_secs(120)).await;
    let mut late = session.ticket_request("payout 6", number);
    late.window = flamingowheel_protocol::id::Window(13);
    session.dispatch(&late).await;
    assert_eq!(session.refusal(late.attempt).await, Refusal::Expired);
    assert_eq!(service.executions(b"payout 6"), 1);
}

// More tickets arrive within the retention time than there may be records. New ones must be
// refused, and no ticket that ran may be dropped.
#[tokio::test(start_paused = true)]
async fn ticket_records_full_refused_not_dropped() {
    let service = FakeService::new(1);
    let mut config = config();
    config.max_ticket_records = 2;
    let mut session = Session::start(service.clone(), config).await;
    let numbers = [Uuid::now_v7(), Uuid::now_v7(), Uuid::now_v7()];
    for number in &numbers[..2] {
        let ticketed = session.ticket_request("crew", *number);
        session.dispatch(&ticketed).await;
        session.complete(ticketed.attempt).await;
    }
    let third = session.ticket_request("crew", numbers[2]);
    session.dispatch(&third).await;
    assert_eq!(session.refusal(third.attempt).await, Refusal::RecordsFull);
    let again = session.ticket_request("crew", numbers[0]);
    session.dispatch(&again).await;
    session.complete(again.attempt).await;
    assert_eq!(service.executions(b"crew"), 2);
}

// The answers of tickets reach the bound on bytes before the bound on records. New tickets must be
// refused and old ones answered, until the old records expire.
#[tokio::test(start_paused = true)]
async fn ticket_answers_reach_byte_bound_refused_not_dropped() {
    let one = FakeService::answer(b"crew", 1).len() + size_of::<Bytes>();
    let service = FakeService::new(1);
    let mut config = config();
    config.ticket_windows = 6;
    config.max_record_bytes = one * 3 / 2;
    let mut session = Session::start(service.clone(), config).await;
    let numbers: Vec<_> = (0..3).map(|_| Uuid::now_v7()).collect();
    let mut answers = Vec::new();
    for number in &numbers[..2] {
        let ticketed = session.ticket_request("crew", *number);
        session.dispatch(&ticketed).await;
        answers.push(session.complete(ticketed.attempt).await);
        session.send(EntryMessage::Release { attempt: ticketed.attempt, key: ticketed.key }).await;
    }
    let third = session.ticket_request("crew", numbers[2]);
    session.dispatch(&third).await;
    assert_eq!(session.refusal(third.attempt).await, Refusal::RecordsFull);
    for (number, answer) in numbers.iter().zip(&answers) {
        let again = session.ticket_request("crew", *number);
        session.dispatch(&again).await;
        assert_eq!(session.complete(again.attempt).await, *answer);
        session.send(EntryMessage::Release { attempt: again.attempt, key: again.key }).await;
    }
    assert_eq!(service.executions(b"crew"), 2);

    sleep(Duration::from_secs(120)).await;
    let mut later = session.ticket_request("crew", numbers[2]);
    let window = flamingowheel_protocol::id::Window(13);
    later.window = window;
    later.key = ExecutionKey::Ticket { number: numbers[2], window };
    session.dispatch(&later).await;
    session.complete(later.attempt).await;
    assert_eq!(service.executions(b"crew"), 3);
}

// Answers to idempotent requests must not count towards the bound on tickets' answers.
#[tokio::test(start_paused = true)]
async fn idempotent_answers_take_no_record_bytes() {
    let mut config = config();
    config.max_record_bytes = 1;
    let mut session = Session::start(FakeService::new(1), config).await;
    for _ in 0..3 {
        let request = session.request("status");
        session.dispatch(&request).await;
        session.complete(request.attempt).await;
    }
    let ticketed = session.ticket_request("crew", Uuid::now_v7());
    session.dispatch(&ticketed).await;
    session.complete(ticketed.attempt).await;
}

// The connection to the engine goes silent in the middle of a stream. The stream must be resumed
// over a new connection, without missing or repeated tokens.
#[tokio::test(start_paused = true)]
async fn stream_silent_engine_connection_replaced() {
    let engine = FakeEngine::new(1, EngineSettings::default());
    let mut session = Session::start(engine.clone(), config()).await;
    let request = session.request(STREAM);
    session.dispatch(&request).await;
    sleep(Duration::from_millis(105)).await;
    engine.set_frozen(true);
    sleep(Duration::from_secs(4)).await;
    engine.set_frozen(false);
    let chunks = session.complete(request.attempt).await;
    let expected = whole_stream(STREAM.as_bytes(), 0);
    assert!(chunks.iter().map(|(number, _)| *number).eq(0..expected.len() as u64));
    assert!(chunks.into_iter().map(|(_, data)| data).eq(expected));
}

// The connection to an entry is lost in the middle of a stream. The entry attaches again and must
// get the stream from the first chunk that it has not received.
#[tokio::test(start_paused = true)]
async fn attach_resumes_from_chunk() {
    let engine = FakeEngine::new(1, EngineSettings::default());
    let mut session = Session::start(engine, config()).await;
    let request = session.request(STREAM);
    session.dispatch(&request).await;
    let received = loop {
        if let AgentMessage::Chunk { number: 4, .. } = session.next(request.attempt).await {
            break 5;
        }
    };
    session.send(attach(&request, received)).await;
    let mut numbers = Vec::new();
    loop {
        match session.next(request.attempt).await {
            AgentMessage::Chunk { number, .. } => numbers.push(number),
            AgentMessage::End { .. } => break,
            _ => {}
        }
    }
    numbers.retain(|number| *number >= received);
    let count = whole_stream(STREAM.as_bytes(), 0).len() as u64;
    assert!(numbers.into_iter().eq(received..count));
}

// A request makes the engine crash and is sent again. The agent must refuse it from then on and
// report the suspicion to entries.
#[tokio::test(start_paused = true)]
async fn crash_makes_suspect() {
    let engine = FakeEngine::new(1, EngineSettings::default());
    engine.crash_on("poison");
    let mut session = Session::start(engine.clone(), config()).await;
    sleep(Duration::from_secs(1)).await;
    let poison = session.request(r#"{"poison":1,"stream":true}"#);
    session.dispatch(&poison).await;
    loop {
        match session.next(poison.attempt).await {
            AgentMessage::Failed { failure, .. } => {
                assert_eq!(failure, Failure::BackendLost);
                break;
            }
            AgentMessage::Refused { refusal, .. } => panic!("{refusal}"),
            _ => {}
        }
    }
    assert_eq!(session.next_suspicions().await, 1);
    engine.restart();
    sleep(Duration::from_secs(1)).await;
    let again = session.request(r#"{"poison":1,"stream":true}"#);
    session.dispatch(&again).await;
    assert_eq!(session.refusal(again.attempt).await, Refusal::Suspect);
    assert_eq!(engine.crashes(), 1);
}

// The VM is about to leave. New requests must be refused at once, running ones must complete, and
// resends of finished tickets must be answered until the process ends.
#[tokio::test(start_paused = true)]
async fn leave_refuses_new_and_finishes_old() {
    let service = slow_service();
    let mut session = Session::start(service.clone(), config()).await;
    let number = Uuid::now_v7();
    let running = session.ticket_request("crew", number);
    session.dispatch(&running).await;
    sleep(Duration::from_millis(100)).await;
    session.send(EntryMessage::VmLeaving).await;
    let new = session.request("new");
    session.dispatch(&new).await;
    assert_eq!(session.refusal(new.attempt).await, Refusal::Leaving);
    assert!(!session.agent.status().drained);
    let answer = session.complete(running.attempt).await;
    let again = session.ticket_request("crew", number);
    session.dispatch(&again).await;
    assert_eq!(session.complete(again.attempt).await, answer);
    for attempt in [running.attempt, again.attempt] {
        session.send(EntryMessage::Release { attempt, key: running.key }).await;
    }
    let mut agent = session.agent.clone();
    agent.drain().await;
    assert_eq!(service.executions(b"crew"), 1);
}

// The entry that sent a request died. The request must be stopped after a while, or it would hold a
// place although no entry reads the answer.
#[tokio::test(start_paused = true)]
async fn orphan_stopped() {
    let engine = FakeEngine::new(1, EngineSettings::default());
    let mut session = Session::start(engine.clone(), config()).await;
    let request = session.request(r#"{"stream":true,"max_tokens":100000}"#);
    session.dispatch(&request).await;
    session.next(request.attempt).await;
    let attempt: AttemptId = request.attempt;
    session.send(EntryMessage::Release { attempt, key: request.key }).await;
    sleep(Duration::from_secs(15)).await;
    assert_eq!(engine.runs_of_body(&request.body).cancelled, 1);
}

// The group of a backend server changes its version. Running requests must complete; queued and new
// ones must be refused as "not run", so that another group can run them.
#[tokio::test(start_paused = true)]
async fn set_open_closed_completes_running_refuses_queued() {
    let service = slow_service();
    let mut session = Session::start(service.clone(), config()).await;
    let (first, second) = (session.request("a"), session.request("b"));
    // Only a dispatch marked as the last try is queued while all places are taken.
    let third = Dispatch { last_try: true, ..session.request("c") };
    for dispatch in [&first, &second, &third] {
        session.dispatch(dispatch).await;
    }
    session.agent.commands().send(Command::SetOpen(false)).await.unwrap();
    assert_eq!(session.refusal(third.attempt).await, Refusal::BackendDown);
    let late = session.request("d");
    session.dispatch(&late).await;
    assert_eq!(session.refusal(late.attempt).await, Refusal::BackendDown);
    assert_eq!(session.agent.status().in_progress_count, 2);
    session.complete(first.attempt).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(session.agent.status().in_progress_count, 0);
    assert_eq!((service.executions(b"c"), service.executions(b"d")), (0, 0));
    session.agent.commands().send(Command::SetOpen(true)).await.unwrap();
    let next = session.request("e");
    session.dispatch(&next).await;
    session.complete(next.attempt).await;
}

// A ticket is queued, its entry dies, and the ticket is voided. A late copy of its dispatch arrives
// when there is room again. The caller received "not run", so it must not run.
#[tokio::test(start_paused = true)]
async fn void_waiting_ticket_late_copy_does_not_run() {
    let service = slow_service();
    let mut session = Session::start(service.clone(), config()).await;
    for body in ["a", "b"] {
        session.dispatch(&session.request(body)).await;
    }
    let number = Uuid::now_v7();
    let (mut ticketed, voiding) =
        (session.ticket_request("payout 7", number), session.ticket_request("payout 7", number));
    ticketed.last_try = true;
    session.dispatch(&ticketed).await;
    assert!(matches!(session.next(ticketed.attempt).await, AgentMessage::Accepted { .. }));
    session.send(EntryMessage::Release { attempt: ticketed.attempt, key: ticketed.key }).await;
    session.send(cancel(&voiding, true)).await;
    assert_eq!(session.refusal(voiding.attempt).await, Refusal::Cancelled);
    sleep(Duration::from_secs(2)).await;
    let late = session.ticket_request("payout 7", number);
    session.dispatch(&late).await;
    assert_eq!(session.refusal(late.attempt).await, Refusal::Cancelled);
    assert_eq!(service.executions(b"payout 7"), 0);
}

// The bound on tickets is reached, so a ticket is refused and then voided in order to run
// elsewhere. A late copy of its dispatch must not run.
#[tokio::test(start_paused = true)]
async fn void_ticket_records_full_never_runs() {
    let service = FakeService::new(1);
    let mut config = config();
    config.max_ticket_records = 1;
    let mut session = Session::start(service.clone(), config).await;
    let first = session.ticket_request("crew", Uuid::now_v7());
    session.dispatch(&first).await;
    session.complete(first.attempt).await;
    let number = Uuid::now_v7();
    let (second, voiding) =
        (session.ticket_request("payout 8", number), session.ticket_request("payout 8", number));
    session.dispatch(&second).await;
    assert_eq!(session.refusal(second.attempt).await, Refusal::RecordsFull);
    session.send(cancel(&voiding, true)).await;
    assert_eq!(session.refusal(voiding.attempt).await, Refusal::Cancelled);
    let late = session.ticket_request("payout 8", number);
    session.dispatch(&late).await;
    assert_eq!(session.refusal(late.attempt).await, Refusal::Cancelled);

    // Tombstones are bounded too. Beyond the bound the agent can't guarantee "not run".
    let more: Vec<_> = (0..4).map(|_| session.ticket_request("payout 9", Uuid::now_v7())).collect();
    session.send(cancel(&more[0], true)).await;
    assert!(matches!(session.next(more[0].attempt).await, AgentMessage::Failed { .. }));
    assert_eq!(service.executions(b"payout 8"), 0);
}

// Streams that were read are kept for a while, since they may be resumed through another entry. At
// the bound on their bytes new idempotent requests must be refused and tickets admitted, and kept
// streams must not be dropped early.
#[tokio::test(start_paused = true)]
async fn stream_answers_reach_byte_bound_refused_not_dropped() {
    let engine = FakeEngine::new(1, EngineSettings::default());
    let mut config = config();
    config.max_attempt_bytes = 1;
    let mut session = Session::start(engine, config).await;
    let first = session.request(STREAM);
    session.dispatch(&first).await;
    let chunks = session.complete(first.attempt).await;
    session.send(EntryMessage::Release { attempt: first.attempt, key: first.key }).await;
    let second = session.request(STREAM);
    session.dispatch(&second).await;
    assert_eq!(session.refusal(second.attempt).await, Refusal::RecordsFull);
    let mut resumed = attach(&first, 0);
    let other = AttemptId { number: 70_000, ..first.attempt };
    if let EntryMessage::Attach { attempt, .. } = &mut resumed {
        *attempt = other;
    }
    session.send(resumed).await;
    assert_eq!(session.complete(other).await, chunks);
    session.send(EntryMessage::Release { attempt: other, key: first.key }).await;
    let ticketed = session.ticket_request(STREAM, Uuid::now_v7());
    session.dispatch(&ticketed).await;
    session.complete(ticketed.attempt).await;

    sleep(Duration::from_secs(140)).await;
    let mut third = session.request(STREAM);
    third.window = flamingowheel_protocol::id::Window(15);
    session.dispatch(&third).await;
    session.complete(third.attempt).await;
}

// Answers that are not event streams can't be resumed, so they must not be kept once they were
// read.
#[tokio::test(start_paused = true)]
async fn plain_answers_read_take_no_bytes() {
    let mut config = config();
    config.max_attempt_bytes = 1;
    let mut session = Session::start(FakeService::new(1), config).await;
    for _ in 0..3 {
        let request = session.request("status");
        session.dispatch(&request).await;
        session.complete(request.attempt).await;
        session.send(EntryMessage::Release { attempt: request.attempt, key: request.key }).await;
    }
}

//! How long a group is stopped by a map switch, and by each fault at each message of one. Time is
//! the runtime's paused clock, so the figures don't depend on the machine.
#![allow(clippy::print_stdout)]

#[path = "../tests/support/mod.rs"]
mod support;

use flamingowheel_backing::fake::{LostAnswer, OrderFault};
use flamingowheel_group::gate::EngineKind;
use std::time::Duration;
use support::{Fault, OUTAGE, World};
use tokio::time::sleep;

const MESSAGES: u64 = 70;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const RUN_TIME: Duration = Duration::from_secs(25);

/// Name, fault and duration.
const FAULTS: [(&str, Fault, Duration); 17] = [
    ("request_lost", Fault::LoseRequest, Duration::ZERO),
    ("answer_lost", Fault::LoseAnswer, Duration::ZERO),
    ("request_doubled", Fault::Duplicate, Duration::ZERO),
    ("request_5_s_late", Fault::Delay(Duration::from_secs(5)), Duration::ZERO),
    ("agent_killed", Fault::KillAgent, Duration::from_secs(2)),
    ("agent_paused", Fault::PauseAgent, OUTAGE),
    ("engine_crashed", Fault::CrashEngine, Duration::from_secs(2)),
    ("engine_frozen", Fault::FreezeEngine, OUTAGE),
    ("order_lost_after_effect", Fault::LoseOrder(OrderFault::AnswerLost), Duration::ZERO),
    ("order_lost_before_effect", Fault::LoseOrder(OrderFault::RequestLost), Duration::ZERO),
    ("service_down", Fault::ServiceDown, OUTAGE),
    ("service_slow", Fault::ServiceSlow, OUTAGE),
    ("write_lost_after", Fault::LoseServiceAnswers(LostAnswer::AfterEffect), Duration::ZERO),
    ("write_lost_before", Fault::LoseServiceAnswers(LostAnswer::BeforeEffect), Duration::ZERO),
    ("coordinator_paused", Fault::PauseCoordinator, Duration::ZERO),
    ("coordinator_killed", Fault::KillCoordinator, Duration::ZERO),
    ("lease_expired", Fault::ExpireLease, Duration::ZERO),
];

/// Observations of one run.
#[derive(Default)]
struct Observed {
    stopped: Duration,
    /// From the fault's end to the last interval without a step.
    recovery: Duration,
    runs: bool,
    map_mismatches: usize,
}

async fn run(kind: EngineKind, fault: Option<(u64, Fault, Duration)>) -> Observed {
    let world = World::start(kind).await;
    if let Some((message, fault, _)) = fault {
        world.schedule(message, fault);
    }
    world.set_desired_map(2);
    let duration = fault.map_or(Duration::ZERO, |(_, _, duration)| duration);
    let mut observed = Observed::default();
    let (mut since_start, mut injected_at) = (Duration::ZERO, None);
    while since_start < RUN_TIME {
        let runs = world.runs_within(POLL_INTERVAL).await;
        since_start += POLL_INTERVAL;
        if world.all_injected() {
            injected_at.get_or_insert(since_start);
        }
        observed.runs = runs;
        if !runs {
            observed.stopped += POLL_INTERVAL;
            let ended_at = injected_at.map_or(since_start, |at| at + duration);
            observed.recovery = since_start.saturating_sub(ended_at);
        }
    }
    observed.map_mismatches = world.group.map_mismatches().len();
    world.shutdown();
    // Lets the stopped tasks end before the next world begins.
    sleep(POLL_INTERVAL).await;
    observed
}

async fn print(kind_name: &str, kind: EngineKind) {
    let no_fault = run(kind, None).await;
    println!("{kind_name}.no_fault.still_ms={}", no_fault.stopped.as_millis());
    for (name, fault, duration) in FAULTS {
        let (mut worst_recovery, mut out_of_service_runs, mut map_mismatches) =
            (Duration::ZERO, 0, no_fault.map_mismatches);
        for message in 0..MESSAGES {
            let observed = run(kind, Some((message, fault, duration))).await;
            map_mismatches += observed.map_mismatches;
            out_of_service_runs += u32::from(!observed.runs);
            worst_recovery =
                if observed.runs { worst_recovery.max(observed.recovery) } else { worst_recovery };
        }
        let name = format!("{kind_name}.{name}");
        println!("{name}.worst_recovery_ms={}", worst_recovery.as_millis());
        println!("{name}.out_of_service_runs={out_of_service_runs}");
        println!("{name}.split_steps={map_mismatches}");
    }
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O can always be built");
    runtime.block_on(async {
        print("checks_fence", EngineKind::ChecksFence).await;
        print("ignores_fence", EngineKind::IgnoresFence).await;
    });
}

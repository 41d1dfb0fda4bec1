//! Tests of the tool against the demo fleet: an operator must be able to explain a failure with it
//! alone.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use flamingowheel::Output;
use flamingowheel::cli::{Invocation, parse};
use flamingowheel::commands;
use flamingowheel::config::{Config, Environment};
use flamingowheel::error::Error;
use flamingowheel::exit::ExitCode;
use flamingowheel_backing::fake::FakeService;
use flamingowheel_backing::vm::{Vm, VmList, VmState};
use flamingowheel_config::settings::Settings;
use flamingowheel_daemon::agent::{AgentProcess, recorder};
use flamingowheel_daemon::demo::caller::{Caller, Reply};
use flamingowheel_daemon::demo::{Fleet, OPERATORS_TOKEN, SERVICE, TOKEN};
use flamingowheel_entry::http::{REQUEST_HEADER, TICKET_HEADER};
use flamingowheel_observe::api::EventQuery;
use flamingowheel_observe::event::Event;
use http::Method;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// Generous, since tests may run on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);

const ORDER: &[u8] = b"repair callbox 17";

/// Runs a command line.
async fn run(line: &str, entry: SocketAddr) -> Result<Output, Error> {
    let environment = Environment::default()
        .with("FLAMINGOWHEEL_ENTRIES", &entry.to_string())
        .with("FLAMINGOWHEEL_TOKEN", OPERATORS_TOKEN)
        .with("FLAMINGOWHEEL_OPERATOR", "maria");
    let arguments = line.split_whitespace().map(Into::into).collect();
    let Ok(Invocation::Run(typed)) = parse(arguments) else { panic!("{line}") };
    let config = Config::new(*typed, &environment).expect("a configuration");
    commands::run(&config).await
}

async fn output_text(line: &str, entry: SocketAddr) -> String {
    run(line, entry).await.expect("an answer").text
}

async fn send_order(entry: SocketAddr, headers: &[(&str, &str)]) -> Reply {
    send(SERVICE, entry, headers).await
}

async fn send(service: &str, entry: SocketAddr, headers: &[(&str, &str)]) -> Reply {
    let path = format!("/v1/services/{service}/orders");
    let order = Bytes::from_static(ORDER);
    Caller::new(TOKEN).call(Method::POST, entry, &path, headers, order).await.expect("an answer")
}

// A service executes an order and crashes before it answers, so the caller's outcome is unknown. With
// only the request's id, the timeline must show which backend server had the order, what happened to
// it, and why the order was not sent to another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn timeline_service_crashed_shows_outcome_of_order() {
    let fleet = Fleet::start().await.expect("a fleet");
    let services = &fleet.standins.services;
    services.iter().for_each(|service| service.crash_after_effect(1));
    let entry = &fleet.entries[0];

    let reply = send_order(entry.callers, &[]).await;
    assert_eq!(reply.outcome(), "unknown");
    assert_eq!(services.iter().map(|service| service.executions(ORDER)).sum::<u32>(), 1);
    let request = reply.headers[REQUEST_HEADER].to_str().expect("an id");
    let shown = output_text(&format!("timeline --request {request}"), entry.operators).await;
    for line in
        ["attempt 1 dispatched to orders-", "no attempt after 1: not idempotent", "UNKNOWN: "]
    {
        assert!(shown.contains(line), "{line}\n{shown}");
    }
    assert!(!shown.contains("NOT REACHED"), "{shown}");
    fleet.leave().await;
}

// While the key-value service is down, orders without an idempotency key must run exactly once, those
// with one must be refused before anything is sent, and a change must be refused with a known outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fleet_key_value_down_behaves_as_documented() {
    let fleet = Fleet::start().await.expect("a fleet");
    let entry = &fleet.entries[0];
    fleet.standins.key_value.set_down(true);

    let reply = send_order(entry.callers, &[]).await;
    assert_eq!(reply.outcome(), "complete", "{}", reply.text());
    let ticket = reply.headers[TICKET_HEADER].to_str().expect("a ticket");
    let again = send_order(fleet.entries[1].callers, &[(TICKET_HEADER, ticket)]).await;
    assert_eq!(again.body, reply.body);
    let keyed = send_order(entry.callers, &[("idempotency-key", "box-18")]).await;
    assert_eq!(keyed.outcome(), "not-run");
    assert!(keyed.text().contains("key_not_checked"), "{}", keyed.text());
    let runs = fleet.standins.services.iter().map(|service| service.executions(ORDER));
    assert_eq!(runs.sum::<u32>(), 1);

    let line = "apply -f tests/documents/change.yaml --seen 1";
    let refused = run(line, entry.operators).await.expect_err("not accepted");
    assert_eq!(refused.exit_code(), ExitCode::Refused, "{refused}");
    fleet.standins.key_value.set_down(false);
    let accepted = run(line, entry.operators).await.expect("accepted");
    assert_eq!(accepted.exit, ExitCode::Success);
    fleet.leave().await;
}

const INNER_ADDRESS: [u8; 4] = [127, 0, 2, 99];

/// An agent in a runtime of its own. Shutting the runtime down drops the agent's connections and
/// state, as killing its process would.
struct KillableAgent {
    runtime: Runtime,
    _agent: AgentProcess,
    service: FakeService,
}

impl KillableAgent {
    /// Starts an agent of the service `payouts` on a VM that is added to the fleet.
    async fn join(fleet: &Fleet) -> Self {
        let inner = fleet.entries[0].state().node.members()[0].record.inner;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let service = FakeService::new(9);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
        let settings = agent_settings(inner.port(), listener.local_addr().expect("an address"));
        let serving = service.clone();
        let started = runtime.spawn(async move {
            let (connections, stop) = Default::default();
            tokio::spawn(flamingowheel_standin::service::serve(
                listener,
                serving,
                connections,
                stop,
            ));
            let recorder = recorder(&settings).expect("a recorder");
            AgentProcess::start(&settings, recorder).await.expect("an agent")
        });
        let agent = started.await.expect("no panic");
        let mut vms = fleet.standins.vms.list().await.expect("a list");
        vms.push(Vm {
            name: "vm-payouts".to_owned(),
            ip: INNER_ADDRESS.into(),
            data_centre: "ga-central-a".to_owned(),
            state: VmState::Live,
        });
        fleet.standins.vms.set(vms);
        Self { runtime, _agent: agent, service }
    }

    fn kill(self) {
        self.runtime.shutdown_background();
    }
}

fn agent_settings(inner_port: u16, service: SocketAddr) -> Settings {
    let ip = Ipv4Addr::from(INNER_ADDRESS);
    let text = format!(
        "name: payouts-0\nvm: vm-payouts\ndata_centre: ga-central-a\nregion: ga-central\n\
         role: agent\nlisten: {{inner: \"{ip}:{inner_port}\", operators: \"{ip}:0\"}}\n\
         key_value: {{addresses: [\"127.0.0.1:1\"]}}\nvm_list: {{address: \"127.0.0.1:1\"}}\n\
         fleet_key: {{inline: demo-fleet-key-of-32-characters!}}\n\
         operators_token: {{inline: {OPERATORS_TOKEN}}}\n\
         agent: {{backend_server: \"{service}\", kind: service, service: payouts}}\n"
    );
    Settings::parse(&text, Path::new("payouts.yaml")).expect("settings")
}

async fn wait_until<F>(what: &str, holds: F)
where
    F: Fn() -> bool,
{
    let poll = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let result = tokio::time::timeout(TIMEOUT, poll).await;
    assert!(result.is_ok(), "{what}");
}

// An agent's process is killed while its service executes a payout, so the caller's outcome is
// unknown. With only the request's id, the timeline must show which backend server had the payout,
// that its agent and the agent's records are gone, and why the payout was not sent to another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn timeline_agent_killed_shows_outcome_of_payout() {
    let fleet = Fleet::start().await.expect("a fleet");
    let entry = &fleet.entries[0];
    let connected_before = entry.agents().connected().len();
    let agent = KillableAgent::join(&fleet).await;
    output_text("apply -f tests/documents/payouts.yaml --wait 11s", entry.operators).await;
    wait_until("the agent is connected", || entry.agents().connected().len() > connected_before)
        .await;
    agent.service.set_frozen(true);

    let (callers, recorder) = (entry.callers, entry.state().recorder.clone());
    let sent = tokio::spawn(async move { send("payouts", callers, &[]).await });
    let dispatched = |event: &Event| matches!(event, Event::Dispatched { .. });
    let events = || recorder.answer(&EventQuery::default()).events;
    wait_until("it is dispatched", || events().iter().any(|event| dispatched(&event.event))).await;
    agent.kill();

    let reply = tokio::time::timeout(TIMEOUT, sent).await.expect("in time").expect("no panic");
    assert_eq!(reply.outcome(), "unknown");
    let request = reply.headers[REQUEST_HEADER].to_str().expect("an id");
    let shown = output_text(&format!("timeline --request {request}"), entry.operators).await;
    for line in ["NOT REACHED payouts-0:", "dispatched to payouts-0", "not idempotent", "UNKNOWN: "]
    {
        assert!(shown.contains(line), "{line}\n{shown}");
    }
    let status = output_text("status", entry.operators).await;
    let lost = status.lines().find(|line| line.starts_with("payouts-0")).expect("a line");
    assert!(lost.contains("SILENT"), "{status}");
    fleet.leave().await;
}

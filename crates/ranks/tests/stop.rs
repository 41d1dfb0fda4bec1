//! Groups that are held while an agent of theirs stops.

use axum::Router;
use axum::extract::{Json, State};
use axum::routing::{get, post};
use flamingowheel_platform::settings;
use flamingowheel_ranks::process;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::yield_now;

const EPOCH: u64 = 1;
const HELD_PASS: u64 = 12;

/// The engine of a group's only rank, with a request that waits for the held pass.
#[derive(Clone, Debug)]
struct Engine(Arc<Mutex<EngineState>>);

#[derive(Debug)]
struct EngineState {
    is_held: bool,
    /// Releases are answered but not executed.
    ignores_releases: bool,
    releases: usize,
}

impl Engine {
    async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let router = Router::new()
            .route("/v1/report", get(async |State(engine): State<Self>| Json(engine.report())))
            .route("/v1/order", post(order))
            .with_state(self.clone());
        tokio::spawn(axum::serve(listener, router).into_future());
        address
    }

    fn report(&self) -> Value {
        let state = self.0.lock().unwrap();
        json!({
            "waiting": 0, "running": 1, "step": HELD_PASS - 1, "born": 1, "map": 0,
            "group": {"name": "g", "epoch": EPOCH, "rank": 0, "state": "open", "size": 1},
            "held": state.is_held.then_some(HELD_PASS),
        })
    }

    fn is_held(&self) -> bool {
        self.0.lock().unwrap().is_held
    }

    async fn wait_for_release(&self) {
        while self.0.lock().unwrap().releases == 0 {
            yield_now().await;
        }
    }
}

async fn order(State(engine): State<Engine>, Json(order): Json<Value>) {
    let mut state = engine.0.lock().unwrap();
    if order["op"] == "go" {
        state.releases += 1;
        state.is_held &= state.ignores_releases;
    }
}

/// An agent stops while it releases its group; the engine has not executed the first order. A hold
/// does not expire, so the group would stand still, and with it all streams of its callers.
#[tokio::test]
async fn run_stop_releases_held_group() {
    let state = EngineState { is_held: true, ignores_releases: true, releases: 0 };
    let engine = Engine(Arc::new(Mutex::new(state)));
    let address = engine.start().await;
    let text = format!(
        "node=a-1\nip=127.0.0.1\nzone=z\nregion=r\nzones.z=r\nplatform.addr=127.0.0.1:1\n\
         internalPortRange=0,0\napp={address}\nservice=s\n"
    );
    let settings = settings::parse(&text).unwrap();
    let (stop, stopped) = oneshot::channel::<()>();
    let agent = tokio::spawn(async move {
        let stop_signal = async { stopped.await.unwrap() };
        process::run(&settings, stop_signal).await.unwrap();
    });
    engine.wait_for_release().await;
    stop.send(()).unwrap();
    engine.0.lock().unwrap().ignores_releases = false;
    agent.await.unwrap();
    assert!(!engine.is_held(), "the agent ended while its group was held");
}

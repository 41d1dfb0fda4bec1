//! Runs command lines against fake entries and returns what the terminal would show.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Request, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use flamingowheel::cli::{self, Invocation};
use flamingowheel::config::{Config, Environment};
use flamingowheel::error::Error;
use flamingowheel::exit::ExitCode;
use flamingowheel::{Output, commands, help};
use serde_json::Value;
use tokio::net::{TcpListener, TcpSocket};

pub const TOKEN: &str = "operators-token-of-the-test";

/// A fake entry's reply to requests for one path.
#[derive(Clone)]
pub enum Reply {
    Json(u16, Value),
    /// Closes the connection after the request was read, before the answer is complete.
    Disconnect,
    /// Reads the request and never answers.
    Silent,
}

/// A fake entry with fixed replies.
#[derive(Clone, Default)]
pub struct FakeEntry {
    replies: Arc<Mutex<HashMap<String, Reply>>>,
    requests: Arc<Mutex<Vec<String>>>,
}

impl FakeEntry {
    /// Answers `path` with status 200 and `body`.
    pub fn answers(self, path: &str, body: Value) -> Self {
        self.replies(path, Reply::Json(200, body))
    }

    /// Sets the reply to `path`. The query of a request is ignored unless `path` contains one.
    pub fn replies(self, path: &str, reply: Reply) -> Self {
        self.replies.lock().expect("not poisoned").insert(path.to_owned(), reply);
        self
    }

    /// Method, path, query and body of each request received.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().expect("not poisoned").clone()
    }

    /// Listens on loopback until the test ends.
    pub async fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
        let address = listener.local_addr().expect("an address");
        let router = Router::new().fallback(answer).with_state(self.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        address
    }

    fn reply(&self, request: &str, path: &str) -> Option<Reply> {
        let replies = self.replies.lock().expect("not poisoned");
        replies.get(request).or_else(|| replies.get(path)).cloned()
    }
}

async fn answer(State(entry): State<FakeEntry>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let body = axum::body::to_bytes(body, 1 << 20).await.unwrap_or_default();
    let authorization = head.headers.get(header::AUTHORIZATION).cloned();
    if authorization.is_none_or(|value| value != format!("Bearer {TOKEN}")) {
        return StatusCode::UNAUTHORIZED.into_response();
    }
    let request = head.uri.path_and_query().map_or("", |path| path.as_str()).to_owned();
    let reply = entry.reply(&request, head.uri.path());
    let received = format!("{} {request}\n{}", head.method, text(&body));
    entry.requests.lock().expect("not poisoned").push(received);
    match reply {
        Some(Reply::Json(status, body)) => {
            let status = StatusCode::from_u16(status).expect("a status");
            (status, axum::Json(body)).into_response()
        }
        Some(Reply::Disconnect) => broken_answer(),
        Some(Reply::Silent) => std::future::pending().await,
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

fn text(body: &Bytes) -> String {
    String::from_utf8_lossy(body).into_owned()
}

/// Returns an answer whose body fails at once, which closes the connection.
fn broken_answer() -> Response {
    let broken = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let body = futures_util::stream::iter([Err::<Bytes, _>(broken)]);
    Response::new(axum::body::Body::from_stream(body))
}

/// A bound port that refuses connections until this is dropped.
pub struct ClosedPort(TcpSocket);

impl ClosedPort {
    pub fn new() -> Self {
        // Bound but not listening: another test could be given a port that was freed again.
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("a loopback port");
        Self(socket)
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }
}

/// Runs a command line; returns the line, what the terminal would show and the exit code.
pub async fn run_line(line: &str, entries: &[SocketAddr]) -> String {
    let environment = environment(entries);
    let arguments = line.split_whitespace().map(Into::into).collect();
    let (shown, exit) = match run(arguments, &environment).await {
        Ok(output) => (output.text, output.exit),
        Err(error) => (format!("flamingowheel: {error}\n"), error.exit_code()),
    };
    let mut shown = shown;
    for (index, address) in entries.iter().enumerate() {
        shown = shown.replace(&address.to_string(), &format!("[entry {}]", index + 1));
    }
    format!("$ flamingowheel {line}\n{shown}[exit {}]", exit_text(exit))
}

pub fn environment(entries: &[SocketAddr]) -> Environment {
    let entries: Vec<String> = entries.iter().map(ToString::to_string).collect();
    Environment::default()
        .with("FLAMINGOWHEEL_ENTRIES", &entries.join(","))
        .with("FLAMINGOWHEEL_TOKEN", TOKEN)
        .with("FLAMINGOWHEEL_OPERATOR", "maria")
}

async fn run(
    arguments: Vec<std::ffi::OsString>,
    environment: &Environment,
) -> Result<Output, Error> {
    match cli::parse(arguments)? {
        Invocation::Help(topic) => Ok(Output::success(help::text(topic))),
        Invocation::Version => Ok(Output::success(help::version())),
        Invocation::Run(typed) => commands::run(&Config::new(*typed, environment)?).await,
    }
}

fn exit_text(exit: ExitCode) -> String {
    format!("{} {exit:?}", exit as u8)
}

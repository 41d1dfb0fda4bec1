//! A shell session against entries played by the test: what is typed and what is printed.

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

/// What an entry of the test answers to one path.
#[derive(Clone)]
pub enum Reply {
    Json(u16, Value),
    /// Closes the connection after it has read the request.
    Cut,
    /// Takes the request and never answers.
    Silent,
}

/// An entry played by the test.
#[derive(Clone, Default)]
pub struct Entry {
    replies: Arc<Mutex<HashMap<String, Reply>>>,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Entry {
    /// Answers `path` with a body.
    pub fn answers(self, path: &str, body: Value) -> Self {
        self.replies(path, Reply::Json(200, body))
    }

    /// Answers `path`; without its query unless that is given too.
    pub fn replies(self, path: &str, reply: Reply) -> Self {
        self.replies.lock().expect("not poisoned").insert(path.to_owned(), reply);
        self
    }

    /// Method, path, query and body of each request so far.
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

async fn answer(State(entry): State<Entry>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let body = axum::body::to_bytes(body, 1 << 20).await.unwrap_or_default();
    let authorization = head.headers.get(header::AUTHORIZATION).cloned();
    if authorization.is_none_or(|value| value != format!("Bearer {TOKEN}")) {
        return StatusCode::UNAUTHORIZED.into_response();
    }
    let request = head.uri.path_and_query().map_or("", |path| path.as_str()).to_owned();
    let reply = entry.reply(&request, head.uri.path());
    let seen = format!("{} {request}\n{}", head.method, text(&body));
    entry.requests.lock().expect("not poisoned").push(seen);
    match reply {
        Some(Reply::Json(status, body)) => {
            let status = StatusCode::from_u16(status).expect("a status");
            (status, axum::Json(body)).into_response()
        }
        Some(Reply::Cut) => cut(),
        Some(Reply::Silent) => std::future::pending().await,
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

fn text(body: &Bytes) -> String {
    String::from_utf8_lossy(body).into_owned()
}

/// An answer whose body fails at once, which closes the connection.
fn cut() -> Response {
    let broken = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let body = futures_util::stream::iter([Err::<Bytes, _>(broken)]);
    Response::new(axum::body::Body::from_stream(body))
}

/// A port that is taken and refuses connections until this is dropped.
pub struct Closed(TcpSocket);

impl Closed {
    pub fn new() -> Self {
        // Bound and never listening: a port that was freed again could become another test's.
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("a loopback port");
        Self(socket)
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }
}

/// Types a command line and gives what the terminal shows, with the exit code.
pub async fn typing(line: &str, entries: &[SocketAddr]) -> String {
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
    format!("$ flamingowheel {line}\n{shown}[exit {}]", name(exit))
}

fn environment(entries: &[SocketAddr]) -> Environment {
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

fn name(exit: ExitCode) -> String {
    format!("{} {exit:?}", exit as u8)
}

//! A caller that judges an answer by HTTP's rules alone.

use flamingowheel_standin::platform::messages::caller_headers;
use http::Request;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// API key of all callers.
pub const API_KEY: &str = "k";

/// Time for which the caller waits for the end of an answer.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// A caller's way to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    Http10,
    Http11,
    /// HTTP/1.1 with `Connection: close`.
    Http11Closing,
}

/// What a caller got.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// 0 without an answer.
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the answer looks complete.
    pub is_complete: bool,
}

/// A request. Two with the same body are resends of each other.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    pub version: Version,
    pub method: &'a str,
    pub path: &'a str,
    pub attempt: &'a str,
    pub body: &'a str,
    pub deadline_ms: u64,
}

impl<'a> Ask<'a> {
    /// A request with a body of its own.
    pub fn new(path: &'a str, attempt: &'a str) -> Self {
        Self {
            version: Version::Http11,
            method: "POST",
            path,
            attempt,
            body: attempt,
            deadline_ms: 4_000,
        }
    }
}

/// Sends a request on a connection of its own and reads the answer to its end.
pub async fn call(entry: SocketAddr, ask: Ask<'_>) -> Received {
    let Ask { version, method, path, attempt, body, deadline_ms } = ask;
    let request =
        caller_headers(Request::builder(), attempt, API_KEY, deadline_ms).body(()).unwrap();
    let (name, close) = match version {
        Version::Http10 => ("1.0", ""),
        Version::Http11 => ("1.1", ""),
        Version::Http11Closing => ("1.1", "connection: close\r\n"),
    };
    let mut head = format!("{method} {path} HTTP/{name}\r\n{close}");
    for (name, value) in request.headers() {
        head += &format!("{name}: {}\r\n", value.to_str().unwrap());
    }
    head += &format!("content-length: {}\r\n\r\n{body}", body.len());
    let mut stream = TcpStream::connect(entry).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let has_body = method != "HEAD";
    timeout(MAX_WAIT, read_answer(&mut stream, has_body)).await.unwrap_or_default()
}

/// Reads one answer, as far as it arrives.
pub async fn read_answer(stream: &mut TcpStream, has_body: bool) -> Received {
    let mut bytes = Vec::new();
    loop {
        let ended = stream.read_buf(&mut bytes).await;
        let received = parse(&bytes, has_body, matches!(ended, Ok(0)));
        if received.is_complete || matches!(ended, Ok(0) | Err(_)) {
            return received;
        }
    }
}

/// Head of a request with other lines before its end.
pub fn head(path: &str, attempt: &str, lines: &str) -> String {
    head_of("POST", path, attempt, lines)
}

/// The same with a method.
pub fn head_of(method: &str, path: &str, attempt: &str, lines: &str) -> String {
    let request = caller_headers(Request::builder(), attempt, API_KEY, 4_000).body(()).unwrap();
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in request.headers() {
        head += &format!("{name}: {}\r\n", value.to_str().unwrap());
    }
    head + lines + "\r\n"
}

/// The answers that arrive on a connection, as far as they are complete.
pub async fn read_answers(stream: &mut TcpStream, count: usize) -> Vec<Vec<u8>> {
    let (mut bytes, mut bodies) = (Vec::new(), Vec::new());
    while bodies.len() < count {
        let read = timeout(MAX_WAIT, stream.read_buf(&mut bytes)).await.unwrap();
        let complete = (0..=bytes.len()).find(|end| parse(&bytes[..*end], true, false).is_complete);
        if let Some(end) = complete {
            bodies.push(parse(&bytes[..end], true, false).body);
            bytes.drain(..end);
        } else if matches!(read, Ok(0) | Err(_)) {
            break;
        }
    }
    bodies
}

/// What the bytes read so far are; `is_closed` if the connection was closed in order after them.
pub fn parse(bytes: &[u8], has_body: bool, is_closed: bool) -> Received {
    let Some(head_end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
        return Received::default();
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let body = &bytes[head_end + 4..];
    let value = |name: &str| {
        let mut fields = head.lines().skip(1).filter_map(|line| line.split_once(':'));
        fields.find(|(field, _)| *field == name).map(|(_, value)| value.trim())
    };
    let (body, is_complete) = if !has_body || matches!(status, 204 | 304) {
        (body.to_vec(), body.is_empty())
    } else if value("transfer-encoding") == Some("chunked") {
        unchunk(body)
    } else if let Some(length) = value("content-length") {
        (body.to_vec(), length.parse() == Ok(body.len()))
    } else {
        (body.to_vec(), is_closed)
    };
    Received { status, head, body, is_complete }
}

fn unchunk(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(line_end) = bytes.windows(2).position(|two| two == b"\r\n") {
        let size = std::str::from_utf8(&bytes[..line_end]).unwrap_or_default();
        let size = size.split(';').next().unwrap_or_default().trim();
        let Ok(size) = usize::from_str_radix(size, 16) else {
            break;
        };
        let rest = &bytes[line_end + 2..];
        if size == 0 {
            return (body, rest == b"\r\n");
        }
        body.extend_from_slice(&rest[..size.min(rest.len())]);
        if rest.len() < size + 2 {
            break;
        }
        bytes = &rest[size + 2..];
    }
    (body, false)
}

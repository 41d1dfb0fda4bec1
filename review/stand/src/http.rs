//! HTTP/1.1 with lengths only: what the store, the runners and the requesters of a case speak.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// A field of the query, with percent signs decoded.
    pub fn field(&self, name: &str) -> Option<String> {
        let fields = self.query.split('&').filter_map(|field| field.split_once('='));
        fields.into_iter().find(|(key, _)| *key == name).map(|(_, value)| decode(value))
    }
}

#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn json(status: u16, body: String) -> Self {
        let headers = vec![("Content-Type".to_owned(), "application/json".to_owned())];
        Self { status, headers, body: body.into_bytes() }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let named = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    named.map(|(_, value)| value.as_str())
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Serves each connection on a thread of its own.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(Request) -> Answer + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    serve_connections(listener, move |_| {
        let handle = Arc::clone(&handle);
        move |request| Some(handle(request))
    });
}

/// Serves each connection with a handler of its own, made from the caller's address. A request that
/// the handler leaves unanswered silences its connection for good.
pub fn serve_connections<Make, H>(listener: TcpListener, make: Make)
where
    Make: Fn(SocketAddr) -> H + Send + Sync + 'static,
    H: Fn(Request) -> Option<Answer>,
{
    let make = Arc::new(make);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let make = Arc::clone(&make);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let (Ok(mut writer), Ok(peer)) = (stream.try_clone(), stream.peer_addr()) else {
                    return;
                };
                let handle = make(peer);
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    let Some(answer) = handle(request) else {
                        // Until the caller closes the connection.
                        while read_request(&mut reader).is_some() {}
                        return;
                    };
                    if write_answer(&mut writer, &answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let is_chunked = find(headers, "transfer-encoding").is_some_and(|v| v.contains("chunked"));
    if !is_chunked {
        let length = find(headers, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        return Some(body);
    }
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let body = read_body(reader, &headers)?;
    Some(Request { method, path, query, headers, body })
}

fn write_answer(writer: &mut TcpStream, answer: &Answer) -> std::io::Result<()> {
    let mut head = format!("HTTP/1.1 {} Status\r\n", answer.status);
    for (name, value) in &answer.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", answer.body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&answer.body);
    writer.write_all(&bytes)
}

/// Sends a request on a new connection and reads the answer; `None` if there is no whole one.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    timeout: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some(Answer { status, headers, body })
}

/// Finds ports that are free at all of the addresses, below those that the system gives to callers.
pub fn free_ports(ips: &[String], count: usize) -> Option<Vec<u16>> {
    let first = 20_000 + (std::process::id() % 8_000) as u16;
    let is_free = |port: &u16| ips.iter().all(|ip| TcpListener::bind((ip.as_str(), *port)).is_ok());
    let ports: Vec<u16> = (first..first + 2_000).filter(is_free).take(count).collect();
    (ports.len() == count).then_some(ports)
}

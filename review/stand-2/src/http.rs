//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A message: its first line, its headers and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The first value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    /// The path of a request, without its query.
    pub fn path(&self) -> &str {
        let target = self.first.split(' ').nth(1).unwrap_or("");
        target.split('?').next().unwrap_or("")
    }

    /// A parameter of a request's query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let target = self.first.split(' ').nth(1)?;
        let pairs = target.split_once('?')?.1.split('&');
        let value = pairs.filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name)?.1;
        Some(percent_decode(value))
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let digits = bytes.get(at + 1..at + 3).and_then(|d| std::str::from_utf8(d).ok());
        match digits.and_then(|d| u8::from_str_radix(d, 16).ok()) {
            Some(byte) if bytes[at] == b'%' => {
                out.push(byte);
                at += 3;
            }
            _ => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    /// Reads from a clone of `stream`.
    pub fn new(stream: &TcpStream) -> io::Result<Self> {
        Ok(Self { stream: stream.try_clone()?, buffer: Vec::new() })
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 * 1024];
        let count = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the first line and the headers; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        while self.buffer.is_empty() {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        let mut message = Message { first: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads a chunk of a body in chunks; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let size = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let data = self.bytes(size)?;
        self.line()?;
        Ok(data)
    }

    /// Reads a message with its body.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        let is_chunked =
            message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    break;
                }
                message.body.extend(chunk);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            message.body = self.bytes(length)?;
        }
        Ok(Some(message))
    }
}

/// Serves a listener until the process ends. `handle` answers one request on its connection and
/// returns whether the connection is kept.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handle);
            });
        }
    });
}

fn serve_connection<H>(mut stream: TcpStream, handle: &H) -> io::Result<()>
where
    H: Fn(&Message, &mut TcpStream) -> io::Result<bool>,
{
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(&stream)?;
    while let Some(request) = reader.message()? {
        if !handle(&request, &mut stream)? {
            break;
        }
    }
    Ok(())
}

/// Writes an answer with a JSON body.
pub fn answer(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<bool> {
    let head = format!(
        "HTTP/1.1 {status} Any\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes())?;
    Ok(true)
}

/// What came of a request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The answer as far as it arrived.
    pub answer: Message,
    /// Whether it arrived to its end.
    pub is_whole: bool,
    /// Time until its end, or until it was given up.
    pub took: Duration,
}

/// Sends a request on a connection of its own and reads the answer, for at most `limit`.
pub fn call(address: SocketAddr, request: &str, limit: Duration) -> Outcome {
    let began = Instant::now();
    let mut outcome = Outcome::default();
    let result = exchange(address, request, began + limit, &mut outcome.answer);
    outcome.is_whole = result.is_ok();
    outcome.took = began.elapsed();
    outcome
}

fn exchange(
    address: SocketAddr,
    request: &str,
    until: Instant,
    answer: &mut Message,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.write_all(request.as_bytes())?;
    let mut reader = Reader::new(&stream)?;
    let left = |stream: &TcpStream| {
        let left = until.saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))
    };
    left(&stream)?;
    *answer = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if let Some(length) = answer.header("content-length") {
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        answer.body = reader.bytes(length)?;
        return Ok(());
    }
    loop {
        left(&stream)?;
        let chunk = reader.chunk()?;
        if chunk.is_empty() {
            return Ok(());
        }
        answer.body.extend(chunk);
    }
}

//! A loopback TCP proxy that injects faults into the connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Size of the copy buffer, the most bytes forwarded at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// Most connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Fault that the proxy injects into its connections, open and new ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Forwards everything.
    #[default]
    None,
    /// Delays each chunk of data by this time, in milliseconds.
    Delay(u64),
    /// Holds back all data; connections stay open.
    Silence,
    /// Holds back requests; answers pass.
    CutRequests,
    /// Holds back answers; requests pass.
    CutAnswers,
    /// Resets open connections, and new ones as soon as they are accepted.
    Reset,
    /// Resets open connections and refuses new ones, as after the end of the process.
    Ended,
    /// The same, but closes open connections in order.
    EndedOrderly,
}

impl LinkFault {
    /// Whether the process behind the proxy has ended.
    fn is_ended(&self) -> bool {
        matches!(self, Self::Ended | Self::EndedOrderly)
    }
}

/// A proxy in front of one listener; clones control the same proxy.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Address that the proxy listens on.
    pub address: SocketAddr,
    fault: Arc<watch::Sender<LinkFault>>,
}

#[derive(Clone, Copy)]
enum Direction {
    Request,
    Answer,
}

impl Proxy {
    /// Starts a proxy to `target` on a free loopback port.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (sender, fault) = watch::channel(LinkFault::None);
        tokio::spawn(accept(listener, target, fault));
        Ok(Self { address, fault: Arc::new(sender) })
    }

    /// Sets the fault of all connections; [`LinkFault::None`] ends the current one.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

/// Accepts connections, except while the process has ended.
async fn accept(
    mut listener: TcpListener,
    target: SocketAddr,
    mut fault: watch::Receiver<LinkFault>,
) -> std::io::Result<()> {
    let address = listener.local_addr()?;
    let has_listener = watch::Sender::new(true);
    loop {
        let mut ends = fault.clone();
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted?;
                let has_listener = has_listener.subscribe();
                tokio::spawn(forward(stream, target, fault.clone(), has_listener));
                continue;
            }
            ended = ends.wait_for(LinkFault::is_ended) => {
                if ended.is_err() {
                    return Ok(());
                }
            }
        }
        drop(listener);
        // The process's listener goes before its connections, as at the end of a real one.
        has_listener.send_replace(false);
        // Bound without listening: connections are refused, and the port stays this proxy's.
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        if fault.wait_for(|fault| !fault.is_ended()).await.is_err() {
            return Ok(());
        }
        listener = socket.listen(BACKLOG)?;
        has_listener.send_replace(true);
    }
}

async fn forward(
    caller: TcpStream,
    target: SocketAddr,
    fault: watch::Receiver<LinkFault>,
    mut has_listener: watch::Receiver<bool>,
) {
    if *fault.borrow() == LinkFault::Reset {
        reset(&caller);
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        reset(&caller);
        return;
    };
    let mut resets = fault.clone();
    let is_closing = |fault: &LinkFault| *fault == LinkFault::Reset || fault.is_ended();
    let close_requested = async move {
        // An error means that the proxy was dropped, at the end of the run.
        let Ok(fault) = resets.wait_for(is_closing).await.map(|fault| *fault) else {
            return false;
        };
        if fault.is_ended() {
            let _ = has_listener.wait_for(|has_listener| !has_listener).await.map(|_| ());
        }
        fault != LinkFault::EndedOrderly
    };
    let (caller, server) = (Arc::new(caller), Arc::new(server));
    let requests =
        copy(Arc::clone(&caller), Arc::clone(&server), fault.clone(), Direction::Request);
    let answers = copy(Arc::clone(&server), Arc::clone(&caller), fault, Direction::Answer);
    tokio::select! {
        has_reset = close_requested => {
            if has_reset {
                reset(&caller);
            }
        }
        () = requests => {}
        () = answers => {}
    }
}

async fn copy(
    from: Arc<TcpStream>,
    to: Arc<TcpStream>,
    mut fault: watch::Receiver<LinkFault>,
    direction: Direction,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = read(&from, &mut buffer).await else { return };
        if count == 0 {
            return;
        }
        let current = *fault.borrow();
        if let LinkFault::Delay(delay_ms) = current {
            sleep(Duration::from_millis(delay_ms)).await;
        }
        if fault.wait_for(|fault| !is_blocked(*fault, direction)).await.is_err() {
            return;
        }
        if write(&to, &buffer[..count]).await.is_err() {
            return;
        }
    }
}

fn is_blocked(fault: LinkFault, direction: Direction) -> bool {
    let blocking_fault = match direction {
        Direction::Request => LinkFault::CutRequests,
        Direction::Answer => LinkFault::CutAnswers,
    };
    fault == LinkFault::Silence || fault == blocking_fault
}

async fn read(stream: &TcpStream, buffer: &mut [u8]) -> std::io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(buffer) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

async fn write(stream: &TcpStream, mut buffer: &[u8]) -> std::io::Result<()> {
    while !buffer.is_empty() {
        stream.writable().await?;
        match stream.try_write(buffer) {
            Ok(count) => buffer = &buffer[count..],
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Makes the connection send a reset when it is dropped.
fn reset(stream: &TcpStream) {
    // The error is ignored: a connection that is already closed can't be reset.
    let _ = stream.set_zero_linger();
}

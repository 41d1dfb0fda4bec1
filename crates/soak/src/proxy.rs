//! A loopback proxy that harms the connections which pass it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Most bytes that are passed on at once.
const PIECE_BYTES: usize = 16 * 1024;

/// What the proxy does to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Each piece waits this long, in milliseconds.
    Delay(u64),
    /// Nothing passes, and no connection is closed.
    Silence,
    /// What the listener's side sends does not arrive; answers do.
    CutRequests,
    /// Answers don't arrive; requests do.
    CutAnswers,
    /// Open connections are reset, and new ones at once.
    Reset,
}

/// A proxy before one listener.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    harm: Arc<watch::Sender<LinkFault>>,
}

#[derive(Clone, Copy)]
enum Way {
    Request,
    Answer,
}

impl Proxy {
    /// Starts a proxy before `target` on an address of its own.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (sender, harm) = watch::channel(LinkFault::None);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, target, harm.clone()));
            }
        });
        Ok(Self { address, harm: Arc::new(sender) })
    }

    /// Harms connections from now on.
    pub fn set_fault(&self, harm: LinkFault) {
        self.harm.send_replace(harm);
    }
}

async fn pass(caller: TcpStream, target: SocketAddr, harm: watch::Receiver<LinkFault>) {
    if *harm.borrow() == LinkFault::Reset {
        reset(&caller);
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        reset(&caller);
        return;
    };
    let mut resets = harm.clone();
    let is_reset = async move {
        // The sender lives as long as the proxy; its end is the end of the soak.
        let _ = resets.wait_for(|harm| *harm == LinkFault::Reset).await.map(|_| ());
    };
    let (caller, server) = (Arc::new(caller), Arc::new(server));
    let requests = copy(Arc::clone(&caller), Arc::clone(&server), harm.clone(), Way::Request);
    let answers = copy(Arc::clone(&server), Arc::clone(&caller), harm, Way::Answer);
    tokio::select! {
        () = is_reset => reset(&caller),
        () = requests => {}
        () = answers => {}
    }
}

async fn copy(
    from: Arc<TcpStream>,
    to: Arc<TcpStream>,
    mut harm: watch::Receiver<LinkFault>,
    way: Way,
) {
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let Ok(count) = read(&from, &mut piece).await else { return };
        if count == 0 {
            return;
        }
        let current = *harm.borrow();
        if let LinkFault::Delay(delay_ms) = current {
            sleep(Duration::from_millis(delay_ms)).await;
        }
        if harm.wait_for(|harm| !holds_back(*harm, way)).await.is_err() {
            return;
        }
        if write(&to, &piece[..count]).await.is_err() {
            return;
        }
    }
}

fn holds_back(harm: LinkFault, way: Way) -> bool {
    let cuts_way = match way {
        Way::Request => LinkFault::CutRequests,
        Way::Answer => LinkFault::CutAnswers,
    };
    harm == LinkFault::Silence || harm == cuts_way
}

async fn read(stream: &TcpStream, piece: &mut [u8]) -> std::io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(piece) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

async fn write(stream: &TcpStream, mut piece: &[u8]) -> std::io::Result<()> {
    while !piece.is_empty() {
        stream.writable().await?;
        match stream.try_write(piece) {
            Ok(count) => piece = &piece[count..],
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Has the connection reset as it is dropped.
fn reset(stream: &TcpStream) {
    // A connection that has closed already can't be reset.
    let _ = stream.set_zero_linger();
}

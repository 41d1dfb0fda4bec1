//! A connection between two processes as a pair of message channels, over any transport.
//!
//! The transport carries encoded batches; an empty batch is a heartbeat. Each side closes a
//! connection that delivers nothing, or accepts nothing, for too long.

use crate::codec::{CodecError, decode, encode};
use crate::message::Hello;
use bytes::Bytes;
use futures_util::{Sink, SinkExt, Stream, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Largest number of messages in one batch.
const MAX_BATCH_MESSAGES: usize = 128;

/// Largest number of messages queued for the transport; senders wait while the queue is full.
const QUEUE_MESSAGES: usize = 1024;

/// Idle time after which a side sends a heartbeat. An idle agent reports its load once a second, so
/// its side of the link sends no other heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time without data after which a connection is closed. Tolerates one lost heartbeat and still
/// detects silence within 3 s.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);

/// Time without progress in sending after which a connection is closed. An idle side notices a
/// stuck peer only when it sends the next heartbeat; both times together stay within 3 s.
const STUCK_LIMIT: Duration = Duration::from_millis(1_750);

/// Heartbeat interval and time limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Idle time after which a side sends a heartbeat.
    pub heartbeat: Duration,
    /// A connection that delivers nothing for this long is closed.
    pub silence_limit: Duration,
    /// A connection that accepts nothing for this long is closed.
    pub stuck_limit: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        let (silence_limit, stuck_limit) = (SILENCE_LIMIT, STUCK_LIMIT);
        Self { heartbeat: HEARTBEAT, silence_limit, stuck_limit }
    }
}

/// Logical clock that stamps batches, so that the effects of a message sort after its sending.
pub trait LogicalClock: Send + Sync + 'static {
    /// The time to send with a batch.
    fn stamp(&self) -> u64;

    /// Advances the clock by the time received with a batch from `peer`.
    fn observe(&self, peer: &str, stamp: u64);
}

/// A clock that always reads 0, where the order of events across processes is not recorded.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoClock;

impl LogicalClock for NoClock {
    fn stamp(&self) -> u64 {
        0
    }

    fn observe(&self, _peer: &str, _stamp: u64) {}
}

/// Options of a connection.
#[derive(Clone)]
pub struct LinkOptions {
    /// Heartbeat interval and time limits.
    pub timing: Timing,
    /// Logical clock for batches.
    pub logical_clock: Arc<dyn LogicalClock>,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self { timing: Timing::default(), logical_clock: Arc::new(NoClock) }
    }
}

impl std::fmt::Debug for LinkOptions {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LinkOptions").field("timing", &self.timing).finish_non_exhaustive()
    }
}

/// Why a connection ended.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// The other side closed it, or the transport failed.
    #[error("connection closed")]
    Closed,
    /// Nothing arrived within the silence limit.
    #[error("connection silent for {limit_ms} ms")]
    Silent {
        /// The limit, in milliseconds.
        limit_ms: u64,
    },
    /// The other side accepted nothing within the stuck limit.
    #[error("connection accepted no data for {limit_ms} ms")]
    Stuck {
        /// The limit, in milliseconds.
        limit_ms: u64,
    },
    /// A batch could not be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// One side of an open connection.
#[derive(Debug)]
pub struct Link<Out, In> {
    /// Identity of the other side.
    pub peer: Hello,
    /// Messages to the other side.
    pub sender: mpsc::Sender<Out>,
    /// Messages from the other side; yields `None` once the connection has ended.
    pub receiver: mpsc::Receiver<In>,
}

impl<Out, In> Link<Out, In>
where
    Out: Serialize + Send + Sync + 'static,
    In: DeserializeOwned + Send + 'static,
{
    /// Spawns the task that carries messages over a transport, until either direction ends.
    pub fn start<W, R>(peer: Hello, sink: W, stream: R, options: LinkOptions) -> Self
    where
        W: Sink<Bytes> + Send + Unpin + 'static,
        R: Stream<Item = Bytes> + Send + Unpin + 'static,
    {
        let (sender, outgoing) = mpsc::channel(QUEUE_MESSAGES);
        let (incoming, receiver) = mpsc::channel(QUEUE_MESSAGES);
        let name = peer.name.clone();
        tokio::spawn(async move {
            let end = tokio::select! {
                end = write(outgoing, sink, &options) => end,
                end = read(incoming, stream, &options, &name) => end,
            };
            match end {
                Err(LinkError::Closed) | Ok(()) => {
                    tracing::debug!(peer = name, "connection closed")
                }
                Err(error) => tracing::warn!(peer = name, %error, "connection ended"),
            }
        });
        Self { peer, sender, receiver }
    }
}

/// Returns `Ok` once this side has dropped its sender.
async fn write<M, W>(
    mut outgoing: mpsc::Receiver<M>,
    mut sink: W,
    options: &LinkOptions,
) -> Result<(), LinkError>
where
    M: Serialize,
    W: Sink<Bytes> + Unpin,
{
    let timing = options.timing;
    let mut batch = Vec::with_capacity(MAX_BATCH_MESSAGES);
    loop {
        batch.clear();
        let received = outgoing.recv_many(&mut batch, MAX_BATCH_MESSAGES);
        if let Ok(0) = timeout(timing.heartbeat, received).await {
            return Ok(());
        }
        let bytes = Bytes::from(encode(options.logical_clock.stamp(), &batch)?);
        // The socket buffer of a vanished peer stays full for as long as TCP retries, which is
        // minutes. The limit frees queued requests to move to another peer earlier.
        match timeout(timing.stuck_limit, sink.send(bytes)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Err(LinkError::Closed),
            Err(_) => return Err(LinkError::Stuck { limit_ms: millis(timing.stuck_limit) }),
        }
    }
}

/// Returns `Ok` once this side has dropped its receiver.
async fn read<M, R>(
    incoming: mpsc::Sender<M>,
    mut stream: R,
    options: &LinkOptions,
    peer: &str,
) -> Result<(), LinkError>
where
    M: DeserializeOwned,
    R: Stream<Item = Bytes> + Unpin,
{
    let timing = options.timing;
    loop {
        // A NAT device or firewall may have dropped its state of the connection, which then stays
        // open but delivers nothing. Since the peer sends heartbeats, silence means that the
        // connection is broken.
        let bytes = match timeout(timing.silence_limit, stream.next()).await {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return Err(LinkError::Closed),
            Err(_) => return Err(LinkError::Silent { limit_ms: millis(timing.silence_limit) }),
        };
        let (stamp, batch) = decode(&bytes)?;
        options.logical_clock.observe(peer, stamp);
        for message in batch {
            if incoming.send(message).await.is_err() {
                return Ok(());
            }
        }
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

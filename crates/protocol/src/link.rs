//! A connection between two processes as a pair of message channels, over any transport.
//!
//! The transport carries encoded batches. An empty batch is a heartbeat. A connection that
//! delivers nothing for too long, or accepts nothing for too long, is closed by this side.

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

/// Messages taken into one batch at the most.
const MAX_BATCH_MESSAGES: usize = 128;

/// Messages that wait for the transport at the most; then senders wait.
const QUEUE_MESSAGES: usize = 1024;

/// How long an idle side waits before it sends a heartbeat. An idle agent reports its load once a
/// second, so that its side of the link sends no others.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// One heartbeat may be lost; silence is still noticed within 3 s.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);

/// An idle side finds out that nothing is taken only when it sends the next heartbeat; both
/// together stay within 3 s.
const STUCK_LIMIT: Duration = Duration::from_millis(1_750);

/// How long a side may keep silent, and how long silence lasts until a connection counts as dead.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// An idle side sends a heartbeat this often.
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

/// Stamps batches with a logical time, so that what a message causes sorts after its sending.
pub trait LogicalClock: Send + Sync + 'static {
    /// The time to send with a batch.
    fn stamp(&self) -> u64;

    /// Takes in the time that came with a batch from `peer`.
    fn observe(&self, peer: &str, stamp: u64);
}

/// Keeps no time; for tests that don't look at the order of events.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoClock;

impl LogicalClock for NoClock {
    fn stamp(&self) -> u64 {
        0
    }

    fn observe(&self, _peer: &str, _stamp: u64) {}
}

/// How a connection is kept.
#[derive(Clone)]
pub struct LinkOptions {
    /// Heartbeat and silence limit.
    pub timing: Timing,
    /// Logical time of batches.
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
    /// Nothing arrived for too long.
    #[error("connection silent for {limit_ms} ms")]
    Silent {
        /// The limit, in milliseconds.
        limit_ms: u64,
    },
    /// The other side read nothing for too long.
    #[error("connection took no data for {limit_ms} ms")]
    Stuck {
        /// The limit, in milliseconds.
        limit_ms: u64,
    },
    /// The other side sent something that is not a batch of messages.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// One side of an open connection.
#[derive(Debug)]
pub struct Link<Out, In> {
    /// Who is at the other side.
    pub peer: Hello,
    /// Messages to the other side.
    pub sender: mpsc::Sender<Out>,
    /// Messages from the other side; `None` once the connection ended.
    pub receiver: mpsc::Receiver<In>,
}

impl<Out, In> Link<Out, In>
where
    Out: Serialize + Send + Sync + 'static,
    In: DeserializeOwned + Send + 'static,
{
    /// Starts the tasks that carry messages over a transport. Both end when either does.
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

/// Ends with `Ok` when this side dropped its sender.
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
        // A peer that vanished leaves the socket's buffer full for as long as TCP retries, which
        // is minutes. Requests behind it would wait that long; the limit frees them to move on.
        match timeout(timing.stuck_limit, sink.send(bytes)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Err(LinkError::Closed),
            Err(_) => return Err(LinkError::Stuck { limit_ms: millis(timing.stuck_limit) }),
        }
    }
}

/// Ends with `Ok` when this side dropped its receiver.
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
        // Something between the two ends may have lost track of the connection: it stays open
        // and delivers nothing. The peer sends heartbeats, so silence tells.
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

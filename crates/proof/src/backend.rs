//! The connection of an agent process, which can be killed or paused, to its backend server.

use bytes::Bytes;
use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::backend::{
    BackendAnswer, BackendCall, BackendError, BackendServer, BodyPiece, CacheEvent, LoadReport,
};
use std::collections::HashSet;
use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

/// Capacity of the process's socket buffer, in body pieces.
const BODY_CAPACITY: usize = 8;

/// Whether a simulated process runs, is paused or was killed. Clones share it; all connections of
/// the process hold one.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    killed: CancellationToken,
    paused: watch::Sender<bool>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self { killed: CancellationToken::new(), paused: watch::Sender::new(false) }
    }
}

impl Lifecycle {
    /// Kills the process: its connections close and nothing more comes from it.
    pub fn kill(&self) {
        self.killed.cancel();
    }

    /// Whether the process was killed.
    pub fn is_killed(&self) -> bool {
        self.killed.is_cancelled()
    }

    /// Waits until the process is killed.
    pub async fn killed(&self) {
        self.killed.cancelled().await;
    }

    /// Pauses the process without closing its connections, or resumes it.
    pub fn set_paused(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Whether the process is paused.
    pub fn is_paused(&self) -> bool {
        *self.paused.borrow()
    }

    /// Waits until the process is paused.
    pub async fn paused(&self) {
        let mut paused = self.paused.subscribe();
        let _ = paused.wait_for(|paused| *paused).await;
    }

    /// Waits until the process is not paused.
    pub async fn resumed(&self) {
        let mut paused = self.paused.subscribe();
        let _ = paused.wait_for(|paused| !paused).await;
    }

    /// Runs a task of the process; it makes no progress while the process is paused.
    pub async fn run<F>(self, work: F)
    where
        F: Future<Output = ()>,
    {
        tokio::pin!(work);
        loop {
            self.resumed().await;
            tokio::select! {
                biased;
                () = self.paused() => {}
                () = &mut work => return,
            }
        }
    }

    /// Runs an outgoing call of the process. Once the process is killed, the call is dropped and
    /// never returns, as the kernel closes a dead process's sockets.
    pub async fn run_call<F>(&self, call: F) -> F::Output
    where
        F: Future,
    {
        self.resumed().await;
        let result = tokio::select! {
            biased;
            () = self.killed() => std::future::pending().await,
            result = call => result,
        };
        self.resumed().await;
        result
    }
}

/// Bodies that were sent to a backend server, by any process.
pub type SentBodies = Arc<Mutex<HashSet<Bytes>>>;

/// The connection of one agent process to its backend server.
pub struct ProcessBackend {
    backend: Arc<dyn BackendServer>,
    lifecycle: Lifecycle,
    sent: SentBodies,
}

impl ProcessBackend {
    /// `sent` receives the body of every call.
    pub fn new(backend: Arc<dyn BackendServer>, lifecycle: Lifecycle, sent: SentBodies) -> Self {
        Self { backend, lifecycle, sent }
    }
}

type Piece = Result<BodyPiece, BackendError>;

async fn forward_pieces(
    mut from: mpsc::Receiver<Piece>,
    to: mpsc::Sender<Piece>,
    lifecycle: Lifecycle,
) {
    loop {
        lifecycle.resumed().await;
        let piece = tokio::select! {
            biased;
            () = lifecycle.killed() => break,
            () = to.closed() => return,
            piece = from.recv() => piece,
        };
        lifecycle.resumed().await;
        let Some(piece) = piece else { return };
        if to.send(piece).await.is_err() {
            return;
        }
    }
    drop(from);
    // A dead process sees no end of the body either.
    std::future::pending::<()>().await;
}

impl BackendServer for ProcessBackend {
    fn call(&self, call: BackendCall) -> BoxFuture<'_, Result<BackendAnswer, BackendError>> {
        Box::pin(async move {
            let body = call.body.clone();
            self.sent.lock().unwrap_or_else(PoisonError::into_inner).insert(body);
            let answer = self.lifecycle.run_call(self.backend.call(call)).await?;
            let (sender, body) = mpsc::channel(BODY_CAPACITY);
            tokio::spawn(forward_pieces(answer.body, sender, self.lifecycle.clone()));
            Ok(BackendAnswer { body, ..answer })
        })
    }

    fn cancel<'a>(&'a self, id: &'a str) -> BoxFuture<'a, Result<(), BackendError>> {
        Box::pin(self.lifecycle.run_call(self.backend.cancel(id)))
    }

    fn load(&self) -> BoxFuture<'_, Result<LoadReport, BackendError>> {
        Box::pin(self.lifecycle.run_call(self.backend.load()))
    }

    fn cache_events(&self, after: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, BackendError>> {
        Box::pin(self.lifecycle.run_call(self.backend.cache_events(after)))
    }
}

//! A backend server as seen by an agent process that can be killed or paused.

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

/// Pieces that wait in the process's socket.
const BODY_CAPACITY: usize = 8;

/// What befalls a process as a whole. All its connections share one.
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

    /// Whether it was killed.
    pub fn is_killed(&self) -> bool {
        self.killed.is_cancelled()
    }

    /// Waits for the kill.
    pub async fn killed(&self) {
        self.killed.cancelled().await;
    }

    /// Stops the process without closing anything, or lets it go on.
    pub fn set_paused(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Whether the process is paused.
    pub fn is_paused(&self) -> bool {
        *self.paused.borrow()
    }

    /// Waits for a pause.
    pub async fn paused(&self) {
        let mut paused = self.paused.subscribe();
        let _ = paused.wait_for(|paused| *paused).await;
    }

    /// Waits while the process is paused.
    pub async fn resumed(&self) {
        let mut paused = self.paused.subscribe();
        let _ = paused.wait_for(|paused| !paused).await;
    }

    /// Runs what the process does; nothing of it runs while the process is paused.
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

    /// Runs a call of the process to the outside. Killed, it never returns to its caller; the
    /// call is dropped, as the kernel closes a dead process's sockets.
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

/// Bodies that were sent to a backend server, by whatever process.
pub type SentBodies = Arc<Mutex<HashSet<Bytes>>>;

/// The backend server of an agent process.
pub struct ProcessBackend {
    backend: Arc<dyn BackendServer>,
    lifecycle: Lifecycle,
    sent: SentBodies,
}

impl ProcessBackend {
    /// The view of one process.
    pub fn new(backend: Arc<dyn BackendServer>, lifecycle: Lifecycle, sent: SentBodies) -> Self {
        Self { backend, lifecycle, sent }
    }
}

type Piece = Result<BodyPiece, BackendError>;

async fn carry(mut from: mpsc::Receiver<Piece>, to: mpsc::Sender<Piece>, lifecycle: Lifecycle) {
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
    // A dead process sees no end either.
    std::future::pending::<()>().await;
}

impl BackendServer for ProcessBackend {
    fn call(&self, call: BackendCall) -> BoxFuture<'_, Result<BackendAnswer, BackendError>> {
        Box::pin(async move {
            let body = call.body.clone();
            self.sent.lock().unwrap_or_else(PoisonError::into_inner).insert(body);
            let answer = self.lifecycle.run_call(self.backend.call(call)).await?;
            let (sender, body) = mpsc::channel(BODY_CAPACITY);
            tokio::spawn(carry(answer.body, sender, self.lifecycle.clone()));
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

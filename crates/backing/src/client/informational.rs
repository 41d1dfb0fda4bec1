//! Bounds the informational heads (status 1xx) that a server sends before an answer.

use http::Request;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::Notify;

/// Largest number of informational heads before one answer. Each is dropped as it arrives, so a
/// server that sends them without end would keep its reader busy until the time limit.
const MAX_HEADS: usize = 16;

/// Counts the informational heads that answer one request.
#[derive(Clone, Debug, Default)]
pub struct InformationalHeads {
    heads: Arc<AtomicUsize>,
    exceeded: Arc<Notify>,
}

impl InformationalHeads {
    /// Counts those that answer `request`, which a client of HTTP/1 is about to send.
    ///
    /// ```
    /// use flamingowheel_backing::client::informational::InformationalHeads;
    /// let mut request = http::Request::new(());
    /// let _heads = InformationalHeads::of(&mut request);
    /// assert!(!request.extensions().is_empty());
    /// ```
    pub fn of<B>(request: &mut Request<B>) -> Self {
        let counted = Self::default();
        let counter = counted.clone();
        hyper::ext::on_informational(request, move |_| counter.add());
        counted
    }

    /// Waits until there are too many.
    pub async fn exceeded(&self) {
        self.exceeded.notified().await;
    }

    fn add(&self) {
        if self.heads.fetch_add(1, Ordering::Relaxed) == MAX_HEADS {
            self.exceeded.notify_one();
        }
    }
}

//! A connection to another entry from which this one reads the store's contents.

use crate::feed::mirror::Mirror;
use crate::feed::transport::{Connect, FeedLink};
use crate::feed::{FeedMessage, FeedRequest, Head};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// Pause before reconnecting to an entry.
const RECONNECT_PAUSE: Duration = Duration::from_millis(300);

/// Time without a status of groups after which another source is asked for it.
const STATUSES_TIMEOUT: Duration = Duration::from_millis(800);

/// A message from a source; `None` when its connection has ended or can't be opened.
#[derive(Debug)]
pub struct Event {
    /// VM of the source.
    pub vm: String,
    /// The message.
    pub message: Option<FeedMessage>,
}

/// An entry that this one is connected to, or tries to.
#[derive(Debug)]
pub struct Source {
    /// Its address for other entries.
    pub address: SocketAddr,
    stop: CancellationToken,
    /// Requests to it.
    pub requests: mpsc::Sender<FeedRequest>,
    /// The last head, and when it arrived; `None` while there is no connection.
    pub last_head: Option<(Head, Instant)>,
    /// When it was asked for changes that it has not sent yet.
    pub asked_at: Option<Instant>,
    /// When the source was asked for statuses of groups; `None` if it is not to send any.
    pub statuses_requested_at: Option<Instant>,
    /// When it last sent statuses of groups.
    pub statuses_received_at: Option<Instant>,
}

impl Drop for Source {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Source {
    /// Connects to the entry on `vm`; its messages are sent to `events`.
    pub fn open<C>(vm: &str, address: SocketAddr, connector: C, events: mpsc::Sender<Event>) -> Self
    where
        C: Connect,
    {
        let stop = CancellationToken::new();
        let (requests, request_receiver) = mpsc::channel(4);
        let connection = SourceConnection {
            vm: vm.to_owned(),
            address,
            connector,
            events,
            requests: request_receiver,
        };
        let stopped = stop.clone();
        tokio::spawn(async move {
            stopped.run_until_cancelled(connection.run()).await;
        });
        Self {
            address,
            stop,
            requests,
            last_head: None,
            asked_at: None,
            statuses_requested_at: None,
            statuses_received_at: None,
        }
    }

    /// Time since the source's copy was complete.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let (head, received_at) = self.last_head.as_ref()?;
        Some(Duration::from_millis(head.age_ms?) + (now - *received_at))
    }

    /// Whether the source sends statuses of groups, or was asked recently.
    pub fn sends_statuses(&self, now: Instant) -> bool {
        let last = self.statuses_received_at.max(self.statuses_requested_at);
        self.statuses_requested_at.is_some() && last.is_some_and(|at| now - at < STATUSES_TIMEOUT)
    }

    /// Passes on what the source told of the store. That says nothing about a copy that lacks some
    /// of the source's changes.
    pub fn confirm(&self, vm: &str, mirror: &Mirror) {
        if let Some((head, received_at)) = &self.last_head
            && let Some(age_ms) = head.age_ms
            && let Some(at) = received_at.checked_sub(Duration::from_millis(age_ms))
        {
            mirror.confirm_by(Some(head.follower.as_deref().unwrap_or(vm)), head.revision, at);
        }
    }

    /// The newest revision that it told of.
    pub fn revision(&self) -> u64 {
        self.last_head.as_ref().map_or(0, |(head, _)| head.revision)
    }

    /// How recent it is, for logs.
    pub fn describe(&self, vm: &str, now: Instant) -> String {
        let Some((head, _)) = &self.last_head else {
            return format!("{vm}: not connected");
        };
        let age = self.age(now).map_or("no".to_owned(), |age| format!("{} ms", age.as_millis()));
        let cut_off = if head.distance.is_some() { "" } else { ", cut off" };
        format!("{vm}: {age} old, revision {}{cut_off}", head.revision)
    }
}

/// Maintains the connection to one source.
struct SourceConnection<C> {
    vm: String,
    address: SocketAddr,
    connector: C,
    events: mpsc::Sender<Event>,
    requests: mpsc::Receiver<FeedRequest>,
}

impl<C> SourceConnection<C>
where
    C: Connect,
{
    async fn run(mut self) {
        loop {
            match self.connector.connect(self.address).await {
                Ok(link) => self.forward_messages(link).await,
                Err(error) => tracing::debug!(vm = self.vm, %error, "can't connect to entry"),
            }
            if self.events.send(Event { vm: self.vm.clone(), message: None }).await.is_err() {
                return;
            }
            sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn forward_messages(&mut self, mut link: FeedLink) {
        loop {
            tokio::select! {
                message = link.receiver.recv() => {
                    if message.is_none() {
                        return;
                    }
                    let event = Event { vm: self.vm.clone(), message };
                    if self.events.send(event).await.is_err() {
                        return;
                    }
                }
                request = self.requests.recv() => {
                    let Some(request) = request else { return };
                    if link.sender.send(request).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

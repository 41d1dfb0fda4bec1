//! Log output that never blocks the threads that write log lines.
//!
//! If the reader of the logs stopped reading, its pipe would fill and the next line would block the
//! thread that serves callers. Lines therefore go through a bounded queue to a separate thread;
//! lines that don't fit into the queue or exceed the rate are counted and dropped.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{
    Receiver, RecvTimeoutError, Sender, SyncSender, TrySendError, channel, sync_channel,
};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing::Level;
use tracing_subscriber::fmt::MakeWriter;

/// Capacity of the queue; at some 300 bytes a line about a megabyte.
const QUEUE_LINES: usize = 4_096;

/// Most lines a second, of all levels. A busy entry writes some 60; the bound keeps a tenfold load
/// with failures from using a tenth of its core.
pub const MAX_LINES_PER_S: u32 = 1_000;

/// Share of the rate for levels below warning; the rest is reserved for warnings and errors, which
/// matter most during many simultaneous failures.
const INFO_SHARE: f64 = 0.8;

const SECOND: Duration = Duration::from_secs(1);

/// Pause before a flush looks again for room in a full queue.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Why queued lines may be missing in the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FlushError {
    /// The reader did not take all lines in time.
    #[error("the reader of the logs takes no lines")]
    TimedOut,
    /// The reader has closed its end.
    #[error("the reader of the logs is gone")]
    ReaderGone,
}

/// What the thread that writes lines is asked to do.
#[derive(Debug)]
enum Message {
    Line(Vec<u8>),
    /// Answered once all earlier lines and the count of dropped ones are written.
    Flush(Sender<()>),
}

/// Creates writers that each queue one complete line.
#[derive(Clone, Debug)]
pub struct NonBlockingOutput {
    queue: SyncSender<Message>,
    rate: Arc<Mutex<Rate>>,
    dropped_lines: Arc<AtomicU64>,
}

#[derive(Debug)]
struct Rate {
    window_start: Instant,
    lines: u32,
    limit: u32,
}

impl NonBlockingOutput {
    /// Starts a thread that writes queued lines to `writer`; lines above `lines_per_s` are dropped.
    ///
    /// ```
    /// use flamingowheel_observe::output::{MAX_LINES_PER_S, NonBlockingOutput};
    /// assert!(NonBlockingOutput::start(std::io::sink(), MAX_LINES_PER_S).is_ok());
    /// ```
    pub fn start<W>(writer: W, lines_per_s: u32) -> io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped_lines);
        std::thread::Builder::new()
            .name("logs".to_owned())
            .stack_size(128 * 1024)
            .spawn(move || write_lines(&lines, writer, &counter))?;
        let rate = Rate { window_start: Instant::now(), lines: 0, limit: lines_per_s };
        Ok(Self { queue, rate: Arc::new(Mutex::new(rate)), dropped_lines })
    }

    /// Number of lines dropped and not yet reported in the output.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped_lines.load(Ordering::Relaxed)
    }

    /// Waits, for at most `limit`, until all queued lines and the count of dropped ones are written.
    ///
    /// ```
    /// use flamingowheel_observe::output::{MAX_LINES_PER_S, NonBlockingOutput};
    /// use std::time::Duration;
    /// let output = NonBlockingOutput::start(std::io::sink(), MAX_LINES_PER_S).unwrap();
    /// assert!(output.flush(Duration::from_secs(10)).is_ok());
    /// ```
    pub fn flush(&self, limit: Duration) -> Result<(), FlushError> {
        let deadline = Instant::now() + limit;
        let (written, wait) = channel();
        let mut message = Message::Flush(written);
        while let Err(error) = self.queue.try_send(message) {
            message = match error {
                TrySendError::Full(_) if Instant::now() >= deadline => {
                    return Err(FlushError::TimedOut);
                }
                TrySendError::Full(message) => message,
                TrySendError::Disconnected(_) => return Err(FlushError::ReaderGone),
            };
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        wait.recv_timeout(left).map_err(|error| match error {
            RecvTimeoutError::Timeout => FlushError::TimedOut,
            RecvTimeoutError::Disconnected => FlushError::ReaderGone,
        })
    }

    fn line(&self, level: Level) -> LineWriter {
        let mut rate = self.rate.lock().unwrap_or_else(PoisonError::into_inner);
        if rate.window_start.elapsed() >= SECOND {
            rate.window_start = Instant::now();
            rate.lines = 0;
        }
        let share = if level <= Level::WARN { 1.0 } else { INFO_SHARE };
        let is_allowed = f64::from(rate.lines) < f64::from(rate.limit) * share;
        if is_allowed {
            rate.lines += 1;
        } else {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
        LineWriter { bytes: Vec::new(), output: is_allowed.then(|| self.clone()) }
    }
}

fn write_lines<W>(messages: &Receiver<Message>, mut writer: W, dropped_lines: &AtomicU64)
where
    W: Write,
{
    while let Ok(message) = messages.recv() {
        let reported = report_dropped(&mut writer, dropped_lines);
        let written = reported.and_then(|()| match &message {
            Message::Line(line) => writer.write_all(line),
            Message::Flush(_) => Ok(()),
        });
        // A failed write means that the reader is gone, so no further line can be delivered.
        if written.and_then(|()| writer.flush()).is_err() {
            return;
        }
        if let Message::Flush(written) = message {
            // The error is ignored: a flush that timed out waits no more.
            let _ = written.send(());
        }
    }
}

fn report_dropped<W>(writer: &mut W, dropped_lines: &AtomicU64) -> io::Result<()>
where
    W: Write,
{
    match dropped_lines.swap(0, Ordering::Relaxed) {
        0 => Ok(()),
        count => {
            writeln!(writer, r#"{{"level":"WARN","message":"lines left out","count":{count}}}"#)
        }
    }
}

/// Buffers one line and queues it when dropped.
#[derive(Debug)]
pub struct LineWriter {
    bytes: Vec<u8>,
    output: Option<NonBlockingOutput>,
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.output.is_some() {
            self.bytes.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LineWriter {
    fn drop(&mut self) {
        let Some(output) = self.output.take() else {
            return;
        };
        if output.queue.try_send(Message::Line(std::mem::take(&mut self.bytes))).is_err() {
            output.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl<'a> MakeWriter<'a> for NonBlockingOutput {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        self.line(Level::INFO)
    }

    fn make_writer_for(&'a self, metadata: &tracing::Metadata<'_>) -> LineWriter {
        self.line(*metadata.level())
    }
}

//! Tests of log output whose reader stops, and of the bound on the rate of lines.

use flamingowheel_observe::output::{FlushError, NonBlockingOutput};
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tracing_subscriber::fmt::MakeWriter;

/// Blocks each write until `go` receives a message or its sender is dropped.
struct BlockedWriter {
    write_began: Sender<()>,
    go: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
    done: Sender<()>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The test waits for the first write only; the receiver may be gone later.
        let _ = self.write_began.send(());
        // Returns an error once the sender is dropped, which lets all further writes pass.
        let _ = self.go.recv();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for BlockedWriter {
    fn drop(&mut self) {
        // The receiver may be gone.
        let _ = self.done.send(());
    }
}

/// The reader of the logs stops reading. Writers must not block: lines are dropped, and their
/// number is reported once the reader continues.
#[test]
fn write_reader_stopped() {
    let (go, wait) = channel();
    let (done, ended) = channel();
    let (write_began, is_blocked) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let blocked = BlockedWriter { write_began, go: wait, written: Arc::clone(&written), done };
    let output = NonBlockingOutput::start(blocked, 1_000_000).unwrap();
    output.make_writer().write_all(b"line\n").unwrap();
    // Waits until the writer thread is blocked. If it started later, it would reset the count of
    // lines dropped until then.
    is_blocked.recv().unwrap();
    for _ in 1..10_000 {
        output.make_writer().write_all(b"line\n").unwrap();
    }
    assert_eq!(
        output.dropped_lines(),
        10_000 - 1 - 4_096,
        "all but the queue and the line at the reader"
    );
    drop(go);
    drop(output);
    ended.recv().unwrap();
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    assert!(text.contains("lines left out"), "the dropped lines must be reported");
    assert!(text.matches("line\n").count() > 4_000);
}

/// Lines below warning beyond their share of the rate must be dropped and counted.
#[test]
fn write_above_rate() {
    let (go, wait) = channel();
    let (done, _) = channel();
    let (write_began, is_blocked) = channel();
    let blocked = BlockedWriter { write_began, go: wait, written: Arc::default(), done };
    let output = NonBlockingOutput::start(blocked, 100).unwrap();
    output.make_writer().write_all(b"line\n").unwrap();
    // Waits until the writer thread is blocked. It would report and reset the count of lines dropped
    // until then.
    is_blocked.recv().unwrap();
    for _ in 0..100 {
        output.make_writer().write_all(b"line\n").unwrap();
    }
    assert!(output.dropped_lines() >= 20, "{}", output.dropped_lines());
    drop(go);
}

/// More than any test run takes.
const LONG: Duration = Duration::from_secs(60);

/// A reader that is slower than the lines arrive.
#[derive(Clone, Default)]
struct SlowWriter(Arc<Mutex<Vec<u8>>>);

impl Write for SlowWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_millis(1));
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SlowWriter {
    /// Number of lines that were written, or counted as left out.
    fn accounted(&self) -> u64 {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        let count = |line: &str| match line.split_once("\"count\":") {
            Some((_, count)) => count.trim_end_matches('}').parse().unwrap(),
            None => 1,
        };
        text.lines().map(count).sum()
    }
}

/// A process exits right after its last line. Lines that are still queued, and the count of those
/// left out after them, would be lost with it.
#[test]
fn flush_queued_lines_and_count_written() {
    let reader = SlowWriter::default();
    let output = NonBlockingOutput::start(reader.clone(), 100).unwrap();
    (0..100).for_each(|_| output.make_writer().write_all(b"line\n").unwrap());
    assert_eq!(output.flush(LONG), Ok(()));
    assert_eq!(reader.accounted(), 100);
    output.make_writer().write_all(b"line\n").unwrap();
    assert_eq!(output.flush(LONG), Ok(()));
    assert_eq!(reader.accounted(), 101);
}

/// A reader that has stopped must not keep a process alive that wants to exit.
#[test]
fn flush_reader_stopped_gives_up() {
    let (_go, wait) = channel();
    let (done, _ended) = channel();
    let (write_began, is_blocked) = channel();
    let blocked = BlockedWriter { write_began, go: wait, written: Arc::default(), done };
    let output = NonBlockingOutput::start(blocked, 5_000).unwrap();
    output.make_writer().write_all(b"line\n").unwrap();
    is_blocked.recv().unwrap();
    assert_eq!(output.flush(Duration::from_millis(1)), Err(FlushError::TimedOut));
    (0..5_000).for_each(|_| output.make_writer().write_all(b"line\n").unwrap());
    assert_eq!(output.flush(Duration::from_millis(1)), Err(FlushError::TimedOut), "queue full");
}

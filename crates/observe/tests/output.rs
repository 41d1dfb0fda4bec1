//! Log lines when their reader stops, or when there are too many.

use flamingowheel_observe::output::NonBlockingOutput;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use tracing_subscriber::fmt::MakeWriter;

/// Takes nothing until it is told to.
struct Stuck {
    entered: Sender<()>,
    go: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
    done: Sender<()>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Only the first entry is waited for.
        let _ = self.entered.send(());
        // The sender's end lets everything through.
        let _ = self.go.recv();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Stuck {
    fn drop(&mut self) {
        // Nobody may wait for it.
        let _ = self.done.send(());
    }
}

/// Whoever reads the logs stops. Requests must go on; only lines are lost, and their number is told
/// when the reader is back.
#[test]
fn write_reader_stopped() {
    let (go, wait) = channel();
    let (done, ended) = channel();
    let (entered, is_stuck) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let stuck = Stuck { entered, go: wait, written: Arc::clone(&written), done };
    let output = NonBlockingOutput::start(stuck, 1_000_000).unwrap();
    output.make_writer().write_all(b"line\n").unwrap();
    // A writer that begins late would take over the count of the lines that were left out by then.
    is_stuck.recv().unwrap();
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
    assert!(text.contains("lines left out"), "the gap must be told");
    assert!(text.matches("line\n").count() > 4_000);
}

/// Much goes wrong at once. Plain lines stop at their share of the rate, and are counted.
#[test]
fn write_above_rate() {
    let output = NonBlockingOutput::start(io::sink(), 100).unwrap();
    for _ in 0..100 {
        output.make_writer().write_all(b"line\n").unwrap();
    }
    assert!(output.dropped_lines() >= 20, "{}", output.dropped_lines());
}

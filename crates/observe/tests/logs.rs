//! Test of log lines. It has a process of its own because `tracing` caches per process which call
//! sites are enabled, so threads of other tests without a subscriber could disable the ones here.

use std::io::Write;
use std::sync::{Arc, Mutex};

use flamingowheel_observe::api::ProcessInfo;
use flamingowheel_observe::clock::{HybridClock, ManualClock};
use flamingowheel_observe::event::{Event, Subject};
use flamingowheel_observe::logs;
use flamingowheel_observe::metrics::Metrics;
use flamingowheel_observe::reason::LeaveCause;
use flamingowheel_observe::recorder::Recorder;
use serde_json::Value;
use tracing_subscriber::fmt::MakeWriter;
use uuid::Uuid;

fn process() -> ProcessInfo {
    ProcessInfo { name: "entry-1".into(), vm: "vm-7".into(), data_centre: "dc-a".into() }
}

#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("not poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Sink {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

#[test]
fn log_record_is_one_json_line_with_process() {
    let sink = Sink::default();
    let subscriber = logs::subscriber(process(), "info", sink.clone()).expect("a valid filter");
    let wall = ManualClock::default();
    wall.set_ms(1_000);
    let metrics = Metrics::new().expect("metrics register");
    let recorder = Recorder::new(process(), HybridClock::new(wall), 16, metrics);
    tracing::subscriber::with_default(subscriber, || {
        let subject_recorder =
            recorder.with_subject(Subject::request(Uuid::from_u128(7)).workspace("roadside"));
        subject_recorder.record(Event::LeaveBegan { cause: LeaveCause::Signal, requests: 2 });
        tracing::info!(vm = "forged", listeners = 2, "listening");
    });
    let written = sink.0.lock().expect("not poisoned").clone();
    let text = String::from_utf8(written).expect("UTF-8");
    let mut lines: Vec<Value> =
        text.lines().map(|line| serde_json::from_str(line).expect("a JSON line")).collect();
    for line in &mut lines {
        let time = line["time"].take();
        humantime::parse_rfc3339(time.as_str().expect("a text")).expect("a time");
    }
    insta::assert_json_snapshot!(lines);
}

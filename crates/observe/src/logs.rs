//! Logs as JSON lines; each line names the process, its VM and its data centre.

use std::fmt;
use std::time::SystemTime;

use serde_json::{Map, Value};
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, MakeWriter};
use tracing_subscriber::registry::LookupSpan;

use crate::api::ProcessInfo;
use crate::output::{MAX_LINES_PER_S, NonBlockingOutput};

/// Field of a log line that carries a complete recorded event as JSON.
const RECORD_FIELD: &str = "record";

/// Logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The filter could not be parsed.
    #[error("invalid log filter: {0}")]
    Filter(#[from] tracing_subscriber::filter::ParseError),
    /// The thread that writes log lines could not be started.
    #[error("failed to start the log writer thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The process already has a global subscriber.
    #[error("logging is already set up: {0}")]
    AlreadySet(#[from] tracing::subscriber::SetGlobalDefaultError),
}

/// Sends this process's logs to standard error as JSON lines, down to the levels in `filter`.
pub fn init(process: ProcessInfo, filter: &str) -> Result<(), LogError> {
    let subscriber = subscriber(process, filter, std::io::stderr)?;
    tracing::subscriber::set_global_default(subscriber)?;
    Ok(())
}

/// A subscriber that writes JSON lines to `writer`.
///
/// ```
/// use flamingowheel_observe::logs::subscriber;
/// use flamingowheel_observe::recorder::Recorder;
///
/// let process = Recorder::for_tests("entry-1").process().clone();
/// assert!(subscriber(process, "info", std::io::sink).is_ok());
/// ```
pub fn subscriber<W>(
    process: ProcessInfo,
    filter: &str,
    writer: W,
) -> Result<impl Subscriber + Send + Sync, LogError>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_new(filter)?;
    let format = JsonLines { process };
    Ok(tracing_subscriber::fmt()
        .with_env_filter(filter)
        .event_format(format)
        .with_writer(writer)
        .finish())
}

/// Sends the logs of a process on a platform to standard output as JSON lines. The output is to be
/// flushed before the process exits.
pub fn init_stdout(vm: &str, data_centre: &str) -> Result<NonBlockingOutput, LogError> {
    let process = ProcessInfo { name: vm.into(), vm: vm.into(), data_centre: data_centre.into() };
    let output = NonBlockingOutput::start(std::io::stdout(), MAX_LINES_PER_S)?;
    let subscriber = subscriber(process, "info", output.clone())?;
    tracing::subscriber::set_global_default(subscriber)?;
    Ok(output)
}

struct JsonLines {
    process: ProcessInfo,
}

impl<S, N> FormatEvent<S, N> for JsonLines
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut fields = Fields(Map::new());
        event.record(&mut fields);
        let mut line = fields.0;
        // Set last, so that fields of a message cannot overwrite them.
        let time = humantime::format_rfc3339_millis(SystemTime::now());
        line.insert("time".into(), time.to_string().into());
        line.insert("level".into(), event.metadata().level().as_str().into());
        line.insert("target".into(), event.metadata().target().into());
        line.insert("process".into(), (*self.process.name).into());
        line.insert("vm".into(), (*self.process.vm).into());
        line.insert("data_centre".into(), (*self.process.data_centre).into());
        writeln!(writer, "{}", Value::Object(line))
    }
}

struct Fields(Map<String, Value>);

impl Fields {
    fn set<V>(&mut self, field: &Field, value: V)
    where
        V: Into<Value>,
    {
        self.0.insert(field.name().to_owned(), value.into());
    }
}

impl Visit for Fields {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.set(field, format!("{value:?}"));
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        if field.name() != RECORD_FIELD {
            return self.set(field, value);
        }
        match serde_json::from_str(value) {
            Ok(Value::Object(record)) => self.0.extend(record),
            _ => self.set(field, value),
        }
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.set(field, value);
    }

    fn record_i64(&mut self, field: &Field, value: i64) {
        self.set(field, value);
    }

    fn record_f64(&mut self, field: &Field, value: f64) {
        self.set(field, value);
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.set(field, value);
    }
}

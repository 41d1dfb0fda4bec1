//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines to the record.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    /// Creates the record's file.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self(Arc::new((Mutex::new(File::create(path)?), Instant::now()))))
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let at = self.0.1.elapsed().as_secs_f64();
        let _ = writeln!(self.0.0.lock().unwrap(), "{at:8.3} s  {text}");
    }
}

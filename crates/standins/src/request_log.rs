//! The request log: a file with one JSON object a line for each event of a request, each with its time.
//!
//! Every line is one write, so the log of a process that is killed is complete up to that moment.

use serde_json::{Value, json};
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// A request log in a file, or none.
#[derive(Debug, Default)]
pub struct RequestLog(Option<File>);

impl RequestLog {
    /// Opens a log in this file, and appends to what it holds.
    ///
    /// # Errors
    /// The file can't be opened.
    pub fn open(path: &Path) -> io::Result<RequestLog> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(RequestLog(Some(file)))
    }

    /// Writes an event with the time `at_us`, Unix time in microseconds. Without a file the event is not even built.
    pub fn note(&self, event: impl FnOnce() -> Value) {
        let Some(mut file) = self.0.as_ref() else { return };
        let at_us = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        let mut line = event();
        line["at_us"] = json!(at_us);
        // A full disk costs the log and nothing else; a reader finds that it ends.
        let _ = file.write_all(format!("{line}\n").as_bytes());
    }
}

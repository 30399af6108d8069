//! Books in a file: what came to each endpoint and what became of it, a JSON object a line, each with its time.
//!
//! Every line is one write, so that a process that is killed has told all that it did until then.

use serde_json::{Value, json};
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// A file of books, or none.
#[derive(Debug, Default)]
pub struct Books(Option<File>);

impl Books {
    /// New ones in this file, behind what it holds.
    ///
    /// # Errors
    /// It can't be opened.
    pub fn open(path: &Path) -> io::Result<Books> {
        Ok(Books(Some(File::options().create(true).append(true).open(path)?)))
    }

    /// Notes what is worked out only where there are books; `at_us` is Unix time in microseconds.
    pub fn note(&self, what: impl FnOnce() -> Value) {
        let Some(mut file) = self.0.as_ref() else { return };
        let at_us = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        let mut line = what();
        line["at_us"] = json!(at_us);
        // A full disk loses books and nothing else; who reads them finds that they end.
        let _ = file.write_all(format!("{line}\n").as_bytes());
    }
}

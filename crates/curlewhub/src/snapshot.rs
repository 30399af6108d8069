//! A snapshot's file, for a person or a program.

use crate::cli::Exit;
use curlewhub_snapshot::decode_any;
use serde_json::json;
use std::fmt::Write as _;
use std::io::Write as _;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Prints it.
pub fn show(path: &Path, json: bool) -> Exit {
    let read = std::fs::read(path).map_err(|e| e.to_string());
    let (snapshot, fingerprint) = match read.and_then(|b| decode_any(&b).map_err(|e| e.to_string())) {
        Ok(read) => read,
        Err(problem) => {
            eprintln!("curlewhub: {}: {problem}", path.display());
            return Exit::Failed;
        }
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let age = snapshot.age(now);
    let fingerprint = format!("{fingerprint:016x}");
    let text = if json {
        json!({"age_s": age.as_secs_f64(), "fingerprint": fingerprint, "snapshot": snapshot}).to_string()
            + "\n"
    } else {
        words(&snapshot, age, &fingerprint)
    };
    let _ = std::io::stdout().write_all(text.as_bytes()); // a reader that has gone is no failure
    Exit::Done
}

fn words(snapshot: &curlewhub_balance::Snapshot, age: Duration, fingerprint: &str) -> String {
    let mut text = String::new();
    let secs = age.as_secs_f64();
    let _ = writeln!(text, "taken {secs:.1} s ago, under settings {fingerprint}");
    for (name, (size, opening)) in ["own zone", "others"].iter().zip(snapshot.windows) {
        let opening = if opening { ", still opening" } else { "" };
        let _ = writeln!(text, "window, {name}: {size:.1} attempts out{opening}");
    }
    for (class, (mean, unhurried)) in snapshot.latencies().iter().enumerate() {
        let (mean, unhurried) = (mean * 1e3, unhurried * 1e3);
        let _ = writeln!(text, "class {class}: mean latency {mean:.1} ms, unhurried {unhurried:.1} ms");
    }
    let (late, tokens) = (snapshot.late_share * 100.0, snapshot.retry_tokens);
    let _ = writeln!(text, "late answers: {late:.1}%; retries saved up: {tokens:.1}");
    for endpoint in &snapshot.endpoints {
        let started = endpoint.started.map_or("long ago".to_owned(), |at| format!("at {}", at.as_secs()));
        let (id, limit) = (endpoint.id.0, endpoint.limit);
        let _ = writeln!(text, "endpoint {id:016x}: may hold {limit:.1} calls, started {started}");
    }
    text
}

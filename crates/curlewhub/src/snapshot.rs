//! `curlewhub snapshot show`: prints a snapshot file of a sidecar's learned state.

use crate::output::{Exit, fail, print};
use curlewhub_balance::Snapshot;
use curlewhub_snapshot::decode_any;
use serde_json::json;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Prints the snapshot, its age, and the fingerprint of the settings under which it was taken.
pub fn show(path: &Path, json: bool) -> Exit {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) => return fail(format_args!("{}: {error}", path.display())),
    };
    let (snapshot, fingerprint) = match decode_any(&bytes) {
        Ok(decoded) => decoded,
        Err(error) => return fail(format_args!("{}: {error}", path.display())),
    };
    let age = snapshot.age(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default());
    let fingerprint = format!("{fingerprint:016x}");
    if json {
        let value = json!({"age_s": age.as_secs_f64(), "fingerprint": fingerprint, "snapshot": snapshot});
        return print(&(value.to_string() + "\n"));
    }
    print(&text(&snapshot, age, &fingerprint))
}

fn text(snapshot: &Snapshot, age: Duration, fingerprint: &str) -> String {
    let mut text = format!("taken {:.1} s ago, under settings {fingerprint}\n", age.as_secs_f64());
    for (name, (size, ramping_up)) in ["own zone", "others"].iter().zip(snapshot.windows) {
        let note = if ramping_up { ", still ramping up" } else { "" };
        text += &format!("window, {name}: {size:.1} attempts in flight{note}\n");
    }
    for (class, (mean, baseline)) in snapshot.latencies().iter().enumerate() {
        let (mean_ms, baseline_ms) = (mean * 1e3, baseline * 1e3);
        text += &format!("class {class}: mean latency {mean_ms:.1} ms, baseline {baseline_ms:.1} ms\n");
    }
    let (late_percent, tokens) = (snapshot.late_share * 100.0, snapshot.retry_tokens);
    text += &format!("late answers: {late_percent:.1}%; retry tokens: {tokens:.1}\n");
    for endpoint in &snapshot.endpoints {
        let started = endpoint.started.map_or("long ago".to_owned(), |at| format!("at {}", at.as_secs()));
        let (id, limit) = (endpoint.id.0, endpoint.limit);
        text += &format!("endpoint {id:016x}: limit {limit:.1} calls in flight, started {started}\n");
    }
    text
}

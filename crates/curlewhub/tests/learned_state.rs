//! The sidecar's learned state: handed to a successor, kept over a crash, refused if its file is invalid.

mod support;

use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::Command;
use support::discovery::Discovery;
use support::script::RawConnection;
use support::*;

/// A configuration for one endpoint with a discovery service that answers.
fn with_discovery(peer: &Peer) -> (Value, Discovery) {
    let mut config = config_with_operator(&[peer]);
    let discovery = Discovery::new(list(8, true, &[target("s-0", peer.address, "up")]));
    config["discovery"] = json!(discovery.address.to_string());
    (config, discovery)
}

fn file(sidecar: &Sidecar) -> PathBuf {
    let at = sidecar.address;
    sidecar.state_dir().join(format!("curlewhub-learnt-{}-{}.bin", at.ip(), at.port()))
}

/// The output of `curlewhub snapshot show --json` for a file; `None` if the command fails.
fn show(file: &std::path::Path) -> Option<Value> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewhub"));
    let output = command.args(["snapshot", "show", "--json"]).arg(file).output().unwrap();
    output.status.success().then(|| serde_json::from_slice(&output.stdout).unwrap())
}

/// The number of answers of class `quote` that a snapshot has counted.
fn seen(file: &std::path::Path) -> u64 {
    show(file).and_then(|shown| shown["snapshot"]["latency"][0]["seen"].as_u64()).unwrap_or_default()
}

fn learn(sidecar: &Sidecar) {
    (0..30).for_each(|n| assert_eq!(sidecar.send_request("quote", &format!("l{n}")).status(), 200));
}

/// A sidecar killed with SIGKILL after it had written its learned state, and the file.
fn killed(config: &Value) -> (Sidecar, PathBuf) {
    let mut sidecar = Sidecar::start(config);
    learn(&sidecar);
    let kept = file(&sidecar);
    wait_for("the file", || seen(&kept) >= 30);
    sidecar.signal("-KILL");
    sidecar.wait_for_exit();
    (sidecar, kept)
}

#[test]
fn learned_state_is_handed_to_a_successor_and_on_to_the_next_one() {
    let peer = Peer::serving("ok");
    let (config, _discovery) = with_discovery(&peer);
    let first = Sidecar::start(&config);
    first.wait_for_log("snapshot: none is kept here");
    learn(&first);
    // Dropping the first process removes the state directory: all are kept until the end.
    let mut all = vec![first];
    for _ in 0..2 {
        let next = all[all.len() - 1].successor(&config);
        wait_for("the successor's yes", || next.call("PING") == "YES\n");
        let line = next.wait_for_log("snapshot: read");
        assert!(line.contains("the process before") && line.contains("restored=true"), "{line}");
        let old = all.last_mut().unwrap();
        old.signal("-TERM");
        assert!(old.wait_for_exit().success());
        all.push(next);
    }
    let last = all.last_mut().unwrap();
    last.signal("-TERM");
    assert!(last.wait_for_exit().success());
    let kept = file(last);
    assert_eq!(seen(&kept), 30, "none of the successors served a request");
}

#[test]
fn learned_state_is_restored_after_a_kill() {
    let peer = Peer::serving("ok");
    let (config, _discovery) = with_discovery(&peer);
    let (first, _) = killed(&config);
    let second = first.successor(&config);
    wait_for("its yes", || second.call("PING") == "YES\n");
    let line = second.wait_for_log("snapshot: read");
    assert!(line.contains("from=\"file\"") && line.contains("restored=true"), "{line}");
    assert_eq!(second.send_request("quote", "r1").status(), 200);
}

#[test]
fn an_invalid_snapshot_is_refused_with_its_reason_and_the_start_goes_on() {
    let peer = Peer::serving("ok");
    let (config, _discovery) = with_discovery(&peer);
    let (first, kept) = killed(&config);
    let good = std::fs::read(&kept).unwrap();
    let mut flipped = good.clone();
    flipped[30] ^= 1;
    let mut version = good.clone();
    version[4] = 99;
    for (bytes, reason) in [
        (&good[..40], "truncated"),
        (&flipped, "corrupt"),
        (&version, "of version 99"),
        (b"junk", "not a snapshot"),
    ] {
        std::fs::write(&kept, bytes).unwrap();
        assert!(show(&kept).is_none(), "{reason}");
        let mut next = first.successor(&config);
        wait_for("its yes", || next.call("PING") == "YES\n");
        let line = next.wait_for_log("snapshot: refused");
        assert!(line.contains(reason), "{line}");
        assert_eq!(next.send_request("quote", "r1").status(), 200);
        next.signal("-KILL");
        next.wait_for_exit();
    }
    // State learned under other settings is refused.
    std::fs::write(&kept, &good).unwrap();
    let mut other = config.clone();
    other["settings"]["classes"][0]["objectiveMs"] = json!(9000.0);
    let next = first.successor(&other);
    wait_for("its yes", || next.call("PING") == "YES\n");
    next.wait_for_log("of another tier or configuration");
}

#[test]
fn a_failed_snapshot_write_is_counted_and_traffic_goes_on() {
    let peer = Peer::serving("ok");
    let (config, _discovery) = with_discovery(&peer);
    let sidecar = Sidecar::start(&config);
    wait_for("the first file", || sidecar.metric("snapshot_ok") > 0);
    // A directory takes the file's place: a file can't be renamed over it, whichever user runs the test.
    let kept = file(&sidecar);
    std::fs::remove_file(&kept).unwrap();
    std::fs::create_dir(&kept).unwrap();
    sidecar.call("LAMEDUCK");
    wait_for("the failure", || sidecar.metric("snapshot_failed") > 0);
    sidecar.wait_for_log("snapshot: can't be written");
    assert_eq!(sidecar.send_request("quote", "r1").status(), 200);
    // A temporary file may be in the middle of being written, and disappears soon after.
    wait_for("no half-written file", || {
        let beside = std::fs::read_dir(sidecar.state_dir()).unwrap().flatten();
        beside.into_iter().all(|entry| !entry.file_name().to_string_lossy().ends_with(".new"))
    });
}

/// In soak runs all sidecars of one machine answered up to 1.7 s late within the same second, while a sync on its disk
/// took as long: a short snapshot was written by the thread that serves, and its rename waited for the disk. The same
/// schedules passed on a file system in memory. Here a pipe without a reader in the place of the file blocks whoever
/// opens it, as such a disk does.
#[test]
fn a_slow_disk_delays_no_request() {
    let peer = Peer::serving("ok");
    let config = config_with_operator(&[&peer]);
    let sidecar = Sidecar::start(&config);
    let snapshot = file(&sidecar);
    wait_for("the first snapshot", || snapshot.exists());
    let pipe = snapshot.with_extension(format!("{}.new", sidecar.child.id()));
    assert!(std::process::Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    // A change of the lifecycle state is written immediately.
    assert!(sidecar.call("LAMEDUCK").starts_with("YES"));
    let start = std::time::Instant::now();
    while start.elapsed() < std::time::Duration::from_secs(1) {
        let mut client = RawConnection::connect(sidecar.address);
        client.write(&request("quote", "q", "400m"));
        let answer = client.read_within(std::time::Duration::from_secs(5));
        assert!(answer.is_some(), "no answer within five seconds");
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    std::fs::remove_file(pipe).unwrap();
}

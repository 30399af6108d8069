//! The built sidecar with a state directory that fails for a while, and with a clock that steps between two processes.

mod support;

use curlewhub_fault_schedule::{Call, Effect, Entry, Errno, Injection, Schedule, Switch, Target};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use support::discovery::Discovery;
use support::*;

/// Later than the end of any test: an entry with this start is off until it is switched on.
const NEVER_MS: u64 = 3_600_000;

/// The sidecar's state directory and one for the test's own files, both removed when dropped.
struct Folders(PathBuf);

impl Folders {
    fn new(name: &str) -> Folders {
        let path = std::env::temp_dir().join(format!("curlewhub-storage-{name}-{}", std::process::id()));
        std::fs::create_dir_all(path.join("state")).unwrap();
        Folders(path)
    }

    fn state(&self) -> PathBuf {
        self.0.join("state")
    }

    fn injection(&self, name: &str, entries: Vec<Entry>) -> Injection {
        let program = Some("curlewhub".to_owned());
        Injection::new(&Schedule { program, entries, ..Schedule::default() }, &self.0, name).unwrap()
    }

    /// Shell text that makes a sidecar keep its files in `state`.
    fn prefix(&self) -> String {
        format!("export TMPDIR={};", self.state().display())
    }
}

impl Drop for Folders {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A configuration with one endpoint and a keyed class whose repeats stay within a zone.
fn keyed(peer: &Peer) -> Value {
    let mut config = config_with_operator(&[peer]);
    config["settings"]["classes"][2]["group"] = json!("zone");
    config
}

fn pay(sidecar: &Sidecar, key: &str) {
    let text =
        request("pay", key, "10000m").replace("Idempotency-Key: k1", &format!("Idempotency-Key: {key}"));
    let mut client = sidecar.client();
    client.send(&text);
    assert_eq!(client.receive().unwrap().status(), 200);
}

fn kill(sidecar: &mut Sidecar) {
    sidecar.signal("-KILL");
    sidecar.wait_for_exit();
}

/// The number of keys that a sidecar read when it started.
fn keys_read(sidecar: &Sidecar) -> String {
    let line = sidecar.wait_for_log("keys: read what processes before have left");
    line.split("keys=").nth(1).unwrap_or_default().trim().to_owned()
}

fn fails(calls: &[Call], errno: Errno, below: &Path, from_ms: u64) -> Entry {
    Entry::fails(calls, errno).on(Target::Below(below.to_owned())).between(from_ms, None)
}

#[test]
fn keys_of_jobs_sent_while_the_disk_was_full_survive_a_kill() {
    for (name, errno) in [("full", Errno::Enospc), ("broken", Errno::Eio)] {
        let (peer, folders) = (Peer::serving("ok"), Folders::new(name));
        let config = keyed(&peer);
        let disk =
            folders.injection("disk", vec![fails(&[Call::Write], errno, &folders.state(), NEVER_MS)]);
        let prefix = folders.prefix() + &disk.shell_prefix();
        let mut first = Sidecar::start_with(&config, &prefix);
        pay(&first, "before");
        disk.switch(0, Switch::On).unwrap();
        (0..5).for_each(|number| pay(&first, &format!("during-{number}")));
        assert_eq!((first.metric("keys_failed"), first.metric("keys")), (5, 6), "{errno:?}");
        disk.switch(0, Switch::Off).unwrap();
        first.wait_for_log("keys: all that was owed is written");
        kill(&mut first);
        let second = first.successor_with(&config, &folders.prefix());
        wait_for("its yes", || second.call("PING") == "YES\n");
        assert_eq!(keys_read(&second), "6", "{errno:?}");
    }
}

#[test]
fn a_journal_whose_creation_failed_at_first_survives_a_kill() {
    for (name, call) in [("open", Call::Open), ("header", Call::Write)] {
        let (peer, folders) = (Peer::serving("ok"), Folders::new(name));
        let config = keyed(&peer);
        let disk = folders.injection("disk", vec![fails(&[call], Errno::Enospc, &folders.state(), 0)]);
        let mut first = Sidecar::start_with(&config, &(folders.prefix() + &disk.shell_prefix()));
        first.wait_for_log("keys: no journal");
        (0..3).for_each(|number| pay(&first, &format!("p{number}")));
        disk.switch(0, Switch::Off).unwrap();
        first.wait_for_log("keys: all that was owed is written");
        kill(&mut first);
        let second = first.successor_with(&config, &folders.prefix());
        wait_for("its yes", || second.call("PING") == "YES\n");
        assert_eq!(keys_read(&second), "3", "{call}");
    }
}

#[test]
fn a_write_torn_by_a_kill_loses_no_other_key() {
    for bytes in [0, 1, 17, 39] {
        let (peer, folders) = (Peer::serving("ok"), Folders::new(&format!("torn-{bytes}")));
        let config = keyed(&peer);
        let torn = Entry::new(&[Call::Write], Effect::Torn { bytes })
            .on(Target::Below(folders.state()))
            .between(NEVER_MS, None);
        let disk = folders.injection("disk", vec![torn]);
        let mut first = Sidecar::start_with(&config, &(folders.prefix() + &disk.shell_prefix()));
        wait_for("a snapshot: the next file to be written is the journal", || {
            first.metric("snapshot_ok") > 0
        });
        (0..3).for_each(|number| pay(&first, &format!("p{number}")));
        disk.switch(0, Switch::On).unwrap();
        let mut client = first.client();
        client.send(&request("pay", "last", "10000m"));
        first.wait_for_exit();
        let second = first.successor_with(&config, &folders.prefix());
        wait_for("its yes", || second.call("PING") == "YES\n");
        assert_eq!(keys_read(&second), "3", "{bytes} bytes");
    }
}

#[test]
fn a_clock_step_between_two_processes_loses_neither_keys_nor_learned_state() {
    for step_ms in [3_600_000, -3_600_000, 1000, -1000] {
        let (peer, folders) = (Peer::serving("ok"), Folders::new(&format!("step{step_ms}")));
        let mut config = keyed(&peer);
        let discovery = Discovery::new(list(8, true, &[target("s-0", peer.address, "up")]));
        config["discovery"] = json!(discovery.address.to_string());
        let mut first = Sidecar::start_with(&config, &folders.prefix());
        wait_for("a snapshot", || first.metric("snapshot_ok") > 0);
        pay(&first, "p1");
        kill(&mut first);
        let step = Entry::new(&[], Effect::ClockStep { offset_ms: step_ms });
        let stepped = folders.injection("clock", vec![step]);
        let second = first.successor_with(&config, &(folders.prefix() + &stepped.shell_prefix()));
        wait_for("its yes", || second.call("PING") == "YES\n");
        assert_eq!(keys_read(&second), "1", "{step_ms} ms");
        let line = second.wait_for_log("snapshot: read");
        assert!(line.contains("restored=true"), "{step_ms} ms: {line}");
        let age = line.split("age_ms=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap();
        let age: u64 = age.parse().unwrap();
        assert!((1..60_000).contains(&age), "{step_ms} ms: the snapshot is {age} ms old");
    }
}

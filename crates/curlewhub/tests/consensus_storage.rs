//! Three consensus server processes under a stream of proposals while all of their disks are full or every fsync fails.

use curlewhub_fault_schedule::{Call, Entry, Errno, Injection, Origin, Schedule, Switch, Target};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Limit of every wait, also on a slow machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The number of proposals to be refused before the fault ends.
const REFUSED: usize = 20;
/// Indices of the entries in each server's fault schedule.
const FULL: usize = 0;
const NO_SYNC: usize = 1;

/// Three servers, each with its own fault injection.
struct Servers {
    folder: PathBuf,
    running: Vec<Child>,
    injections: Vec<Injection>,
}

impl Drop for Servers {
    fn drop(&mut self) {
        for child in &mut self.running {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn injection(folder: &Path, n: usize) -> Injection {
    let state = Target::Below(folder.join(format!("k{n}")));
    let full = Entry::fails(&[Call::Write, Call::Ftruncate, Call::Open], Errno::Enospc).on(state.clone());
    let no_sync = Entry::fails(&[Call::Fsync], Errno::Eio).on(state);
    let entries = vec![full, no_sync];
    let schedule =
        Schedule { seed: 1, program: Some("curlewhub".to_owned()), origin: Origin::Activation, entries };
    let injection = Injection::new(&schedule, folder, &format!("server-{n}")).unwrap();
    [FULL, NO_SYNC].iter().for_each(|entry| injection.switch(*entry, Switch::Off).unwrap());
    injection.activate().unwrap();
    injection
}

impl Servers {
    fn start() -> Servers {
        let folder = std::env::temp_dir().join(format!("curlewhub-consensus-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("key"), "5a".repeat(32)).unwrap();
        // Each gets an address that only this test uses.
        let part = 1 + (std::process::id() % 250) as u8;
        let free = |n| TcpListener::bind((Ipv4Addr::new(127, 83, part, n), 0)).unwrap();
        let listeners: Vec<TcpListener> = (1..=4).map(free).collect();
        let at: Vec<_> = listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
        for n in 1..=4 {
            let (key, state) = (folder.join("key"), folder.join(format!("k{n}")));
            let mut text = format!(
                "name = \"k{n}\"\nlisten = \"{}\"\nstate_dir = {state:?}\nkey = {{ number = 1, file = {key:?} }}\n",
                at[n - 1]
            );
            for (n, at) in (1..=3).zip(&at) {
                text += &format!("[[keepers]]\nid = {n}\nname = \"k{n}\"\naddress = \"{at}\"\n");
            }
            std::fs::write(folder.join(format!("k{n}.toml")), text).unwrap();
        }
        drop(listeners);
        let injections: Vec<Injection> = (1..=3).map(|n| injection(&folder, n)).collect();
        let mut servers = Servers { folder, running: Vec::new(), injections };
        for n in 1..=3 {
            let mut command = servers.program(&["keeper", "--begin"], n);
            servers.injections[n - 1].prepare(&mut command);
            let log = std::fs::File::create(servers.log(n)).unwrap();
            servers.running.push(command.stderr(log).spawn().unwrap());
        }
        servers
    }

    /// A command with the configuration file of server `n`; the fourth file is that of the caller.
    fn program(&self, words: &[&str], n: usize) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_curlewhub"));
        command.args(words).arg("--config").arg(self.folder.join(format!("k{n}.toml")));
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        command
    }

    fn log(&self, n: usize) -> PathBuf {
        self.folder.join(format!("k{n}.log"))
    }

    fn call(&self, words: &[&str]) -> Output {
        self.program(words, 4).output().unwrap()
    }

    fn switch(&self, entry: usize, switch: Switch) {
        self.injections.iter().for_each(|injection| injection.switch(entry, switch).unwrap());
    }

    fn logged(&self, n: usize, event: &str) -> usize {
        std::fs::read_to_string(self.log(n)).unwrap().matches(event).count()
    }

    /// Waits until `holds` is true of the status of the three servers.
    fn until(&self, what: &str, holds: impl Fn(&[Value]) -> bool) -> Vec<Value> {
        let began = Instant::now();
        loop {
            let status: Value = serde_json::from_slice(&self.call(&["fleet", "status", "--json"]).stdout)
                .unwrap_or_default();
            let servers = status["keepers"].as_array().cloned().unwrap_or_default();
            if servers.len() == 3 && holds(&servers) {
                return servers;
            }
            let logs: Vec<_> = (1..=3).map(|n| std::fs::read_to_string(self.log(n)).unwrap()).collect();
            assert!(began.elapsed() < WAIT_TIMEOUT, "never: {what}: {status}\n{}", logs.join("\n"));
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

/// The answers that the proposing client got.
#[derive(Default)]
struct ProposalResults {
    /// Versions of committed proposals, by key.
    acknowledged: BTreeMap<String, u64>,
    refused: usize,
    /// Proposals sent and acknowledged while no server could write.
    while_failed: Vec<String>,
}

/// Sends proposals one after another until `ends` is set.
fn propose(servers: &Servers, results: &Mutex<ProposalResults>, failed: &AtomicBool, ends: &AtomicBool) {
    for n in 0.. {
        if ends.load(Ordering::SeqCst) {
            return;
        }
        let (key, before) = (format!("k{n}"), failed.load(Ordering::SeqCst));
        let output = servers.call(&["fleet", "propose", "--key", &key, "--kind", "999", "--body", "b"]);
        let output_text = String::from_utf8_lossy(&output.stdout).into_owned();
        let mut results = results.lock().unwrap();
        if !output.status.success() {
            results.refused += 1;
            continue;
        }
        let version = output_text.split("version ").nth(1).and_then(|rest| rest.split_whitespace().next());
        let version = version.and_then(|digits| digits.trim_end_matches(['.', ',', ':']).parse().ok());
        if before && failed.load(Ordering::SeqCst) {
            results.while_failed.push(key.clone());
        }
        results.acknowledged.insert(key, version.unwrap_or_else(|| panic!("{output_text}")));
    }
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "never: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Applies one fault to all three servers for a while, under proposals.
fn run_fault(servers: &Servers, entry: usize, results: &Mutex<ProposalResults>, failed: &AtomicBool) {
    let acknowledged = || results.lock().unwrap().acknowledged.len();
    let enough = acknowledged() + 10;
    until("acknowledged", || acknowledged() >= enough);
    servers.switch(entry, Switch::On);
    failed.store(true, Ordering::SeqCst);
    // The third may have nothing left to write, as it is not the leader.
    servers.until("a majority has stepped down", |all| {
        all.iter().filter(|one| one["version"] == 0).count() >= 2
    });
    let refused = results.lock().unwrap().refused + REFUSED;
    until("refused", || results.lock().unwrap().refused >= refused);
    failed.store(false, Ordering::SeqCst);
    servers.switch(entry, Switch::Off);
    let enough = acknowledged() + 10;
    until("acknowledged again", || acknowledged() >= enough);
    servers.until("all are back", |all| all.iter().all(|one| one["version"].as_u64() > Some(0)));
}

#[test]
fn servers_with_full_disks_or_failing_syncs_recover_without_a_restart_and_lose_no_committed_record() {
    let mut servers = Servers::start();
    let (results, failed, ends) =
        (Mutex::<ProposalResults>::default(), AtomicBool::new(false), AtomicBool::new(false));
    std::thread::scope(|scope| {
        let client = scope.spawn(|| propose(&servers, &results, &failed, &ends));
        let spans = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            [FULL, NO_SYNC].iter().for_each(|entry| run_fault(&servers, *entry, &results, &failed));
        }));
        ends.store(true, Ordering::SeqCst);
        client.join().unwrap();
        spans.unwrap();
    });
    let results = results.into_inner().unwrap();
    assert!(
        results.while_failed.is_empty(),
        "acknowledged while no server could write: {:?}",
        results.while_failed
    );
    let last = *results.acknowledged.values().max().unwrap();
    let all = servers.until("all hold all", |all| {
        all.iter().all(|one| one["version"].as_u64().is_some_and(|version| version >= last))
    });
    for one in &all {
        let records: BTreeMap<&str, u64> = one["records"]
            .as_array()
            .unwrap()
            .iter()
            .filter_map(|record| Some((record["key"].as_str()?, record["version"].as_u64()?)))
            .collect();
        for (key, version) in &results.acknowledged {
            assert_eq!(records.get(&key[..]), Some(version), "{key} at {}", one["name"]);
        }
    }
    for entry in [FULL, NO_SYNC] {
        let struck = servers.injections.iter().filter(|one| one.struck(entry).unwrap() > 0).count();
        assert!(struck >= 2, "entry {entry}");
    }
    // The same processes stepped down and recovered; none was restarted.
    let stepped_down: Vec<_> = (1..=3).map(|n| servers.logged(n, "write failed; stepping down")).collect();
    let reopened: Vec<_> = (1..=3).map(|n| servers.logged(n, "storage reopened")).collect();
    assert_eq!(stepped_down, reopened);
    assert!(stepped_down.iter().sum::<usize>() >= 4, "{stepped_down:?}");
    assert!(servers.running.iter_mut().all(|child| child.try_wait().unwrap().is_none()), "none has ended");
}

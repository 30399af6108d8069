//! Configuration changes on real processes: three consensus servers, subscribers in two zones and a sidecar. Changes are
//! rolled out, rejected by the servers, refused by the sidecar, rolled back, and in force again after a restart.

use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Limit of every wait, also on a slow machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Names and zones of the subscribers.
const SUBSCRIBERS: [(&str, &str); 4] = [("f1", "a"), ("f2", "a"), ("f3", "b"), ("f4", "b")];

fn program(words: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewhub"));
    command.args(words).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// A directory with a fleet's files; dropping it ends its processes.
struct Fleet {
    folder: PathBuf,
    /// The settings of the fleet that all files share.
    common: String,
    /// The sidecar's operator address.
    operator: SocketAddr,
    running: Vec<(String, Child)>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, child) in &mut self.running {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A free address of this test's own.
fn free(n: u8) -> SocketAddr {
    let part = 1 + (std::process::id() % 250) as u8;
    TcpListener::bind((Ipv4Addr::new(127, 83, part, n), 0)).unwrap().local_addr().unwrap()
}

impl Fleet {
    fn start() -> Fleet {
        let folder = std::env::temp_dir().join(format!("curlewhub-rollout-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("key"), "5a".repeat(32)).unwrap();
        let servers: Vec<SocketAddr> = (1..=3).map(free).collect();
        let named: Vec<String> = (1..=3)
            .map(|n| format!("{{ id = {n}, name = \"k{n}\", address = \"{}\" }}", servers[n - 1]))
            .collect();
        let key = folder.join("key");
        let common = format!("key = {{ number = 1, file = {key:?} }}\nkeepers = [{}]\n", named.join(", "));
        let mut fleet = Fleet { folder, common, operator: free(30), running: Vec::new() };
        for (n, at) in (1..=3).zip(servers) {
            fleet.write(&format!("k{n}"), at, "");
            fleet.run(&format!("k{n}"), &["consensus-server", "--begin"]);
        }
        for (n, (name, zone)) in (10..).zip(SUBSCRIBERS) {
            fleet.write(name, free(n), &format!("hall = \"{zone}\"\n"));
            fleet.run(name, &["fleet", "follow"]);
        }
        fleet.write_sidecar();
        fleet.run("s", &["run"]);
        fleet
    }

    fn write(&self, name: &str, listen: SocketAddr, more: &str) {
        let state = self.folder.join(name);
        let text =
            format!("name = {name:?}\nlisten = \"{listen}\"\nstate_dir = {state:?}\n{more}{}", self.common);
        std::fs::write(self.folder.join(format!("{name}.toml")), text).unwrap();
    }

    /// A sidecar in zone a, with a list of its own and so without discovery.
    fn write_sidecar(&self) {
        let state = self.folder.join("s");
        std::fs::create_dir_all(&state).unwrap();
        let text = format!(
            "name = \"s\"\nlisten = \"{}\"\noperator = \"{}\"\nstate_dir = {state:?}\nzones = [\"a\", \"b\"]\nzone = \"a\"\n\
             [[classes]]\nname = \"book\"\nrepeat = \"safe\"\nobjective = \"1s\"\ndeadline = \"2s\"\n\
             [[endpoints]]\nid = \"e\"\naddress = \"{}\"\nzone = \"a\"\n[fleet]\nlisten = \"{}\"\n{}",
            free(31),
            self.operator,
            free(32),
            free(33),
            self.common
        );
        std::fs::write(self.folder.join("s.toml"), text).unwrap();
    }

    fn file(&self, name: &str) -> String {
        self.folder.join(format!("{name}.toml")).display().to_string()
    }

    fn run(&mut self, name: &str, words: &[&str]) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")));
        let file = self.file(name);
        let words: Vec<&str> = words.iter().copied().chain(["--config", &file]).collect();
        let child = program(&words).stdout(Stdio::null()).stderr(log.unwrap()).spawn().unwrap();
        self.running.push((name.to_owned(), child));
    }

    fn end(&mut self, name: &str) {
        let at = self.running.iter().position(|(known, _)| known == name).unwrap();
        let (_, mut child) = self.running.remove(at);
        child.kill().unwrap();
        child.wait().unwrap();
    }

    fn call(&self, words: &[&str]) -> Output {
        let file = self.file("k1");
        let words: Vec<&str> =
            ["fleet"].into_iter().chain(words.iter().copied()).chain(["--config", &file]).collect();
        program(&words).output().unwrap()
    }

    /// The error of a command that is refused.
    fn refused(&self, words: &[&str]) -> String {
        let output = self.call(words);
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{words:?}: {error}");
        error
    }

    fn done(&self, words: &[&str]) {
        let output = self.call(words);
        assert!(output.status.success(), "{words:?}: {}", String::from_utf8_lossy(&output.stderr));
    }

    /// The status, once no rollout is under way and all sidecars have this number in force.
    fn in_force(&self, number: u64, sidecars: u64) -> Value {
        let began = Instant::now();
        loop {
            let output = self.call(&["config", "status", "--json", "--wait", "15s"]);
            let status: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
            let has = |field: &str| status["census"]["stage"][field].as_u64();
            let all = has("in_force") == Some(sidecars) && has("silent") == Some(0);
            if output.status.success() && all && status["rollout"]["target"]["number"] == number {
                println!(
                    "configuration {number} in force everywhere, seen {:?} after the command",
                    began.elapsed()
                );
                return status;
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "{number} at {sidecars}: {status}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Waits until the sidecar has this configuration in force.
    fn sidecar_has(&self, number: u64) {
        let began = Instant::now();
        let at = self.operator.to_string();
        loop {
            let output = program(&["ctl", "--at", &at, "--json", "info"]).output().unwrap();
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            if text.contains(&format!("\"router.config_version\":{number}")) {
                return;
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "{number}: {text}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn until_members(&self, sidecars: usize) {
        let began = Instant::now();
        loop {
            let output = self.call(&["members", "--json"]);
            let listed: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
            let there = |member: &&Value| member["standing"] == "there";
            let there = listed["members"].as_array().map_or(0, |all| all.iter().filter(there).count());
            let leads = self.call(&["note", "ready"]).status.success();
            if there == sidecars + 3 && leads {
                return;
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "{listed}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn until_logged(&self, name: &str, wanted: &str) {
        let began = Instant::now();
        while !self.log(name).contains(wanted) {
            assert!(began.elapsed() < WAIT_TIMEOUT, "{name} did not log {wanted:?}: {}", self.log(name));
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }
}

#[test]
fn a_change_is_rolled_out_an_invalid_one_rejected_and_a_refused_one_rolled_back() {
    let mut fleet = Fleet::start();
    fleet.until_members(5);
    let quick = ["--why", "a test", "--soak", "200ms"];
    let propose = |words: &[&'static str]| [&["config", "propose"], words, &quick].concat();

    fleet.done(&propose(&["--set", "log.level=debug", "--canary-zone", "b"]));
    let status = fleet.in_force(1, 5);
    assert_eq!(status["rollout"]["phase"]["name"], "complete", "{status}");
    fleet.sidecar_has(1);

    // An invalid change is rejected as a whole with all its errors, and so is one based on an older configuration.
    let error = fleet.refused(&propose(&["--set", "log.level=loud", "--set", "listen=x", "--everywhere"]));
    assert!(
        error.contains("log.level") && error.contains("listen") && error.contains("allowed"),
        "{error}"
    );
    let error = fleet.refused(&propose(&["--set", "log.level=warn", "--base", "0"]));
    assert!(error.contains("made from configuration 0, and the newest is 1"), "{error}");
    let error = fleet.refused(&propose(&["--set", "log.level=debug"]));
    assert!(error.contains("it is so already"), "{error}");
    let error = fleet.refused(&["propose", "--key", "config", "--kind", "4", "--body", "{}"]);
    assert!(error.contains("by `fleet config` alone"), "{error}");

    // Valid for the servers, but refused by the sidecar, one of three in the canary: it has no discovery to move.
    fleet.done(&propose(&["--set", "discovery.address=127.0.0.1:1", "--canary-zone", "a"]));
    let status = fleet.in_force(3, 5);
    let phase = &status["rollout"]["phase"];
    assert_eq!((&phase["name"], &phase["from"]), (&"rolled_back".into(), &2.into()), "{status}");
    assert!(phase["why"].as_str().unwrap().contains("holds only after a restart"), "{status}");
    assert_eq!(status["rollout"]["target"]["settings"]["everywhere"], json!({"log.level": "debug"}));
    assert!(!fleet.log("f3").contains("number=2"), "it never left its canary: {}", fleet.log("f3"));

    // A sidecar that restarts uses the configuration of its cached view at once, also with one server dead.
    fleet.end("s");
    fleet.end("k1");
    fleet.run("s", &["run"]);
    fleet.sidecar_has(3);
    fleet.until_logged("s", " DEBUG ");
    fleet.done(&propose(&["--set", "log.level=info", "--zone", "a", "--everywhere"]));
    let status = fleet.in_force(4, 5);
    assert_eq!(status["rollout"]["target"]["settings"]["zones"], json!({"a": {"log.level": "info"}}));
    fleet.done(&["config", "rollback", "--why", "too little is logged"]);
    let status = fleet.in_force(5, 5);
    assert_eq!(status["rollout"]["target"]["settings"]["everywhere"]["log.level"], "debug");
    fleet.sidecar_has(5);
}

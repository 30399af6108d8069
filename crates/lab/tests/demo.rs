//! The demonstration as a newcomer starts it: its table, its books, ports in use, and Ctrl-C.

use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Nothing that a test waits for may take longer, not even on a slow machine.
const PATIENCE: Duration = Duration::from_secs(60);

fn demo(words: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewhub-lab"));
    command.arg("demo").args(words).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// A port from which on some are in use, and what holds them.
fn ports() -> (u16, Vec<TcpListener>) {
    let first = TcpListener::bind("127.0.0.1:0").unwrap();
    let base = first.local_addr().unwrap().port().min(60_000);
    let held = [0, 1, 3, 4, 7].map(|n| TcpListener::bind(("127.0.0.1", base + n)));
    (base, held.into_iter().flatten().chain([first]).collect())
}

#[test]
fn it_ends_by_itself_with_books_in_which_every_request_has_one_answer() {
    let (base, _held) = ports();
    let json = std::env::temp_dir().join(format!("curlewhub-demo-test-{}.json", std::process::id()));
    let base = base.to_string();
    let words = ["--seconds", "8", "--rate", "60", "--base-port", &base, "--json", json.to_str().unwrap()];
    let output = demo(&words).output().unwrap();
    let (said, problems) =
        (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert_eq!(output.status.code(), Some(0), "{said}\n{problems}");
    for part in ["print-1 is killed", "print-5 hangs", "print-9 drains", "| all ", "exactly one answer"] {
        assert!(said.contains(part), "{part}: {said}");
    }
    let shown: Value = serde_json::from_slice(&std::fs::read(&json).unwrap()).unwrap();
    std::fs::remove_file(json).unwrap();
    let all = shown["clients"]["classes"].as_array().unwrap().last().unwrap();
    let count = |name: &str| all[name].as_u64().unwrap();
    assert!(count("asked") > 300);
    assert_eq!(count("asked"), count("served") + count("refused") + count("failed") + count("unanswered"));
    assert_eq!((shown["ok"].as_bool(), shown["endpoints"]["ran_twice"].as_u64()), (Some(true), Some(0)));
    assert_eq!(shown["clients"]["phases"].as_array().unwrap().len(), 6);
}

/// The processes that this one has started.
fn children(of: &Child) -> Vec<u32> {
    let path = format!("/proc/{0}/task/{0}/children", of.id());
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.split_whitespace().filter_map(|pid| pid.parse().ok()).collect()
}

#[test]
fn ctrl_c_leaves_no_process_behind() {
    for signal in ["-INT", "-TERM"] {
        let (base, _held) = ports();
        let mut child =
            demo(&["--seconds", "60", "--rate", "20", "--base-port", &base.to_string()]).spawn().unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        assert!(lines.next().unwrap().unwrap().contains("sidecars at"));
        let started = children(&child);
        assert_eq!(started.len(), 3, "{started:?}");
        let pid = child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
        let began = Instant::now();
        let status = loop {
            if let Some(status) = child.try_wait().unwrap() {
                break status;
            }
            assert!(began.elapsed() < PATIENCE);
            std::thread::sleep(Duration::from_millis(10));
        };
        assert_eq!(status.code(), Some(130));
        for pid in started {
            assert!(!std::path::Path::new(&format!("/proc/{pid}")).exists(), "{pid} is still there");
        }
    }
}

#[test]
fn what_can_not_be_started_is_told() {
    let output = demo(&["--sidecar", "/nowhere/at-all"]).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nowhere/at-all"));
    let output = demo(&["--sidecar", "/bin/false"]).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("ended at once"));
    assert_eq!(demo(&["--seconds", "0"]).output().unwrap().status.code(), Some(2));
}

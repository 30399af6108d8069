//! The command line: output, exit codes, aliases of renamed commands and flags, and a sidecar that runs
//! from an operator's file.

mod support;

use serde_json::Value;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};
use support::*;

/// The program, without the environment variables that override settings.
fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewhub"));
    for name in
        ["ROUTER_CONFIG", "ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_OPERATOR", "RUST_LOG"]
    {
        command.env_remove(name);
    }
    command
}

fn output(args: &[&str]) -> Output {
    program().args(args).output().unwrap()
}

/// Exit code, standard output and standard error.
fn parts(output: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

/// A file in a temporary directory of its own, which is removed on drop.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> File {
        let folder = std::env::temp_dir().join(format!("curlewhub-cli-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let file = File(folder.join("shop.toml"));
        file.write(text);
        file
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.0, text).unwrap();
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }

    fn folder(&self) -> PathBuf {
        self.0.parent().unwrap().to_owned()
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(self.folder());
    }
}

/// A configuration with these endpoints.
fn toml(listen: SocketAddr, operator: SocketAddr, endpoints: &[(&str, SocketAddr)]) -> String {
    let mut text = format!(
        "listen = \"{listen}\"\noperator = \"{operator}\"\n\
         [[classes]]\nname = \"quote\"\nrepeat = \"safe\"\ndeadline = \"10s\"\nobjective = \"5s\"\n"
    );
    for (id, at) in endpoints {
        text += &format!("[[endpoints]]\nid = \"{id}\"\naddress = \"{at}\"\n");
    }
    text
}

/// Starts a sidecar from this file.
fn start(file: &File, listen: SocketAddr, operator: SocketAddr) -> Sidecar {
    let log = std::fs::File::create(file.0.with_extension("log")).unwrap();
    let child = program()
        .args(["run", "--config", file.path()])
        .env("TMPDIR", file.folder())
        .stderr(log)
        .spawn()
        .unwrap();
    let sidecar = Sidecar::from_child(child, listen, operator, file.0.clone());
    wait_for("readiness", || sidecar.readiness_status() == Some(200));
    sidecar
}

fn ctl(at: SocketAddr, args: &[&str]) -> (Option<i32>, String, String) {
    let at = at.to_string();
    let args: Vec<&str> = ["ctl", "--at", &at].iter().chain(args).copied().collect();
    parts(&output(&args))
}

#[test]
fn invalid_command_lines_and_files_exit_with_two_and_an_error() {
    let wrong = File::new("wrong", "listen = 5\nnope = 1\n");
    for args in [
        &[][..],
        &["run"],
        &["serve"],
        &["run", "--config", "/nowhere/at.toml"],
        &["run", "--config", wrong.path()],
        &["check", "--config", wrong.path()],
        &["ctl", "--at", "somewhere", "ping"],
    ] {
        let (code, _, problem) = parts(&output(args));
        assert_eq!(code, Some(2), "{args:?}: {problem}");
        assert!(!problem.contains("panicked"), "{problem}");
    }
    let on_platform =
        program().args(["run", "--listen", "127.0.0.1:7"]).env("ROUTER_CONFIG", "/x").output();
    assert_eq!(on_platform.unwrap().status.code(), Some(2), "a flag is not silently ignored");
    let (code, text, _) = parts(&output(&["check", "--config", wrong.path(), "--json"]));
    let found: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(
        (code, found["ok"].as_bool(), found["problems"].as_array().unwrap().len()),
        (Some(2), Some(false), 4)
    );
}

#[test]
fn the_printed_example_is_valid_and_flags_override_it() {
    let (code, example, _) = parts(&output(&["config", "example"]));
    assert_eq!(code, Some(0));
    let file = File::new("example", &example);
    assert_eq!(output(&["check", "--config", file.path()]).status.code(), Some(0));
    let (_, text, _) =
        parts(&output(&["check", "--config", file.path(), "--print", "--listen", "127.0.0.1:7171"]));
    assert!(text.contains("listen = \"127.0.0.1:7171\"  # --listen\n"), "{text}");
    assert!(text.contains("limits.connect_timeout = \"250ms\"  # default\n"), "{text}");
    let (code, text, _) = parts(&output(&["completions", "bash"]));
    assert!(code == Some(0) && text.contains("--config"), "{text}");
    assert!(parts(&output(&["--version"])).1.starts_with("curlewhub "));
}

#[test]
fn a_sidecar_serves_from_a_minimal_file_and_answers_ctl() {
    let peer = Peer::serving("hello");
    let (listen, operator) = (unused_address(), unused_address());
    let file = File::new("serves", &toml(listen, operator, &[("one", peer.address)]));
    let mut sidecar = start(&file, listen, operator);
    assert_eq!(sidecar.client().send_request("quote", "r1").body, b"hello");
    assert_eq!(ctl(operator, &["ping"]), (Some(0), "yes\n".to_owned(), String::new()));
    let (code, text, _) = ctl(operator, &["info", "--json"]);
    let figures: Value = serde_json::from_str(&text).unwrap();
    assert_eq!((code, &figures["figures"]["router.success.quote"]), (Some(0), &Value::from(1)));
    assert_eq!(ctl(operator, &["detach", "two"]).0, Some(1), "no such endpoint");
    assert_eq!(ctl(operator, &["detach", "one"]).0, Some(0));
    assert_eq!(sidecar.client().send_request("quote", "r2").status(), 503);
    assert_eq!(ctl(operator, &["attach", "one"]).0, Some(0));
    assert_eq!(ctl(operator, &["drain"]).0, Some(0));
    let (code, _, problem) = ctl(operator, &["ping"]);
    assert_eq!((code, problem.as_str()), (Some(1), "curlewhub: no: Draining\n"));
    assert_eq!(ctl(operator, &["undrain"]).0, Some(0));
    assert_eq!(sidecar.client().send_request("quote", "r3").body, b"hello");
    sidecar.signal("-INT");
    assert!(sidecar.wait_for_exit().success(), "ctrl-c drains");
}

#[test]
fn ctl_fails_before_its_deadline_when_the_address_refuses_or_never_answers() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    for (at, want) in
        [(unused_address(), "nobody listens there"), (silent.local_addr().unwrap(), "no answer within")]
    {
        let start = Instant::now();
        let (code, _, problem) = ctl(at, &["info"]);
        assert!(start.elapsed() < WAIT_TIMEOUT, "{:?}", start.elapsed());
        assert_eq!(code, Some(1));
        assert!(problem.contains(want) && problem.lines().count() == 1, "{problem}");
        let (code, text, _) = ctl(at, &["ping", "--json"]);
        let answer: Value = serde_json::from_str(&text).unwrap();
        assert_eq!((code, answer["ok"].as_bool()), (Some(1), Some(false)));
    }
}

#[test]
fn a_second_sidecar_on_the_same_port_fails_and_the_first_keeps_serving() {
    let peer = Peer::serving("first");
    let (listen, operator) = (unused_address(), unused_address());
    let file = File::new("port", &toml(listen, operator, &[("one", peer.address)]));
    let sidecar = start(&file, listen, operator);
    let second = |args: &[&str]| {
        let args: Vec<&str> = ["run", "--config", file.path()].iter().chain(args).copied().collect();
        parts(&program().args(args).env("TMPDIR", file.folder()).output().unwrap())
    };
    let (code, _, problem) = second(&[]);
    assert_eq!(code, Some(1));
    assert!(
        problem.contains(&format!("operator: {operator}: another program listens there already")),
        "{problem}"
    );
    let other = unused_address().to_string();
    let (code, _, problem) = second(&["--operator", &other]);
    assert_eq!(code, Some(1));
    assert!(
        problem.contains(&format!("listen: {listen}: another program listens there already")),
        "{problem}"
    );
    assert!(problem.contains("--replace"), "{problem}");
    assert_eq!(sidecar.client().send_request("quote", "r1").body, b"first");
}

#[test]
fn sighup_applies_a_new_list_drains_removed_endpoints_and_ignores_an_invalid_file() {
    let (old, new) = (Peer::new(|_| Action::ServeAfter(Duration::from_millis(500))), Peer::serving("new"));
    let (listen, operator) = (unused_address(), unused_address());
    let file = File::new("hup", &toml(listen, operator, &[("old", old.address)]));
    let mut sidecar = start(&file, listen, operator);
    let mut client = sidecar.client();
    client.send(&request("quote", "r0", "9000m"));
    wait_for("the attempt", || old.request_count() == 1);
    file.write("listen = ");
    sidecar.signal("-HUP");
    wait_for("the failure", || sidecar.metric("reconfig_failed") == 1);
    assert_eq!(sidecar.metric("hosts_listed"), 1);
    file.write(&toml(listen, operator, &[("new", new.address)]));
    sidecar.signal("-HUP");
    wait_for("the new list", || sidecar.metric("reconfig_ok") == 1 && sidecar.metric("hosts_listed") == 2);
    assert_eq!(sidecar.metric("hosts_down"), 1, "the old endpoint drains");
    // The new endpoint is in slow start: it may refuse part of a burst, but nothing is sent to the old one.
    let mut served = 0;
    for n in 0..20 {
        let answer = sidecar.client().send_request("quote", &format!("r1-{n}"));
        assert!(matches!((answer.status(), &answer.body[..]), (200, b"new") | (503, _)));
        served += usize::from(answer.status() == 200);
    }
    assert!(served > 0);
    assert_eq!(old.request_count(), 1);
    assert_eq!(client.receive().expect("an attempt in flight is still answered").body, b"late");
    assert!(sidecar.child.try_wait().unwrap().is_none());
    sidecar.wait_for_log("reload: going on as before");
}

#[test]
fn a_log_without_a_reader_does_not_stop_traffic() {
    let peer = Peer::serving("hello");
    for reader_gone in [true, false] {
        let (listen, operator) = (unused_address(), unused_address());
        let file =
            File::new(&format!("log-{reader_gone}"), &toml(listen, operator, &[("one", peer.address)]));
        // At this level every request logs several lines, so a pipe that nobody reads is soon full.
        let mut child = program()
            .args([
                "run",
                "--config",
                file.path(),
                "--log-level",
                "trace",
                "--set",
                "log.per_second=100000",
            ])
            .env("TMPDIR", file.folder())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let pipe = child.stderr.take();
        let kept = pipe.filter(|_| !reader_gone);
        let sidecar = Sidecar::from_child(child, listen, operator, file.0.clone());
        wait_for("readiness", || sidecar.readiness_status() == Some(200));
        let mut client = sidecar.client();
        for n in 0..400 {
            assert_eq!(client.send_request("quote", &format!("r{n}")).status(), 200);
        }
        drop(kept);
    }
}

#[test]
fn json_log_lines_have_named_fields() {
    let peer = Peer::serving("hello");
    let (listen, operator) = (unused_address(), unused_address());
    let text =
        toml(listen, operator, &[("one", peer.address)]) + "[log]\nformat = \"json\"\nlevel = \"debug\"\n";
    let file = File::new("json", &text);
    let sidecar = start(&file, listen, operator);
    assert_eq!(sidecar.client().send_request("quote", "r1").status(), 200);
    let line = |what: &str| {
        let log = sidecar.log();
        let lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.into_iter().find(|line| line["message"] == what)
    };
    wait_for("the attempt's line", || line("attempt ended").is_some());
    let found = line("attempt ended").unwrap();
    assert_eq!(
        (&found["endpoint"], &found["outcome"], &found["attempt"]),
        (&"one".into(), &"ok".into(), &0.into())
    );
    std::io::stdout().flush().unwrap();
}

/// The help of a command after the usage line, which contains the name that was used.
fn help(args: &[&str]) -> String {
    let (code, text, problem) = parts(&output(&[args, &["--help"]].concat()));
    assert_eq!(code, Some(0), "{args:?}: {problem}");
    text[text.find("Usage:").unwrap()..].lines().skip(1).collect::<Vec<_>>().join("\n")
}

#[test]
fn renamed_commands_are_accepted_by_their_new_and_their_earlier_name() {
    for (new, earlier) in [
        ("consensus-server", "keeper"),
        ("fleet servers", "fleet keepers"),
        ("fleet servers add", "fleet keepers add"),
        ("fleet servers remove", "fleet keepers remove"),
        ("fleet zones", "fleet halls"),
        ("fleet zone leave", "fleet hall leave"),
        ("fleet zone return", "fleet hall return"),
        ("fleet zone hold", "fleet hall hold"),
        ("fleet zone release", "fleet hall release"),
    ] {
        let args = |name: &'static str| name.split(' ').collect::<Vec<_>>();
        assert_eq!(help(&args(new)), help(&args(earlier)), "{new}");
    }
}

#[test]
fn renamed_flags_are_accepted_by_their_new_and_their_earlier_name() {
    let propose = ["fleet", "config", "propose", "--config", "/nowhere/at.toml", "--why", "a test"];
    for flag in ["--max-refused", "--refused-most", "--max-failed", "--failed-most"] {
        let (code, _, problem) = parts(&output(&[&propose[..], &[flag, "7"]].concat()));
        assert_eq!(code, Some(2), "{flag}");
        assert!(
            problem.contains("/nowhere/at.toml"),
            "the flag is accepted and only the file is missing: {problem}"
        );
        let (_, _, problem) = parts(&output(&[&propose[..], &[flag, "many"]].concat()));
        assert!(problem.contains("many") && problem.contains("--max-"), "{flag}: {problem}");
    }
}

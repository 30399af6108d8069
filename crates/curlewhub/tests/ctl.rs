//! `curlewhub ctl`: output and exit code for each kind of answer.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::thread::{JoinHandle, spawn};

/// Starts an operator address that gives this answer to two calls.
fn spawn_operator(answer: &'static str) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = spawn(move || {
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().unwrap();
            let mut line = String::new();
            BufReader::new(&stream).read_line(&mut line).unwrap();
            assert_eq!(line, "PING\n");
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    (address, server)
}

/// Exit code, standard output and standard error of a call, and the JSON printed by the same call with
/// `--json`.
fn ping(answer: &'static str) -> (Option<i32>, String, String, Value) {
    let (address, server) = spawn_operator(answer);
    let at = address.to_string();
    let call = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_curlewhub"));
        command.args(["ctl", "--at", &at]).args(args).output().unwrap()
    };
    let text = |bytes| String::from_utf8(bytes).unwrap();
    let (plain, as_json) = (call(&["ping"]), call(&["ping", "--json"]));
    server.join().unwrap();
    assert_eq!(plain.status.code(), as_json.status.code());
    let value = serde_json::from_slice(&as_json.stdout).unwrap();
    (plain.status.code(), text(plain.stdout), text(plain.stderr), value)
}

#[test]
fn each_kind_of_answer_has_its_exit_code_and_output() {
    let (code, output, _, value) = ping("YES\n");
    assert_eq!((code, &output[..], value), (Some(0), "yes\n", json!({"ok": true})));
    let (code, _, error, value) = ping("NO no such endpoint\n");
    assert_eq!((code, &error[..]), (Some(1), "curlewhub: no: no such endpoint\n"));
    assert_eq!(value, json!({"ok": false, "problem": "no such endpoint"}));
    let (code, _, _, value) = ping("router.success.a:812|c\nrouter.inflight:14|g\nEND\n");
    assert_eq!(code, Some(0));
    assert_eq!(value["figures"], json!({"router.success.a": 812, "router.inflight": 14}));
    for malformed in ["", "HTTP/1.1 400 Bad Request\r\n\r\n", "YESTERDAY\n", "router.success.a:8"] {
        let (code, _, _, value) = ping(malformed);
        assert_eq!((code, &value["ok"]), (Some(1), &json!(false)), "{malformed}");
    }
}

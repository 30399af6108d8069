//! The logs of several processes as one timeline.

#[allow(dead_code)]
mod support;

use std::process::Command;
use support::Folder;

fn timeline(folder: &Folder, words: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewhub-lab"));
    let output = command.arg("timeline").arg(&folder.0).args(words).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

fn logs(name: &str) -> Folder {
    let folder = Folder::new(name);
    let text = "0.000 2026-12-02T18:04:30.500000Z  INFO curlewhub::serve: serving name=\"n0\"\n\
                20.358 2026-12-02T18:04:50.858000Z  WARN curlewhub_runtime::discovery: discovery call=3 reason=\"the watch ended\"\n\
                22.976 2026-12-02T18:04:53.476000Z  INFO curlewhub_runtime::discovery: list rev=4 whole=true entries=4\n\
                a torn li\n\
                22.990 2026-12-02T18:04:53.490000Z DEBUG curlewhub_runtime::driver: attempt ended request=77 attempt=0 endpoint=\"s-1\" outcome=\"ok\"\n";
    std::fs::write(folder.0.join("n0.log"), text).unwrap();
    let json = "{\"timestamp\":\"2026-12-02T18:04:51.000000Z\",\"level\":\"INFO\",\"message\":\"list\",\"rev\":3,\"target\":\"t\"}\n\
                {\"timestamp\":\"2026-12-02T18:04:52.000000Z\",\"level\":\"INFO\",\"message\":\"endpoint leaves\",\"endpoint\":\"s-1\",\"state\":\"draining\",\"target\":\"t\"}\n";
    std::fs::write(folder.0.join("n1.1.log"), json).unwrap();
    std::fs::write(folder.0.join("notes.txt"), "2026-12-02T18:04:51.000000Z INFO a: b\n").unwrap();
    folder
}

#[test]
fn logs_of_both_forms_are_merged_in_order_of_time() {
    let folder = logs("timeline-order");
    let (code, text, _) = timeline(&folder, &[]);
    let lines: Vec<Vec<&str>> =
        text.lines().map(|line| line.split_whitespace().take(4).collect()).collect();
    let wanted = [
        ["0.000", "n0", "INFO", "serving"],
        ["20.358", "n0", "WARN", "discovery"],
        ["20.500", "n1.1", "INFO", "list"],
        ["21.500", "n1.1", "INFO", "endpoint"],
        ["22.976", "n0", "INFO", "list"],
    ];
    assert_eq!((code, lines), (Some(0), wanted.iter().map(|line| line.to_vec()).collect()), "{text}");
    assert!(timeline(&folder, &["--all"]).1.contains("attempt ended request=77"));
}

#[test]
fn it_is_narrowed_by_request_endpoint_version_process_and_time() {
    let folder = logs("timeline-narrowed");
    let count = |words: &[&str]| timeline(&folder, words).1.lines().count();
    assert_eq!(count(&["--request", "77"]), 1);
    assert_eq!(count(&["--request", "7"]), 0, "an id is no part of another");
    assert_eq!(count(&["--endpoint", "s-1"]), 2);
    assert_eq!(count(&["--version", "4"]), 2, "and what discovery was asked");
    assert_eq!(count(&["--process", "n1.1"]), 2);
    assert_eq!(count(&["--from", "20.4", "--to", "22"]), 2);
}

#[test]
fn what_holds_no_log_is_told() {
    let folder = Folder::new("no-logs");
    let (code, _, errors) = timeline(&folder, &[]);
    assert_eq!(code, Some(2), "{errors}");
    assert!(errors.contains("no log in it"), "{errors}");
}

/// Guards against a request that can't be followed by the id that its client has given it.
#[test]
fn a_request_is_followed_by_its_clients_id_through_its_connection_and_its_number() {
    let folder = Folder::new("timeline-request-id");
    let line = |second: u32, text: &str| {
        format!("2026-12-05T06:00:{second:02}.000000Z TRACE curlewhub_runtime::request_log: {text}\n")
    };
    let log = [
        line(1, "head received connection=4 use_number=2 x_request_id=\"r1\""),
        line(
            2,
            "request received connection=4 use_number=2 x_request_id=\"r1\" request=9 is_complete=true",
        ),
        line(3, "attempt started request=9 attempt=0 endpoint=\"s-1\" millis=500"),
        line(4, "attempt started request=10 attempt=0 endpoint=\"s-1\" millis=500"),
        line(5, "answer ended connection=4 use_number=1 is_complete=true"),
        line(6, "answer ended connection=4 use_number=2 is_complete=true"),
    ];
    std::fs::write(folder.0.join("n0.log"), log.concat()).unwrap();
    std::fs::write(folder.0.join("n1.log"), line(3, "attempt started request=9 attempt=0")).unwrap();
    let (code, text, _) = timeline(&folder, &["--request", "r1"]);
    let seconds: Vec<&str> = text.lines().filter_map(|line| line.split_whitespace().next()).collect();
    assert_eq!((code, seconds), (Some(0), vec!["0.000", "1.000", "2.000", "5.000"]), "{text}");
}

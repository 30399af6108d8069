//! Calls of a real process under injection. The process is this test program itself, started again for the one
//! test `child`, which does what a variable says and prints what came of it.

use curlewhub_fault_schedule::{
    Call, Effect, Entry, Errno, Injection, Origin, Schedule, Strikes, Switch, Target,
};
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, IoSlice, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::fs::FileExt;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::{Command, ExitStatus, Stdio};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// What the child is to do; without it, it does nothing.
const TASK: &str = "FAULT_INJECTION_TEST_TASK";
/// A folder for it.
const FOLDER: &str = "FAULT_INJECTION_TEST_FOLDER";
/// What stands before each line of the child that its test reads.
const MARK: &str = "RESULT ";

fn tell(result: impl std::fmt::Display) {
    println!("\n{MARK}{result}");
}

/// `ok`, or the number of the error.
fn outcome<T>(result: std::io::Result<T>) -> String {
    result.map_or_else(|e| e.raw_os_error().map_or(e.to_string(), |n| n.to_string()), |_| "ok".to_owned())
}

/// What a child that does this under injection tells, how it ends, and the injection.
fn child_under(schedule: &Schedule, task: &str, folder: &Path) -> (Vec<String>, ExitStatus, Injection) {
    let injection = Injection::new(schedule, folder, "child").unwrap();
    let mut command = Command::new(std::env::current_exe().unwrap());
    command.args(["--exact", "child", "--nocapture", "--test-threads=1"]);
    command.env(TASK, task).env(FOLDER, folder).stdin(Stdio::null());
    injection.prepare(&mut command);
    let output = command.output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let told = text.lines().filter_map(|line| line.strip_prefix(MARK).map(str::to_owned)).collect();
    (told, output.status, injection)
}

fn told(entries: Vec<Entry>, task: &str) -> Vec<String> {
    let folder = tempfile::tempdir().unwrap();
    let schedule = Schedule { seed: 1, entries, ..Schedule::default() };
    let (told, status, _) = child_under(&schedule, task, folder.path());
    assert!(status.success(), "{task}: {status}");
    told
}

#[test]
fn child() {
    let Ok(task) = std::env::var(TASK) else { return };
    let folder = std::path::PathBuf::from(std::env::var(FOLDER).unwrap());
    match task.as_str() {
        "sockets" => sockets(),
        "vectored" => vectored(),
        "accept" => accept(),
        "connect" => (0..4).for_each(|_| {
            let listener = TcpListener::bind("127.0.0.1:0");
            let connected = listener.and_then(|listener| TcpStream::connect(listener.local_addr()?));
            tell(outcome(connected));
        }),
        "files" => files(&folder),
        "torn" => {
            let file = File::create(folder.join("torn")).unwrap();
            file.write_all_at(b"whole", 0).unwrap();
            file.write_all_at(b"0123456789", 0).unwrap();
        }
        "clock" => clock(),
        other => panic!("no task {other}"),
    }
}

/// Six times five bytes each way, of which calls may fail.
fn sockets() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut one = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut other, _) = listener.accept().unwrap();
    for _ in 0..6 {
        tell(format!("send {}", outcome(one.write(b"bytes"))));
    }
    one.shutdown(std::net::Shutdown::Write).unwrap();
    let mut all = 0;
    loop {
        let mut bytes = [0; 64];
        match other.read(&mut bytes) {
            Ok(0) => break,
            Ok(count) => all += count,
            Err(e) => tell(format!("recv {}", outcome::<()>(Err(e)))),
        }
    }
    tell(format!("bytes {all}"));
}

fn vectored() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut one = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut other, _) = listener.accept().unwrap();
    let written = one.write_vectored(&[IoSlice::new(b"ab"), IoSlice::new(b"cdef")]).unwrap();
    let mut bytes = [0; 64];
    let count = other.read(&mut bytes).unwrap();
    tell(format!("{written} {count} {}", String::from_utf8_lossy(&bytes[..count])));
}

fn accept() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let _one = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    for _ in 0..3 {
        let accepted = listener.accept();
        let done = accepted.is_ok();
        tell(outcome(accepted));
        if done {
            return;
        }
    }
}

fn files(folder: &Path) {
    let inside = folder.join("inside");
    std::fs::create_dir_all(&inside).unwrap();
    for path in [inside.join("a"), folder.join("a")] {
        let file = File::options().create(true).truncate(false).write(true).open(&path);
        tell(format!("open {}", outcome(file.as_ref().map_err(|e| std::io::Error::from(e.kind())))));
        let Ok(mut file) = file else { continue };
        tell(format!("write {}", outcome(file.write_all(b"x"))));
        tell(format!("pwrite {}", outcome(file.write_all_at(b"x", 1))));
        tell(format!("fsync {}", outcome(file.sync_all())));
        tell(format!("fdatasync {}", outcome(file.sync_data())));
        tell(format!("ftruncate {}", outcome(file.set_len(9))));
        tell(format!("rename {}", outcome(std::fs::rename(&path, path.with_extension("new")))));
    }
}

/// Tells the wall clock and the monotonic one before and after a line comes that says `go`.
fn clock() {
    let began = Instant::now();
    tell(SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis());
    tell(began.elapsed().as_millis());
}

#[test]
fn every_nth_send_and_recv_fails_and_no_byte_is_lost_or_sent_by_a_failed_call() {
    let every = |call, n| Entry::fails(&[call], Errno::Eintr).striking(Strikes::EveryNth(n));
    let told = told(vec![every(Call::Send, 3), every(Call::Recv, 1).at_most(2)], "sockets");
    assert_eq!(told[..6], ["send ok", "send ok", "send 4", "send ok", "send ok", "send 4"]);
    assert_eq!(told[6..], ["recv 4", "recv 4", "bytes 20"], "four calls of five bytes went");
}

#[test]
fn an_entry_strikes_only_its_own_connections() {
    let entry = |target| Entry::fails(&[Call::Send, Call::Recv], Errno::Etimedout).on(target).at_most(1);
    let accepted = told(vec![entry(Target::Accepted)], "sockets");
    assert_eq!(accepted.iter().filter(|line| line.as_str() == "recv 110").count(), 1);
    let connected = told(vec![entry(Target::Connected(Vec::new()))], "sockets");
    assert_eq!(connected[0], "send 110");
    assert!(!connected.contains(&"recv 110".to_owned()));
    let elsewhere = Target::Connected(vec!["127.0.0.1:1".parse().unwrap()]);
    assert_eq!(told(vec![entry(elsewhere)], "sockets").last().unwrap(), "bytes 30");
}

#[test]
fn reads_and_writes_are_cut_short_over_the_parts_of_a_vector_too() {
    let short = |call, bytes| Entry::new(&[call], Effect::Short { bytes });
    assert_eq!(told(vec![short(Call::Send, 3)], "vectored"), ["3 3 abc"]);
    assert_eq!(told(vec![short(Call::Recv, 1)], "vectored"), ["6 1 a"]);
}

#[test]
fn accept_and_connect_fail_and_a_connection_waits_for_the_next_accept() {
    let aborted = Entry::fails(&[Call::Accept], Errno::Econnaborted).at_most(2);
    assert_eq!(told(vec![aborted], "accept"), ["103", "103", "ok"]);
    let no_address = Entry::fails(&[Call::Connect], Errno::Eaddrnotavail).striking(Strikes::EveryNth(2));
    assert_eq!(told(vec![no_address], "connect"), ["ok", "99", "ok", "99"]);
    let no_socket = Entry { skip: 1, ..Entry::fails(&[Call::Socket], Errno::Enfile).at_most(1) };
    assert_eq!(
        told(vec![no_socket], "connect"),
        ["23", "ok", "ok", "ok"],
        "the listener's own socket is the first"
    );
}

#[test]
fn calls_on_files_fail_below_the_folder_alone() {
    let folder = tempfile::tempdir().unwrap();
    let calls = [Call::Write, Call::Fsync, Call::Ftruncate, Call::Rename];
    let full = Entry::fails(&calls, Errno::Enospc).on(Target::Below(folder.path().join("inside")));
    let schedule = Schedule { entries: vec![full], ..Schedule::default() };
    let (told, status, injection) = child_under(&schedule, "files", folder.path());
    assert!(status.success());
    let calls = ["write", "pwrite", "fsync", "fdatasync", "ftruncate", "rename"];
    let of = |result: &str| calls.map(|call| format!("{call} {result}"));
    assert_eq!(told[0], "open ok");
    assert_eq!(told[1..7], of("28"));
    assert_eq!(told[8..], of("ok"));
    assert_eq!(injection.struck(0).unwrap(), 6);
}

#[test]
fn a_file_can_not_be_created_below_the_folder() {
    let folder = tempfile::tempdir().unwrap();
    let inside = Target::Below(folder.path().join("inside"));
    let schedule = Schedule {
        entries: vec![Entry::fails(&[Call::Open], Errno::Enospc).on(inside)],
        ..Schedule::default()
    };
    let (told, _, injection) = child_under(&schedule, "files", folder.path());
    assert_eq!((told.len(), told[1].as_str()), (8, "open ok"), "{told:?}");
    assert_eq!(injection.struck(0).unwrap(), 1);
    assert!(!folder.path().join("inside/a").exists());
}

#[test]
fn a_torn_write_leaves_its_first_bytes_and_kills_the_process() {
    let folder = tempfile::tempdir().unwrap();
    let torn = Entry::new(&[Call::Write], Effect::Torn { bytes: 4 });
    let torn = Entry { skip: 1, ..torn.on(Target::Below(folder.path().to_owned())) };
    let schedule = Schedule { entries: vec![torn], ..Schedule::default() };
    let (_, status, injection) = child_under(&schedule, "torn", folder.path());
    assert_eq!(status.signal(), Some(9));
    assert_eq!(std::fs::read(folder.path().join("torn")).unwrap(), b"0123e");
    assert_eq!((injection.seen(0).unwrap(), injection.struck(0).unwrap()), (2, 1));
}

#[test]
fn the_wall_clock_is_stepped_and_the_monotonic_one_is_not() {
    let hour_ms: i128 = 3_600_000;
    for sign in [-1, 1] {
        let step = Entry::new(&[], Effect::ClockStep { offset_ms: (sign * hour_ms) as i64 });
        let told = told(vec![step], "clock");
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i128;
        let off = now + sign * hour_ms - told[0].parse::<i128>().unwrap();
        assert!((-hour_ms / 2..hour_ms / 2).contains(&off), "{off} ms beside the step");
        assert!(told[1].parse::<i128>().unwrap() < hour_ms / 2, "the monotonic clock has not moved");
    }
}

#[test]
fn nothing_is_struck_before_activation_nor_in_a_program_that_is_not_named() {
    let entries = vec![Entry::fails(&[Call::Accept], Errno::Econnaborted)];
    let folder = tempfile::tempdir().unwrap();
    let waiting = Schedule { origin: Origin::Activation, entries, ..Schedule::default() };
    let (told, _, injection) = child_under(&waiting, "accept", folder.path());
    assert_eq!((told, injection.seen(0).unwrap()), (vec!["ok".to_owned()], 0));
    let other = Schedule { program: Some("another".to_owned()), origin: Origin::ProcessStart, ..waiting };
    let (told, ..) = child_under(&other, "accept", folder.path());
    assert_eq!(told, ["ok"]);
}

#[test]
fn a_running_process_is_struck_from_a_switch_on_until_it_is_switched_off() {
    let folder = tempfile::tempdir().unwrap();
    let entries =
        vec![Entry::fails(&[Call::Open], Errno::Enospc).on(Target::Below(folder.path().to_owned()))];
    // Whatever the shell of this machine is, its file is what the schedule names.
    let shell = std::fs::canonicalize("/bin/sh").unwrap();
    let name = shell.file_name().unwrap().to_string_lossy().into_owned();
    let schedule =
        Schedule { program: Some(name), origin: Origin::Activation, entries, ..Schedule::default() };
    let injection = Injection::new(&schedule, folder.path(), "shell").unwrap();
    let mut command = Command::new(shell);
    command.args(["-c", "while read -r name; do (: > \"$name\") 2>&- && echo made || echo failed; done"]);
    injection.prepare(&mut command);
    let mut shell =
        command.current_dir(folder.path()).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(shell.stdout.take().unwrap()).lines();
    let mut input = shell.stdin.take().unwrap();
    let mut make = |name: &str| {
        writeln!(input, "{name}").unwrap();
        lines.next().unwrap().unwrap()
    };
    assert_eq!(make("before"), "made");
    injection.switch(0, Switch::On).unwrap();
    assert_eq!(make("during"), "failed");
    assert_eq!(injection.struck(0).unwrap(), 1);
    injection.switch(0, Switch::Off).unwrap();
    assert_eq!(make("after"), "made");
    injection.activate().unwrap();
    assert_eq!(make("still"), "made", "a switch goes before the times");
    drop(input);
    assert!(shell.wait().unwrap().success());
}

#[test]
fn a_program_does_not_start_with_a_schedule_that_can_not_be_read() {
    let folder = tempfile::tempdir().unwrap();
    let injection = Injection::new(&Schedule::default(), folder.path(), "broken").unwrap();
    std::fs::write(folder.path().join("broken.schedule"), "{").unwrap();
    let mut command = Command::new("/bin/true");
    injection.prepare(&mut command);
    assert!(!command.stderr(Stdio::null()).status().unwrap().success());
    let wrong = Entry::fails(&[], Errno::Eio);
    let schedule = Schedule { entries: vec![wrong], ..Schedule::default() };
    assert!(Injection::new(&schedule, folder.path(), "wrong").is_err());
    assert_eq!(ErrorKind::NotFound, File::open(folder.path().join("wrong.schedule")).unwrap_err().kind());
}

//! Journals in a child process that runs under a limit on the size of files.

mod support;

use curlewhub_keys::{KeyTable, RetryingJournal};
use std::collections::BTreeSet;
use std::process::Command;
use support::{Folder, NOW, SECOND, anchor, write};

/// The part of the next test that runs in a child process, under a limit on the size of files.
#[test]
fn child_process_writes_under_a_file_size_limit() {
    if std::env::var_os("CURLEWHUB_UNDER_A_LIMIT").is_none() {
        return;
    }
    let folder = Folder::new("limit");
    let (mut own, problem) = RetryingJournal::open(folder.location(), NOW, Some(anchor(NOW, SECOND)));
    assert!(problem.is_none());
    let mut table = KeyTable::default();
    let failed: Vec<u64> = (0..60).filter(|key| write(&mut own, &mut table, *key).is_err()).collect();
    assert!(failed.len() > 10 && failed.len() < 50, "{failed:?}");
    assert_eq!(own.dirty_slots(), failed.len());
    let written: BTreeSet<u64> = (0..60).filter(|key| !failed.contains(key)).collect();
    assert_eq!(folder.keys(), written, "a half-written slot affected others");
    // A slot within the limit can still be written. A dirty slot gets its newest value after the limit is
    // lifted.
    own.write(NOW, &table.forget(0).unwrap()).unwrap();
    own.write(NOW, &table.forget(59).unwrap()).unwrap_err();
    assert!(own.retry(NOW).is_err());
    let process = std::process::id().to_string();
    let lifted = Command::new("prlimit").args(["--fsize=unlimited", "--pid", &process]).status().unwrap();
    assert!(lifted.success());
    own.retry(NOW).unwrap();
    assert!(!own.needs_retry());
    assert_eq!(folder.keys(), (1..59).collect());
    println!("under a limit: done");
}

#[test]
fn slots_rejected_by_a_file_size_limit_are_written_after_it_is_lifted() {
    let own = std::env::current_exe().unwrap();
    let script = "trap '' XFSZ; ulimit -S -f 2; \
        exec \"$0\" --exact child_process_writes_under_a_file_size_limit --nocapture";
    let output = Command::new("sh")
        .args(["-c", script])
        .arg(own)
        .env("CURLEWHUB_UNDER_A_LIMIT", "1")
        .output()
        .unwrap();
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success() && stdout.contains("under a limit: done"), "{output:?}");
}

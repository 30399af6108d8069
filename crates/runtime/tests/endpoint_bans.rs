//! Operator bans and their file: persistence, failing disks, and temporary files of killed processes.

use curlewhub_runtime::endpoint_bans::EndpointBans;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::time::sleep_until;

/// A directory that is removed with the test.
struct StateDir(PathBuf);

impl StateDir {
    fn new(name: &str) -> StateDir {
        let path = std::env::temp_dir().join(format!("endpoint-bans-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        StateDir(path)
    }

    fn load(&self) -> Rc<EndpointBans> {
        EndpointBans::load(&self.0, "127.0.0.1:70".parse().unwrap())
    }

    fn file(&self) -> PathBuf {
        self.0.join("curlewhub-bans-127.0.0.1-70.json")
    }
}

impl Drop for StateDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[tokio::test]
async fn bans_that_could_not_be_read_are_read_later_and_not_overwritten() {
    let state_dir = StateDir::new("read");
    state_dir.load().set("s-1", true).unwrap();
    let kept = std::fs::read(state_dir.file()).unwrap();
    // A directory in its place can't be read, which stands in for EIO.
    std::fs::remove_file(state_dir.file()).unwrap();
    std::fs::create_dir(state_dir.file()).unwrap();
    let bans = state_dir.load();
    assert!(bans.all().is_empty() && bans.retry_at().is_some());
    assert!(bans.set("s-2", true).is_err() && !bans.contains("s-2"));
    std::fs::remove_dir(state_dir.file()).unwrap();
    std::fs::write(state_dir.file(), kept).unwrap();
    assert!(bans.retry().is_empty(), "retried before it was due");
    sleep_until(bans.retry_at().unwrap()).await;
    assert_eq!(bans.retry(), ["s-1"]);
    assert_eq!(bans.retry_at(), None);
    bans.set("s-2", true).unwrap();
    assert_eq!(state_dir.load().all(), ["s-1", "s-2"]);
}

#[tokio::test]
async fn bans_that_could_not_be_written_at_a_handover_are_written_later() {
    let state_dir = StateDir::new("write");
    let bans = state_dir.load();
    std::fs::remove_dir_all(&state_dir.0).unwrap();
    bans.replace(vec!["s-1".to_owned()]);
    assert!(bans.contains("s-1") && bans.retry_at().is_some());
    sleep_until(bans.retry_at().unwrap()).await;
    bans.retry();
    assert!(bans.retry_at().is_some(), "the directory is still missing");
    std::fs::create_dir_all(&state_dir.0).unwrap();
    sleep_until(bans.retry_at().unwrap()).await;
    assert!(bans.retry().is_empty(), "the ban was in force already");
    assert_eq!((bans.retry_at(), state_dir.load().all()), (None, vec!["s-1".to_owned()]));
}

#[test]
fn temporary_files_of_killed_processes_are_removed_and_those_of_live_ones_stay() {
    let state_dir = StateDir::new("temporary");
    let name = |process: u32| state_dir.0.join(format!("curlewhub-bans-127.0.0.1-70.{process}.new"));
    let killed_process = u32::MAX; // no process has this id
    let other_sidecars = state_dir.0.join(format!("curlewhub-bans-127.0.0.1-71.{killed_process}.new"));
    for path in [name(killed_process), name(1), other_sidecars.clone()] {
        std::fs::write(path, "half").unwrap();
    }
    state_dir.load();
    assert!(!name(killed_process).exists() && name(1).exists() && other_sidecars.exists());
}

#[test]
fn a_ban_that_is_set_twice_is_lifted_by_one_call_and_bans_survive_a_restart() {
    let state_dir = StateDir::new("twice");
    let bans = state_dir.load();
    bans.set("s-1", true).unwrap();
    bans.set("s-1", true).unwrap();
    bans.set("s-2", true).unwrap();
    assert_eq!(state_dir.load().all(), ["s-1", "s-2"]);
    bans.set("s-1", false).unwrap();
    assert!(!bans.contains("s-1") && bans.contains("s-2"));
    assert_eq!(state_dir.load().all(), ["s-2"]);
}

#[test]
fn an_invalid_file_counts_as_no_bans_and_is_overwritten() {
    for invalid in ["", "{\"version\":1,\"detached\":[\"s-", "{\"version\":9,\"detached\":[]}", "\u{0}"] {
        let state_dir = StateDir::new("invalid");
        std::fs::write(state_dir.file(), invalid).unwrap();
        let bans = state_dir.load();
        assert_eq!(bans.all(), Vec::<String>::new());
        bans.set("s-1", true).unwrap();
        assert_eq!(state_dir.load().all(), ["s-1"]);
    }
}

#[test]
fn a_ban_that_can_not_be_written_is_not_in_force() {
    let state_dir = StateDir::new("missing");
    let bans = state_dir.load();
    std::fs::remove_dir_all(&state_dir.0).unwrap();
    assert!(bans.set("s-1", true).is_err());
    assert!(!bans.contains("s-1"));
}

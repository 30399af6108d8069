//! The bans' file over a disk that fails, and what killed processes leave.

use curlewhub_runtime::bans::Bans;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::time::sleep_until;

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("bans-storage-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn load(&self) -> Rc<Bans> {
        Bans::load(&self.0, "127.0.0.1:70".parse().unwrap())
    }

    fn file(&self) -> PathBuf {
        self.0.join("curlewhub-bans-127.0.0.1-70.json")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[tokio::test]
async fn bans_that_could_not_be_read_are_read_later_and_not_overwritten() {
    let folder = Folder::new("read");
    folder.load().set("s-1", true).unwrap();
    let kept = std::fs::read(folder.file()).unwrap();
    // A folder in its place can't be read: a stand-in for EIO.
    std::fs::remove_file(folder.file()).unwrap();
    std::fs::create_dir(folder.file()).unwrap();
    let bans = folder.load();
    assert!(bans.all().is_empty() && bans.retry_at().is_some());
    assert!(bans.set("s-2", true).is_err() && !bans.contains("s-2"));
    std::fs::remove_dir(folder.file()).unwrap();
    std::fs::write(folder.file(), kept).unwrap();
    assert!(bans.retry().is_empty(), "not before its time");
    sleep_until(bans.retry_at().unwrap()).await;
    assert_eq!(bans.retry(), ["s-1"]);
    assert_eq!(bans.retry_at(), None);
    bans.set("s-2", true).unwrap();
    assert_eq!(folder.load().all(), ["s-1", "s-2"]);
}

#[tokio::test]
async fn bans_that_could_not_be_written_at_a_handover_are_written_later() {
    let folder = Folder::new("write");
    let bans = folder.load();
    std::fs::remove_dir_all(&folder.0).unwrap();
    bans.replace(vec!["s-1".to_owned()]);
    assert!(bans.contains("s-1") && bans.retry_at().is_some());
    sleep_until(bans.retry_at().unwrap()).await;
    bans.retry();
    assert!(bans.retry_at().is_some(), "the folder is still gone");
    std::fs::create_dir_all(&folder.0).unwrap();
    sleep_until(bans.retry_at().unwrap()).await;
    assert!(bans.retry().is_empty(), "they held all the time");
    assert_eq!((bans.retry_at(), folder.load().all()), (None, vec!["s-1".to_owned()]));
}

#[test]
fn temporary_files_of_killed_processes_go_and_those_of_living_ones_stay() {
    let folder = Folder::new("temporary");
    let name = |process: u32| folder.0.join(format!("curlewhub-bans-127.0.0.1-70.{process}.new"));
    let killed = u32::MAX; // no process has this id
    let strangers = folder.0.join(format!("curlewhub-bans-127.0.0.1-71.{killed}.new"));
    for path in [name(killed), name(1), strangers.clone()] {
        std::fs::write(path, "half").unwrap();
    }
    folder.load();
    assert!(!name(killed).exists() && name(1).exists() && strangers.exists());
}

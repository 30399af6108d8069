//! The endpoints that operators have taken out of use: known by uid, so that a ban outlives the
//! endpoint's place in the list, and kept in a file, so that it outlives the process.

use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tracing::{error, warn};

/// The form of the file that this version writes and reads.
const VERSION: u32 = 1;

#[derive(Deserialize, Serialize)]
struct File {
    version: u32,
    detached: BTreeSet<String>,
}

/// The bans and their file.
pub struct Bans {
    path: PathBuf,
    out: RefCell<BTreeSet<String>>,
}

impl Bans {
    /// The bans kept in this folder for the sidecar that listens there. A file that can't be read is put
    /// aside: it must not keep the sidecar from starting.
    pub fn load(folder: &Path, listen: SocketAddr) -> Rc<Self> {
        // One folder may serve several sidecars; no two listen at the same address.
        let path = folder.join(format!("curlewhub-bans-{}-{}.json", listen.ip(), listen.port()));
        let out = match std::fs::read(&path) {
            Ok(bytes) => read(&bytes).unwrap_or_else(|problem| {
                warn!(path = %path.display(), problem, "the bans can't be read; starting with none");
                let _ = std::fs::rename(&path, path.with_extension("spoilt")); // only for whoever looks into it
                BTreeSet::new()
            }),
            Err(e) if e.kind() == io::ErrorKind::NotFound => BTreeSet::new(),
            Err(e) => {
                warn!(path = %path.display(), error = %e, "the bans can't be read; starting with none");
                BTreeSet::new()
            }
        };
        Rc::new(Bans { path, out: RefCell::new(out) })
    }

    /// Whether this endpoint is out of use.
    pub fn contains(&self, uid: &str) -> bool {
        self.out.borrow().contains(uid)
    }

    /// All that are.
    pub fn all(&self) -> Vec<String> {
        self.out.borrow().iter().cloned().collect()
    }

    /// Takes an endpoint out of use or gives it back: once this returns, that is on disk. Where it
    /// can't be written nothing changes.
    pub fn set(&self, uid: &str, on: bool) -> io::Result<()> {
        let mut new = self.out.borrow().clone();
        let changed = if on { new.insert(uid.to_owned()) } else { new.remove(uid) };
        if changed {
            self.write(&new)?;
            self.out.replace(new);
        }
        Ok(())
    }

    /// These and no others are out of use: what the process before says counts for more than the file.
    pub fn replace(&self, uids: Vec<String>) {
        let new: BTreeSet<String> = uids.into_iter().collect();
        if let Err(e) = self.write(&new) {
            // They hold all the same, in both processes.
            error!(path = %self.path.display(), error = %e, "the bans can't be kept on disk");
        }
        self.out.replace(new);
    }

    /// Writes beside the file and renames, so that nobody ever reads half of it.
    fn write(&self, detached: &BTreeSet<String>) -> io::Result<()> {
        let text = serde_json::to_vec(&File { version: VERSION, detached: detached.clone() })?;
        let beside = self.path.with_extension(format!("{}.new", std::process::id()));
        std::fs::write(&beside, text)?;
        std::fs::rename(beside, &self.path)
    }
}

fn read(bytes: &[u8]) -> Result<BTreeSet<String>, String> {
    let file: File = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    if file.version != VERSION {
        return Err(format!("version: {} is not {VERSION}", file.version));
    }
    Ok(file.detached)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A folder of this test's own; removed at the end.
    struct Folder(PathBuf);

    impl Folder {
        fn new(name: &str) -> Folder {
            let path = std::env::temp_dir().join(format!("bans-test-{}-{name}", std::process::id()));
            std::fs::create_dir_all(&path).unwrap();
            Folder(path)
        }

        fn load(&self) -> Rc<Bans> {
            Bans::load(&self.0, "127.0.0.1:70".parse().unwrap())
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }

    #[test]
    fn a_ban_told_twice_is_undone_once_and_outlives_the_process() {
        let folder = Folder::new("twice");
        let bans = folder.load();
        bans.set("s-1", true).unwrap();
        bans.set("s-1", true).unwrap();
        bans.set("s-2", true).unwrap();
        assert_eq!(folder.load().all(), ["s-1", "s-2"]);
        bans.set("s-1", false).unwrap();
        assert!(!bans.contains("s-1") && bans.contains("s-2"));
        assert_eq!(folder.load().all(), ["s-2"]);
    }

    #[test]
    fn a_spoilt_file_is_put_aside() {
        for spoilt in ["", "{\"version\":1,\"detached\":[\"s-", "{\"version\":9,\"detached\":[]}", "\u{0}"]
        {
            let folder = Folder::new("spoilt");
            std::fs::write(&folder.load().path, spoilt).unwrap();
            let bans = folder.load();
            assert_eq!(bans.all(), Vec::<String>::new());
            bans.set("s-1", true).unwrap();
            assert_eq!(folder.load().all(), ["s-1"]);
        }
    }

    #[test]
    fn what_can_not_be_written_is_not_so() {
        let folder = Folder::new("gone");
        let bans = folder.load();
        std::fs::remove_dir_all(&folder.0).unwrap();
        assert!(bans.set("s-1", true).is_err());
        assert!(!bans.contains("s-1"));
    }
}

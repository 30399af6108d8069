//! The endpoints that operators have taken out of use: known by uid, so that a ban outlives the
//! endpoint's place in the list, and kept in a file, so that it outlives the process.

use curlewhub_snapshot::{remove_temporary_files, replace_file};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{error, info, warn};

/// A file that could not be read or written is tried again this often.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

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
    owed: Cell<Owed>,
}

/// What has to be done with the file as soon as the disk lets it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Owed {
    Nothing,
    /// It could not be read: it may hold bans that are not in force.
    Read(Instant),
    /// It could not be written: it does not hold the bans that are in force.
    Write(Instant),
}

impl Bans {
    /// The bans kept in this folder for the sidecar that listens there. A file that can't be read is put
    /// aside: it must not keep the sidecar from starting.
    pub fn load(folder: &Path, listen: SocketAddr) -> Rc<Self> {
        // One folder may serve several sidecars; no two listen at the same address.
        let path = folder.join(format!("curlewhub-bans-{}-{}.json", listen.ip(), listen.port()));
        remove_temporary_files(&path);
        let bans = Bans { path, out: RefCell::default(), owed: Cell::new(Owed::Nothing) };
        bans.read_file();
        Rc::new(bans)
    }

    /// Reads the file; if that fails it is owed.
    fn read_file(&self) {
        let out = match std::fs::read(&self.path) {
            Ok(bytes) => read(&bytes).unwrap_or_else(|problem| {
                warn!(path = %self.path.display(), problem, "the bans can't be read; starting with none");
                let aside = self.path.with_extension("spoilt");
                let _ = std::fs::rename(&self.path, aside); // only for whoever looks into it
                BTreeSet::new()
            }),
            Err(e) if e.kind() == io::ErrorKind::NotFound => BTreeSet::new(),
            Err(e) => {
                if self.owed.get() == Owed::Nothing {
                    warn!(path = %self.path.display(), error = %e, "the bans can't be read; none until they can");
                }
                return self.owed.set(Owed::Read(Instant::now() + RETRY_INTERVAL));
            }
        };
        self.out.replace(out);
        self.owed.set(Owed::Nothing);
    }

    /// When to call [`Bans::retry`]; none while nothing is owed.
    pub fn retry_at(&self) -> Option<Instant> {
        match self.owed.get() {
            Owed::Nothing => None,
            Owed::Read(at) | Owed::Write(at) => Some(at),
        }
    }

    /// Reads or writes the file if that is owed and it is time. Returns the bans that hold from now on.
    pub fn retry(&self) -> Vec<String> {
        let now = Instant::now();
        match self.owed.get() {
            Owed::Read(at) if at <= now => {
                self.read_file();
                self.all()
            }
            Owed::Write(at) if at <= now => {
                let out = self.out.borrow().clone();
                if self.write(&out).is_ok() {
                    info!(path = %self.path.display(), "the bans are kept on disk again");
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
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
    /// can't be written nothing changes, nor where the file has not been read yet: its bans would be lost.
    ///
    /// # Errors
    /// It can't be kept.
    pub fn set(&self, uid: &str, on: bool) -> io::Result<()> {
        if let Owed::Read(_) = self.owed.get() {
            return Err(io::Error::other("the bans before have not been read yet"));
        }
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
        self.owed.set(Owed::Nothing); // what the file may hold counts no more
        if let Err(e) = self.write(&new) {
            // They hold all the same, in both processes.
            self.owed.set(Owed::Write(Instant::now() + RETRY_INTERVAL));
            error!(path = %self.path.display(), error = %e, "the bans can't be kept on disk");
        }
        self.out.replace(new);
    }

    /// Writes beside the file and renames, so that nobody ever reads half of it.
    fn write(&self, detached: &BTreeSet<String>) -> io::Result<()> {
        let text = serde_json::to_vec(&File { version: VERSION, detached: detached.clone() })?;
        let written = replace_file(&self.path, &text);
        self.owed.set(match (&written, self.owed.get()) {
            (Ok(()), _) => Owed::Nothing,
            (Err(_), Owed::Write(_)) => Owed::Write(Instant::now() + RETRY_INTERVAL),
            (Err(_), owed) => owed,
        });
        written
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

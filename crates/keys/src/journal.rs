//! The file of this process, and those that others of the same sidecar have left.

use crate::memory::{Entry, Written};
use crate::record::{BYTES_MOST, HEAD, SLOT, encode, encode_head, read};
use std::fs::File;
use std::io::{self, Read};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// The file of this process.
#[derive(Debug)]
pub struct Journal {
    file: File,
    path: PathBuf,
}

/// The files of other processes of the same sidecar, running or not.
#[derive(Debug)]
pub struct Others {
    folder: PathBuf,
    /// What their names begin with.
    prefix: String,
    /// The file that is not another's.
    own: PathBuf,
    mark: u64,
}

impl Journal {
    /// A new file in this folder for the sidecar of this name. Each process has its own, told apart by when it
    /// started: process numbers come again.
    ///
    /// # Errors
    /// It can't be made.
    pub fn create(folder: &Path, sidecar: &str, started: Duration, mark: u64) -> io::Result<Journal> {
        let path = folder.join(format!("{}{}.bin", prefix(sidecar), started.as_micros()));
        let file = File::create_new(&path)?;
        file.write_all_at(&encode_head(mark), 0)?;
        Ok(Journal { file, path })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes one slot. Once this returns it outlives the process, though not the machine: it is not synced, since a
    /// machine that falls takes its connections to clients along.
    ///
    /// # Errors
    /// It can't be written.
    pub fn write(&self, written: &Written) -> io::Result<()> {
        let at = (HEAD + SLOT * written.slot as usize) as u64;
        self.file.write_all_at(&encode(written.entry.as_ref()), at)
    }
}

fn prefix(sidecar: &str) -> String {
    format!("curlewhub-keys-{sidecar}-")
}

impl Others {
    /// Those in this folder besides this process's own.
    pub fn new(folder: &Path, sidecar: &str, own: Option<&Journal>, mark: u64) -> Others {
        let own = own.map(|journal| journal.path.clone()).unwrap_or_default();
        Others { folder: folder.to_owned(), prefix: prefix(sidecar), own, mark }
    }

    /// What they hold now, and what of them could not be read, by file.
    pub fn read(&self) -> (Vec<Entry>, Vec<String>) {
        let (mut all, mut problems) = (Vec::new(), Vec::new());
        for path in self.paths() {
            let mut bytes = Vec::new();
            let opened = File::open(&path);
            // One byte more than any has shows that it is none.
            let whole = opened.and_then(|file| file.take(BYTES_MOST as u64 + 1).read_to_end(&mut bytes));
            match whole
                .map_err(|e| e.to_string())
                .and_then(|_| read(&bytes, self.mark).map_err(|r| r.to_string()))
            {
                Ok((mut entries, spoilt)) => {
                    all.append(&mut entries);
                    if spoilt > 0 {
                        problems.push(format!("{}: {spoilt} records are spoilt", path.display()));
                    }
                }
                Err(problem) => problems.push(format!("{}: {problem}", path.display())),
            }
        }
        (all, problems)
    }

    /// Removes files that nobody has written for so long; how many.
    pub fn clear(&self, unwritten: Duration) -> usize {
        let old = |path: &PathBuf| {
            let written = path.metadata().and_then(|meta| meta.modified());
            // A time ahead of now says that the clock has stepped back: not old, then.
            written.is_ok_and(|at| SystemTime::now().duration_since(at).is_ok_and(|age| age > unwritten))
        };
        self.paths().into_iter().filter(old).filter(|path| std::fs::remove_file(path).is_ok()).count()
    }

    fn paths(&self) -> Vec<PathBuf> {
        let listed = std::fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let ours = |path: &PathBuf| {
            let name = path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
            *path != self.own && name.starts_with(&self.prefix) && name.ends_with(".bin")
        };
        let mut paths: Vec<PathBuf> = listed.map(|entry| entry.path()).filter(ours).collect();
        paths.sort();
        paths
    }
}

//! The file of a snapshot.

use crate::MAX_BYTES;
use std::fs::File;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The snapshot file of one sidecar.
#[derive(Clone, Debug)]
pub struct Store {
    path: PathBuf,
}

impl Store {
    /// The file in this folder for the sidecar that listens on this address: several sidecars may share a folder.
    pub fn new(folder: &Path, listen: SocketAddr) -> Store {
        Store { path: folder.join(format!("curlewhub-learnt-{}-{}.bin", listen.ip(), listen.port())) }
    }

    /// The path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Removes what killed processes have left half written.
    pub fn remove_temporary_files(&self) -> usize {
        remove_temporary_files(&self.path)
    }

    /// Reads the file; none if there is no file.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn read(&self) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(&self.path) {
            Ok(file) => file,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e),
        };
        let mut bytes = Vec::new();
        // One byte more than any snapshot has shows that the file is none.
        file.take(MAX_BYTES as u64 + 1).read_to_end(&mut bytes)?;
        Ok(Some(bytes))
    }

    /// Replaces the file's contents. They are written to a temporary file that is then renamed, so that neither a reader
    /// nor a crash finds half of them.
    ///
    /// # Errors
    /// They can't be written; the file stays as it was.
    pub fn write(&self, bytes: &[u8]) -> io::Result<()> {
        replace_file(&self.path, bytes)
    }
}

/// Replaces the contents of a file by way of a temporary file that is then renamed, so that neither a reader nor a crash
/// finds half of them. The temporary file does not stay, whatever fails.
///
/// # Errors
/// They can't be written; the file stays as it was.
pub fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = temporary(path, std::process::id());
    let written = std::fs::write(&temporary, bytes).and_then(|()| std::fs::rename(&temporary, path));
    if written.is_err() {
        let _ = std::fs::remove_file(&temporary); // a full disk must not keep half of it
    }
    written
}

/// Removes temporary files of this file that killed processes have left, and returns how many.
pub fn remove_temporary_files(path: &Path) -> usize {
    let listed = path.parent().and_then(|folder| std::fs::read_dir(folder).ok());
    let left = |beside: &PathBuf| {
        let process =
            beside.file_stem().and_then(|stem| Path::new(stem).extension()?.to_str()?.parse().ok());
        process.is_some_and(|process: u32| {
            *beside == temporary(path, process) && !Path::new(&format!("/proc/{process}")).exists()
        })
    };
    let paths = listed.into_iter().flatten().flatten().map(|entry| entry.path());
    paths.filter(left).filter(|path| std::fs::remove_file(path).is_ok()).count()
}

fn temporary(path: &Path, process: u32) -> PathBuf {
    path.with_extension(format!("{process}.new"))
}

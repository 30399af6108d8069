//! The file that stores a snapshot, and the atomic replacement of a file's contents.

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
    /// The file of the sidecar that listens on this address. Several sidecars may share a folder.
    pub fn new(folder: &Path, listen: SocketAddr) -> Store {
        Store { path: folder.join(format!("curlewhub-learnt-{}-{}.bin", listen.ip(), listen.port())) }
    }

    /// The path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Removes temporary files of killed processes, and returns their number.
    pub fn remove_temporary_files(&self) -> usize {
        remove_temporary_files(&self.path)
    }

    /// Reads the file; none if it does not exist.
    ///
    /// # Errors
    /// Returns why the file can't be read.
    pub fn read(&self) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(&self.path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let mut bytes = Vec::new();
        // One byte more than the longest snapshot is enough to see that the file is too long.
        file.take(MAX_BYTES as u64 + 1).read_to_end(&mut bytes)?;
        Ok(Some(bytes))
    }

    /// Replaces the contents of the file as [`replace_file`] does.
    ///
    /// # Errors
    /// Returns why the contents can't be written; the file is unchanged then.
    pub fn write(&self, bytes: &[u8]) -> io::Result<()> {
        replace_file(&self.path, bytes)
    }
}

/// Replaces the contents of a file. They are written to a temporary file that is then renamed, so that
/// readers see either the old or the new contents, even after a kill. The temporary file is removed if
/// writing or renaming fails. The file is not synced: the contents survive a crash of the process, but
/// perhaps not one of the machine.
///
/// # Errors
/// Returns why the contents can't be written; the file is unchanged then.
pub fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = temporary_path(path, std::process::id());
    let written = std::fs::write(&temporary, bytes).and_then(|()| std::fs::rename(&temporary, path));
    if written.is_err() {
        let _ = std::fs::remove_file(&temporary); // frees the space on a full disk
    }
    written
}

/// Removes the temporary files of this file that killed processes have left, and returns their number.
pub fn remove_temporary_files(path: &Path) -> usize {
    let siblings = path.parent().and_then(|folder| std::fs::read_dir(folder).ok());
    let is_abandoned = |sibling: &PathBuf| {
        let process =
            sibling.file_stem().and_then(|stem| Path::new(stem).extension()?.to_str()?.parse().ok());
        process.is_some_and(|process: u32| {
            *sibling == temporary_path(path, process) && !Path::new(&format!("/proc/{process}")).exists()
        })
    };
    let paths = siblings.into_iter().flatten().flatten().map(|entry| entry.path());
    paths.filter(is_abandoned).filter(|path| std::fs::remove_file(path).is_ok()).count()
}

/// The temporary file that the process with this id uses for this file.
fn temporary_path(path: &Path, process: u32) -> PathBuf {
    path.with_extension(format!("{process}.new"))
}

//! The file that a snapshot is kept in.

use crate::BYTES_MOST;
use std::fs::File;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A file for one sidecar's snapshots.
#[derive(Clone, Debug)]
pub struct Store {
    path: PathBuf,
}

impl Store {
    /// In this folder, for the sidecar that listens there: one folder may serve several.
    pub fn new(folder: &Path, listen: SocketAddr) -> Store {
        Store { path: folder.join(format!("curlewhub-learnt-{}-{}.bin", listen.ip(), listen.port())) }
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// What is kept; none where there is nothing.
    ///
    /// # Errors
    /// It can't be read.
    pub fn read(&self) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(&self.path) {
            Ok(file) => file,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e),
        };
        let mut bytes = Vec::new();
        // One byte more than any snapshot has shows that it is none.
        file.take(BYTES_MOST as u64 + 1).read_to_end(&mut bytes)?;
        Ok(Some(bytes))
    }

    /// Keeps these bytes in place of what was there: written beside it and renamed, so that whoever reads,
    /// or a crash, never finds half of them.
    ///
    /// # Errors
    /// They can't be written; what was kept before stays.
    pub fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let beside = self.path.with_extension(format!("{}.new", std::process::id()));
        let written = std::fs::write(&beside, bytes).and_then(|()| std::fs::rename(&beside, &self.path));
        if written.is_err() {
            let _ = std::fs::remove_file(&beside); // a full disk is not to hold half of it
        }
        written
    }
}

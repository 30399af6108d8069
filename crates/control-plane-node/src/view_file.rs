//! The file of a subscriber's view and incarnation, which is replaced as a whole.
//!
//! A sidecar and its successor run at the same time on one state directory, and a database can be opened by one process
//! alone. So the file is complete at every moment, any process may read it, and it is only replaced by a higher version.

use crate::transient::retry_interrupted;
use curlewhub_control_plane::view::View;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

const FILE_NAME: &str = "fleet-view.bin";
const LOCK_FILE_NAME: &str = "fleet-view.lock";

/// The content of the file.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Content {
    incarnation: u64,
    view: View,
}

/// The view file of a state directory.
#[derive(Clone, Debug)]
pub struct ViewFile {
    directory: PathBuf,
    process: Arc<Mutex<ProcessState>>,
}

/// What this process knows beside the content of the file.
#[derive(Debug, Default)]
struct ProcessState {
    /// The incarnation of this process, whether it is written yet or not.
    incarnation: u64,
    /// Whether this process's last write, and the sync of the directory, succeeded. Until then the content that is read may
    /// exist in the page cache alone, and is written again.
    is_durable: bool,
}

impl ViewFile {
    /// The file in this directory, which is created at the first write.
    pub fn new(directory: &Path) -> ViewFile {
        ViewFile { directory: directory.to_owned(), process: Arc::default() }
    }

    fn path(&self) -> PathBuf {
        self.directory.join(FILE_NAME)
    }

    /// Excludes other processes until the returned file is dropped, or the process ends.
    fn lock(&self) -> io::Result<File> {
        std::fs::create_dir_all(&self.directory)?;
        let file = File::options().create(true).append(true).open(self.directory.join(LOCK_FILE_NAME))?;
        retry_interrupted(|| file.lock())?;
        Ok(file)
    }

    /// The content of the file; empty if there is none. The hash chain of the view serves as its checksum.
    fn read(&self) -> io::Result<Content> {
        let bytes = match std::fs::read(self.path()) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(Content::default()),
            Err(e) => return Err(e),
        };
        let (content, rest): (Content, _) = postcard::take_from_bytes(&bytes)
            .map_err(|_| io::Error::new(ErrorKind::InvalidData, "it is no view"))?;
        if rest.is_empty() && content.view.is_consistent() {
            Ok(content)
        } else {
            Err(io::Error::new(ErrorKind::InvalidData, "it does not hold together"))
        }
    }

    /// The content that a write replaces: a corrupt file counts as empty, one that can't be read at the moment does not.
    fn read_for_replacement(&self) -> io::Result<Content> {
        match self.read() {
            Err(e) if e.kind() == ErrorKind::InvalidData => Ok(Content::default()),
            content => content,
        }
    }

    fn write(&self, content: &Content) -> io::Result<()> {
        self.process().is_durable = false;
        self.replace(content)?;
        self.process().is_durable = true;
        Ok(())
    }

    fn replace(&self, content: &Content) -> io::Result<()> {
        let bytes = postcard::to_allocvec(content).unwrap_or_default(); // can't fail: plain data
        let mut file = tempfile::NamedTempFile::new_in(&self.directory)?;
        file.write_all(&bytes)?;
        file.as_file().sync_all()?;
        file.persist(self.path()).map_err(|e| e.error)?;
        File::open(&self.directory)?.sync_all()
    }

    fn process(&self) -> MutexGuard<'_, ProcessState> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The stored view; empty if there is none.
    ///
    /// # Errors
    /// The file can't be read, or is corrupt.
    pub fn view(&self) -> io::Result<View> {
        self.read().map(|content| content.view)
    }

    /// Whether an earlier start is recorded.
    ///
    /// # Errors
    /// The file can't be read, or is corrupt.
    pub fn has_started(&self) -> io::Result<bool> {
        self.read().map(|content| content.incarnation > 0)
    }

    /// Records a start and returns its incarnation: the wall clock in milliseconds, or one above the incarnation in the file
    /// if that is greater.
    ///
    /// # Errors
    /// It can't be written.
    pub fn incarnation(&self, unix_ms: u64) -> io::Result<u64> {
        self.raise_incarnation(unix_ms);
        let _lock = self.lock()?;
        let previous = self.read_for_replacement()?;
        let incarnation = unix_ms.max(previous.incarnation + 1);
        self.raise_incarnation(incarnation);
        self.write(&Content { incarnation, ..previous })?;
        Ok(incarnation)
    }

    /// Raises the incarnation of this process to at least this; it is written with the next view at the latest.
    pub fn raise_incarnation(&self, incarnation: u64) {
        let mut process = self.process();
        process.incarnation = process.incarnation.max(incarnation);
    }

    /// Stores a view, unless the file has the same version or a higher one; durable once this returns.
    ///
    /// # Errors
    /// It can't be written, and may not be durable.
    pub fn store(&self, view: &View) -> io::Result<()> {
        let _lock = self.lock()?;
        let previous = self.read_for_replacement()?;
        let (incarnation, is_durable) = {
            let process = self.process();
            (process.incarnation.max(previous.incarnation), process.is_durable)
        };
        let is_current = previous.view.version() >= view.version();
        if is_current && is_durable && previous.incarnation == incarnation {
            return Ok(());
        }
        let view = if is_current { previous.view } else { view.clone() };
        self.write(&Content { incarnation, view })
    }
}

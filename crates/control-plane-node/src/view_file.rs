//! The view that a follower keeps: one file, replaced as a whole, that a process beside it reads and replaces too.
//!
//! A sidecar and its successor run side by side with one folder. A store that one of them holds shut would have the
//! successor begin with nothing; so the file is whole at every moment, and only ever replaced by a higher version.

use crate::transient::retry_interrupted;
use curlewhub_control_plane::view::View;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};

/// What the file holds.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Content {
    incarnation: u64,
    view: View,
}

/// The file.
#[derive(Clone, Debug)]
pub struct ViewFile {
    folder: PathBuf,
    own: Arc<Mutex<Own>>,
}

/// What this process knows of the file beside what it reads.
#[derive(Debug, Default)]
struct Own {
    /// By which number this process counts its start, whether that is written yet or not.
    incarnation: u64,
    /// Its last write, and the sync of its folder, succeeded. Until then what it reads may be in the kernel's memory alone, and
    /// is written anew.
    durable: bool,
}

impl ViewFile {
    /// In this folder, which is made once something is to be kept: one that can't be made now may be later.
    pub fn new(folder: &Path) -> ViewFile {
        ViewFile { folder: folder.to_owned(), own: Arc::default() }
    }

    fn path(&self) -> PathBuf {
        self.folder.join("fleet-view.bin")
    }

    /// Held while it is read and replaced, by whichever process; ends with the process.
    fn lock(&self) -> io::Result<File> {
        std::fs::create_dir_all(&self.folder)?;
        let file = File::options().create(true).append(true).open(self.folder.join("fleet-view.lock"))?;
        retry_interrupted(|| file.lock())?;
        Ok(file)
    }

    fn content(&self) -> io::Result<Content> {
        let bytes = match std::fs::read(self.path()) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Content::default()),
            Err(e) => return Err(e),
        };
        let spoilt = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
        let (content, rest): (Content, _) =
            postcard::take_from_bytes(&bytes).map_err(|_| spoilt("it is no view"))?;
        // The view's own chain of hashes is its checksum.
        if rest.is_empty() && content.view.is_consistent() {
            Ok(content)
        } else {
            Err(spoilt("it does not hold together"))
        }
    }

    fn replace(&self, content: &Content) -> io::Result<()> {
        let bytes = postcard::to_allocvec(content).unwrap_or_default(); // plain data: it never fails
        let mut file = tempfile::NamedTempFile::new_in(&self.folder)?;
        file.write_all(&bytes)?;
        file.as_file().sync_all()?;
        file.persist(self.path()).map_err(|e| e.error)?;
        File::open(&self.folder)?.sync_all()
    }

    /// The view that was kept.
    ///
    /// # Errors
    /// The file can't be read, or does not hold together.
    pub fn view(&self) -> io::Result<View> {
        self.content().map(|content| content.view)
    }

    /// Whether the file knows of an earlier start.
    ///
    /// # Errors
    /// The file can't be read, or does not hold together.
    pub fn has_started(&self) -> io::Result<bool> {
        self.content().map(|content| content.incarnation > 0)
    }

    /// What is to be written over: a file that does not hold together is as none, one that can't be read just now is not.
    fn content_to_replace(&self) -> io::Result<Content> {
        match self.content() {
            Err(e) if e.kind() == io::ErrorKind::InvalidData => Ok(Content::default()),
            content => content,
        }
    }

    /// One more start: its incarnation, above that of every start before. A folder that forgot begins from the clock.
    ///
    /// # Errors
    /// It can't be written.
    pub fn incarnation(&self, unix_ms: u64) -> io::Result<u64> {
        self.counts_by(unix_ms);
        let _lock = self.lock()?;
        let before = self.content_to_replace()?;
        let incarnation = unix_ms.max(before.incarnation + 1);
        self.counts_by(incarnation);
        self.write(&Content { incarnation, ..before })?;
        Ok(incarnation)
    }

    /// This process counts its start by this number, which is written with the next view at the latest.
    pub fn counts_by(&self, incarnation: u64) {
        let mut own = self.own();
        own.incarnation = own.incarnation.max(incarnation);
    }

    fn own(&self) -> std::sync::MutexGuard<'_, Own> {
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, content: &Content) -> io::Result<()> {
        self.own().durable = false;
        self.replace(content)?;
        self.own().durable = true;
        Ok(())
    }

    /// Keeps a view, unless what is kept is as new; synced once this returns.
    ///
    /// # Errors
    /// It is not kept.
    pub fn store(&self, view: &View) -> io::Result<()> {
        let _lock = self.lock()?;
        let before = self.content_to_replace()?;
        let (incarnation, durable) = {
            let own = self.own();
            (own.incarnation.max(before.incarnation), own.durable)
        };
        let is_as_new = before.view.version() >= view.version();
        if is_as_new && durable && before.incarnation == incarnation {
            return Ok(());
        }
        let view = if is_as_new { before.view } else { view.clone() };
        self.write(&Content { incarnation, view })
    }
}

//! The view that a follower keeps: one file, replaced as a whole, that a process beside it reads and replaces too.
//!
//! A sidecar and its successor run side by side with one folder. A store that one of them holds shut would have the
//! successor begin with nothing; so the file is whole at every moment, and only ever replaced by a higher version.

use curlewhub_fleet::view::View;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

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
}

impl ViewFile {
    /// In this folder, which is made once something is to be kept: one that can't be made now may be later.
    pub fn new(folder: &Path) -> ViewFile {
        ViewFile { folder: folder.to_owned() }
    }

    fn path(&self) -> PathBuf {
        self.folder.join("fleet-view.bin")
    }

    /// Held while it is read and replaced, by whichever process; ends with the process.
    fn lock(&self) -> io::Result<File> {
        std::fs::create_dir_all(&self.folder)?;
        let file = File::options().create(true).append(true).open(self.folder.join("fleet-view.lock"))?;
        file.lock()?;
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
        if rest.is_empty() && content.view.is_sound() {
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

    /// One more start: its incarnation, above that of every start before. A folder that forgot begins from the clock.
    ///
    /// # Errors
    /// It can't be written.
    pub fn incarnation(&self, unix_ms: u64) -> io::Result<u64> {
        let _lock = self.lock()?;
        let before = self.content().unwrap_or_default();
        let incarnation = unix_ms.max(before.incarnation + 1);
        self.replace(&Content { incarnation, ..before })?;
        Ok(incarnation)
    }

    /// Keeps a view, unless what is kept is as new; synced once this returns.
    ///
    /// # Errors
    /// It is not kept.
    pub fn keep(&self, view: &View) -> io::Result<()> {
        let _lock = self.lock()?;
        let before = self.content().unwrap_or_default();
        if before.view.version() >= view.version() {
            return Ok(());
        }
        self.replace(&Content { incarnation: before.incarnation, view: view.clone() })
    }
}

//! Journal files: the one that this process writes, and those of other processes of the same sidecar.
//!
//! The table in memory is authoritative, and the file may lag behind it. A write that fails (`ENOSPC`,
//! `EIO`) leaves its slot dirty, and the slot's newest value is written later; a request never waits for
//! that.

use crate::clock::{ClockAnchor, shift};
use crate::memory::{Entry, SlotWrite};
use crate::record::{
    HEADER_BYTES, JournalContents, JournalError, MAX_BYTES, SLOT_BYTES, decode, encode, encode_anchor,
    encode_header,
};
use std::collections::BTreeMap;
use std::fs::{File, TryLockError};
use std::io::{self, Read};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use thiserror::Error;

/// How often failed writes are retried. A client repeats a request that its sidecar lost within seconds;
/// dirty slots have to be in the file by then.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// How many dirty slots are written along with a new one, while a request waits: a page of 4 KiB.
const MAX_DIRTY_SLOTS_PER_WRITE: usize = 4096 / SLOT_BYTES;
/// How many dirty slots one retry writes: 640 KiB of page cache, which takes well under a millisecond.
const MAX_DIRTY_SLOTS_PER_RETRY: usize = 16_384;

/// The journal file of this process: a header and fixed-size slots. It is locked while the process runs.
#[derive(Debug)]
pub struct Journal {
    file: File,
    path: PathBuf,
    /// The number of slots before the first slot of a key: 1 if the file starts with the process's
    /// [`ClockAnchor`], else 0.
    first_slot: usize,
}

/// What the journals of one kind record.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum JournalKind {
    /// Idempotency keys.
    #[default]
    Keys,
    /// Request ids.
    RequestIds,
}

impl JournalKind {
    /// The beginning of the names of the files of this sidecar.
    fn prefix(self, sidecar: &str) -> String {
        let kind = match self {
            JournalKind::Keys => "keys",
            JournalKind::RequestIds => "ids",
        };
        format!("curlewhub-{kind}-{sidecar}-")
    }
}

/// The folder and file name prefix of one sidecar's journals, and the zone numbering that they use.
#[derive(Clone, Debug)]
pub struct JournalFolder {
    /// What they record.
    pub kind: JournalKind,
    /// The folder.
    pub folder: PathBuf,
    /// The name of the sidecar, which is part of the files' names.
    pub sidecar: String,
    /// See [`crate::zones_hash`].
    pub zones_hash: u64,
}

/// The journal of this process on a disk that may fail. Slots that could not be written stay dirty and are
/// retried.
#[derive(Debug)]
pub struct RetryingJournal {
    location: JournalFolder,
    anchor: Option<ClockAnchor>,
    /// The start of the process in Unix time, which is part of the file's name.
    started: Duration,
    /// The file; none until it has been created.
    journal: Option<Journal>,
    /// The earliest time of the next attempt to create the file, which takes several system calls.
    next_create_at: Duration,
    /// The values of slots that are not in the file yet: one for each slot, so up to [`crate::MAX_KEYS`].
    dirty_slots: BTreeMap<u32, Option<Entry>>,
}

/// The journal files of other processes of the same sidecar, whether these still run or not.
#[derive(Debug)]
pub struct OtherJournals {
    folder: PathBuf,
    /// The prefix of the files' names.
    prefix: String,
    /// The path of this process's journal, which is left out.
    own: PathBuf,
    zones_hash: u64,
}

impl Journal {
    /// Creates a new file in this folder for the sidecar of this name. Each process has a file of its own,
    /// which is named after the start time of the process, as process ids are reused.
    ///
    /// # Errors
    /// Returns why the file can't be created.
    pub fn create(folder: &Path, sidecar: &str, started: Duration, zones_hash: u64) -> io::Result<Journal> {
        let (folder, sidecar) = (folder.to_owned(), sidecar.to_owned());
        let location = JournalFolder { kind: JournalKind::Keys, folder, sidecar, zones_hash };
        let path = location.path(started);
        let file = File::create_new(&path)?;
        Journal::initialize(file, path, zones_hash, None)
    }

    /// Locks the file and writes its header and the process's anchor.
    fn initialize(
        file: File,
        path: PathBuf,
        zones_hash: u64,
        anchor: Option<&ClockAnchor>,
    ) -> io::Result<Journal> {
        // The kernel releases the lock when the process ends, so other processes detect that it is alive
        // whatever the file's modification time is. Where the file system has no locks, they use the
        // modification time.
        if let Err(TryLockError::WouldBlock) = file.try_lock() {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let mut bytes = encode_header(zones_hash);
        bytes.extend(anchor.iter().flat_map(|anchor| encode_anchor(anchor)));
        match file.write_all_at(&bytes, 0) {
            Ok(()) => Ok(Journal { file, path, first_slot: usize::from(anchor.is_some()) }),
            Err(error) => {
                let _ = std::fs::remove_file(&path); // if this fails, the next attempt reuses the file
                Err(error)
            }
        }
    }

    /// The path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes one slot. It then survives a crash of the process, but not of the machine: the file is not
    /// synced, because a machine that crashes loses its connections to clients as well.
    ///
    /// # Errors
    /// Returns why the slot could not be written in full.
    pub fn write(&self, write: &SlotWrite) -> io::Result<()> {
        self.write_slots(write.slot, &encode(write.entry.as_ref()))
    }

    /// Writes the encoded values of consecutive slots, starting with `slot`.
    fn write_slots(&self, slot: u32, bytes: &[u8]) -> io::Result<()> {
        let offset = HEADER_BYTES + SLOT_BYTES * (self.first_slot + slot as usize);
        self.file.write_all_at(bytes, offset as u64)
    }
}

impl RetryingJournal {
    /// Opens the journal of this process. If the file can't be created, the error is returned together with
    /// a journal that retries.
    pub fn open(
        location: JournalFolder,
        now: Duration,
        anchor: Option<ClockAnchor>,
    ) -> (RetryingJournal, Option<io::Error>) {
        let mut journal = RetryingJournal {
            location,
            anchor,
            started: now,
            journal: None,
            next_create_at: now,
            dirty_slots: BTreeMap::new(),
        };
        let problem = journal.create(now).err();
        (journal, problem)
    }

    /// The path of the file, whether it has been created or not.
    pub fn path(&self) -> PathBuf {
        self.location.path(self.started)
    }

    /// Whether the file has not been created yet, or slots are dirty.
    pub fn needs_retry(&self) -> bool {
        self.journal.is_none() || !self.dirty_slots.is_empty()
    }

    /// The old name of [`RetryingJournal::needs_retry`], for one release.
    pub fn is_owing(&self) -> bool {
        self.needs_retry()
    }

    /// The number of slots that are not in the file yet.
    pub fn dirty_slots(&self) -> usize {
        self.dirty_slots.len()
    }

    /// Writes one slot, and then some of the dirty ones.
    ///
    /// # Errors
    /// Returns why this slot could not be written. It is dirty then and will be retried.
    pub fn write(&mut self, now: Duration, write: &SlotWrite) -> io::Result<()> {
        // Marked dirty before the attempt, so that a partly written slot is retried.
        self.dirty_slots.insert(write.slot, write.entry);
        self.create(now)?;
        let Some(journal) = &self.journal else { return Ok(()) };
        journal.write(write)?;
        self.dirty_slots.remove(&write.slot);
        // An error here concerns other slots, which stay dirty.
        let _ = self.write_dirty_slots(MAX_DIRTY_SLOTS_PER_WRITE);
        Ok(())
    }

    /// Creates the file if it does not exist yet, and writes dirty slots.
    ///
    /// # Errors
    /// Returns why creating the file or writing a slot still fails.
    pub fn retry(&mut self, now: Duration) -> io::Result<()> {
        self.create(now)?;
        self.write_dirty_slots(MAX_DIRTY_SLOTS_PER_RETRY)
    }

    fn create(&mut self, now: Duration) -> io::Result<()> {
        if self.journal.is_some() {
            return Ok(());
        }
        if now < self.next_create_at {
            return Err(io::Error::other("creating the file failed; not retried yet"));
        }
        self.next_create_at = now + RETRY_INTERVAL;
        let path = self.location.path(self.started);
        // Reuses the file of an earlier failed attempt, so that repeated attempts do not leave several
        // files.
        let file = File::options().write(true).create(true).truncate(false).open(&path)?;
        self.journal =
            Some(Journal::initialize(file, path, self.location.zones_hash, self.anchor.as_ref())?);
        Ok(())
    }

    /// Writes up to `limit` dirty slots, consecutive ones with one system call.
    fn write_dirty_slots(&mut self, limit: usize) -> io::Result<()> {
        let Some(journal) = &self.journal else { return Ok(()) };
        let mut remaining = limit;
        while let Some(first) = self.dirty_slots.keys().next().copied().filter(|_| remaining > 0) {
            let slots = self.dirty_slots.range(first..).take(remaining).zip(first..);
            let consecutive = slots.take_while(|((slot, _), expected)| *slot == expected);
            let bytes: Vec<[u8; SLOT_BYTES]> =
                consecutive.map(|((_, entry), _)| encode(entry.as_ref())).collect();
            journal.write_slots(first, bytes.as_flattened())?;
            for slot in (first..).take(bytes.len()) {
                self.dirty_slots.remove(&slot);
            }
            remaining -= bytes.len();
        }
        Ok(())
    }
}

impl JournalFolder {
    fn path(&self, started: Duration) -> PathBuf {
        self.folder.join(format!("{}{}.bin", self.kind.prefix(&self.sidecar), started.as_micros()))
    }
}

impl OtherJournals {
    /// The journals of this sidecar's idempotency keys in this folder, except `own`.
    pub fn new(folder: &Path, sidecar: &str, own: Option<&Journal>, zones_hash: u64) -> OtherJournals {
        let own = own.map(|journal| journal.path.clone()).unwrap_or_default();
        let prefix = JournalKind::Keys.prefix(sidecar);
        OtherJournals { folder: folder.to_owned(), prefix, own, zones_hash }
    }

    /// The journals at this location, except `own`.
    pub fn at(location: &JournalFolder, own: &Path) -> OtherJournals {
        OtherJournals {
            folder: location.folder.clone(),
            prefix: location.kind.prefix(&location.sidecar),
            own: own.to_owned(),
            zones_hash: location.zones_hash,
        }
    }

    /// Excludes the journal at this path from now on, because it is this process's own.
    pub fn set_own(&mut self, own: &Path) {
        self.own = own.to_owned();
    }

    /// Reads all entries. Also returns one message for each file that could not be read in full.
    pub fn read(&self) -> (Vec<Entry>, Vec<String>) {
        self.read_with_clock(None)
    }

    /// As [`OtherJournals::read`], with times converted to the clock of this anchor. Times of a file whose
    /// clock can't be compared with it stay as they were written.
    pub fn read_with_clock(&self, clock: Option<&ClockAnchor>) -> (Vec<Entry>, Vec<String>) {
        let (mut entries, mut problems) = (Vec::new(), Vec::new());
        for path in self.paths() {
            match read_file(&path, self.zones_hash) {
                Ok(contents) => {
                    let correction = correction(clock, &contents).unwrap_or_default();
                    let corrected = |entry: Entry| Entry { sent: shift(entry.sent, correction), ..entry };
                    entries.extend(contents.entries.into_iter().map(corrected));
                    if contents.corrupt > 0 {
                        problems.push(format!(
                            "{}: {} slots are corrupt",
                            path.display(),
                            contents.corrupt
                        ));
                    }
                }
                Err(error) => problems.push(format!("{}: {error}", path.display())),
            }
        }
        (entries, problems)
    }

    /// Removes files of ended processes that were not written for `retention` by the wall clock. Returns the
    /// number of files removed. Where the file system has no locks, every process counts as ended.
    pub fn remove_expired(&self, retention: Duration) -> usize {
        self.remove_expired_with_clock(retention, None)
    }

    /// Removes files of ended processes whose newest entry was sent more than `retention` before `now`,
    /// both on the clock of the given anchor. The age of a file without entries counts from the start of
    /// its process. Where the clocks can't be compared, the file's modification time counts. Returns the
    /// number of files removed.
    pub fn remove_expired_with_clock(
        &self,
        retention: Duration,
        clock: Option<(&ClockAnchor, Duration)>,
    ) -> usize {
        let removable = |path: &PathBuf| match File::open(path).map(|file| file.try_lock()) {
            Ok(Err(TryLockError::WouldBlock)) => false, // its process is alive
            Ok(Ok(())) => {
                self.is_expired(path, retention, clock).unwrap_or_else(|| is_unmodified(path, retention))
            }
            Ok(Err(TryLockError::Error(_))) | Err(_) => is_unmodified(path, retention),
        };
        self.paths().into_iter().filter(removable).filter(|path| std::fs::remove_file(path).is_ok()).count()
    }

    /// Whether an ended process sent its newest entry, or started, more than `retention` ago; none if the
    /// clocks can't be compared.
    fn is_expired(
        &self,
        path: &Path,
        retention: Duration,
        clock: Option<(&ClockAnchor, Duration)>,
    ) -> Option<bool> {
        let (anchor, now) = clock?;
        let contents = read_file(path, self.zones_hash).ok()?;
        let correction = correction(Some(anchor), &contents)?;
        let started = contents.anchor.map(|anchor| anchor.unix);
        let last = contents.entries.iter().map(|entry| entry.sent).chain(started).max()?;
        Some(shift(last, correction).saturating_add(retention) < now)
    }

    fn paths(&self) -> Vec<PathBuf> {
        let files = std::fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let is_journal = |path: &PathBuf| {
            let name = path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
            *path != self.own && name.starts_with(&self.prefix) && name.ends_with(".bin")
        };
        let mut paths: Vec<PathBuf> = files.map(|entry| entry.path()).filter(is_journal).collect();
        paths.sort();
        paths
    }
}

/// What has to be added to the times of a file, in microseconds, to convert them to this clock.
fn correction(clock: Option<&ClockAnchor>, contents: &JournalContents) -> Option<i64> {
    clock?.correction_micros(contents.anchor.as_ref()?)
}

/// Whether a file was not modified for `retention` by the wall clock.
fn is_unmodified(path: &Path, retention: Duration) -> bool {
    let modified = path.metadata().and_then(|metadata| metadata.modified());
    // A time in the future means that the clock was stepped back. The age is then unknown, and the file
    // stays.
    modified.is_ok_and(|at| SystemTime::now().duration_since(at).is_ok_and(|age| age > retention))
}

/// Why a journal file could not be read.
#[derive(Debug, Error)]
enum ReadError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Format(#[from] JournalError),
}

fn read_file(path: &Path, zones_hash: u64) -> Result<JournalContents, ReadError> {
    let mut bytes = Vec::new();
    // One byte more than the longest journal is enough to see that the file is too long.
    File::open(path)?.take(MAX_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(decode(&bytes, zones_hash)?)
}

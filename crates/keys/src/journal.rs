//! The journal of this process, and the journals that other processes of the same sidecar have left.

use crate::clock::{ClockAnchor, shift};
use crate::memory::{Entry, SlotWrite};
use crate::record::{
    Contents, HEADER_BYTES, JournalError, MAX_BYTES, SLOT_BYTES, encode, encode_anchor, encode_header, read,
};
use std::collections::BTreeMap;
use std::fs::{File, TryLockError};
use std::io::{self, Read};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use thiserror::Error;

/// What could not be written is tried again this often. A client repeats a request that its sidecar lost within seconds;
/// what is owed has to be in the file by then.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// The most owed slots that are written together with a new one, on a request's path: a page of 4 KiB of them.
const SLOTS_WITH_A_WRITE: usize = 4096 / SLOT_BYTES;
/// The most owed slots that one retry writes: 640 KiB of page cache, which takes well under a millisecond.
const SLOTS_WITH_A_RETRY: usize = 16_384;

/// The journal of this process: a file of slots.
#[derive(Debug)]
pub struct Journal {
    file: File,
    path: PathBuf,
    /// Slots in front of those of keys: one if the file begins with the clock of the process.
    first_slot: usize,
}

/// Where the journals of one sidecar are.
#[derive(Clone, Debug)]
pub struct JournalFolder {
    /// The folder.
    pub folder: PathBuf,
    /// The name of the sidecar.
    pub sidecar: String,
    /// See [`crate::zones_hash`].
    pub zones_hash: u64,
}

/// The journal of this process over all that the disk does: what could not be written is owed, and written later.
#[derive(Debug)]
pub struct OwnJournal {
    place: JournalFolder,
    anchor: Option<ClockAnchor>,
    /// The time of its start, for the name of the file.
    started: Duration,
    /// None while the file can't be created.
    journal: Option<Journal>,
    /// Not before this time the file is tried again: it takes several system calls.
    create_at: Duration,
    /// What each slot has to hold that could not be written. At most one value a slot, so no more than
    /// [`crate::MAX_KEYS`].
    owed: BTreeMap<u32, Option<Entry>>,
}

/// The files of other processes of the same sidecar, running or not.
#[derive(Debug)]
pub struct Others {
    folder: PathBuf,
    /// The prefix of their names.
    prefix: String,
    /// The journal of this process, which is left out.
    own: PathBuf,
    zones_hash: u64,
}

impl Journal {
    /// A new file in this folder for the sidecar of this name. Each process has its own file, named by its start time:
    /// process ids are reused.
    ///
    /// # Errors
    /// The file can't be created.
    pub fn create(folder: &Path, sidecar: &str, started: Duration, zones_hash: u64) -> io::Result<Journal> {
        let place = JournalFolder { folder: folder.to_owned(), sidecar: sidecar.to_owned(), zones_hash };
        let path = place.path(started);
        let file = File::create_new(&path)?;
        Journal::begin(file, path, zones_hash, None)
    }

    /// Writes the header, and the clock of the process.
    fn begin(
        file: File,
        path: PathBuf,
        zones_hash: u64,
        anchor: Option<&ClockAnchor>,
    ) -> io::Result<Journal> {
        // Held until the process ends: so others see that it lives, whatever the time of the file says. Where files
        // can't be locked they see that as well, and go by the time.
        if let Err(TryLockError::WouldBlock) = file.try_lock() {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let mut bytes = encode_header(zones_hash);
        bytes.extend(anchor.iter().flat_map(|anchor| encode_anchor(anchor)));
        match file.write_all_at(&bytes, 0) {
            Ok(()) => Ok(Journal { file, path, first_slot: usize::from(anchor.is_some()) }),
            Err(error) => {
                let _ = std::fs::remove_file(&path); // if that fails the next attempt uses the file
                Err(error)
            }
        }
    }

    /// The path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes one slot. Once this returns, the slot survives a crash of the process, but not of the machine: the file is
    /// not synced, because a machine that crashes loses its connections to clients as well.
    ///
    /// # Errors
    /// The slot can't be written.
    pub fn write(&self, write: &SlotWrite) -> io::Result<()> {
        self.write_slots(write.slot, &encode(write.entry.as_ref()))
    }

    /// Writes the bytes of this slot and of those that follow it.
    fn write_slots(&self, slot: u32, bytes: &[u8]) -> io::Result<()> {
        let offset = HEADER_BYTES + SLOT_BYTES * (self.first_slot + slot as usize);
        self.file.write_all_at(bytes, offset as u64)
    }
}

impl OwnJournal {
    /// The journal of this process, and why it could not be created yet.
    pub fn open(
        place: JournalFolder,
        now: Duration,
        anchor: Option<ClockAnchor>,
    ) -> (OwnJournal, Option<io::Error>) {
        let (started, create_at) = (now, now);
        let mut own =
            OwnJournal { place, anchor, started, journal: None, create_at, owed: BTreeMap::new() };
        let problem = own.create(now).err();
        (own, problem)
    }

    /// The path of the file, be it there or not yet.
    pub fn path(&self) -> PathBuf {
        self.place.path(self.started)
    }

    /// Whether something has to be retried.
    pub fn is_owing(&self) -> bool {
        self.journal.is_none() || !self.owed.is_empty()
    }

    /// The number of slots that could not be written.
    pub fn owed(&self) -> usize {
        self.owed.len()
    }

    /// Writes one slot, and some of those that are owed. What can't be written is owed from now on.
    ///
    /// # Errors
    /// This slot can't be written now.
    pub fn write(&mut self, now: Duration, write: &SlotWrite) -> io::Result<()> {
        // In front of the attempt: whatever part of the slot is written, it is owed until all of it is.
        self.owed.insert(write.slot, write.entry);
        self.create(now)?;
        let Some(journal) = &self.journal else { return Ok(()) };
        journal.write(write)?;
        self.owed.remove(&write.slot);
        // An error here concerns another slot, which stays owed.
        let _ = self.write_owed(SLOTS_WITH_A_WRITE);
        Ok(())
    }

    /// Creates the file if that was not possible until now, and writes slots that are owed.
    ///
    /// # Errors
    /// It is still not possible.
    pub fn retry(&mut self, now: Duration) -> io::Result<()> {
        self.create(now)?;
        self.write_owed(SLOTS_WITH_A_RETRY)
    }

    fn create(&mut self, now: Duration) -> io::Result<()> {
        if self.journal.is_some() {
            return Ok(());
        }
        if now < self.create_at {
            return Err(io::Error::other("the file could not be created a moment ago"));
        }
        self.create_at = now + RETRY_INTERVAL;
        let path = self.place.path(self.started);
        // Left by an earlier attempt, if there is one: so attempts leave one file at the most.
        let file = File::options().write(true).create(true).truncate(false).open(&path)?;
        self.journal = Some(Journal::begin(file, path, self.place.zones_hash, self.anchor.as_ref())?);
        Ok(())
    }

    /// Writes so many owed slots at the most, consecutive ones together.
    fn write_owed(&mut self, limit: usize) -> io::Result<()> {
        let Some(journal) = &self.journal else { return Ok(()) };
        let mut left = limit;
        while let Some(first) = self.owed.keys().next().copied().filter(|_| left > 0) {
            let run = self.owed.range(first..).take(left).zip(first..);
            let run = run.take_while(|((slot, _), expected)| *slot == expected);
            let bytes: Vec<[u8; SLOT_BYTES]> = run.map(|((_, entry), _)| encode(entry.as_ref())).collect();
            journal.write_slots(first, bytes.as_flattened())?;
            for slot in (first..).take(bytes.len()) {
                self.owed.remove(&slot);
            }
            left -= bytes.len();
        }
        Ok(())
    }
}

impl JournalFolder {
    fn path(&self, started: Duration) -> PathBuf {
        self.folder.join(format!("{}{}.bin", prefix(&self.sidecar), started.as_micros()))
    }
}

fn prefix(sidecar: &str) -> String {
    format!("curlewhub-keys-{sidecar}-")
}

impl Others {
    /// The journals in this folder except this process's own.
    pub fn new(folder: &Path, sidecar: &str, own: Option<&Journal>, zones_hash: u64) -> Others {
        let own = own.map(|journal| journal.path.clone()).unwrap_or_default();
        Others { folder: folder.to_owned(), prefix: prefix(sidecar), own, zones_hash }
    }

    /// The journal of this process is another one from now on.
    pub fn set_own(&mut self, own: &Path) {
        self.own = own.to_owned();
    }

    /// Reads all entries. Also returns what could not be read, one message a file.
    pub fn read(&self) -> (Vec<Entry>, Vec<String>) {
        self.read_on(None)
    }

    /// Reads all entries, with their times on the clock of this anchor where the two clocks can be compared, and as
    /// they were written where they can't.
    pub fn read_on(&self, clock: Option<&ClockAnchor>) -> (Vec<Entry>, Vec<String>) {
        let (mut entries, mut problems) = (Vec::new(), Vec::new());
        for path in self.paths() {
            match read_file(&path, self.zones_hash) {
                Ok(contents) => {
                    let correction = correction(clock, &contents).unwrap_or_default();
                    let moved = |entry: Entry| Entry { sent: shift(entry.sent, correction), ..entry };
                    entries.extend(contents.entries.into_iter().map(moved));
                    if contents.corrupt > 0 {
                        problems.push(format!(
                            "{}: {} records are corrupt",
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

    /// Removes files that nobody has written for this long, and returns how many.
    pub fn clear(&self, unwritten: Duration) -> usize {
        self.clear_on(unwritten, None)
    }

    /// Removes files of processes that have ended and whose keys are over, and returns how many. Time is that of this
    /// clock, `now` on it. Where the clocks can't be compared, files are removed that nobody has written for this long
    /// by the wall clock.
    pub fn clear_on(&self, unwritten: Duration, clock: Option<(&ClockAnchor, Duration)>) -> usize {
        let removable = |path: &PathBuf| match File::open(path).map(|file| file.try_lock()) {
            Ok(Err(TryLockError::WouldBlock)) => false, // its process lives
            Ok(Ok(())) => self.is_over(path, unwritten, clock).unwrap_or_else(|| is_old(path, unwritten)),
            Ok(Err(TryLockError::Error(_))) | Err(_) => is_old(path, unwritten),
        };
        self.paths().into_iter().filter(removable).filter(|path| std::fs::remove_file(path).is_ok()).count()
    }

    /// Whether all that is in the file has been over for this long; none if that can't be told. The process has ended.
    fn is_over(
        &self,
        path: &Path,
        unwritten: Duration,
        clock: Option<(&ClockAnchor, Duration)>,
    ) -> Option<bool> {
        let (anchor, now) = clock?;
        let contents = read_file(path, self.zones_hash).ok()?;
        let correction = correction(Some(anchor), &contents)?;
        let started = contents.anchor.map(|anchor| anchor.unix);
        let last = contents.entries.iter().map(|entry| entry.sent).chain(started).max()?;
        Some(shift(last, correction).saturating_add(unwritten) < now)
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

/// What has to be added to the times of this file to have them on this clock.
fn correction(clock: Option<&ClockAnchor>, contents: &Contents) -> Option<i64> {
    clock?.correction_micros(contents.anchor.as_ref()?)
}

/// Whether a file has not been written for this long by the wall clock.
fn is_old(path: &Path, unwritten: Duration) -> bool {
    let written = path.metadata().and_then(|meta| meta.modified());
    // A time ahead of now says that the clock has stepped back: not old, then.
    written.is_ok_and(|at| SystemTime::now().duration_since(at).is_ok_and(|age| age > unwritten))
}

/// Why a journal file could not be read.
#[derive(Debug, Error)]
enum ReadError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Format(#[from] JournalError),
}

fn read_file(path: &Path, zones_hash: u64) -> Result<Contents, ReadError> {
    let mut bytes = Vec::new();
    // One byte more than any journal has shows that the file is none.
    File::open(path)?.take(MAX_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(read(&bytes, zones_hash)?)
}

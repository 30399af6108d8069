//! The control file: words that the process under test maps and that its test reads and writes.
//!
//! The first word is the moment of activation in nanoseconds of CLOCK_MONOTONIC, 0 before. Each entry has
//! [`WORDS_OF_AN_ENTRY`] words behind it. Counting so costs the process no system call, and a kill loses
//! no count.

use rustix::time::{ClockId, clock_gettime};
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Bytes of a word.
const WORD: u64 = 8;
/// Words of an entry.
pub const WORDS_OF_AN_ENTRY: usize = 4;
/// Bytes of the file: one page of any machine that Linux runs on, or a part of it.
pub const CONTROL_BYTES: usize = 4096;
const _: () = assert!((1 + crate::schedule::ENTRIES_MAX * WORDS_OF_AN_ENTRY) * 8 <= CONTROL_BYTES);

/// The words of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum EntryWord {
    /// A [`Switch`].
    Switch = 0,
    /// Calls that fitted it while it was on.
    Seen = 1,
    /// Calls that it has struck.
    Struck = 2,
}

impl EntryWord {
    /// The place of this word of an entry, in words.
    pub fn index(self, entry: usize) -> usize {
        1 + entry * WORDS_OF_AN_ENTRY + self as usize
    }
}

/// Whether an entry is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub enum Switch {
    /// Between its two times.
    ByTime = 0,
    /// From now on, whatever its times say.
    On = 1,
    /// Not from now on, whatever its times say.
    Off = 2,
}

/// The control file can't be made, read or written.
#[derive(Debug, thiserror::Error)]
#[error("the control file of a fault schedule: {0}")]
pub struct ControlError(#[from] io::Error);

/// An open control file.
#[derive(Debug)]
pub struct Control(File);

impl Control {
    /// Makes a new one, all words 0.
    ///
    /// # Errors
    /// The file can't be made.
    pub fn create(path: &Path) -> Result<Control, ControlError> {
        let file = File::options().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(CONTROL_BYTES as u64)?;
        Ok(Control(file))
    }

    /// Reads a word of an entry.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn get(&self, entry: usize, word: EntryWord) -> Result<u64, ControlError> {
        let mut bytes = [0; WORD as usize];
        self.0.read_exact_at(&mut bytes, word.index(entry) as u64 * WORD)?;
        Ok(u64::from_ne_bytes(bytes))
    }

    /// Switches an entry.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn switch(&self, entry: usize, switch: Switch) -> Result<(), ControlError> {
        self.put(EntryWord::Switch.index(entry), switch as u64)
    }

    /// Times of a schedule whose origin is the activation count from now on.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn activate(&self) -> Result<(), ControlError> {
        let now = clock_gettime(ClockId::Monotonic);
        self.put(0, now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64)
    }

    fn put(&self, index: usize, value: u64) -> Result<(), ControlError> {
        Ok(self.0.write_all_at(&value.to_ne_bytes(), index as u64 * WORD)?)
    }
}

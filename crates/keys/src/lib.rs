//! Records where requests with an idempotency key (jobs) may have run.
//!
//! Endpoints of one group (a zone, or a cell) drop a repeated key for a window of time; other endpoints
//! would run the job a second time. A process that is killed loses its record of where its attempts went,
//! while its clients repeat their open requests to the next process. So each first send of a key is written
//! to a journal before it goes out.
//!
//! - [`KeyTable`] decides which keys are remembered, and in which slot each is stored. It does no I/O.
//! - [`RetryingJournal`] writes the slots to a file that survives the process, and retries writes that a
//!   failing disk rejected.
//! - [`OtherJournals`] reads the files of earlier processes.
//! - [`ClockAnchor`] makes their times comparable after the wall clock was stepped.

#![warn(clippy::too_many_lines)]

mod clock;
mod journal;
mod memory;
mod record;

pub use clock::{ClockAnchor, shift};
pub use journal::{Journal, JournalFolder, JournalKind, OtherJournals, RETRY_INTERVAL, RetryingJournal};
pub use memory::{Entry, KeyTable, MAX_KEYS, SlotWrite};
pub use record::{JournalContents, JournalError, decode, encode_header};

use xxhash_rust::xxh3::Xxh3;

/// The hash of an idempotency key of a class: 64 bits of XXH3, the same in every process. The probability
/// that any two of a hundred thousand remembered keys collide is below 10^-9. After a collision a job is
/// sent to a zone that it need not go to.
pub fn hash(class: &str, key: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&(class.len() as u64).to_le_bytes()); // otherwise `ab` + `c` would equal `a` + `bc`
    hash.update(class.as_bytes());
    hash.update(key);
    hash.digest()
}

/// The hash of the zones' names in their order. Journals store zones by number, so a journal that was
/// written under another numbering can't be used.
pub fn zones_hash(zones: &[String]) -> u64 {
    let mut hash = Xxh3::new();
    for zone in zones {
        hash.update(&(zone.len() as u64).to_le_bytes());
        hash.update(zone.as_bytes());
    }
    hash.digest()
}

/// The old name of [`SlotWrite`], for one release.
pub use SlotWrite as Written;

/// The old name of [`zones_hash`], for one release.
pub use zones_hash as mark;

/// The old name of [`OtherJournals`], for one release.
pub use OtherJournals as Others;

/// The old name of [`RetryingJournal`], for one release.
pub use RetryingJournal as OwnJournal;

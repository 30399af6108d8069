//! Where requests with an idempotency key (jobs) may have run.
//!
//! Endpoints of one group (a zone, or a cell) drop a repeated key for a window of time; other endpoints would run the
//! job a second time. A process knows where its own attempts went, but it loses that when it is killed, while its
//! clients repeat their open requests to the next process. So each first send of a key is written to a journal before
//! it goes out. [`KeyTable`] decides what is remembered and in which slot, sans I/O. [`RetryingJournal`] writes the slots to
//! a file that survives the process and retries what a failing disk rejects. [`OtherJournals`] reads the files of earlier
//! processes, and [`ClockAnchor`] makes their times comparable after the wall clock was stepped.

#![warn(clippy::too_many_lines)]

mod clock;
mod journal;
mod memory;
mod record;

pub use clock::{ClockAnchor, shift};
pub use journal::{Journal, JournalFolder, OtherJournals, RETRY_INTERVAL, RetryingJournal};
pub use memory::{Entry, KeyTable, MAX_KEYS, SlotWrite};
pub use record::{JournalContents, JournalError, decode, encode_header};

use xxhash_rust::xxh3::Xxh3;

/// The hash of an idempotency key of a class: 64 bits of XXH3, the same in every process. Among a hundred thousand
/// remembered keys any two collide with a probability below 10^-9; a job is then sent to a zone that it need not go to.
pub fn hash(class: &str, key: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&(class.len() as u64).to_le_bytes()); // otherwise `ab` + `c` would equal `a` + `bc`
    hash.update(class.as_bytes());
    hash.update(key);
    hash.digest()
}

/// The hash of the zones' names in their order. Journals store zones by number; one written under another numbering can't
/// be used.
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

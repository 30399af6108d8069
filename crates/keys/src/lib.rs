//! Where keyed jobs may have run.
//!
//! Endpoints of one group (a zone, or a cell) drop a repeated key for a window of time; other endpoints would run the
//! job a second time. A process knows where its own attempts went, but it loses that when it is killed, while its
//! clients repeat their open requests to the next process. So each first send of a key is written to a journal before
//! it goes out. [`Memory`] decides what is remembered and in which slot, sans I/O. [`Journal`] writes the slots to a
//! file that survives the process, and [`read`] reads such a file.

#![warn(clippy::too_many_lines)]

mod clock;
mod journal;
mod memory;
mod record;

pub use clock::{ClockAnchor, shift};
pub use journal::{Journal, JournalFolder, Others, OwnJournal, RETRY_INTERVAL};
pub use memory::{Entry, MAX_KEYS, Memory, SlotWrite};
pub use record::{Contents, JournalError, encode_header, read};

use xxhash_rust::xxh3::Xxh3;

/// A key, told apart from others of its class and from those of other classes: 64 bits of XXH3, the same in every
/// process. Two live keys fall together once in 10^10 where a hundred thousand are remembered; a job is then
/// sent to a zone that it need not go to.
pub fn hash(class: &str, key: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&(class.len() as u64).to_le_bytes()); // or `ab`+`c` would be `a`+`bc`
    hash.update(class.as_bytes());
    hash.update(key);
    hash.digest()
}

/// The hash of the zones' names in their order: a journal of a process that numbered them differently can't be used.
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

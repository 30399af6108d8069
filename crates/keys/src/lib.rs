//! Where keyed jobs may have run.
//!
//! Endpoints of one group (a zone, or a cell) drop a repeat of a key for a window; others would run the job a second
//! time. A process knows where its own attempts went. What it knows is lost when it is killed, while its clients
//! repeat what was open to the process after it. So each first send of a key is written down before it goes out:
//! [`Memory`] says what is remembered and where its record lies, sans I/O, [`Journal`] keeps the records in a file that
//! outlives the process, and [`read`] finds them again.

mod journal;
mod memory;
mod record;

pub use journal::{Journal, Others};
pub use memory::{Entry, MOST, Memory, Written};
pub use record::{Refused, encode_head, read};

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

/// Tells zones apart by what they are called: a file of a process that numbered them otherwise is no use.
pub fn mark(zones: &[String]) -> u64 {
    let mut hash = Xxh3::new();
    for zone in zones {
        hash.update(&(zone.len() as u64).to_le_bytes());
        hash.update(zone.as_bytes());
    }
    hash.digest()
}

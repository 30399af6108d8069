//! What a sidecar has learnt, as bytes: handed to its successor, and kept in a file for a start after a crash.
//!
//! In front of the fields (postcard) stands a head, little-endian: magic (4 bytes), version (2), the settings'
//! fingerprint (8), the fields' length (4) and a CRC-32 of the head so far and the fields (4). Whatever is wrong
//! is refused with its name, and a start goes on without.

mod store;

pub use store::Store;

use curlewhub_balance::{AGE_MOST, Settings, Snapshot};
use fnv::FnvHasher;
use std::fmt::Write;
use std::hash::Hasher;
use std::time::Duration;
use thiserror::Error;

const MAGIC: &[u8; 4] = b"CLHS";
/// Raised with each change of what a snapshot's fields are.
const VERSION: u16 = 1;
const HEAD: usize = 22;
/// No snapshot is longer, in bytes: 100,000 endpoints take under 10 MiB.
pub const BYTES_MOST: usize = 16 << 20;
/// A clock that has stepped back by no more than this between two processes is put up with.
const AHEAD_MOST: Duration = Duration::from_secs(60);

/// Why a snapshot is not used.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Refused {
    /// It is too short for its head, or for what the head says.
    #[error("truncated: {have} bytes of {want}")]
    Truncated {
        /// Bytes that are there.
        have: usize,
        /// Bytes that there should be.
        want: usize,
    },
    /// It is longer than any, or than its head says.
    #[error("too long: {have} bytes, at most {most}")]
    TooLong {
        /// Bytes that are there.
        have: usize,
        /// Bytes that there may be.
        most: usize,
    },
    /// It begins with something else.
    #[error("not a snapshot")]
    NotOne,
    /// Another version wrote it.
    #[error("of version {0}, not {VERSION}")]
    Version(u16),
    /// It was learnt under other settings: another tier, other classes, customers or rules.
    #[error("of another tier or configuration")]
    Configuration,
    /// Bytes have changed since it was written.
    #[error("corrupt: its checksum does not fit")]
    Corrupt,
    /// Its fields can't be read, or hold what no balancer reaches.
    #[error("malformed")]
    Malformed,
    /// It says nothing any more.
    #[error("too old: {} s, at most {}", .0.as_secs(), AGE_MOST.as_secs())]
    TooOld(Duration),
    /// It was taken at a time that is still to come.
    #[error("from the future, by {} s", .0.as_secs())]
    FromTheFuture(Duration),
}

/// Tells settings apart under which things were learnt. It is the same in every process of one version.
pub fn fingerprint(settings: &Settings) -> u64 {
    struct Hash(FnvHasher);
    impl Write for Hash {
        fn write_str(&mut self, text: &str) -> std::fmt::Result {
            self.0.write(text.as_bytes());
            Ok(())
        }
    }
    let mut hash = Hash(FnvHasher::default());
    let _ = write!(hash, "{settings:?}"); // hashing never fails
    hash.0.finish()
}

/// A snapshot's bytes, for settings of this fingerprint.
///
/// # Errors
/// It would be longer than [`BYTES_MOST`].
pub fn encode(snapshot: &Snapshot, fingerprint: u64) -> Result<Vec<u8>, Refused> {
    let fields = postcard::to_stdvec(snapshot).map_err(|_| Refused::Malformed)?;
    let most = BYTES_MOST - HEAD;
    if fields.len() > most {
        return Err(Refused::TooLong { have: fields.len(), most });
    }
    let mut bytes = Vec::with_capacity(HEAD + fields.len());
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.extend_from_slice(&fingerprint.to_le_bytes());
    bytes.extend_from_slice(&(fields.len() as u32).to_le_bytes());
    let sum = checksum(&bytes, &fields);
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes.extend_from_slice(&fields);
    Ok(bytes)
}

fn checksum(head: &[u8], fields: &[u8]) -> u32 {
    let mut hash = crc32fast::Hasher::new();
    hash.update(head);
    hash.update(fields);
    hash.finalize()
}

/// The numbers in a head, once it is whole.
fn part<const N: usize>(bytes: &[u8], at: usize) -> Result<[u8; N], Refused> {
    let found = bytes.get(at..at + N).and_then(|part| part.try_into().ok());
    found.ok_or(Refused::Truncated { have: bytes.len(), want: HEAD })
}

/// A snapshot from its bytes, whatever settings it is of and however old it is.
///
/// # Errors
/// Why it can't be read.
pub fn decode_any(bytes: &[u8]) -> Result<(Snapshot, u64), Refused> {
    if !bytes.starts_with(&MAGIC[..bytes.len().min(MAGIC.len())]) {
        return Err(Refused::NotOne);
    }
    let version = u16::from_le_bytes(part(bytes, 4)?);
    if version != VERSION {
        return Err(Refused::Version(version));
    }
    let fingerprint = u64::from_le_bytes(part(bytes, 6)?);
    let length = u32::from_le_bytes(part(bytes, 14)?) as usize;
    let sum = u32::from_le_bytes(part(bytes, 18)?);
    let want = HEAD + length;
    if want > BYTES_MOST || bytes.len() > want {
        return Err(Refused::TooLong { have: bytes.len().max(want), most: want.min(BYTES_MOST) });
    }
    if bytes.len() < want {
        return Err(Refused::Truncated { have: bytes.len(), want });
    }
    if checksum(&bytes[..HEAD - 4], &bytes[HEAD..]) != sum {
        return Err(Refused::Corrupt);
    }
    let snapshot: Snapshot = postcard::from_bytes(&bytes[HEAD..]).map_err(|_| Refused::Malformed)?;
    if snapshot.is_sound() { Ok((snapshot, fingerprint)) } else { Err(Refused::Malformed) }
}

/// A snapshot from its bytes, for use now under settings of this fingerprint.
///
/// # Errors
/// Why it is not to be used.
pub fn decode(bytes: &[u8], fingerprint: u64, now: Duration) -> Result<Snapshot, Refused> {
    let (snapshot, of) = decode_any(bytes)?;
    if of != fingerprint {
        return Err(Refused::Configuration);
    }
    let ahead = snapshot.taken.saturating_sub(now);
    if ahead > AHEAD_MOST {
        return Err(Refused::FromTheFuture(ahead));
    }
    let age = snapshot.age(now);
    if age > AGE_MOST { Err(Refused::TooOld(age)) } else { Ok(snapshot) }
}

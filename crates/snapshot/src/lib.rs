//! The binary format of what a sidecar has learned: it is handed to the successor, and kept in a file for a start after
//! a crash.
//!
//! A header precedes the payload (postcard). Its fields are little-endian: magic (4 bytes), version (2), the fingerprint
//! of the settings (8), the length of the payload (4), and a CRC-32 of the header so far and the payload (4). Invalid
//! bytes are rejected with a specific error, and the process starts without them.
//!
//! An appendix may follow the snapshot within the payload; versions that know of none ignore it.

#![warn(clippy::too_many_lines)]

mod store;

pub use store::{Store, remove_temporary_files, replace_file};

use curlewhub_balance::{AGE_MOST, Settings, Snapshot};
use fnv::FnvHasher;
use std::fmt::Write;
use std::hash::Hasher;
use std::time::Duration;
use thiserror::Error;

const MAGIC: &[u8; 4] = b"CLHS";
/// Raised with each change of the payload's fields.
const VERSION: u16 = 1;
/// The length of the header.
const HEADER_BYTES: usize = 22;
/// Where the header's fields begin.
const VERSION_AT: usize = 4;
const FINGERPRINT_AT: usize = 6;
const LENGTH_AT: usize = 14;
const CHECKSUM_AT: usize = 18;
/// The most bytes that a snapshot has: 100,000 endpoints take under 10 MiB.
pub const MAX_BYTES: usize = 16 << 20;
/// A clock that has stepped back by no more than this between two processes is tolerated.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Why a snapshot can't be used.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SnapshotError {
    /// It is too short for its header, or for the length in the header.
    #[error("truncated: {have} bytes of {want}")]
    Truncated {
        /// Bytes that are there.
        have: usize,
        /// Bytes that there should be.
        want: usize,
    },
    /// It is longer than any snapshot, or than the length in its header.
    #[error("too long: {have} bytes, at most {most}")]
    TooLong {
        /// Bytes that are there.
        have: usize,
        /// Bytes that there may be.
        most: usize,
    },
    /// It does not begin with the magic bytes.
    #[error("not a snapshot")]
    NotASnapshot,
    /// Another version wrote it.
    #[error("of version {0}, not {VERSION}")]
    Version(u16),
    /// It was learned under other settings: another tier, other classes, tenants or rules.
    #[error("of another tier or configuration")]
    Configuration,
    /// Bytes have changed since it was written.
    #[error("corrupt: its checksum does not fit")]
    Corrupt,
    /// Its payload can't be read, or holds values that no balancer reaches.
    #[error("malformed")]
    Malformed,
    /// It is too old to say anything.
    #[error("too old: {} s, at most {}", .0.as_secs(), AGE_MOST.as_secs())]
    TooOld(Duration),
    /// It was taken at a time in the future.
    #[error("from the future, by {} s", .0.as_secs())]
    FromTheFuture(Duration),
}

/// The fingerprint of settings: a snapshot is used only under the settings that it was learned with. It is the same in
/// every process of one version.
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

/// Encodes a snapshot for settings of this fingerprint.
///
/// # Errors
/// It would be longer than [`MAX_BYTES`].
pub fn encode(snapshot: &Snapshot, fingerprint: u64) -> Result<Vec<u8>, SnapshotError> {
    encode_with(snapshot, fingerprint, &[])
}

/// Encodes a snapshot and an appendix, which [`appendix`] gives back.
///
/// # Errors
/// It would be longer than [`MAX_BYTES`].
pub fn encode_with(
    snapshot: &Snapshot,
    fingerprint: u64,
    appendix: &[u8],
) -> Result<Vec<u8>, SnapshotError> {
    let mut payload = postcard::to_stdvec(snapshot).map_err(|_| SnapshotError::Malformed)?;
    payload.extend_from_slice(appendix);
    let most = MAX_BYTES - HEADER_BYTES;
    if payload.len() > most {
        return Err(SnapshotError::TooLong { have: payload.len(), most });
    }
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.extend_from_slice(&fingerprint.to_le_bytes());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    let checksum = checksum(&bytes, &payload);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

fn checksum(header: &[u8], payload: &[u8]) -> u32 {
    let mut hash = crc32fast::Hasher::new();
    hash.update(header);
    hash.update(payload);
    hash.finalize()
}

/// The bytes of a header field.
fn field<const N: usize>(bytes: &[u8], at: usize) -> Result<[u8; N], SnapshotError> {
    let found = bytes.get(at..at + N).and_then(|field| field.try_into().ok());
    found.ok_or(SnapshotError::Truncated { have: bytes.len(), want: HEADER_BYTES })
}

/// Decodes a snapshot of any settings and any age. Returns it with its fingerprint.
///
/// # Errors
/// Why it can't be read.
pub fn decode_any(bytes: &[u8]) -> Result<(Snapshot, u64), SnapshotError> {
    if !bytes.starts_with(&MAGIC[..bytes.len().min(MAGIC.len())]) {
        return Err(SnapshotError::NotASnapshot);
    }
    let version = u16::from_le_bytes(field(bytes, VERSION_AT)?);
    if version != VERSION {
        return Err(SnapshotError::Version(version));
    }
    let fingerprint = u64::from_le_bytes(field(bytes, FINGERPRINT_AT)?);
    let length = u32::from_le_bytes(field(bytes, LENGTH_AT)?) as usize;
    let expected = u32::from_le_bytes(field(bytes, CHECKSUM_AT)?);
    let want = HEADER_BYTES + length;
    if want > MAX_BYTES || bytes.len() > want {
        return Err(SnapshotError::TooLong { have: bytes.len().max(want), most: want.min(MAX_BYTES) });
    }
    if bytes.len() < want {
        return Err(SnapshotError::Truncated { have: bytes.len(), want });
    }
    let payload = &bytes[HEADER_BYTES..];
    if checksum(&bytes[..CHECKSUM_AT], payload) != expected {
        return Err(SnapshotError::Corrupt);
    }
    let snapshot: Snapshot = postcard::from_bytes(payload).map_err(|_| SnapshotError::Malformed)?;
    if snapshot.is_sound() { Ok((snapshot, fingerprint)) } else { Err(SnapshotError::Malformed) }
}

/// The appendix of a snapshot that [`decode_any`] can read; empty if there is none.
pub fn appendix(bytes: &[u8]) -> &[u8] {
    let payload = bytes.get(HEADER_BYTES..).unwrap_or_default();
    postcard::take_from_bytes::<Snapshot>(payload).map(|(_snapshot, rest)| rest).unwrap_or_default()
}

/// Decodes a snapshot for use now, under settings of this fingerprint.
///
/// # Errors
/// Why it can't be used.
pub fn decode(bytes: &[u8], fingerprint: u64, now: Duration) -> Result<Snapshot, SnapshotError> {
    decode_moved(bytes, fingerprint, now, 0)
}

/// The same of a process whose clock has to be corrected by so many microseconds.
///
/// # Errors
/// Why it can't be used.
pub fn decode_moved(
    bytes: &[u8],
    fingerprint: u64,
    now: Duration,
    correction_micros: i64,
) -> Result<Snapshot, SnapshotError> {
    let (snapshot, found) = decode_any(bytes)?;
    let snapshot = snapshot.moved(correction_micros);
    if found != fingerprint {
        return Err(SnapshotError::Configuration);
    }
    let ahead = snapshot.taken.saturating_sub(now);
    if ahead > MAX_CLOCK_SKEW {
        return Err(SnapshotError::FromTheFuture(ahead));
    }
    let age = snapshot.age(now);
    if age > AGE_MOST { Err(SnapshotError::TooOld(age)) } else { Ok(snapshot) }
}

/// The old name of [`MAX_BYTES`], for one release.
pub use MAX_BYTES as BYTES_MOST;

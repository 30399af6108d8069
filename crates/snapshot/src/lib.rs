//! The binary format of a [`Snapshot`] of a balancer's learned state. A sidecar sends it to its successor,
//! and stores it in a file for a restart after a crash.
//!
//! A header precedes the payload (postcard). Its fields are little-endian: magic (4 bytes), version (2),
//! the fingerprint of the settings (8), the length of the payload (4), and a CRC-32 of the preceding header
//! fields and the payload (4). Invalid bytes are rejected with a specific [`SnapshotError`], and the
//! process starts without a snapshot.
//!
//! An appendix may follow the snapshot within the payload; builds without appendices ignore it. It contains
//! the clock anchor of the process that took the snapshot, so that a step of the wall clock since then can
//! be corrected.

#![warn(clippy::too_many_lines)]

mod store;

pub use store::{Store, remove_temporary_files, replace_file};

use curlewhub_balance::{MAX_SNAPSHOT_AGE, Settings, Snapshot};
use fnv::FnvHasher;
use std::fmt::Write;
use std::hash::Hasher;
use std::time::Duration;
use thiserror::Error;

const MAGIC: &[u8; 4] = b"CLHS";
/// The format version; raised with each incompatible change of the payload.
const VERSION: u16 = 1;
/// The length of the header in bytes.
const HEADER_BYTES: usize = 22;
// The offsets of the header's fields, in bytes.
const VERSION_OFFSET: usize = 4;
const FINGERPRINT_OFFSET: usize = 6;
const LENGTH_OFFSET: usize = 14;
const CHECKSUM_OFFSET: usize = 18;
/// The maximum length of an encoded snapshot in bytes: 100,000 endpoints take under 10 MiB.
pub const MAX_BYTES: usize = 16 << 20;
/// A snapshot that was taken up to this far in the future is accepted: the wall clock may have been stepped
/// back between two processes.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Why a snapshot can't be used.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SnapshotError {
    /// It is shorter than the header, or shorter than the header states.
    #[error("truncated: {have} bytes of {want}")]
    Truncated {
        /// Its length in bytes.
        have: usize,
        /// The expected length in bytes.
        want: usize,
    },
    /// It is longer than [`MAX_BYTES`], or longer than the header states.
    #[error("too long: {have} bytes, at most {max}")]
    TooLong {
        /// Its length in bytes.
        have: usize,
        /// The maximum length in bytes.
        max: usize,
    },
    /// It does not start with the magic bytes.
    #[error("not a snapshot")]
    NotASnapshot,
    /// It has another format version.
    #[error("of version {0}, not {VERSION}")]
    Version(u16),
    /// It was taken under other settings: another tier, or other classes, tenants or rules.
    #[error("of another tier or configuration")]
    Configuration,
    /// Its checksum does not match its bytes.
    #[error("corrupt: checksum mismatch")]
    Corrupt,
    /// Its payload can't be decoded, or contains values that no balancer can have.
    #[error("malformed")]
    Malformed,
    /// It is older than [`MAX_SNAPSHOT_AGE`], so the state in it is outdated.
    #[error("too old: {} s, at most {}", .0.as_secs(), MAX_SNAPSHOT_AGE.as_secs())]
    TooOld(Duration),
    /// It was taken further in the future than a small step of the clock explains.
    #[error("taken {} s in the future", .0.as_secs())]
    FromTheFuture(Duration),
}

/// The fingerprint of settings. A snapshot is used only under the settings that it was taken under. The
/// fingerprint is a hash of the settings' `Debug` text, so renamed fields change it. It is the same in
/// every process of one build.
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

/// Encodes a snapshot that was taken under settings with this fingerprint.
///
/// # Errors
/// Returns [`SnapshotError::TooLong`] if it would be longer than [`MAX_BYTES`].
pub fn encode(snapshot: &Snapshot, fingerprint: u64) -> Result<Vec<u8>, SnapshotError> {
    encode_with_appendix(snapshot, fingerprint, &[])
}

/// As [`encode`], with an appendix after the snapshot, which [`appendix`] returns.
///
/// # Errors
/// Returns [`SnapshotError::TooLong`] if it would be longer than [`MAX_BYTES`].
pub fn encode_with_appendix(
    snapshot: &Snapshot,
    fingerprint: u64,
    appendix: &[u8],
) -> Result<Vec<u8>, SnapshotError> {
    let mut payload = postcard::to_stdvec(snapshot).map_err(|_| SnapshotError::Malformed)?;
    payload.extend_from_slice(appendix);
    let max = MAX_BYTES - HEADER_BYTES;
    if payload.len() > max {
        return Err(SnapshotError::TooLong { have: payload.len(), max });
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

/// The bytes of the header field at this offset.
fn header_field<const N: usize>(bytes: &[u8], offset: usize) -> Result<[u8; N], SnapshotError> {
    let found = bytes.get(offset..offset + N).and_then(|field| field.try_into().ok());
    found.ok_or(SnapshotError::Truncated { have: bytes.len(), want: HEADER_BYTES })
}

/// Decodes a snapshot without checking its settings and age. Returns it with the fingerprint of its
/// settings.
///
/// # Errors
/// Returns why it can't be decoded.
pub fn decode_any(bytes: &[u8]) -> Result<(Snapshot, u64), SnapshotError> {
    if !bytes.starts_with(&MAGIC[..bytes.len().min(MAGIC.len())]) {
        return Err(SnapshotError::NotASnapshot);
    }
    let version = u16::from_le_bytes(header_field(bytes, VERSION_OFFSET)?);
    if version != VERSION {
        return Err(SnapshotError::Version(version));
    }
    let fingerprint = u64::from_le_bytes(header_field(bytes, FINGERPRINT_OFFSET)?);
    let length = u32::from_le_bytes(header_field(bytes, LENGTH_OFFSET)?) as usize;
    let expected_checksum = u32::from_le_bytes(header_field(bytes, CHECKSUM_OFFSET)?);
    let want = HEADER_BYTES + length;
    if want > MAX_BYTES || bytes.len() > want {
        return Err(SnapshotError::TooLong { have: bytes.len().max(want), max: want.min(MAX_BYTES) });
    }
    if bytes.len() < want {
        return Err(SnapshotError::Truncated { have: bytes.len(), want });
    }
    let payload = &bytes[HEADER_BYTES..];
    if checksum(&bytes[..CHECKSUM_OFFSET], payload) != expected_checksum {
        return Err(SnapshotError::Corrupt);
    }
    let snapshot: Snapshot = postcard::from_bytes(payload).map_err(|_| SnapshotError::Malformed)?;
    if snapshot.is_valid() { Ok((snapshot, fingerprint)) } else { Err(SnapshotError::Malformed) }
}

/// The appendix of a snapshot that [`decode_any`] accepts; empty if there is none.
pub fn appendix(bytes: &[u8]) -> &[u8] {
    let payload = bytes.get(HEADER_BYTES..).unwrap_or_default();
    postcard::take_from_bytes::<Snapshot>(payload).map(|(_snapshot, rest)| rest).unwrap_or_default()
}

/// Decodes a snapshot for use at `now`, in Unix time, under settings with this fingerprint.
///
/// # Errors
/// Returns why it can't be used.
pub fn decode(bytes: &[u8], fingerprint: u64, now: Duration) -> Result<Snapshot, SnapshotError> {
    decode_corrected(bytes, fingerprint, now, 0)
}

/// As [`decode`], after adding `correction_micros` to the snapshot's times. This is the step of the wall
/// clock since the start of the process that took the snapshot.
///
/// # Errors
/// Returns why it can't be used.
pub fn decode_corrected(
    bytes: &[u8],
    fingerprint: u64,
    now: Duration,
    correction_micros: i64,
) -> Result<Snapshot, SnapshotError> {
    let (snapshot, actual_fingerprint) = decode_any(bytes)?;
    let snapshot = snapshot.shifted(correction_micros);
    if actual_fingerprint != fingerprint {
        return Err(SnapshotError::Configuration);
    }
    let ahead = snapshot.taken.saturating_sub(now);
    if ahead > MAX_CLOCK_SKEW {
        return Err(SnapshotError::FromTheFuture(ahead));
    }
    let age = snapshot.age(now);
    if age > MAX_SNAPSHOT_AGE { Err(SnapshotError::TooOld(age)) } else { Ok(snapshot) }
}

/// The old name of [`MAX_BYTES`], for one release.
pub use MAX_BYTES as BYTES_MOST;

/// The old name of [`decode_corrected`], for one release.
pub use decode_corrected as decode_moved;

/// The old name of [`encode_with_appendix`], for one release.
pub use encode_with_appendix as encode_with;

//! The format of a journal file: a header, then slots of one size. All numbers are little-endian.

use crate::clock::ClockAnchor;
use crate::memory::{Entry, MAX_KEYS};
use std::time::Duration;
use thiserror::Error;
use zerocopy::little_endian::{U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

const MAGIC: u32 = u32::from_le_bytes(*b"CLHK");
/// The only format version that is written and read.
const VERSION: u32 = 1;

/// The header of the file.
#[derive(FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned)]
#[repr(C)]
pub(crate) struct Header {
    magic: U32,
    version: U32,
    zones_hash: U64,
}

/// One slot. An empty slot is all zeros. A slot with a window of zero holds no key but the [`ClockAnchor`]
/// of the process: builds without anchors treat it as an expired key and skip it.
#[derive(FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned)]
#[repr(C)]
pub(crate) struct Slot {
    key: U64,
    sent_micros: U64,
    window_micros: U64,
    cell: U64,
    zone: U32,
    /// The CRC-32 of all fields before this one: a kill or a failing disk may leave a half-written slot.
    checksum: U32,
}

impl Slot {
    /// The anchor of a slot with a window of zero; see [`encode_anchor`] for the fields that hold its
    /// parts.
    fn anchor(&self) -> ClockAnchor {
        ClockAnchor {
            boot_id_hash: self.key.get(),
            unix: Duration::from_micros(self.sent_micros.get()),
            since_boot: Duration::from_micros(self.cell.get()),
            suspended_ms: self.zone.get(),
        }
    }

    fn entry(&self) -> Entry {
        Entry {
            key: self.key.get(),
            zone: self.zone.get(),
            cell: self.cell.get(),
            sent: Duration::from_micros(self.sent_micros.get()),
            window: Duration::from_micros(self.window_micros.get()),
        }
    }
}

/// The length of the header in bytes.
pub(crate) const HEADER_BYTES: usize = size_of::<Header>();
/// The length of a slot in bytes.
pub(crate) const SLOT_BYTES: usize = size_of::<Slot>();
/// The maximum number of slots in a file: one for each key, and one for the anchor. Builds without anchors
/// have the same limit.
const MAX_SLOTS: usize = MAX_KEYS + 1;
/// The maximum length of a file in bytes.
pub(crate) const MAX_BYTES: usize = HEADER_BYTES + SLOT_BYTES * MAX_SLOTS;

/// Why a journal file can't be used.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum JournalError {
    /// The header is missing or belongs to another format.
    #[error("not a journal of keys")]
    NotAJournal,
    /// It has another format version.
    #[error("format version {0}, expected {VERSION}")]
    Version(u32),
    /// The process that wrote it numbered the zones differently; see [`crate::zones_hash`].
    #[error("written for other zones")]
    OtherZones,
    /// It is longer than a journal can be.
    #[error("too long: {0} bytes, at most {MAX_BYTES}")]
    TooLong(usize),
}

/// Encodes the header of a file; for `zones_hash` see [`crate::zones_hash`].
pub fn encode_header(zones_hash: u64) -> Vec<u8> {
    Header { magic: MAGIC.into(), version: VERSION.into(), zones_hash: zones_hash.into() }
        .as_bytes()
        .to_vec()
}

/// Encodes a slot with this entry, or an empty one.
pub(crate) fn encode(entry: Option<&Entry>) -> [u8; SLOT_BYTES] {
    let micros = |time: Duration| U64::new(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    entry.map_or([0; SLOT_BYTES], |entry| {
        with_checksum(Slot {
            key: entry.key.into(),
            sent_micros: micros(entry.sent),
            window_micros: micros(entry.window),
            cell: entry.cell.into(),
            zone: entry.zone.into(),
            checksum: U32::ZERO,
        })
    })
}

/// Encodes the slot that holds the process's anchor.
pub(crate) fn encode_anchor(anchor: &ClockAnchor) -> [u8; SLOT_BYTES] {
    with_checksum(Slot {
        key: anchor.boot_id_hash.into(),
        sent_micros: (anchor.unix.as_micros() as u64).into(),
        window_micros: U64::ZERO,
        cell: (anchor.since_boot.as_micros() as u64).into(),
        zone: anchor.suspended_ms.into(),
        checksum: U32::ZERO,
    })
}

fn with_checksum(mut slot: Slot) -> [u8; SLOT_BYTES] {
    slot.checksum = checksum(&slot).into();
    let mut bytes = [0; SLOT_BYTES];
    bytes.copy_from_slice(slot.as_bytes());
    bytes
}

fn checksum(slot: &Slot) -> u32 {
    let covered = SLOT_BYTES - size_of::<U32>();
    crc32fast::hash(&slot.as_bytes()[..covered])
}

/// The contents of a journal file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JournalContents {
    /// The entries, in the order of their slots.
    pub entries: Vec<Entry>,
    /// The number of slots that are not empty and have no valid checksum.
    pub corrupt: usize,
    /// The clock of the process that wrote the file; none if an older build wrote it.
    pub anchor: Option<ClockAnchor>,
}

/// Decodes the bytes of a journal file. Corrupt slots are counted and skipped.
///
/// # Errors
/// Returns why the file as a whole can't be used.
pub fn decode(bytes: &[u8], zones_hash: u64) -> Result<JournalContents, JournalError> {
    if bytes.len() > MAX_BYTES {
        return Err(JournalError::TooLong(bytes.len()));
    }
    let (header, slots) = Header::ref_from_prefix(bytes).map_err(|_| JournalError::NotAJournal)?;
    if header.magic.get() != MAGIC {
        return Err(JournalError::NotAJournal);
    }
    if header.version.get() != VERSION {
        return Err(JournalError::Version(header.version.get()));
    }
    if header.zones_hash.get() != zones_hash {
        return Err(JournalError::OtherZones);
    }
    let mut contents = JournalContents::default();
    for bytes in slots.chunks(SLOT_BYTES) {
        match Slot::ref_from_bytes(bytes) {
            Ok(slot) if slot.checksum.get() == checksum(slot) => {
                if slot.window_micros.get() == 0 {
                    contents.anchor = Some(slot.anchor());
                } else {
                    contents.entries.push(slot.entry());
                }
            }
            _ => contents.corrupt += usize::from(bytes.iter().any(|byte| *byte != 0)),
        }
    }
    Ok(contents)
}

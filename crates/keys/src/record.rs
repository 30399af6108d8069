//! A file of records: a head, and slots of one size.

use crate::memory::{Entry, MOST};
use std::time::Duration;
use thiserror::Error;
use zerocopy::little_endian::{U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

const MAGIC: u32 = u32::from_le_bytes(*b"CLHK");
/// The form of file that this version writes and reads.
const VERSION: u32 = 1;

/// In front of the slots.
#[derive(FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned)]
#[repr(C)]
pub(crate) struct Head {
    magic: U32,
    version: U32,
    mark: U64,
}

/// One slot. All zeros is a blank one.
#[derive(FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned)]
#[repr(C)]
pub(crate) struct Slot {
    key: U64,
    sent_micros: U64,
    window_micros: U64,
    cell: U64,
    zone: U32,
    /// CRC-32 of all before: a record may be torn by a crash of the machine.
    sum: U32,
}

/// Bytes of the head.
pub(crate) const HEAD: usize = size_of::<Head>();
/// Bytes of a slot.
pub(crate) const SLOT: usize = size_of::<Slot>();
/// No file is longer.
pub(crate) const BYTES_MOST: usize = HEAD + SLOT * MOST;

/// Why a file is no use.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum Refused {
    /// It has no head, or another one.
    #[error("not a journal of keys")]
    NotOne,
    /// Another version wrote it.
    #[error("of version {0}, not {VERSION}")]
    Version(u32),
    /// It numbers zones otherwise.
    #[error("of other zones")]
    Zones,
    /// It is longer than any.
    #[error("too long: {0} bytes, at most {BYTES_MOST}")]
    TooLong(usize),
}

/// The bytes that a file for zones of this mark begins with.
pub fn encode_head(mark: u64) -> Vec<u8> {
    Head { magic: MAGIC.into(), version: VERSION.into(), mark: mark.into() }.as_bytes().to_vec()
}

pub(crate) fn encode(entry: Option<&Entry>) -> [u8; SLOT] {
    let micros = |time: Duration| U64::new(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    let mut bytes = [0; SLOT];
    if let Some(entry) = entry {
        let mut slot = Slot {
            key: entry.key.into(),
            sent_micros: micros(entry.sent),
            window_micros: micros(entry.window),
            cell: entry.cell.into(),
            zone: entry.zone.into(),
            sum: U32::ZERO,
        };
        slot.sum = sum(&slot).into();
        bytes.copy_from_slice(slot.as_bytes());
    }
    bytes
}

fn sum(slot: &Slot) -> u32 {
    let before = SLOT - size_of::<U32>();
    crc32fast::hash(&slot.as_bytes()[..before])
}

/// The entries of a file's bytes, and how many slots are neither whole nor blank.
///
/// # Errors
/// Why the file is no use.
pub fn read(bytes: &[u8], mark: u64) -> Result<(Vec<Entry>, usize), Refused> {
    if bytes.len() > BYTES_MOST {
        return Err(Refused::TooLong(bytes.len()));
    }
    let (head, rest) = Head::ref_from_prefix(bytes).map_err(|_| Refused::NotOne)?;
    if head.magic.get() != MAGIC {
        return Err(Refused::NotOne);
    }
    if head.version.get() != VERSION {
        return Err(Refused::Version(head.version.get()));
    }
    if head.mark.get() != mark {
        return Err(Refused::Zones);
    }
    let (mut entries, mut spoilt) = (Vec::new(), 0);
    for bytes in rest.chunks(SLOT) {
        match Slot::ref_from_bytes(bytes) {
            Ok(slot) if slot.sum.get() == sum(slot) => entries.push(Entry {
                key: slot.key.get(),
                zone: slot.zone.get(),
                cell: slot.cell.get(),
                sent: Duration::from_micros(slot.sent_micros.get()),
                window: Duration::from_micros(slot.window_micros.get()),
            }),
            _ => spoilt += usize::from(bytes.iter().any(|byte| *byte != 0)),
        }
    }
    Ok((entries, spoilt))
}

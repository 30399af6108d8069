//! Comparison of the anchored Unix clocks of two processes of one boot.
//!
//! Each process reads the wall clock once, at its start, and adds the time that passes on the monotonic
//! clock. If the wall clock is stepped between two starts, the clocks of the two processes differ by that
//! step. A [`ClockAnchor`] records the same moment on the clock of the boot as well, so that the step can be
//! computed and removed.

use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;
use zerocopy::little_endian::{U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// The clocks of two processes are not compared if the machine was suspended between their starts for
/// longer than this: the monotonic clock of a process stands still during a suspension. The two clocks of a
/// process are read one after the other, so some tolerance is needed.
const MAX_SUSPENDED_DIFFERENCE_MS: u32 = 100;

/// One moment at the start of a process, on its own clock and on that of the boot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockAnchor {
    /// The hash of the boot's id.
    pub boot_id_hash: u64,
    /// The moment in Unix time, by the wall clock that the process read at its start.
    pub unix: Duration,
    /// The moment on the clock of the boot, `CLOCK_BOOTTIME`.
    pub since_boot: Duration,
    /// For how long the machine had been suspended since its boot, in milliseconds modulo 2^32.
    pub suspended_ms: u32,
}

/// The binary format of an anchor outside of journals: snapshots contain it as their appendix.
#[derive(FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned)]
#[repr(C)]
struct AnchorBytes {
    magic: U32,
    boot_id_hash: U64,
    unix_micros: U64,
    since_boot_micros: U64,
    suspended_ms: U32,
}

const ANCHOR_MAGIC: u32 = u32::from_le_bytes(*b"CLKA");

impl ClockAnchor {
    /// An anchor in the boot with this id; `monotonic` is the same moment on `CLOCK_MONOTONIC`.
    pub fn new(boot_id: &[u8], unix: Duration, since_boot: Duration, monotonic: Duration) -> ClockAnchor {
        let suspended_ms = since_boot.saturating_sub(monotonic).as_millis() as u32;
        ClockAnchor { boot_id_hash: xxh3_64(boot_id), unix, since_boot, suspended_ms }
    }

    /// What has to be added to a time of another process, in microseconds, to get the same moment on the
    /// clock of this process. None if the two can't be compared, because they belong to different boots or
    /// the machine was suspended in between.
    pub fn correction_micros(&self, other: &ClockAnchor) -> Option<i64> {
        let forward = self.suspended_ms.wrapping_sub(other.suspended_ms);
        let difference = forward.min(forward.wrapping_neg());
        if self.boot_id_hash != other.boot_id_hash || difference > MAX_SUSPENDED_DIFFERENCE_MS {
            return None;
        }
        let offset =
            |anchor: &ClockAnchor| anchor.unix.as_micros() as i128 - anchor.since_boot.as_micros() as i128;
        i64::try_from(offset(self) - offset(other)).ok()
    }

    /// Encodes the anchor.
    pub fn to_bytes(&self) -> Vec<u8> {
        AnchorBytes {
            magic: ANCHOR_MAGIC.into(),
            boot_id_hash: self.boot_id_hash.into(),
            unix_micros: (self.unix.as_micros() as u64).into(),
            since_boot_micros: (self.since_boot.as_micros() as u64).into(),
            suspended_ms: self.suspended_ms.into(),
        }
        .as_bytes()
        .to_vec()
    }

    /// Decodes an anchor; none if the bytes do not encode one.
    pub fn from_bytes(bytes: &[u8]) -> Option<ClockAnchor> {
        let fields = AnchorBytes::ref_from_bytes(bytes).ok()?;
        (fields.magic.get() == ANCHOR_MAGIC).then(|| ClockAnchor {
            boot_id_hash: fields.boot_id_hash.get(),
            unix: Duration::from_micros(fields.unix_micros.get()),
            since_boot: Duration::from_micros(fields.since_boot_micros.get()),
            suspended_ms: fields.suspended_ms.get(),
        })
    }
}

/// A Unix time shifted by this many microseconds; zero if the result would be negative.
pub fn shift(time: Duration, micros: i64) -> Duration {
    let by = Duration::from_micros(micros.unsigned_abs());
    if micros < 0 { time.saturating_sub(by) } else { time.saturating_add(by) }
}

//! Comparison of the anchored Unix clocks of two processes of one boot.
//!
//! Each process reads the wall clock once, at its start, and counts on from there by the monotonic clock. If the wall
//! clock is stepped between two starts, the two processes differ by that step. A [`ClockAnchor`] names the same moment
//! on the clock of the boot as well, so that the step can be computed and removed.

use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;
use zerocopy::little_endian::{U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Two processes whose machine has slept for times that differ by more than this are not compared: the clock of a
/// process stands still while the machine sleeps. The two clocks are read one after the other, so some tolerance is
/// needed.
const MAX_SUSPENDED_DIFFERENCE_MS: u32 = 100;

/// One moment at the start of a process, on its own clock and on that of the boot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockAnchor {
    /// The hash of the boot's id.
    pub boot: u64,
    /// The moment in Unix time, as this process takes it.
    pub unix: Duration,
    /// The moment on the clock of the boot, `CLOCK_BOOTTIME`.
    pub since_boot: Duration,
    /// For how long the machine had slept by then, in milliseconds, modulo 2^32.
    pub suspended_ms: u32,
}

/// The bytes of an anchor, outside a journal.
#[derive(FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned)]
#[repr(C)]
struct AnchorBytes {
    magic: U32,
    boot: U64,
    unix_micros: U64,
    since_boot_micros: U64,
    suspended_ms: U32,
}

const ANCHOR_MAGIC: u32 = u32::from_le_bytes(*b"CLKA");

impl ClockAnchor {
    /// An anchor of the boot of this id. `monotonic` is the moment on `CLOCK_MONOTONIC`.
    pub fn new(boot_id: &[u8], unix: Duration, since_boot: Duration, monotonic: Duration) -> ClockAnchor {
        let suspended_ms = since_boot.saturating_sub(monotonic).as_millis() as u32;
        ClockAnchor { boot: xxh3_64(boot_id), unix, since_boot, suspended_ms }
    }

    /// What has to be added to a time of another process, in microseconds, to get the same moment on the clock of this
    /// process. None if the two can't be compared: they belong to different boots, or the machine slept in between.
    pub fn correction_micros(&self, other: &ClockAnchor) -> Option<i64> {
        let forward = self.suspended_ms.wrapping_sub(other.suspended_ms);
        let difference = forward.min(forward.wrapping_neg());
        if self.boot != other.boot || difference > MAX_SUSPENDED_DIFFERENCE_MS {
            return None;
        }
        let offset =
            |anchor: &ClockAnchor| anchor.unix.as_micros() as i128 - anchor.since_boot.as_micros() as i128;
        i64::try_from(offset(self) - offset(other)).ok()
    }

    /// The bytes of the anchor.
    pub fn to_bytes(&self) -> Vec<u8> {
        AnchorBytes {
            magic: ANCHOR_MAGIC.into(),
            boot: self.boot.into(),
            unix_micros: (self.unix.as_micros() as u64).into(),
            since_boot_micros: (self.since_boot.as_micros() as u64).into(),
            suspended_ms: self.suspended_ms.into(),
        }
        .as_bytes()
        .to_vec()
    }

    /// The anchor of these bytes; none if they are not those of an anchor.
    pub fn from_bytes(bytes: &[u8]) -> Option<ClockAnchor> {
        let read = AnchorBytes::ref_from_bytes(bytes).ok()?;
        (read.magic.get() == ANCHOR_MAGIC).then(|| ClockAnchor {
            boot: read.boot.get(),
            unix: Duration::from_micros(read.unix_micros.get()),
            since_boot: Duration::from_micros(read.since_boot_micros.get()),
            suspended_ms: read.suspended_ms.get(),
        })
    }
}

/// A time moved by this many microseconds; zero if it would be before Unix time began.
pub fn shift(time: Duration, micros: i64) -> Duration {
    let by = Duration::from_micros(micros.unsigned_abs());
    if micros < 0 { time.saturating_sub(by) } else { time.saturating_add(by) }
}

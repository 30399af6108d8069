//! The process's clock: the single source of the balancer's times.

use curlewhub_keys::ClockAnchor;
use rustix::time::{ClockId, DynamicClockId, clock_gettime, clock_gettime_dynamic};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// File that holds the id of the machine's boot.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// Attempts at reading the clocks together at the start.
const MAX_START_ATTEMPTS: usize = 5;
/// Maximum duration of reading the clocks together at the start.
const MAX_GAP: Duration = Duration::from_millis(1);
/// Maximum difference between the elapsed times of the two clocks: they are read one after the other, and the process may
/// be suspended in between.
const MAX_DRIFT: Duration = Duration::from_millis(100);

/// A monotonic clock that reads Unix time at its start, so that it compares with the start times of endpoints. Later steps
/// of the wall clock do not affect it.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// Unix time at the start.
    unix_at_start: Duration,
    /// The start on the clocks of the machine's boot; none if they could not be read together.
    anchor: Option<ClockAnchor>,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        let boot_id = std::fs::read(BOOT_ID).ok();
        let monotonic = Duration::try_from(clock_gettime(ClockId::Monotonic)).ok();
        let mut clock = Clock { start: Instant::now(), unix_at_start: Duration::ZERO, anchor: None };
        for _ in 0..MAX_START_ATTEMPTS {
            let before = since_boot();
            clock.unix_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            clock.start = Instant::now();
            // Else the process was suspended between two readings.
            let together = since_boot()
                .zip(before)
                .is_some_and(|(after, before)| after.saturating_sub(before) <= MAX_GAP);
            let parts = boot_id.as_ref().zip(before).zip(monotonic).filter(|_| together);
            clock.anchor = parts.map(|((boot_id, since_boot), monotonic)| {
                ClockAnchor::new(boot_id, clock.unix_at_start, since_boot, monotonic)
            });
            if clock.anchor.is_some() {
                break;
            }
        }
        clock
    }

    /// The current time, as time since the Unix epoch.
    pub fn now(&self) -> Duration {
        self.unix_at_start + self.start.elapsed()
    }

    /// The start of this clock in relation to the machine's boot, for comparison with other processes. None if the clocks
    /// have diverged since: the machine was suspended, or one of them is being adjusted.
    pub fn anchor(&self) -> Option<ClockAnchor> {
        let (anchor, since_boot) = (self.anchor?, since_boot()?);
        let elapsed = since_boot.checked_sub(anchor.since_boot)?;
        (elapsed.abs_diff(self.start.elapsed()) <= MAX_DRIFT).then_some(anchor)
    }
}

/// Time since the machine's boot, suspension included; none if it can't be read.
fn since_boot() -> Option<Duration> {
    Duration::try_from(clock_gettime_dynamic(DynamicClockId::Boottime).ok()?).ok()
}

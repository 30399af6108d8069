//! The one clock that the module's times are read from.

use curlewhub_keys::ClockAnchor;
use rustix::time::{ClockId, DynamicClockId, clock_gettime, clock_gettime_dynamic};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The id of the machine's boot, as Linux tells it.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// One monotonic clock, anchored once to Unix time so that endpoints' start times compare with it.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Duration,
    anchor: Option<ClockAnchor>,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let boot_id = std::fs::read(BOOT_ID).ok();
        let monotonic = Duration::try_from(clock_gettime(ClockId::Monotonic)).ok();
        let mut clock = Clock { start: Instant::now(), unix: Duration::ZERO, anchor: None };
        for _ in 0..START_ATTEMPTS {
            let before = since_boot();
            clock.unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            clock.start = Instant::now();
            // Otherwise the process was held up between two readings.
            let together = since_boot()
                .zip(before)
                .is_some_and(|(after, before)| after.saturating_sub(before) <= MAX_GAP);
            let parts = boot_id.as_ref().zip(before).zip(monotonic).filter(|_| together);
            clock.anchor = parts.map(|((boot_id, since_boot), monotonic)| {
                ClockAnchor::new(boot_id, clock.unix, since_boot, monotonic)
            });
            if clock.anchor.is_some() {
                break;
            }
        }
        clock
    }

    /// The time now.
    pub fn now(&self) -> Duration {
        self.unix + self.start.elapsed()
    }

    /// The start of this clock on that of the boot, for comparison with other processes. None where the two have not
    /// run alike since: the machine has slept, or somebody leads one of them.
    pub fn anchor(&self) -> Option<ClockAnchor> {
        let (anchor, since_boot) = (self.anchor?, since_boot()?);
        let elapsed = since_boot.checked_sub(anchor.since_boot)?;
        (elapsed.abs_diff(self.start.elapsed()) <= MAX_DRIFT).then_some(anchor)
    }
}

/// The clocks are read again, so many times at the most, if more than this passes while they are read at the start.
const START_ATTEMPTS: usize = 5;
const MAX_GAP: Duration = Duration::from_millis(1);
/// The clock of the boot and that of the process are read one after the other; a process may be held up in between.
const MAX_DRIFT: Duration = Duration::from_millis(100);

/// The clock of the boot; none where it can't be read. All of its uses do without.
fn since_boot() -> Option<Duration> {
    Duration::try_from(clock_gettime_dynamic(DynamicClockId::Boottime).ok()?).ok()
}

//! The one clock that the module's times are read from.

use curlewhub_keys::ClockAnchor;
use rustix::time::{ClockId, clock_gettime};
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
        let (monotonic, since_boot) = (read(ClockId::Monotonic), read(ClockId::Boottime));
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let anchor = boot_id.map(|id| ClockAnchor::new(&id, unix, since_boot, monotonic));
        Clock { start: Instant::now(), unix, anchor }
    }

    /// The time now.
    pub fn now(&self) -> Duration {
        self.unix + self.start.elapsed()
    }

    /// The start of this clock on that of the boot, for comparison with other processes. None where the two have not
    /// run alike since: the machine has slept, or somebody leads one of them.
    pub fn anchor(&self) -> Option<ClockAnchor> {
        let elapsed = |anchor: &ClockAnchor| read(ClockId::Boottime).checked_sub(anchor.since_boot);
        self.anchor.filter(|anchor| {
            elapsed(anchor).is_some_and(|boot| boot.abs_diff(self.start.elapsed()) <= MAX_DRIFT)
        })
    }
}

/// The clock of the boot and that of the process are read one after the other; a process may be held up in between.
const MAX_DRIFT: Duration = Duration::from_millis(100);

fn read(clock: ClockId) -> Duration {
    Duration::try_from(clock_gettime(clock)).unwrap_or_default()
}

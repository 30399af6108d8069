//! When a process that others have declared down rejoins.

use std::time::Duration;

/// Delay of the first rejoin.
const MIN_DELAY: Duration = Duration::from_millis(100);
/// The longest delay of a rejoin.
const MAX_DELAY: Duration = Duration::from_secs(3);
/// Without a rejoin for this long, the delay is back at its minimum.
const RESET_AFTER: Duration = Duration::from_secs(10);

/// A backoff: two halves of a fleet that meet after a partition declare each other down several times over.
pub(super) struct RejoinBackoff {
    delay: Duration,
    last_rejoin_at: Duration,
}

impl RejoinBackoff {
    pub(super) fn new(now: Duration) -> RejoinBackoff {
        RejoinBackoff { delay: MIN_DELAY, last_rejoin_at: now }
    }

    /// How long to wait before the next rejoin.
    pub(super) fn delay(&self) -> Duration {
        self.delay
    }

    /// The process rejoins now; the next delay is half as long again.
    pub(super) fn rejoined(&mut self, now: Duration) {
        let is_reset = now >= self.last_rejoin_at + RESET_AFTER;
        self.delay = if is_reset { MIN_DELAY } else { (self.delay * 3 / 2).min(MAX_DELAY) };
        self.last_rejoin_at = now;
    }
}

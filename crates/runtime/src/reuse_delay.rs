//! How long a connection to an endpoint is left unused after a response. Bytes that belong to nobody, such as a second copy of
//! the response, may arrive some milliseconds behind it; on a connection that is in use again by then, they would be taken
//! for the response to the next request.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The delay while no such bytes have come late.
pub const REUSE_DELAY: Duration = Duration::from_millis(10);
/// The delay is this many times the lateness that was seen, as others may come later still.
const LATENESS_FACTOR: u32 = 2;
/// Limit of the delay: bytes that come later than half of it have another cause.
const MAX_REUSE_DELAY: Duration = Duration::from_millis(60);
/// A lateness is remembered for this long.
const MEMORY: Duration = Duration::from_secs(300);

/// The delay that is in force at all endpoints.
#[derive(Debug, Default)]
pub struct ReuseDelay {
    /// The longest delay that late bytes have called for, and until when it holds.
    raised: Cell<Option<(Duration, Instant)>>,
}

impl ReuseDelay {
    /// The delay that is in force now.
    pub fn current(&self, now: Instant) -> Duration {
        self.raised.get().filter(|(_, until)| now < *until).map_or(REUSE_DELAY, |(delay, _)| delay)
    }

    /// Records that bytes came this long behind a response, on a connection that was not in use.
    pub fn record_late_bytes(&self, lateness: Duration, now: Instant) {
        let wanted = lateness * LATENESS_FACTOR;
        let current = self.current(now);
        if lateness.is_zero() || wanted > MAX_REUSE_DELAY || wanted < current {
            return;
        }
        self.raised.set(Some((wanted, now + MEMORY)));
    }
}

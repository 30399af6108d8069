//! Learns whether connections that have been idle for a while are reset at their next request, and if so
//! limits their idle time.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;
use tracing::warn;

/// A connection that has been idle for this long is aged: a middlebox or the endpoint may have dropped it
/// well before the stated idle timeout, and resets the next request on it.
pub(crate) const AGED: Duration = Duration::from_millis(100);
/// Aged connections are no longer used after this many resets on them, less `RESPONSE_WEIGHT` for each
/// response on one ...
const MAX_RESETS: f64 = 2.0;
const RESPONSE_WEIGHT: f64 = 0.05;
/// ... for this long. A reset loses an unsafe request for good; a new connection only costs a handshake.
const PAUSE: Duration = Duration::from_secs(30);

/// The resets of aged connections, and until when such connections are not used.
#[derive(Default)]
pub(crate) struct AgedConnections {
    resets: Cell<f64>,
    unused_until: Cell<Option<Instant>>,
}

impl AgedConnections {
    /// The idle time up to which a connection may be reused now, at most `limit`.
    pub fn idle_limit(&self, limit: Duration) -> Duration {
        let is_paused = self.unused_until.get().is_some_and(|until| Instant::now() < until);
        if is_paused { AGED.min(limit) } else { limit }
    }

    /// Records how an attempt on an aged connection ended.
    pub fn record(&self, reset: bool) {
        let change = if reset { 1.0 } else { -RESPONSE_WEIGHT };
        let resets = (self.resets.get() + change).max(0.0);
        self.resets.set(resets);
        if resets >= MAX_RESETS {
            // One more reset is enough to stop their use again after the pause.
            self.resets.set(MAX_RESETS - 1.0);
            self.unused_until.set(Some(Instant::now() + PAUSE));
            warn!(
                seconds = PAUSE.as_secs(),
                "aged connections are reset at the next request: not used for a while"
            );
        }
    }
}

//! Learns whether connections that have been idle for a while are reset at their next request, and limits their idle
//! time where they are.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;
use tracing::warn;

/// A connection idle for this long is aged: something on the way, or the endpoint, may have dropped it
/// well before the stated time, and resets the next request on it.
pub(crate) const AGED: Duration = Duration::from_millis(100);
/// So many resets of aged connections, less a part of one for each answer on one, and they are given up ...
const RESETS: f64 = 2.0;
const ANSWER: f64 = 0.05;
/// ... for this long: a reset loses an unsafe request for good, a new connection only costs a handshake.
const PAUSE: Duration = Duration::from_secs(30);

/// What speaks against aged connections, and until when they are not used.
#[derive(Default)]
pub(crate) struct AgedConnections {
    resets: Cell<f64>,
    unused_until: Cell<Option<Instant>>,
}

impl AgedConnections {
    /// The idle time up to which a connection may be used now, where it is at most this one.
    pub fn idle_limit(&self, most: Duration) -> Duration {
        let paused = self.unused_until.get().is_some_and(|until| Instant::now() < until);
        if paused { AGED.min(most) } else { most }
    }

    /// Lets the end of an attempt on an aged connection speak for or against them all.
    pub fn record(&self, reset: bool) {
        let change = if reset { 1.0 } else { -ANSWER };
        let resets = (self.resets.get() + change).max(0.0);
        self.resets.set(resets);
        if resets >= RESETS {
            // One more is enough to give them up again after the pause.
            self.resets.set(RESETS - 1.0);
            self.unused_until.set(Some(Instant::now() + PAUSE));
            warn!(
                seconds = PAUSE.as_secs(),
                "aged connections are reset at the next request: not used for a while"
            );
        }
    }
}

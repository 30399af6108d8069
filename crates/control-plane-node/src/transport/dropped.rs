//! Received messages that are dropped because they can't be decoded or authenticated.

use curlewhub_control_plane::protocol::DecodeError;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tracing::warn;

/// Shortest interval between two log events of dropped messages: anybody can send such messages, at any rate.
const WARNING_INTERVAL: Duration = Duration::from_secs(60);

/// Counters of dropped messages.
#[derive(Debug, Default)]
pub struct DroppedMessages {
    counts: RefCell<BTreeMap<DecodeError, u64>>,
    warned_at: Cell<Option<Instant>>,
}

impl DroppedMessages {
    /// Counts a message, and logs the counters where the last log event is long enough ago. `from` is the sender's address,
    /// where it is known.
    pub(super) fn record(&self, why: DecodeError, from: Option<SocketAddr>) {
        *self.counts.borrow_mut().entry(why).or_default() += 1;
        let now = Instant::now();
        if self.warned_at.get().is_none_or(|warned_at| now >= warned_at + WARNING_INTERVAL) {
            self.warned_at.set(Some(now));
            warn!(?from, %why, all = ?self.counts(), "fleet: message dropped");
        }
    }

    /// The counters by reason.
    pub fn counts(&self) -> BTreeMap<DecodeError, u64> {
        self.counts.borrow().clone()
    }
}

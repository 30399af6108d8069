//! A token bucket over the bytes that a process sends to others.

use std::time::Duration;

/// Limits what is sent to a rate in bytes per second, with bursts of up to one second's worth.
#[derive(Clone, Debug)]
pub(crate) struct SendBudget {
    bytes_per_s: f64,
    available: f64,
    refilled_at: Duration,
}

impl SendBudget {
    /// A full budget.
    pub(crate) fn new(bytes_per_s: f64, now: Duration) -> SendBudget {
        SendBudget { bytes_per_s, available: bytes_per_s, refilled_at: now }
    }

    /// Adds what has accrued since the last refill.
    pub(crate) fn refill(&mut self, now: Duration) {
        let accrued = self.bytes_per_s * now.saturating_sub(self.refilled_at).as_secs_f64();
        self.available = (self.available + accrued).min(self.bytes_per_s);
        self.refilled_at = now;
    }

    /// Takes `bytes` if they are available. A message larger than a full budget is let through once the budget is full, as
    /// it could never be sent otherwise; the budget is then negative until it has been paid back.
    pub(crate) fn try_take(&mut self, bytes: f64) -> bool {
        if bytes > self.available && self.available < self.bytes_per_s {
            return false;
        }
        self.available -= bytes;
        true
    }
}

//! The share of a sidecar's limits that this process uses while another process of the sidecar also serves.
//!
//! Windows move with the share: each part that moves carries its giver's windows, and the receiver takes
//! the mean of both, weighted by share. So `share * window`, summed over both processes, stays the same
//! when parts move, and answers change it as much as they would change one process's window.

use super::{Balancer, MAX_RETRY_TOKENS, ShareTransfer};
use crate::types::Action;
use std::time::Duration;

impl Balancer {
    /// Starts without a share, because another process holds all of it.
    pub fn begin_without_share(&mut self, now: Duration) {
        self.set_share(now, 0.0);
        self.retry_tokens = 0.0;
    }

    /// Reduces the share to `share`. Returns the state that moves with the rest.
    pub fn release_share(&mut self, now: Duration, share: f64) -> ShareTransfer {
        let kept = if self.share > 0.0 { (share / self.share).min(1.0) } else { 1.0 };
        let retries = self.retry_tokens * (1.0 - kept);
        self.retry_tokens -= retries;
        self.set_share(now, share);
        ShareTransfer { windows: self.windows.map(|window| (window.size, window.ramping_up)), retries }
    }

    /// Increases the share to `share` and takes the state that moves with it; there is none if the other
    /// process has exited.
    pub fn acquire_share(
        &mut self,
        now: Duration,
        share: f64,
        transfer: Option<&ShareTransfer>,
        out: &mut Vec<Action>,
    ) {
        let weight = if share > 0.0 { 1.0 - (self.share / share).min(1.0) } else { 0.0 };
        if let Some(transfer) = transfer {
            for (window, (size, ramping_up)) in self.windows.iter_mut().zip(transfer.windows) {
                window.size = (window.size + weight * (size - window.size)).max(1.0);
                window.ramping_up =
                    if self.share > 0.0 { window.ramping_up && ramping_up } else { ramping_up };
            }
            self.retry_tokens += transfer.retries;
        }
        self.set_share(now, share);
        self.retry_tokens = self.retry_tokens.min(MAX_RETRY_TOKENS * self.share);
        self.dispatch_queued(now, out);
    }

    fn set_share(&mut self, now: Duration, share: f64) {
        // Until now the cold budget has grown by the old share.
        for i in 0..self.endpoints.len() {
            if self.warm_fraction(now, i) < 1.0 {
                let tokens = self.cold_tokens(now, i);
                (self.endpoints[i].cold_tokens, self.endpoints[i].cold_tokens_at) = (tokens, now);
            }
        }
        self.share = share;
    }
}

#[cfg(test)]
mod tests;

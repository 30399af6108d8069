//! A share of what one sidecar may use, while another process of it serves beside this one.
//!
//! Windows move with the share: each part that is given carries its giver's windows, and whoever gets it
//! takes the mean of both by weight. So `share * window`, summed over both processes, stays what it was when
//! parts move, and answers change it by what they would change one process's.

use super::{Balancer, RETRY_SAVED, ShareTransfer};
use crate::types::Action;
use std::time::Duration;

impl Balancer {
    /// Another process holds everything: this one begins with nothing.
    pub fn begin_without_share(&mut self, now: Duration) {
        self.set_share(now, 0.0);
        self.retry_tokens = 0.0;
    }

    /// Keeps this share, which is less than before; gives what goes along with the rest.
    pub fn release_share(&mut self, now: Duration, share: f64) -> ShareTransfer {
        let kept = if self.share > 0.0 { (share / self.share).min(1.0) } else { 1.0 };
        let retries = self.retry_tokens * (1.0 - kept);
        self.retry_tokens -= retries;
        self.set_share(now, share);
        ShareTransfer { windows: self.windows.map(|window| (window.size, window.opening)), retries }
    }

    /// Has this share from now on, which is more than before, and what goes along with it; nothing does where
    /// the other process has gone.
    pub fn acquire_share(
        &mut self,
        now: Duration,
        share: f64,
        portion: Option<&ShareTransfer>,
        out: &mut Vec<Action>,
    ) {
        let weight = if share > 0.0 { 1.0 - (self.share / share).min(1.0) } else { 0.0 };
        if let Some(portion) = portion {
            for (window, (size, opening)) in self.windows.iter_mut().zip(portion.windows) {
                window.size = (window.size + weight * (size - window.size)).max(1.0);
                window.opening = if self.share > 0.0 { window.opening && opening } else { opening };
            }
            self.retry_tokens += portion.retries;
        }
        self.set_share(now, share);
        self.retry_tokens = self.retry_tokens.min(RETRY_SAVED * self.share);
        self.release_held(now, out);
    }

    fn set_share(&mut self, now: Duration, share: f64) {
        // What cold endpoints may be sent has grown by the old share until now.
        for i in 0..self.endpoints.len() {
            if self.warmth(now, i) < 1.0 {
                let tokens = self.cold_tokens(now, i);
                (self.endpoints[i].cold_tokens, self.endpoints[i].cold_at) = (tokens, now);
            }
        }
        self.share = share;
    }
}

#[cfg(test)]
mod tests;

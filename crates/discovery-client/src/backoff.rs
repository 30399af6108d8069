//! Waits between calls that fail.

use crate::timing::{MAX_BACKOFF, MAX_JITTER};
use curlewhub_balance::{RefusalCause, refusal_retry_delay};
use std::time::Duration;

/// Wait before the first call after a failure, counted from the start of the one that failed; doubles with each.
const FIRST_WAIT: Duration = Duration::from_millis(250);
/// Doublings of that wait. Discovery answers calls one after another, and what it turns away costs it least: a longer
/// wait would only leave it idle after it is back, and what it has not notified.
const DOUBLINGS: u32 = 2;
/// The jitter about a wait, as parts of it: callers that failed together do not come again together.
const JITTER: (f64, f64) = (0.5, 1.5);
const _: () = assert!(FIRST_WAIT.as_millis() * (1 << DOUBLINGS) * 3 / 2 == MAX_BACKOFF.as_millis());

/// How long to wait between calls that fail.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
    refusals: u32,
}

impl Backoff {
    /// Discovery answered: the next failure is a first one.
    pub fn reset(&mut self) {
        *self = Backoff::default();
    }

    /// The wait behind a call that discovery refused after it took so long, by a draw from 0 to 1: too many call, and
    /// each further call takes another caller's turn.
    pub fn after_refusal(&mut self, cause: RefusalCause, took: Duration, draw: f64) -> Duration {
        let wait = refusal_retry_delay(self.refusals, cause, took, draw);
        self.refusals = self.refusals.saturating_add(1);
        self.failures = self.failures.saturating_add(1);
        wait
    }

    /// The wait behind a call that failed otherwise after it took so long, by a draw from 0 to 1. A call that waited in
    /// discovery's queue has let others go first already.
    pub fn after_failure(&mut self, took: Duration, draw: f64) -> Duration {
        let doubled = FIRST_WAIT * (1 << self.failures.min(DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        spread(doubled, took, draw)
    }

    /// The wait behind a call that this machine could not make, by a draw from 0 to 1: it was no burden to discovery,
    /// and counts as no failure of discovery's.
    pub fn after_local_error(&self, took: Duration, draw: f64) -> Duration {
        spread(FIRST_WAIT, took, draw)
    }
}

/// What is left of a wait with its jitter behind a call that took so long.
fn spread(wait: Duration, took: Duration, draw: f64) -> Duration {
    let (least, most) = JITTER;
    let jittered = wait.mul_f64(least + (most - least) * draw);
    jittered.saturating_sub(took).max(MAX_JITTER.mul_f64(draw))
}

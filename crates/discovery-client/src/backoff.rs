//! Backoff between failed calls.

use crate::timing::{MAX_BACKOFF, MAX_JITTER};
use curlewhub_balance::{RefusalCause, refusal_retry_delay};
use std::time::Duration;

/// The wait after the first failure, counted from the start of the failed call. It doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// How often the wait doubles. Discovery answers calls one after another, and a refused call costs it least. A longer
/// wait would only leave discovery idle after an outage, while its changes are not notified.
const MAX_DOUBLINGS: u32 = 2;
/// The range of the jitter, as factors of the wait, so that callers that failed together do not retry together.
const JITTER_RANGE: (f64, f64) = (0.5, 1.5);
const _: () =
    assert!(INITIAL_BACKOFF.as_millis() * (1 << MAX_DOUBLINGS) * 3 / 2 == MAX_BACKOFF.as_millis());

/// Computes the wait after each failed call from the number of consecutive failures and refusals.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
    refusals: u32,
}

impl Backoff {
    /// Discovery answered: the next failure counts as the first.
    pub fn reset(&mut self) {
        *self = Backoff::default();
    }

    /// Returns the wait after a call that discovery refused after `took`. Discovery has too many callers, and each
    /// further call takes another caller's place in its queue. `random` is uniform between 0 and 1.
    pub fn after_refusal(&mut self, cause: RefusalCause, took: Duration, random: f64) -> Duration {
        let wait = refusal_retry_delay(self.refusals, cause, took, random);
        self.refusals = self.refusals.saturating_add(1);
        self.failures = self.failures.saturating_add(1);
        wait
    }

    /// Returns the wait after a call that failed in another way after `took`. The time that the call took counts
    /// towards the wait, because a call that waited in discovery's queue has let others go first already. `random` is
    /// uniform between 0 and 1.
    pub fn after_failure(&mut self, took: Duration, random: f64) -> Duration {
        let doubled = INITIAL_BACKOFF * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        remaining_wait(doubled, took, random)
    }

    /// Returns the wait after a call that failed on this machine. It put no load on discovery, and does not count as a
    /// failure of discovery. `random` is uniform between 0 and 1.
    pub fn after_local_error(&self, took: Duration, random: f64) -> Duration {
        remaining_wait(INITIAL_BACKOFF, took, random)
    }
}

/// Adds jitter to a wait, and returns what is left of it after a call that took `took`.
fn remaining_wait(wait: Duration, took: Duration, random: f64) -> Duration {
    let (min, max) = JITTER_RANGE;
    let jittered = wait.mul_f64(min + (max - min) * random);
    jittered.saturating_sub(took).max(MAX_JITTER.mul_f64(random))
}

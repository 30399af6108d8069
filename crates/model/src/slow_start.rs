//! Falls of cold endpoints, by the standing test's own count.

use std::collections::VecDeque;
use std::time::Duration;

/// Below so many calls the margin of chance is the wider one.
const FEW_CALLS: f64 = 30.0;
/// Part of the calls before a fall that told sidecars have to have sent, for the fall to break the rule.
const TOLD_PART: f64 = 2.0 / 3.0;

/// What an endpoint gets within the window of a fall, from one start of its process on.
pub(crate) struct SlowStart {
    window: Duration,
    /// Since when the sidecars are told of the start.
    told_from: Option<Duration>,
    /// When calls came, their work as a multiple of the mean, and whether a told sidecar sent them.
    calls: VecDeque<(Duration, f64, bool)>,
    fallen: bool,
}

/// The first fall since a start.
pub(crate) struct Fall {
    /// Over two thirds of it came from sidecars that had been told of the start.
    pub(crate) breaks_rule: bool,
}

/// The most calls of mean work that leave an endpoint standing, where the settings allow it so many.
fn bound(allowed: f64) -> f64 {
    let few = allowed < FEW_CALLS;
    allowed + if few { 3.0 * allowed.sqrt() + 3.0 } else { 2.0 * allowed.sqrt() + 2.0 }
}

impl SlowStart {
    pub(crate) fn new(window: Duration) -> Self {
        SlowStart { window, told_from: None, calls: VecDeque::new(), fallen: false }
    }

    pub(crate) fn told(&mut self, now: Duration) {
        self.told_from = self.told_from.or(Some(now));
    }

    /// A call of so many times the mean work comes, sent at `sent`, while the settings allow the endpoint `allowed`
    /// calls in a window.
    pub(crate) fn call(&mut self, now: Duration, sent: Duration, work: f64, allowed: f64) -> Option<Fall> {
        if self.fallen {
            return None;
        }
        self.calls.push_back((now, work, self.told_from.is_some_and(|from| sent >= from)));
        while self.calls.front().is_some_and(|(at, ..)| now.saturating_sub(*at) >= self.window) {
            self.calls.pop_front();
        }
        let all: f64 = self.calls.iter().map(|(_, work, _)| work).sum();
        let told: f64 = self.calls.iter().filter(|(.., told)| *told).map(|(_, work, _)| work).sum();
        self.fallen = all > bound(allowed);
        self.fallen.then_some(Fall { breaks_rule: told > TOLD_PART * all })
    }
}

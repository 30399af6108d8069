//! The balancer's timers, until they fire or are cancelled.

use std::collections::{BTreeSet, HashMap};
use tokio::time::Instant;

/// Timers in the order in which they are due: all that the balancer has set and not cancelled, a few per
/// open request.
#[derive(Debug, Default)]
pub struct Timers {
    due: BTreeSet<(Instant, u64)>,
    by_token: HashMap<u64, Instant>,
}

impl Timers {
    /// Sets a timer. A timer already set with this token is moved.
    pub fn set(&mut self, token: u64, at: Instant) {
        self.cancel(token);
        self.by_token.insert(token, at);
        self.due.insert((at, token));
    }

    /// Cancels a timer, if it has not fired yet.
    pub fn cancel(&mut self, token: u64) {
        if let Some(at) = self.by_token.remove(&token) {
            self.due.remove(&(at, token));
        }
    }

    /// When the next timer is due.
    pub fn next(&self) -> Option<Instant> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Removes and returns the next timer that is due by now.
    pub fn take_due(&mut self, now: Instant) -> Option<u64> {
        let (_, token) = self.due.first().copied().filter(|(at, _)| *at <= now)?;
        self.cancel(token);
        Some(token)
    }

    /// The number of timers that are set.
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    #[test]
    fn timers_fire_in_order_and_cancelled_ones_never_fire() {
        let (mut timers, start) = (Timers::default(), Instant::now());
        let at = |ms| start + Duration::from_millis(ms);
        for (token, ms) in [(1, 30), (2, 10), (3, 20), (4, 10)] {
            timers.set(token, at(ms));
        }
        timers.cancel(3);
        timers.cancel(3);
        timers.set(1, at(5));
        assert_eq!((timers.next(), timers.len(), timers.is_empty()), (Some(at(5)), 3, false));
        assert_eq!(timers.take_due(at(4)), None);
        let fired: Vec<u64> = std::iter::from_fn(|| timers.take_due(at(60))).collect();
        assert_eq!(fired, [1, 2, 4]);
        assert_eq!((timers.next(), timers.is_empty(), timers.by_token.len()), (None, true, 0));
    }
}

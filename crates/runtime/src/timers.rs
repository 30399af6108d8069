//! The module's timers, until they are due or dropped.

use std::collections::{BTreeSet, HashMap};
use tokio::time::Instant;

/// Timers by when they are due. As many as the module has set and not dropped: a few for each open request.
#[derive(Debug, Default)]
pub struct Timers {
    due: BTreeSet<(Instant, u64)>,
    by_token: HashMap<u64, Instant>,
}

impl Timers {
    /// Sets one; a token that is set already moves.
    pub fn set(&mut self, token: u64, at: Instant) {
        self.drop(token);
        self.by_token.insert(token, at);
        self.due.insert((at, token));
    }

    /// Takes one back, if it is not due yet.
    pub fn drop(&mut self, token: u64) {
        if let Some(at) = self.by_token.remove(&token) {
            self.due.remove(&(at, token));
        }
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Instant> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Takes the next one that is due by now.
    pub fn take_due(&mut self, now: Instant) -> Option<u64> {
        let (_, token) = self.due.first().copied().filter(|(at, _)| *at <= now)?;
        self.drop(token);
        Some(token)
    }

    /// How many are set.
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Whether none is set.
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    #[test]
    fn they_come_in_order_and_one_that_was_dropped_never_does() {
        let (mut timers, start) = (Timers::default(), Instant::now());
        let at = |ms| start + Duration::from_millis(ms);
        for (token, ms) in [(1, 30), (2, 10), (3, 20), (4, 10)] {
            timers.set(token, at(ms));
        }
        timers.drop(3);
        timers.drop(3);
        timers.set(1, at(5));
        assert_eq!((timers.next(), timers.len(), timers.is_empty()), (Some(at(5)), 3, false));
        assert_eq!(timers.take_due(at(4)), None);
        let come: Vec<u64> = std::iter::from_fn(|| timers.take_due(at(60))).collect();
        assert_eq!(come, [1, 2, 4]);
        assert_eq!((timers.next(), timers.is_empty(), timers.by_token.len()), (None, true, 0));
    }
}

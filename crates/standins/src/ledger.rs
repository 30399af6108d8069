//! What ran, and how often: the stand-ins' own books, against which exactly-once is checked.

use serde::Serialize;
use std::collections::HashMap;
use std::time::Duration;

/// One run of a keyed job.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Run {
    /// Where.
    pub endpoint: String,
    /// In which group.
    pub group: String,
    /// When it began, in milliseconds from the fleet's start.
    pub at_ms: u64,
}

/// The counts so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Totals {
    /// Requests that came whole.
    pub came: u64,
    /// Requests whose work began.
    pub ran: u64,
    /// Requests whose work was finished.
    pub finished: u64,
    /// Turned away unseen.
    pub turned_away: u64,
    /// Repeats of a key that were dropped, as they should be.
    pub repeats_dropped: u64,
    /// Keys that ran more than once within their window.
    pub ran_twice: u64,
    /// Requests that came after the list had said for over 250 ms that their endpoint drains.
    pub sent_to_draining: u64,
    /// Keys in the books.
    pub keys: u64,
}

/// The books. Keys are forgotten once their window has passed for good, so that the books stay bounded.
#[derive(Debug, Default)]
pub struct Ledger {
    totals: Totals,
    runs: HashMap<String, Vec<Run>>,
    /// The first of those that ran twice, for a report.
    twice: Vec<(String, Vec<Run>)>,
    by_endpoint: HashMap<String, u64>,
}

/// So many of the keys that ran twice are kept in full.
const TWICE_MOST: usize = 20;
/// Keys are looked over once there are more than this.
const KEYS_MOST: usize = 100_000;

impl Ledger {
    /// A request has come whole.
    pub fn came(&mut self, to_draining: bool) {
        self.totals.came += 1;
        self.totals.sent_to_draining += u64::from(to_draining);
    }

    /// It was turned away.
    pub fn turned_away(&mut self) {
        self.totals.turned_away += 1;
    }

    /// Its work is done.
    pub fn finished(&mut self) {
        self.totals.finished += 1;
    }

    /// Whether this key has run in this group within the window: its repeat is then dropped.
    pub fn is_repeat(&mut self, key: &str, group: &str, now: Duration, window: Duration) -> bool {
        let since = now.saturating_sub(window).as_millis() as u64;
        let runs = self.runs.get(key).into_iter().flatten();
        let repeat = runs.into_iter().any(|run| run.group == group && run.at_ms >= since);
        self.totals.repeats_dropped += u64::from(repeat);
        repeat
    }

    /// A request's work begins; with a key, where it has one.
    pub fn ran(&mut self, endpoint: &str, key: Option<(&str, &str, Duration)>, now: Duration) {
        self.totals.ran += 1;
        *self.by_endpoint.entry(endpoint.to_owned()).or_default() += 1;
        let Some((key, group, window)) = key else { return };
        if self.runs.len() >= KEYS_MOST {
            // Nothing may repeat a key for that much longer than its window.
            let old = now.saturating_sub(window * 2).as_millis() as u64;
            self.runs.retain(|_, runs| runs.iter().any(|run| run.at_ms >= old));
        }
        let at_ms = now.as_millis() as u64;
        let runs = self.runs.entry(key.to_owned()).or_default();
        let again = runs.iter().any(|run| Duration::from_millis(at_ms.saturating_sub(run.at_ms)) < window);
        runs.push(Run { endpoint: endpoint.to_owned(), group: group.to_owned(), at_ms });
        if again {
            self.totals.ran_twice += 1;
            if self.twice.len() < TWICE_MOST {
                self.twice.push((key.to_owned(), runs.clone()));
            }
        }
    }

    /// The counts.
    pub fn totals(&self) -> Totals {
        Totals { keys: self.runs.len() as u64, ..self.totals.clone() }
    }

    /// Keys that ran twice within their window, and where.
    pub fn twice(&self) -> &[(String, Vec<Run>)] {
        &self.twice
    }

    /// How many requests' work began at this endpoint.
    pub fn ran_at(&self, endpoint: &str) -> u64 {
        self.by_endpoint.get(endpoint).copied().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_repeat_in_its_group_is_dropped_and_one_elsewhere_is_a_second_run() {
        let (mut ledger, window) = (Ledger::default(), Duration::from_secs(6));
        let at = Duration::from_secs;
        assert!(!ledger.is_repeat("k", "a", at(0), window));
        ledger.ran("e1", Some(("k", "a", window)), at(0));
        assert!(ledger.is_repeat("k", "a", at(5), window));
        assert!(!ledger.is_repeat("k", "b", at(5), window));
        ledger.ran("e2", Some(("k", "b", window)), at(5));
        assert_eq!((ledger.totals().ran_twice, ledger.totals().repeats_dropped), (1, 1));
        assert_eq!(ledger.twice()[0].1.len(), 2);
        assert!(!ledger.is_repeat("k", "a", at(12), window), "the window has passed");
        ledger.ran("e1", Some(("k", "a", window)), at(20));
        assert_eq!(ledger.totals().ran_twice, 1, "so late it is a job of its own");
    }
}

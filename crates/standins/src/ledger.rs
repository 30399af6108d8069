//! The run ledger: which jobs ran, and how often. Exactly-once is checked against it.

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

/// A job with a key, as one endpoint sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyedJob<'a> {
    /// The key.
    pub key: &'a str,
    /// The group of endpoints that drop repeats of the key together.
    pub group: &'a str,
    /// For how long they drop them.
    pub window: Duration,
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
    /// Connections that endpoints accepted.
    pub connections: u64,
    /// Bytes of lists that discovery wrote, whole ones and changes.
    pub list_bytes: u64,
    /// Keys in the ledger.
    pub keys: u64,
}

/// The run ledger. Keys are forgotten long after their window has passed, so that the ledger stays bounded.
#[derive(Debug, Default)]
pub struct Ledger {
    totals: Totals,
    runs: HashMap<String, Vec<Run>>,
    /// The first of those that ran twice, for a report.
    twice: Vec<(String, Vec<Run>)>,
    by_endpoint: HashMap<String, u64>,
}

/// The most keys that ran twice that are kept in full.
const MAX_TWICE: usize = 20;
/// Old keys are removed once there are this many.
const MAX_KEYS: usize = 100_000;

impl Ledger {
    /// An endpoint has accepted a connection.
    pub fn accepted(&mut self) {
        self.totals.connections += 1;
    }

    /// Discovery has written so much of a list.
    pub fn listed(&mut self, bytes: usize) {
        self.totals.list_bytes += bytes as u64;
    }

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

    /// Whether the job's key has run in its group within the window: its repeat is then dropped.
    pub fn is_repeat(&mut self, job: KeyedJob<'_>, now: Duration) -> bool {
        let since = now.saturating_sub(job.window).as_millis() as u64;
        let mut runs = self.runs.get(job.key).into_iter().flatten();
        let repeat = runs.any(|run| run.group == job.group && run.at_ms >= since);
        self.totals.repeats_dropped += u64::from(repeat);
        repeat
    }

    /// A request's work begins at an endpoint; `job` is given if the request has a key.
    pub fn ran(&mut self, endpoint: &str, job: Option<KeyedJob<'_>>, now: Duration) {
        self.totals.ran += 1;
        *self.by_endpoint.entry(endpoint.to_owned()).or_default() += 1;
        let Some(KeyedJob { key, group, window }) = job else { return };
        if self.runs.len() >= MAX_KEYS {
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
            if self.twice.len() < MAX_TWICE {
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
        let job = |group| KeyedJob { key: "k", group, window };
        assert!(!ledger.is_repeat(job("a"), at(0)));
        ledger.ran("e1", Some(job("a")), at(0));
        assert!(ledger.is_repeat(job("a"), at(5)));
        assert!(!ledger.is_repeat(job("b"), at(5)));
        ledger.ran("e2", Some(job("b")), at(5));
        assert_eq!((ledger.totals().ran_twice, ledger.totals().repeats_dropped), (1, 1));
        assert_eq!(ledger.twice()[0].1.len(), 2);
        assert!(!ledger.is_repeat(job("a"), at(12)), "the window has passed");
        ledger.ran("e1", Some(job("a")), at(20));
        assert_eq!(ledger.totals().ran_twice, 1, "so late it is a job of its own");
    }
}

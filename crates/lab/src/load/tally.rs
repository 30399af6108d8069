//! The books of a load: every request that was asked ends in exactly one count.

use super::Look;
use super::client::Outcome;
use super::mix::Mix;
use curlewhub_model::End;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Latencies are told apart to three digits, from a microsecond to two minutes.
const MICROS_MOST: u64 = 120_000_000;
const DIGITS: u8 = 3;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MICROS_MOST, DIGITS)
        .unwrap_or_else(|_| unreachable!("bounds are in order"))
}

/// Latencies of the requests that were served, in milliseconds, from when each was due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[allow(missing_docs)]
pub struct Latencies {
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub max: f64,
}

/// What came of the requests of a class or of a phase.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassReport {
    /// The class, or `all`.
    pub class: String,
    /// Requests, without their clients' retries.
    pub asked: u64,
    /// Served in the end.
    pub served: u64,
    /// Of these, within the objective from when they were due.
    pub in_time: u64,
    /// Refused in the end.
    pub refused: u64,
    /// Failed in the end.
    pub failed: u64,
    /// Without an answer in the end.
    pub unanswered: u64,
    /// Clients' retries.
    pub retries: u64,
    /// Of those served.
    pub latency_ms: Latencies,
}

/// A part of the time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PhaseReport {
    /// Its name.
    pub phase: String,
    /// When it begins, in seconds from the start.
    pub from_s: f64,
    /// What came of the requests that were due in it.
    pub all: ClassReport,
}

/// The books, closed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// For how long requests came, in seconds.
    pub seconds: f64,
    /// By class, and `all` at the end.
    pub classes: Vec<ClassReport>,
    /// By phase, where there were any.
    pub phases: Vec<PhaseReport>,
    /// Tries, clients' retries among them.
    pub tries: u64,
    /// Tries that had no answer.
    pub unanswered_tries: u64,
    /// Tries with more behind their answer than belongs to it.
    pub answered_twice: u64,
    /// Tries served with what was not made for them.
    pub wrong_answers: u64,
    /// Tries answered over 50 ms after their time.
    pub late_answers: u64,
    /// Requests that were due and not sent, since too many were open.
    pub not_sent: u64,
}

impl Report {
    /// Whether every try had exactly one final answer, its own.
    pub fn one_answer_each(&self) -> bool {
        self.unanswered_tries == 0 && self.answered_twice == 0 && self.wrong_answers == 0
    }
}

#[derive(Clone)]
struct Count {
    asked: u64,
    ended: [u64; 4],
    in_time: u64,
    retries: u64,
    latency: Histogram<u64>,
}

impl Count {
    fn new() -> Self {
        Count { asked: 0, ended: [0; 4], in_time: 0, retries: 0, latency: histogram() }
    }

    fn add(&mut self, outcome: &Outcome, latency: Duration, in_time: bool) {
        self.ended[outcome.end as usize] += 1;
        self.retries += u64::from(outcome.tries - 1);
        if outcome.end == End::Served {
            self.in_time += u64::from(in_time);
            self.latency.saturating_record(latency.as_micros() as u64);
        }
    }

    fn merge(&mut self, other: &Count) {
        self.asked += other.asked;
        self.ended.iter_mut().zip(other.ended).for_each(|(mine, theirs)| *mine += theirs);
        self.in_time += other.in_time;
        self.retries += other.retries;
        let _ = self.latency.add(&other.latency); // of the same bounds: it never fails
    }

    fn report(&self, class: &str) -> ClassReport {
        let [served, refused, failed, unanswered] = self.ended;
        ClassReport {
            class: class.to_owned(),
            asked: self.asked,
            served,
            in_time: self.in_time,
            refused,
            failed,
            unanswered,
            retries: self.retries,
            latency_ms: Latencies {
                p50: millis(&self.latency, 0.5),
                p90: millis(&self.latency, 0.9),
                p99: millis(&self.latency, 0.99),
                p999: millis(&self.latency, 0.999),
                max: if self.latency.is_empty() { 0.0 } else { self.latency.max() as f64 / 1e3 },
            },
        }
    }
}

fn millis(latency: &Histogram<u64>, quantile: f64) -> f64 {
    if latency.is_empty() { 0.0 } else { latency.value_at_quantile(quantile) as f64 / 1e3 }
}

/// The books while they are open.
pub struct Tally {
    names: Vec<String>,
    objectives: Vec<Duration>,
    phases: Vec<(String, Duration)>,
    /// By phase and class.
    counts: Vec<Vec<Count>>,
    tries: u64,
    unanswered: u64,
    twice: u64,
    wrong: u64,
    late: u64,
    not_sent: u64,
    /// Since the last look.
    recent: Count,
}

impl Tally {
    /// Nothing asked yet.
    pub fn new(mix: &Mix, phases: &[(String, Duration)]) -> Self {
        let mut phases = phases.to_vec();
        if phases.is_empty() {
            phases.push((String::new(), Duration::ZERO));
        }
        let counts = vec![vec![Count::new(); mix.classes.len()]; phases.len()];
        let (tries, unanswered, twice, wrong, late, not_sent) = Default::default();
        Tally {
            names: mix.classes.iter().map(|class| class.name.clone()).collect(),
            objectives: mix.classes.iter().map(|class| class.objective.0).collect(),
            phases,
            counts,
            tries,
            unanswered,
            twice,
            wrong,
            late,
            not_sent,
            recent: Count::new(),
        }
    }

    /// A request is due; gives the number of the phase that this falls into.
    pub fn asked(&mut self, class: usize, due: Duration) -> usize {
        let phase = self.phases.iter().rposition(|(_, from)| *from <= due).unwrap_or(0);
        self.counts[phase][class].asked += 1;
        self.recent.asked += 1;
        phase
    }

    /// It has ended, so long after it was due.
    pub fn ended(&mut self, class: usize, phase: usize, outcome: &Outcome, latency: Duration) {
        let in_time = latency <= self.objectives[class];
        self.counts[phase][class].add(outcome, latency, in_time);
        self.recent.add(outcome, latency, in_time);
        self.tries += u64::from(outcome.tries);
        self.unanswered += u64::from(outcome.unanswered);
        self.twice += u64::from(outcome.answered_twice);
        self.wrong += u64::from(outcome.wrong);
        self.late += u64::from(outcome.late);
    }

    /// One was due, and too many were open.
    pub fn not_sent(&mut self) {
        self.not_sent += 1;
    }

    /// What has come since the last look.
    pub fn look(&mut self, elapsed: Duration) -> Look {
        let recent = std::mem::replace(&mut self.recent, Count::new());
        let millis = (millis(&recent.latency, 0.5), millis(&recent.latency, 0.99));
        Look { elapsed, asked: recent.asked, ended: recent.ended, millis }
    }

    /// The books, as they stand.
    pub fn report(&self, lasts: Duration) -> Report {
        let sum = |counts: &mut dyn Iterator<Item = &Count>| {
            let mut all = Count::new();
            counts.for_each(|count| all.merge(count));
            all
        };
        let of_class = |class: usize| sum(&mut self.counts.iter().map(|phase| &phase[class]));
        let mut classes: Vec<_> =
            self.names.iter().enumerate().map(|(n, name)| of_class(n).report(name)).collect();
        classes.push(sum(&mut self.counts.iter().flatten()).report("all"));
        let phases = self.phases.iter().zip(&self.counts).filter(|((name, _), _)| !name.is_empty());
        Report {
            seconds: lasts.as_secs_f64(),
            classes,
            phases: phases
                .map(|((name, from), counts)| PhaseReport {
                    phase: name.clone(),
                    from_s: from.as_secs_f64(),
                    all: sum(&mut counts.iter()).report("all"),
                })
                .collect(),
            tries: self.tries,
            unanswered_tries: self.unanswered,
            answered_twice: self.twice,
            wrong_answers: self.wrong,
            late_answers: self.late,
            not_sent: self.not_sent,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_request_stands_in_one_count_of_its_class_and_phase() {
        let second = Duration::from_secs(1);
        let phases = [("one".to_owned(), Duration::ZERO), ("two".to_owned(), second)];
        let mut tally = Tally::new(&Mix::default(), &phases);
        let ends = [End::Served, End::Refused, End::Failed, End::Unanswered];
        for (n, end) in ends.into_iter().cycle().take(40).enumerate() {
            let phase = tally.asked(n % 2, second / 20 * n as u32);
            let unanswered = u32::from(end == End::Unanswered);
            let outcome = Outcome { end, tries: 2, unanswered, answered_twice: 0, wrong: 0, late: 0 };
            tally.ended(n % 2, phase, &outcome, Duration::from_millis(n as u64));
        }
        let look = tally.look(second);
        assert_eq!((look.asked, look.ended), (40, [10; 4]));
        assert_eq!(tally.look(second).asked, 0, "only since the last look");
        let report = tally.report(second * 2);
        let all = &report.classes[2];
        assert_eq!((all.asked, all.served, all.refused, all.failed, all.unanswered), (40, 10, 10, 10, 10));
        assert_eq!((report.tries, all.retries, report.unanswered_tries), (80, 40, 10));
        assert!(!report.one_answer_each());
        assert_eq!(report.phases.iter().map(|phase| phase.all.asked).collect::<Vec<_>>(), [20, 20]);
        assert!((all.latency_ms.max - 36.0).abs() < 0.1, "{:?}", all.latency_ms);
    }
}

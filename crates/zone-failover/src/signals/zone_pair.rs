//! Evidence on one zone pair: the latest report of each calling sidecar, and a sequential test over all their calls.

use super::sequential_test::{LogLikelihoodRatios, Observation};
use super::{FRESHNESS, MAX_TRACKED_SIDECARS, Verdict};
use curlewhub_config::fleet::ZoneFailoverConfig;
use curlewhub_control_plane::evidence::{CallCounts, MAX_CALLS_PER_DIGEST};
use std::collections::BTreeMap;
use std::time::Duration;

/// A trailing run of this many lost calls makes a sidecar a witness of loss, whatever came before.
const MIN_LOST_STREAK: u32 = 3;

/// What the latest digest of one sidecar shows of a zone pair.
#[derive(Clone, Copy, Debug)]
pub(super) struct WitnessReport {
    pub(super) reported_at: Duration,
    /// A majority of its calls, or of its probes where it made no calls, was lost, or the last ones were.
    pub(super) losing: bool,
    /// A majority was answered with errors.
    pub(super) failing: bool,
    /// When its last call was served; none if the report shows a fault.
    pub(super) served_at: Option<Duration>,
}

impl WitnessReport {
    pub(super) fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.reported_at) <= FRESHNESS
    }

    pub(super) fn shows_fault(&self) -> bool {
        self.losing || self.failing
    }
}

/// Fresh reports of sidecars, counted.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WitnessCounts {
    pub(super) all: u32,
    losing: u32,
    failing: u32,
    last_report_at: Duration,
}

impl WitnessCounts {
    pub(super) fn add(&mut self, other: &WitnessCounts) {
        self.all += other.all;
        self.losing += other.losing;
        self.failing += other.failing;
        self.last_report_at = self.last_report_at.max(other.last_report_at);
    }

    /// The verdict of a test: an alarm counts only with a majority of the sidecars, so that none of them decides by the
    /// number of its calls.
    pub(super) fn verdict(&self, ratios: &LogLikelihoodRatios, settings: &ZoneFailoverConfig) -> Verdict {
        if ratios.unreachable >= settings.alarm_log_likelihood && self.losing * 2 > self.all {
            Verdict::Unreachable
        } else if ratios.failing >= settings.alarm_log_likelihood && self.failing * 2 > self.all {
            Verdict::Failing
        } else {
            Verdict::Uncertain
        }
    }
}

/// Evidence on one zone pair.
#[derive(Clone, Debug, Default)]
pub(super) struct ZonePairEvidence {
    ratios: LogLikelihoodRatios,
    pub(super) reports: BTreeMap<String, WitnessReport>,
    /// When calls, and not probes alone, were last reported.
    last_calls_at: Option<Duration>,
    /// The latest time at which a call was served, by reports that show no fault.
    last_served_at: Option<Duration>,
    last_report_at: Option<Duration>,
}

impl ZonePairEvidence {
    /// Forgets everything.
    pub(super) fn reset(&mut self) {
        *self = ZonePairEvidence::default();
    }

    /// Takes in what a sidecar's digest reports, and returns the part that counts for sequential tests.
    pub(super) fn record(
        &mut self,
        now: Duration,
        sidecar: &str,
        calls: &CallCounts,
        settings: &ZoneFailoverConfig,
    ) -> Observation {
        let calls = calls.capped(MAX_CALLS_PER_DIGEST);
        let has_calls = calls.total() > 0;
        let probes_count = self.probes_count(now, &calls);
        let observation = observation(&calls, probes_count);
        if has_calls {
            self.last_calls_at = Some(now);
        }
        self.ratios.update(&observation, settings);
        // A report that rests on calls is not replaced by probes of the same sidecar.
        let has_probes = calls.probes_answered + calls.probes_unanswered > 0;
        let has_evidence = has_calls || (probes_count && has_probes);
        if has_evidence && (self.reports.len() < MAX_TRACKED_SIDECARS || self.reports.contains_key(sidecar))
        {
            self.store_report(sidecar, witness_report(now, &calls, &observation));
        }
        observation
    }

    /// Whether probes of a digest count as answers.
    ///
    /// An endpoint may answer probes and no calls, so answered probes count only where no call was reported lately.
    /// Unanswered probes always count as lost calls.
    fn probes_count(&self, now: Duration, calls: &CallCounts) -> bool {
        let calls_are_old = self.last_calls_at.is_none_or(|at| now.saturating_sub(at) > FRESHNESS);
        calls.total() == 0 && (calls_are_old || calls.probes_unanswered > calls.probes_answered)
    }

    fn store_report(&mut self, sidecar: &str, report: WitnessReport) {
        self.last_report_at = Some(report.reported_at);
        self.last_served_at = self.last_served_at.max(report.served_at);
        self.reports.insert(sidecar.to_owned(), report);
    }

    /// Whether a quarter of the alarm threshold is exceeded.
    pub(super) fn is_suspect(&self, settings: &ZoneFailoverConfig) -> bool {
        self.ratios.exceed(settings.alarm_log_likelihood / 4.0)
    }

    /// The verdict and when its latest evidence was reported; none without fresh evidence.
    pub(super) fn verdict(
        &self,
        now: Duration,
        settings: &ZoneFailoverConfig,
    ) -> Option<(Verdict, Duration)> {
        if !self.is_suspect(settings) {
            // Avoids counting thousands of reports of a healthy pair.
            let fresh = |at: &Duration| now.saturating_sub(*at) <= FRESHNESS;
            let reported_at = self.last_report_at.filter(fresh)?;
            let served_at = self.last_served_at.filter(fresh);
            return Some(served_at.map_or((Verdict::Uncertain, reported_at), |at| (Verdict::Healthy, at)));
        }
        let counts = self.witness_counts(now);
        (counts.all > 0).then(|| (counts.verdict(&self.ratios, settings), counts.last_report_at))
    }

    /// Counts the fresh reports.
    pub(super) fn witness_counts(&self, now: Duration) -> WitnessCounts {
        let mut counts = WitnessCounts::default();
        for report in self.reports.values().filter(|report| report.is_fresh(now)) {
            counts.all += 1;
            counts.losing += u32::from(report.losing);
            counts.failing += u32::from(report.failing);
            counts.last_report_at = counts.last_report_at.max(report.reported_at);
        }
        counts
    }
}

/// The outcomes that count for a sequential test; probes stand in where there are no calls.
fn observation(calls: &CallCounts, probes_count: bool) -> Observation {
    let failed = calls.failed;
    match calls.total() {
        0 => Observation {
            lost: calls.probes_unanswered.min(MAX_CALLS_PER_DIGEST),
            answered: if probes_count { calls.probes_answered.min(MAX_CALLS_PER_DIGEST) } else { 0 },
            lost_streak: 0,
            failed,
        },
        total => {
            let lost = calls.lost();
            let lost_streak = calls.lost_streak.min(lost);
            Observation { lost, answered: total - lost.min(total), lost_streak, failed }
        }
    }
}

fn witness_report(now: Duration, calls: &CallCounts, observation: &Observation) -> WitnessReport {
    let Observation { lost, answered, lost_streak, .. } = *observation;
    let (total, observed) = (calls.total(), lost + answered);
    let losing = observed > 0 && (lost * 2 > observed || lost_streak >= MIN_LOST_STREAK);
    let failing = calls.failed * 2 > total.max(1);
    // A digest covers an interval: its evidence dates from the last served call, not from its arrival.
    let age = match total {
        0 => Duration::ZERO,
        _ => Duration::from_millis(calls.last_served_ms_ago.into()),
    };
    let is_served = observed > 0 && lost_streak == 0 && !losing && !failing;
    let served_at = is_served.then(|| now.saturating_sub(age));
    WitnessReport { reported_at: now, losing, failing, served_at }
}

//! What evidence shows of each zone, and of each zone pair: the calls from the sidecars of one zone into another.
//!
//! Each pair has a sequential test (Page's CUSUM): a call adds the logarithm of how much likelier its outcome is in an
//! unreachable zone than in a healthy one, and the statistic never falls below zero. It alarms as soon as the calls since
//! the last good ones cannot be chance, at ten calls a second as at a thousand; false alarms are rarer than
//! `exp(-alarm_log_likelihood)` a call.
//!
//! Times are those of the caller's monotonic clock.

use crate::zone_states::{tier_of, tier_zone};
use curlewhub_config::fleet::ZoneFailoverConfig;
use curlewhub_control_plane::evidence::{CallCounts, Digest};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

mod sequential_test;
mod zone_history;
mod zone_pair;

use sequential_test::{DecayingSum, LogLikelihoodRatios};
use zone_history::ZoneHistory;
use zone_pair::{WitnessCounts, ZonePairEvidence};

/// Age beyond which a report is no evidence any more.
pub const FRESHNESS: Duration = Duration::from_millis(1500);
/// Age beyond which a sidecar's reports and demand are dropped.
const RETENTION: Duration = Duration::from_secs(30);
/// Time constant of rates and latencies, in seconds.
const RATE_TIME_CONSTANT_S: f64 = 2.0;
/// Sidecars that are tracked, for each zone pair and for demand; bounds memory.
const MAX_TRACKED_SIDECARS: usize = 20_000;

/// What the evidence on a zone or a zone pair shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Calls are served.
    Healthy,
    /// There are signs of a fault, but no alarm that a majority of the sidecars supports.
    Uncertain,
    /// Calls are lost.
    Unreachable,
    /// Calls are answered with errors.
    Failing,
}

/// Rates and latencies of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneStatistics {
    /// Served calls a second.
    pub calls_per_s: f64,
    /// The time that served calls took over the time that they usually take anywhere.
    pub latency_ratio: f64,
    /// Lost calls a second.
    pub lost_per_s: f64,
    /// Share of calls that is lost at present, 0 to 1.
    pub lost_share: f64,
    /// Rejected calls a second.
    pub rejected_per_s: f64,
    /// Highest rate of served calls while the zone was healthy, in calls a second; it decays over hours.
    pub peak_per_s: f64,
    /// Served calls a second over the last half minute of healthy service.
    pub baseline_per_s: f64,
    /// `latency_ratio` over the last half minute of healthy service.
    pub baseline_latency_ratio: f64,
}

/// The sidecars whose fresh reports support a verdict.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Witnesses {
    /// Sidecars with a fresh report.
    pub all: u32,
    /// Sidecars whose report shows a fault.
    pub losing: u32,
    /// The zones of those in `losing`.
    pub zones: BTreeSet<String>,
}

/// The call rate that a sidecar needs.
#[derive(Clone, Debug, Default)]
struct Demand {
    calls: DecayingSum,
    /// The sidecar's zone at the tier that it calls; empty until it has reported a call.
    tier_zone: String,
}

impl Demand {
    fn calls_per_s(&self, now: Duration) -> f64 {
        self.calls.value(now, RATE_TIME_CONSTANT_S) / RATE_TIME_CONSTANT_S
    }
}

/// All evidence on zones and zone pairs.
#[derive(Clone, Debug, Default)]
pub struct ZoneSignals {
    /// By calling zone and called zone.
    pairs: BTreeMap<(String, String), ZonePairEvidence>,
    zones: BTreeMap<String, ZoneHistory>,
    /// By the sidecar's name.
    demands: BTreeMap<String, Demand>,
}

impl ZoneSignals {
    /// Takes in a digest of the sidecar `name`.
    pub fn record(&mut self, now: Duration, name: &str, digest: &Digest, settings: &ZoneFailoverConfig) {
        for (to, calls) in &digest.calls_by_zone {
            let pair = self.pairs.entry((digest.zone.clone(), to.clone())).or_default();
            let observation = pair.record(now, name, calls, settings);
            let zone = self.zones.entry(to.clone()).or_default();
            zone.ratios.update(&observation, settings);
            zone.record(now, calls, !pair.is_suspect(settings));
        }
        self.record_demand(now, name, digest);
    }

    fn record_demand(&mut self, now: Duration, name: &str, digest: &Digest) {
        if self.demands.len() >= MAX_TRACKED_SIDECARS && !self.demands.contains_key(name) {
            return;
        }
        let calls: u32 = digest.calls_by_zone.values().map(CallCounts::total).sum();
        let demand = self.demands.entry(name.to_owned()).or_default();
        demand.calls.add(now, f64::from(calls), RATE_TIME_CONSTANT_S);
        if let Some(called) = digest.calls_by_zone.keys().next() {
            demand.tier_zone = tier_zone(&digest.zone, tier_of(called));
        }
    }

    /// Drops reports and demands of sidecars that have not reported for `RETENTION`; to be called every few seconds.
    pub fn expire(&mut self, now: Duration) {
        let is_retained = |at: Duration| now.saturating_sub(at) <= RETENTION;
        for pair in self.pairs.values_mut() {
            pair.reports.retain(|_, report| is_retained(report.reported_at));
        }
        self.pairs.retain(|_, pair| !pair.reports.is_empty());
        self.demands.retain(|_, demand| is_retained(demand.calls.updated_at));
    }

    /// The zones with any evidence, by name.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.zones.keys().map(String::as_str)
    }

    fn pairs_into(&self, to: &str) -> impl Iterator<Item = (&str, &ZonePairEvidence)> {
        self.pairs
            .iter()
            .filter(move |((_, other), _)| other == to)
            .map(|((from, _), pair)| (&from[..], pair))
    }

    /// For each calling zone with fresh evidence on `to`: its name, the verdict and when its evidence was reported.
    pub fn verdicts_on<'a>(
        &'a self,
        now: Duration,
        to: &'a str,
        settings: &'a ZoneFailoverConfig,
    ) -> impl Iterator<Item = (&'a str, Verdict, Duration)> {
        self.pairs_into(to).filter_map(move |(from, pair)| {
            let (verdict, reported_at) = pair.verdict(now, settings)?;
            Some((from, verdict, reported_at))
        })
    }

    /// The verdict on a zone over the calls of all calling zones together.
    pub fn merged_verdict(&self, now: Duration, to: &str, settings: &ZoneFailoverConfig) -> Verdict {
        let ratios = self.zones.get(to).map(|zone| zone.ratios).unwrap_or_default();
        if !ratios.exceed(settings.alarm_log_likelihood / 2.0) {
            return Verdict::Healthy;
        }
        let mut counts = WitnessCounts::default();
        self.pairs_into(to).for_each(|(_, pair)| counts.add(&pair.witness_counts(now)));
        counts.verdict(&ratios, settings)
    }

    /// The witnesses on a zone among the sidecars of all zones, or of the zone `from`.
    pub fn witnesses(&self, now: Duration, to: &str, from: Option<&str>) -> Witnesses {
        let mut witnesses = Witnesses::default();
        for (zone, pair) in self.pairs_into(to) {
            if from.is_some_and(|from| from != zone) {
                continue;
            }
            for report in pair.reports.values().filter(|report| report.is_fresh(now)) {
                witnesses.all += 1;
                if report.shows_fault() {
                    witnesses.losing += 1;
                    witnesses.zones.insert(zone.to_owned());
                }
            }
        }
        witnesses
    }

    /// Whether, by evidence from `since` on, the sidecars of `from` are served by another zone of the tier of `except`.
    pub fn is_served_elsewhere(
        &self,
        now: Duration,
        from: &str,
        except: &str,
        since: Duration,
        settings: &ZoneFailoverConfig,
    ) -> bool {
        let is_alternative = |to: &str| to != except && tier_of(to) == tier_of(except);
        self.pairs
            .iter()
            .filter(|((zone, to), _)| zone == from && is_alternative(to))
            .filter_map(|(_, pair)| pair.verdict(now, settings))
            .any(|(verdict, reported_at)| verdict == Verdict::Healthy && reported_at >= since)
    }

    /// Whether, by evidence from `since` on, enough sidecars are served by a zone, and at most a third as many lose calls.
    pub fn is_served(
        &self,
        now: Duration,
        to: &str,
        since: Duration,
        settings: &ZoneFailoverConfig,
    ) -> bool {
        let (mut fresh, mut served, mut losing) = (0, 0, 0);
        for (_, pair) in self.pairs_into(to) {
            for report in pair.reports.values().filter(|report| report.is_fresh(now)) {
                fresh += 1;
                served += u32::from(report.served_at.is_some_and(|at| at >= since));
                losing += u32::from(report.shows_fault() && report.reported_at >= since);
            }
        }
        served >= settings.witnesses.min(fresh).max(1) && losing * 3 <= served
    }

    /// Rates and latencies of a zone; all zero without evidence.
    pub fn statistics(&self, now: Duration, zone: &str) -> ZoneStatistics {
        self.zones.get(zone).map(|history| history.statistics(now)).unwrap_or_default()
    }

    /// Whether a sidecar calls the tier of the tier zone `to`, or has not reported yet which tier it calls.
    pub fn calls_tier_of(&self, name: &str, to: &str) -> bool {
        self.demands
            .get(name)
            .is_none_or(|demand| demand.tier_zone.is_empty() || tier_of(&demand.tier_zone) == tier_of(to))
    }

    /// For each sidecar: its name, its tier zone and the calls a second that it needs.
    pub fn demands(&self, now: Duration) -> impl Iterator<Item = (&str, &str, f64)> + Clone {
        self.demands
            .iter()
            .map(move |(name, demand)| (&name[..], &demand.tier_zone[..], demand.calls_per_s(now)))
    }

    /// The calls a second that a sidecar needs, and its tier zone.
    pub fn demand(&self, now: Duration, name: &str) -> (f64, &str) {
        self.demands.get(name).map_or((0.0, ""), |demand| (demand.calls_per_s(now), &demand.tier_zone[..]))
    }

    /// Forgets reports and tests on a zone whose state has changed: they show the state before. Its rates stay.
    pub fn reset_zone(&mut self, zone: &str) {
        for ((_, to), pair) in &mut self.pairs {
            if to == zone {
                pair.reset();
            }
        }
        self.zones.entry(zone.to_owned()).or_default().ratios = LogLikelihoodRatios::default();
    }

    /// Forgets reports and tests on a zone pair.
    pub fn reset_pair(&mut self, from: &str, to: &str) {
        if let Some(pair) = self.pairs.get_mut(&(from.to_owned(), to.to_owned())) {
            pair.reset();
        }
    }
}

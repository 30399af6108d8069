//! What evidence shows of halls, by pair: from the sidecars of one hall into another.
//!
//! Each pair has a sequential test: every call moves a sum by the logarithm of how much likelier it is in a dark hall than
//! in a sound one, never below zero (Page's CUSUM). It alarms as soon as the calls since the last good ones can't be
//! chance, whether they come at a thousand a second or at ten; its false alarms are rarer than `exp(-alarm)` a call.

use crate::zone_states::{tier_of, tier_zone};
use curlewhub_config::fleet::ZoneFailoverConfig;
use curlewhub_control_plane::evidence::{CallCounts, Digest, MAX_CALLS_PER_DIGEST};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What is older than this says nothing of a hall any more.
pub const FRESHNESS: Duration = Duration::from_millis(1500);
/// A sum rises no further than this part above the alarm: what is well again is seen soon.
const SUM_MOST: f64 = 1.5;
/// Seconds in which rates and times are forgotten to a third.
const FADES_S: f64 = 2.0;
/// The same for the part that is lost just now.
const QUICK_S: f64 = 0.5;
/// The same for what a hall is when all is well, which its loss must not change.
const BEFORE_FADES_S: f64 = 30.0;
/// The same for the most that it has borne: hours.
const BORNE_FADES_S: f64 = 4.0 * 3600.0;
/// A sidecar loses by a hall once so many of its calls there were lost in a row.
const STREAK: u32 = 3;
/// What takes so many times as long as before does not count towards what was before.
const SLOW_FROM: f64 = 2.0;
/// Sidecars of a pair that are remembered, at the most.
const WORDS_MOST: usize = 20_000;

/// A rate that fades.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    sum: f64,
    at: Duration,
}

impl Rate {
    fn read(&self, now: Duration, fades_s: f64) -> f64 {
        self.sum * (-now.saturating_sub(self.at).as_secs_f64() / fades_s).exp()
    }

    fn add(&mut self, now: Duration, n: f64, fades_s: f64) {
        (self.sum, self.at) = (self.read(now, fades_s) + n, now.max(self.at));
    }
}

/// What a sidecar said last of a pair.
#[derive(Clone, Copy, Debug)]
struct Word {
    at: Duration,
    /// Most of its calls, or probes where it made none, were lost.
    loses: bool,
    /// Most were answered with errors.
    errs: bool,
    /// When the last one was served, where none of late was lost.
    served_at: Option<Duration>,
}

/// What one digest tells of a way, as far as it counts.
#[derive(Clone, Copy, Debug)]
struct Told {
    lost: u32,
    answered: u32,
    /// Of those that were lost, the last ones, after all that were answered.
    streak: u32,
    /// Of those that were answered, with an error.
    error: u32,
}

/// Sequential tests (CUSUM of the log-likelihood of dark against sound) of a way, or of all ways into a hall.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    lost: f64,
    failed: f64,
}

impl Sums {
    fn saw(&mut self, told: &Told, rules: &ZoneFailoverConfig) {
        let weight = |bad: u32, good: u32| {
            let (p0, p1) = (rules.healthy_loss, rules.unreachable_loss);
            f64::from(bad) * (p1 / p0).ln() + f64::from(good) * ((1.0 - p1) / (1.0 - p0)).ln()
        };
        let most = rules.alarm_log_likelihood * SUM_MOST;
        let Told { lost, answered, streak, error } = *told;
        // In their order, as far as it is known: a streak of lost ones came last.
        self.lost = (self.lost + weight(lost - streak, answered)).clamp(0.0, most);
        self.lost = (self.lost + weight(streak, 0)).clamp(0.0, most);
        // What is lost says nothing of errors, one way or the other.
        self.failed = (self.failed + weight(error, answered - error.min(answered))).clamp(0.0, most);
    }

    fn are_over(&self, bound: f64) -> bool {
        self.lost > bound || self.failed > bound
    }
}

/// What sidecars said of late, counted.
#[derive(Clone, Copy, Debug, Default)]
struct Words {
    all: u32,
    losing: u32,
    erring: u32,
    last: Duration,
}

/// A pair of halls.
#[derive(Clone, Debug, Default)]
struct Pair {
    sums: Sums,
    words: BTreeMap<String, Word>,
    /// When calls, and not only probes, were last heard of.
    called: Option<Duration>,
    /// When a sidecar last said that most of its calls are served.
    well: Option<Duration>,
    /// When anything was heard.
    heard: Option<Duration>,
}

/// What a hall's calls come to, from all others.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// All ways into it together: each alone may have too few calls to come to an alarm soon.
    sums: Sums,
    served: Rate,
    took_ms: Rate,
    usual_ms: Rate,
    lost: Rate,
    full: Rate,
    /// Answered, and lost, of very late.
    quick: (Rate, Rate),
    /// The most calls a second that it served while it was well.
    most: Rate,
    before: Rate,
    /// Seconds over which that is.
    before_s: Rate,
    before_at: Duration,
    before_took: Rate,
    before_usual: Rate,
    since: Option<Duration>,
}

/// What one pair shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Calls are served, or nothing speaks against it.
    Healthy,
    /// Something does, and not enough.
    Uncertain,
    /// Nobody is there, or nobody answers.
    Unreachable,
    /// All is answered with errors.
    Failing,
}

/// How a hall is now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneStatistics {
    /// Calls that it serves in a second.
    pub calls_per_s: f64,
    /// How long these take, as a multiple of what is usual anywhere.
    pub latency_ratio: f64,
    /// Calls a second that are lost there.
    pub lost_per_s: f64,
    /// The part of them that is lost just now, 0 to 1.
    pub lost_share: f64,
    /// Calls a second that are turned away.
    pub rejected_per_s: f64,
    /// The most that it was seen to bear, forgotten within hours.
    pub peak_per_s: f64,
    /// What it was over the last half minute in which it served.
    pub baseline_per_s: f64,
    /// The same.
    pub baseline_latency_ratio: f64,
}

/// Who stands for what a hall shows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Witnesses {
    /// Sidecars that have said something of it lately.
    pub all: u32,
    /// Of these, those that lose by it.
    pub losing: u32,
    /// The halls of those.
    pub zones: BTreeSet<String>,
}

/// All evidence of late.
#[derive(Clone, Debug, Default)]
pub struct ZoneSignals {
    pairs: BTreeMap<(String, String), Pair>,
    zones: BTreeMap<String, Seen>,
    /// Calls of each sidecar, of all halls: what it needs; and its place, by the tier that it calls.
    demands: BTreeMap<String, (Rate, String)>,
}

impl ZoneSignals {
    /// A digest of a sidecar.
    pub fn record(&mut self, now: Duration, name: &str, digest: &Digest, rules: &ZoneFailoverConfig) {
        // Calls are rare where a sidecar's are: each counts, but no sidecar's for more than a few.
        for (to, calls) in &digest.calls_by_zone {
            let pair = self.pairs.entry((digest.zone.clone(), to.clone())).or_default();
            let told = pair.saw(now, name, calls, rules);
            let seen = self.zones.entry(to.clone()).or_default();
            seen.sums.saw(&told, rules);
            seen.saw(now, calls, !pair.is_bad(rules));
        }
        let known: u32 = digest.calls_by_zone.values().map(CallCounts::total).sum();
        if self.demands.len() < WORDS_MOST || self.demands.contains_key(name) {
            let (need, home) = self.demands.entry(name.to_owned()).or_default();
            need.add(now, f64::from(known), FADES_S);
            if let Some(called) = digest.calls_by_zone.keys().next() {
                *home = tier_zone(&digest.zone, tier_of(called));
            }
        }
    }

    /// What is of nobody any more goes; called now and then.
    pub fn expire(&mut self, now: Duration) {
        let old = |at: Duration| now.saturating_sub(at) > FRESHNESS * 20;
        for pair in self.pairs.values_mut() {
            pair.words.retain(|_, word| !old(word.at));
        }
        self.pairs.retain(|_, pair| !pair.words.is_empty());
        self.demands.retain(|_, (need, _)| !old(need.at));
    }

    /// Halls that anything is known of.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.zones.keys().map(String::as_str)
    }

    /// Halls whose sidecars have said something of this one lately, what that shows, and when they said the last of it.
    pub fn verdicts_on<'a>(
        &'a self,
        now: Duration,
        to: &'a str,
        rules: &'a ZoneFailoverConfig,
    ) -> impl Iterator<Item = (&'a str, Verdict, Duration)> {
        let pairs = self.pairs.iter().filter(move |((_, other), _)| other == to);
        pairs.filter_map(move |((from, _), pair)| {
            let (shows, at) = pair.shows(now, rules)?;
            Some((&from[..], shows, at))
        })
    }

    /// What all ways into a hall show together.
    pub fn merged_verdict(&self, now: Duration, to: &str, rules: &ZoneFailoverConfig) -> Verdict {
        let sums = self.zones.get(to).map(|seen| seen.sums).unwrap_or_default();
        if !sums.are_over(rules.alarm_log_likelihood / 2.0) {
            return Verdict::Healthy;
        }
        let mut words = Words::default();
        let pairs = self.pairs.iter().filter(|((_, other), _)| other == to);
        pairs.for_each(|(_, pair)| words.add(&pair.words(now)));
        words.show(&sums, rules)
    }

    /// Who stands for what a hall shows: of all halls, or of one.
    pub fn witnesses(&self, now: Duration, to: &str, from: Option<&str>) -> Witnesses {
        let mut witnesses = Witnesses::default();
        for ((zone, other), pair) in &self.pairs {
            if other != to || from.is_some_and(|from| from != zone) {
                continue;
            }
            let fresh = pair.words.values().filter(|word| now.saturating_sub(word.at) <= FRESHNESS);
            for word in fresh {
                witnesses.all += 1;
                if word.loses || word.errs {
                    witnesses.losing += 1;
                    witnesses.zones.insert(zone.clone());
                }
            }
        }
        witnesses
    }

    /// Whether the sidecars of a hall are served by any other hall than this one, and have said so since then.
    pub fn is_served_elsewhere(
        &self,
        now: Duration,
        from: &str,
        but: &str,
        since: Duration,
        rules: &ZoneFailoverConfig,
    ) -> bool {
        let same = |to: &str| to != but && tier_of(to) == tier_of(but);
        let pairs = self.pairs.iter().filter(|((zone, to), _)| zone == from && same(to));
        pairs
            .filter_map(|(_, pair)| pair.shows(now, rules))
            .any(|(shows, at)| shows == Verdict::Healthy && at >= since)
    }

    /// Whether a hall serves most of those who have told of calls into it from then on, and these are enough.
    pub fn is_served(&self, now: Duration, to: &str, since: Duration, rules: &ZoneFailoverConfig) -> bool {
        let (mut fresh, mut served, mut lost) = (0, 0, 0);
        for (_, pair) in self.pairs.iter().filter(|((_, other), _)| other == to) {
            for word in pair.words.values().filter(|word| now.saturating_sub(word.at) <= FRESHNESS) {
                fresh += 1;
                served += u32::from(word.served_at.is_some_and(|at| at >= since));
                lost += u32::from((word.loses || word.errs) && word.at >= since);
            }
        }
        served >= rules.witnesses.min(fresh).max(1) && lost * 3 <= served
    }

    /// How a hall is now.
    pub fn statistics(&self, now: Duration, zone: &str) -> ZoneStatistics {
        let Some(seen) = self.zones.get(zone) else { return ZoneStatistics::default() };
        // A sum that fades to a third in so many seconds holds so many seconds' worth, once it has run for a while.
        let ran = seen.since.map_or(0.0, |since| now.saturating_sub(since).as_secs_f64());
        let worth = |fades: f64| fades * (1.0 - (-ran / fades).exp());
        let per_s = |sum: f64, fades: f64| sum / worth(fades).max(0.25);
        let multiple = |took: f64, usual: f64| if usual > 0.01 { took / usual } else { 1.0 };
        let read = |rate: Rate| rate.read(now, FADES_S);
        // What it was does not fade with time, but with what comes after.
        ZoneStatistics {
            calls_per_s: per_s(read(seen.served), FADES_S),
            latency_ratio: multiple(read(seen.took_ms), read(seen.usual_ms)),
            lost_per_s: per_s(read(seen.lost), FADES_S),
            lost_share: {
                let (answered, lost) = (seen.quick.0.read(now, QUICK_S), seen.quick.1.read(now, QUICK_S));
                if answered + lost > 0.0 { lost / (answered + lost) } else { 0.0 }
            },
            rejected_per_s: per_s(read(seen.full), FADES_S),
            peak_per_s: seen.most.read(now, BORNE_FADES_S),
            baseline_per_s: seen.before.sum / seen.before_s.sum.max(0.25),
            baseline_latency_ratio: multiple(seen.before_took.sum, seen.before_usual.sum),
        }
    }

    /// Whether a sidecar calls the tier that a place is of, or has told nothing yet of what it calls.
    pub fn calls_tier_of(&self, name: &str, to: &str) -> bool {
        self.demands.get(name).is_none_or(|(_, home)| home.is_empty() || tier_of(home) == tier_of(to))
    }

    /// What each sidecar needs, in calls a second, and its place.
    pub fn demands(&self, now: Duration) -> impl Iterator<Item = (&str, &str, f64)> + Clone {
        self.demands
            .iter()
            .map(move |(name, (need, zone))| (&name[..], &zone[..], need.read(now, FADES_S) / FADES_S))
    }

    /// What one sidecar needs, and its place.
    pub fn demand(&self, now: Duration, name: &str) -> (f64, &str) {
        self.demands
            .get(name)
            .map_or((0.0, ""), |(need, home)| (need.read(now, FADES_S) / FADES_S, &home[..]))
    }

    /// What was seen of a hall counts no more: it begins anew, as it has just been left or returned to.
    pub fn reset_zone(&mut self, zone: &str) {
        self.pairs.iter_mut().filter(|((_, to), _)| to == zone).for_each(|(_, pair)| pair.begin_anew());
        self.zones.entry(zone.to_owned()).or_default().sums = Sums::default();
    }

    /// The same of one way.
    pub fn reset_pair(&mut self, from: &str, to: &str) {
        self.pairs.get_mut(&(from.to_owned(), to.to_owned())).into_iter().for_each(Pair::begin_anew);
    }
}

impl Pair {
    fn begin_anew(&mut self) {
        *self = Pair::default();
    }

    fn saw(&mut self, now: Duration, name: &str, calls: &CallCounts, rules: &ZoneFailoverConfig) -> Told {
        let calls = calls.capped(MAX_CALLS_PER_DIGEST);
        let (known, lost) = (calls.total(), calls.lost());
        // Who answers probes may still answer no calls: that they are answered says something only where no calls speak. That
        // they are not says as much as a lost call.
        let probes = calls.probes_answered + calls.probes_unanswered;
        let alone = known == 0 && self.called.is_none_or(|at| now.saturating_sub(at) > FRESHNESS);
        let alone = alone || (known == 0 && calls.probes_unanswered > calls.probes_answered);
        let (lost, answered) = match known {
            0 => (
                calls.probes_unanswered.min(MAX_CALLS_PER_DIGEST),
                if alone { calls.probes_answered.min(MAX_CALLS_PER_DIGEST) } else { 0 },
            ),
            _ => (lost, known - lost.min(known)),
        };
        if known > 0 {
            self.called = Some(now);
        }
        let streak = if known > 0 { calls.lost_streak.min(lost) } else { 0 };
        let told = Told { lost, answered, streak, error: calls.failed };
        self.sums.saw(&told, rules);
        if known + probes > 0 && (self.words.len() < WORDS_MOST || self.words.contains_key(name)) {
            let heard = lost + answered;
            let loses = heard > 0 && (lost * 2 > heard || streak >= STREAK);
            let errs = calls.failed * 2 > known.max(1);
            // What is told of a while speaks of its last call that was served, and not of now.
            let ago = if known > 0 {
                Duration::from_millis(calls.last_served_ms_ago.into())
            } else {
                Duration::ZERO
            };
            let well = heard > 0 && streak == 0 && !loses && !errs;
            let word = Word { at: now, loses, errs, served_at: well.then(|| now.saturating_sub(ago)) };
            // One that probes beside its calls has its calls' word stand.
            if known > 0 || alone {
                self.heard = Some(now);
                self.well = self.well.max(word.served_at);
                self.words.insert(name.to_owned(), word);
            }
        }
        told
    }

    fn is_bad(&self, rules: &ZoneFailoverConfig) -> bool {
        self.sums.are_over(rules.alarm_log_likelihood / 4.0)
    }

    /// None where nothing was heard lately.
    fn shows(&self, now: Duration, rules: &ZoneFailoverConfig) -> Option<(Verdict, Duration)> {
        if !self.is_bad(rules) {
            // Thousands of words need not be counted where nothing speaks against it.
            let fresh = |at: &Duration| now.saturating_sub(*at) <= FRESHNESS;
            let heard = self.heard.filter(fresh)?;
            return Some(
                self.well.filter(fresh).map_or((Verdict::Uncertain, heard), |at| (Verdict::Healthy, at)),
            );
        }
        let words = self.words(now);
        (words.all > 0).then(|| (words.show(&self.sums, rules), words.last))
    }

    fn words(&self, now: Duration) -> Words {
        let mut words = Words::default();
        for word in self.words.values().filter(|word| now.saturating_sub(word.at) <= FRESHNESS) {
            words.all += 1;
            words.losing += u32::from(word.loses);
            words.erring += u32::from(word.errs);
            words.last = words.last.max(word.at);
        }
        words
    }
}

impl Words {
    fn add(&mut self, other: &Words) {
        (self.all, self.losing) = (self.all + other.all, self.losing + other.losing);
        (self.erring, self.last) = (self.erring + other.erring, self.last.max(other.last));
    }

    /// What sums come to beside them: a majority of the sidecars, so that none of them decides by how much it calls.
    fn show(&self, sums: &Sums, rules: &ZoneFailoverConfig) -> Verdict {
        if sums.lost >= rules.alarm_log_likelihood && self.losing * 2 > self.all {
            Verdict::Unreachable
        } else if sums.failed >= rules.alarm_log_likelihood && self.erring * 2 > self.all {
            Verdict::Failing
        } else {
            Verdict::Uncertain
        }
    }
}

impl Seen {
    fn saw(&mut self, now: Duration, calls: &CallCounts, well: bool) {
        self.since.get_or_insert(now);
        let (served, took) = (f64::from(calls.served), f64::from(calls.took_ms));
        let usual = f64::from(calls.expected_ms);
        self.served.add(now, served, FADES_S);
        self.took_ms.add(now, took, FADES_S);
        self.usual_ms.add(now, usual, FADES_S);
        self.lost.add(now, f64::from(calls.lost()), FADES_S);
        self.quick.0.add(now, f64::from(calls.total().saturating_sub(calls.lost())), QUICK_S);
        self.quick.1.add(now, f64::from(calls.lost()), QUICK_S);
        self.full.add(now, f64::from(calls.rejected), FADES_S);
        let ran = self.since.map_or(0.0, |since| now.saturating_sub(since).as_secs_f64());
        if well && ran >= FADES_S * 3.0 {
            let rate = self.served.read(now, FADES_S) / FADES_S;
            let most = self.most.read(now, BORNE_FADES_S).max(rate);
            self.most = Rate { sum: most, at: now };
        }
        // What is slow now is not what it was before.
        let before =
            if self.before_usual.sum > 0.0 { self.before_took.sum / self.before_usual.sum } else { 1.0 };
        let usual_for_it = took <= usual * before.max(0.1) * SLOW_FROM || self.before.sum < 10.0;
        let passed = now.saturating_sub(self.before_at).as_secs_f64();
        self.before_at = now;
        if well && served > 0.0 && usual_for_it {
            // Time in which nothing was told of it well is none of that time.
            self.before_s.add(now, if passed > 2.0 { 0.0 } else { passed }, BEFORE_FADES_S);
            self.before.add(now, served, BEFORE_FADES_S);
            self.before_took.add(now, took, BEFORE_FADES_S);
            self.before_usual.add(now, usual, BEFORE_FADES_S);
        }
    }
}

//! Records how a sidecar's own calls end, until the next digest takes the counts.

use super::digest::{CallCounts, Digest, MAX_ROWS};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A served call that takes more than this multiple of its class's mean is slow.
const SLOW_MULTIPLE: f64 = 3.0;
/// A call that is in flight for more than this multiple of its class's mean is overdue ...
const OVERDUE_MULTIPLE: f64 = 4.0;
/// ... if that is more than this as well.
const MIN_OVERDUE: Duration = Duration::from_millis(150);
/// Weight of one served call in its class's mean, once there were many: so small that a zone that becomes slow is seen
/// before its slowness is the mean.
const MEAN_WEIGHT: f64 = 0.005;
/// Where nothing is lost, rejected or failing, digests are at least this far apart.
const QUIET_DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Bound on calls that are watched while in flight; those beyond it are not recorded.
const MAX_CALLS_IN_FLIGHT: usize = 4096;
/// Bound on classes; those beyond it share the last mean.
const MAX_CLASSES: usize = 64;
/// A call whose end was never reported is forgotten after this.
const MAX_CALL_AGE: Duration = Duration::from_secs(120);

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Served.
    Served,
    /// Rejected without being processed.
    Rejected,
    /// Answered with an error.
    Failed,
    /// The connection was not established, or broke.
    Unreachable,
    /// Not answered in time.
    TimedOut,
    /// Cancelled before it ended.
    Cancelled,
}

#[derive(Clone, Copy, Debug)]
struct CallInFlight {
    zone: usize,
    class: usize,
    started_at: Duration,
    overdue: bool,
}

/// The mean duration of a class's served calls: a plain mean at first, then an exponentially weighted one.
#[derive(Clone, Copy, Debug, Default)]
struct ClassMean {
    seconds: f64,
    samples: u32,
}

impl ClassMean {
    fn is_slow(&self, took_s: f64) -> bool {
        self.samples > 0 && took_s > self.seconds * SLOW_MULTIPLE
    }

    fn add(&mut self, took_s: f64) {
        self.samples = self.samples.saturating_add(1);
        self.seconds += MEAN_WEIGHT.max(1.0 / f64::from(self.samples)) * (took_s - self.seconds);
    }

    fn overdue_after(&self) -> Duration {
        MIN_OVERDUE.max(Duration::from_secs_f64(self.seconds * OVERDUE_MULTIPLE))
    }
}

/// Counts of a sidecar's calls since its last digest, and the calls in flight.
#[derive(Clone, Debug)]
pub struct CallRecorder {
    zone: String,
    sequence: u64,
    /// Names of the called zones, by the index that callers use.
    zones: Vec<String>,
    /// By zone index.
    counts: Vec<CallCounts>,
    /// When a call into each zone was last served.
    last_served_at: Vec<Duration>,
    in_flight: HashMap<(u64, u32), CallInFlight>,
    /// By class.
    means: Vec<ClassMean>,
    last_digest_at: Duration,
}

impl CallRecorder {
    /// A recorder for a sidecar in `zone` that calls into `zones`; zones beyond [`MAX_ROWS`] are not recorded.
    pub fn new(zone: &str, mut zones: Vec<String>) -> CallRecorder {
        zones.truncate(MAX_ROWS);
        CallRecorder {
            zone: zone.to_owned(),
            sequence: 0,
            counts: vec![CallCounts::default(); zones.len()],
            last_served_at: vec![Duration::ZERO; zones.len()],
            zones,
            in_flight: HashMap::new(),
            means: Vec::new(),
            last_digest_at: Duration::ZERO,
        }
    }

    /// A call into a zone begins. `call` identifies it among those in flight; zone and class are indexes.
    pub fn call_started(&mut self, now: Duration, call: (u64, u32), zone: usize, class: usize) {
        if zone < self.zones.len() && self.in_flight.len() < MAX_CALLS_IN_FLIGHT {
            let class = class.min(MAX_CLASSES - 1);
            self.in_flight.insert(call, CallInFlight { zone, class, started_at: now, overdue: false });
        }
    }

    /// A call has ended after this time.
    pub fn call_finished(&mut self, call: (u64, u32), outcome: CallOutcome, took: Duration) {
        let Some(call) = self.in_flight.remove(&call) else { return };
        if outcome == CallOutcome::Served {
            self.call_served(call, took);
        }
        let mean = self.means.get(call.class).copied().unwrap_or_default();
        let counts = &mut self.counts[call.zone];
        match outcome {
            CallOutcome::Served => counts.lost_streak = 0,
            CallOutcome::Rejected => {
                counts.rejected += 1;
                counts.lost_streak = 0;
            }
            CallOutcome::Failed => {
                counts.failed += 1;
                counts.lost_streak = 0;
            }
            CallOutcome::Unreachable => {
                counts.unreachable += 1;
                counts.lost_streak += 1;
            }
            // It was counted when it became overdue.
            CallOutcome::TimedOut | CallOutcome::Cancelled if call.overdue => {}
            CallOutcome::TimedOut => {
                counts.timed_out += 1;
                counts.lost_streak += 1;
            }
            // Cancelled since a hedged request was served first: one that took so long is as good as not answered.
            CallOutcome::Cancelled => {
                let lost = u32::from(mean.is_slow(took.as_secs_f64()));
                counts.timed_out += lost;
                counts.lost_streak += lost;
            }
        }
    }

    fn call_served(&mut self, call: CallInFlight, took: Duration) {
        if self.means.len() <= call.class {
            self.means.resize(call.class + 1, ClassMean::default());
        }
        let mean = &mut self.means[call.class];
        let counts = &mut self.counts[call.zone];
        let took_s = took.as_secs_f64();
        self.last_served_at[call.zone] = call.started_at + took;
        counts.served += 1;
        counts.recovered += u32::from(call.overdue);
        counts.took_ms = counts.took_ms.saturating_add(took.as_millis() as u32);
        counts.slow += u32::from(mean.is_slow(took_s));
        mean.add(took_s);
        counts.expected_ms = counts.expected_ms.saturating_add((mean.seconds * 1e3).round() as u32);
    }

    /// A probe of a zone has ended.
    pub fn probe_finished(&mut self, zone: usize, answered: bool) {
        if let Some(counts) = self.counts.get_mut(zone) {
            *if answered { &mut counts.probes_answered } else { &mut counts.probes_unanswered } += 1;
        }
    }

    /// Takes what was recorded since the last digest. None if that is nothing, or if all is well and the last digest was
    /// recent. With `renew_after` a digest is due that long after the last one even if it is empty.
    pub fn take_digest(&mut self, now: Duration, renew_after: Option<Duration>) -> Option<Digest> {
        self.update_calls_in_flight(now);
        let interval = now.saturating_sub(self.last_digest_at);
        let is_recent = interval < renew_after.unwrap_or(QUIET_DIGEST_INTERVAL);
        if is_recent && !self.counts.iter().any(CallCounts::is_noteworthy) {
            return None;
        }
        let calls_by_zone = self.take_counts(now);
        if calls_by_zone.is_empty() && renew_after.is_none() {
            return None;
        }
        self.sequence += 1;
        self.last_digest_at = now;
        Some(Digest {
            sequence: self.sequence,
            sent_at_ms: now.as_millis() as u64,
            zone: self.zone.clone(),
            interval_ms: u32::try_from(interval.as_millis()).unwrap_or(u32::MAX),
            calls_by_zone,
        })
    }

    /// Forgets calls whose end was never reported, and counts those that have become overdue.
    fn update_calls_in_flight(&mut self, now: Duration) {
        self.in_flight.retain(|_, call| now.saturating_sub(call.started_at) < MAX_CALL_AGE);
        for call in self.in_flight.values_mut().filter(|call| !call.overdue) {
            let mean = self.means.get(call.class).copied().unwrap_or_default();
            if now.saturating_sub(call.started_at) > mean.overdue_after() {
                call.overdue = true;
                let counts = &mut self.counts[call.zone];
                counts.overdue += 1;
                counts.lost_streak += 1;
            }
        }
    }

    /// Takes the counts of zones that have any, and leaves them at zero.
    fn take_counts(&mut self, now: Duration) -> BTreeMap<String, CallCounts> {
        for (counts, served_at) in self.counts.iter_mut().zip(&self.last_served_at) {
            if counts.served > 0 {
                counts.last_served_ms_ago = now.saturating_sub(*served_at).as_millis() as u32;
            }
        }
        let empty = vec![CallCounts::default(); self.zones.len()];
        let counts = std::mem::replace(&mut self.counts, empty);
        let by_zone = self.zones.iter().zip(counts).filter(|(_, counts)| *counts != CallCounts::default());
        by_zone.map(|(zone, counts)| (zone.clone(), counts)).collect()
    }
}

//! Evidence: what sidecars' own calls show, in bounded digests, merged by pair of halls.

use crate::peer::PeerId;
use crate::record::MAX_TEXT_BYTES;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Rows of a digest at the most: halls that one sidecar calls into.
pub const MAX_ROWS: usize = 128;
/// Sidecars whose digests are kept at the most.
pub const MAX_SIDECARS: usize = 20_000;
/// A digest that is older than this says nothing any more.
pub const FRESHNESS: Duration = Duration::from_secs(3);
/// One that was under way for so much longer than the quickest of that sidecar's is a message from the past, as a cut that
/// ends lets through.
pub const MAX_TRANSIT_DELAY: Duration = Duration::from_millis(1500);
/// Clocks of two processes run apart by no more than this part.
const MAX_CLOCK_DRIFT: f64 = 0.001;
/// What is known of a sidecar that says nothing is kept for so long.
const RETENTION: Duration = Duration::from_secs(60);
/// Calls that one sidecar adds to a sum at the most, over one digest's time: a busy one, or a liar, weighs no more
/// than so many calls of others.
pub const MAX_CALLS_PER_DIGEST: u32 = 20;

/// What became of the calls into one hall, in a digest's time.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Served in time.
    pub served: u32,
    /// Of these, slower than usual.
    pub slow: u32,
    /// Turned away unseen, as a busy endpoint does.
    pub rejected: u32,
    /// Answered with an error.
    pub failed: u32,
    /// Never connected, or the connection broke.
    pub unreachable: u32,
    /// Given up without an answer, and not counted as overdue before.
    pub timed_out: u32,
    /// Still out after longer than any should be: each once.
    pub overdue: u32,
    /// Of those, served after all.
    pub recovered: u32,
    /// Milliseconds that the served ones took, together ...
    pub took_ms: u32,
    /// ... and that they would have, had each taken what its class usually takes anywhere.
    pub expected_ms: u32,
    /// How many milliseconds ago the last one was served, where one was.
    pub last_served_ms_ago: u32,
    /// Calls lost since the last one that was answered: what came before a hall was gone speaks of what it was.
    pub lost_streak: u32,
    /// Probes that were answered, by anything at all.
    pub probes_answered: u32,
    /// Probes that were not.
    pub probes_unanswered: u32,
}

impl CallCounts {
    /// Calls of which something is known.
    pub fn total(&self) -> u32 {
        let CallCounts {
            served,
            rejected: full,
            failed: error,
            unreachable: gone,
            timed_out: silent,
            overdue,
            recovered: back,
            ..
        } = *self;
        (served + full + error + gone + silent + overdue).saturating_sub(back)
    }

    /// Of these, lost: nobody there, or nobody answers. A hall that turns calls away, or answers with errors, is there.
    pub fn lost(&self) -> u32 {
        (self.unreachable + self.timed_out + self.overdue).saturating_sub(self.recovered)
    }

    fn is_valid(&self) -> bool {
        let CallCounts {
            served,
            slow,
            rejected: full,
            failed: error,
            unreachable: gone,
            timed_out: silent,
            overdue,
            recovered: back,
            ..
        } = *self;
        // More than this no process has out in a digest's time; sums of them stay far from any bound.
        let all =
            [served, full, error, gone, silent, overdue, self.probes_answered, self.probes_unanswered];
        all.iter().all(|n| *n <= 10_000_000)
            && slow <= served
            && back <= served
            && self.lost_streak <= gone + silent + overdue
    }

    fn add(&mut self, other: &CallCounts) {
        let sum = |a: &mut u32, b: u32| *a = a.saturating_add(b);
        sum(&mut self.served, other.served);
        sum(&mut self.slow, other.slow);
        sum(&mut self.rejected, other.rejected);
        sum(&mut self.failed, other.failed);
        sum(&mut self.unreachable, other.unreachable);
        sum(&mut self.timed_out, other.timed_out);
        sum(&mut self.overdue, other.overdue);
        sum(&mut self.recovered, other.recovered);
        sum(&mut self.took_ms, other.took_ms);
        sum(&mut self.expected_ms, other.expected_ms);
        self.last_served_ms_ago = self.last_served_ms_ago.min(other.last_served_ms_ago);
        self.lost_streak = if other.total() > other.lost() {
            other.lost_streak
        } else {
            self.lost_streak.saturating_add(other.lost_streak)
        };
        sum(&mut self.probes_answered, other.probes_answered);
        sum(&mut self.probes_unanswered, other.probes_unanswered);
    }

    /// No more than so many calls of it, in the same proportions.
    pub fn capped(&self, most: u32) -> CallCounts {
        let known = self.total();
        if known <= most {
            return *self;
        }
        let part = |n: u32| (u64::from(n) * u64::from(most) / u64::from(known)) as u32;
        CallCounts {
            served: part(self.served),
            slow: part(self.slow),
            rejected: part(self.rejected),
            failed: part(self.failed),
            unreachable: part(self.unreachable),
            timed_out: part(self.timed_out),
            overdue: part(self.overdue),
            recovered: part(self.recovered),
            took_ms: part(self.took_ms),
            expected_ms: part(self.expected_ms),
            lost_streak: self.lost_streak.min(most),
            ..*self
        }
    }
}

/// A sidecar's digest.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// Which of the sidecar's digests, rising within an incarnation.
    pub sequence: u64,
    /// When it was told, in milliseconds of the sidecar's steady clock, from wherever that counts: by it one that was held up on
    /// its way is known.
    pub sent_at_ms: u64,
    /// Its hall.
    pub zone: String,
    /// The time that it is over, in milliseconds.
    pub interval_ms: u32,
    /// By hall, those alone into which there were calls.
    pub calls_by_zone: BTreeMap<String, CallCounts>,
}

/// A digest as builds of the first format tell it: it is read, and says nothing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LegacyDigest {
    sequence: u64,
    zone: String,
    over_ms: u32,
    rows: BTreeMap<String, [f64; 5]>,
}

/// Why a digest is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DigestRejection {
    /// A newer one of that sidecar is there: it was late, repeated, or of an old incarnation.
    #[error("it is older than what is known of that sidecar")]
    Outdated,
    /// It was held up on its way for longer than it speaks for: a message from the past.
    #[error("it was under way for over {MAX_TRANSIT_DELAY:?}")]
    Delayed,
    /// Too many rows, or numbers that can't be.
    #[error("its numbers can't be")]
    Invalid,
    /// Too many sidecars.
    #[error("{MAX_SIDECARS} sidecars are known")]
    CapacityExceeded,
}

/// How a call ended, for a witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Served.
    Served,
    /// Turned away unseen.
    Rejected,
    /// Answered with an error.
    Failed,
    /// Never connected, or the connection broke.
    Unreachable,
    /// Without an answer in time.
    TimedOut,
    /// Called off before it ended.
    Cancelled,
}

/// A served call that takes over this multiple of its class's mean is slow.
const SLOW_MULTIPLE: f64 = 3.0;
/// One that is out for over this multiple of it is overdue, and for over this time at the least.
const OVERDUE_MULTIPLE: f64 = 4.0;
const MIN_OVERDUE: Duration = Duration::from_millis(150);
/// Weight of one served call in that mean, once there were many: so little that a hall that turns slow is seen before its
/// slowness is what is usual.
const MEAN_WEIGHT: f64 = 0.005;
/// Where nothing is lost, turned away or failing, what was seen is told this often at the most.
const QUIET_DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Calls that are watched while they are out, and classes, at the most; others are seen only as they end.
const MAX_CALLS_IN_FLIGHT: usize = 4096;
const MAX_CLASSES: usize = 64;

const MAX_CALL_AGE: Duration = Duration::from_secs(120);

/// A call that is out.
#[derive(Clone, Copy, Debug)]
struct Out {
    zone: usize,
    class: usize,
    since: Duration,
    overdue: bool,
}

/// A sidecar's own calls, until they are told.
#[derive(Clone, Debug)]
pub struct CallRecorder {
    zone: String,
    sequence: u64,
    /// The halls' names, by number.
    zones: Vec<String>,
    rows: Vec<CallCounts>,
    /// When a call into each was last served.
    served_at: Vec<Duration>,
    out: HashMap<(u64, u32), Out>,
    /// By class: how long one that is served takes, in seconds, and how many were.
    means: Vec<(f64, u32)>,
    told_at: Duration,
}

impl CallRecorder {
    /// One in this hall, which has seen nothing; of more halls than a digest has rows the later ones are left out.
    pub fn new(zone: &str, mut zones: Vec<String>) -> CallRecorder {
        zones.truncate(MAX_ROWS);
        let rows = vec![CallCounts::default(); zones.len()];
        let served_at = vec![Duration::ZERO; zones.len()];
        let (out, means, told_at) = Default::default();
        CallRecorder { zone: zone.to_owned(), sequence: 0, zones, rows, served_at, out, means, told_at }
    }

    /// A call goes out: into a hall, of a class, by their numbers. `call` tells it from all others that are out.
    pub fn call_started(&mut self, now: Duration, call: (u64, u32), zone: usize, class: usize) {
        if zone < self.zones.len() && self.out.len() < MAX_CALLS_IN_FLIGHT {
            let class = class.min(MAX_CLASSES - 1);
            self.out.insert(call, Out { zone, class, since: now, overdue: false });
        }
    }

    /// It has ended so, after this long.
    pub fn call_finished(&mut self, call: (u64, u32), how: CallOutcome, took: Duration) {
        let Some(out) = self.out.remove(&call) else { return };
        let row = &mut self.rows[out.zone];
        let lost_before = row.unreachable + row.timed_out;
        match how {
            CallOutcome::Rejected => row.rejected += 1,
            CallOutcome::Failed => row.failed += 1,
            CallOutcome::Unreachable => row.unreachable += 1,
            CallOutcome::TimedOut => row.timed_out += u32::from(!out.overdue),
            // Called off since another copy was served first: one that took long enough for that is as good as silent.
            CallOutcome::Cancelled => {
                let (mean, seen) = self.means.get(out.class).copied().unwrap_or_default();
                let long = seen > 0 && took.as_secs_f64() > mean * SLOW_MULTIPLE;
                row.timed_out += u32::from(long && !out.overdue);
            }
            CallOutcome::Served => {
                self.served_at[out.zone] = out.since + took;
                row.served += 1;
                row.recovered += u32::from(out.overdue);
                row.took_ms = row.took_ms.saturating_add(took.as_millis() as u32);
                if self.means.len() <= out.class {
                    self.means.resize(out.class + 1, (0.0, 0));
                }
                let ((mean, seen), took) = (&mut self.means[out.class], took.as_secs_f64());
                row.slow += u32::from(*seen > 0 && took > *mean * SLOW_MULTIPLE);
                *seen = seen.saturating_add(1);
                *mean += MEAN_WEIGHT.max(1.0 / f64::from(*seen)) * (took - *mean);
                row.expected_ms = row.expected_ms.saturating_add((*mean * 1e3).round() as u32);
            }
        }
        if matches!(how, CallOutcome::Served | CallOutcome::Rejected | CallOutcome::Failed) {
            row.lost_streak = 0;
        }
        row.lost_streak += row.unreachable + row.timed_out - lost_before;
    }

    /// A probe into a hall has ended.
    pub fn probe_finished(&mut self, zone: usize, answered: bool) {
        if let Some(row) = self.rows.get_mut(zone) {
            *if answered { &mut row.probes_answered } else { &mut row.probes_unanswered } += 1;
        }
    }

    /// What was seen since the last one; none where that is nothing, or where all is well and was told lately. One that
    /// `renews` tells it all the same, so long after the last.
    pub fn take_digest(&mut self, now: Duration, renews: Option<Duration>) -> Option<Digest> {
        // One whose end was never told, for whatever reason, is not watched for ever.
        self.out.retain(|_, out| now.saturating_sub(out.since) < MAX_CALL_AGE);
        let means = &self.means;
        for out in self.out.values_mut().filter(|out| !out.overdue) {
            let mean = means.get(out.class).map_or(0.0, |(mean, _)| *mean);
            let most = MIN_OVERDUE.max(Duration::from_secs_f64(mean * OVERDUE_MULTIPLE));
            if now.saturating_sub(out.since) > most {
                out.overdue = true;
                let row = &mut self.rows[out.zone];
                (row.overdue, row.lost_streak) = (row.overdue + 1, row.lost_streak + 1);
            }
        }
        let over = now.saturating_sub(self.told_at);
        let calm = |row: &CallCounts| {
            row.lost()
                + row.rejected
                + row.failed
                + row.recovered
                + row.probes_answered
                + row.probes_unanswered
                == 0
        };
        if over < renews.unwrap_or(QUIET_DIGEST_INTERVAL) && self.rows.iter().all(calm) {
            return None;
        }
        for (row, served) in self.rows.iter_mut().zip(&self.served_at).filter(|(row, _)| row.served > 0) {
            row.last_served_ms_ago = now.saturating_sub(*served).as_millis() as u32;
        }
        let rows = std::mem::replace(&mut self.rows, vec![CallCounts::default(); self.zones.len()]);
        let rows = self.zones.iter().zip(rows).filter(|(_, row)| *row != CallCounts::default());
        let rows: BTreeMap<String, CallCounts> = rows.map(|(zone, row)| (zone.clone(), row)).collect();
        if rows.is_empty() && renews.is_none() {
            return None;
        }
        self.sequence += 1;
        self.told_at = now;
        let over_ms = u32::try_from(over.as_millis()).unwrap_or(u32::MAX);
        let at_ms = now.as_millis() as u64;
        Some(Digest {
            sequence: self.sequence,
            sent_at_ms: at_ms,
            zone: self.zone.clone(),
            interval_ms: over_ms,
            calls_by_zone: rows,
        })
    }
}

/// What is known of one pair of halls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZonePairSummary {
    /// Sums over the witnesses, capped for each.
    pub calls: CallCounts,
    /// Sidecars that have called lately.
    pub witnesses: u32,
    /// Of these, to whom most calls were lost.
    pub losing: u32,
}

/// What one sidecar said last.
#[derive(Clone, Debug)]
struct Newest {
    incarnation: u64,
    at: Duration,
    digest: Digest,
    /// How far this clock is ahead of the sidecar's, in milliseconds, with the way of the quickest digest so far.
    ahead_ms: f64,
}

/// The newest digest of each sidecar.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    newest: BTreeMap<String, Newest>,
}

impl Evidence {
    /// A digest has come.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn record(&mut self, now: Duration, from: &PeerId, digest: &Digest) -> Result<(), DigestRejection> {
        let sensible =
            |(zone, calls): (&String, &CallCounts)| zone.len() <= MAX_TEXT_BYTES && calls.is_valid();
        let rows = digest.calls_by_zone.len() <= MAX_ROWS && digest.calls_by_zone.iter().all(sensible);
        if !rows || digest.zone.len() > MAX_TEXT_BYTES {
            return Err(DigestRejection::Invalid);
        }
        let ahead_ms = now.as_secs_f64() * 1e3 - digest.sent_at_ms as f64;
        if !self.newest.contains_key(&from.name) && self.newest.len() >= MAX_SIDECARS {
            self.newest.retain(|_, newest| now.saturating_sub(newest.at) <= RETENTION);
            if self.newest.len() >= MAX_SIDECARS {
                return Err(DigestRejection::CapacityExceeded);
            }
        }
        // Of an incarnation that is new here nothing tells how long its first one was under way.
        let mut least_ms = ahead_ms;
        if let Some(newest) = self.newest.get(&from.name) {
            let kept = now.saturating_sub(newest.at);
            let same = from.incarnation == newest.incarnation;
            let older = (from.incarnation, digest.sequence) <= (newest.incarnation, newest.digest.sequence);
            // One that says nothing any more keeps nobody from saying something.
            if older && (same || kept <= FRESHNESS) {
                return Err(DigestRejection::Outdated);
            }
            if same {
                least_ms = ahead_ms.min(newest.ahead_ms + kept.as_secs_f64() * 1e3 * MAX_CLOCK_DRIFT);
            }
        }
        let late = ahead_ms - least_ms > MAX_TRANSIT_DELAY.as_secs_f64() * 1e3;
        if late {
            return Err(DigestRejection::Delayed);
        }
        let (incarnation, digest) = (from.incarnation, digest.clone());
        self.newest.insert(from.name.clone(), Newest { incarnation, at: now, digest, ahead_ms: least_ms });
        Ok(())
    }

    /// What is known now by pair of halls, from and to.
    pub fn zone_pairs(&self, now: Duration) -> BTreeMap<(&str, &str), ZonePairSummary> {
        let mut pairs: BTreeMap<(&str, &str), ZonePairSummary> = BTreeMap::new();
        let fresh = self.newest.values().filter(|newest| now.saturating_sub(newest.at) <= FRESHNESS);
        for Newest { digest, .. } in fresh {
            for (to, calls) in digest.calls_by_zone.iter().filter(|(_, calls)| calls.total() > 0) {
                let pair = pairs.entry((&digest.zone, to)).or_default();
                pair.calls.add(&calls.capped(MAX_CALLS_PER_DIGEST));
                pair.witnesses += 1;
                pair.losing += u32::from(calls.lost() > calls.total() / 2);
            }
        }
        pairs
    }

    /// Sidecars whose digests are kept.
    pub fn sidecar_count(&self) -> usize {
        self.newest.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn digest(sequence: u64, asked: u32, silent: u32) -> Digest {
        let calls =
            CallCounts { served: asked.saturating_sub(silent), timed_out: silent, ..CallCounts::default() };
        let rows = [("b".to_owned(), calls)].into();
        Digest {
            sequence,
            sent_at_ms: 1000 + sequence * 500,
            zone: "a".to_owned(),
            interval_ms: 500,
            calls_by_zone: rows,
        }
    }

    fn who(name: &str, incarnation: u64) -> PeerId {
        PeerId { name: name.to_owned(), incarnation }
    }

    #[test]
    fn what_is_late_repeated_or_of_an_old_incarnation_is_not_taken() {
        let (mut evidence, now) = (Evidence::default(), Duration::from_secs(9));
        let cases = [
            (1, 5, Ok(())),
            (1, 5, Err(DigestRejection::Outdated)),
            (1, 4, Err(DigestRejection::Outdated)),
            (2, 1, Ok(())),
            (1, 6, Err(DigestRejection::Outdated)),
            (2, 2, Ok(())),
        ];
        for (incarnation, sequence, wanted) in cases {
            let taken = evidence.record(now, &who("s", incarnation), &digest(sequence, 4, 0));
            assert_eq!(taken, wanted, "{incarnation} {sequence}");
        }
        for calls in [
            CallCounts { served: 20_000_000, ..CallCounts::default() },
            CallCounts { served: 1, slow: 2, ..CallCounts::default() },
            CallCounts { served: 1, recovered: 2, ..CallCounts::default() },
        ] {
            let rows = [("b".to_owned(), calls)].into();
            let taken =
                evidence.record(now, &who("s", 3), &Digest { calls_by_zone: rows, ..digest(1, 1, 0) });
            assert_eq!(taken, Err(DigestRejection::Invalid), "{calls:?}");
        }
        // What is too old to say anything keeps nobody from saying something.
        assert_eq!(evidence.record(now + FRESHNESS * 2, &who("s", 1), &digest(1, 4, 0)), Ok(()));
    }

    #[test]
    fn what_was_held_up_on_its_way_is_known_by_the_tellers_own_clock() {
        let (mut evidence, ms) = (Evidence::default(), Duration::from_millis);
        // When it comes, its sequence (told every 500 ms of a clock that is seconds off), and whether it is taken.
        let cases = [
            (9000, 1, Ok(())),
            (9520, 2, Ok(())),
            (10_900, 4, Ok(())),
            // A cut that ends lets three through at once: the last is late by 1.2 s.
            (14_100, 6, Err(DigestRejection::Delayed)),
            (14_100, 7, Err(DigestRejection::Delayed)),
            (14_100, 8, Err(DigestRejection::Delayed)),
            (14_100, 9, Ok(())),
            (14_050, 10, Ok(())),
        ];
        for (at, sequence, wanted) in cases {
            let taken = evidence.record(ms(at), &who("s", 1), &digest(sequence, 4, 0));
            assert_eq!(taken, wanted, "{sequence} at {at}");
        }
        // A start's clock begins anew.
        assert_eq!(evidence.record(ms(20_000), &who("s", 2), &digest(1, 4, 0)), Ok(()));
        assert_eq!(
            evidence.record(ms(24_000), &who("s", 2), &digest(2, 4, 0)),
            Err(DigestRejection::Delayed)
        );
        // One that was never heard of finds room once others have said nothing for long.
        assert_eq!(evidence.sidecar_count(), 1);
    }

    #[test]
    fn a_witness_tells_each_call_once() {
        let zones = ["a", "b", "c"].map(str::to_owned).to_vec();
        let (mut witness, ms) = (CallRecorder::new("a", zones), Duration::from_millis);
        assert_eq!(witness.take_digest(ms(2000), None), None, "nothing was seen");
        // Hall, how, after how long.
        let calls = [
            (1, CallOutcome::Served, 10),
            (1, CallOutcome::Served, 90),
            (1, CallOutcome::TimedOut, 500),
            (2, CallOutcome::Unreachable, 1),
            (2, CallOutcome::Cancelled, 1),
            (2, CallOutcome::Cancelled, 400),
            (9, CallOutcome::Served, 1),
        ];
        for (n, (zone, how, took)) in calls.iter().enumerate() {
            witness.call_started(ms(0), (n as u64, 0), *zone, 0);
            witness.call_finished((n as u64, 0), *how, ms(*took));
        }
        let digest = witness.take_digest(ms(2500), None).unwrap();
        let b = CallCounts {
            served: 2,
            last_served_ms_ago: 2410,
            timed_out: 1,
            lost_streak: 1,
            slow: 1,
            took_ms: 100,
            expected_ms: 60,
            ..CallCounts::default()
        };
        let c = digest.calls_by_zone["c"];
        assert_eq!((digest.calls_by_zone["b"], c.unreachable, c.timed_out, digest.sequence), (b, 1, 1, 1));
        assert_eq!(witness.take_digest(ms(5000), None), None, "each is told once");
        // What is well is told after a while.
        witness.call_started(ms(5000), (9, 0), 1, 0);
        witness.call_finished((9, 0), CallOutcome::Served, ms(10));
        assert_eq!(witness.take_digest(ms(3400), None), None);
        assert_eq!(witness.take_digest(ms(3500), None).unwrap().interval_ms, 1000);
    }

    #[test]
    fn a_call_that_is_out_too_long_is_told_before_it_ends_and_taken_back_if_it_is_served() {
        for (how, back, silent) in [(CallOutcome::Served, 1, 0), (CallOutcome::TimedOut, 0, 0)] {
            let (mut witness, ms) = (CallRecorder::new("a", vec!["b".to_owned()]), Duration::from_millis);
            witness.call_started(ms(0), (1, 0), 0, 0);
            assert_eq!(witness.take_digest(ms(140), None), None, "not yet");
            let told = |digest: Option<Digest>| digest.map(|digest| digest.calls_by_zone["b"]);
            let first = told(witness.take_digest(ms(300), None)).unwrap();
            assert_eq!((first.overdue, first.lost(), first.total()), (1, 1, 1));
            assert_eq!(witness.take_digest(ms(600), None), None, "once");
            witness.call_finished((1, 0), how, ms(700));
            let then = told(witness.take_digest(ms(800), None)).unwrap_or_default();
            assert_eq!((then.recovered, then.timed_out, then.lost()), (back, silent, 0), "{how:?}");
        }
    }

    #[test]
    fn a_liar_weighs_no_more_than_a_bounded_number_of_calls_and_one_witness() {
        let (mut evidence, now) = (Evidence::default(), Duration::from_secs(9));
        for n in 0..9 {
            evidence.record(now, &who(&format!("s{n}"), 1), &digest(1, 10, 0)).unwrap();
        }
        evidence.record(now, &who("liar", 1), &digest(1, 9_000_000, 9_000_000)).unwrap();
        let pairs = evidence.zone_pairs(now);
        let pair = pairs[&("a", "b")];
        assert_eq!((pair.witnesses, pair.losing), (10, 1));
        assert!(pair.calls.timed_out <= MAX_CALLS_PER_DIGEST && pair.calls.served == 90, "{pair:?}");
        assert!(evidence.zone_pairs(now + FRESHNESS * 2).is_empty(), "old evidence is none");
    }
}

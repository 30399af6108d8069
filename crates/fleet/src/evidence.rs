//! Evidence: what sidecars' own calls show, in bounded digests, merged by pair of halls.

use crate::record::TEXT_MOST;
use crate::wire::Who;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Rows of a digest at the most: halls that one sidecar calls into.
pub const ROWS_MOST: usize = 128;
/// Sidecars whose digests are kept at the most.
pub const SIDECARS_MOST: usize = 20_000;
/// A digest that is older than this says nothing any more.
pub const FRESH: Duration = Duration::from_secs(3);
/// One that was under way for so much longer than the quickest of that sidecar's is a message from the past, as a cut that
/// ends lets through.
pub const LATE_MOST: Duration = Duration::from_millis(1500);
/// Clocks of two processes run apart by no more than this part.
const CLOCKS_APART: f64 = 0.001;
/// What is known of a sidecar that says nothing is kept for so long.
const KEPT: Duration = Duration::from_secs(60);
/// Calls that one sidecar adds to a sum at the most, over one digest's time: a busy one, or a liar, weighs no more
/// than so many calls of others.
pub const CALLS_MOST: u32 = 20;

/// What became of the calls into one hall, in a digest's time.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Calls {
    /// Served in time.
    pub served: u32,
    /// Of these, slower than usual.
    pub slow: u32,
    /// Turned away unseen, as a busy endpoint does.
    pub full: u32,
    /// Answered with an error.
    pub error: u32,
    /// Never connected, or the connection broke.
    pub gone: u32,
    /// Given up without an answer, and not counted as overdue before.
    pub silent: u32,
    /// Still out after longer than any should be: each once.
    pub overdue: u32,
    /// Of those, served after all.
    pub back: u32,
    /// Milliseconds that the served ones took, together ...
    pub took_ms: u32,
    /// ... and that they would have, had each taken what its class usually takes anywhere.
    pub usual_ms: u32,
    /// How many milliseconds ago the last one was served, where one was.
    pub ago_ms: u32,
    /// Calls lost since the last one that was answered: what came before a hall was gone speaks of what it was.
    pub streak: u32,
    /// Probes that were answered, by anything at all.
    pub there: u32,
    /// Probes that were not.
    pub not_there: u32,
}

impl Calls {
    /// Calls of which something is known.
    pub fn known(&self) -> u32 {
        let Calls { served, full, error, gone, silent, overdue, back, .. } = *self;
        (served + full + error + gone + silent + overdue).saturating_sub(back)
    }

    /// Of these, lost: nobody there, or nobody answers. A hall that turns calls away, or answers with errors, is there.
    pub fn lost(&self) -> u32 {
        (self.gone + self.silent + self.overdue).saturating_sub(self.back)
    }

    fn is_sensible(&self) -> bool {
        let Calls { served, slow, full, error, gone, silent, overdue, back, .. } = *self;
        // More than this no process has out in a digest's time; sums of them stay far from any bound.
        let all = [served, full, error, gone, silent, overdue, self.there, self.not_there];
        all.iter().all(|n| *n <= 10_000_000)
            && slow <= served
            && back <= served
            && self.streak <= gone + silent + overdue
    }

    fn add(&mut self, other: &Calls) {
        let sum = |a: &mut u32, b: u32| *a = a.saturating_add(b);
        sum(&mut self.served, other.served);
        sum(&mut self.slow, other.slow);
        sum(&mut self.full, other.full);
        sum(&mut self.error, other.error);
        sum(&mut self.gone, other.gone);
        sum(&mut self.silent, other.silent);
        sum(&mut self.overdue, other.overdue);
        sum(&mut self.back, other.back);
        sum(&mut self.took_ms, other.took_ms);
        sum(&mut self.usual_ms, other.usual_ms);
        self.ago_ms = self.ago_ms.min(other.ago_ms);
        self.streak = if other.known() > other.lost() {
            other.streak
        } else {
            self.streak.saturating_add(other.streak)
        };
        sum(&mut self.there, other.there);
        sum(&mut self.not_there, other.not_there);
    }

    /// No more than so many calls of it, in the same proportions.
    pub fn capped(&self, most: u32) -> Calls {
        let known = self.known();
        if known <= most {
            return *self;
        }
        let part = |n: u32| (u64::from(n) * u64::from(most) / u64::from(known)) as u32;
        Calls {
            served: part(self.served),
            slow: part(self.slow),
            full: part(self.full),
            error: part(self.error),
            gone: part(self.gone),
            silent: part(self.silent),
            overdue: part(self.overdue),
            back: part(self.back),
            took_ms: part(self.took_ms),
            usual_ms: part(self.usual_ms),
            streak: self.streak.min(most),
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
    pub at_ms: u64,
    /// Its hall.
    pub hall: String,
    /// The time that it is over, in milliseconds.
    pub over_ms: u32,
    /// By hall, those alone into which there were calls.
    pub rows: BTreeMap<String, Calls>,
}

/// A digest as builds of the first format tell it: it is read, and says nothing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OldDigest {
    sequence: u64,
    hall: String,
    over_ms: u32,
    rows: BTreeMap<String, [f64; 5]>,
}

/// Why a digest is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum NotTaken {
    /// A newer one of that sidecar is there: it was late, repeated, or of an old incarnation.
    #[error("it is older than what is known of that sidecar")]
    Old,
    /// It was held up on its way for longer than it speaks for: a message from the past.
    #[error("it was under way for over {LATE_MOST:?}")]
    Late,
    /// Too many rows, or numbers that can't be.
    #[error("its numbers can't be")]
    Senseless,
    /// Too many sidecars.
    #[error("{SIDECARS_MOST} sidecars are known")]
    NoRoom,
}

/// How a call ended, for a witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Served.
    Served,
    /// Turned away unseen.
    Full,
    /// Answered with an error.
    Error,
    /// Never connected, or the connection broke.
    Gone,
    /// Without an answer in time.
    Silent,
    /// Called off before it ended.
    Moot,
}

/// A served call that takes over this multiple of its class's mean is slow.
const SLOW_MULTIPLE: f64 = 3.0;
/// One that is out for over this multiple of it is overdue, and for over this time at the least.
const OVERDUE_MULTIPLE: f64 = 4.0;
const OVERDUE_LEAST: Duration = Duration::from_millis(150);
/// Weight of one served call in that mean, once there were many: so little that a hall that turns slow is seen before its
/// slowness is what is usual.
const MEAN_WEIGHT: f64 = 0.005;
/// Where nothing is lost, turned away or failing, what was seen is told this often at the most.
const CALM: Duration = Duration::from_secs(1);
/// Calls that are watched while they are out, and classes, at the most; others are seen only as they end.
const OUT_MOST: usize = 4096;
const CLASSES_MOST: usize = 64;

const OUT_FOR: Duration = Duration::from_secs(120);

/// A call that is out.
#[derive(Clone, Copy, Debug)]
struct Out {
    hall: usize,
    class: usize,
    since: Duration,
    overdue: bool,
}

/// A sidecar's own calls, until they are told.
#[derive(Clone, Debug)]
pub struct Witness {
    hall: String,
    sequence: u64,
    /// The halls' names, by number.
    halls: Vec<String>,
    rows: Vec<Calls>,
    /// When a call into each was last served.
    served_at: Vec<Duration>,
    out: HashMap<(u64, u32), Out>,
    /// By class: how long one that is served takes, in seconds, and how many were.
    means: Vec<(f64, u32)>,
    told_at: Duration,
}

impl Witness {
    /// One in this hall, which has seen nothing; of more halls than a digest has rows the later ones are left out.
    pub fn new(hall: &str, mut halls: Vec<String>) -> Witness {
        halls.truncate(ROWS_MOST);
        let rows = vec![Calls::default(); halls.len()];
        let served_at = vec![Duration::ZERO; halls.len()];
        let (out, means, told_at) = Default::default();
        Witness { hall: hall.to_owned(), sequence: 0, halls, rows, served_at, out, means, told_at }
    }

    /// A call goes out: into a hall, of a class, by their numbers. `call` tells it from all others that are out.
    pub fn began(&mut self, now: Duration, call: (u64, u32), hall: usize, class: usize) {
        if hall < self.halls.len() && self.out.len() < OUT_MOST {
            let class = class.min(CLASSES_MOST - 1);
            self.out.insert(call, Out { hall, class, since: now, overdue: false });
        }
    }

    /// It has ended so, after this long.
    pub fn ended(&mut self, call: (u64, u32), how: Ended, took: Duration) {
        let Some(out) = self.out.remove(&call) else { return };
        let row = &mut self.rows[out.hall];
        let lost_before = row.gone + row.silent;
        match how {
            Ended::Full => row.full += 1,
            Ended::Error => row.error += 1,
            Ended::Gone => row.gone += 1,
            Ended::Silent => row.silent += u32::from(!out.overdue),
            // Called off since another copy was served first: one that took long enough for that is as good as silent.
            Ended::Moot => {
                let (mean, seen) = self.means.get(out.class).copied().unwrap_or_default();
                let long = seen > 0 && took.as_secs_f64() > mean * SLOW_MULTIPLE;
                row.silent += u32::from(long && !out.overdue);
            }
            Ended::Served => {
                self.served_at[out.hall] = out.since + took;
                row.served += 1;
                row.back += u32::from(out.overdue);
                row.took_ms = row.took_ms.saturating_add(took.as_millis() as u32);
                if self.means.len() <= out.class {
                    self.means.resize(out.class + 1, (0.0, 0));
                }
                let ((mean, seen), took) = (&mut self.means[out.class], took.as_secs_f64());
                row.slow += u32::from(*seen > 0 && took > *mean * SLOW_MULTIPLE);
                *seen = seen.saturating_add(1);
                *mean += MEAN_WEIGHT.max(1.0 / f64::from(*seen)) * (took - *mean);
                row.usual_ms = row.usual_ms.saturating_add((*mean * 1e3).round() as u32);
            }
        }
        if matches!(how, Ended::Served | Ended::Full | Ended::Error) {
            row.streak = 0;
        }
        row.streak += row.gone + row.silent - lost_before;
    }

    /// A probe into a hall has ended.
    pub fn probed(&mut self, hall: usize, answered: bool) {
        if let Some(row) = self.rows.get_mut(hall) {
            *if answered { &mut row.there } else { &mut row.not_there } += 1;
        }
    }

    /// What was seen since the last one; none where that is nothing, or where all is well and was told lately. One that
    /// `renews` tells it all the same, so long after the last.
    pub fn digest(&mut self, now: Duration, renews: Option<Duration>) -> Option<Digest> {
        // One whose end was never told, for whatever reason, is not watched for ever.
        self.out.retain(|_, out| now.saturating_sub(out.since) < OUT_FOR);
        let means = &self.means;
        for out in self.out.values_mut().filter(|out| !out.overdue) {
            let mean = means.get(out.class).map_or(0.0, |(mean, _)| *mean);
            let most = OVERDUE_LEAST.max(Duration::from_secs_f64(mean * OVERDUE_MULTIPLE));
            if now.saturating_sub(out.since) > most {
                out.overdue = true;
                let row = &mut self.rows[out.hall];
                (row.overdue, row.streak) = (row.overdue + 1, row.streak + 1);
            }
        }
        let over = now.saturating_sub(self.told_at);
        let calm =
            |row: &Calls| row.lost() + row.full + row.error + row.back + row.there + row.not_there == 0;
        if over < renews.unwrap_or(CALM) && self.rows.iter().all(calm) {
            return None;
        }
        for (row, served) in self.rows.iter_mut().zip(&self.served_at).filter(|(row, _)| row.served > 0) {
            row.ago_ms = now.saturating_sub(*served).as_millis() as u32;
        }
        let rows = std::mem::replace(&mut self.rows, vec![Calls::default(); self.halls.len()]);
        let rows = self.halls.iter().zip(rows).filter(|(_, row)| *row != Calls::default());
        let rows: BTreeMap<String, Calls> = rows.map(|(hall, row)| (hall.clone(), row)).collect();
        if rows.is_empty() && renews.is_none() {
            return None;
        }
        self.sequence += 1;
        self.told_at = now;
        let over_ms = u32::try_from(over.as_millis()).unwrap_or(u32::MAX);
        let at_ms = now.as_millis() as u64;
        Some(Digest { sequence: self.sequence, at_ms, hall: self.hall.clone(), over_ms, rows })
    }
}

/// What is known of one pair of halls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pair {
    /// Sums over the witnesses, capped for each.
    pub calls: Calls,
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
    pub fn heard(&mut self, now: Duration, from: &Who, digest: &Digest) -> Result<(), NotTaken> {
        let sensible = |(hall, calls): (&String, &Calls)| hall.len() <= TEXT_MOST && calls.is_sensible();
        let rows = digest.rows.len() <= ROWS_MOST && digest.rows.iter().all(sensible);
        if !rows || digest.hall.len() > TEXT_MOST {
            return Err(NotTaken::Senseless);
        }
        let ahead_ms = now.as_secs_f64() * 1e3 - digest.at_ms as f64;
        if !self.newest.contains_key(&from.name) && self.newest.len() >= SIDECARS_MOST {
            self.newest.retain(|_, newest| now.saturating_sub(newest.at) <= KEPT);
            if self.newest.len() >= SIDECARS_MOST {
                return Err(NotTaken::NoRoom);
            }
        }
        // Of an incarnation that is new here nothing tells how long its first one was under way.
        let mut least_ms = ahead_ms;
        if let Some(newest) = self.newest.get(&from.name) {
            let kept = now.saturating_sub(newest.at);
            let same = from.incarnation == newest.incarnation;
            let older = (from.incarnation, digest.sequence) <= (newest.incarnation, newest.digest.sequence);
            // One that says nothing any more keeps nobody from saying something.
            if older && (same || kept <= FRESH) {
                return Err(NotTaken::Old);
            }
            if same {
                least_ms = ahead_ms.min(newest.ahead_ms + kept.as_secs_f64() * 1e3 * CLOCKS_APART);
            }
        }
        let late = ahead_ms - least_ms > LATE_MOST.as_secs_f64() * 1e3;
        if late {
            return Err(NotTaken::Late);
        }
        let (incarnation, digest) = (from.incarnation, digest.clone());
        self.newest.insert(from.name.clone(), Newest { incarnation, at: now, digest, ahead_ms: least_ms });
        Ok(())
    }

    /// What is known now by pair of halls, from and to.
    pub fn pairs(&self, now: Duration) -> BTreeMap<(&str, &str), Pair> {
        let mut pairs: BTreeMap<(&str, &str), Pair> = BTreeMap::new();
        let fresh = self.newest.values().filter(|newest| now.saturating_sub(newest.at) <= FRESH);
        for Newest { digest, .. } in fresh {
            for (to, calls) in digest.rows.iter().filter(|(_, calls)| calls.known() > 0) {
                let pair = pairs.entry((&digest.hall, to)).or_default();
                pair.calls.add(&calls.capped(CALLS_MOST));
                pair.witnesses += 1;
                pair.losing += u32::from(calls.lost() > calls.known() / 2);
            }
        }
        pairs
    }

    /// Sidecars whose digests are kept.
    pub fn sidecars(&self) -> usize {
        self.newest.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn digest(sequence: u64, asked: u32, silent: u32) -> Digest {
        let calls = Calls { served: asked.saturating_sub(silent), silent, ..Calls::default() };
        let rows = [("b".to_owned(), calls)].into();
        Digest { sequence, at_ms: 1000 + sequence * 500, hall: "a".to_owned(), over_ms: 500, rows }
    }

    fn who(name: &str, incarnation: u64) -> Who {
        Who { name: name.to_owned(), incarnation }
    }

    #[test]
    fn what_is_late_repeated_or_of_an_old_incarnation_is_not_taken() {
        let (mut evidence, now) = (Evidence::default(), Duration::from_secs(9));
        let cases = [
            (1, 5, Ok(())),
            (1, 5, Err(NotTaken::Old)),
            (1, 4, Err(NotTaken::Old)),
            (2, 1, Ok(())),
            (1, 6, Err(NotTaken::Old)),
            (2, 2, Ok(())),
        ];
        for (incarnation, sequence, wanted) in cases {
            let taken = evidence.heard(now, &who("s", incarnation), &digest(sequence, 4, 0));
            assert_eq!(taken, wanted, "{incarnation} {sequence}");
        }
        for calls in [
            Calls { served: 20_000_000, ..Calls::default() },
            Calls { served: 1, slow: 2, ..Calls::default() },
            Calls { served: 1, back: 2, ..Calls::default() },
        ] {
            let rows = [("b".to_owned(), calls)].into();
            let taken = evidence.heard(now, &who("s", 3), &Digest { rows, ..digest(1, 1, 0) });
            assert_eq!(taken, Err(NotTaken::Senseless), "{calls:?}");
        }
        // What is too old to say anything keeps nobody from saying something.
        assert_eq!(evidence.heard(now + FRESH * 2, &who("s", 1), &digest(1, 4, 0)), Ok(()));
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
            (14_100, 6, Err(NotTaken::Late)),
            (14_100, 7, Err(NotTaken::Late)),
            (14_100, 8, Err(NotTaken::Late)),
            (14_100, 9, Ok(())),
            (14_050, 10, Ok(())),
        ];
        for (at, sequence, wanted) in cases {
            let taken = evidence.heard(ms(at), &who("s", 1), &digest(sequence, 4, 0));
            assert_eq!(taken, wanted, "{sequence} at {at}");
        }
        // A start's clock begins anew.
        assert_eq!(evidence.heard(ms(20_000), &who("s", 2), &digest(1, 4, 0)), Ok(()));
        assert_eq!(evidence.heard(ms(24_000), &who("s", 2), &digest(2, 4, 0)), Err(NotTaken::Late));
        // One that was never heard of finds room once others have said nothing for long.
        assert_eq!(evidence.sidecars(), 1);
    }

    #[test]
    fn a_witness_tells_each_call_once() {
        let halls = ["a", "b", "c"].map(str::to_owned).to_vec();
        let (mut witness, ms) = (Witness::new("a", halls), Duration::from_millis);
        assert_eq!(witness.digest(ms(2000), None), None, "nothing was seen");
        // Hall, how, after how long.
        let calls = [
            (1, Ended::Served, 10),
            (1, Ended::Served, 90),
            (1, Ended::Silent, 500),
            (2, Ended::Gone, 1),
            (2, Ended::Moot, 1),
            (2, Ended::Moot, 400),
            (9, Ended::Served, 1),
        ];
        for (n, (hall, how, took)) in calls.iter().enumerate() {
            witness.began(ms(0), (n as u64, 0), *hall, 0);
            witness.ended((n as u64, 0), *how, ms(*took));
        }
        let digest = witness.digest(ms(2500), None).unwrap();
        let b = Calls {
            served: 2,
            ago_ms: 2410,
            silent: 1,
            streak: 1,
            slow: 1,
            took_ms: 100,
            usual_ms: 60,
            ..Calls::default()
        };
        let c = digest.rows["c"];
        assert_eq!((digest.rows["b"], c.gone, c.silent, digest.sequence), (b, 1, 1, 1));
        assert_eq!(witness.digest(ms(5000), None), None, "each is told once");
        // What is well is told after a while.
        witness.began(ms(5000), (9, 0), 1, 0);
        witness.ended((9, 0), Ended::Served, ms(10));
        assert_eq!(witness.digest(ms(3400), None), None);
        assert_eq!(witness.digest(ms(3500), None).unwrap().over_ms, 1000);
    }

    #[test]
    fn a_call_that_is_out_too_long_is_told_before_it_ends_and_taken_back_if_it_is_served() {
        for (how, back, silent) in [(Ended::Served, 1, 0), (Ended::Silent, 0, 0)] {
            let (mut witness, ms) = (Witness::new("a", vec!["b".to_owned()]), Duration::from_millis);
            witness.began(ms(0), (1, 0), 0, 0);
            assert_eq!(witness.digest(ms(140), None), None, "not yet");
            let told = |digest: Option<Digest>| digest.map(|digest| digest.rows["b"]);
            let first = told(witness.digest(ms(300), None)).unwrap();
            assert_eq!((first.overdue, first.lost(), first.known()), (1, 1, 1));
            assert_eq!(witness.digest(ms(600), None), None, "once");
            witness.ended((1, 0), how, ms(700));
            let then = told(witness.digest(ms(800), None)).unwrap_or_default();
            assert_eq!((then.back, then.silent, then.lost()), (back, silent, 0), "{how:?}");
        }
    }

    #[test]
    fn a_liar_weighs_no_more_than_a_bounded_number_of_calls_and_one_witness() {
        let (mut evidence, now) = (Evidence::default(), Duration::from_secs(9));
        for n in 0..9 {
            evidence.heard(now, &who(&format!("s{n}"), 1), &digest(1, 10, 0)).unwrap();
        }
        evidence.heard(now, &who("liar", 1), &digest(1, 9_000_000, 9_000_000)).unwrap();
        let pairs = evidence.pairs(now);
        let pair = pairs[&("a", "b")];
        assert_eq!((pair.witnesses, pair.losing), (10, 1));
        assert!(pair.calls.silent <= CALLS_MOST && pair.calls.served == 90, "{pair:?}");
        assert!(evidence.pairs(now + FRESH * 2).is_empty(), "old evidence is none");
    }
}

//! Evidence: what sidecars' own calls show, in bounded digests, merged by pair of halls.

use crate::record::TEXT_MOST;
use crate::wire::Who;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Rows of a digest at the most: halls that one sidecar calls into.
pub const ROWS_MOST: usize = 128;
/// Sidecars whose digests are kept at the most.
pub const SIDECARS_MOST: usize = 20_000;
/// A digest that is older than this says nothing any more.
pub const FRESH: Duration = Duration::from_secs(3);
/// Calls that one sidecar adds to a sum at the most, over one digest's time: a busy one, or a liar, weighs no more
/// than so many calls of others.
pub const CALLS_MOST: f64 = 20.0;

/// What became of the calls into one hall, in a digest's time.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Calls {
    /// Attempts that ended.
    pub asked: f64,
    /// Served in time.
    pub served: f64,
    /// Without an answer: timed out, or never connected.
    pub silent: f64,
    /// Refused or reset.
    pub refused: f64,
    /// Served, and slower than usual.
    pub slow: f64,
}

/// A sidecar's digest.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// Which of the sidecar's digests, rising within an incarnation.
    pub sequence: u64,
    /// Its hall.
    pub hall: String,
    /// The time that it is over, in milliseconds.
    pub over_ms: u32,
    /// By hall.
    pub rows: BTreeMap<String, Calls>,
}

/// Why a digest is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum NotTaken {
    /// A newer one of that sidecar is there: it was late, repeated, or of an old incarnation.
    #[error("it is older than what is known of that sidecar")]
    Old,
    /// Too many rows, or numbers that can't be.
    #[error("its numbers can't be")]
    Senseless,
    /// Too many sidecars.
    #[error("{SIDECARS_MOST} sidecars are known")]
    NoRoom,
}

impl Calls {
    fn is_sensible(&self) -> bool {
        let Calls { asked, served, silent, refused, slow } = *self;
        let all = [asked, served, silent, refused, slow];
        let ended = served + silent + refused;
        all.iter().all(|n| n.is_finite() && *n >= 0.0) && slow <= served && ended <= asked * 1.001 + 1e-6
    }

    fn add(&mut self, other: &Calls, weight: f64) {
        self.asked += other.asked * weight;
        self.served += other.served * weight;
        self.silent += other.silent * weight;
        self.refused += other.refused * weight;
        self.slow += other.slow * weight;
    }
}

/// How a call ended, for a witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Served.
    Served,
    /// Without an answer: timed out, or never connected.
    Silent,
    /// Turned away, reset, or answered with an error.
    Refused,
}

/// A served call that takes over this multiple of the mean is slow.
const SLOW_MULTIPLE: f64 = 3.0;
/// Weight of one served call in that mean.
const MEAN_WEIGHT: f64 = 0.05;

/// A sidecar's own calls, until they are told.
#[derive(Clone, Debug)]
pub struct Witness {
    hall: String,
    sequence: u64,
    rows: BTreeMap<String, Calls>,
    mean_s: f64,
}

impl Witness {
    /// One in this hall, which has seen nothing.
    pub fn new(hall: &str) -> Witness {
        Witness { hall: hall.to_owned(), sequence: 0, rows: BTreeMap::new(), mean_s: 0.0 }
    }

    /// A call into a hall has ended. Of more halls than a digest has rows the later ones are left out.
    pub fn ended(&mut self, hall: &str, how: Ended, took: Duration) {
        if !self.rows.contains_key(hall) {
            if self.rows.len() >= ROWS_MOST {
                return;
            }
            self.rows.insert(hall.to_owned(), Calls::default());
        }
        let Some(calls) = self.rows.get_mut(hall) else { return };
        calls.asked += 1.0;
        match how {
            Ended::Silent => calls.silent += 1.0,
            Ended::Refused => calls.refused += 1.0,
            Ended::Served => {
                calls.served += 1.0;
                let took = took.as_secs_f64();
                if self.mean_s > 0.0 && took > self.mean_s * SLOW_MULTIPLE {
                    calls.slow += 1.0;
                }
                self.mean_s += if self.mean_s > 0.0 { MEAN_WEIGHT * (took - self.mean_s) } else { took };
            }
        }
    }

    /// What was seen since the last one; none where that is nothing.
    pub fn digest(&mut self, over: Duration) -> Option<Digest> {
        let rows = std::mem::take(&mut self.rows);
        if rows.is_empty() {
            return None;
        }
        self.sequence += 1;
        let over_ms = u32::try_from(over.as_millis()).unwrap_or(u32::MAX);
        Some(Digest { sequence: self.sequence, hall: self.hall.clone(), over_ms, rows })
    }
}

/// What is known of one pair of halls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pair {
    /// Sums over the witnesses, capped for each.
    pub calls: Calls,
    /// Sidecars that have called lately.
    pub witnesses: u32,
    /// Of these, to whom most calls fell silent or were refused.
    pub losing: u32,
}

/// The newest digest of each sidecar.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    newest: BTreeMap<String, (u64, Duration, Digest)>,
}

impl Evidence {
    /// A digest has come.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn heard(&mut self, now: Duration, from: &Who, digest: Digest) -> Result<(), NotTaken> {
        let sensible = |(hall, calls): (&String, &Calls)| hall.len() <= TEXT_MOST && calls.is_sensible();
        let rows = digest.rows.len() <= ROWS_MOST && digest.rows.iter().all(sensible);
        if !rows || digest.hall.len() > TEXT_MOST {
            return Err(NotTaken::Senseless);
        }
        match self.newest.get(&from.name) {
            Some((incarnation, at, known)) => {
                // One that says nothing any more keeps nobody from saying something.
                let fresh = now.saturating_sub(*at) <= FRESH;
                if fresh && (from.incarnation, digest.sequence) <= (*incarnation, known.sequence) {
                    return Err(NotTaken::Old);
                }
            }
            None => {
                self.newest.retain(|_, (_, at, _)| now.saturating_sub(*at) <= FRESH);
                if self.newest.len() >= SIDECARS_MOST {
                    return Err(NotTaken::NoRoom);
                }
            }
        }
        self.newest.insert(from.name.clone(), (from.incarnation, now, digest));
        Ok(())
    }

    /// What is known now by pair of halls, from and to.
    pub fn pairs(&self, now: Duration) -> BTreeMap<(&str, &str), Pair> {
        let mut pairs: BTreeMap<(&str, &str), Pair> = BTreeMap::new();
        let fresh = self.newest.values().filter(|(_, at, _)| now.saturating_sub(*at) <= FRESH);
        for (_, _, digest) in fresh {
            for (to, calls) in digest.rows.iter().filter(|(_, calls)| calls.asked > 0.0) {
                let pair = pairs.entry((&digest.hall, to)).or_default();
                pair.calls.add(calls, (CALLS_MOST / calls.asked).min(1.0));
                pair.witnesses += 1;
                pair.losing += u32::from(calls.silent + calls.refused > calls.asked / 2.0);
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

    fn digest(sequence: u64, asked: f64, silent: f64) -> Digest {
        let calls = Calls { asked, served: asked - silent, silent, ..Calls::default() };
        let rows = [("b".to_owned(), calls)].into();
        Digest { sequence, hall: "a".to_owned(), over_ms: 500, rows }
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
            let taken = evidence.heard(now, &who("s", incarnation), digest(sequence, 4.0, 0.0));
            assert_eq!(taken, wanted, "{incarnation} {sequence}");
        }
        for (asked, silent) in [(f64::NAN, 0.0), (-1.0, 0.0), (3.0, 4.0)] {
            let taken = evidence.heard(now, &who("s", 3), digest(1, asked, silent));
            assert_eq!(taken, Err(NotTaken::Senseless), "{asked} {silent}");
        }
    }

    #[test]
    fn a_witness_tells_each_call_once() {
        let (mut witness, ms) = (Witness::new("a"), Duration::from_millis);
        assert_eq!(witness.digest(ms(500)), None, "nothing was seen");
        let calls = [
            ("b", Ended::Served, 10),
            ("b", Ended::Served, 90),
            ("b", Ended::Silent, 500),
            ("c", Ended::Refused, 1),
        ];
        calls.iter().for_each(|(hall, how, took)| witness.ended(hall, *how, ms(*took)));
        let digest = witness.digest(ms(500)).unwrap();
        let b = Calls { asked: 3.0, served: 2.0, silent: 1.0, slow: 1.0, ..Calls::default() };
        assert_eq!((digest.rows["b"], digest.rows["c"].refused, digest.sequence), (b, 1.0, 1));
        assert_eq!(witness.digest(ms(500)), None, "each is told once");
        (0..ROWS_MOST + 9).for_each(|n| witness.ended(&n.to_string(), Ended::Served, ms(1)));
        assert_eq!(witness.digest(ms(500)).unwrap().rows.len(), ROWS_MOST);
    }

    #[test]
    fn a_liar_weighs_no_more_than_a_bounded_number_of_calls_and_one_witness() {
        let (mut evidence, now) = (Evidence::default(), Duration::from_secs(9));
        for n in 0..9 {
            evidence.heard(now, &who(&format!("s{n}"), 1), digest(1, 10.0, 0.0)).unwrap();
        }
        evidence.heard(now, &who("liar", 1), digest(1, 1e9, 1e9)).unwrap();
        let pairs = evidence.pairs(now);
        let pair = pairs[&("a", "b")];
        assert_eq!((pair.witnesses, pair.losing), (10, 1));
        assert!(pair.calls.silent <= CALLS_MOST && pair.calls.served == 90.0, "{pair:?}");
        assert!(evidence.pairs(now + FRESH * 2).is_empty(), "old evidence is none");
    }
}

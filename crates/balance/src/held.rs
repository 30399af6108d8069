//! Requests that wait for room, in an order that can be walked without sorting them again. Decides nothing: what
//! a request is worth is said by the caller.
//!
//! Requests of one class and one part of its worth are worth the same at any time, however the class's worth
//! moves. So they are kept by kind, each kind by arrival; the worthiest is the best of the kinds' latest. There
//! are four kinds a class at most: within its tenant's share or over it, a client's repeat or not.

use crate::types::RequestId;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Requests that are worth the same: their class, and the part of its worth, as bits.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Kind {
    class: usize,
    part: u64,
}

impl Kind {
    pub(crate) fn new(class: usize, part: f64) -> Self {
        Kind { class, part: part.to_bits() }
    }

    pub(crate) fn class(self) -> usize {
        self.class
    }

    pub(crate) fn part(self) -> f64 {
        f64::from_bits(self.part)
    }
}

/// When a request came, and its id among those of one instant.
type Came = (Duration, RequestId);

#[derive(Clone, Copy)]
struct Place {
    kind: Kind,
    arrived: Duration,
    /// Later for each that is put in.
    number: u64,
}

/// What waits. Each operation takes time in proportion to the logarithm of how many there are.
#[derive(Default)]
pub(crate) struct Held {
    kinds: BTreeMap<Kind, BTreeSet<Came>>,
    places: HashMap<RequestId, Place>,
    numbers: u64,
}

/// How far a walk has come, by kind.
#[derive(Default)]
pub(crate) struct Walk(Vec<(Kind, Came)>);

impl Held {
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.places.contains_key(&id)
    }

    /// Puts a request in, or moves it to another arrival; then its number stays.
    pub(crate) fn put(&mut self, id: RequestId, kind: Kind, arrived: Duration) {
        let number = self.take(id).map_or(self.numbers + 1, |place| place.number);
        self.numbers = self.numbers.max(number);
        self.places.insert(id, Place { kind, arrived, number });
        self.kinds.entry(kind).or_default().insert((arrived, id));
    }

    /// Takes a request out, if it is in.
    pub(crate) fn remove(&mut self, id: RequestId) {
        self.take(id);
    }

    fn take(&mut self, id: RequestId) -> Option<Place> {
        let place = self.places.remove(&id)?;
        if let Some(all) = self.kinds.get_mut(&place.kind) {
            all.remove(&(place.arrived, id));
            if all.is_empty() {
                self.kinds.remove(&place.kind);
            }
        }
        Some(place)
    }

    /// The next on a walk from the worthiest down; of equals the one that came last, then the greater id. What
    /// was passed is not come upon again, though it be taken out and put in meanwhile. Values must not change
    /// during a walk.
    pub(crate) fn next(&self, walk: &mut Walk, value: impl Fn(Kind) -> f64) -> Option<RequestId> {
        let rest = |kind: Kind, all: &BTreeSet<Came>| match walk.0.iter().find(|(k, _)| *k == kind) {
            Some((_, passed)) => all.range(..passed).next_back().copied(),
            None => all.last().copied(),
        };
        let latest = self.kinds.iter().filter_map(|(&kind, all)| Some((kind, rest(kind, all)?)));
        let (kind, came) =
            latest.max_by(|a, b| value(a.0).total_cmp(&value(b.0)).then_with(|| a.1.cmp(&b.1)))?;
        match walk.0.iter_mut().find(|(k, _)| *k == kind) {
            Some((_, passed)) => *passed = came,
            None => walk.0.push((kind, came)),
        }
        Some(came.1)
    }

    /// Those for which this holds, in the order in which they were put in.
    pub(crate) fn which(&self, holds: impl Fn(RequestId) -> bool) -> Vec<RequestId> {
        let mut found: Vec<_> = self
            .places
            .iter()
            .filter(|(id, _)| holds(**id))
            .map(|(id, place)| (place.number, *id))
            .collect();
        found.sort_unstable();
        found.into_iter().map(|(_, id)| id).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// What the module did before: a list, sorted for each walk.
    #[derive(Default)]
    struct Plain(Vec<(RequestId, Kind, Duration)>);

    impl Plain {
        fn put(&mut self, id: RequestId, kind: Kind, arrived: Duration) {
            match self.0.iter_mut().find(|(held, ..)| *held == id) {
                Some(place) => *place = (id, kind, arrived),
                None => self.0.push((id, kind, arrived)),
            }
        }

        fn remove(&mut self, id: RequestId) {
            self.0.retain(|(held, ..)| *held != id);
        }

        fn walk(&self, value: impl Fn(Kind) -> f64) -> Vec<RequestId> {
            let mut all: Vec<_> = self.0.iter().map(|(id, kind, at)| (value(*kind), *at, id.0)).collect();
            all.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then(b.2.cmp(&a.2)));
            all.into_iter().map(|(_, _, id)| RequestId(id)).collect()
        }
    }

    /// An id, its class, whether only a part of the worth, its arrival, and whether it is taken out.
    fn step() -> impl Strategy<Value = (u64, usize, bool, u64, bool)> {
        (0..40u64, 0..3usize, any::<bool>(), 0..20u64, proptest::bool::weighted(0.3))
    }

    proptest! {
        #[test]
        fn it_is_walked_as_a_sorted_list_whatever_is_put_back_on_the_way(
            steps in proptest::collection::vec(step(), 1..120),
            worths in proptest::array::uniform3(1..4u32),
            kept in 0..5u64,
        ) {
            let (mut held, mut plain) = (Held::default(), Plain::default());
            for (id, class, whole, at, out) in steps {
                let (id, at) = (RequestId(id), Duration::from_millis(at));
                let kind = Kind::new(class, if whole { 1.0 } else { 0.5 });
                if out {
                    held.remove(id);
                    plain.remove(id);
                } else {
                    held.put(id, kind, at);
                    plain.put(id, kind, at);
                }
            }
            let value = |kind: Kind| f64::from(worths[kind.class()]) * kind.part();
            let (want, mut walk, mut found) = (plain.walk(value), Walk::default(), Vec::new());
            while let Some(id) = held.next(&mut walk, value) {
                found.push(id);
                let place = held.places[&id];
                held.remove(id);
                plain.remove(id);
                if id.0 % 5 >= kept {
                    held.put(id, place.kind, place.arrived);
                    plain.put(id, place.kind, place.arrived);
                }
            }
            prop_assert_eq!(found, want);
            let odd = |id: RequestId| id.0 % 2 == 1;
            let put: Vec<_> = plain.0.iter().map(|(id, ..)| *id).filter(|id| odd(*id)).collect();
            prop_assert_eq!(held.which(odd), put);
            prop_assert_eq!(held.len(), plain.0.len());
            prop_assert_eq!(held.is_empty(), held.kinds.is_empty(), "no kind is kept for nothing");
        }
    }
}

//! A queue of requests that wait for capacity, iterated by value without sorting. The caller supplies the
//! values; nothing is decided here.
//!
//! Requests of one class and one fraction of the class's value are always worth the same, however the
//! class's value changes. So requests are grouped by class and fraction, and each group is ordered by
//! arrival: the most valuable request is the best among the groups' latest arrivals. A class has at most
//! four groups: within or over its tenant's share, each with or without the mark of a client's retry.

use crate::types::RequestId;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Identifies requests of equal value: their class and the fraction of its value, stored as bits.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct ValueKey {
    class: usize,
    fraction: u64,
}

impl ValueKey {
    pub(crate) fn new(class: usize, fraction: f64) -> Self {
        ValueKey { class, fraction: fraction.to_bits() }
    }

    pub(crate) fn class(self) -> usize {
        self.class
    }

    pub(crate) fn fraction(self) -> f64 {
        f64::from_bits(self.fraction)
    }
}

/// A request's arrival time, and its id to order arrivals at the same instant.
type ArrivalKey = (Duration, RequestId);

#[derive(Clone, Copy)]
struct Entry {
    key: ValueKey,
    arrived: Duration,
    /// Position in insertion order.
    sequence: u64,
}

/// The queued requests. Insertion and removal take logarithmic time.
#[derive(Default)]
pub(crate) struct RequestQueue {
    by_value: BTreeMap<ValueKey, BTreeSet<ArrivalKey>>,
    entries: HashMap<RequestId, Entry>,
    last_sequence: u64,
}

/// The position of an iteration in each group.
#[derive(Default)]
pub(crate) struct Cursor(Vec<(ValueKey, ArrivalKey)>);

impl RequestQueue {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Inserts a request. One that is queued already gets the new key and arrival and keeps its sequence
    /// number.
    pub(crate) fn insert(&mut self, id: RequestId, key: ValueKey, arrived: Duration) {
        let sequence = self.take(id).map_or(self.last_sequence + 1, |entry| entry.sequence);
        self.last_sequence = self.last_sequence.max(sequence);
        self.entries.insert(id, Entry { key, arrived, sequence });
        self.by_value.entry(key).or_default().insert((arrived, id));
    }

    /// Removes a request, if it is queued.
    pub(crate) fn remove(&mut self, id: RequestId) {
        self.take(id);
    }

    fn take(&mut self, id: RequestId) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        if let Some(all) = self.by_value.get_mut(&entry.key) {
            all.remove(&(entry.arrived, id));
            if all.is_empty() {
                self.by_value.remove(&entry.key);
            }
        }
        Some(entry)
    }

    /// Returns the next request in descending order of value; of equal ones the latest arrival, then the
    /// greater id. A request that was passed is not returned again, even if it is removed and reinserted
    /// meanwhile. Values must not change during an iteration.
    pub(crate) fn next(&self, iter: &mut Cursor, value: impl Fn(ValueKey) -> f64) -> Option<RequestId> {
        let remaining =
            |key: ValueKey, all: &BTreeSet<ArrivalKey>| match iter.0.iter().find(|(k, _)| *k == key) {
                Some((_, passed)) => all.range(..passed).next_back().copied(),
                None => all.last().copied(),
            };
        let latest = self.by_value.iter().filter_map(|(&key, all)| Some((key, remaining(key, all)?)));
        let (key, latest_arrival) =
            latest.max_by(|a, b| value(a.0).total_cmp(&value(b.0)).then_with(|| a.1.cmp(&b.1)))?;
        match iter.0.iter_mut().find(|(k, _)| *k == key) {
            Some((_, passed)) => *passed = latest_arrival,
            None => iter.0.push((key, latest_arrival)),
        }
        Some(latest_arrival.1)
    }

    /// Returns the queued requests for which `holds` is true, in the order of their insertion.
    pub(crate) fn matching(&self, holds: impl Fn(RequestId) -> bool) -> Vec<RequestId> {
        let mut found: Vec<_> = self
            .entries
            .iter()
            .filter(|(id, _)| holds(**id))
            .map(|(id, entry)| (entry.sequence, *id))
            .collect();
        found.sort_unstable();
        found.into_iter().map(|(_, id)| id).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// The reference implementation: a list that is sorted for each iteration.
    #[derive(Default)]
    struct SortedList(Vec<(RequestId, ValueKey, Duration)>);

    impl SortedList {
        fn insert(&mut self, id: RequestId, key: ValueKey, arrived: Duration) {
            match self.0.iter_mut().find(|(held, ..)| *held == id) {
                Some(entry) => *entry = (id, key, arrived),
                None => self.0.push((id, key, arrived)),
            }
        }

        fn remove(&mut self, id: RequestId) {
            self.0.retain(|(held, ..)| *held != id);
        }

        fn by_value(&self, value: impl Fn(ValueKey) -> f64) -> Vec<RequestId> {
            let mut all: Vec<_> = self.0.iter().map(|(id, key, at)| (value(*key), *at, id.0)).collect();
            all.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then(b.2.cmp(&a.2)));
            all.into_iter().map(|(_, _, id)| RequestId(id)).collect()
        }
    }

    /// An id, its class, whether its value is full rather than half, its arrival, and whether it is
    /// removed.
    fn step() -> impl Strategy<Value = (u64, usize, bool, u64, bool)> {
        (0..40u64, 0..3usize, any::<bool>(), 0..20u64, proptest::bool::weighted(0.3))
    }

    proptest! {
        #[test]
        fn iteration_matches_a_sorted_list_when_requests_are_reinserted(
            steps in proptest::collection::vec(step(), 1..120),
            values in proptest::array::uniform3(1..4u32),
            kept in 0..5u64,
        ) {
            let (mut queue, mut sorted) = (RequestQueue::default(), SortedList::default());
            for (id, class, whole, at, removed) in steps {
                let (id, at) = (RequestId(id), Duration::from_millis(at));
                let key = ValueKey::new(class, if whole { 1.0 } else { 0.5 });
                if removed {
                    queue.remove(id);
                    sorted.remove(id);
                } else {
                    queue.insert(id, key, at);
                    sorted.insert(id, key, at);
                }
            }
            let value = |key: ValueKey| f64::from(values[key.class()]) * key.fraction();
            let (want, mut iter, mut found) = (sorted.by_value(value), Cursor::default(), Vec::new());
            while let Some(id) = queue.next(&mut iter, value) {
                found.push(id);
                let entry = queue.entries[&id];
                queue.remove(id);
                sorted.remove(id);
                if id.0 % 5 >= kept {
                    queue.insert(id, entry.key, entry.arrived);
                    sorted.insert(id, entry.key, entry.arrived);
                }
            }
            prop_assert_eq!(found, want);
            let odd = |id: RequestId| id.0 % 2 == 1;
            let put: Vec<_> = sorted.0.iter().map(|(id, ..)| *id).filter(|id| odd(*id)).collect();
            prop_assert_eq!(queue.matching(odd), put);
            prop_assert_eq!(queue.len(), sorted.0.len());
            prop_assert_eq!(queue.is_empty(), queue.by_value.is_empty(), "no empty group is kept");
        }
    }
}

//! What is to come, in the order of its time; of equal times, in the order of its planning.
//!
//! Most of what is planned lies seconds ahead and is void by then: deadlines of what is answered. One heap of all of
//! it, a million for a large fleet, misses the cache at every level. So what lies beyond the present slice of time
//! waits unsorted by slice, and only the slice that is being played is a heap.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

struct Planned<E> {
    at: Duration,
    number: u64,
    event: E,
}

impl<E> Ord for Planned<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number)) // the heap gives the greatest first
    }
}

impl<E> PartialOrd for Planned<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for Planned<E> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<E> Eq for Planned<E> {}

/// Events to come.
pub(crate) struct Queue<E> {
    /// The slice that is being played, and whatever was planned before its end.
    heap: BinaryHeap<Planned<E>>,
    slice: u64,
    later: BTreeMap<u64, Vec<Planned<E>>>,
    number: u64,
}

/// Its millisecond: of a large fleet some hundreds of events, which fit the cache, and of a small one few enough
/// slices that the map of them does too.
fn slice(at: Duration) -> u64 {
    at.as_secs() * 1_000 + u64::from(at.subsec_millis())
}

impl<E> Queue<E> {
    pub(crate) fn new() -> Self {
        Queue { heap: BinaryHeap::new(), slice: 0, later: BTreeMap::new(), number: 0 }
    }

    /// Plans an event.
    pub(crate) fn plan(&mut self, at: Duration, event: E) {
        self.number += 1;
        let planned = Planned { at, number: self.number, event };
        match slice(at) {
            slice if slice > self.slice => self.later.entry(slice).or_default().push(planned),
            _ => self.heap.push(planned),
        }
    }

    /// The next one.
    pub(crate) fn next(&mut self) -> Option<(Duration, E)> {
        if self.heap.is_empty() {
            let (slice, events) = self.later.pop_first()?;
            (self.slice, self.heap) = (slice, events.into());
        }
        self.heap.pop().map(|planned| (planned.at, planned.event))
    }

    /// How many have been planned altogether.
    pub(crate) fn planned(&self) -> u64 {
        self.number
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_storm_at_one_instant_comes_in_the_order_of_its_planning() {
        let mut queue = Queue::new();
        let at = Duration::from_secs(1);
        queue.plan(at * 2, 0);
        (1..1000).for_each(|n| queue.plan(at, n));
        queue.plan(Duration::ZERO, 1000);
        let order: Vec<i32> = std::iter::from_fn(|| queue.next().map(|(_, event)| event)).collect();
        let want: Vec<i32> = [1000].into_iter().chain(1..1000).chain([0]).collect();
        assert_eq!(order, want);
    }

    proptest! {
        #[test]
        fn it_is_one_sorted_list_whatever_is_planned_while_it_is_played(
            times in proptest::collection::vec(0..6_000u64, 1..200),
            more in proptest::collection::vec(0..4_000u64, 0..200),
        ) {
            let (mut queue, mut plain, mut played, mut want) = (Queue::new(), Vec::new(), vec![], vec![]);
            let plan = |queue: &mut Queue<u64>, plain: &mut Vec<(Duration, u64)>, micros, n| {
                queue.plan(Duration::from_micros(micros), n);
                plain.push((Duration::from_micros(micros), n));
            };
            for (n, micros) in times.iter().enumerate() {
                plan(&mut queue, &mut plain, *micros, n as u64);
            }
            let mut more = more.iter().zip(times.len() as u64..);
            while let Some((at, event)) = queue.next() {
                played.push((at, event));
                plain.sort_unstable();
                want.push(plain.remove(0));
                if let Some((wait, n)) = more.next() {
                    plan(&mut queue, &mut plain, at.as_micros() as u64 + wait, n);
                }
            }
            prop_assert_eq!(played, want);
            prop_assert!(plain.is_empty());
        }
    }
}
